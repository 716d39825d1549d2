package placement

import (
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

const (
	// maxReservations is the maximum number of large waiting gangs that hold a
	// reservation at the same time. Each reservation keeps accelerators idle,
	// and declared run times are too inaccurate to tell for how long: with two
	// reservations, made from the first plan on, large gangs waited 14% longer
	// than with first-fit (replay at load 1.3, seeds 1 to 3).
	maxReservations = 1
	// reservationDelay is the wait after which a large gang gets a
	// reservation. Until then it has precedence when cells become free.
	reservationDelay = 8 * time.Hour
)

// reservation is a set of workers reserved for a large waiting gang.
type reservation struct {
	job uint64
	at  time.Time
	// setAside lists the units that are marked as occupied in the physical
	// forest until at. Jobs that are expected to end before it may use them.
	setAside []allocation
}

// placeBorrowed places the other waiting jobs on accelerators that no guarantee
// needs now. Jobs of teams below their fair share of the borrowed accelerators
// go first.
func (p *pass) placeBorrowed() {
	share := p.fairShare()
	for i := range p.waiting {
		g := &p.waiting[i]
		if !g.decided && (p.mayReserve(g) || p.teams[g.team].borrowedUnits+g.total() <= share) {
			p.placeOrReserve(g)
		}
	}
	for i := range p.waiting {
		if g := &p.waiting[i]; !g.decided {
			p.placeOrReserve(g)
		}
	}
}

// fairShare returns the number of borrowed units up to which the jobs of a team
// go first: an equal part for each team with borrowed or waiting work.
func (p *pass) fairShare() int {
	competing := make([]bool, len(p.teams))
	for i := range p.waiting {
		if !p.waiting[i].decided {
			competing[p.waiting[i].team] = true
		}
	}
	pool, n := p.physicalForest.TotalFreeCells(0), 0
	for i := range p.teams {
		pool += p.teams[i].borrowedUnits
		if competing[i] || p.teams[i].borrowedUnits > 0 {
			n++
		}
	}
	return pool / max(1, n)
}

// placeOrReserve starts the gang as borrowed work if there is room, and
// otherwise makes a reservation for it if it may have one.
func (p *pass) placeOrReserve(g *gang) {
	if g.units == 0 {
		return
	}
	if ws := p.findInAnyZone(g); ws != nil {
		p.start(g, ws, true, "free accelerators beyond the team's guarantee", p.alternatives(g))
		return
	}
	if ws := p.backfill(g); ws != nil {
		p.start(g, ws, true, "ends before the reservation of a larger job", 0)
		return
	}
	if p.mayReserve(g) && len(p.reservations) < maxReservations {
		p.reserve(g)
	}
}

// mayReserve reports whether the gang is large and has waited long enough to
// get a reservation. Such gangs are considered before the smaller ones that
// their reservation delays, even when their team is above its fair share.
func (p *pass) mayReserve(g *gang) bool {
	return g.total() >= buddy.WorkerSize && p.now.Sub(g.Submitted) >= reservationDelay
}

// findInAnyZone looks for free workers within one zone: adjacent cells first,
// then any free units of the zone, and only then workers on which the job
// failed before.
func (p *pass) findInAnyZone(g *gang) []int {
	if p.physicalForest.TotalFreeCells(buddy.Level(g.units)) < g.Tasks {
		return nil
	}
	if len(g.FailedOn) > 0 {
		if ws := p.bestZone(g, p.avoidWorkers(g, true)); ws != nil {
			return ws
		}
	}
	return p.bestZone(g, p.avoidWorkers(g, false))
}

// avoidWorkers returns the filter for the workers that the gang must not use:
// those on which a task takes a different number of units than the gang is
// charged for and, if failed is set, those on which the job failed before.
func (p *pass) avoidWorkers(g *gang, failed bool) buddy.Avoid {
	return func(w int) bool {
		return p.physicalForest.Units(w, g.Job) != g.units ||
			failed && slices.Contains(g.FailedOn, p.physicalForest.Worker(w).Name)
	}
}

// bestZone searches all zones and returns the workers with the lowest fitScore.
func (p *pass) bestZone(g *gang, avoid buddy.Avoid) []int {
	var best []int
	least := 0
	for z := range p.physicalForest.Zones() {
		ws := p.findInZone(z, g, avoid)
		if ws == nil {
			continue
		}
		if fit := p.fitScore(ws[0]); best == nil || fit < least {
			best, least = ws, fit
		}
	}
	return best
}

func (p *pass) findInZone(z int, g *gang, avoid buddy.Avoid) []int {
	if g.units == 0 || p.physicalForest.FreeCells(z, buddy.Level(g.units)) < g.Tasks {
		return nil
	}
	return p.findAdjacentOrScattered(z, g, avoid)
}

func (p *pass) findAdjacentOrScattered(z int, g *gang, avoid buddy.Avoid) []int {
	if ws, ok := p.physicalForest.Find(z, g.Tasks, g.units, avoid); ok {
		return ws
	}
	if ws, ok := p.physicalForest.FindScattered(z, g.Tasks, g.units, avoid); ok {
		return ws
	}
	return nil
}

// backfill looks for room on reserved workers for a job that fits on one worker
// and is expected to end before the reservation begins.
func (p *pass) backfill(g *gang) []int {
	if g.total() > buddy.WorkerSize {
		return nil
	}
	for i := range p.reservations {
		r := &p.reservations[i]
		if p.now.Add(g.estimate).After(r.at) {
			continue
		}
		for k := range r.setAside {
			t := &r.setAside[k]
			if t.units >= g.total() && p.usable(t.worker, g) {
				t.units -= g.total()
				p.physicalForest.Vacate(t.worker, g.total())
				return slices.Repeat([]int{t.worker}, g.Tasks)
			}
		}
	}
	return nil
}

// reserve finds the zone in which the gang can start earliest if the running
// work ends as expected, and marks the units that it will use there as occupied.
func (p *pass) reserve(g *gang) {
	var best reservation
	for z := range p.view.Zones {
		if p.view.Zones[z].Drained {
			continue
		}
		if r, ok := p.reservationInZone(z, g); ok && (best.setAside == nil || r.at.Before(best.at)) {
			best = r
		}
	}
	if best.setAside == nil {
		return
	}
	for _, t := range best.setAside {
		p.physicalForest.Occupy(t.worker, t.units)
	}
	p.reservations = append(p.reservations, best)
}

// reservationInZone simulates the ends of the zone's running gangs in the
// expected order until the waiting gang fits.
func (p *pass) reservationInZone(z int, g *gang) (reservation, bool) {
	freeUnits := make(map[int]int)
	fittingTasks := 0
	for _, r := range p.physicalForest.ZoneRacks(z) {
		for _, w := range p.physicalForest.RackWorkers(r) {
			if !p.usable(w, g) {
				continue
			}
			freeUnits[w] = p.physicalForest.Capacity(w) - p.physicalForest.Used(w)
			fittingTasks += max(0, freeUnits[w]) / g.units
		}
	}
	at := p.now
	for _, i := range p.zoneEnds(z) {
		if fittingTasks >= g.Tasks {
			break
		}
		e := &p.gangs[i]
		at = p.expectedEnd(e)
		for _, t := range e.allocations {
			if _, ok := freeUnits[t.worker]; ok {
				fittingTasks -= max(0, freeUnits[t.worker]) / g.units
				freeUnits[t.worker] += t.units
				fittingTasks += max(0, freeUnits[t.worker]) / g.units
			}
		}
	}
	if fittingTasks < g.Tasks {
		return reservation{}, false
	}
	return reservation{job: g.ID, at: at, setAside: p.chooseWorkers(z, g, freeUnits)}, true
}

// chooseWorkers picks the workers with the most free units, among those that
// will have room for the gang, and returns the units that are free on them now.
func (p *pass) chooseWorkers(z int, g *gang, freeUnits map[int]int) []allocation {
	var ws []int
	for _, r := range p.physicalForest.ZoneRacks(z) {
		for _, w := range p.physicalForest.RackWorkers(r) {
			if freeUnits[w] >= g.units {
				ws = append(ws, w)
			}
		}
	}
	slices.SortStableFunc(ws, func(a, b int) int { return p.physicalForest.FreeUnits(b) - p.physicalForest.FreeUnits(a) })
	out := make([]allocation, 0, g.Tasks)
	for tasks := g.Tasks; tasks > 0 && len(ws) > 0; ws = ws[1:] {
		w := ws[0]
		n := min(tasks, freeUnits[w]/g.units)
		tasks -= n
		out = append(out, allocation{w, min(p.physicalForest.FreeUnits(w), n*g.units)})
	}
	return out
}

// expectedEnd returns the expected end of an active gang.
func (p *pass) expectedEnd(g *gang) time.Time {
	if g.State == carawayshift.JobStopping || g.stopped {
		return p.now.Add(stopDuration)
	}
	return p.now.Add(g.estimate)
}

// zoneEnds lists the active gangs of a zone by expected end.
func (p *pass) zoneEnds(z int) []int {
	if p.ends == nil {
		p.ends = p.gangsByExpectedEnd()
	}
	return p.ends[z]
}

func (p *pass) gangsByExpectedEnd() [][]int {
	out := make([][]int, p.physicalForest.Zones())
	for i := range p.gangs {
		if z := p.gangs[i].zone; z >= 0 {
			out[z] = append(out[z], i)
		}
	}
	for _, gs := range out {
		slices.SortStableFunc(gs, func(a, b int) int {
			return p.expectedEnd(&p.gangs[a]).Compare(p.expectedEnd(&p.gangs[b]))
		})
	}
	return out
}

// stopDuration is the expected time from a stop request until the accelerators
// are free: checkpoint and stop take 5 s.
const stopDuration = 5 * time.Second

// placeLargeBorrowed starts large gangs on free cells before small guaranteed
// jobs fragment these; the small jobs can reclaim other borrowed work instead.
// Gangs of 16 and more accelerators waited 0.67 of first-fit's time with it and
// 0.82 without it (replay with a stretch of 4, seeds 1 to 3).
func (p *pass) placeLargeBorrowed() {
	for i := range p.waiting {
		g := &p.waiting[i]
		if g.decided || g.total() <= buddy.WorkerSize {
			continue
		}
		if ws := p.findInAnyZone(g); ws != nil {
			p.start(g, ws, true, "free accelerators beyond the team's guarantee", p.alternatives(g))
		}
	}
}
