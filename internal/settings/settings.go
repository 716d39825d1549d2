// Package settings reads and validates the INI file of one host. It reports all
// faults of the file together, each with its line and a remedy.
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
// Sizes may have the suffix KB or MB (2^10 and 2^20 bytes), durations are
// written as in Go ("30s").
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings contains the validated settings of one host.
type Settings struct {
	Host     Host
	Listen   Listen
	TLS      TLS
	Control  Control
	Requests Requests
	Log      Log
	// Zones maps each zone of the deployment to its region.
	Zones map[string]string
	// Peers lists all hosts of the deployment, including this one, sorted by
	// name.
	Peers []Peer
	// Join is used instead of Peers in deployments with host discovery.
	Join Join
	// Runners and Batches apply to hosts that serve batches.
	Runners Runners
	Batches Batches
	Limits  Limits
	// Services holds the addresses of the platform's services.
	Services Services
}

// Services holds the addresses of the platform's services. An address is empty
// if the platform does not have that service.
type Services struct {
	Machines string
	Advice   string
}

// Join configures host discovery.
type Join struct {
	// Seeds holds the transport addresses of control hosts to contact first.
	// Some of them may be down, unreachable or replaced.
	Seeds []netip.AddrPort
	// Bootstrap is true when the whole deployment starts for the first time: the
	// seeds are then the initial voters of the replicated group.
	Bootstrap bool
	// ToleratedLosses is the number of disks that can fail at the same time
	// without a loss of state.
	ToleratedLosses int
}

// Voters returns the target number of voters: a majority of them survives
// ToleratedLosses.
func (j Join) Voters() int { return 2*j.ToleratedLosses + 1 }

// Runners holds the properties of the platform's runners.
type Runners struct {
	// Lease is the maximum time for which a runner keeps its tasks running
	// without a call.
	Lease time.Duration
	// MaxOutage is the longest time that a long-running task may have no run after its
	// runner was lost.
	MaxOutage time.Duration
	// Heartbeat is the interval of the runners' reports.
	Heartbeat time.Duration
	// Stop is the maximum time that stopping a run takes.
	Stop time.Duration
	// Reclaim is the time within which a team must get its guarantee back.
	Reclaim time.Duration
	// ReadyDelay is how long after its start a long-running task without complete
	// progress may come to work at any moment.
	ReadyDelay time.Duration
	// Maintenance is the duration of the maintenance of a machine.
	Maintenance time.Duration
	// RemoteSlowdown is the factor by which the run time of a task increases
	// when it runs away from its data.
	RemoteSlowdown float64
	// LearnSpeeds is true to learn the speeds of the runners and to plan with them.
	LearnSpeeds bool
}

// Batches configures the storage of batches, and how they share the runners.
type Batches struct {
	// Retention is how long the state of an ended batch can be queried.
	Retention time.Duration
	// Shortage says where what costs callers least gives way when there is too little
	// room; see package shortage.
	Shortage Shortage
}

// Shortage says where the policy of package shortage is in force.
type Shortage string

// Values of Shortage.
const (
	ShortageOff    Shortage = "no"
	ShortageOn     Shortage = "yes"
	ShortageUneven Shortage = "uneven" // where teams or runners are uneven
)

// Limits holds the resource limits of this host.
type Limits struct {
	// Memory is in bytes, 0 for no limit.
	Memory int64
	// Files is the number of descriptors that the process may have, 0 if only the limit
	// of the operating system holds.
	Files int
	// Bodies is the memory for the bodies of requests in bytes, and Connections the
	// number of connections of a listener for callers, operators or runners. 0 means
	// that they are derived from Memory and Files.
	Bodies      int64
	Connections int
	// Headers is the size of the headers of a request in bytes.
	Headers int
	// A body may take Stall and one second for each Pace bytes.
	Stall time.Duration
	Pace  int64
}

// Host identifies this host.
type Host struct {
	Name   string
	Zone   string
	Region string
	// Addresses lists the IP addresses under which this host is reachable.
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
	// operators and runners, Metrics scrapers (TCP). An address is invalid if
	// the host does not have that listener.
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

// Control configures control hosts.
type Control struct {
	// Data is the data folder. It is empty on hosts that are not control hosts.
	Data string
	// Voters lists the initial voters of the replicated group: the names of the
	// peers that are marked as voters.
	Voters []string
}

// Requests holds limits of the callers' interface.
type Requests struct {
	// Body is the largest request body in bytes.
	Body int64
	// Queue is the largest number of waiting requests.
	Queue int
	// Deadline is the default deadline of requests.
	Deadline time.Duration
}

// Log configures logging.
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
	// forwarded requests.
	Peers netip.AddrPort
	HTTP  netip.AddrPort
	Voter bool
}

// Load reads and validates a file. If the file can be read but is not valid,
// the error is of type Faults.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings.Load")
	}
	return Parse(b)
}

// Parse validates the contents of a file. The error is of type Faults.
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
	c.readLimits(&s.Limits)
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
		Runners:  Runners{Lease: 6 * time.Second, MaxOutage: 9 * time.Second, Heartbeat: 1500 * time.Millisecond, Stop: time.Second, Reclaim: 3 * time.Second, ReadyDelay: 6 * time.Second, Maintenance: 2 * time.Second, RemoteSlowdown: 3},
		Batches:  Batches{Retention: 3 * time.Minute, Shortage: ShortageOff},
		Limits:   DefaultLimits(),
	}
}

// DefaultLimits returns the limits of a file without the section [limits].
func DefaultLimits() Limits {
	// Headers leaves room above 16 KB for the request line and line ends. Stall and Pace
	// let a body of 4 MB pass a link of 2 Mbit/s that 30 others use.
	return Limits{Headers: 20 << 10, Stall: 10 * time.Second, Pace: 8 << 10}
}
