package gang

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

// supervise renews the leases of a running gang and ends the attempt when it
// has finished, failed, lost a member, or was told to stop.
func (at *attempt) supervise(ctx context.Context) {
	next := at.renewed.Add(renewInterval)
	for ctx.Err() == nil {
		job, ok := at.a.opts.State().Jobs[at.job.ID]
		switch {
		case !ok || job.Attempt != at.job.Attempt || !job.Active():
			at.settle(ctx)
			return
		case job.State == carawayshift.JobStopping:
			at.halt(ctx, job)
			return
		}
		if at.endReported(ctx) {
			return
		}
		if !time.Now().Before(next) {
			err := at.renew(ctx)
			if at.lost(err) {
				at.giveUp(ctx, "member lost: "+err.Error())
				return
			}
			if carawayshift.KindOf(err) == carawayshift.Unavailable {
				at.log.Info("attempt is left to the holder of the zone lease")
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

// lost reports whether a failed renewal ends the gang: at once when a worker
// says that the task is gone, after lostAfter when it does not answer or when
// the lease could not be extended in full.
func (at *attempt) lost(err error) bool {
	switch carawayshift.KindOf(err) {
	case "", carawayshift.Unavailable:
		return false
	case carawayshift.OutcomeUnknown, carawayshift.Conflict:
		return time.Since(at.renewed) > renewInterval+lostAfter
	default:
		return true
	}
}

// endReported handles finished and failed tasks.
func (at *attempt) endReported(ctx context.Context) bool {
	finished := 0
	covered := time.Duration(-1)
	for i, p := range at.job.Placements {
		r, ok := at.report(p, at.specs[i].Task)
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

func (at *attempt) report(p carawayshift.TaskPlacement, task int) (carawayshift.TaskReport, bool) {
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
		at.log.WithError(err).Warn("finish not recorded yet")
		pause.For(ctx, retryInterval)
		return false
	}
	at.log.Info("gang finished")
	at.settle(ctx)
	return true
}

func (at *attempt) fail(ctx context.Context, worker, text string) {
	at.settle(ctx)
	at.log.WithField("worker", worker).WithField("reason", text).Warn("gang failed")
	at.record(ctx, carawayshift.FailJob, carawayshift.JobChange{Worker: worker, Reason: text})
}

// saveCheckpoint records the gang's common checkpoint from time to time, so
// that the planner knows how much work a reclaim would lose.
func (at *attempt) saveCheckpoint(ctx context.Context, covered time.Duration) {
	if covered < at.job.Checkpoint+checkpointInterval {
		return
	}
	answer, err := at.propose(ctx, carawayshift.SaveCheckpoint, carawayshift.JobChange{Checkpoint: covered})
	if err == nil && answer.Err() == nil {
		at.job.Checkpoint = covered
	}
}

// halt checkpoints and stops the gang on behalf of the log.
func (at *attempt) halt(ctx context.Context, job carawayshift.Job) {
	covered := at.checkpoint(ctx)
	at.settle(ctx)
	at.log.WithField("reason", job.Reason).WithField("checkpoint", covered).Info("gang stopped")
	at.record(ctx, carawayshift.JobStopped, carawayshift.JobChange{Checkpoint: covered, Reason: job.Reason})
}

// giveUp stops all members and returns the job to the queue.
func (at *attempt) giveUp(ctx context.Context, reason string) {
	at.log.WithField("reason", reason).Warn("attempt ends")
	at.settle(ctx)
	at.record(ctx, carawayshift.JobStopped, carawayshift.JobChange{Reason: reason})
}

// checkpoint returns the run time that every member has saved; the last
// recorded one when a member could not save.
func (at *attempt) checkpoint(ctx context.Context) time.Duration {
	covered := make([]time.Duration, len(at.specs))
	err := at.each(ctx, checkpointTimeout, func(ctx context.Context, i int) error {
		w, err := at.worker(at.job.Placements[i])
		if err != nil {
			return err
		}
		covered[i], err = at.a.opts.Workers.Checkpoint(ctx, w, at.specs[i])
		return err
	})
	if err != nil {
		at.log.WithError(err).Warn("checkpoint incomplete, the last one counts")
		return at.job.Checkpoint
	}
	least := covered[0]
	for _, c := range covered {
		least = min(least, c)
	}
	return least
}

// settle stops each task until its worker confirms or until all leases have
// expired, so that no task runs afterwards.
func (at *attempt) settle(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range at.specs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			at.settleTask(ctx, i)
		}()
	}
	wg.Wait()
}

func (at *attempt) settleTask(ctx context.Context, i int) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		err := at.stopTask(c, i)
		cancel()
		if err == nil || at.expired(ctx) {
			return
		}
		pause.For(ctx, retryInterval)
	}
}

// record proposes the end of the attempt until the log has an answer. It goes
// on while this host may manage the attempt: nobody else knows that the tasks
// have stopped.
func (at *attempt) record(ctx context.Context, kind carawayshift.CommandKind, ch carawayshift.JobChange) {
	for ctx.Err() == nil {
		answer, err := at.propose(ctx, kind, ch)
		if err == nil {
			if refusal := answer.Err(); refusal != nil {
				at.log.WithError(refusal).Info("end of the attempt was already recorded")
			}
			return
		}
		at.log.WithError(err).Warn("end of the attempt not recorded yet")
		pause.For(ctx, retryInterval)
	}
}
