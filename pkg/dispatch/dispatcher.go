// Package dispatch decides which tasks of batches run on which runners. It
// answers a mixed load: short urgent steps beside long wide ones, gangs that
// start as a whole, and run times that were declared wrongly.
//
// # Usage
//
//	d := dispatch.New(dispatch.Config{})
//	out := d.Dispatch(load) // a pure function of the load
//
// Demands are served by priority, and within a priority by the time at which
// they miss their objective; those that have missed it step behind the others.
// A task goes to the runner that it fills best, so that wide tasks keep whole
// runners. Demands of priority 0 that find no room preempt the runs of other
// priorities that lose the least work.
package dispatch

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
	// MaxPreempted bounds the runs that one demand preempts. Default 64.
	MaxPreempted int
}

const (
	defaultRemote       = 3
	defaultMaxPreempted = 64
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
	if cfg.MaxPreempted == 0 {
		cfg.MaxPreempted = defaultMaxPreempted
	}
	return &Dispatcher{cfg: cfg}
}

// Rules that hold a demand back.
const (
	RuleRoom  = "no runner has room"
	RuleLabel = "no runner has the label"
	RuleStops = "preempted runs have not ended yet"
	RuleRack  = "waits for room on the rack that holds its data"
)

// Dispatch implements carawayshift.Dispatcher.
func (d *Dispatcher) Dispatch(l carawayshift.Load) carawayshift.Dispatch {
	p := newPass(d.cfg, l)
	demands := slices.Clone(l.Demands)
	slices.SortStableFunc(demands, func(a, b carawayshift.Demand) int { return order(l.Now, a, b) })
	for i := range demands {
		demands[i].Present = maps.Clone(demands[i].Present)
		p.serve(&demands[i])
	}
	return p.out
}

// order sorts by priority, then those that can meet their objective before
// those that can't, then by the end of the objective.
func order(now time.Time, a, b carawayshift.Demand) int {
	return cmp.Or(
		cmp.Compare(a.Queue.Priority, b.Queue.Priority),
		cmp.Compare(late(now, a), late(now, b)),
		a.Due.Compare(b.Due),
		cmp.Compare(a.Batch, b.Batch),
	)
}

func late(now time.Time, d carawayshift.Demand) int {
	if now.After(d.Due) {
		return 1
	}
	return 0
}
