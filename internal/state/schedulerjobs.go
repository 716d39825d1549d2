package state

import (
	"fmt"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// Limits of one observed ratio of actual to declared run time, and its weight in
// the team's ratio. They limit how much, and for how long, one badly wrong
// declaration distorts the moving average.
const (
	minRatio    = 0.05
	maxRatio    = 20.0
	ratioWeight = 0.1
)

// quarantineRetention is how long a quarantine is kept after its end, so that a
// worker that fails again is known to have been in quarantine.
const quarantineRetention = 24 * time.Hour

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
	j, err := m.addressedJob(c)
	if err != nil {
		return err
	}
	if c.Change.Attempt != j.Attempt+1 {
		return staleAttempt(j, c.Change.Attempt)
	}
	if err := checkState(j, carawayshift.JobWaiting); err != nil {
		return err
	}
	if err := m.checkZoneInService(c.Change.Zone); err != nil {
		return err
	}
	if err := m.checkPlacements(j, c); err != nil {
		return err
	}
	j.State, j.Attempt = carawayshift.JobPlaced, c.Change.Attempt
	j.Zone, j.Placements = c.Change.Zone, c.Change.Placements
	j.Borrowed, j.Reason = c.Change.Borrowed, truncateReason(c.Change.Reason)
	j.Started = time.Time{}
	m.putJob(j)
	return nil
}

// withdrawJob returns a placed job to the waiting state. It is refused once the
// start was accepted, because tasks may run from then on.
func withdrawJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.currentAttempt(c, carawayshift.JobPlaced)
	if err != nil {
		return err
	}
	m.putJob(deactivate(j, carawayshift.JobWaiting, c.At, truncateReason(c.Change.Reason)))
	return nil
}

// startJob records the start of the attempt, after which tasks may run. It is refused
// if the zone was drained or the job was cancelled since the placement.
func startJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.currentAttempt(c, carawayshift.JobPlaced)
	if err != nil {
		return err
	}
	if err := m.checkZoneInService(j.Zone); err != nil {
		return err
	}
	j.State, j.Started = carawayshift.JobRunning, c.At
	if j.Checkpoint != 0 {
		m.startCheckpoints[j.ID] = int64(j.Checkpoint)
	}
	m.putJob(j)
	return nil
}

func stopJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.currentAttempt(c, carawayshift.JobPlaced, carawayshift.JobRunning)
	if err != nil {
		return err
	}
	to := c.Change.StateAfterStop
	if to == "" {
		to = carawayshift.JobWaiting
	}
	if !slices.Contains(statesAfterStop, to) {
		return malformed("a job can't stop to "+string(to), "use waiting, held, cancelled or parked")
	}
	m.putJob(stopping(j, to, truncateReason(c.Change.Reason)))
	return nil
}

// jobStopped records that every task of the attempt has stopped.
func jobStopped(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.currentAttempt(c, carawayshift.JobStopping, carawayshift.JobPlaced, carawayshift.JobRunning)
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
		why = truncateReason(c.Change.Reason)
	}
	m.putJob(deactivate(j, to, c.At, why))
	return nil
}

// finishJob also accepts a stopping job, because its tasks may have finished before
// the stop reached them.
func finishJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.currentAttempt(c, carawayshift.JobRunning, carawayshift.JobStopping)
	if err != nil {
		return err
	}
	m.updateRunTimeRatio(j, c.At)
	m.putJob(deactivate(j, carawayshift.JobFinished, c.At, truncateReason(c.Change.Reason)))
	return nil
}

// updateRunTimeRatio adds the ratio of the job's actual to its declared run time to
// the moving average of its team. The actual run time includes the run time that
// is covered by the checkpoint from which the attempt started.
func (m *Machine) updateRunTimeRatio(j carawayshift.Job, at time.Time) {
	t, ok := m.s.Teams[j.Team]
	if !ok || j.Declared <= 0 || j.Started.IsZero() {
		return
	}
	actual := at.Sub(j.Started) + time.Duration(m.startCheckpoints[j.ID])
	sample := min(max(float64(actual)/float64(j.Declared), minRatio), maxRatio)
	if t.RunTimeRatio == 0 {
		t.RunTimeRatio = sample
	} else {
		t.RunTimeRatio += (sample - t.RunTimeRatio) * ratioWeight
	}
	m.teams()[t.Name] = t
}

