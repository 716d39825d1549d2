// Package dispatcher executes batches on the leader: it calls the planner,
// commits each start before it sends it to the runner, renews the leases of
// open runs, and commits the ends of runs before it acknowledges them.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{Log: replica, Term: term, Table: machine.Batches(), ...})
//	go d.Run(ctx)
//	err := d.Report(agent) // a runner's heartbeat, on the leader
//	d.Wake()               // after a change of the table
//
// The fencing token consists of the leader's term and a count, and only increases. A
// leaderTerm is the state of one term in which this host leads; it has a session for each
// runner that has reported. A session calls its runner as soon as it is opened, so that the
// runner refuses what was sent before. None of that state outlives the term: the next
// leader finds the open runs in the table and requests the status of their runners.
package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/batch"
	"carawayshift.example/carawayshift/pkg/estimate"
	"carawayshift.example/carawayshift/pkg/outlier"
	"carawayshift.example/carawayshift/pkg/pause"
	"carawayshift.example/carawayshift/pkg/shortage"
	"carawayshift.example/carawayshift/pkg/speed"
)

// Timing holds the durations that the runners' platform prescribes.
type Timing struct {
	// Lease is the maximum time that a runner keeps its tasks without a
	// renewal.
	Lease time.Duration
	// MaxOutage is the longest time that a long-running task may have no run after its
	// runner was lost, 0 for no limit. Leases on runners with such tasks are shorter for it.
	MaxOutage time.Duration
	// Heartbeat is the interval of the runners' reports.
	Heartbeat time.Duration
	// Retention is how long the state of an ended batch can be queried.
	Retention time.Duration
	// Stop is the maximum time that stopping a task takes.
	Stop time.Duration
	// ReadyDelay is how long after its start a long-running task without complete
	// progress may come to work at any moment.
	ReadyDelay time.Duration
	// Maintenance is the duration of a machine's maintenance.
	Maintenance time.Duration
}

// longRunningLease returns the length of leases on runners with long-running tasks. A lost
// runner is given up once its lease has expired by its own clock and a stop would be over;
// the task is then started elsewhere.
func (t Timing) longRunningLease() time.Duration {
	if t.MaxOutage == 0 {
		return t.Lease
	}
	lease := float64(t.MaxOutage-replaceTime)*(1-clockDrift) - float64(t.Stop)
	return min(t.Lease, max(time.Duration(lease), minLease))
}

const (
	// replaceTime is how long it takes to notice that a lease has expired, with the last
	// call that gets no answer, and to commit the loss and the start of the next run.
	replaceTime = callTimeout + retryInterval + 500*time.Millisecond
	// minLease is the shortest lease: two renewals may take as long as they can. The clock in
	// a response may have been read when the renewal arrived.
	minLease = 2 * (renewWait + callTimeout)
	// renewWait is the maximum time that a runner delays its response to a
	// lease renewal.
	renewWait = 2 * time.Second
	// callTimeout bounds one call to a runner. Round trips between regions take
	// 45 ms; a call without a response is retried.
	callTimeout = 700 * time.Millisecond
	// planInterval is the maximum time between two plans; an event triggers one
	// earlier.
	planInterval = 250 * time.Millisecond
	// exitMargin is the time in which a plan is made, a stop is sent, and the end is
	// reported, besides the time that the stop itself takes.
	exitMargin = planInterval + 200*time.Millisecond
	// preemptionDelay is how long a new leader waits for the runners' responses
	// before it preempts: a recall and one call to each runner.
	preemptionDelay = recallTimeout + callTimeout
	// recallTimeout bounds a recall. A round trip between regions takes 45 ms,
	// and the runners report on their own in the meantime.
	recallTimeout = 400 * time.Millisecond
	// proposeTimeout bounds one commit; an election takes up to 3 s.
	proposeTimeout = 4 * time.Second
	// clockDrift is the maximum rate by which a runner's clock may run slow.
	clockDrift = 0.02
	// staleAfterHeartbeats is the number of missed heartbeats after which a
	// runner gets no new work.
	staleAfterHeartbeats = 3
	// forgetAfterHeartbeats is the number of missed heartbeats after which a
	// runner without open runs is removed.
	forgetAfterHeartbeats = 20
	// rememberExit is how long a runner's exit is remembered; reports that a
	// network partition held back arrive later than it.
	rememberExit = 10 * time.Minute
	// restartDelay is the time after a panic until dispatching starts anew.
	restartDelay = time.Second
)

