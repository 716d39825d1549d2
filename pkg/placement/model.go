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
	// phys holds every occupant, guard only guaranteed work together with the
	// parts of its guarantee cells that are not in use.
	phys, guard *buddy.Forest
	// need counts the guarantee cells that are not bound to a place.
	need   [buddy.Levels]int
	teams  []team
	byTeam map[string]int
	// gangs are the active jobs, waiting the jobs in state waiting.
	gangs   []gang
	waiting []gang
	// onWorker lists the gangs on each worker.
	onWorker [][]int
	kinds    []carawayshift.Worker
}

// team is a team with the cells of its guarantee.
type team struct {
	carawayshift.Team
	// left counts the cells that no job is charged to.
	left   [buddy.Levels]int
	bounds []*bound
	// borrowed is the number of units that borrowed work of the team uses.
	borrowed int
}

// gang is a job with what the planner derives from it.
type gang struct {
	*carawayshift.Job
	team int
	zone int
	// units is the size of one task on the smallest kind of worker that can
	// run it, 0 when there is none.
	units int
	// takes lists the units on each worker of an active gang.
	takes []take
	// guaranteed is true while the gang is charged to a guarantee cell.
	guaranteed bool
	// stopped is true when the plan stops the gang.
	stopped bool
	// estimate is the expected run time that remains.
	estimate time.Duration
	key      time.Time
	// settled is true when a waiting job was started, parked or explained.
	settled bool
}

type take struct{ worker, units int }

// total returns the units of the whole gang.
func (g *gang) total() int { return g.Tasks * g.units }

// newModel builds the forests and charges guaranteed work to its cells.
func newModel(now time.Time, v *carawayshift.View) *model {
	m := &model{now: now, view: v, byTeam: make(map[string]int, len(v.Teams))}
	m.phys = buddy.New(v.Zones, v.Workers)
	m.guard = m.phys.Clone()
	m.onWorker = make([][]int, len(v.Workers))
	m.kinds = kindsOf(v.Workers)
	for i, t := range v.Teams {
		m.byTeam[t.Name] = i
		m.teams = append(m.teams, team{Team: t})
	}
	for i := range v.Jobs {
		m.addJob(&v.Jobs[i])
	}
	m.charge()
	return m
}

func kindsOf(ws []carawayshift.Worker) []carawayshift.Worker {
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
	g := gang{Job: j, team: m.teamOf(j.Team), units: m.unitsOf(j)}
	g.estimate = m.remaining(&g)
	if j.State == carawayshift.JobWaiting {
		m.waiting = append(m.waiting, g)
		return
	}
	g.zone = m.phys.ZoneIndex(j.Zone)
	g.takes = m.takesOf(j)
	for _, t := range g.takes {
		m.phys.Occupy(t.worker, t.units)
		m.onWorker[t.worker] = append(m.onWorker[t.worker], len(m.gangs))
	}
	m.gangs = append(m.gangs, g)
}

// teamOf returns the index of a team. A job of a team that was not created
// belongs to a team without a guarantee.
func (m *model) teamOf(name string) int {
	if i, ok := m.byTeam[name]; ok {
		return i
	}
	m.byTeam[name] = len(m.teams)
	m.teams = append(m.teams, team{Team: carawayshift.Team{Name: name}})
	return len(m.teams) - 1
}

// unitsOf returns the fewest units that a task of the job takes on any kind of
// worker.
func (m *model) unitsOf(j *carawayshift.Job) int {
	best := 0
	for _, k := range m.kinds {
		if u := buddy.Units(k, j); u > 0 && (best == 0 || u < best) {
			best = u
		}
	}
	return best
}

// takesOf sums up the units of a placed job by worker. Workers that are not in
// the view have no cells to occupy.
func (m *model) takesOf(j *carawayshift.Job) []take {
	out := make([]take, 0, len(j.Placements))
	for _, p := range j.Placements {
		w := m.phys.Index(p.Worker)
		if w < 0 {
			continue
		}
		u := max(m.phys.Units(w, j), p.Accelerators)
		if n := len(out); n > 0 && out[n-1].worker == w {
			out[n-1].units += u
			continue
		}
		if i := slices.IndexFunc(out, func(t take) bool { return t.worker == w }); i >= 0 {
			out[i].units += u
			continue
		}
		out = append(out, take{w, u})
	}
	return out
}

// charge binds guaranteed work to the guarantee cells of its team. Which cell
// a job belongs to is not part of the view: a small job can lie in a small
// cell or be part of a large one, and not every choice leaves room for the
// other cells. The choices are searched depth first, smallest cell first.
func (m *model) charge() {
	for i := range m.teams {
		m.teams[i].reset(&m.need)
	}
	s := search{model: m, order: m.guaranteedOrder(), limit: m.deficit()}
	s.run()
	for i := range m.gangs {
		if g := &m.gangs[i]; !g.guaranteed {
			m.teams[g.team].borrowed += unitsIn(g.takes)
		}
	}
}

func unitsIn(ts []take) int {
	n := 0
	for _, t := range ts {
		n += t.units
	}
	return n
}

func (t *team) reset(need *[buddy.Levels]int) {
	t.left = [buddy.Levels]int{}
	t.bounds = nil
	t.borrowed = 0
	for _, c := range t.Guarantee {
		l := buddy.Level(c.Size)
		t.left[l] += c.Count
		need[l] += c.Count
	}
}

// deficit measures by how much the unbound guarantee cells exceed the free
// cells of the guard forest; 0 means that all can be packed.
func (m *model) deficit() int {
	sum, need := m.overheld(), 0
	for l := buddy.Levels - 1; l >= 0; l-- {
		need += m.need[l] << l
		if need > 0 {
			sum += max(0, need-m.guard.FreeAll(l)<<l)
		}
	}
	return sum
}

// overheld returns the accelerators by which cells larger than a rack exceed
// the wholly free racks of their zone.
func (m *model) overheld() int {
	n := 0
	for z := range m.guard.Zones() {
		n += max(0, -m.guard.Free(z, buddy.Level(buddy.RackSize))) * buddy.RackSize
	}
	return n
}
