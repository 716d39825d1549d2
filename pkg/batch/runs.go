package batch

import (
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// start opens a run of a task. It does nothing when the batch has ended, the
// task has finished or has an open run, or the run's number is not higher than
// the last one.
func (t *Table) start(at time.Time, s carawayshift.RunStart) {
	if !t.mayOpen(s) {
		return
	}
	b, k := t.batches[s.Task.Batch], t.task(s.Task)
	t.account.Add(b.Team, b.Steps[s.Task.Step], 1)
	k.Run, k.Runner, k.Incarnation, k.Open, k.Ordered = s.Run, s.Runner, s.Incarnation, true, at
	b.State = carawayshift.BatchRunning
}

// mayOpen reports whether a start opens a run, see start.
func (t *Table) mayOpen(s carawayshift.RunStart) bool {
	k := t.task(s.Task)
	return k != nil && !t.batches[s.Task.Batch].State.Ended() && !k.Open && !k.Finished && s.Run > k.Run
}

// IsRunOpen reports whether a run is open. After a change with the run's start
// was applied, the result is true if the start was accepted.
func (t *Table) IsRunOpen(s carawayshift.RunStart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.task(s.Task)
	return k != nil && k.Open && k.Run == s.Run && k.Runner == s.Runner
}

// MayStart reports whether the request that starts an open run on an incarnation of its
// runner may be sent again, without a ticket: its batch has not ended, and no other
// member of its gang has ended.
func (t *Table) MayStart(n carawayshift.TaskName, run int, incarnation int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, k := t.batches[n.Batch], t.task(n)
	if k == nil || !k.Open || k.Run != run || k.Incarnation != incarnation || b.State.Ended() || b.Queue.Advised {
		return false
	}
	if !b.Steps[n.Step].Gang {
		return true
	}
	return !slices.ContainsFunc(t.step(n).Tasks, func(member carawayshift.Task) bool {
		return !member.Open || member.Run != run
	})
}

// end records the end of a run. A repeated end does nothing.
func (t *Table) end(at time.Time, e carawayshift.RunEnd) {
	k := t.task(e.Task)
	if k == nil || !k.Open || k.Run != e.Run {
		return
	}
	b, step := t.batches[e.Task.Batch], t.step(e.Task)
	need := b.Steps[e.Task.Step]
	k.Open = false
	t.settle(at, e, b.Team, need)
	b.Begun = b.Begun || e.Outcome != carawayshift.RunLost
	if e.Checkpoint != "" {
		k.Checkpoint = e.Checkpoint
		if need.Gang {
			keepGangCheckpoint(step, e)
		}
	}
	switch {
	case need.LongRunning:
	case e.Outcome == carawayshift.RunFinished:
		finishTask(at, step, k, need)
	case e.Outcome == carawayshift.RunFailed:
		t.fail(at, b, step, k, need)
	}
	dropTasks(b, e.Task.Occurrence)
	if !b.State.Ended() && t.allFinished(b) {
		t.finish(b, carawayshift.BatchFinished, at)
		return
	}
	t.updateActive(b)
}

// keepGangCheckpoint stores a checkpoint of a gang unless the stored one is newer. A
// stopped member writes its checkpoint at the stop, the other members wrote theirs
// earlier.
func keepGangCheckpoint(step *carawayshift.StepRun, e carawayshift.RunEnd) {
	stopped := e.Outcome == carawayshift.RunStopped
	if e.Run < step.CheckpointRun || e.Run == step.StoppedRun && !stopped {
		return
	}
	step.Checkpoint, step.CheckpointRun = e.Checkpoint, e.Run
	if stopped {
		step.StoppedRun = e.Run
	}
}

// finishTask marks a task as finished, and for a gang all of its members.
func finishTask(at time.Time, step *carawayshift.StepRun, k *carawayshift.Task, need carawayshift.Step) {
	if need.Gang {
		for i := range step.Tasks {
			step.Tasks[i].Finished = true
		}
		step.Finished = len(step.Tasks)
	} else {
		k.Finished = true
		step.Finished++
	}
	if step.Finished == len(step.Tasks) {
		step.Ended = at
	}
}

// fail counts a failed run, and fails the batch at its queue's MaxAttempts. A
// run of a gang counts once for all of its members.
func (t *Table) fail(at time.Time, b *carawayshift.Batch, step *carawayshift.StepRun, k *carawayshift.Task, need carawayshift.Step) {
	if k.Finished {
		return
	}
	failed := 0
	switch {
	case !need.Gang:
		k.Failed++
		failed = k.Failed
	case step.FailedRun < k.Run:
		step.FailedRun = k.Run
		step.Failed++
		failed = step.Failed
	}
	if b.Queue.MaxAttempts > 0 && failed >= b.Queue.MaxAttempts && !b.State.Ended() {
		t.finish(b, carawayshift.BatchFailed, at)
	}
}

// allFinished reports whether every task of every occurrence has finished.
func (t *Table) allFinished(b *carawayshift.Batch) bool {
	if len(b.Occurrences) < max(b.Repeat, 1) {
		return false
	}
	for _, o := range b.Occurrences[t.firstOpen(b):] {
		for _, s := range o.Steps {
			if s.Finished < len(s.Tasks) {
				return false
			}
		}
	}
	return true
}
