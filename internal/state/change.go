package state

import (
	"maps"
	"time"

	"carawayshift.example/carawayshift"
)

// statesAfterStop holds the possible values of Job.StateAfterStop.
var statesAfterStop = []carawayshift.JobState{
	carawayshift.JobWaiting, carawayshift.JobHeld, carawayshift.JobCancelled, carawayshift.JobParked,
}

// putJob stores a job and updates the usage of its workers. If more than maxEnded
// jobs have ended, it removes the oldest of them.
func (m *Machine) putJob(j carawayshift.Job) {
	old := m.s.Jobs[j.ID]
	m.addUsage(old, -1)
	m.addUsage(j, 1)
	m.jobs()[j.ID] = j
	if !j.Active() {
		delete(m.startCheckpoints, j.ID)
	}
	if !j.State.Ended() {
		return
	}
	m.ended = append(m.ended, j.ID)
	if len(m.ended) > maxEnded {
		delete(m.s.Jobs, m.ended[0])
		m.ended = m.ended[1:]
	}
}

// stopping returns the active job in the state stopping, after which it enters the
// state to.
func stopping(j carawayshift.Job, to carawayshift.JobState, why string) carawayshift.Job {
	j.State, j.StateAfterStop, j.Reason = carawayshift.JobStopping, to, why
	return j
}

// deactivate returns the job in the state to, in which it occupies no
// accelerators.
func deactivate(j carawayshift.Job, to carawayshift.JobState, at time.Time, why string) carawayshift.Job {
	j.State, j.StateAfterStop, j.Reason = to, "", why
	j.Placements, j.Borrowed = nil, false
	if to.Ended() {
		j.Ended = at
		return j
	}
	j.Zone, j.Started = "", time.Time{}
	return j
}

// requeue returns a held or parked job as waiting and without failures, so that
// it gets MaxFailures attempts again.
func requeue(j carawayshift.Job) carawayshift.Job {
	j = deactivate(j, carawayshift.JobWaiting, time.Time{}, "")
	j.Failures, j.FailedOn = 0, nil
	return j
}

func (m *Machine) quarantine() map[string]time.Time {
	if m.shared.quarantine {
		m.s.Quarantine, m.shared.quarantine = maps.Clone(m.s.Quarantine), false
	}
	return m.s.Quarantine
}

func (m *Machine) config() map[string]string {
	if m.shared.config {
		m.s.Config, m.shared.config = maps.Clone(m.s.Config), false
	}
	return m.s.Config
}
