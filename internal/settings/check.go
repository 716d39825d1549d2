package settings

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// With more than 7 voters every commit would wait for the disk syncs of at
	// least 4 other hosts.
	maxVoters = 7
	// The transport between hosts and the callers' interface keep whole bodies
	// in memory; larger ones would exceed the limit of 256 MB per node.
	maxBody     = 64 << 20
	maxQueue    = 100_000
	maxDeadline = 10 * time.Minute
)

// namePattern matches names that are valid as DNS names in certificates.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (c *checker) requireEntry(section, key string) (entry, bool) {
	e, ok := c.find(section, key)
	if !ok {
		c.addFault(section, entry{key: key}, "is missing", "add it")
		return e, false
	}
	if e.value == "" {
		c.addFault(section, e, "is empty", "give it a value")
		return e, false
	}
	return e, true
}

func (c *checker) readName(section, key string, dst *string) {
	e, ok := c.requireEntry(section, key)
	if !ok {
		return
	}
	if !namePattern.MatchString(e.value) {
		c.addFault(section, e, "is not a name", "use at most 63 of a-z, 0-9 and -, not at the ends")
		return
	}
	*dst = e.value
}

func (c *checker) readHost(h *Host) {
	c.readName("host", "name", &h.Name)
	c.readName("host", "zone", &h.Zone)
	c.readName("host", "region", &h.Region)
	e, ok := c.requireEntry("host", "addresses")
	if !ok {
		return
	}
	for _, part := range strings.Split(e.value, ",") {
		a, err := netip.ParseAddr(strings.TrimSpace(part))
		if err != nil || a.IsUnspecified() {
			c.addFault("host", e, fmt.Sprintf("%q is not an IP address of a host", strings.TrimSpace(part)), "list IP addresses, separated by commas")
			continue
		}
		h.Addresses = append(h.Addresses, a)
	}
}

func (c *checker) readListen(l *Listen) {
	c.readListenAddress("http", &l.HTTP)
	c.readListenAddress("operators", &l.Operators)
	c.readListenAddress("peers", &l.Peers)
	if l.HTTP == l.Operators {
		e, _ := c.find("listen", "operators")
		c.addFault("listen", e, "is the same address as http", "give it a port of its own")
	}
}

func (c *checker) readListenAddress(key string, dst *netip.AddrPort) {
	e, ok := c.find("listen", key)
	if !ok {
		return
	}
	a, err := netip.ParseAddrPort(e.value)
	if err != nil || a.Port() == 0 {
		c.addFault("listen", e, "is not IP:port", "write for example 0.0.0.0:8480")
		return
	}
	*dst = a
}

func (c *checker) readTLS(t *TLS) {
	c.readPath("tls", "ca", &t.CA)
	c.readPath("tls", "cert", &t.Cert)
	c.readPath("tls", "key", &t.Key)
}

func (c *checker) readPath(section, key string, dst *string) {
	e, ok := c.requireEntry(section, key)
	if !ok {
		return
	}
	if !filepath.IsAbs(e.value) {
		c.addFault(section, e, "is not an absolute path", "start it with /")
		return
	}
	*dst = filepath.Clean(e.value)
}

func (c *checker) readControl(ctl *Control) {
	if _, ok := c.sections["control"]; ok {
		c.readPath("control", "data", &ctl.Data)
	}
}

func (c *checker) readRequests(r *Requests) {
	if e, ok := c.find("requests", "body"); ok {
		n, err := parseSize(e.value)
		if err != nil || n < 1 || n > maxBody {
			c.addFault("requests", e, "is not a size from 1 to 64MB", "write for example 4MB")
		}
		r.Body = n
	}
	if e, ok := c.find("requests", "queue"); ok {
		n, err := strconv.Atoi(e.value)
		if err != nil || n < 1 || n > maxQueue {
			c.addFault("requests", e, "is not a number from 1 to 100000", "write for example 256")
		}
		r.Queue = n
	}
	if e, ok := c.find("requests", "deadline"); ok {
		d, err := time.ParseDuration(e.value)
		if err != nil || d <= 0 || d > maxDeadline {
			c.addFault("requests", e, "is not a duration up to 10m", "write for example 30s")
		}
		r.Deadline = d
	}
}

func parseSize(s string) (int64, error) {
	unit := int64(1)
	if rest, ok := strings.CutSuffix(s, "KB"); ok {
		s, unit = rest, 1<<10
	} else if rest, ok := strings.CutSuffix(s, "MB"); ok {
		s, unit = rest, 1<<20
	}
	n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 32)
	return n * unit, err
}

func (c *checker) readLog(l *Log) {
	if e, ok := c.find("log", "level"); ok {
		if _, err := logrus.ParseLevel(e.value); err != nil {
			c.addFault("log", e, "is not a level", "use debug, info, warning or error")
		}
		l.Level = e.value
	}
	if e, ok := c.find("log", "format"); ok {
		if e.value != "text" && e.value != "json" {
			c.addFault("log", e, "is not a format", "use text or json")
		}
		l.Format = e.value
	}
}

