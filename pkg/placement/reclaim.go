package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

// candidate is a place where a gang can be charged to its team's guarantee.
type candidate struct {
	// into is the cell in use that the gang joins, nil for an unused cell of
	// the given level.
	into    *bound
	level   int
	workers []int
	// victims are the gangs to stop first, stopping ones included.
	victims []int
	cost    time.Duration
	// pending is true when some occupant is already stopping.
	pending bool
	// fit ranks places of equal cost: less spare room is better.
	fit int
	// failed is true when the job failed on one of the workers before.
	failed bool
}

func (c *candidate) free() bool { return len(c.victims) == 0 }

// before reports whether c is the better choice: avoid workers where the job
// failed, then stop nothing, then lose the least work, then leave large cells.
func (c *candidate) before(o *candidate) bool {
	if o == nil || c.failed != o.failed {
		return o == nil || !c.failed
	}
	if c.free() != o.free() {
		return c.free()
	}
	if c.cost != o.cost {
		return c.cost < o.cost
	}
	return c.fit < o.fit
}

// guaranteed places the waiting jobs that fit their team's guarantee, and
// stops borrowed work where no cell is free. With first set it leaves out jobs
// of at most a worker that are not urgent.
func (p *pass) guaranteed(first bool) {
	p.full = make(map[fullKey]bool)
	for i := range p.waiting {
		g := &p.waiting[i]
		if g.settled || first && !g.Urgent && g.total() <= buddy.WorkerSize {
			continue
		}
		key := fullKey{g.team, g.Tasks, slotKey{g.Accelerators, g.Cores, g.Memory}}
		if p.full[key] {
			continue
		}
		c, ok := p.bestCell(g)
		if !ok {
			p.full[key] = true
			continue
		}
		if c.free() {
			p.chargeTo(g, c, "fits the team's guarantee")
			continue
		}
		p.reclaim(g, c)
	}
}

// fullKey is a team with what decides whether a gang fits its guarantee.
type fullKey struct {
	team, tasks int
	task        slotKey
}

// chargeTo starts a gang in a free candidate and charges it.
func (p *pass) chargeTo(g *gang, c *candidate, reason string) {
	p.take(g, c)
	p.start(g, p.perTask(g, c.workers), false, reason, p.alternatives(g))
}

// reclaim stops the victims and keeps the place until they are gone.
func (p *pass) reclaim(g *gang, c *candidate) {
	p.take(g, c)
	for _, v := range c.victims {
		p.stop(v, g.ID, fmt.Sprintf("reclaimed by job %d for the guarantee of team %s", g.ID, g.Team))
	}
	for _, t := range p.takesAt(g, c.workers) {
		p.phys.Occupy(t.worker, t.units)
	}
	p.waitReclaim(g, c)
}

// take charges the gang to the candidate's cell.
func (p *pass) take(g *gang, c *candidate) {
	takes := p.takesAt(g, c.workers)
	if c.into != nil {
		p.join(c.into, takes)
		return
	}
	p.open(&p.teams[g.team], c.level, takes)
}

// perTask assigns the tasks to workers in turn.
func (p *pass) perTask(g *gang, ws []int) []int {
	per := max(1, buddy.WorkerSize/g.units)
	if len(ws) == 1 {
		per = g.Tasks
	}
	out := make([]int, g.Tasks)
	for i := range out {
		out[i] = ws[i/per]
	}
	return out
}

// takesAt returns the units that the gang takes of each worker.
func (p *pass) takesAt(g *gang, ws []int) []take {
	var out []take
	for _, w := range p.perTask(g, ws) {
		if n := len(out); n > 0 && out[n-1].worker == w {
			out[n-1].units += g.units
			continue
		}
		out = append(out, take{w, g.units})
	}
	return out
}

// workersFor returns how many workers an adjacent placement of the gang takes.
func workersFor(g *gang) int {
	if g.total() <= buddy.WorkerSize {
		return 1
	}
	per := buddy.WorkerSize / g.units
	return (g.Tasks + per - 1) / per
}

