package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

// Rules that prevent the start of a job, as operators see them.
const (
	ruleReclaim           = "reclaim"
	ruleReservation       = "reservation"
	ruleBehindReservation = "behind a reservation"
	ruleZoneOut           = "zone out"
	ruleNoZone            = "no zone large enough"
	ruleNoWorkers         = "no workers"
	ruleUnusableWorkers   = "workers out of use"
	ruleNoFreeCells       = "no free accelerators"
)

// explain adds an explanation for every job that keeps waiting.
func (p *pass) explain() {
	var releases timeline
	for i := range p.waiting {
		g := &p.waiting[i]
		if g.decided {
			continue
		}
		if releases.releases == nil {
			releases = p.releases()
		}
		p.plan.Waits[g.ID] = p.explanationOf(g, &releases)
	}
}

func (p *pass) explanationOf(g *gang, releases *timeline) carawayshift.Wait {
	if r := p.reservationOf(g.ID); r != nil {
		return p.waitForReservation(g, r)
	}
	if w, ok := p.waitForHardware(g); ok {
		return w
	}
	expected := releases.next(g.total())
	if p.roomWithoutReservations(g) {
		return p.waitBehindReservation(g, expected)
	}
	w := p.waitForCells(g)
	w.Expected = expected
	return w
}

// explanationKey identifies the explanation that jobs of one team and shape
// share.
type explanationKey struct{ team, tasks, accelerators, units int }

// waitForCells explains a job that finds no free accelerators. Thousands of jobs
// may wait for this reason, so the text is built once for each team and shape.
func (p *pass) waitForCells(g *gang) carawayshift.Wait {
	key := explanationKey{g.team, g.Tasks, g.Accelerators, g.units}
	if w, ok := p.explanationCache[key]; ok {
		return w
	}
	w := carawayshift.Wait{
		Rule:        ruleNoFreeCells,
		UnblockedBy: p.outsideGuarantee(g) + ", and no zone has room for " + shape(g) + " now; running work has to end first" + p.firstExpectedEnd(),
		Statement:   p.raiseGuarantee(g),
	}
	if p.explanationCache == nil {
		p.explanationCache = make(map[explanationKey]carawayshift.Wait)
	}
	p.explanationCache[key] = w
	return w
}

func shape(g *gang) string {
	return fmt.Sprintf("%d tasks of %d accelerators", g.Tasks, g.Accelerators)
}

func (p *pass) explainReclaim(g *gang, c *candidate) {
	names := make([]string, 0, len(c.victims))
	for _, v := range c.victims {
		names = append(names, fmt.Sprint(p.gangs[v].ID))
	}
	p.plan.Waits[g.ID] = carawayshift.Wait{
		Rule:        ruleReclaim,
		UnblockedBy: fmt.Sprintf("the guarantee of team %s is reclaimed; stopping: job %s", g.Team, strings.Join(names, ", ")),
		Expected:    p.now.Add(stopDuration),
		Statement:   fmt.Sprintf("show job %s", names[0]),
	}
	g.decided = true
}

func (p *pass) reservationOf(id uint64) *reservation {
	i := slices.IndexFunc(p.reservations, func(r reservation) bool { return r.job == id })
	if i < 0 {
		return nil
	}
	return &p.reservations[i]
}

func (p *pass) waitForReservation(g *gang, r *reservation) carawayshift.Wait {
	zone := p.physicalForest.Worker(r.setAside[0].worker).Zone
	return carawayshift.Wait{
		Rule:        ruleReservation,
		UnblockedBy: fmt.Sprintf("%s; %s is reserved in zone %s, running work there has to end first", p.outsideGuarantee(g), shape(g), zone),
		Expected:    r.at,
		Statement:   fmt.Sprintf("show jobs where state = running and zone = %s", zone),
	}
}

// waitBehindReservation explains a job that would fit if no larger job were
// waiting.
func (p *pass) waitBehindReservation(g *gang, expected time.Time) carawayshift.Wait {
	first := p.reservations[0]
	return carawayshift.Wait{
		Rule: ruleBehindReservation,
		UnblockedBy: fmt.Sprintf("job %d holds a reservation for %s, and this job is expected to run %s, past that time",
			first.job, first.at.UTC().Format(time.TimeOnly), g.estimate.Round(time.Minute)),
		Expected:  expected,
		Statement: fmt.Sprintf("why job %d", first.job),
	}
}

// roomWithoutReservations reports whether the gang would fit if there were no
// reservations.
func (p *pass) roomWithoutReservations(g *gang) bool {
	if len(p.reservations) == 0 {
		return false
	}
	for _, r := range p.reservations {
		for _, t := range r.setAside {
			p.physicalForest.Vacate(t.worker, t.units)
		}
	}
	ok := p.findInAnyZone(g) != nil
	for _, r := range p.reservations {
		for _, t := range r.setAside {
			p.physicalForest.Occupy(t.worker, t.units)
		}
	}
	return ok
}

