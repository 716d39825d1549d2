package server

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/settings"
)

// Options configures a Server, which owns the listeners and closes them.
type Options struct {
	Settings  settings.Settings
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// HTTP serves callers, targets and the platform, Operators the command
	// language, Peers the other hosts.
	HTTP      net.Listener
	Operators net.Listener
	Peers     net.PacketConn
	Log       logrus.FieldLogger
	// FirstStart is true when the deployment has never served a request with an
	// idempotency key. If it is false, a host grants claims only after it has
	// collected the records of its zone.
	FirstStart bool
}

// zoneHosts returns the configured hosts of a zone in name order.
func (o Options) zoneHosts(zone string) []string {
	var names []string
	for _, p := range o.Settings.Peers {
		if p.Zone == zone {
			names = append(names, p.Name)
		}
	}
	sort.Strings(names)
	return names
}

func (o Options) isListed(name string) bool {
	return slices.ContainsFunc(o.Settings.Peers, func(p settings.Peer) bool { return p.Name == name })
}

// zonePeers returns the other configured hosts of this host's zone.
func (o Options) zonePeers() []string {
	var names []string
	for _, name := range o.zoneHosts(o.Settings.Host.Zone) {
		if name != o.Settings.Host.Name {
			names = append(names, name)
		}
	}
	return names
}

// votersByDistance returns the voters, those of this zone first, then those of
// this region, so that a follower reads from another region only if necessary.
func (o Options) votersByDistance() []string {
	distance := func(p settings.Peer) int {
		switch {
		case p.Zone == o.Settings.Host.Zone:
			return 0
		case p.Region == o.Settings.Host.Region:
			return 1
		}
		return 2
	}
	voters := slices.DeleteFunc(slices.Clone(o.Settings.Peers), func(p settings.Peer) bool { return !p.Voter })
	slices.SortStableFunc(voters, func(a, b settings.Peer) int { return distance(a) - distance(b) })
	var names []string
	for _, p := range voters {
		names = append(names, p.Name)
	}
	return names
}

// httpAddresses returns the addresses on which the other hosts of a zone accept
// requests.
func (o Options) httpAddresses(zone string) []string {
	var list []string
	for _, p := range o.Settings.Peers {
		if p.Zone == zone && p.Name != o.Settings.Host.Name {
			list = append(list, p.HTTP.String())
		}
	}
	return list
}

func (o Options) zones() []carawayshift.Zone {
	var list []carawayshift.Zone
	for name, region := range o.Settings.Zones {
		list = append(list, carawayshift.Zone{Name: name, Region: region})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (o Options) zoneNames() []string {
	var names []string
	for _, z := range o.zones() {
		names = append(names, z.Name)
	}
	return names
}

// hopToken returns the token that authenticates requests forwarded between
// entry hosts. All hosts derive it from the key identifier of the deployment's
// CA, which is sent only in encrypted handshakes.
func (o Options) hopToken() (string, error) {
	leaf, err := x509.ParseCertificate(o.ClientTLS.Certificates[0].Certificate[0])
	if err != nil {
		return "", errors.Wrap(err, "server.hopToken")
	}
	sum := sha256.Sum256(leaf.AuthorityKeyId)
	return hex.EncodeToString(sum[:]), nil
}
