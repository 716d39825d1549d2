// Package replica implements a replicated command log: a consensus protocol
// with a single leader. The program supplies the journal, the transport and the
// state machine.
//
// # Usage
//
//	j, err := journal.Open(dir)
//	r, err := replica.New(replica.Config{Host: "e1", Voters: []string{"e1", "e2", "e3"}}, j, machine, transport)
//	go r.Run(ctx)
//	answer, err := r.Propose(ctx, command)  // on any host
//
// A linearizable read waits for the index of Barrier to be applied:
//
//	index, err := r.Barrier(ctx)
//	err = r.WaitApplied(ctx, index)
//
// No other replica may use the same journal. The group is bootstrapped once,
// when all hosts of Config.Voters run with empty data folders; a host with an
// empty data folder that finds an existing group waits until AddLearner and
// Promote add it.
//
// # Guarantees
//
// An error of kind NotRun guarantees that the command is in no log. A command
// that may or may not be committed is answered with OutcomeUnknown. Nothing is
// acknowledged before it is on the disks of a majority of voters.
package replica

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

// Kinds of log entries. Only commands reach the state machine.
const (
	KindCommand    uint8 = 0
	KindTermStart  uint8 = 1
	KindMembership uint8 = 2
)

// Config holds the settings of a replica. Zero values select the defaults.
type Config struct {
	// Host is the name of this host in the transport.
	Host string
	// Region is the region of this host. A leader in the region of most voters
	// commits without waiting for another region, so that hosts there start
	// elections first. It may be empty.
	Region string
	// Voters are the hosts that bootstrap the group when all of them are new.
	// It is empty on a host that joins an existing group.
	Voters []string
	// ElectionTimeout is the minimum time without a leader before an election,
	// and the time without a majority after which a leader steps down.
	// Default 1 s. The round-trip time between hosts must be well below a
	// quarter of it.
	ElectionTimeout time.Duration
	// Heartbeat is the minimum heartbeat interval of an idle leader. Default
	// 150 ms.
	Heartbeat time.Duration
	// IdleBytesPerSecond is the budget for the heartbeats of the leader's host
	// when the group is idle, with packet overhead; the interval grows with the
	// number of members to stay within it. Default 2700, below the limit of
	// 3 KB/s per host.
	IdleBytesPerSecond int
	// SnapshotEntries and SnapshotBytes are the number and the size of log
	// entries after which a snapshot is taken. Defaults 4096 and 8 MB.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// KeepEntries is the number of entries before a snapshot that stay in the
	// log for members and hosts that are slightly behind; their size is
	// limited to SnapshotBytes. Default 1024.
	KeepEntries uint64
	// Seed makes the election timeouts reproducible in tests. 0 selects a
	// random seed.
	Seed uint64
	// Logger defaults to logrus.StandardLogger.
	Logger logrus.FieldLogger
}

const (
	defaultElectionTimeout = time.Second
	defaultHeartbeat       = 150 * time.Millisecond
	defaultIdleBytes       = 2700
	defaultSnapshotEntries = 4096
	defaultSnapshotBytes   = 8 << 20
	defaultKeepEntries     = 1024
	// defaultProposeTimeout is the timeout of calls whose context has no
	// deadline.
	defaultProposeTimeout = 10 * time.Second
)

