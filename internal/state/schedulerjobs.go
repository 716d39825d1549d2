package state

import (
	"fmt"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// Bounds of one observation of actual to declared run time, and its weight in
// a team's ratio. One absurd declaration must not shift the mean for long.
const (
	minRatio    = 0.05
	maxRatio    = 20.0
	ratioWeight = 0.1
)

// quarantineMemory is how long an ended quarantine stays recorded, so that a
// worker that fails again is recognised.
const quarantineMemory = 24 * time.Hour

var schedulerKinds = map[carawayshift.CommandKind]applyFunc{
	carawayshift.PlaceJob:         placeJob,
	carawayshift.WithdrawJob:      withdrawJob,
	carawayshift.StartJob:         startJob,
	carawayshift.StopJob:          stopJob,
	carawayshift.JobStopped:       jobStopped,
	carawayshift.FinishJob:        finishJob,
	carawayshift.FailJob:          failJob,
	carawayshift.ParkJob:          parkJob,
	carawayshift.SaveCheckpoint:   saveCheckpoint,
	carawayshift.QuarantineWorker: quarantineWorker,
	carawayshift.ChangeBatches:    changeBatches,
}

func changeBatches(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if c.Batches == nil {
		return malformed("the command carries no change of batches", "upgrade the older host")
	}
	return m.batches.Apply(c.At, c.Batches)
}

func placeJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.changed(c)
	if err != nil {
		return err
	}
	if c.Change.Attempt != j.Attempt+1 {
		return staleAttempt(j, c.Change.Attempt)
	}
	if err := inState(j, carawayshift.JobWaiting); err != nil {
		return err
	}
	if err := m.zoneIn(c.Change.Zone); err != nil {
		return err
	}
	if err := m.checkPlacements(j, c); err != nil {
		return err
	}
	j.State, j.Attempt = carawayshift.JobPlaced, c.Change.Attempt
	j.Zone, j.Placements = c.Change.Zone, c.Change.Placements
	j.Borrowed, j.Reason = c.Change.Borrowed, clip(c.Change.Reason)
	j.Started = time.Time{}
	m.put(j)
	return nil
}

// withdrawJob returns a placed job to waiting. It is refused once the start was
// accepted: tasks may run from then on.
func withdrawJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.attempt(c, carawayshift.JobPlaced)
	if err != nil {
		return err
	}
	m.put(settle(j, carawayshift.JobWaiting, c.At, clip(c.Change.Reason)))
	return nil
}

// startJob is the point after which tasks may run. It is refused when the
// zone was taken out or the job was cancelled since the placement.
func startJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.attempt(c, carawayshift.JobPlaced)
	if err != nil {
		return err
	}
	if err := m.zoneIn(j.Zone); err != nil {
		return err
	}
	j.State, j.Started = carawayshift.JobRunning, c.At
	if j.Checkpoint != 0 {
		m.bases[j.ID] = int64(j.Checkpoint)
	}
	m.put(j)
	return nil
}

func stopJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.attempt(c, carawayshift.JobPlaced, carawayshift.JobRunning)
	if err != nil {
		return err
	}
	to := c.Change.StateAfterStop
	if to == "" {
		to = carawayshift.JobWaiting
	}
	if !slices.Contains(restStates, to) {
		return malformed("a job can't stop to "+string(to), "use waiting, held, cancelled or parked")
	}
	m.put(stopping(j, to, clip(c.Change.Reason)))
	return nil
}

// jobStopped reports that every task of the attempt has stopped.
func jobStopped(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.attempt(c, carawayshift.JobStopping, carawayshift.JobPlaced, carawayshift.JobRunning)
	if err != nil {
		return err
	}
	j.Checkpoint = max(j.Checkpoint, c.Change.Checkpoint)
	to := j.StateAfterStop
	if to == "" {
		to = carawayshift.JobWaiting
	}
	why := j.Reason
	if why == "" {
		why = clip(c.Change.Reason)
	}
	m.put(settle(j, to, c.At, why))
	return nil
}

// finishJob also accepts a stopping job: its tasks may have ended before the
// stop reached them.
func finishJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.attempt(c, carawayshift.JobRunning, carawayshift.JobStopping)
	if err != nil {
		return err
	}
	m.observe(j, c.At)
	m.put(settle(j, carawayshift.JobFinished, c.At, clip(c.Change.Reason)))
	return nil
}

