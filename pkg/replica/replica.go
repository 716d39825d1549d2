// Package replica is a replicated command log: a consensus protocol with a
// single leader, on a journal, a transport and a state machine that the
// program supplies.
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
// The journal must belong to this replica alone. The group forms itself once,
// when all hosts of Config.Voters are up with empty folders; a host with an
// empty folder that meets a formed group waits until it is added by AddLearner
// and Promote.
//
// # Guarantees
//
// An error of kind NotRun is true: the command is in no log. A command whose
// end is unclear is answered with OutcomeUnknown. Nothing is acknowledged
// before it is on the disks of a majority of voters.
package replica

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
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

// Config are the settings of a replica. Zero values get the defaults.
type Config struct {
	// Host is this host's name in the transport.
	Host string
	// Voters are the hosts that form the group when all of them are new.
	// Empty on a host that joins an existing group.
	Voters []string
	// ElectionTimeout is the least time without a leader before an election,
	// and the time without a majority after which a leader steps down.
	// Default 1 s. The links' round trip must be well below a quarter of it.
	ElectionTimeout time.Duration
	// Heartbeat is the shortest interval at rest. Default 150 ms.
	Heartbeat time.Duration
	// RestBytes is what the heartbeats of the leader's host may use, in bytes
	// per second with packet overhead; the interval grows with the number of
	// members to keep to it. Default 2700, below 3 KB/s per host.
	RestBytes int
	// SnapshotEntries and SnapshotBytes are the number and the size of log
	// entries after which a snapshot is taken. Defaults 4096 and 8 MB.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// KeepEntries stay in the log behind a snapshot, but at most SnapshotBytes
	// of them, for members and hosts that are a little behind. Default 1024.
	KeepEntries uint64
	// Seed makes the election timeouts repeatable in tests. 0 means random.
	Seed uint64
	// Logger defaults to the standard one.
	Logger logrus.FieldLogger
}

const (
	defaultElectionTimeout = time.Second
	defaultHeartbeat       = 150 * time.Millisecond
	defaultRestBytes       = 2700
	defaultSnapshotEntries = 4096
	defaultSnapshotBytes   = 8 << 20
	defaultKeepEntries     = 1024
	// defaultProposeTimeout bounds calls whose context has no deadline.
	defaultProposeTimeout = 10 * time.Second
)

func (c Config) withDefaults() Config {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.RestBytes == 0 {
		c.RestBytes = defaultRestBytes
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

// Replica is one member of the group. It implements carawayshift.Log.
type Replica struct {
	cfg       Config
	journal   *journal.Journal
	machine   carawayshift.StateMachine
	transport carawayshift.Transport
	log       logrus.FieldLogger
	done      chan struct{} // closed when Run ends
	// disk is held by whoever changes term, vote or log. Volatile state is
	// under mu, which is never held across a wait, a sync or a call.
	disk chan struct{}
	// woke, when set by a test, runs after each timer of the replica.
	woke func()

	mu        sync.Mutex
	rng       *rand.Rand
	running   bool
	fatal     error
	cancel    context.CancelFunc
	hard      journal.HardState
	configs   []config
	acked     map[uint64]uint64 // last committed entry that a disk had, by identity
	ackedNews uint64            // counts the changes of acked
	leader    string            // of hard.Term, "" when unknown
	heard     time.Time         // last message of a leader
	voted     time.Time         // last vote for another host
	deadline  time.Time         // next election
	commit    uint64
	applied   uint64
	snapIndex uint64
	logBytes  int64 // command bytes applied since the snapshot
	lead      *leadership
	incoming  *transfer         // snapshot that is being received
	restore   *journal.Snapshot // snapshot to hand to the state machine
	waiters   map[uint64]*proposal
	queue     []*proposal
	forwarded map[uint64]*proposal // by nonce
	nonces    []uint64             // oldest first
	changed   chan struct{}        // closed at the next change of the above
}

var _ carawayshift.Log = (*Replica)(nil)

// New restores the state machine from the journal's snapshot and registers
// the handlers. The state machine must be empty.
func New(cfg Config, j *journal.Journal, m carawayshift.StateMachine, t carawayshift.Transport) (*Replica, error) {
	cfg = cfg.withDefaults()
	r := &Replica{
		cfg: cfg, journal: j, machine: m, transport: t,
		log:       cfg.Logger.WithField("host", cfg.Host),
		done:      make(chan struct{}),
		disk:      make(chan struct{}, 1),
		hard:      j.HardState(),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0)),
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

// recover sets the volatile state from the journal.
func (r *Replica) recover() error {
	snap, err := r.journal.Snapshot()
	if err != nil {
		return err
	}
	first := config{}
	if first.members, err = decodeMembers(r.hard.Membership); err != nil {
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
	r.configs = []config{first}
	entries, err := r.journal.Entries(snap.Index+1, maxInt, maxInt)
	if err != nil {
		return err
	}
	return r.noteConfigs(entries)
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
	}
	for method, fn := range handlers {
		r.transport.Handle(method, r.guard(fn))
	}
}

// guard refuses calls while Run is not running.
func (r *Replica) guard(fn carawayshift.Handler) carawayshift.Handler {
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

// Run takes part in the group until the context ends or the disk fails. The
// error is nil when the context ended.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.running, r.cancel = true, cancel
	r.postpone(r.cfg.ElectionTimeout)
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){r.form, r.runElections, r.runWriter, r.runApply} {
		wg.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	r.stop()
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fatal
}

// stop ends all waits. Commands that reached the log have an unknown outcome.
func (r *Replica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	r.stepDown("stopping")
	for index, p := range r.waiters {
		p.finish(nil, unknown("the host stopped before the command was applied"))
		delete(r.waiters, index)
	}
	close(r.done)
	r.notify()
}

// fail stops the replica because its disk can't be trusted any more.
func (r *Replica) fail(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fatal == nil && r.running {
		r.fatal = err
		r.log.WithError(err).Error("replica stops: its journal failed")
	}
	if r.cancel != nil {
		r.cancel()
	}
	return err
}

// lockDisk waits for the right to change term, vote and log.
func (r *Replica) lockDisk(ctx context.Context) error {
	select {
	case r.disk <- struct{}{}:
		return nil
	case <-ctx.Done():
		return notRun("the time is up", retryRemedy)
	case <-r.done:
		return notRun("the host is stopping", retryRemedy)
	}
}

func (r *Replica) unlockDisk() { <-r.disk }

// notify wakes everybody who waits for a change. It needs r.mu.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// await returns when ok is true, which is called with r.mu held.
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

// sleep waits on a timer and reports whether the context still runs.
func (r *Replica) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	if r.woke != nil {
		r.woke()
	}
	return ctx.Err() == nil
}

// postpone sets the next election a random time after now. It needs r.mu.
func (r *Replica) postpone(least time.Duration) {
	spread := int64(r.cfg.ElectionTimeout * 6 / 10)
	r.deadline = time.Now().Add(least + time.Duration(r.rng.Int64N(spread)))
}
