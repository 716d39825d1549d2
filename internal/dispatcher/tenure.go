package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// tenure is one term of leadership.
type tenure struct {
	d     *Dispatcher
	term  uint64
	began time.Time
	log   logrus.FieldLogger
	// resign ends the tenure.
	resign context.CancelFunc
	ctx    context.Context

	mu       sync.Mutex
	sessions map[string]*session // by runner id
	// stopping holds the runs that were told to stop.
	stopping map[carawayshift.TaskName]int
	// sent holds the runs whose order this tenure has sent or taken over.
	sent map[carawayshift.TaskName]int
	ends []endReport
	// advice is what is known of advised steps.
	advice map[carawayshift.TaskName]*advice
	// waits holds the rule that last held each waiting batch back.
	waits map[string]string
	// emptying holds machines that are next in a wave, upkept those whose
	// upkeep was confirmed.
	emptying map[string]bool
	upkept   map[waveMachine]bool
	wg       sync.WaitGroup
	// ended is signalled when ends wait for their commit.
	ended chan struct{}
}

func newTenure(d *Dispatcher, term uint64, resign context.CancelFunc) *tenure {
	return &tenure{
		d: d, term: term, began: time.Now(), resign: resign,
		log:      d.cfg.Logger.WithFields(logrus.Fields{"part": "dispatcher", "term": term}),
		sessions: map[string]*session{}, stopping: map[carawayshift.TaskName]int{},
		advice: map[carawayshift.TaskName]*advice{}, upkept: map[waveMachine]bool{},
		sent: map[carawayshift.TaskName]int{}, ended: make(chan struct{}, 1),
	}
}

// spawn runs fn in a goroutine that wait waits for.
func (t *tenure) spawn(fn func()) { t.wg.Go(fn) }

func (t *tenure) wait() { t.wg.Wait() }

// run plans until the tenure ends.
func (t *tenure) run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	t.spawn(func() { t.record(ctx) })
	t.spawn(func() { t.tend(ctx) })
	if t.d.cfg.Recall != nil {
		t.spawn(func() { t.recall(ctx) })
	}
	for ctx.Err() == nil {
		next := t.step(ctx)
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-t.d.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step makes one plan and carries it out. It returns the time until the next
// one without an event.
func (t *tenure) step(ctx context.Context) time.Duration {
	now := time.Now()
	due, next := t.d.cfg.Table.DueOccurrences(now)
	if len(due) > 0 {
		if err := t.propose(ctx, &carawayshift.BatchChange{Due: due}); err != nil {
			return planEvery
		}
	}
	load := t.load(now)
	t.d.gauges.follow(load, t.known())
	t.dropLapsed(load)
	plan := t.d.cfg.Planner.Dispatch(load)
	t.noteWaits(plan.Waits)
	t.preempt(plan.Stops)
	t.start(ctx, plan.Starts)
	if !next.IsZero() {
		return max(0, min(planEvery, time.Until(next)))
	}
	return planEvery
}

// known counts the runners that have reported in this term.
func (t *tenure) known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}

// noteWaits logs each batch that begins to wait, or waits for another reason.
func (t *tenure) noteWaits(list []carawayshift.DispatchWait) {
	now := make(map[string]string, len(list))
	for _, w := range list {
		now[w.Batch] = w.Rule
		if t.waits[w.Batch] != w.Rule {
			t.log.WithFields(logrus.Fields{"event": "waiting", "batch": w.Batch, "rule": w.Rule}).Info("batch waits")
		}
	}
	t.waits = now
}

// propose commits a change.
func (t *tenure) propose(ctx context.Context, c *carawayshift.BatchChange) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	now := time.Now()
	c.ForgetBefore = now.Add(-t.d.cfg.Timing.Keep)
	a, err := t.d.cfg.Log.Propose(ctx, carawayshift.Command{Kind: carawayshift.ChangeBatches, At: now.UTC(), Batches: c})
	if err == nil {
		err = a.Err()
	}
	if err != nil {
		t.log.WithError(err).Warn("change of batches not committed")
	}
	return err
}

