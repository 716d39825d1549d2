// Package settings reads the INI file of one host and checks it as a whole:
// every fault of the file is reported at once, with its line and a remedy.
//
// # Usage
//
//	s, err := settings.Load("/etc/carawayshift/host.ini")
//	var faults settings.Faults
//	if errors.As(err, &faults) {
//		for _, f := range faults {
//			fmt.Println(f)
//		}
//	}
//
// The sections [zones] and [peers] are the same on all hosts of a deployment;
// the others describe this host. testdata/three.ini is a complete example.
// Sizes take the suffixes KB and MB (2^10 and 2^20 bytes), durations are
// written as in Go ("30s").
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the checked settings of one host.
type Settings struct {
	Host     Host
	Listen   Listen
	TLS      TLS
	Control  Control
	Requests Requests
	Log      Log
	// Zones maps each zone of the deployment to its region.
	Zones map[string]string
	// Peers lists all hosts of the deployment, this one included, by name.
	Peers []Peer
	// Join is set where hosts find each other without a list.
	Join Join
	// Runners and Batches apply to hosts that take batches.
	Runners Runners
	Batches Batches
	Limits  Limits
	// Services are the platform's own.
	Services Services
}

// Services holds the addresses of the platform's services, "" where it has
// none.
type Services struct {
	Machines string
	Advice   string
}

// Join says how a host finds the others.
type Join struct {
	// Seeds are control hosts by the addresses of their transport. They may
	// be down, cut off or replaced.
	Seeds []netip.AddrPort
	// Bootstrap is true while the whole deployment starts for the first time: the
	// seeds then form the replicated group.
	Bootstrap bool
	// ToleratedLosses is the number of disks that may be lost at the same time without
	// a loss of state.
	ToleratedLosses int
}

// Voters is the number of voters that the group keeps: a majority of them
// outlives the losses.
func (j Join) Voters() int { return 2*j.ToleratedLosses + 1 }

// Runners holds what the runners' platform dictates.
type Runners struct {
	// Lease is the longest time that a runner keeps its tasks without a call.
	Lease time.Duration
	// Heartbeat is the interval of the runners' reports.
	Heartbeat time.Duration
	// Stop is the longest time that a stop takes.
	Stop time.Duration
	// Reclaim is the time in which a team gets its guarantee back.
	Reclaim time.Duration
	// ReadyDelay is how long the absence of a lasting task counts after its return.
	ReadyDelay time.Duration
	// Maintenance is how long the upkeep of a machine takes.
	Maintenance time.Duration
	// RemoteSlowdown is how many times longer tasks take away from their data.
	RemoteSlowdown float64
}

// Batches holds the settings of batches.
type Batches struct {
	// Retention is how long the state of an ended batch can be asked for.
	Retention time.Duration
}

// Limits are the resources of this host.
type Limits struct {
	// Memory is in bytes, 0 for no limit.
	Memory int64
}

// Host says who this host is.
type Host struct {
	Name   string
	Zone   string
	Region string
	// Addresses are the IP addresses by which other machines reach this host.
	Addresses []netip.Addr
}

// Listen holds the addresses on which this host listens.
type Listen struct {
	// HTTP serves callers, targets and the platform (TCP).
	HTTP netip.AddrPort
	// Operators serves the command language (TCP).
	Operators netip.AddrPort
	// Peers serves the other hosts (UDP).
	Peers netip.AddrPort
	// Entry serves callers of batches, Ready the load balancer, Control
	// operators and runners, Metrics scrapers (TCP). Each is invalid where the
	// host does not serve it.
	Entry   netip.AddrPort
	Ready   netip.AddrPort
	Control netip.AddrPort
	Metrics netip.AddrPort
}

// TLS names the files that `carawayshift keys` writes.
type TLS struct {
	CA   string
	Cert string
	Key  string
}

// Control is set on control hosts. Data is empty on all others.
type Control struct {
	Data string
	// Voters are the initial members of the replicated group: the peers that
	// are marked as voters, by name.
	Voters []string
}

// Requests holds limits of the callers' interface.
type Requests struct {
	// Body is the largest request body in bytes.
	Body int64
	// Queue is the largest number of waiting requests.
	Queue int
	// Deadline applies to requests that name none.
	Deadline time.Duration
}

// Log configures the log lines.
type Log struct {
	// Level is a logrus level.
	Level string
	// Format is "text" or "json".
	Format string
}

// Peer is one host of the deployment.
type Peer struct {
	Name   string
	Zone   string
	Region string
	// Peers is the UDP address for other hosts, HTTP the TCP address for
	// requests that are passed on.
	Peers netip.AddrPort
	HTTP  netip.AddrPort
	Voter bool
}

// Load reads and checks a file. The error is of type Faults when the file can
// be read.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings.Load")
	}
	return Parse(b)
}

// Parse checks the contents of a file. The error is of type Faults.
func Parse(b []byte) (Settings, error) {
	c := scan(b)
	s := defaults()
	c.readHost(&s.Host)
	c.readListen(&s.Listen)
	if _, ok := c.sections["join"]; !ok {
		c.readTLS(&s.TLS)
	}
	c.readControl(&s.Control)
	c.readRequests(&s.Requests)
	c.readLog(&s.Log)
	c.readZones(&s)
	if _, ok := c.sections["join"]; ok {
		c.readJoin(&s)
	} else {
		c.readPeers(&s)
		c.checkSelf(&s)
		c.checkVoters(&s)
	}
	if len(c.faults) > 0 {
		return Settings{}, c.sortedFaults()
	}
	return s, nil
}

func defaults() Settings {
	any4 := netip.IPv4Unspecified()
	local := netip.MustParseAddr("127.0.0.1")
	return Settings{
		Listen: Listen{
			HTTP:      netip.AddrPortFrom(any4, 8480),
			Operators: netip.AddrPortFrom(local, 8481),
			Peers:     netip.AddrPortFrom(any4, 8482),
		},
		Requests: Requests{Body: 4 << 20, Queue: 256, Deadline: 30 * time.Second},
		Log:      Log{Level: "info", Format: "text"},
		Zones:    map[string]string{},
		Join:     Join{ToleratedLosses: 1},
		Runners:  Runners{Lease: 6 * time.Second, Heartbeat: 1500 * time.Millisecond, Stop: time.Second, Reclaim: 3 * time.Second, ReadyDelay: 6 * time.Second, Maintenance: 2 * time.Second, RemoteSlowdown: 3},
		Batches:  Batches{Retention: 3 * time.Minute},
	}
}
