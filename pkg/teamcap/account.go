// Package teamcap counts what the runs of each team use, and tells how many more
// tasks fit under the team's cap. It is a plain data structure without a clock.
//
// # Usage
//
//	a := teamcap.New(caps, inUse)
//	n := a.Room("carnival", step, len(indexes)) // tasks of the step that fit
//	a.Add("carnival", step, n)                  // they start
//	a.Claim("carnival", step, 1, false)         // one more waits for a runner
//
// A team without a cap is not limited. A claim keeps room for tasks that come
// first but can't start yet: otherwise smaller tasks of the same team would take
// the room as soon as it is free, and a gang that needs much of the cap would
// never start. A claim leaves half of the cap to the team's other tasks, unless it
// is strict.
package teamcap

import (
	"maps"

	"carawayshift.example/carawayshift"
)

// openShare is the share of a cap that claims leave to other tasks.
const openShare = 0.5

// Account holds the caps of teams and what their runs use. It is not safe for
// concurrent use.
type Account struct {
	caps  map[string]carawayshift.Resources
	inUse map[string]carawayshift.Resources
	// claimed is what waiting tasks claim, strict what they claim strictly.
	claimed, strict map[string]carawayshift.Resources
}

// New returns an account. Either map may be nil; they are copied.
func New(caps, inUse map[string]carawayshift.Resources) *Account {
	a := &Account{
		inUse:   map[string]carawayshift.Resources{},
		claimed: map[string]carawayshift.Resources{}, strict: map[string]carawayshift.Resources{},
	}
	maps.Copy(a.inUse, inUse)
	a.SetCaps(caps)
	return a
}

// SetCaps replaces the caps of all teams.
func (a *Account) SetCaps(caps map[string]carawayshift.Resources) { a.caps = maps.Clone(caps) }

// Limited reports whether a team has a cap.
func (a *Account) Limited(team string) bool {
	return a.caps[team] != carawayshift.Resources{}
}

// Add counts n more tasks of a step as running; n may be negative.
func (a *Account) Add(team string, s carawayshift.Step, n int) {
	sum := plus(a.inUse[team], times(need(s), n))
	if sum == (carawayshift.Resources{}) {
		delete(a.inUse, team)
		return
	}
	a.inUse[team] = sum
}

// InUse returns what a team's runs use.
func (a *Account) InUse(team string) carawayshift.Resources { return a.inUse[team] }

// Claim keeps room for n tasks of a step, see the package comment.
func (a *Account) Claim(team string, s carawayshift.Step, n int, strict bool) {
	claims := a.claimed
	if strict {
		claims = a.strict
	}
	claims[team] = plus(claims[team], times(need(s), n))
}

// Room returns how many tasks of a step fit under the team's cap beside what runs
// and what is claimed, most at most.
func (a *Account) Room(team string, s carawayshift.Step, most int) int {
	if !a.Limited(team) {
		return most
	}
	limit, used := a.caps[team], plus(a.inUse[team], a.strict[team])
	open := carawayshift.Resources{
		MilliCores: part(limit.MilliCores), Memory: part(limit.Memory), Accelerators: part(limit.Accelerators),
	}
	return max(fitting(limit, plus(used, a.claimed[team]), s, most), fitting(open, used, s, most))
}

// CanEverFit reports whether n tasks of a step fit under the team's cap while
// nothing else of the team runs.
func (a *Account) CanEverFit(team string, s carawayshift.Step, n int) bool {
	return !a.Limited(team) || fitting(a.caps[team], carawayshift.Resources{}, s, n) == n
}

// Over reports whether a team uses more than its cap, which happens when a cap is
// lowered.
func (a *Account) Over(team string) bool {
	return a.Limited(team) && fitting(a.caps[team], a.inUse[team], carawayshift.Step{}, 1) == 0
}

// part returns the part of a limit that claims leave open. A limit is never 0, as
// that means no limit.
func part(limit int) int {
	if limit == 0 {
		return 0
	}
	return max(1, int(openShare*float64(limit)))
}

// fitting returns how many tasks fit under a limit, most at most. Nothing fits once
// any resource is above its limit, also if the tasks don't need that one.
func fitting(limit, used carawayshift.Resources, s carawayshift.Step, most int) int {
	n := need(s)
	for _, r := range []struct{ limit, used, need int }{
		{limit.MilliCores, used.MilliCores, n.MilliCores},
		{limit.Memory, used.Memory, n.Memory},
		{limit.Accelerators, used.Accelerators, n.Accelerators},
	} {
		if r.limit == 0 {
			continue
		}
		left := r.limit - r.used
		switch {
		case left < 0:
			return 0
		case r.need > 0:
			most = min(most, left/r.need)
		}
	}
	return most
}

// need returns what one task counts for. The cores of best-effort tasks count as well,
// although no runner reserves them.
func need(s carawayshift.Step) carawayshift.Resources {
	return carawayshift.Resources{MilliCores: s.MilliCores, Memory: s.Memory, Accelerators: s.Accelerators}
}

func plus(a, b carawayshift.Resources) carawayshift.Resources {
	return carawayshift.Resources{
		MilliCores: a.MilliCores + b.MilliCores, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators,
	}
}

func times(a carawayshift.Resources, n int) carawayshift.Resources {
	return carawayshift.Resources{MilliCores: a.MilliCores * n, Memory: a.Memory * n, Accelerators: a.Accelerators * n}
}