// load is the planner's view: runners with fresh reports, and the open runs.
func (t *tenure) load(now time.Time) carawayshift.DispatchInput {
	demands, holdings := t.d.cfg.Table.OpenWork()
	for i := range demands {
		demands[i].Excluded = t.d.probation.FailedOn(demands[i].Batch)
		demands[i].Expected = t.d.took.Estimate(demands[i].Queue.Name, demands[i].Requirements.Declared)
	}
	l := carawayshift.DispatchInput{Now: now, Demands: demands, Guarantees: map[string]int{}, ClosedZones: t.d.cfg.Closed()}
	for _, m := range t.d.cfg.Table.Catalog().Teams {
		l.Guarantees[m.Team] = m.Guarantee
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropSilent(now)
	for _, s := range t.sessions {
		if a, ok := s.usable(now); ok {
			l.Agents = append(l.Agents, a)
		}
	}
	l.DrainingMachines = t.emptying
	for i, d := range l.Demands {
		if d.Queue.Advised {
			l.Demands[i].Allowed = t.allowed(d, l.Agents, now)
		}
	}
	t.forgetAdvice(l.Demands)
	t.d.probation.Forget(func(b string) bool { return t.d.cfg.Table.Active(b) })
	for _, h := range holdings {
		h.Expected = t.d.took.Estimate(h.Queue, h.Requirements.Declared)
		r := t.runOf(h)
		h.Stopping = t.stopping[h.Task] == h.Run || r != nil && r.ended
		stalled := r != nil && r.foretell(&h, now)
		switch {
		case h.Stopping:
		case h.Obsolete:
			t.stopLocked(h.Task, h.Run, h.Runner, "its batch has ended")
		case h.Requirements.Checkpoints && t.leavesBefore(h, now):
			t.stopLocked(h.Task, h.Run, h.Runner, "its runner leaves before it ends")
		case stalled && !h.Requirements.LongRunning:
			t.d.probation.RecordStall(h.Runner, h.Task.Batch, now)
			t.stopLocked(h.Task, h.Run, h.Runner, "it makes no progress")
		}
		l.OpenRuns = append(l.OpenRuns, h)
	}
	return l
}

// dropSilent forgets runners that have not reported for long and on which
// nothing runs. It needs t.mu.
func (t *tenure) dropSilent(now time.Time) {
	for id, s := range t.sessions {
		if len(s.runs) == 0 && now.Sub(s.seen) > forgetReports*t.d.cfg.Timing.Heartbeat {
			s.close("it has not reported for a while")
			delete(t.sessions, id)
		}
	}
}

// runOf returns the run that a session knows for a holding, or nil. It needs
// t.mu.
func (t *tenure) runOf(h carawayshift.OpenRun) *run {
	s := t.sessions[h.Runner]
	if s == nil {
		return nil
	}
	return s.find(h.Task, h.Run)
}

// foretell sets the expected end of a run by its progress, and reports whether
// it stands still. It needs t.mu.
func (r *run) foretell(h *carawayshift.OpenRun, now time.Time) (stalled bool) {
	if end, ok := r.progress.EstimatedEnd(now); ok && !h.Requirements.LongRunning {
		h.Ends = end
	}
	return r.progress.Stalled(h.Expected)
}

// leavesBefore tells whether a run's runner is expected to be gone before the
// run ends; a stop then saves its work. It needs t.mu.
func (t *tenure) leavesBefore(h carawayshift.OpenRun, now time.Time) bool {
	s := t.sessions[h.Runner]
	if s == nil || !s.agent.Leaving {
		return false
	}
	end := h.Ends
	if end.IsZero() {
		end = h.Ordered.Add(h.Expected)
	}
	return end.After(s.seen.Add(s.agent.Remaining)) && end.After(now)
}

// dropLapsed records as lost the runs that were ordered before this tenure and
// whose runner is not known, once their leases have certainly ended.
func (t *tenure) dropLapsed(l carawayshift.DispatchInput) {
	for _, h := range l.OpenRuns {
		if t.adopt(h) {
			continue
		}
		if time.Since(t.began) > t.lapse() {
			t.reportEnd(carawayshift.RunEnd{Task: h.Task, Run: h.Run, Outcome: carawayshift.RunLost, Checkpoint: h.Checkpoint}, nil)
		}
	}
}

// lapse is the time after which a lease that was given before has ended, on a
// runner whose clock is slow.
func (t *tenure) lapse() time.Duration {
	lease := float64(t.d.cfg.Timing.Lease)
	return time.Duration(lease*(1+2*clockDrift)) + callTimeout
}

// adopt gives a run of an earlier tenure to its runner's session. It reports
// whether a session has it.
func (t *tenure) adopt(h carawayshift.OpenRun) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent[h.Task] == h.Run {
		return true
	}
	s := t.sessions[h.Runner]
	if s == nil {
		return false
	}
	t.sent[h.Task] = h.Run
	s.adopt(h)
	return true
}