// observe moves the team's ratio towards the job's actual run time divided by
// the declared one. The actual run time includes what an earlier attempt
// saved in the checkpoint that this attempt started from.
func (m *Machine) observe(j carawayshift.Job, at time.Time) {
	t, ok := m.s.Teams[j.Team]
	if !ok || j.Declared <= 0 || j.Started.IsZero() {
		return
	}
	actual := at.Sub(j.Started) + time.Duration(m.bases[j.ID])
	sample := min(max(float64(actual)/float64(j.Declared), minRatio), maxRatio)
	if t.RunTimeRatio == 0 {
		t.RunTimeRatio = sample
	} else {
		t.RunTimeRatio += (sample - t.RunTimeRatio) * ratioWeight
	}
	m.teams()[t.Name] = t
}

// failJob reports that a task failed and that no task of the attempt runs. A
// failure while the job was stopping is not counted: a task that is stopped for
// a reclaim or a drain may end with an error.
func failJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.attempt(c, carawayshift.JobPlaced, carawayshift.JobRunning, carawayshift.JobStopping)
	if err != nil {
		return err
	}
	j.Checkpoint = max(j.Checkpoint, c.Change.Checkpoint)
	if j.State == carawayshift.JobStopping {
		m.put(settle(j, j.StateAfterStop, c.At, j.Reason))
		return nil
	}
	j.Failures++
	if validTarget(c.Change.Worker) {
		j.FailedOn = append(slices.Clone(j.FailedOn), c.Change.Worker)
	}
	to, why := carawayshift.JobWaiting, clip(c.Change.Reason)
	if j.Failures >= carawayshift.MaxFailures {
		to = carawayshift.JobParked
		why = fmt.Sprintf("failed %d times: %s", j.Failures, why)
	}
	m.put(settle(j, to, c.At, why))
	return nil
}

func parkJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.attempt(c, carawayshift.JobWaiting)
	if err != nil {
		return err
	}
	m.put(settle(j, carawayshift.JobParked, c.At, clip(c.Change.Reason)))
	return nil
}

func saveCheckpoint(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.attempt(c, carawayshift.JobRunning, carawayshift.JobStopping)
	if err != nil {
		return err
	}
	j.Checkpoint = max(j.Checkpoint, c.Change.Checkpoint)
	m.put(j)
	return nil
}

func quarantineWorker(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if !validTarget(c.Name) || !c.Until.After(c.At) {
		return malformed("a quarantine needs a worker and an end after its start", "")
	}
	q := m.quarantine()
	for name, until := range q {
		if until.Add(quarantineMemory).Before(c.At) {
			delete(q, name)
		}
	}
	q[c.Name] = c.Until
	return nil
}

// changed returns the job that a scheduler command addresses.
func (m *Machine) changed(c *carawayshift.Command) (carawayshift.Job, error) {
	if c.Change == nil {
		return carawayshift.Job{}, malformed("the command names no job", "")
	}
	j, ok := m.s.Jobs[c.Change.ID]
	if !ok {
		return j, notFound(fmt.Sprintf("job %d does not exist", c.Change.ID), "")
	}
	return j, nil
}

// attempt returns the addressed job when the command is about its current
// attempt and the job is in one of the states.
func (m *Machine) attempt(c *carawayshift.Command, states ...carawayshift.JobState) (carawayshift.Job, error) {
	j, err := m.changed(c)
	if err != nil {
		return j, err
	}
	if c.Change.Attempt != j.Attempt {
		return j, staleAttempt(j, c.Change.Attempt)
	}
	return j, inState(j, states...)
}

func staleAttempt(j carawayshift.Job, given int) error {
	return refused(fmt.Sprintf("job %d is at attempt %d, the command is about attempt %d", j.ID, j.Attempt, given),
		"drop the command, it is about another attempt")
}

func inState(j carawayshift.Job, states ...carawayshift.JobState) error {
	if slices.Contains(states, j.State) {
		return nil
	}
	return refused(fmt.Sprintf("job %d is %s", j.ID, j.State), "read the state again")
}

func (m *Machine) zoneIn(name string) error {
	z, ok := m.s.Zones[name]
	if !ok {
		return notFound("zone "+name+" does not exist", "type: show zones")
	}
	if z.Drained {
		return refused("zone "+name+" is out of service", "type: return zone "+name)
	}
	return nil
}
