// Package assignment decides which tasks of batches run on which runners. It is
// made for a mix of short urgent steps, long steps with many tasks, gangs that
// must start as a whole, and inaccurately declared run times.
//
// # Usage
//
//	d := assignment.New(assignment.Config{})
//	out := d.Dispatch(input) // a pure function of the input
//
// Demands are served by priority, and within a priority by the time at which
// they miss their objective; those that have already missed it come last. A task
// goes to the eligible runner with the fewest resources left afterwards (best
// fit), so that tasks that need a whole runner find one. A demand that fits
// nowhere reserves the runner that is expected to have enough free resources
// first; other tasks may use them until then. Demands of priority 0 preempt runs
// when they would otherwise be late and little work is lost, and whenever their
// team is within its guarantee. Long-running tasks are preempted only in the latter
// case, and no more of a step at once than its MaxUnavailable.
package assignment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/shortage"
)

// Config holds the parameters of a Dispatcher. Zero values select the defaults.
type Config struct {
	// RemoteSlowdown is the factor by which tasks take longer away from their data
	// or on more than one rack. Default 3.
	RemoteSlowdown float64
	// ReclaimTime is the time within which a team's batches of priority 0 start,
	// as long as they need no more than its guarantee. Default 2.9 s.
	ReclaimTime time.Duration
	// MaxStopTime is the maximum time that a preempted run takes to end. Default
	// 1 s.
	MaxStopTime time.Duration
	// MaxLoss limits the work that preemption may discard for a demand that
	// exceeds its team's guarantee, as a multiple of the demand's own work.
	// Default 1.
	MaxLoss float64
	// EmptyShare is the share of all runners that tasks of low priority leave
	// empty while they have time, for gangs that need whole runners. Default 0.5;
	// a negative value disables the rule.
	EmptyShare float64
	// Shortage decides what gives way when there is too little room; nil for none.
	Shortage *shortage.Policy
}

const (
	defaultRemoteSlowdown = 3
	defaultReclaimTime    = 2900 * time.Millisecond
	defaultMaxStopTime    = time.Second
	defaultMaxLoss        = 1
	// With a smaller share, background tasks occupy runners that gangs need whole,
	// so fewer gangs end in time and preemption loses more work; for the load, see
	// TestWholeRunnersServeGangs. With a larger share, background tasks leave more
	// runners unused and wait longer; see avoidsEmptyRunners for how long.
	defaultEmptyShare = 0.5
	// acceleratorCores is the number of cores that an accelerator counts as when
	// work is measured in core-seconds.
	acceleratorCores = 8
	// slackShare is the share of a demand's slack for which it waits for free
	// resources before it preempts. The rest covers the time until the preempted
	// runs end, and errors of the estimates.
	slackShare = 0.5
	// reclaimReserve is the part of Config.ReclaimTime that is reserved for the
	// commit and for the start of the task.
	reclaimReserve = 900 * time.Millisecond
)

// Dispatcher implements carawayshift.Dispatcher.
type Dispatcher struct {
	cfg Config
}

var _ carawayshift.Dispatcher = (*Dispatcher)(nil)

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.RemoteSlowdown == 0 {
		cfg.RemoteSlowdown = defaultRemoteSlowdown
	}
	if cfg.ReclaimTime == 0 {
		cfg.ReclaimTime = defaultReclaimTime
	}
	if cfg.MaxStopTime == 0 {
		cfg.MaxStopTime = defaultMaxStopTime
	}
	if cfg.MaxLoss == 0 {
		cfg.MaxLoss = defaultMaxLoss
	}
	if cfg.EmptyShare == 0 {
		cfg.EmptyShare = defaultEmptyShare
	}
	return &Dispatcher{cfg: cfg}
}

// Rules that make a demand wait, as reported in carawayshift.DispatchWait.
const (
	// RuleNoCapacity applies when no runner has enough free resources.
	RuleNoCapacity = "no runner has room"

	// RuleFaster applies when a gang ends sooner on faster runners that are soon free.
	RuleFaster = "faster runners are soon free"

	// RulePreempting applies when runs were preempted for the demand and have
	// not ended yet.
	RulePreempting = "preempted runs have not ended yet"
)

// Dispatch implements carawayshift.Dispatcher.
func (d *Dispatcher) Dispatch(l carawayshift.DispatchInput) carawayshift.Dispatch {
	if len(l.Demands) == 0 {
		return carawayshift.Dispatch{}
	}
	p := newPass(d.cfg, l)
	p.promote()
	demands := slices.Clone(l.Demands)
	slices.SortStableFunc(demands, func(a, b carawayshift.Demand) int { return p.compareDemands(a, b) })
	for i := range demands {
		demands[i].OpenRuns = maps.Clone(demands[i].OpenRuns)
		p.placeUnderCap(&demands[i])
	}
	return p.out
}

// compareDemands orders demands by priority. Within a priority, those covered by
// a guarantee come first, in the order of acceptance; then those that can still
// meet their objective, by the time at which they miss it; then the others. With
// Config.Shortage, that decides within a priority.
func (p *pass) compareDemands(a, b carawayshift.Demand) int {
	ga, gb := p.guaranteed(&a), p.guaranteed(&b)
	c := cmp.Or(
		p.comparePromoted(&a, &b),
		cmp.Compare(a.Queue.Priority, b.Queue.Priority),
		cmp.Compare(rank(!ga), rank(!gb)),
		cmp.Compare(rank(p.yields(&a)), rank(p.yields(&b))),
	)
	if c == 0 && ga {
		c = a.Accepted.Compare(b.Accepted)
	}
	if c == 0 && p.cfg.Shortage != nil {
		return p.cfg.Shortage.Compare(p.input.Now, a, b)
	}
	return cmp.Or(
		c,
		cmp.Compare(rank(p.input.Now.After(p.due(&a))), rank(p.input.Now.After(p.due(&b)))),
		p.due(&a).Compare(p.due(&b)),
		cmp.Compare(a.Batch, b.Batch),
	)
}

// rank orders false before true.
func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}