func (c *checker) readZones(s *Settings) {
	zones := c.entries("zones")
	if len(zones) == 0 {
		c.addFault("zones", entry{}, "lists no zone", "add a line NAME = REGION for each zone of the deployment")
	}
	for _, e := range zones {
		if !namePattern.MatchString(e.key) || !namePattern.MatchString(e.value) {
			c.addFault("zones", e, "is not NAME = REGION", "use at most 63 of a-z, 0-9 and -, not at the ends")
			continue
		}
		s.Zones[e.key] = e.value
	}
}

func (c *checker) readPeers(s *Settings) {
	peers := c.entries("peers")
	if len(peers) == 0 {
		c.addFault("peers", entry{}, "lists no host", "add a line NAME = ZONE, REGION, PEERS IP:port, HTTP IP:port, voter yes|no for each host of the deployment")
	}
	seen := map[netip.AddrPort]string{}
	for _, e := range peers {
		p, ok := c.readPeer(e, s)
		if !ok {
			continue
		}
		if other, dup := seen[p.Peers]; dup {
			c.addFault("peers", e, "has the same peers address as "+other, "give each host its own address")
			continue
		}
		seen[p.Peers] = p.Name
		s.Peers = append(s.Peers, p)
	}
	slices.SortFunc(s.Peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
}

// readPeer reads one line of [peers] and reports all its faults. The result is
// false if there are any.
func (c *checker) readPeer(e entry, s *Settings) (Peer, bool) {
	before := len(c.faults)
	f := strings.Split(e.value, ",")
	if len(f) != 5 {
		c.addFault("peers", e, "does not have 5 fields", "write NAME = ZONE, REGION, PEERS IP:port, HTTP IP:port, voter yes|no")
		return Peer{}, false
	}
	for i := range f {
		f[i] = strings.TrimSpace(f[i])
	}
	p := Peer{Name: e.key, Zone: f[0], Region: f[1]}
	if !namePattern.MatchString(p.Name) {
		c.addFault("peers", e, "is not a host name", "use at most 63 of a-z, 0-9 and -, not at the ends")
	}
	c.checkPeerZone(e, p, s)
	p.Peers = c.readPeerAddress(e, f[2])
	p.HTTP = c.readPeerAddress(e, f[3])
	switch strings.TrimSpace(strings.TrimPrefix(f[4], "voter ")) {
	case "yes":
		p.Voter = true
	case "no":
	default:
		c.addFault("peers", e, fmt.Sprintf("%q does not say whether the host is a voter", f[4]), "end the line with voter yes or voter no")
	}
	return p, len(c.faults) == before
}

func (c *checker) checkPeerZone(e entry, p Peer, s *Settings) {
	region, ok := s.Zones[p.Zone]
	if !ok {
		c.addFault("peers", e, fmt.Sprintf("zone %q is not listed", p.Zone), "add it to [zones]")
		return
	}
	if region != p.Region {
		c.addFault("peers", e, fmt.Sprintf("zone %q is in region %q", p.Zone, region), "correct the region here or in [zones]")
	}
}

func (c *checker) readPeerAddress(e entry, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.addFault("peers", e, fmt.Sprintf("%q is not IP:port of a host", text), "write for example 192.0.2.7:8482")
	}
	return a
}

// checkSelf reports differences between [host] and this host's line of [peers].
func (c *checker) checkSelf(s *Settings) {
	if s.Host.Name == "" {
		return
	}
	e, ok := c.find("peers", s.Host.Name)
	if !ok {
		own, _ := c.find("host", "name")
		c.addFault("host", own, "is not listed under [peers]", "list every host of the deployment there, this one too")
		return
	}
	i := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == s.Host.Name })
	if i < 0 {
		return
	}
	p := s.Peers[i]
	if p.Zone != s.Host.Zone || p.Region != s.Host.Region {
		c.addFault("peers", e, "differs from [host] in zone or region", "make both the same")
	}
	if len(s.Host.Addresses) > 0 && !slices.Contains(s.Host.Addresses, p.Peers.Addr()) {
		c.addFault("peers", e, "peers address is not one of [host] addresses", "add it there: certificates name these addresses")
	}
	if _, ok := c.sections["control"]; p.Voter && !ok {
		c.addFault("control", entry{key: "data"}, "is missing on a voter", "name the data folder, or mark the host as voter no")
	}
}

func (c *checker) checkVoters(s *Settings) {
	for _, p := range s.Peers {
		if p.Voter {
			s.Control.Voters = append(s.Control.Voters, p.Name)
		}
	}
	if len(s.Peers) == 0 || len(s.Peers) < len(c.entries("peers")) {
		return // an invalid line may be a voter's
	}
	n := len(s.Control.Voters)
	if n%2 == 0 || n > maxVoters {
		c.addFault("peers", entry{}, fmt.Sprintf("%d voters", n), "mark 1, 3, 5 or 7 hosts as voters")
	}
}
