package batch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/teamcap"
)

// LingeringRun is a lost run that may still be at work, see RunEnd.Lingers.
type LingeringRun struct {
	Team string `cbor:"1,keyasint"`
	// Requirements holds only what counts against a cap.
	Requirements carawayshift.Step `cbor:"2,keyasint"`
	Recorded     time.Time         `cbor:"3,keyasint"`
	Lingers      time.Duration     `cbor:"4,keyasint"`
}

// at reports whether the run may be at work at a time. A time well before the record
// comes from a clock that was set back; the run would linger for as long as the clock
// is behind.
func (r LingeringRun) at(t time.Time) bool {
	d := t.Sub(r.Recorded)
	return d > -r.Lingers && d < r.Lingers
}

// TeamRate is how much of its weight a team has used.
type TeamRate struct {
	Team string `cbor:"1,keyasint"`
	// Used is the number of batches that count at the time At.
	Used float64   `cbor:"2,keyasint"`
	At   time.Time `cbor:"3,keyasint"`
}

// weightWindow is the time for which a team may submit batches at once that its weight
// allows one after the other.
const weightWindow = 5 * time.Second

// caps returns the caps of the teams that have any.
func caps(c carawayshift.Catalog) map[string]carawayshift.Resources {
	list := map[string]carawayshift.Resources{}
	for _, m := range c.Teams {
		if m.Cap != (carawayshift.Resources{}) {
			list[m.Team] = m.Cap
		}
	}
	return list
}

// TeamUse returns the caps of the teams that have any, and what counts against them.
func (t *Table) TeamUse(now time.Time) (limits, inUse map[string]carawayshift.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limits = caps(t.catalog)
	if len(limits) == 0 {
		return nil, nil
	}
	inUse = map[string]carawayshift.Resources{}
	for team := range limits {
		inUse[team] = t.account.InUse(team)
	}
	// The table itself changes only by the times of commands, which are the same on all
	// hosts.
	a := teamcap.New(limits, inUse)
	for _, r := range t.lingering {
		if a.Limited(r.Team) && !r.at(now) {
			a.Add(r.Team, r.Requirements, -1)
		}
	}
	for team := range limits {
		inUse[team] = a.InUse(team)
	}
	return limits, inUse
}

// Excess reports whether a batch was accepted beyond its team's weight.
func (t *Table) Excess(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.batches[id]
	return b != nil && b.Excess
}

// OverCap reports whether the team of a task uses more than its cap, so that no more
// starts may be sent for it.
func (t *Table) OverCap(n carawayshift.TaskName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.batches[n.Batch]
	return b != nil && t.account.Over(b.Team)
}

// restoreAccount counts all open runs and the given lingering ones.
func (t *Table) restoreAccount(lingering []LingeringRun) {
	t.account, t.lingering = teamcap.New(caps(t.catalog), nil), lingering
	for id := range t.active {
		b := t.batches[id]
		for n := range b.Occurrences {
			for _, r := range appendOpenRuns(nil, b, n) {
				t.account.Add(r.Team, r.Requirements, 1)
			}
		}
	}
	for _, r := range lingering {
		t.account.Add(r.Team, r.Requirements, 1)
	}
}

// dropLingering removes the lost runs that can't be at work any more.
func (t *Table) dropLingering(at time.Time) {
	t.lingering = slices.DeleteFunc(t.lingering, func(r LingeringRun) bool {
		if r.at(at) {
			return false
		}
		t.account.Add(r.Team, r.Requirements, -1)
		return true
	})
}

// settle removes a run that has ended from its team's account, unless it lingers.
func (t *Table) settle(at time.Time, e carawayshift.RunEnd, team string, s carawayshift.Step) {
	if e.Lingers <= 0 {
		t.account.Add(team, s, -1)
		return
	}
	t.lingering = append(t.lingering, LingeringRun{
		Team: team, Recorded: at, Lingers: e.Lingers,
		Requirements: carawayshift.Step{MilliCores: s.MilliCores, Memory: s.Memory, Accelerators: s.Accelerators},
	})
}

// startUnderCaps opens the runs that fit under their teams' caps, those of a gang
// together or not at all. The leader plans within the caps; this holds back the starts
// of a leader that did not know yet of the runs of its successor, or of a lower cap.
func (t *Table) startUnderCaps(at time.Time, starts []carawayshift.RunStart) {
	for len(starts) > 0 {
		n := 1
		if b := t.batches[starts[0].Task.Batch]; t.step(starts[0].Task) != nil && b.Steps[starts[0].Task.Step].Gang {
			for n < len(starts) && sameStep(starts[n].Task, starts[0].Task) {
				n++
			}
		}
		if t.fitsUnderCap(starts[:n]) {
			for _, s := range starts[:n] {
				t.start(at, s)
			}
		}
		starts = starts[n:]
	}
}

func sameStep(a, b carawayshift.TaskName) bool {
	a.Index = b.Index
	return a == b
}

// fitsUnderCap reports whether the runs that the starts of one step would open fit under
// their team's cap.
func (t *Table) fitsUnderCap(starts []carawayshift.RunStart) bool {
	n := 0
	for _, s := range starts {
		if t.mayOpen(s) {
			n++
		}
	}
	if n == 0 {
		return true
	}
	b := t.batches[starts[0].Task.Batch]
	return t.account.Room(b.Team, b.Steps[starts[0].Task.Step], n) == n
}

// checkCap returns an error of kind Limited for a batch that can never run because a
// task, or a gang as a whole, needs more than its team's cap.
func (t *Table) checkCap(b carawayshift.Batch) error {
	for i, s := range b.Steps {
		n, what := 1, "a task"
		if s.Gang {
			n, what = s.Count, fmt.Sprintf("the gang of %d tasks", s.Count)
		}
		if !t.account.CanEverFit(b.Team, s, n) {
			return carawayshift.NewError(carawayshift.Limited,
				fmt.Sprintf("%s of step %d needs more than the cap of team %s, so the batch can never run", what, i, b.Team),
				"submit smaller steps, or ask an operator to raise the team's cap")
		}
	}
	return nil
}

// dropRates removes the rates of teams without a weight.
func (t *Table) dropRates() {
	t.submitted = slices.DeleteFunc(t.submitted, func(r TeamRate) bool {
		return !slices.ContainsFunc(t.catalog.Teams, func(m carawayshift.CatalogTeam) bool { return m.Team == r.Team && m.Weight > 0 })
	})
}

// exceedsWeight counts a batch that a team submits, and reports whether it is beyond the
// team's weight.
func (t *Table) exceedsWeight(at time.Time, team string) bool {
	i := slices.IndexFunc(t.catalog.Teams, func(m carawayshift.CatalogTeam) bool { return m.Team == team })
	if i < 0 || t.catalog.Teams[i].Weight == 0 {
		return false
	}
	weight := t.catalog.Teams[i].Weight
	n, found := slices.BinarySearchFunc(t.submitted, team, func(r TeamRate, name string) int { return cmp.Compare(r.Team, name) })
	if !found {
		t.submitted = slices.Insert(t.submitted, n, TeamRate{Team: team, At: at})
	}
	r := &t.submitted[n]
	// The conversion keeps the result the same on processors that fuse the two operations.
	r.Used = max(0, r.Used-float64(weight*max(0, at.Sub(r.At).Seconds())))
	r.At = at
	if r.Used+1 > max(1, weight*weightWindow.Seconds()) {
		return true
	}
	r.Used++
	return false
}