// failJob records that a task failed and that no task of the attempt is running. A
// failure while the job is stopping is not counted, because a task that is stopped
// for a reclaim or a drain may end with an error.
func failJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.currentAttempt(c, carawayshift.JobPlaced, carawayshift.JobRunning, carawayshift.JobStopping)
	if err != nil {
		return err
	}
	j.Checkpoint = max(j.Checkpoint, c.Change.Checkpoint)
	if j.State == carawayshift.JobStopping {
		m.putJob(deactivate(j, j.StateAfterStop, c.At, j.Reason))
		return nil
	}
	j.Failures++
	if validTarget(c.Change.Worker) {
		j.FailedOn = append(slices.Clone(j.FailedOn), c.Change.Worker)
	}
	to, why := carawayshift.JobWaiting, truncateReason(c.Change.Reason)
	if j.Failures >= carawayshift.MaxFailures {
		to = carawayshift.JobParked
		why = fmt.Sprintf("failed %d times: %s", j.Failures, why)
	}
	m.putJob(deactivate(j, to, c.At, why))
	return nil
}

func parkJob(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.currentAttempt(c, carawayshift.JobWaiting)
	if err != nil {
		return err
	}
	m.putJob(deactivate(j, carawayshift.JobParked, c.At, truncateReason(c.Change.Reason)))
	return nil
}

func saveCheckpoint(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	j, err := m.currentAttempt(c, carawayshift.JobRunning, carawayshift.JobStopping)
	if err != nil {
		return err
	}
	j.Checkpoint = max(j.Checkpoint, c.Change.Checkpoint)
	m.putJob(j)
	return nil
}

func quarantineWorker(m *Machine, c *carawayshift.Command, _ *carawayshift.Answer) error {
	if !validTarget(c.Name) || !c.Until.After(c.At) {
		return malformed("a quarantine needs a worker and an end after its start", "")
	}
	q := m.quarantine()
	for name, until := range q {
		if until.Add(quarantineRetention).Before(c.At) {
			delete(q, name)
		}
	}
	q[c.Name] = c.Until
	return nil
}

// addressedJob returns the job that a scheduler command addresses.
func (m *Machine) addressedJob(c *carawayshift.Command) (carawayshift.Job, error) {
	if c.Change == nil {
		return carawayshift.Job{}, malformed("the command names no job", "")
	}
	j, ok := m.s.Jobs[c.Change.ID]
	if !ok {
		return j, notFound(fmt.Sprintf("job %d does not exist", c.Change.ID), "")
	}
	return j, nil
}

// currentAttempt returns the addressed job. It returns an error if the command is
// not for the job's current attempt or the job is in none of the states.
func (m *Machine) currentAttempt(c *carawayshift.Command, states ...carawayshift.JobState) (carawayshift.Job, error) {
	j, err := m.addressedJob(c)
	if err != nil {
		return j, err
	}
	if c.Change.Attempt != j.Attempt {
		return j, staleAttempt(j, c.Change.Attempt)
	}
	return j, checkState(j, states...)
}

func staleAttempt(j carawayshift.Job, given int) error {
	return refused(fmt.Sprintf("job %d is at attempt %d, the command is about attempt %d", j.ID, j.Attempt, given),
		"drop the command, it is about another attempt")
}

func checkState(j carawayshift.Job, states ...carawayshift.JobState) error {
	if slices.Contains(states, j.State) {
		return nil
	}
	return refused(fmt.Sprintf("job %d is %s", j.ID, j.State), "read the state again")
}

func (m *Machine) checkZoneInService(name string) error {
	z, ok := m.s.Zones[name]
	if !ok {
		return notFound("zone "+name+" does not exist", "type: show zones")
	}
	if z.Drained {
		return refused("zone "+name+" is out of service", "type: return zone "+name)
	}
	return nil
}
