package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// endReport is an end that waits for its commit. After it done is called.
type endReport struct {
	end  carawayshift.RunEnd
	at   time.Time
	done func()
}

// reportEnd queues an end for its commit.
func (t *tenure) reportEnd(e carawayshift.RunEnd, done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queueEnd(e, done)
}

// queueEnd needs t.mu.
func (t *tenure) queueEnd(e carawayshift.RunEnd, done func()) {
	t.ends = append(t.ends, endReport{e, time.Now(), done})
	select {
	case t.ended <- struct{}{}:
	default:
	}
}

// record commits ends, all that wait at a time.
func (t *tenure) record(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.ended:
		}
		t.mu.Lock()
		list := t.ends
		t.ends = nil
		t.mu.Unlock()
		for len(list) > 0 && ctx.Err() == nil && !t.commitEnds(ctx, list) {
		}
		t.d.Wake()
	}
}

func (t *tenure) commitEnds(ctx context.Context, list []endReport) bool {
	c := &carawayshift.BatchChange{}
	for _, r := range list {
		c.Ends = append(c.Ends, r.end)
	}
	open := t.unended(list)
	if t.propose(ctx, c) != nil {
		return false
	}
	for _, id := range open {
		t.noteEnded(id)
	}
	for _, r := range list {
		t.d.cfg.Metrics.GetOrCreateHistogram(`carawayshift_batch_stage_seconds{stage="record"}`).UpdateDuration(r.at)
		t.log.WithFields(logrus.Fields{
			"event": "ended", "batch": r.end.Task.Batch, "task": r.end.Task.String(), "run": r.end.Run, "outcome": r.end.Outcome,
		}).Info("end recorded")
		t.forgetRun(r.end)
		if r.done != nil {
			r.done()
		}
	}
	return true
}

// unended returns the batches of some ends that have not ended yet.
func (t *tenure) unended(list []endReport) (ids []string) {
	for _, r := range list {
		id := r.end.Task.Batch
		if s, _, ok := t.d.cfg.Table.State(id); ok && !s.Ended() && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// noteEnded logs a batch that has ended with the last commit.
func (t *tenure) noteEnded(id string) {
	o, ok := t.d.cfg.Table.Outcome(id)
	if !ok {
		return
	}
	t.d.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`carawayshift_batches_ended_total{queue=%q,state=%q,late="%t"}`, o.Queue, o.State, o.Elapsed > o.Objective)).Inc()
	t.log.WithFields(logrus.Fields{
		"event": "batch ended", "batch": id, "queue": o.Queue, "team": o.Team, "state": o.State,
		"took": o.Elapsed.String(), "objective": o.Objective.String(),
	}).Info("batch has ended")
}

func (t *tenure) forgetRun(e carawayshift.RunEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent[e.Task] == e.Run {
		delete(t.sent, e.Task)
	}
	if t.stopping[e.Task] == e.Run {
		delete(t.stopping, e.Task)
	}
}
