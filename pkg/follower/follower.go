// Package follower maintains a copy of the replicated state on hosts that are
// not voters.
//
// One relay in each zone pulls committed entries from a voter, and the zone's
// other hosts pull them from the relay, so that the link between regions carries
// each entry once. If the zone has a voter, that is the relay, otherwise the
// first live host in name order.
//
// # Usage
//
// On a host that is not a voter, a Follower is the carawayshift.Log:
//
//	f := follower.New(follower.Config{Host: "lav2", Machine: machine, Transport: mesh,
//		Voters: voters, ZonePeers: zonePeers})
//	go f.Run(ctx)
//	if err := f.Ready(); err != nil {
//		// do not serve requests that depend on the configuration yet
//	}
//
// On a voter, Source and Log are set. It serves followers and records
// their progress:
//
//	f := follower.New(follower.Config{Host: "lav1", Source: replica, Log: replica, Transport: mesh})
//	for host, p := range f.Progress() {
//		// host has applied every entry up to p.Index
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
	// pollTimeout limits how long a pull waits for new entries. It determines the
	// reported age of a copy without faults: up to one timeout on a relay, two
	// on the hosts that pull from it.
	pollTimeout = 4 * time.Second
	callTimeout = 3 * time.Second
	// pullMargin is how long a pull may take in addition to pollTimeout: a
	// batch of 512 KB takes 0.15 s on an idle link of 30 Mbit/s.
	pullMargin = 1500 * time.Millisecond
	// A source that fails, or whose copy is older than maxSourceAge, is not used
	// for minSourceBackoff, and longer after each further consecutive failure.
	maxSourceAge     = 3 * pollTimeout
	minSourceBackoff = 2 * time.Second
	maxSourceBackoff = time.Minute

	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second

	batchEntries = 256
	batchBytes   = 512 << 10
	chunkBytes   = 256 << 10
	// The relay's buffer serves hosts of its zone that lag by a few entries.
	bufferEntries = 4096
	bufferBytes   = 8 << 20

	methodPull     = "follower.pull"
	methodSnapshot = "follower.snapshot"
	methodFloor    = "follower.floor"
	methodReport   = "follower.report"
	methodPropose  = "follower.propose"
	methodBarrier  = "follower.barrier"
)

// Source provides a voter's committed entries. The replica implements it.
type Source interface {
	// Entries returns at most limit committed entries, the first of which
	// has index from. Ok is false when that entry was compacted. It returns
	// no entries when that entry is not committed yet.
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
	// Voters lists the voters, the nearest ones first.
	Voters func() []string
	// ZonePeers lists the other live hosts of the zone. Voters also lists those
	// that are voters.
	ZonePeers func() []string
	Logger    logrus.FieldLogger
	// Metrics receives the age and the index of the copy.
	Metrics *metrics.Set
}

// HostProgress is the progress of a host's copy as the leader knows it.
type HostProgress struct {
	// Index is the index of the last entry that the host has applied.
	Index uint64
	// Time is when the host reported it.
	Time time.Time
}

// Follower maintains a copy of the replicated state. On a voter, it serves the
// followers of other hosts.
type Follower struct {
	cfg Config

	// machineMu serialises the state machine's methods.
	machineMu sync.Mutex

	mu      sync.Mutex
	applied uint64
	// floor is the highest index that this host or a peer is known to have
	// served. A copy that has not applied it is not ready.
	floor uint64
	// announced is the highest index that a peer has announced before applying
	// it. It is part of the floor that this host reports to peers, but does not
	// affect this host's readiness.
	announced uint64
	// upToDateAt is the last time at which the copy contained every committed
	// entry, according to a voter that knew a leader.
	upToDateAt time.Time
	// floorKnown is set once the floor is known; see findFloor.
	floorKnown bool
	// restoreFailed is set while the state is undefined because restoring a
	// snapshot failed.
	restoreFailed bool
	leader        string
	term          uint64
	// buffer holds the most recent entries, up to applied.
	buffer     [][]byte
	bufferSize int
	changed    chan struct{}
	backoffs   map[string]sourceBackoff
	// lastSource is the source of the last pull.
	lastSource string
	// progress describes the hosts that pull from this host or whose progress
	// was reported to it.
	progress  map[string]HostProgress
	reportDue chan struct{}
	snapshot  snapshot
}

var _ carawayshift.Log = (*Follower)(nil)

// New returns a follower and registers its methods with the transport.
func New(cfg Config) *Follower {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	f := &Follower{
		cfg: cfg, changed: make(chan struct{}), backoffs: map[string]sourceBackoff{},
		progress: map[string]HostProgress{}, reportDue: make(chan struct{}, 1),
	}
	f.registerGauges()
	cfg.Transport.Handle(methodPull, f.handlePull)
	cfg.Transport.Handle(methodSnapshot, f.handleSnapshot)
	cfg.Transport.Handle(methodFloor, f.handleFloor)
	cfg.Transport.Handle(methodReport, f.handleReport)
	cfg.Transport.Handle(methodPropose, f.handlePropose)
	cfg.Transport.Handle(methodBarrier, f.handleBarrier)
	return f
}

// registerGauges registers the metrics of a copy.
func (f *Follower) registerGauges() {
	if f.cfg.Metrics == nil || f.cfg.Source != nil {
		return
	}
	f.cfg.Metrics.NewGauge("carawayshift_follower_age_seconds", func() float64 { return f.Age().Seconds() })
	f.cfg.Metrics.NewGauge("carawayshift_follower_applied_index", func() float64 { return float64(f.Applied()) })
}

// Run keeps the copy up to date until ctx ends. On a voter, it reports the
// progress of its zone's hosts to the leader.
func (f *Follower) Run(ctx context.Context) {
	if f.cfg.Source != nil {
		f.reportLoop(ctx)
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.pullLoop(ctx) })
	wg.Go(func() { f.reportLoop(ctx) })
	wg.Go(func() { f.findFloor(ctx) })
}

// Applied returns the index of the last applied entry.
func (f *Follower) Applied() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

// Age returns the maximum age of the copy: the time since a voter that knew a
// leader confirmed that no newer entry was committed. It is negative before the
// first confirmation.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age()
}

func (f *Follower) age() time.Duration {
	if f.upToDateAt.IsZero() {
		return -1
	}
	return time.Since(f.upToDateAt)
}

// WaitApplied waits until this host has applied the entry with the given index,
// for example that of an Answer or of a Barrier.
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
			return carawayshift.NewError(carawayshift.Unavailable, "this host's copy has not applied the entry yet", "retry, or ask another host")
		}
	}
}

// Progress returns the progress of each follower that this host knows. Relays
// report to the leader, so only the leader knows all followers.
func (f *Follower) Progress() map[string]HostProgress {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]HostProgress, len(f.progress))
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
