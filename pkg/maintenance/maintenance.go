// Package maintenance decides which machines of a wave go down next.
//
// # Usage
//
//	next := maintenance.Next(maintenance.View{Now: now, Wave: wave, Machines: machines, Duration: 3*time.Second})
//
// Idle machines go first. Machines with work are emptied, and go down all the
// same when the wave would otherwise be late, unless that would take away more
// lasting tasks of a step than may be absent at once.
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
	// Up says that it can take the order.
	Up bool
	// Runs is the number of open runs on it.
	Runs int
	// Blocked says that its end would take away too many tasks of a step.
	Blocked bool
}

// View is the input of a decision.
type View struct {
	Now      time.Time
	Wave     carawayshift.Wave
	Machines []Machine
	// Duration is how long one machine is away.
	Duration time.Duration
}

// margin is how much more time than computed a wave keeps.
const margin = 1.5

// Next returns the machines to order now, and those that should get no new
// work because they are next.
func Next(v View) (order, empty []string) {
	free := v.Wave.Limit - (len(v.Wave.Started) - len(v.Wave.Done))
	waiting := slices.DeleteFunc(slices.Clone(v.Machines), func(m Machine) bool {
		return !m.Up || slices.Contains(v.Wave.Started, m.Name)
	})
	slices.SortStableFunc(waiting, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.Name, b.Name))
	})
	pressing := v.pressing(len(waiting))
	for _, m := range waiting {
		if free <= 0 {
			break
		}
		free--
		if !m.Blocked && (m.Runs == 0 || pressing) {
			order = append(order, m.Name)
			continue
		}
		empty = append(empty, m.Name)
	}
	return order, empty
}

// pressing tells whether the wave is late unless machines go down with work.
func (v View) pressing(waiting int) bool {
	rounds := (waiting + v.Wave.Limit - 1) / v.Wave.Limit
	need := time.Duration(float64(rounds) * margin * float64(v.Duration))
	return v.Now.Add(need).After(v.Wave.Due)
}
