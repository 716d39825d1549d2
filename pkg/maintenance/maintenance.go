// Package maintenance selects the machines of a wave that are taken down next.
//
// # Usage
//
//	start, drain := maintenance.Next(maintenance.Input{Now: now, Wave: wave, Machines: machines, Duration: 3*time.Second})
//
// Idle machines come first. Machines with open runs are drained. They are taken
// down with their runs only when the wave would otherwise miss its due time, and
// only if no step then has more long-running tasks unavailable at once than its
// MaxUnavailable.
package maintenance

import (
	"cmp"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// Machine is one machine of a wave.
type Machine struct {
	Name string
	// Up is true when the machine accepts a maintenance request.
	Up bool
	// Runs is the number of open runs on the machine.
	Runs int
	// Blocked is true when taking the machine down would make too many
	// long-running tasks of a step unavailable.
	Blocked bool
}

// Input is the input of Next.
type Input struct {
	Now      time.Time
	Wave     carawayshift.Wave
	Machines []Machine
	// Duration is how long the maintenance of one machine takes.
	Duration time.Duration
}

// margin is the factor by which the computed remaining time of a wave is
// extended.
const margin = 1.5

// Next returns the machines whose maintenance must be requested now, and those
// that must get no new work because they come next.
func Next(v Input) (start, drain []string) {
	free := v.Wave.Limit - (len(v.Wave.Started) - len(v.Wave.Done))
	waiting := slices.DeleteFunc(slices.Clone(v.Machines), func(m Machine) bool {
		return !m.Up || slices.Contains(v.Wave.Started, m.Name)
	})
	slices.SortStableFunc(waiting, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.Name, b.Name))
	})
	interrupt := v.mustInterrupt(len(waiting))
	for _, m := range waiting {
		if free <= 0 {
			break
		}
		free--
		if !m.Blocked && (m.Runs == 0 || interrupt) {
			start = append(start, m.Name)
			continue
		}
		drain = append(drain, m.Name)
	}
	return start, drain
}

// mustInterrupt reports whether the wave misses its due time unless machines are
// taken down while they have open runs.
func (v Input) mustInterrupt(waiting int) bool {
	rounds := (waiting + v.Wave.Limit - 1) / v.Wave.Limit
	need := time.Duration(float64(rounds) * margin * float64(v.Duration))
	return v.Now.Add(need).After(v.Wave.Due)
}