// bestCell looks for the best place within the team's guarantee: in a cell
// that the team already uses, otherwise in an unused one. The other guarantees
// must still be packable around it.
func (p *pass) bestCell(g *gang) (*candidate, bool) {
	if g.units == 0 || g.Tasks == 0 || g.total() >= 1<<buddy.Levels {
		return nil, false
	}
	t := &p.teams[g.team]
	var best *candidate
	for _, b := range t.bounds {
		best = p.better(best, p.inBound(g, b))
	}
	if best != nil && best.free() && !best.failed {
		return best, true
	}
	for _, l := range p.levelsFor(t, workersFor(g)*min(buddy.WorkerSize, g.total())) {
		best = p.better(best, p.inUnused(g, t, l))
		if best != nil {
			break
		}
	}
	return best, best != nil
}

func (p *pass) better(a, b *candidate) *candidate {
	if b != nil && b.before(a) {
		return b
	}
	return a
}

// inBound looks for room in a cell that the team uses already.
func (p *pass) inBound(g *gang, b *bound) *candidate {
	k := workersFor(g)
	var best *candidate
	if k == 1 {
		for _, part := range b.parts {
			if part.units >= g.total() && p.usable(part.worker, g) {
				best = p.better(best, p.at(g, []int{part.worker}, p.fitOf(part.worker)))
			}
		}
	}
	if b.rack >= 0 && b.whole >= k {
		best = p.better(best, p.inRack(g, b.rack, k))
	}
	if best != nil {
		best.into = b
	}
	return best
}

// usable reports whether the worker takes work and runs the job's tasks in as
// few units as the job is charged for.
func (p *pass) usable(w int, g *gang) bool {
	return p.phys.Capacity(w) > 0 && p.phys.Units(w, g.Job) == g.units
}

// inUnused looks for a place for an unused cell of the given level.
func (p *pass) inUnused(g *gang, t *team, level int) *candidate {
	size := 1 << level
	switch {
	case size <= buddy.WorkerSize:
		return p.inWorkers(g, t, level)
	case size <= buddy.RackSize:
		return p.inRacks(g, t, level)
	case g.total() > buddy.RackSize:
		return p.inZones(g, t, level)
	}
	return nil
}

// inWorkers tries every worker for a cell of at most a worker. Whether the
// other guarantees fit depends only on the zone and the room, so it is
// computed once for each kind of place.
func (p *pass) inWorkers(g *gang, t *team, level int) *candidate {
	type place struct{ zone, room, whole int }
	safe := make(map[place]bool)
	var best *candidate
	for w := range p.guard.Workers() {
		if p.guard.Capacity(w) == 0 || !p.roomInWorker(w, 1<<level) || !p.usable(w, g) {
			continue
		}
		key := place{p.guard.Zone(w), p.guard.Room(w), -1}
		if p.guard.Whole(w) {
			key.whole = p.guard.WholeWorkers(p.guard.Rack(w))
		}
		ok, seen := safe[key]
		if !seen {
			ok = p.safe(t, level, []take{{w, g.total()}})
			safe[key] = ok
		}
		if ok {
			best = p.better(best, p.at(g, []int{w}, p.fitOf(w)+p.guard.Room(w)))
		}
	}
	return p.withLevel(best, level)
}

func (p *pass) withLevel(c *candidate, level int) *candidate {
	if c != nil {
		c.level = level
	}
	return c
}

// inRacks tries every rack for a cell of several workers.
func (p *pass) inRacks(g *gang, t *team, level int) *candidate {
	var best *candidate
	for r := range p.guard.Racks() {
		if p.guard.WholeWorkers(r) < 1<<level/buddy.WorkerSize {
			continue
		}
		c := p.inRack(g, r, workersFor(g))
		if c != nil && p.safe(t, level, p.takesAt(g, c.workers)) {
			best = p.better(best, c)
		}
	}
	return p.withLevel(best, level)
}