// Config configures a Dispatcher.
type Config struct {
	Host string
	Log  carawayshift.TermLog
	// Term returns the term in which this host leads and has applied every
	// committed entry, and a channel that is closed when either may have
	// changed.
	Term func() (term uint64, ok bool, changed <-chan struct{})
	// Permitted reports whether this host leads in a term and no other host can
	// have been elected since; nil means always.
	Permitted   func(term uint64) bool
	Table       *batch.Table
	ClosedZones func() map[string]bool
	Planner     carawayshift.Dispatcher
	// Shortage decides which batches are rejected; nil admits all.
	Shortage *shortage.Policy
	Client   carawayshift.AgentClient
	// Recall calls handle with each report that other control hosts received
	// recently. It may be nil.
	Recall func(ctx context.Context, handle func(carawayshift.AgentReport))
	// Advisor and Machines are services of the platform; they are called only
	// for advised queues and for maintenance waves.
	Advisor  carawayshift.Advisor
	Machines carawayshift.Machines
	Timing   Timing
	// Speeds learns the speeds of the runners; nil treats all alike.
	Speeds  *speed.Estimator
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
}

// Dispatcher runs the leader's planning loop.
type Dispatcher struct {
	cfg  Config
	wake chan struct{}
	// changed is true if the next plan must not wait although no task waits.
	changed atomic.Bool
	// fences counts the fencing tokens. It is kept across terms: after a panic,
	// dispatching starts anew in the same term.
	fences atomic.Uint64
	// runTimes is kept across terms: run times depend on the work, not on which
	// host leads.
	runTimes *estimate.Estimator
	outliers *outlier.Detector
	gauges   *gauges
	door     *door

	// led is the last term in which this host dispatched. Only Run's goroutine uses it.
	led uint64

	mu     sync.Mutex
	active *leaderTerm
}

// New returns a dispatcher that is active while its host leads.
func New(cfg Config) *Dispatcher {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	g := newGauges(cfg.Metrics)
	g.speeds = cfg.Speeds
	return &Dispatcher{cfg: cfg, wake: make(chan struct{}, 1), runTimes: estimate.New(), outliers: outlier.New(), gauges: g, door: newDoor(cfg)}
}

// Wake triggers a plan immediately.
func (d *Dispatcher) Wake() {
	d.changed.Store(true)
	d.wakeIfWaiting()
}

// wakeIfWaiting triggers a plan immediately if tasks wait.
func (d *Dispatcher) wakeIfWaiting() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run dispatches in each term in which this host leads, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		term, ok, changed := d.cfg.Term()
		if ok {
			d.lead(ctx, term)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// lead dispatches until the term ends or a runner has seen a newer term.
func (d *Dispatcher) lead(parent context.Context, term uint64) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	t := newLeaderTerm(d, term, cancel)
	d.mu.Lock()
	d.active = t
	d.mu.Unlock()
	t.log.WithField("event", "leading").Info("this host leads; it starts to dispatch")
	go d.watchTerm(ctx, term, cancel)
	if d.led != term || t.commitEarlier(ctx) {
		d.led = term
		t.run(ctx)
	}
	d.mu.Lock()
	d.active = nil
	d.mu.Unlock()
	cancel()
	if t.panicked.Load() {
		pause.For(parent, restartDelay)
		return
	}
	t.wait()
	d.gauges.publish(nil)
	d.door.update(nil)
	t.log.WithField("event", "resigned").Info("dispatching has stopped: the host has lost the leadership or is shutting down")
	d.awaitResignation(parent, term)
}

// watchTerm cancels the dispatching of a term when the term ends.
func (d *Dispatcher) watchTerm(ctx context.Context, term uint64, cancel context.CancelFunc) {
	for {
		current, ok, changed := d.cfg.Term()
		if !ok || current != term {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// awaitResignation waits until the term has ended, or it is certain that this host still
// leads. A runner may have refused the term's fencing token before this host knows of the
// newer term.
func (d *Dispatcher) awaitResignation(ctx context.Context, term uint64) {
	for ctx.Err() == nil && !d.permitted(term) {
		current, ok, changed := d.cfg.Term()
		if !ok || current != term {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(permissionInterval):
		}
	}
}

// Report handles a runner's heartbeat. The error has kind NotRun when this host
// does not lead.
func (d *Dispatcher) Report(a carawayshift.Agent) error {
	t := d.current()
	if t == nil {
		return notLeading()
	}
	t.report(a)
	return nil
}

// Leave handles the orderly exit of an incarnation of a runner; incarnation is 0 if
// it is not known.
func (d *Dispatcher) Leave(id string, incarnation int64) error {
	t := d.current()
	if t == nil {
		return notLeading()
	}
	t.leave(id, incarnation)
	return nil
}

// HasBegun reports whether a runner has confirmed an open run, or has reported its end.
func (d *Dispatcher) HasBegun(s carawayshift.RunStart) bool {
	t := d.current()
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	sess := t.sessions[s.Runner]
	if sess == nil {
		return false
	}
	r := sess.find(s.Task, s.Run)
	return r != nil && (r.ended || r.begun)
}

func (d *Dispatcher) current() *leaderTerm {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}

func notLeading() error {
	return carawayshift.NewError(carawayshift.NotRun, "this host does not lead", "ask the leader")
}
