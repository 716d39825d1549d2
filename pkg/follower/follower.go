// Package follower keeps a copy of the replicated state on hosts that are not
// voters.
//
// Committed entries flow from a voter to one relay in each zone and from
// there to the zone's other hosts, so that the link between regions carries
// each entry once. A voter of the zone is its relay if there is one, else the
// first live host in name order.
//
// # Usage
//
// On a host that is not a voter, a Follower is the carawayshift.Log:
//
//	f := follower.New(follower.Config{Host: "lav2", Machine: machine, Transport: mesh,
//		Voters: voters, Members: members})
//	go f.Run(ctx)
//	if err := f.Ready(); err != nil {
//		// serve nothing that depends on the configuration yet
//	}
//
// On a voter, Source and Log are set; it serves followers and knows their
// progress:
//
//	f := follower.New(follower.Config{Host: "lav1", Source: replica, Log: replica, Transport: mesh})
//	for host, seen := range f.Progress() {
//		// host has applied every entry up to seen.Index
//	}
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

const (
	// pollWait bounds a pull that finds nothing new. It decides how old a
	// copy can claim to be while all is well: one wait for a relay, two for
	// the hosts behind it.
	pollWait = 4 * time.Second
	callWait = 3 * time.Second
	// pullSlack is what a pull may take on top of its wait: a batch of 512 KB
	// takes 0.15 s on an idle link of 30 Mbit/s.
	pullSlack = 1500 * time.Millisecond
	// A source that fails, or whose copy is older than maxAge, is passed over
	// for skipMin, and longer after each further failure in a row.
	maxAge  = 3 * pollWait
	skipMin = 2 * time.Second
	skipMax = time.Minute

	retryMin = 100 * time.Millisecond
	retryMax = time.Second

	batchEntries = 256
	batchBytes   = 512 << 10
	chunkBytes   = 256 << 10
	// The relay's buffer serves hosts of its zone that are a little behind.
	bufferEntries = 4096
	bufferBytes   = 8 << 20

	methodPull     = "follower.pull"
	methodSnapshot = "follower.snapshot"
	methodFloor    = "follower.floor"
	methodReport   = "follower.report"
	methodPropose  = "follower.propose"
	methodBarrier  = "follower.barrier"
)

// Source gives a voter's committed entries. The replica implements it.
type Source interface {
	// Entries returns at most limit committed entries, the first of which
	// has index from. It returns ok = false when from was compacted away, and
	// no entries when from is not committed yet.
	Entries(from uint64, limit int) (entries [][]byte, ok bool)
	// Snapshot returns the state after the entry with the given index, as
	// written by StateMachine.Snapshot.
	Snapshot() (index uint64, state []byte)
	// Wait returns nil when the entry with the given index is committed.
	Wait(ctx context.Context, index uint64) error
	// Commit returns the index of the last committed entry.
	Commit() uint64
}

// Config configures a Follower.
type Config struct {
	Host      string
	Transport carawayshift.Transport
	// Source and Log are set on voters, Machine and Voters on all other hosts.
	Source  Source
	Log     carawayshift.Log
	Machine carawayshift.StateMachine
	// Voters lists the voters, near ones first.
	Voters func() []string
	// Members lists the other live hosts of the zone. Voters among them are
	// named by Voters too.
	Members func() []string
	Logger  logrus.FieldLogger
	// Metrics gets the age and the index of the copy.
	Metrics *metrics.Set
}

// Seen is what the leader knows of a host's copy.
type Seen struct {
	// Index is the last entry that the host has applied.
	Index uint64
	// Time is when the host said so.
	Time time.Time
}

// Follower is a copy of the replicated state, or on a voter the server of
// such copies.
type Follower struct {
	cfg Config

	// machineMu serialises the state machine's methods.
	machineMu sync.Mutex

	mu      sync.Mutex
	applied uint64
	// floor is the highest index that this host or a peer has shown.
	floor uint64
	// heard is the highest index that a peer said it was about to show. It
	// counts for peers that ask, not for this host's readiness.
	heard uint64
	// fresh is the last time at which the copy held everything that was
	// committed, as far as a voter with a leader knew.
	fresh time.Time
	// checked is set once the floor is known; see ready.go.
	checked bool
	// broken is set while a failed restore has left the state undefined.
	broken bool
	leader string
	term   uint64
	// buffer holds the entries up to applied, the last ones only.
	buffer  [][]byte
	size    int
	changed chan struct{}
	skip    map[string]passed
	// from is the source of the last pull.
	from string
	// progress maps hosts that pull here, or that reported here, to what
	// they have applied.
	progress map[string]Seen
	dirty    chan struct{}
	snapshot snapshot
}

var _ carawayshift.Log = (*Follower)(nil)

// New returns a follower and registers its methods at the transport.
func New(cfg Config) *Follower {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	f := &Follower{
		cfg: cfg, changed: make(chan struct{}), skip: map[string]passed{},
		progress: map[string]Seen{}, dirty: make(chan struct{}, 1),
	}
	f.measure()
	cfg.Transport.Handle(methodPull, f.handlePull)
	cfg.Transport.Handle(methodSnapshot, f.handleSnapshot)
	cfg.Transport.Handle(methodFloor, f.handleFloor)
	cfg.Transport.Handle(methodReport, f.handleReport)
	cfg.Transport.Handle(methodPropose, f.handlePropose)
	cfg.Transport.Handle(methodBarrier, f.handleBarrier)
	return f
}

// measure registers the gauges of a copy.
func (f *Follower) measure() {
	if f.cfg.Metrics == nil || f.cfg.Source != nil {
		return
	}
	f.cfg.Metrics.NewGauge("carawayshift_follower_age_seconds", func() float64 { return f.Age().Seconds() })
	f.cfg.Metrics.NewGauge("carawayshift_follower_applied_index", func() float64 { return float64(f.Applied()) })
}

// Run keeps the copy up to date until ctx ends. On a voter it passes the
// progress of its zone's hosts on to the leader.
func (f *Follower) Run(ctx context.Context) {
	if f.cfg.Source != nil {
		f.reports(ctx)
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.follow(ctx) })
	wg.Go(func() { f.reports(ctx) })
	wg.Go(func() { f.findFloor(ctx) })
}

// Applied returns the index of the last applied entry.
func (f *Follower) Applied() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

// Age returns how old the copy may be: the time since a voter that knew a
// leader confirmed that nothing newer was committed. It is negative before
// the first confirmation.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age()
}

func (f *Follower) age() time.Duration {
	if f.fresh.IsZero() {
		return -1
	}
	return time.Since(f.fresh)
}

// WaitApplied returns nil when the entry with the given index is applied
// here, for example the index of an Answer or of a Barrier.
func (f *Follower) WaitApplied(ctx context.Context, index uint64) error {
	for {
		f.mu.Lock()
		applied, changed := f.applied, f.changed
		f.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return carawayshift.NewError(carawayshift.Unavailable, "this host's copy is behind", "retry, or ask another host")
		}
	}
}

// Progress returns what each follower has applied, as far as this host was
// told. Relays report to the leader, so it is complete there only.
func (f *Follower) Progress() map[string]Seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Seen, len(f.progress))
	for host, seen := range f.progress {
		out[host] = seen
	}
	return out
}

func (f *Follower) call(ctx context.Context, wait time.Duration, host, method string, in, out any) error {
	body, err := carawayshift.Encode(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body, err = f.cfg.Transport.Call(ctx, host, method, body)
	if err != nil {
		return err
	}
	return carawayshift.Decode(body, out)
}
