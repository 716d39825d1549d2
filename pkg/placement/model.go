package placement

import (
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

// model is the working copy of one view. It is built for each plan and
// discarded with it.
type model struct {
	now  time.Time
	view *carawayshift.View
	// physicalForest contains every occupant, guaranteeForest only guaranteed
	// work and the unused parts of the guarantee cells that it is charged to.
	physicalForest, guaranteeForest *buddy.Forest
	// unboundCells counts, by level, the guarantee cells that are not bound to
	// workers.
	unboundCells [buddy.Levels]int
	teams        []team
	teamIndexes  map[string]int
	// gangs are the active jobs, waiting the jobs in state waiting.
	gangs   []gang
	waiting []gang
	// gangsOnWorker lists the gangs on each worker.
	gangsOnWorker [][]int
	workerKinds   []carawayshift.Worker
}

// team is a team with the cells of its guarantee.
type team struct {
	carawayshift.Team
	// unusedCells counts, by level, the cells that no job is charged to.
	unusedCells [buddy.Levels]int
	boundCells  []*boundCell
	// borrowedUnits is the number of units that borrowed work of the team uses.
	borrowedUnits int
}

// gang is a job with the values that the planner derives from it.
type gang struct {
	*carawayshift.Job
	team int
	zone int
	// units is the size of one task on the smallest kind of worker that can
	// run it, 0 when there is none.
	units int
	// allocations lists the units on each worker of an active gang.
	allocations []allocation
	// guaranteed is true while the gang is charged to a guarantee cell.
	guaranteed bool
	// stopped is true when the plan stops the gang.
	stopped bool
	// estimate is the expected run time that remains.
	estimate time.Duration
	sortKey  time.Time
	// decided is true when this plan has started or parked a waiting job, or
	// reclaims accelerators for it.
	decided bool
}

type allocation struct{ worker, units int }

// total returns the units of the whole gang.
func (g *gang) total() int { return g.Tasks * g.units }

// newModel builds the forests and charges guaranteed work to its cells.
func newModel(now time.Time, v *carawayshift.View) *model {
	m := &model{now: now, view: v, teamIndexes: make(map[string]int, len(v.Teams))}
	m.physicalForest = buddy.New(v.Zones, v.Workers)
	m.guaranteeForest = m.physicalForest.Clone()
	m.gangsOnWorker = make([][]int, len(v.Workers))
	m.workerKinds = workerKindsOf(v.Workers)
	for i, t := range v.Teams {
		m.teamIndexes[t.Name] = i
		m.teams = append(m.teams, team{Team: t})
	}
	for i := range v.Jobs {
		m.addJob(&v.Jobs[i])
	}
	m.chargeRunningGangs()
	return m
}

func workerKindsOf(ws []carawayshift.Worker) []carawayshift.Worker {
	type kind struct{ cores, memory, accelerators int }
	seen := make(map[kind]bool)
	var out []carawayshift.Worker
	for _, w := range ws {
		k := kind{w.Cores, w.Memory, w.Accelerators}
		if !seen[k] {
			seen[k] = true
			out = append(out, w)
		}
	}
	return out
}

func (m *model) addJob(j *carawayshift.Job) {
	if j.State != carawayshift.JobWaiting && !j.Active() {
		return
	}
	g := gang{Job: j, team: m.teamIndex(j.Team), units: m.minUnits(j)}
	g.estimate = m.remainingRunTime(&g)
	if j.State == carawayshift.JobWaiting {
		m.waiting = append(m.waiting, g)
		return
	}
	g.zone = m.physicalForest.ZoneIndex(j.Zone)
	g.allocations = m.allocationsOf(j)
	for _, t := range g.allocations {
		m.physicalForest.Occupy(t.worker, t.units)
		m.gangsOnWorker[t.worker] = append(m.gangsOnWorker[t.worker], len(m.gangs))
	}
	m.gangs = append(m.gangs, g)
}

// teamIndex returns the index of a team. A job of a team that was not created
// belongs to a team without a guarantee.
func (m *model) teamIndex(name string) int {
	if i, ok := m.teamIndexes[name]; ok {
		return i
	}
	m.teamIndexes[name] = len(m.teams)
	m.teams = append(m.teams, team{Team: carawayshift.Team{Name: name}})
	return len(m.teams) - 1
}

// minUnits returns the fewest units that a task of the job takes on any kind of
// worker, 0 when no kind can run it.
func (m *model) minUnits(j *carawayshift.Job) int {
	best := 0
	for _, k := range m.workerKinds {
		if u := buddy.Units(k, j); u > 0 && (best == 0 || u < best) {
			best = u
		}
	}
	return best
}

// allocationsOf sums up the units of a placed job by worker. It leaves out
// workers that are not in the view, because they have no cells to occupy.
func (m *model) allocationsOf(j *carawayshift.Job) []allocation {
	out := make([]allocation, 0, len(j.Placements))
	for _, p := range j.Placements {
		w := m.physicalForest.Index(p.Worker)
		if w < 0 {
			continue
		}
		u := max(m.physicalForest.Units(w, j), p.Accelerators)
		if n := len(out); n > 0 && out[n-1].worker == w {
			out[n-1].units += u
			continue
		}
		if i := slices.IndexFunc(out, func(t allocation) bool { return t.worker == w }); i >= 0 {
			out[i].units += u
			continue
		}
		out = append(out, allocation{w, u})
	}
	return out
}

// chargeRunningGangs binds running guaranteed work to the guarantee cells of its
// team. The view doesn't say which cell a job belongs to: a small job can use a
// small cell or a part of a large one, and some choices leave no room for the
// other cells. The choices are searched depth first, smallest cell first.
func (m *model) chargeRunningGangs() {
	for i := range m.teams {
		m.teams[i].reset(&m.unboundCells)
	}
	s := bindingSearch{model: m, order: m.guaranteedOrder(), maxDeficit: m.deficit()}
	s.run()
	for i := range m.gangs {
		if g := &m.gangs[i]; !g.guaranteed {
			m.teams[g.team].borrowedUnits += totalUnits(g.allocations)
		}
	}
}

func totalUnits(ts []allocation) int {
	n := 0
	for _, t := range ts {
		n += t.units
	}
	return n
}

func (t *team) reset(need *[buddy.Levels]int) {
	t.unusedCells = [buddy.Levels]int{}
	t.boundCells = nil
	t.borrowedUnits = 0
	for _, c := range t.Guarantee {
		l := buddy.Level(c.Size)
		t.unusedCells[l] += c.Count
		need[l] += c.Count
	}
}

// deficit returns by how many accelerators, summed over the levels, the unbound
// guarantee cells exceed the free cells of the guarantee forest; 0 means that
// all of them can be packed.
func (m *model) deficit() int {
	sum, need := m.overcommitted(), 0
	for l := buddy.Levels - 1; l >= 0; l-- {
		need += m.unboundCells[l] << l
		if need > 0 {
			sum += max(0, need-m.guaranteeForest.TotalFreeCells(l)<<l)
		}
	}
	return sum
}

// overcommitted returns the number of accelerators by which cells larger than a
// rack exceed the wholly free racks of their zone.
func (m *model) overcommitted() int {
	n := 0
	for z := range m.guaranteeForest.Zones() {
		n += max(0, -m.guaranteeForest.FreeCells(z, buddy.Level(buddy.RackSize))) * buddy.RackSize
	}
	return n
}
