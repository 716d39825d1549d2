package state

import (
	"maps"
	"time"

	"carawayshift.example/carawayshift"
)

// restStates are the states that a stopping job can enter.
var restStates = []carawayshift.JobState{
	carawayshift.JobWaiting, carawayshift.JobHeld, carawayshift.JobCancelled, carawayshift.JobParked,
}

// put stores a job, keeps the workers' use in step, and drops the oldest
// ended job beyond maxEnded.
func (m *Machine) put(j carawayshift.Job) {
	old := m.s.Jobs[j.ID]
	m.occupy(old, -1)
	m.occupy(j, 1)
	m.jobs()[j.ID] = j
	if !j.Active() {
		delete(m.bases, j.ID)
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

// stopping returns the active job on its way to a state.
func stopping(j carawayshift.Job, to carawayshift.JobState, why string) carawayshift.Job {
	j.State, j.StateAfterStop, j.Reason = carawayshift.JobStopping, to, why
	return j
}

// settle returns the job in a state in which it occupies nothing.
func settle(j carawayshift.Job, to carawayshift.JobState, at time.Time, why string) carawayshift.Job {
	j.State, j.StateAfterStop, j.Reason = to, "", why
	j.Placements, j.Borrowed = nil, false
	if to.Ended() {
		j.Ended = at
		return j
	}
	j.Zone, j.Started = "", time.Time{}
	return j
}

// waitAgain returns a held or parked job as waiting with its failures
// forgotten, so that it gets MaxFailures tries again.
func waitAgain(j carawayshift.Job) carawayshift.Job {
	j = settle(j, carawayshift.JobWaiting, time.Time{}, "")
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
