package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

// candidate is a set of workers on which a gang can be charged to its team's
// guarantee.
type candidate struct {
	// cell is the bound cell that the gang joins, nil for an unused cell of the
	// given level.
	cell    *boundCell
	level   int
	workers []int
	// victims are the gangs that must stop first, including those that are
	// stopping already.
	victims []int
	cost    time.Duration
	// pending is true when one of the victims is already stopping.
	pending bool
	// fit ranks candidates of equal cost: fewer free units are better.
	fit int
	// failed is true when the job failed on one of the workers before.
	failed bool
}

func (c *candidate) free() bool { return len(c.victims) == 0 }

// before reports whether c is the better choice. It prefers, in this order:
// workers on which the job has not failed, no victims, the least lost work, and
// leaving large cells free.
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

// placeGuaranteed places the waiting jobs that fit their team's guarantee, and
// stops borrowed work where no cell is free. If largeOrUrgentOnly is true, it
// skips jobs that are not urgent and fit on one worker.
func (p *pass) placeGuaranteed(largeOrUrgentOnly bool) {
	p.noGuaranteeCell = make(map[guaranteeKey]bool)
	for i := range p.waiting {
		g := &p.waiting[i]
		if g.decided || largeOrUrgentOnly && !g.Urgent && g.total() <= buddy.WorkerSize {
			continue
		}
		key := guaranteeKey{g.team, g.Tasks, taskNeeds{g.Accelerators, g.Cores, g.Memory}}
		if p.noGuaranteeCell[key] {
			continue
		}
		c, ok := p.bestCell(g)
		if !ok {
			p.noGuaranteeCell[key] = true
			continue
		}
		if c.free() {
			p.chargeTo(g, c, "fits the team's guarantee")
			continue
		}
		p.reclaim(g, c)
	}
}

// guaranteeKey holds a team and the properties of a gang that determine whether
// it fits the team's guarantee.
type guaranteeKey struct {
	team, tasks int
	task        taskNeeds
}

// chargeTo starts a gang on a candidate without victims and charges it to the
// candidate's cell.
func (p *pass) chargeTo(g *gang, c *candidate, reason string) {
	p.chargeCell(g, c)
	p.start(g, p.assignTasks(g, c.workers), false, reason, p.alternatives(g))
}

// reclaim stops the victims and occupies the units, so that no other job gets
// them until the victims have stopped.
func (p *pass) reclaim(g *gang, c *candidate) {
	p.chargeCell(g, c)
	for _, v := range c.victims {
		p.stop(v, g.ID, fmt.Sprintf("reclaimed by job %d for the guarantee of team %s", g.ID, g.Team))
	}
	for _, t := range p.allocationsAt(g, c.workers) {
		p.physicalForest.Occupy(t.worker, t.units)
	}
	p.explainReclaim(g, c)
}

// chargeCell charges the gang to the candidate's cell.
func (p *pass) chargeCell(g *gang, c *candidate) {
	allocs := p.allocationsAt(g, c.workers)
	if c.cell != nil {
		p.join(c.cell, allocs)
		return
	}
	p.bind(&p.teams[g.team], c.level, allocs)
}

