// Package assignment decides which tasks of batches run on which runners. It
// answers a mixed load: short urgent steps beside long wide ones, gangs that
// start as a whole, and run times that were declared wrongly.
//
// # Usage
//
//	d := assignment.New(assignment.Config{})
//	out := d.Dispatch(load) // a pure function of the load
//
// Demands are served by priority, and within a priority by the time at which
// they miss their objective; those that have missed it step behind the others.
// A task goes to the runner that it fills best, so that wide tasks keep whole
// runners. A demand that finds no room reserves the runner that is expected to
// have some first; others may use it until then. Demands of priority 0 preempt
// runs when waiting would make them late and little work is lost, and always
// when their team is within its guarantee.
package assignment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// Config are the weights of a Dispatcher. Zero values get the defaults.
type Config struct {
	// Remote is how much longer tasks take away from their data or on more
	// than one rack. Default 3.
	Remote float64
	// Reclaim is the time in which a team's batches of priority 0 begin, as
	// long as they need no more than its guarantee. Default 2.9 s.
	Reclaim time.Duration
	// Stop is the longest time that a preempted run takes to end. Default 1 s.
	Stop time.Duration
	// MaxLoss is the work that preemption may throw away for a demand beyond
	// its team's guarantee, as a multiple of the demand's own work. Default 1.
	MaxLoss float64
	// Whole is the share of the runners that tasks with time to spare leave
	// whole, for gangs that need whole runners. Default 0.5; below 0 for none.
	Whole float64
}

const (
	defaultRemote  = 3
	defaultReclaim = 2900 * time.Millisecond
	defaultStop    = time.Second
	defaultMaxLoss = 1
	// defaultWhole is the best of 0, 0.15, 0.3, 0.5 and 1 on the load that
	// TestWholeRunnersServeGangs plays.
	defaultWhole = 0.5
	// acceleratorCores is the work of an accelerator in that of cores.
	acceleratorCores = 8
	// slackShare is the part of a demand's slack for which it waits for room
	// before it preempts. The rest covers the stop and wrong expectations.
	slackShare = 0.5
	// reclaimReserve is kept of Reclaim for the commit and the start.
	reclaimReserve = 900 * time.Millisecond
)

// Dispatcher implements carawayshift.Dispatcher.
type Dispatcher struct {
	cfg Config
}

var _ carawayshift.Dispatcher = (*Dispatcher)(nil)

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Remote == 0 {
		cfg.Remote = defaultRemote
	}
	if cfg.Reclaim == 0 {
		cfg.Reclaim = defaultReclaim
	}
	if cfg.Stop == 0 {
		cfg.Stop = defaultStop
	}
	if cfg.MaxLoss == 0 {
		cfg.MaxLoss = defaultMaxLoss
	}
	if cfg.Whole == 0 {
		cfg.Whole = defaultWhole
	}
	return &Dispatcher{cfg: cfg}
}

// Rules that hold a demand back.
const (
	RuleRoom = "no runner has room"

	RuleStops = "preempted runs have not ended yet"
)

// Dispatch implements carawayshift.Dispatcher.
func (d *Dispatcher) Dispatch(l carawayshift.DispatchInput) carawayshift.Dispatch {
	p := newPass(d.cfg, l)
	demands := slices.Clone(l.Demands)
	slices.SortStableFunc(demands, func(a, b carawayshift.Demand) int { return p.order(a, b) })
	for i := range demands {
		demands[i].OpenRuns = maps.Clone(demands[i].OpenRuns)
		p.serve(&demands[i])
	}
	return p.out
}

// order sorts by priority; then what a guarantee must give soon, in the order
// of acceptance; then those that can meet their objective before those that
// can't, by the end of the objective.
func (p *pass) order(a, b carawayshift.Demand) int {
	ga, gb := p.guaranteed(&a), p.guaranteed(&b)
	c := cmp.Or(
		cmp.Compare(a.Queue.Priority, b.Queue.Priority),
		cmp.Compare(rank(!ga), rank(!gb)),
	)
	if c == 0 && ga {
		c = a.Accepted.Compare(b.Accepted)
	}
	return cmp.Or(
		c,
		cmp.Compare(rank(p.load.Now.After(p.due(&a))), rank(p.load.Now.After(p.due(&b)))),
		p.due(&a).Compare(p.due(&b)),
		cmp.Compare(a.Batch, b.Batch),
	)
}

// rank puts what is true behind what is not.
func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}
