package placement

import (
	"slices"
	"time"
)

// timeline lists the expected releases of accelerators by running work. The
// waiting jobs consume them in their order, which gives a rough estimate of
// their starts.
type timeline struct {
	releases    []release
	nextRelease int
	available   int
}

type release struct {
	at    time.Time
	units int
}

func (p *pass) releases() timeline {
	t := timeline{releases: make([]release, 0, len(p.gangs)+1)}
	t.releases = append(t.releases, release{p.now, max(0, p.physicalForest.TotalFreeCells(0))})
	for i := range p.gangs {
		t.releases = append(t.releases, release{p.expectedEnd(&p.gangs[i]), totalUnits(p.gangs[i].allocations)})
	}
	slices.SortFunc(t.releases, func(a, b release) int { return a.at.Compare(b.at) })
	return t
}

// next returns the time at which the given number of units is released, in
// addition to those that earlier calls consumed, or zero when the running work
// doesn't release enough.
func (t *timeline) next(units int) time.Time {
	for t.available < units && t.nextRelease < len(t.releases) {
		t.available += t.releases[t.nextRelease].units
		t.nextRelease++
	}
	if t.available < units {
		return time.Time{}
	}
	t.available -= units
	return t.releases[max(0, t.nextRelease-1)].at
}
