package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

// Rules that hold a job back, as operators see them.
const (
	ruleReclaim     = "reclaim"
	ruleReserved    = "reservation"
	ruleBehind      = "behind a reservation"
	ruleZoneOut     = "zone out"
	ruleNoZone      = "no zone large enough"
	ruleNoWorkers   = "no workers"
	ruleUnusable    = "workers out of use"
	ruleNoFreeCells = "no free accelerators"
)

// explain gives every job that keeps waiting its rule.
func (p *pass) explain() {
	var releases timeline
	for i := range p.waiting {
		g := &p.waiting[i]
		if g.settled {
			continue
		}
		if releases.steps == nil {
			releases = p.releases()
		}
		p.plan.Waits[g.ID] = p.waitOf(g, &releases)
	}
}

func (p *pass) waitOf(g *gang, releases *timeline) carawayshift.Wait {
	if r := p.reservationOf(g.ID); r != nil {
		return p.waitReserved(g, r)
	}
	if w, ok := p.waitHardware(g); ok {
		return w
	}
	expected := releases.next(g.total())
	if p.roomWithoutReservations(g) {
		return p.waitBehind(g, expected)
	}
	w := p.waitCells(g)
	w.Expected = expected
	return w
}

// waitKey addresses the explanation that jobs of one team and shape share.
type waitKey struct{ team, tasks, accelerators, units int }

// waitCells explains a job that finds no free accelerators. Thousands of jobs
// may wait for this reason, so the text is made once for each team and shape.
func (p *pass) waitCells(g *gang) carawayshift.Wait {
	key := waitKey{g.team, g.Tasks, g.Accelerators, g.units}
	if w, ok := p.waitCache[key]; ok {
		return w
	}
	w := carawayshift.Wait{
		Rule:        ruleNoFreeCells,
		UnblockedBy: p.outsideGuarantee(g) + ", and no zone has room for " + shape(g) + " now; running work has to end first" + p.firstEnd(),
		Statement:   p.raiseGuarantee(g),
	}
	if p.waitCache == nil {
		p.waitCache = make(map[waitKey]carawayshift.Wait)
	}
	p.waitCache[key] = w
	return w
}

func shape(g *gang) string {
	return fmt.Sprintf("%d tasks of %d accelerators", g.Tasks, g.Accelerators)
}

func (p *pass) waitReclaim(g *gang, c *candidate) {
	names := make([]string, 0, len(c.victims))
	for _, v := range c.victims {
		names = append(names, fmt.Sprint(p.gangs[v].ID))
	}
	p.plan.Waits[g.ID] = carawayshift.Wait{
		Rule:        ruleReclaim,
		UnblockedBy: fmt.Sprintf("the guarantee of team %s is reclaimed; stopping: job %s", g.Team, strings.Join(names, ", ")),
		Expected:    p.now.Add(stopTime),
		Statement:   fmt.Sprintf("show job %s", names[0]),
	}
	g.settled = true
}

func (p *pass) reservationOf(id uint64) *reservation {
	i := slices.IndexFunc(p.reservations, func(r reservation) bool { return r.job == id })
	if i < 0 {
		return nil
	}
	return &p.reservations[i]
}

func (p *pass) waitReserved(g *gang, r *reservation) carawayshift.Wait {
	zone := p.phys.Worker(r.workers[0].worker).Zone
	return carawayshift.Wait{
		Rule:        ruleReserved,
		UnblockedBy: fmt.Sprintf("%s; %s is reserved in zone %s, running work there has to end first", p.outsideGuarantee(g), shape(g), zone),
		Expected:    r.at,
		Statement:   fmt.Sprintf("show jobs where state = running and zone = %s", zone),
	}
}

// waitBehind explains a job that would fit if no larger job were waiting.
func (p *pass) waitBehind(g *gang, expected time.Time) carawayshift.Wait {
	first := p.reservations[0]
	return carawayshift.Wait{
		Rule: ruleBehind,
		UnblockedBy: fmt.Sprintf("job %d holds a reservation for %s, and this job is expected to run %s, past that time",
			first.job, first.at.UTC().Format(time.TimeOnly), g.estimate.Round(time.Minute)),
		Expected:  expected,
		Statement: fmt.Sprintf("why job %d", first.job),
	}
}

// roomWithoutReservations reports whether the gang would fit if reservations
// were given up.
func (p *pass) roomWithoutReservations(g *gang) bool {
	if len(p.reservations) == 0 {
		return false
	}
	for _, r := range p.reservations {
		for _, t := range r.workers {
			p.phys.Vacate(t.worker, t.units)
		}
	}
	ok := p.anywhere(g) != nil
	for _, r := range p.reservations {
		for _, t := range r.workers {
			p.phys.Occupy(t.worker, t.units)
		}
	}
	return ok
}

// waitHardware explains a job that doesn't fit even if all other work ended.
func (p *pass) waitHardware(g *gang) (carawayshift.Wait, bool) {
	if p.phys.Workers() == 0 {
		return carawayshift.Wait{
			Rule: ruleNoWorkers, UnblockedBy: "no worker has announced itself", Statement: "show workers",
		}, true
	}
	use, most := p.slots(g)
	if use >= g.Tasks {
		return carawayshift.Wait{}, false
	}
	for z := range p.view.Zones {
		if n := &p.view.Zones[z]; n.Drained && p.slotsIn(z, g, true) >= g.Tasks {
			return carawayshift.Wait{
				Rule:        ruleZoneOut,
				UnblockedBy: fmt.Sprintf("only zone %s, which is out, has room for %s", n.Name, shape(g)),
				Statement:   "return zone " + n.Name,
			}, true
		}
	}
	if most >= g.Tasks {
		return p.waitUnusable(g), true
	}
	return carawayshift.Wait{
		Rule:        ruleNoZone,
		UnblockedBy: fmt.Sprintf("a zone with room for %s; the workers of the largest zone hold %d such tasks", shape(g), most),
		Statement:   fmt.Sprintf("set job %d tasks %d", g.ID, max(1, most)),
	}, true
}