// assignTasks returns the worker of each task: the workers are filled one after
// the other.
func (p *pass) assignTasks(g *gang, ws []int) []int {
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

// allocationsAt returns the units that the gang takes on each worker.
func (p *pass) allocationsAt(g *gang, ws []int) []allocation {
	var out []allocation
	for _, w := range p.assignTasks(g, ws) {
		if n := len(out); n > 0 && out[n-1].worker == w {
			out[n-1].units += g.units
			continue
		}
		out = append(out, allocation{w, g.units})
	}
	return out
}

// workersNeeded returns how many workers an adjacent placement of the gang
// takes.
func workersNeeded(g *gang) int {
	if g.total() <= buddy.WorkerSize {
		return 1
	}
	per := buddy.WorkerSize / g.units
	return (g.Tasks + per - 1) / per
}

// bestCell looks for the best candidate within the team's guarantee: in a cell
// that the team already uses, otherwise in an unused one. It must still be
// possible to pack the other guarantees around it.
func (p *pass) bestCell(g *gang) (*candidate, bool) {
	if g.units == 0 || g.Tasks == 0 || g.total() >= 1<<buddy.Levels {
		return nil, false
	}
	t := &p.teams[g.team]
	var best *candidate
	for _, b := range t.boundCells {
		best = p.betterOf(best, p.inBoundCell(g, b))
	}
	if best != nil && best.free() && !best.failed {
		return best, true
	}
	for _, l := range p.unusedLevels(t, workersNeeded(g)*min(buddy.WorkerSize, g.total())) {
		best = p.betterOf(best, p.inUnusedCell(g, t, l))
		if best != nil {
			break
		}
	}
	return best, best != nil
}

func (p *pass) betterOf(a, b *candidate) *candidate {
	if b != nil && b.before(a) {
		return b
	}
	return a
}

// inBoundCell looks for room in a cell that the team already uses.
func (p *pass) inBoundCell(g *gang, b *boundCell) *candidate {
	k := workersNeeded(g)
	var best *candidate
	if k == 1 {
		for _, part := range b.usedWorkers {
			if part.units >= g.total() && p.usable(part.worker, g) {
				best = p.betterOf(best, p.candidateAt(g, []int{part.worker}, p.fitScore(part.worker)))
			}
		}
	}
	if b.rack >= 0 && b.unusedWorkers >= k {
		best = p.betterOf(best, p.inRack(g, b.rack, k))
	}
	if best != nil {
		best.cell = b
	}
	return best
}

// usable reports whether the worker takes work and runs the job's tasks in as
// few units as the job is charged for.
func (p *pass) usable(w int, g *gang) bool {
	return p.physicalForest.Capacity(w) > 0 && p.physicalForest.Units(w, g.Job) == g.units
}

// inUnusedCell looks for workers to which an unused cell of the given level can
// be bound.
func (p *pass) inUnusedCell(g *gang, t *team, level int) *candidate {
	size := 1 << level
	switch {
	case size <= buddy.WorkerSize:
		return p.inAnyWorker(g, t, level)
	case size <= buddy.RackSize:
		return p.inAnyRack(g, t, level)
	case g.total() > buddy.RackSize:
		return p.inAnyZone(g, t, level)
	}
	return nil
}

// inAnyWorker tries every worker for a cell of at most a worker. Whether the
// other guarantees still fit depends only on the worker's zone and free units
// and, for a wholly free worker, on the number of those in its rack, so it is
// computed once for each combination of these.
func (p *pass) inAnyWorker(g *gang, t *team, level int) *candidate {
	type place struct{ zone, room, whole int }
	checked := make(map[place]bool)
	var best *candidate
	for w := range p.guaranteeForest.Workers() {
		if p.guaranteeForest.Capacity(w) == 0 || !p.workerHasRoom(w, 1<<level) || !p.usable(w, g) {
			continue
		}
		key := place{p.guaranteeForest.Zone(w), p.guaranteeForest.FreeUnits(w), -1}
		if p.guaranteeForest.WhollyFree(w) {
			key.whole = p.guaranteeForest.WhollyFreeWorkers(p.guaranteeForest.Rack(w))
		}
		ok, seen := checked[key]
		if !seen {
			ok = p.keepsGuarantees(t, level, []allocation{{w, g.total()}})
			checked[key] = ok
		}
		if ok {
			best = p.betterOf(best, p.candidateAt(g, []int{w}, p.fitScore(w)+p.guaranteeForest.FreeUnits(w)))
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

// inAnyRack tries every rack for a cell of several workers.
func (p *pass) inAnyRack(g *gang, t *team, level int) *candidate {
	var best *candidate
	for r := range p.guaranteeForest.Racks() {
		if p.guaranteeForest.WhollyFreeWorkers(r) < 1<<level/buddy.WorkerSize {
			continue
		}
		c := p.inRack(g, r, workersNeeded(g))
		if c != nil && p.keepsGuarantees(t, level, p.allocationsAt(g, c.workers)) {
			best = p.betterOf(best, c)
		}
	}
	return p.withLevel(best, level)
}

// inRack chooses, among the workers of a rack without guaranteed work, the k on
// which the least work is lost.
func (p *pass) inRack(g *gang, r, k int) *candidate {
	type choice struct {
		worker int
		cost   time.Duration
	}
	var ws []choice
	for _, w := range p.guaranteeForest.RackWorkers(r) {
		if !p.guaranteeForest.WhollyFree(w) || !p.usable(w, g) {
			continue
		}
		c := p.candidateWith(g, []int{w}, []allocation{{w, min(buddy.WorkerSize, g.total())}}, 0)
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
	return p.candidateAt(g, chosen, p.fitScore(chosen[0]))
}

// fitScore ranks workers for small gangs, lowest first: those with the fewest
// free units, then those in racks and zones with the fewest wholly free workers.
func (p *pass) fitScore(w int) int {
	const rackWeight, roomWeight, zoneLimit = 1 << 12, 1 << 20, 100
	z := min(zoneLimit, p.physicalForest.FreeCells(p.physicalForest.Zone(w), buddy.Level(buddy.WorkerSize)))
	return p.physicalForest.FreeUnits(w)*roomWeight + p.physicalForest.WhollyFreeWorkers(p.physicalForest.Rack(w))*rackWeight + z*16
}

// failedPenalty makes inRack choose workers on which the job failed only after
// all others of the rack.
const failedPenalty = 1 << 60

// inAnyZone tries every zone for a cell of several racks.
func (p *pass) inAnyZone(g *gang, t *team, level int) *candidate {
	var best *candidate
	racks := (workersNeeded(g) + workersPerRack - 1) / workersPerRack
	for z := range p.guaranteeForest.Zones() {
		if p.guaranteeForest.FreeCells(z, level) < 1 {
			continue
		}
		c := p.inZone(g, z, racks)
		if c != nil && p.canBind(level, p.allocationsAt(g, c.workers)) && p.keepsGuarantees(t, level, p.allocationsAt(g, c.workers)) {
			best = p.betterOf(best, c)
		}
	}
	return p.withLevel(best, level)
}

// inZone chooses the racks of a zone on which the least work is lost.
func (p *pass) inZone(g *gang, z, n int) *candidate {
	var racks []*candidate
	for _, r := range p.guaranteeForest.ZoneRacks(z) {
		if p.guaranteeForest.WhollyFreeWorkers(r) < workersPerRack {
			continue
		}
		if c := p.inRack(g, r, workersPerRack); c != nil {
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
	return p.candidateAt(g, ws[:workersNeeded(g)], 0)
}

// keepsGuarantees reports whether the guarantees that can be packed now can
// still be packed after the allocations were charged to an unused cell of the
// level.
func (p *pass) keepsGuarantees(t *team, level int, allocs []allocation) bool {
	before := p.deficit()
	p.bind(t, level, allocs)
	after := p.deficit()
	p.undoBind(t, allocs)
	return after <= before
}

// candidateAt returns the candidate for the given workers, or nil when stopping
// all borrowed work there wouldn't free enough units.
func (p *pass) candidateAt(g *gang, ws []int, fit int) *candidate {
	return p.candidateWith(g, ws, p.allocationsAt(g, ws), fit)
}

func (p *pass) candidateWith(g *gang, ws []int, allocs []allocation, fit int) *candidate {
	c := &candidate{workers: ws, fit: fit}
	for _, t := range allocs {
		if !p.addVictims(c, t) {
			return nil
		}
		c.failed = c.failed || slices.Contains(g.FailedOn, p.physicalForest.Worker(t.worker).Name)
	}
	for _, v := range c.victims {
		c.cost += p.lostWork(&p.gangs[v])
		c.pending = c.pending || p.gangs[v].State == carawayshift.JobStopping
	}
	return c
}

// addVictims adds victims on one worker until the units are free, and reports
// whether that is possible.
func (p *pass) addVictims(c *candidate, t allocation) bool {
	room := p.physicalForest.Capacity(t.worker) - p.physicalForest.Used(t.worker)
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
	for _, i := range p.gangsOnWorker[w] {
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
		return p.lostWork(&p.gangs[i])
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(cost(a), cost(b)) })
	return out
}

func (p *pass) unitsOn(i, w int) int {
	for _, t := range p.gangs[i].allocations {
		if t.worker == w {
			return t.units
		}
	}
	return 0
}
