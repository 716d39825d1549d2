package placement

import (
	"slices"
	"time"
)

// timeline is the expected release of accelerators by running work, consumed
// by the waiting jobs in their order. It gives rough expected starts.
type timeline struct {
	steps []release
	i     int
	ready int
}

type release struct {
	at    time.Time
	units int
}

func (p *pass) releases() timeline {
	t := timeline{steps: make([]release, 0, len(p.gangs)+1)}
	t.steps = append(t.steps, release{p.now, max(0, p.phys.FreeAll(0))})
	for i := range p.gangs {
		t.steps = append(t.steps, release{p.endOf(&p.gangs[i]), unitsIn(p.gangs[i].takes)})
	}
	slices.SortFunc(t.steps, func(a, b release) int { return a.at.Compare(b.at) })
	return t
}

// next returns the time at which the units are released after what earlier
// calls took, or zero when the running work is too small for that.
func (t *timeline) next(units int) time.Time {
	for t.ready < units && t.i < len(t.steps) {
		t.ready += t.steps[t.i].units
		t.i++
	}
	if t.ready < units {
		return time.Time{}
	}
	t.ready -= units
	return t.steps[max(0, t.i-1)].at
}