// waitForHardware explains a job that would not fit even if all other work
// ended.
func (p *pass) waitForHardware(g *gang) (carawayshift.Wait, bool) {
	if p.physicalForest.Workers() == 0 {
		return carawayshift.Wait{
			Rule: ruleNoWorkers, UnblockedBy: "no worker has announced itself", Statement: "show workers",
		}, true
	}
	usable, most := p.mostTasksInZone(g)
	if usable >= g.Tasks {
		return carawayshift.Wait{}, false
	}
	for z := range p.view.Zones {
		if n := &p.view.Zones[z]; n.Drained && p.tasksInZone(z, g, true) >= g.Tasks {
			return carawayshift.Wait{
				Rule:        ruleZoneOut,
				UnblockedBy: fmt.Sprintf("only zone %s, which is out, has room for %s", n.Name, shape(g)),
				Statement:   "return zone " + n.Name,
			}, true
		}
	}
	if most >= g.Tasks {
		return p.waitForUnusableWorkers(g), true
	}
	return carawayshift.Wait{
		Rule:        ruleNoZone,
		UnblockedBy: fmt.Sprintf("a zone with room for %s; the workers of the largest zone hold %d such tasks", shape(g), most),
		Statement:   fmt.Sprintf("set job %d tasks %d", g.ID, max(1, most)),
	}, true
}

func (p *pass) waitForUnusableWorkers(g *gang) carawayshift.Wait {
	w := carawayshift.Wait{
		Rule:        ruleUnusableWorkers,
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

// mostTasksInZone returns the largest number of the job's tasks that one zone
// could hold if it were empty: on workers that take work, and on all workers.
func (p *pass) mostTasksInZone(g *gang) (usable, all int) {
	key := taskNeeds{g.Accelerators, g.Cores, g.Memory}
	if n, ok := p.taskCapacityCache[key]; ok {
		return n[0], n[1]
	}
	for z := range p.physicalForest.Zones() {
		usable = max(usable, p.tasksInZone(z, g, false))
		all = max(all, p.tasksInZone(z, g, true))
	}
	if p.taskCapacityCache == nil {
		p.taskCapacityCache = make(map[taskNeeds][2]int)
	}
	p.taskCapacityCache[key] = [2]int{usable, all}
	return usable, all
}

func (p *pass) tasksInZone(z int, g *gang, all bool) int {
	n := 0
	for _, r := range p.physicalForest.ZoneRacks(z) {
		for _, w := range p.physicalForest.RackWorkers(r) {
			capacity := p.physicalForest.Capacity(w)
			if all {
				capacity = min(p.physicalForest.Worker(w).Accelerators, buddy.WorkerSize)
			}
			if u := p.physicalForest.Units(w, g.Job); u == g.units {
				n += capacity / u
			}
		}
	}
	return n
}

// taskNeeds holds the resources of a task, which determine how many such tasks
// fit into a zone.
type taskNeeds struct{ accelerators, cores, memory int }

// outsideGuarantee returns why the gang is not charged to its team's guarantee.
func (p *pass) outsideGuarantee(g *gang) string {
	t := &p.teams[g.team]
	switch {
	case len(t.Guarantee) == 0:
		return fmt.Sprintf("team %s has no guarantee", g.Team)
	case p.largestCell(t) < g.total():
		return fmt.Sprintf("team %s has no guarantee cell of %d", g.Team, 1<<buddy.Level(g.total()))
	case len(p.unusedLevels(t, g.total())) > 0:
		return fmt.Sprintf("the guarantee of team %s (%s) can't be met with the present workers", g.Team, formatCells(t.Guarantee))
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
	need := p.unboundCells
	need[l]++
	if !p.guaranteeForest.Fits(&need) {
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

// firstExpectedEnd names the running job that is expected to end first.
func (p *pass) firstExpectedEnd() string {
	best := -1
	for z := range p.physicalForest.Zones() {
		if gs := p.zoneEnds(z); len(gs) > 0 {
			if best < 0 || p.expectedEnd(&p.gangs[gs[0]]).Before(p.expectedEnd(&p.gangs[best])) {
				best = gs[0]
			}
		}
	}
	if best < 0 {
		return ""
	}
	return fmt.Sprintf(", job %d is expected to be the first", p.gangs[best].ID)
}

// unrunnableReason returns what the job needs and what the workers have.
func (p *pass) unrunnableReason(g *gang) string {
	if g.Tasks <= 0 {
		return "the job has no tasks; set a number of tasks"
	}
	kinds := make([]string, 0, len(p.workerKinds))
	for _, k := range p.workerKinds {
		kinds = append(kinds, fmt.Sprintf("%d accelerators, %d cores, %d MB", k.Accelerators, k.Cores, k.Memory))
	}
	return fmt.Sprintf("each task needs a worker with %d accelerators, %d cores and %d MB; the workers have %s",
		g.Accelerators, g.Cores, g.Memory, strings.Join(kinds, "; or "))
}

// formatCells formats cells as in statements: "2x8, 1x32".
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
		out = append(out, fmt.Sprintf("zone %s has room for %dx%d", f.ZoneName(z), f.FreeCells(z, buddy.Level(size)), size))
	}
	return strings.Join(out, ", ")
}