// start commits the starts and hands the accepted ones to the sessions.
func (t *tenure) start(ctx context.Context, starts []carawayshift.DispatchStart) {
	if len(starts) == 0 {
		return
	}
	c := &carawayshift.BatchChange{}
	for _, s := range starts {
		c.Starts = append(c.Starts, s.RunStart)
	}
	asked := time.Now()
	if t.propose(ctx, c) != nil {
		return
	}
	t.d.cfg.Metrics.GetOrCreateHistogram(`carawayshift_batch_stage_seconds{stage="commit"}`).UpdateDuration(asked)
	for _, s := range starts {
		if !t.d.cfg.Table.IsRunOpen(s.RunStart) {
			continue
		}
		t.log.WithFields(logrus.Fields{
			"event": "ordered", "batch": s.Task.Batch, "task": s.Task.String(), "run": s.Run, "runner": s.Runner, "alternatives": s.Alternatives,
		}).Info("task ordered")
		t.order(s.RunStart)
	}
}

func (t *tenure) order(s carawayshift.RunStart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[s.Task] = s.Run
	p := t.sessions[s.Runner]
	if p == nil || p.agent.Incarnation != s.Incarnation {
		t.queueEnd(carawayshift.RunEnd{Task: s.Task, Run: s.Run, Outcome: carawayshift.RunLost}, nil)
		return
	}
	p.begin(s)
}

// preempt stops runs for more urgent work. A new leader first hears from the
// runners which runs have ended while nobody led: their room may be enough.
func (t *tenure) preempt(stops []carawayshift.DispatchStop) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(stops) > 0 && time.Since(t.began) < settleTime && t.unsettled() {
		t.log.WithFields(logrus.Fields{"event": "preemption put off", "stops": len(stops)}).Info("not all runners have answered this leader yet")
		return
	}
	for _, s := range stops {
		t.stopLocked(s.Task, s.Run, s.Runner, "preempted for "+s.For)
	}
}

// unsettled tells whether a known runner has not answered yet for a run that an
// earlier leader ordered. It needs t.mu.
func (t *tenure) unsettled() bool {
	for _, s := range t.sessions {
		for _, r := range s.runs {
			if r.settled.IsZero() && !r.ended && r.ordered.Before(t.began) {
				return true
			}
		}
	}
	return false
}

// stopLocked tells a run's session to stop it, once. It needs t.mu.
func (t *tenure) stopLocked(task carawayshift.TaskName, run int, runner, why string) {
	s := t.sessions[runner]
	if s == nil || t.stopping[task] == run {
		return
	}
	t.stopping[task] = run
	t.log.WithFields(logrus.Fields{
		"event": "stopping", "batch": task.Batch, "task": task.String(), "run": run, "runner": runner, "reason": why,
	}).Info("task stopped")
	s.stop(task, run)
}

// stopGang stops the other open runs of a gang one of whose members ended.
func (t *tenure) stopGang(task carawayshift.TaskName, why string) {
	_, holdings := t.d.cfg.Table.OpenWork()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range holdings {
		same := h.Task.Batch == task.Batch && h.Task.Occurrence == task.Occurrence && h.Task.Step == task.Step
		if same && h.Requirements.Gang && h.Task.Index != task.Index {
			t.stopLocked(h.Task, h.Run, h.Runner, why)
		}
	}
}
