// Package maintenance selects the machines of a wave that are taken down next.
//
// # Usage
//
//	request, drain := maintenance.Next(maintenance.Input{Now: now, Wave: wave, Machines: machines, Duration: 3*time.Second})
//
// Idle machines come first. Machines with open runs are drained. They are taken
// down with their runs only when the wave would otherwise miss its due time, and
// only if no step then has more long-running tasks unavailable at once than its
// MaxUnavailable: the tasks on all machines that are taken down together count.
package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// Machine is one machine of a wave.
type Machine struct {
	Name string
	// Up is true when the machine accepts a maintenance request.
	Up bool
	// Unconfirmed is true when a request for the machine was sent, and it is not known
	// whether it was carried out.
	Unconfirmed bool
	// Runs is the number of open runs on the machine.
	Runs int
	// Tasks holds the tasks on the machine of the steps in Input.MaxUnavailable, by step.
	Tasks map[carawayshift.TaskName]Tasks
}

// Tasks counts the tasks of one step on a machine. Tasks that are known to be
// unavailable are not counted.
type Tasks struct {
	// Available tasks are at work.
	Available int
	// Uncertain tasks may be at work; Input.Unavailable includes them.
	Uncertain int
}

// Input is the input of Next.
type Input struct {
	Now      time.Time
	Wave     carawayshift.Wave
	Machines []Machine
	// Duration is how long the maintenance of one machine takes.
	Duration time.Duration
	// Unavailable is the number of tasks of each step that are or may be unavailable,
	// MaxUnavailable how many of them may be at the same time.
	Unavailable, MaxUnavailable map[carawayshift.TaskName]int
}

// margin is the factor by which the computed remaining time of a wave is
// extended.
const margin = 1.5

// Next returns the machines whose maintenance must be requested now, and those
// that must get no new work because they come next. Requests that are not confirmed are
// repeated, unless the machine's tasks must not end now.
func Next(v Input) (request, drain []string) {
	v.Unavailable = maps.Clone(v.Unavailable)
	for _, m := range v.Machines {
		switch {
		case !m.Unconfirmed:
		case v.takeDown(m):
			request = append(request, m.Name)
		default:
			drain = append(drain, m.Name)
		}
	}
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
		if (m.Runs == 0 || interrupt) && v.takeDown(m) {
			request = append(request, m.Name)
			continue
		}
		drain = append(drain, m.Name)
	}
	return request, drain
}

// takeDown reports whether the machine may be taken down without making too many tasks
// of a step unavailable. If so, its tasks count as unavailable from here on.
func (v Input) takeDown(m Machine) bool {
	for step, n := range m.Tasks {
		if n.Available+n.Uncertain > 0 && v.Unavailable[step]+n.Available > v.MaxUnavailable[step] {
			return false
		}
	}
	for step, n := range m.Tasks {
		v.Unavailable[step] += n.Available
	}
	return true
}

// mustInterrupt reports whether the wave misses its due time unless machines are
// taken down while they have open runs.
func (v Input) mustInterrupt(waiting int) bool {
	rounds := (waiting + v.Wave.Limit - 1) / v.Wave.Limit
	need := time.Duration(float64(rounds) * margin * float64(v.Duration))
	return v.Now.Add(need).After(v.Wave.Due)
}
