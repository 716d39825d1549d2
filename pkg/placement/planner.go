package placement

import (
	"fmt"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

// Planner implements carawayshift.Planner. It has no state: plans depend on
// the time and the view alone, and a Planner is safe for concurrent use.
type Planner struct{}

var _ carawayshift.Planner = Planner{}

// New returns a Planner.
func New() Planner { return Planner{} }

// Plan decides which jobs to start, stop and park, and explains the others.
func (Planner) Plan(now time.Time, v carawayshift.View) carawayshift.Plan {
	m := newModel(now, &v)
	p := &pass{model: m}
	p.plan.Waits = make(map[uint64]carawayshift.Wait, len(m.waiting))
	m.sortWaiting()
	p.park()
	p.drain()
	p.refill()
	p.placeGuaranteed(true)
	p.placeLargeBorrowed()
	p.placeGuaranteed(false)
	p.placeBorrowed()
	p.explain()
	p.plan.Shortfalls = m.shortfalls()
	return p.plan
}

// CheckGuarantees returns an Error of kind Refused that names the cells that
// are short, and the free cells of each zone, when the guarantees of all teams
// can't be packed on the workers that take work, or not around the guaranteed
// work that is running there.
func (Planner) CheckGuarantees(v carawayshift.View) error {
	f := buddy.New(v.Zones, v.Workers)
	var cells []carawayshift.CellCount
	for _, t := range v.Teams {
		for _, c := range t.Guarantee {
			if err := checkCell(t.Name, c); err != nil {
				return err
			}
			cells = append(cells, c)
		}
	}
	short := f.Missing(cells)
	if len(short) == 0 {
		return checkRunning(&v)
	}
	text := fmt.Sprintf("the guarantees of all teams need %s more than there is room for: %s",
		formatCells(short), formatZones(f, short[0].Size))
	return carawayshift.NewError(carawayshift.Refused, text,
		fmt.Sprintf("lower a guarantee by %s, or return a zone or workers to service", formatCells(short)))
}

// checkRunning refuses guarantees that could only be packed if running
// guaranteed work were moved.
func checkRunning(v *carawayshift.View) error {
	m := newModel(time.Time{}, v)
	for i := range m.gangs {
		g := &m.gangs[i]
		if g.guaranteed || g.Borrowed || g.State == carawayshift.JobStopping || len(g.allocations) == 0 {
			continue
		}
		// If the team has no unused cell of that size, its guarantee was
		// lowered below the job, which is borrowed work from then on.
		if len(m.unusedLevels(&m.teams[g.team], totalUnits(g.allocations))) == 0 {
			continue
		}
		return carawayshift.NewError(carawayshift.Refused,
			fmt.Sprintf("running guaranteed job %d of team %s is in the way of the other guarantees", g.ID, g.Team),
			"repeat the statement when the job has ended, or lower a guarantee")
	}
	return nil
}

func checkCell(team string, c carawayshift.CellCount) error {
	if c.Count >= 0 && c.Size > 0 && c.Size&(c.Size-1) == 0 && c.Size < 1<<buddy.Levels {
		return nil
	}
	return carawayshift.NewError(carawayshift.Refused,
		fmt.Sprintf("team %s: %dx%d is not a count of cells", team, c.Count, c.Size),
		fmt.Sprintf("use a size that is a power of two up to %d", 1<<(buddy.Levels-1)))
}

// shortfalls lists the unbound guarantee cells that can't be packed. They are
// assigned to teams in a fixed order, see assignShortfall, so the report is
// stable between plans.
func (m *model) shortfalls() []carawayshift.Shortfall {
	need := m.unboundCells
	var out []carawayshift.Shortfall
	for {
		l, n := m.guaranteeForest.MissingAt(&need)
		if n == 0 {
			return out
		}
		for need[l] == 0 {
			l++
		}
		n = min(n, need[l])
		need[l] -= n
		out = m.assignShortfall(out, l, n)
	}
}

// assignShortfall assigns n missing cells of a level to the teams that have
// unbound cells of that level, last team first.
func (m *model) assignShortfall(out []carawayshift.Shortfall, level, n int) []carawayshift.Shortfall {
	for i := len(m.teams) - 1; i >= 0 && n > 0; i-- {
		t := &m.teams[i]
		missing := min(n, t.unusedCells[level])
		for _, s := range out {
			if s.Team == t.Name && s.Size == 1<<level {
				missing = min(missing, t.unusedCells[level]-s.Missing)
			}
		}
		if missing <= 0 {
			continue
		}
		n -= missing
		out = append(out, carawayshift.Shortfall{Team: t.Name, Size: 1 << level, Missing: missing})
	}
	return out
}
