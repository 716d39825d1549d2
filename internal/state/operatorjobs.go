package state

import (
	"fmt"
	"time"

	"carawayshift.example/carawayshift"
)

func createJob(m *Machine, c *carawayshift.Command, a *carawayshift.Answer) error {
	if err := checkJob(c.Job); err != nil {
		return err
	}
	if _, ok := m.s.Teams[c.Job.Team]; !ok {
		return notFound("team "+c.Job.Team+" does not exist", "type: create team "+c.Job.Team+" guarantee 1x8")
	}
	m.lastJob++
	a.Job = m.lastJob
	m.putJob(carawayshift.Job{
		ID: m.lastJob, Name: c.Job.Name, Team: c.Job.Team, Tasks: c.Job.Tasks,
		Accelerators: c.Job.Accelerators, Cores: c.Job.Cores, Memory: c.Job.Memory,
		Urgent: c.Job.Urgent, Due: c.Job.Due, Declared: c.Job.Declared,
		State: carawayshift.JobWaiting, Submitted: c.At, By: c.By,
	})
	return nil
}

// setJob sets the fields that are not zero in Command.Job or are listed in
// Command.Name. A parked job becomes waiting.
func setJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if c.Job == nil {
		return malformed("the command carries no job", "type: set job 41 due 06:00")
	}
	old, err := m.openJob(c.Job.ID)
	if err != nil {
		return err
	}
	j := mergeJob(old, c)
	if err := checkJob(&j); err != nil {
		return err
	}
	if old.Active() && resources(old) != resources(j) {
		return refused(fmt.Sprintf("job %d is %s; its size can't change", j.ID, j.State),
			fmt.Sprintf("type: hold job %d", j.ID))
	}
	if j.State == carawayshift.JobParked {
		j = requeue(j)
	}
	m.putJob(j)
	return nil
}

func mergeJob(j carawayshift.Job, c *carawayshift.Command) carawayshift.Job {
	n := c.Job
	if n.Name != "" {
		j.Name = n.Name
	}
	if n.Tasks != 0 {
		j.Tasks = n.Tasks
	}
	if n.Accelerators != 0 {
		j.Accelerators = n.Accelerators
	}
	if n.Cores != 0 || listed(c.Name, "cores") {
		j.Cores = n.Cores
	}
	if n.Memory != 0 || listed(c.Name, "memory") {
		j.Memory = n.Memory
	}
	if n.Urgent || listed(c.Name, "urgent") {
		j.Urgent = n.Urgent
	}
	if !n.Due.IsZero() || listed(c.Name, "due") {
		j.Due = n.Due
	}
	if n.Declared != 0 {
		j.Declared = n.Declared
	}
	return j
}

// resources returns what a job occupies on its workers.
func resources(j carawayshift.Job) [4]int {
	return [4]int{j.Tasks, j.Accelerators, j.Cores, j.Memory}
}

func cancelJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.operatorJob(c)
	if err != nil {
		return err
	}
	if j.StateAfterStop == carawayshift.JobCancelled {
		return refused(fmt.Sprintf("job %d is already being cancelled", j.ID), fmt.Sprintf("type: why job %d", j.ID))
	}
	m.moveTo(j, carawayshift.JobCancelled, c.At, reason(c, "cancelled"))
	return nil
}

func holdJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.operatorJob(c)
	if err != nil {
		return err
	}
	if j.State == carawayshift.JobHeld || j.StateAfterStop == carawayshift.JobHeld {
		return refused(fmt.Sprintf("job %d is already held", j.ID), fmt.Sprintf("type: release job %d", j.ID))
	}
	if j.StateAfterStop == carawayshift.JobCancelled {
		return refused(fmt.Sprintf("job %d is being cancelled", j.ID), fmt.Sprintf("type: why job %d", j.ID))
	}
	m.moveTo(j, carawayshift.JobHeld, c.At, reason(c, "held"))
	return nil
}

// moveTo moves a job to one of statesAfterStop: through stopping if it is active,
// and directly otherwise.
func (m *Machine) moveTo(j carawayshift.Job, to carawayshift.JobState, at time.Time, why string) {
	if j.Active() {
		m.putJob(stopping(j, to, why))
		return
	}
	m.putJob(deactivate(j, to, at, why))
}

func releaseJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.operatorJob(c)
	if err != nil {
		return err
	}
	switch {
	case j.State == carawayshift.JobHeld || j.State == carawayshift.JobParked:
		m.putJob(requeue(j))
	case j.StateAfterStop == carawayshift.JobHeld || j.StateAfterStop == carawayshift.JobParked:
		m.putJob(stopping(j, carawayshift.JobWaiting, reason(c, "released")))
	default:
		return refused(fmt.Sprintf("job %d is %s, neither held nor parked", j.ID, j.State),
			fmt.Sprintf("type: why job %d", j.ID))
	}
	return nil
}

// operatorJob returns the job of an operator's command, which must not contain an
// attempt.
func (m *Machine) operatorJob(c *carawayshift.Command) (carawayshift.Job, error) {
	if c.Change == nil || c.Change.Attempt != 0 {
		return carawayshift.Job{}, malformed("the command must name a job and no attempt", "type: cancel job 41")
	}
	return m.openJob(c.Change.ID)
}

func (m *Machine) openJob(id uint64) (carawayshift.Job, error) {
	j, ok := m.s.Jobs[id]
	if !ok {
		return j, notFound(fmt.Sprintf("job %d does not exist", id), "type: show jobs")
	}
	if j.State.Ended() {
		return j, refused(fmt.Sprintf("job %d is already %s", id, j.State), fmt.Sprintf("type: why job %d", id))
	}
	return j, nil
}

// reason returns the text for Job.Reason: the action, its operator and the reason
// that the operator gave.
func reason(c *carawayshift.Command, what string) string {
	text := what
	if c.By != "" {
		text += " by " + c.By
	}
	if c.Reason != "" {
		text += ": " + c.Reason
	}
	return text
}
