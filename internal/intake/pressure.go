package intake

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// fullLoad is the load from which a host is not ready, and relaxedLoad the one below
	// which it has to stay for relaxTime to be ready again. Large bodies can't use the
	// last eighth of the budget.
	fullLoad    = 0.8
	relaxedLoad = 0.5
	relaxTime   = 2 * time.Second
)

// pressure says whether a host is full.
type pressure struct {
	full bool
	// relaxed is the time since which the load has been low, or zero.
	relaxed time.Time
}

// next returns the pressure after a load was seen.
func (p pressure) next(now time.Time, load float64) pressure {
	switch {
	case load >= fullLoad:
		return pressure{full: true}
	case !p.full || load >= relaxedLoad:
		return pressure{full: p.full}
	case p.relaxed.IsZero():
		return pressure{full: true, relaxed: now}
	case now.Sub(p.relaxed) >= relaxTime:
		return pressure{}
	}
	return p
}

// Ready returns an error while the requests that are being handled take most of
// what this host has for them, so that the load balancer uses hosts with room. What
// waits, sends or receives does not count: it makes room for others.
func (in *Intake) Ready() error {
	load := 0.0
	if s := in.budget.Stats(); s.Capacity > 0 {
		load = float64(s.Kept) / float64(s.Capacity)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, t := range in.tables {
		load = max(load, t.load())
	}
	in.pressure = in.pressure.next(time.Now(), load)
	if in.pressure.full {
		return errors.New("the requests that are being handled take most of the memory or connections for them, see [limits]")
	}
	return nil
}
