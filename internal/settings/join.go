package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Joins reports whether the host finds the others by itself.
func (s Settings) Joins() bool { return len(s.Join.Seeds) > 0 }

func (c *checker) readJoin(s *Settings) {
	if _, ok := c.sections["peers"]; ok {
		c.add("peers", entry{}, "stands beside [join]", "list the hosts or let them find each other, not both")
	}
	c.optionalAddress("entry", &s.Listen.Entry)
	c.optionalAddress("ready", &s.Listen.Ready)
	c.optionalAddress("control", &s.Listen.Control)
	c.optionalAddress("metrics", &s.Listen.Metrics)
	c.readSeeds(s)
	c.flag("join", "first", &s.Join.First)
	c.number("join", "losses", 0, maxVoters/2, &s.Join.Losses)
	c.duration("runners", "lease", &s.Runners.Lease)
	c.duration("runners", "heartbeat", &s.Runners.Heartbeat)
	c.duration("runners", "stop", &s.Runners.Stop)
	c.duration("runners", "reclaim", &s.Runners.Reclaim)
	c.duration("runners", "notice", &s.Runners.Notice)
	c.duration("runners", "upkeep", &s.Runners.Upkeep)
	c.service("machines", &s.Services.Machines)
	c.service("advice", &s.Services.Advice)
	c.factor("runners", "remote", &s.Runners.Remote)
	c.duration("batches", "keep", &s.Batches.Keep)
	if e, ok := c.find("limits", "memory"); ok {
		n, err := parseSize(e.value)
		if err != nil || n < 1 {
			c.add("limits", e, "is not a size", "write for example 256MB")
		}
		s.Limits.Memory = n
	}
	if s.Control.Data != "" && !s.Listen.Control.IsValid() {
		c.add("listen", entry{key: "control"}, "is missing on a control host", "give it the address for operators and runners")
	}
}

// optionalAddress reads an address that may be empty.
func (c *checker) optionalAddress(key string, into *netip.AddrPort) {
	if e, ok := c.find("listen", key); ok && e.value != "" {
		c.listenAddress(key, into)
	}
}

// service reads the address of a service of the platform, which may be empty.
func (c *checker) service(key string, into *string) {
	e, ok := c.find("services", key)
	if !ok || e.value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(e.value); err != nil {
		c.add("services", e, "is not IP:port", "write for example 192.0.2.9:8524, or leave it empty")
		return
	}
	*into = e.value
}

// readSeeds reads IP addresses, with or without a port; the transport's port
// is the same on all hosts.
func (c *checker) readSeeds(s *Settings) {
	e, ok := c.required("join", "seeds")
	if !ok {
		return
	}
	for _, part := range strings.Split(e.value, ",") {
		part = strings.TrimSpace(part)
		addr, err := netip.ParseAddr(part)
		if withPort, portErr := netip.ParseAddrPort(part); portErr == nil {
			addr, err = withPort.Addr(), nil
		}
		if err != nil {
			c.add("join", e, strconv.Quote(part)+" is not the IP address of a host", "list IP addresses of control hosts, separated by commas")
			continue
		}
		s.Join.Seeds = append(s.Join.Seeds, netip.AddrPortFrom(addr, s.Listen.Peers.Port()))
	}
}

func (c *checker) flag(section, key string, into *bool) {
	e, ok := c.find(section, key)
	if !ok {
		return
	}
	words := []string{"no", "false", "yes", "true"}
	i := slices.Index(words, e.value)
	if i < 0 {
		c.add(section, e, "is neither yes nor no", "write yes or no")
	}
	*into = i >= 2
}

func (c *checker) number(section, key string, least, most int, into *int) {
	e, ok := c.find(section, key)
	if !ok {
		return
	}
	n, err := strconv.Atoi(e.value)
	if err != nil || n < least || n > most {
		c.add(section, e, "is not a number from "+strconv.Itoa(least)+" to "+strconv.Itoa(most), "write for example "+strconv.Itoa(most))
		return
	}
	*into = n
}

func (c *checker) duration(section, key string, into *time.Duration) {
	e, ok := c.find(section, key)
	if !ok {
		return
	}
	d, err := time.ParseDuration(e.value)
	if err != nil || d <= 0 {
		c.add(section, e, "is not a duration above 0", "write for example 6s or 400ms")
		return
	}
	*into = d
}

func (c *checker) factor(section, key string, into *float64) {
	e, ok := c.find(section, key)
	if !ok {
		return
	}
	f, err := strconv.ParseFloat(e.value, 64)
	if err != nil || f < 1 {
		c.add(section, e, "is not a number of 1 or more", "write for example 3")
		return
	}
	*into = f
}