// inRack chooses the k workers of a rack, free of guaranteed work, on which
// the least work is lost.
func (p *pass) inRack(g *gang, r, k int) *candidate {
	type choice struct {
		worker int
		cost   time.Duration
	}
	var ws []choice
	for _, w := range p.guard.RackWorkers(r) {
		if !p.guard.Whole(w) || !p.usable(w, g) {
			continue
		}
		c := p.atTakes(g, []int{w}, []take{{w, min(buddy.WorkerSize, g.total())}}, 0)
		if c == nil {
			continue
		}
		cost := c.cost
		if c.failed {
			cost += failedPenalty
		}
		ws = append(ws, choice{w, cost})
	}
	if len(ws) < k {
		return nil
	}
	slices.SortStableFunc(ws, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	chosen := make([]int, k)
	for i := range chosen {
		chosen[i] = ws[i].worker
	}
	return p.at(g, chosen, p.fitOf(chosen[0]))
}

// fitOf ranks workers for small gangs: those with the least room first, then
// racks and zones with the fewest wholly free workers.
func (p *pass) fitOf(w int) int {
	const rackWeight, roomWeight, zoneLimit = 1 << 12, 1 << 20, 100
	z := min(zoneLimit, p.phys.Free(p.phys.Zone(w), buddy.Level(buddy.WorkerSize)))
	return p.phys.Room(w)*roomWeight + p.phys.WholeWorkers(p.phys.Rack(w))*rackWeight + z*16
}

// failedPenalty puts workers where the job failed behind all others of a rack.
const failedPenalty = 1 << 60

// inZones tries every zone for a cell of several racks.
func (p *pass) inZones(g *gang, t *team, level int) *candidate {
	var best *candidate
	racks := (workersFor(g) + rackWorkers - 1) / rackWorkers
	for z := range p.guard.Zones() {
		if p.guard.Free(z, level) < 1 {
			continue
		}
		c := p.inZone(g, z, racks)
		if c != nil && p.openable(level, p.takesAt(g, c.workers)) && p.safe(t, level, p.takesAt(g, c.workers)) {
			best = p.better(best, c)
		}
	}
	return p.withLevel(best, level)
}

// inZone chooses the racks of a zone on which the least work is lost.
func (p *pass) inZone(g *gang, z, n int) *candidate {
	var racks []*candidate
	for _, r := range p.guard.ZoneRacks(z) {
		if p.guard.WholeWorkers(r) < rackWorkers {
			continue
		}
		if c := p.inRack(g, r, rackWorkers); c != nil {
			racks = append(racks, c)
		}
	}
	if len(racks) < n {
		return nil
	}
	slices.SortStableFunc(racks, func(a, b *candidate) int { return cmp.Compare(a.cost, b.cost) })
	var ws []int
	for _, c := range racks[:n] {
		ws = append(ws, c.workers...)
	}
	return p.at(g, ws[:workersFor(g)], 0)
}

// safe reports whether the guarantees that can be packed now can still be
// packed when the takes are charged to an unused cell of the level.
func (p *pass) safe(t *team, level int, takes []take) bool {
	before := p.deficit()
	p.open(t, level, takes)
	after := p.deficit()
	p.unopen(t, takes)
	return after <= before
}

// at describes the place on the given workers, or returns nil when stopping
// borrowed work there doesn't make enough room.
func (p *pass) at(g *gang, ws []int, fit int) *candidate {
	return p.atTakes(g, ws, p.takesAt(g, ws), fit)
}

func (p *pass) atTakes(g *gang, ws []int, takes []take, fit int) *candidate {
	c := &candidate{workers: ws, fit: fit}
	for _, t := range takes {
		if !p.evict(c, t) {
			return nil
		}
		c.failed = c.failed || slices.Contains(g.FailedOn, p.phys.Worker(t.worker).Name)
	}
	for _, v := range c.victims {
		c.cost += p.lost(&p.gangs[v])
		c.pending = c.pending || p.gangs[v].State == carawayshift.JobStopping
	}
	return c
}

// evict adds victims on one worker until the units are free.
func (p *pass) evict(c *candidate, t take) bool {
	room := p.phys.Capacity(t.worker) - p.phys.Used(t.worker)
	if room >= t.units {
		return true
	}
	for _, v := range p.victimsOn(c, t.worker) {
		if !slices.Contains(c.victims, v) {
			c.victims = append(c.victims, v)
		}
		room += p.unitsOn(v, t.worker)
		if room >= t.units {
			return true
		}
	}
	return false
}

// victimsOn lists the borrowed work on a worker, least lost work first. Work
// that is being stopped, or that the candidate stops already, costs nothing.
func (p *pass) victimsOn(c *candidate, w int) []int {
	var out []int
	for _, i := range p.onWorker[w] {
		if !p.gangs[i].guaranteed {
			out = append(out, i)
		}
	}
	if len(out) < 2 {
		return out
	}
	cost := func(i int) time.Duration {
		if slices.Contains(c.victims, i) {
			return 0
		}
		return p.lost(&p.gangs[i])
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(cost(a), cost(b)) })
	return out
}

func (p *pass) unitsOn(i, w int) int {
	for _, t := range p.gangs[i].takes {
		if t.worker == w {
			return t.units
		}
	}
	return 0
}