func (c Config) withDefaults() Config {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.IdleBytesPerSecond == 0 {
		c.IdleBytesPerSecond = defaultIdleBytes
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = defaultKeepEntries
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.Logger == nil {
		c.Logger = logrus.StandardLogger()
	}
	return c
}

// Replica is a member of the group. It implements carawayshift.Log.
type Replica struct {
	cfg       Config
	journal   *journal.Journal
	machine   carawayshift.StateMachine
	transport carawayshift.Transport
	log       logrus.FieldLogger
	done      chan struct{} // closed when Run ends
	// diskLock is held to change the term, the vote or the log. Volatile state
	// is protected by mu, which is never held during a wait, a sync or a call.
	diskLock     chan struct{}
	checkingDisk atomic.Bool
	// afterTimer, if set by a test, is called after each timer of the replica.
	afterTimer func()

	mu               sync.Mutex
	rng              *rand.Rand
	running          bool
	diskFull         bool      // since a write failed with journal.ErrDiskFull
	writingSince     time.Time // start of the leader's write in progress, or zero
	fatal            error
	cancel           context.CancelFunc
	hardState        journal.HardState
	memberships      []membership
	acked            map[uint64]uint64 // last committed index acknowledged by a disk, by identity
	ackedVersion     uint64            // counts the changes of acked
	leader           string            // of hard.Term, "" when unknown
	instance         uint64            // identifies this process
	started          time.Time         // when Run started
	leaderContact    time.Time         // time of the leader's last message
	votedAt          time.Time         // time of the last vote for another host
	electionDeadline time.Time         // when the next election starts
	earlierAsked     time.Time         // when a voter that comes before this one, see turn, last asked for a pre-vote
	yielded          bool              // see yields
	commit           uint64
	applied          uint64
	snapIndex        uint64
	logBytes         int64 // command bytes applied since the snapshot
	lead             *leaderState
	incoming         *snapshotTransfer // snapshot that is being received
	restore          *journal.Snapshot // snapshot to restore into the state machine
	waiters          map[uint64]*proposal
	queue            []*proposal
	forwarded        map[uint64]*proposal // by nonce
	nonces           []uint64             // oldest first
	changed          chan struct{}        // closed and replaced by notify
}

var _ carawayshift.Log = (*Replica)(nil)

// New restores the state machine from the journal's snapshot and registers the
// transport's handlers. The state machine must be empty.
func New(cfg Config, j *journal.Journal, m carawayshift.StateMachine, t carawayshift.Transport) (*Replica, error) {
	cfg = cfg.withDefaults()
	r := &Replica{
		cfg: cfg, journal: j, machine: m, transport: t,
		log:       cfg.Logger.WithField("host", cfg.Host),
		done:      make(chan struct{}),
		diskLock:  make(chan struct{}, 1),
		hardState: j.HardState(),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		instance:  rand.Uint64() | 1,
		acked:     map[uint64]uint64{},
		waiters:   map[uint64]*proposal{},
		forwarded: map[uint64]*proposal{},
		changed:   make(chan struct{}),
	}
	if err := r.recover(); err != nil {
		return nil, errors.Wrap(err, "replica.New")
	}
	r.register()
	return r, nil
}

// recover initialises the volatile state from the journal.
func (r *Replica) recover() error {
	snap, err := r.journal.Snapshot()
	if err != nil {
		return err
	}
	first := membership{}
	if first.members, err = decodeMembers(r.hardState.Membership); err != nil {
		return err
	}
	if snap.Index > 0 {
		if err := r.machine.Restore(bytes.NewReader(snap.Data)); err != nil {
			return err
		}
		first.index = snap.Index
		if first.members, err = decodeMembers(snap.Membership); err != nil {
			return err
		}
	}
	r.commit, r.applied, r.snapIndex = snap.Index, snap.Index, snap.Index
	r.memberships = []membership{first}
	entries, err := r.journal.Entries(snap.Index+1, maxInt, maxInt)
	if err != nil {
		return err
	}
	return r.recordMemberships(entries)
}

const maxInt = int(^uint(0) >> 1)

func (r *Replica) register() {
	handlers := map[string]carawayshift.Handler{
		methodHello:    r.handleHello,
		methodVote:     r.handleVote,
		methodAppend:   r.handleAppend,
		methodSnapshot: r.handleSnapshot,
		methodElect:    r.handleElect,
		methodPropose:  r.handlePropose,
		methodBarrier:  r.handleBarrier,
		methodChange:   r.handleChange,
		methodDisk:     r.handleDisk,
	}
	for method, fn := range handlers {
		r.transport.Handle(method, r.requireRunning(fn))
	}
}

// requireRunning wraps a handler to refuse calls while Run is not running.
func (r *Replica) requireRunning(fn carawayshift.Handler) carawayshift.Handler {
	return func(ctx context.Context, from string, body []byte) ([]byte, error) {
		r.mu.Lock()
		ok := r.running
		r.mu.Unlock()
		if !ok {
			return nil, notRun("the replica on "+r.cfg.Host+" is not running", retryRemedy)
		}
		return fn(ctx, from, body)
	}
}

// Run participates in the group until ctx ends or the disk fails. It returns nil
// when ctx ended.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.running, r.cancel = true, cancel
	r.started = time.Now()
	r.resetElectionTimer(r.cfg.ElectionTimeout / 10)
	if turn := r.turn(r.cfg.Host); turn >= 0 { // all voters may have started just now
		r.electionDeadline = r.started.Add(r.cfg.ElectionTimeout/10 + time.Duration(turn)*r.cfg.ElectionTimeout/turnsPerTimeout)
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){r.bootstrap, r.runElections, r.runWriter, r.runApply} {
		wg.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	r.stop()
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fatal
}

// stop ends all waits. Commands that are in the log but not applied get the
// error OutcomeUnknown.
func (r *Replica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	r.stepDown("stopping")
	for index, p := range r.waiters {
		p.finish(nil, outcomeUnknown("the host stopped before the command was applied"))
		delete(r.waiters, index)
	}
	close(r.done)
	r.notify()
}

// fail stops the replica, because the state of its disk is no longer reliable. If
// the disk is only full, the replica goes on without writing until there is space.
func (r *Replica) fail(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, journal.ErrDiskFull) {
		r.pauseWrites(err)
		return err
	}
	if r.fatal == nil && r.running {
		r.fatal = err
		r.log.WithError(err).Error("replica stops after an error of its journal")
	}
	if r.cancel != nil {
		r.cancel()
	}
	return err
}

// lockDisk acquires diskLock.
func (r *Replica) lockDisk(ctx context.Context) error {
	select {
	case r.diskLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return notRun("the deadline was exceeded", retryRemedy)
	case <-r.done:
		return notRun("the host is stopping", retryRemedy)
	}
}

func (r *Replica) unlockDisk() { <-r.diskLock }

// notify wakes all goroutines in await and all callers of Watch. The caller
// holds r.mu.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// await returns when ok returns true. It calls ok with r.mu held.
func (r *Replica) await(ctx context.Context, ok func() bool) error {
	for {
		r.mu.Lock()
		if ok() {
			r.mu.Unlock()
			return nil
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.done:
			return unavailable("the host is stopping", retryRemedy)
		}
	}
}

// sleep waits for d and reports whether ctx has not ended.
func (r *Replica) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	if r.afterTimer != nil {
		r.afterTimer()
	}
	return ctx.Err() == nil
}

// resetElectionTimer schedules the next election after least plus a random time
// of up to 0.6 election timeouts. Hosts in the region of most voters use the first
// third of that time, the others the rest of it. The caller holds r.mu.
func (r *Replica) resetElectionTimer(least time.Duration) {
	third := r.cfg.ElectionTimeout * 2 / 10
	spread := 3 * third
	switch majorityRegion(r.members()) {
	case "":
	case r.cfg.Region:
		spread = third
	default:
		least += third
		spread -= third
	}
	r.electionDeadline = time.Now().Add(least + time.Duration(r.rng.Int64N(int64(spread))))
}
