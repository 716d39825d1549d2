package gang

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

// supervise renews the leases of a running gang until the attempt finishes,
// fails, loses a member or has to stop, and then ends the attempt.
func (at *attempt) supervise(ctx context.Context) {
	next := at.renewedAt.Add(renewInterval)
	for ctx.Err() == nil {
		job, ok := at.m.opts.State().Jobs[at.job.ID]
		switch {
		case !ok || job.Attempt != at.job.Attempt || !job.Active():
			at.stopTasks(ctx)
			return
		case job.State == carawayshift.JobStopping:
			at.checkpointAndStop(ctx, job)
			return
		}
		if at.endReported(ctx) {
			return
		}
		if !time.Now().Before(next) {
			err := at.renew(ctx)
			if at.memberLost(err) {
				at.abort(ctx, "member lost: "+err.Error())
				return
			}
			if carawayshift.KindOf(err) == carawayshift.Unavailable {
				at.log.Info("no longer managing the attempt: another host may hold the zone lease")
				return
			}
			next = at.nextRenewal(err)
		}
		pause.For(ctx, scanInterval)
	}
}

func (at *attempt) nextRenewal(err error) time.Time {
	if err != nil {
		return time.Now().Add(retryInterval)
	}
	return time.Now().Add(renewInterval)
}

// memberLost reports whether a failed renewal ends the gang: immediately if a
// worker reports that it does not run the task, and after memberLostTimeout if a
// worker does not answer or could not extend the lease to the requested time.
func (at *attempt) memberLost(err error) bool {
	switch carawayshift.KindOf(err) {
	case "", carawayshift.Unavailable:
		return false
	case carawayshift.OutcomeUnknown, carawayshift.Conflict:
		return time.Since(at.renewedAt) > renewInterval+memberLostTimeout
	default:
		return true
	}
}

// endReported handles finished and failed tasks, and reports whether the attempt
// has ended.
func (at *attempt) endReported(ctx context.Context) bool {
	finished := 0
	covered := time.Duration(-1)
	for i, p := range at.job.Placements {
		r, ok := at.taskReport(p, at.specs[i].Task)
		if !ok {
			return false
		}
		switch r.State {
		case carawayshift.TaskFailed:
			at.fail(ctx, p.Worker, r.Error)
			return true
		case carawayshift.TaskFinished:
			finished++
		}
		if covered < 0 || r.Checkpoint < covered {
			covered = r.Checkpoint
		}
	}
	if finished == len(at.specs) {
		return at.finish(ctx)
	}
	at.saveCheckpoint(ctx, covered)
	return false
}

func (at *attempt) taskReport(p carawayshift.TaskPlacement, task int) (carawayshift.TaskReport, bool) {
	w, err := at.worker(p)
	if err != nil {
		return carawayshift.TaskReport{}, false
	}
	for _, r := range w.Tasks {
		if r.Job == at.job.ID && r.Attempt == at.job.Attempt && r.Task == task {
			return r, true
		}
	}
	return carawayshift.TaskReport{}, false
}

func (at *attempt) finish(ctx context.Context) bool {
	answer, err := at.propose(ctx, carawayshift.FinishJob, carawayshift.JobChange{})
	if err == nil {
		err = answer.Err()
	}
	if err != nil {
		at.log.WithError(err).Warn("finish of the job is not recorded yet; trying again")
		pause.For(ctx, retryInterval)
		return false
	}
	at.log.Info("gang finished")
	at.stopTasks(ctx)
	return true
}

func (at *attempt) fail(ctx context.Context, worker, text string) {
	at.stopTasks(ctx)
	at.log.WithField("worker", worker).WithField("reason", text).Warn("gang failed")
	at.recordEnd(ctx, carawayshift.FailJob, carawayshift.JobChange{Worker: worker, Reason: text})
}

// saveCheckpoint records the run time that the checkpoints of all members
// cover, whenever it has grown by checkpointInterval. The planner uses it to
// estimate how much work a reclaim would lose.
func (at *attempt) saveCheckpoint(ctx context.Context, covered time.Duration) {
	if covered < at.job.Checkpoint+checkpointInterval {
		return
	}
	answer, err := at.propose(ctx, carawayshift.SaveCheckpoint, carawayshift.JobChange{Checkpoint: covered})
	if err == nil && answer.Err() == nil {
		at.job.Checkpoint = covered
	}
}

// checkpointAndStop stops a gang whose job is stopping in the replicated state.
func (at *attempt) checkpointAndStop(ctx context.Context, job carawayshift.Job) {
	covered := at.checkpoint(ctx)
	at.stopTasks(ctx)
	at.log.WithField("reason", job.Reason).WithField("checkpoint", covered).Info("gang stopped")
	at.recordEnd(ctx, carawayshift.JobStopped, carawayshift.JobChange{Checkpoint: covered, Reason: job.Reason})
}

// abort stops all members and reports the attempt as stopped, after which the job
// usually waits for its next placement.
func (at *attempt) abort(ctx context.Context, reason string) {
	at.log.WithField("reason", reason).Warn("attempt aborted; stopping its tasks")
	at.stopTasks(ctx)
	at.recordEnd(ctx, carawayshift.JobStopped, carawayshift.JobChange{Reason: reason})
}

// checkpoint makes all members save a checkpoint and returns the run time that
// all of these cover, or the last recorded one if a member could not save.
func (at *attempt) checkpoint(ctx context.Context) time.Duration {
	covered := make([]time.Duration, len(at.specs))
	err := at.forEachTask(ctx, checkpointTimeout, func(ctx context.Context, i int) error {
		w, err := at.worker(at.job.Placements[i])
		if err != nil {
			return err
		}
		covered[i], err = at.m.opts.Workers.Checkpoint(ctx, w, at.specs[i])
		return err
	})
	if err != nil {
		at.log.WithError(err).Warn("checkpoint failed on a task; the job keeps its last recorded checkpoint")
		return at.job.Checkpoint
	}
	least := covered[0]
	for _, c := range covered {
		least = min(least, c)
	}
	return least
}

// stopTasks sends stop calls for each task until its worker confirms or all
// leases of the attempt have expired, so that no task runs afterwards.
func (at *attempt) stopTasks(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range at.specs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			at.stopTaskOrExpire(ctx, i)
		}()
	}
	wg.Wait()
}

func (at *attempt) stopTaskOrExpire(ctx context.Context, i int) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		err := at.stopTask(c, i)
		cancel()
		if err == nil || at.leasesExpired(ctx) {
			return
		}
		pause.For(ctx, retryInterval)
	}
}

// recordEnd proposes the end of the attempt until the log answers or ctx ends. It
// does not give up earlier, because no other host knows that the tasks have
// stopped.
func (at *attempt) recordEnd(ctx context.Context, kind carawayshift.CommandKind, ch carawayshift.JobChange) {
	for ctx.Err() == nil {
		answer, err := at.propose(ctx, kind, ch)
		if err == nil {
			if refusal := answer.Err(); refusal != nil {
				at.log.WithError(refusal).Info("end of the attempt was already recorded")
			}
			return
		}
		at.log.WithError(err).Warn("end of the attempt is not recorded yet; trying again")
		pause.For(ctx, retryInterval)
	}
}
