// Package dispatcher carries out batches on the leader: it plans, commits each
// start before it is sent, keeps the leases of what runs, and records ends
// before it acknowledges them.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{Log: replica, Term: term, Table: machine.Batches(), ...})
//	go d.Run(ctx)
//	err := d.Report(agent) // a runner's heartbeat, on the leader
//	d.Wake()               // after a change of the table
//
// The fencing token is the leader's term, which only rises. A tenure is one
// term of leadership on this host; it keeps a session for each runner that has
// reported. Nothing of a tenure survives it: the next leader finds the open
// runs in the table and asks their runners.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/batch"
	"carawayshift.example/carawayshift/pkg/estimate"
	"carawayshift.example/carawayshift/pkg/outlier"
)

// Timing are the durations that the runners' platform dictates.
type Timing struct {
	// Lease is the longest time that a runner keeps its tasks without a call.
	Lease time.Duration
	// Heartbeat is the interval of the runners' reports.
	Heartbeat time.Duration
	// Keep is how long an ended batch can be asked for.
	Keep time.Duration
	// Stop is the longest time that a stop takes.
	Stop time.Duration
	// Notice is how long the absence of a lasting task counts after it is back.
	Notice time.Duration
	// Upkeep is how long a machine's upkeep takes.
	Upkeep time.Duration
}

const (
	// holdWait is the longest that a runner delays its answer to a hold.
	holdWait = 2 * time.Second
	// callTimeout bounds one order to a runner. Round trips between regions
	// take 45 ms; an order that is not answered by then is sent again.
	callTimeout = 700 * time.Millisecond
	// planEvery is the interval of plans without an event.
	planEvery = 250 * time.Millisecond
	// settleTime is how long a new leader waits for the runners' answers before
	// it preempts: a recall and one call to each runner.
	settleTime = recallTime + callTimeout
	// recallTime bounds a recall. A round trip between regions takes 45 ms, and
	// the runners report by themselves meanwhile.
	recallTime = 400 * time.Millisecond
	// proposeTimeout bounds one commit; an election takes up to 3 s.
	proposeTimeout = 4 * time.Second
	// clockDrift is how much slower a runner's clock may run.
	clockDrift = 0.02
	// staleReports is how many heartbeats may be missing before a runner gets
	// no new work.
	staleReports = 3
	// forgetReports is how many must be missing before it is forgotten.
	forgetReports = 20
)

// Config configures a Dispatcher.
type Config struct {
	Host string
	Log  carawayshift.Log
	// Term returns the term in which this host leads and has applied every
	// committed entry, and a channel that is closed when that may change.
	Term    func() (term uint64, ok bool, changed <-chan struct{})
	Table   *batch.Table
	Closed  func() map[string]bool
	Planner carawayshift.Dispatcher
	Client  carawayshift.AgentClient
	// Recall passes on what other control hosts have heard of runners lately.
	// Nil is none.
	Recall func(ctx context.Context, take func(carawayshift.AgentReport))
	// Advisor and Machines are the platform's services; they are called only
	// for advised queues and for waves of upkeep.
	Advisor  carawayshift.Advisor
	Machines carawayshift.Machines
	Timing   Timing
	Logger   logrus.FieldLogger
	Metrics  *metrics.Set
}

// Dispatcher is the leader's loop.
type Dispatcher struct {
	cfg  Config
	wake chan struct{}
	// took outlives tenures: it is true of the work, whoever leads.
	took      *estimate.Estimator
	probation *outlier.Detector
	gauges    *gauges

	mu     sync.Mutex
	tenure *tenure
}

// New returns a dispatcher, which works while its host leads.
func New(cfg Config) *Dispatcher {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Dispatcher{cfg: cfg, wake: make(chan struct{}, 1), took: estimate.New(), probation: outlier.New(), gauges: newGauges(cfg.Metrics)}
}

// Wake makes the next plan at once.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run works through the tenures of this host until ctx ends.
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

// lead runs one tenure until the term ends or a runner has seen a newer one.
func (d *Dispatcher) lead(parent context.Context, term uint64) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	t := newTenure(d, term, cancel)
	d.mu.Lock()
	d.tenure = t
	d.mu.Unlock()
	t.log.WithField("event", "leading").Info("leading")
	go d.watch(ctx, term, cancel)
	t.run(ctx)
	d.mu.Lock()
	d.tenure = nil
	d.mu.Unlock()
	cancel()
	t.wait()
	d.gauges.show(nil)
	t.log.WithField("event", "resigned").Info("no longer leading")
	d.awaitOther(parent, term)
}

// watch ends a tenure with its term.
func (d *Dispatcher) watch(ctx context.Context, term uint64, cancel context.CancelFunc) {
	for {
		now, ok, changed := d.cfg.Term()
		if !ok || now != term {
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

// awaitOther waits for the end of a term in which a runner refused the token.
func (d *Dispatcher) awaitOther(ctx context.Context, term uint64) {
	for ctx.Err() == nil {
		now, ok, changed := d.cfg.Term()
		if !ok || now != term {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Report takes a runner's heartbeat. The error has kind NotRun when this host
// does not lead.
func (d *Dispatcher) Report(a carawayshift.Agent) error {
	t := d.current()
	if t == nil {
		return notLeading()
	}
	t.report(a)
	return nil
}

// Leave records that a runner has ended in order.
func (d *Dispatcher) Leave(id string) error {
	t := d.current()
	if t == nil {
		return notLeading()
	}
	t.leave(id)
	return nil
}

func (d *Dispatcher) current() *tenure {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tenure
}

func notLeading() error {
	return carawayshift.NewError(carawayshift.NotRun, "this host does not lead", "ask the leader")
}
