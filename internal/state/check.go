package state

import (
	"fmt"
	"strconv"
	"strings"

	"carawayshift.example/carawayshift"
)

// Limits on the content of a command.
const (
	maxName  = 200
	maxValue = 1000
	// maxNote is the maximum length of a statement: a statement that cancels
	// many jobs is recorded as a note.
	maxNote   = 4096
	maxConfig = 1000
	// maxTasks is the size of the largest gang for which the system is designed.
	maxTasks = 64
	// maxCell limits the cell sizes and counts of a guarantee, so that sums can't
	// overflow. It is far above the accelerators of the largest deployment.
	maxCell = 1 << 20
)

// truncateReason truncates a reason to maxValue bytes. It may contain the output
// of a failed task, and the state holds one for every job.
func truncateReason(text string) string {
	if len(text) <= maxValue {
		return text
	}
	return strings.ToValidUTF8(text[:maxValue], "")
}

const configObjective = "objective"

func malformed(text, remedy string) error {
	return carawayshift.NewError(carawayshift.Malformed, text, remedy)
}

func refused(text, remedy string) error {
	return carawayshift.NewError(carawayshift.Refused, text, remedy)
}

func notFound(text, remedy string) error {
	return carawayshift.NewError(carawayshift.NotFound, text, remedy)
}

// validName accepts letters and digits, and after the first character also . _
// and -, so that every name can be used in a statement without quotes.
func validName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for i, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && (i == 0 || !strings.ContainsRune("._-", r)) {
			return false
		}
	}
	return true
}

// validTarget accepts the name of a worker, runner or host. It checks only the
// length, because workers and runners choose the names that they announce.
func validTarget(s string) bool { return s != "" && len(s) <= maxName }

func validObjective(s string) bool {
	o := carawayshift.Objective(s)
	return o == carawayshift.ObjectiveCompletion || o == carawayshift.ObjectivePacking
}

func checkTeam(t *carawayshift.Team) error {
	if t == nil || !validName(t.Name) || t.RateLimit < 0 {
		return malformed("a team needs a name and a limit of 0 or more", "type: create team carnival guarantee 2x8, 1x32")
	}
	for _, c := range t.Guarantee {
		if c.Size < 1 || c.Size > maxCell || c.Size&(c.Size-1) != 0 || c.Count < 1 || c.Count > maxCell {
			return malformed(fmt.Sprintf("guarantee %dx%d is not a count and a power of two", c.Count, c.Size),
				"write cells as 2x8: two cells of 8 accelerators")
		}
	}
	return nil
}

func checkJob(j *carawayshift.Job) error {
	const remedy = "type: create job mask-render team carnival tasks 4 accelerators 8 run 2h"
	if j == nil || !validName(j.Name) || !validName(j.Team) {
		return malformed("a job needs a name and a team", remedy)
	}
	if j.Tasks < 1 || j.Tasks > maxTasks {
		return malformed(fmt.Sprintf("a job has 1 to %d tasks, not %d", maxTasks, j.Tasks), remedy)
	}
	if j.Accelerators < 1 || j.Accelerators > maxCell || j.Cores < 0 || j.Memory < 0 || j.Declared < 0 {
		return malformed("a task needs 1 accelerator or more, and no negative amounts", remedy)
	}
	return nil
}

// checkPlacements refuses placements that are not exactly one per task, or that
// need more accelerators of a worker than the active jobs leave free. It checks
// the capacity only of the workers in the command.
func (m *Machine) checkPlacements(j carawayshift.Job, c *carawayshift.Command) error {
	ps := c.Change.Placements
	if len(ps) != j.Tasks {
		return refused(fmt.Sprintf("job %d needs %d placements, not %d", j.ID, j.Tasks, len(ps)), "plan again")
	}
	tasks, need := make(map[int]bool), make(map[string]int)
	for _, p := range ps {
		if tasks[p.Task] || p.Worker == "" || p.Accelerators != j.Accelerators {
			return refused(fmt.Sprintf("placement of task %d of job %d is not valid", p.Task, j.ID), "plan again")
		}
		tasks[p.Task] = true
		need[p.Worker] += p.Accelerators
	}
	for _, w := range c.Workers {
		n := need[w.Name]
		if n == 0 {
			continue
		}
		if w.Zone != c.Change.Zone {
			return refused("worker "+w.Name+" is not in zone "+c.Change.Zone, "plan again")
		}
		if used := m.usedAccelerators[w.Name]; used+n > w.Accelerators {
			return refused(fmt.Sprintf("worker %s has %d accelerators, %d are occupied, %d more are needed",
				w.Name, w.Accelerators, used, n), "plan again")
		}
	}
	return nil
}

// checkObject refuses a note on an object that does not exist. It does not check
// whether workers, runners and hosts exist: they announce themselves and may be
// absent temporarily.
func (m *Machine) checkObject(on string) error {
	if on == "" {
		return nil
	}
	kind, name, _ := strings.Cut(on, " ")
	found := false
	switch kind {
	case "job":
		id, err := strconv.ParseUint(name, 10, 64)
		_, ok := m.s.Jobs[id]
		found = err == nil && ok
	case "team":
		_, found = m.s.Teams[name]
	case "zone":
		_, found = m.s.Zones[name]
	case "worker", "runner", "host":
		found = validTarget(name)
	default:
		return malformed("a note is on a job, team, zone, worker, runner or host", `type: note on job 41 "text"`)
	}
	if !found {
		return notFound(on+" does not exist", "type: show "+kind+"s")
	}
	return nil
}
