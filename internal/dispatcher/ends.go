package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

// pendingEnd is the end of a run that is not committed yet. done, if not nil,
// is called after the commit.
type pendingEnd struct {
	end  carawayshift.RunEnd
	at   time.Time
	done func()
	// loss is why the run is recorded as lost, "" for an end that its runner has listed.
	loss loss
}

// loss is a reason to record a run as lost.
type loss string

const (
	lossExpired    loss = "lease expired"     // the runner does not answer
	lossUnlisted   loss = "not listed"        // the runner has answered, and does not have the run
	lossRefused    loss = "start refused"     // no earlier request may still be executed
	lossOverCap    loss = "above the cap"     // its start was never sent
	lossClosed     loss = "session closed"    // the line "runner gone" has the reason
	lossUnreported loss = "no report"         // its runner has not reported in this term
	lossReplaced   loss = "runner has exited" // between the plan and the commit of the start
)

// enqueueEnd queues the end of a run, which its runner has listed, for the next commit.
// The caller holds t.mu.
func (t *leaderTerm) enqueueEnd(e carawayshift.RunEnd, done func()) {
	t.enqueue(pendingEnd{end: e, at: time.Now(), done: done})
}

// enqueueLoss queues the loss of a run for the next commit. The caller holds t.mu.
func (t *leaderTerm) enqueueLoss(e carawayshift.RunEnd, reason loss) {
	e.Outcome = carawayshift.RunLost
	t.d.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`carawayshift_runs_lost_total{reason=%q}`, reason)).Inc()
	t.enqueue(pendingEnd{end: e, at: time.Now(), loss: reason})
}

func (t *leaderTerm) enqueue(e pendingEnd) {
	t.ends = append(t.ends, e)
	select {
	case t.endsPending <- struct{}{}:
	default:
	}
}

// commitLoop commits the ends of runs; each commit contains all ends that are
// queued at the time.
func (t *leaderTerm) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.endsPending:
		}
		t.mu.Lock()
		list := t.ends
		t.ends = nil
		t.mu.Unlock()
		for len(list) > 0 && ctx.Err() == nil {
			n := endsPerChange(list)
			if !t.commitEnds(ctx, list[:n]) {
				pause.For(ctx, commitRetry)
				continue
			}
			list = list[n:]
		}
		t.d.wakeIfWaiting()
	}
}

const (
	// commitRetry is the pause after ends that were not committed.
	commitRetry = 10 * time.Millisecond
	// maxChangeItems limits the ends or starts of one change: the ends of thousands of
	// runners arrive at once after a long cut, and a change that is too large would
	// never be committed.
	maxChangeItems = 1024
	// maxChangeBytes limits the checkpoints of one change.
	maxChangeBytes = 1 << 20
)

// endsPerChange returns how many of the ends go into the next change, at least one.
func endsPerChange(list []pendingEnd) int {
	size := 0
	for i, e := range list {
		size += len(e.end.Checkpoint)
		if i == maxChangeItems || i > 0 && size > maxChangeBytes {
			return i
		}
	}
	return len(list)
}

// startsPerChange returns how many of the starts go into the next change. The members
// of a gang go into the same one.
func startsPerChange(list []carawayshift.DispatchStart) int {
	for i := maxChangeItems; i < len(list); i++ {
		if stepOf(list[i].Task) != stepOf(list[i-1].Task) {
			return i
		}
	}
	return len(list)
}

func (t *leaderTerm) commitEnds(ctx context.Context, list []pendingEnd) bool {
	c := &carawayshift.BatchChange{}
	for _, r := range list {
		c.Ends = append(c.Ends, r.end)
	}
	open := t.activeBatches(list)
	if t.propose(ctx, c) != nil {
		return false
	}
	for _, id := range open {
		if t.reportBatchEnd(id) {
			t.d.Wake() // runs of a batch that has failed are stopped
		}
	}
	for _, r := range list {
		t.d.cfg.Metrics.GetOrCreateHistogram(`carawayshift_batch_stage_seconds{stage="record"}`).UpdateDuration(r.at)
		entry := t.log.WithFields(logrus.Fields{
			"event": "ended", "batch": r.end.Task.Batch, "task": r.end.Task.String(), "run": r.end.Run, "outcome": r.end.Outcome,
		})
		if r.loss != "" {
			entry = entry.WithField("reason", r.loss)
		}
		entry.Info("end of run committed")
		t.forgetRun(r.end)
		if r.done != nil {
			r.done()
		}
	}
	return true
}

// activeBatches returns the batches of the given ends that have not ended yet.
func (t *leaderTerm) activeBatches(list []pendingEnd) (ids []string) {
	for _, r := range list {
		id := r.end.Task.Batch
		if s, _, ok := t.d.cfg.Table.State(id); ok && !s.Ended() && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// reportBatchEnd logs and counts a batch if the last commit ended it, and reports
// whether it did.
func (t *leaderTerm) reportBatchEnd(id string) bool {
	o, ok := t.d.cfg.Table.Outcome(id)
	if !ok {
		return false
	}
	t.d.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`carawayshift_batches_ended_total{queue=%q,state=%q,late="%t"}`, o.Queue, o.State, o.Elapsed > o.Objective)).Inc()
	t.log.WithFields(logrus.Fields{
		"event": "batch ended", "batch": id, "queue": o.Queue, "team": o.Team, "state": o.State,
		"took": o.Elapsed.String(), "objective": o.Objective.String(),
	}).Info("batch ended")
	return true
}

func (t *leaderTerm) forgetRun(e carawayshift.RunEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requested[e.Task] == e.Run {
		delete(t.requested, e.Task)
	}
	if t.stopping[e.Task] == e.Run {
		delete(t.stopping, e.Task)
	}
}