func (p *pass) waitUnusable(g *gang) carawayshift.Wait {
	w := carawayshift.Wait{
		Rule:        ruleUnusable,
		UnblockedBy: fmt.Sprintf("workers that are leaving or quarantined have to return before %s fits in one zone", shape(g)),
		Statement:   "show workers",
	}
	for _, n := range p.view.Workers {
		if n.Quarantined {
			w.Statement = "release worker " + n.Name
			break
		}
	}
	return w
}

// slots returns the largest number of tasks that one zone could hold if it
// were empty: on workers that take work, and on all workers.
func (p *pass) slots(g *gang) (use, all int) {
	key := slotKey{g.Accelerators, g.Cores, g.Memory}
	if n, ok := p.slotCache[key]; ok {
		return n[0], n[1]
	}
	for z := range p.phys.Zones() {
		use = max(use, p.slotsIn(z, g, false))
		all = max(all, p.slotsIn(z, g, true))
	}
	if p.slotCache == nil {
		p.slotCache = make(map[slotKey][2]int)
	}
	p.slotCache[key] = [2]int{use, all}
	return use, all
}

func (p *pass) slotsIn(z int, g *gang, all bool) int {
	n := 0
	for _, r := range p.phys.ZoneRacks(z) {
		for _, w := range p.phys.RackWorkers(r) {
			capacity := p.phys.Capacity(w)
			if all {
				capacity = min(p.phys.Worker(w).Accelerators, buddy.WorkerSize)
			}
			if u := p.phys.Units(w, g.Job); u == g.units {
				n += capacity / u
			}
		}
	}
	return n
}

// slotKey is what the places for a task depend on.
type slotKey struct{ accelerators, cores, memory int }

// outsideGuarantee says why the gang is not charged to its team's guarantee.
func (p *pass) outsideGuarantee(g *gang) string {
	t := &p.teams[g.team]
	switch {
	case len(t.Guarantee) == 0:
		return fmt.Sprintf("team %s has no guarantee", g.Team)
	case p.largestCell(t) < g.total():
		return fmt.Sprintf("team %s has no guarantee cell of %d", g.Team, 1<<buddy.Level(g.total()))
	case len(p.levelsFor(t, g.total())) > 0:
		return fmt.Sprintf("the guarantee of team %s (%s) is short of hardware", g.Team, formatCells(t.Guarantee))
	}
	return fmt.Sprintf("team %s uses its guarantee of %s", g.Team, formatCells(t.Guarantee))
}

func (p *pass) largestCell(t *team) int {
	n := 0
	for _, c := range t.Guarantee {
		if c.Count > 0 {
			n = max(n, c.Size)
		}
	}
	return n
}

// raiseGuarantee returns the statement that would make the job guaranteed
// work when the guarantee can still be packed, and the statement that shows
// all guarantees otherwise.
func (p *pass) raiseGuarantee(g *gang) string {
	l := buddy.Level(g.total())
	if l >= buddy.Levels {
		return fmt.Sprintf("why job %d", g.ID)
	}
	need := p.need
	need[l]++
	if !p.guard.Fits(&need) {
		return "show guarantees"
	}
	cells := slices.Clone(p.teams[g.team].Guarantee)
	i := slices.IndexFunc(cells, func(c carawayshift.CellCount) bool { return c.Size == 1<<l })
	if i < 0 {
		cells = append(cells, carawayshift.CellCount{Count: 1, Size: 1 << l})
	} else {
		cells[i].Count++
	}
	return fmt.Sprintf("set team %s guarantee %s", g.Team, formatCells(cells))
}

// firstEnd names the running job that is expected to end first.
func (p *pass) firstEnd() string {
	best := -1
	for z := range p.phys.Zones() {
		if gs := p.endsIn(z); len(gs) > 0 {
			if best < 0 || p.endOf(&p.gangs[gs[0]]).Before(p.endOf(&p.gangs[best])) {
				best = gs[0]
			}
		}
	}
	if best < 0 {
		return ""
	}
	return fmt.Sprintf(", job %d is expected to be the first", p.gangs[best].ID)
}

// neverRuns says what the job would need.
func (p *pass) neverRuns(g *gang) string {
	if g.Tasks <= 0 {
		return "the job has no tasks; set a number of tasks"
	}
	kinds := make([]string, 0, len(p.kinds))
	for _, k := range p.kinds {
		kinds = append(kinds, fmt.Sprintf("%d accelerators, %d cores, %d MB", k.Accelerators, k.Cores, k.Memory))
	}
	return fmt.Sprintf("each task needs a worker with %d accelerators, %d cores and %d MB; the workers have %s",
		g.Accelerators, g.Cores, g.Memory, strings.Join(kinds, "; or "))
}

// formatCells writes cells as in statements: "2x8, 1x32".
func formatCells(cells []carawayshift.CellCount) string {
	out := make([]string, 0, len(cells))
	for _, c := range cells {
		out = append(out, fmt.Sprintf("%dx%d", c.Count, c.Size))
	}
	return strings.Join(out, ", ")
}

// formatZones lists how many cells of a size each zone has room for.
func formatZones(f *buddy.Forest, size int) string {
	out := make([]string, 0, f.Zones())
	for z := range f.Zones() {
		out = append(out, fmt.Sprintf("zone %s has room for %dx%d", f.ZoneName(z), f.Free(z, buddy.Level(size)), size))
	}
	return strings.Join(out, ", ")
}
