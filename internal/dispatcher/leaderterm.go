package dispatcher

import (
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

// leaderTerm is the dispatcher's state for one term in which this host leads.
type leaderTerm struct {
	d       *Dispatcher
	client  carawayshift.AgentClient
	term    uint64
	started time.Time
	log     logrus.FieldLogger
	// resign ends the dispatching of this term.
	resign context.CancelFunc
	ctx    context.Context
	// panicked is set after a panic: goroutines may be blocked on mu.
	panicked   atomic.Bool
	permission permission

	mu       sync.Mutex
	sessions map[string]*session // by runner id
	// addresses holds the session that last reported each address.
	addresses map[string]*session
	// verifying holds the ids of the runners whose report is being verified.
	verifying map[string]bool
	// left holds the last exit of each runner, so that late reports are ignored.
	left map[string]exit
	// stopping holds the runs whose stop was requested.
	stopping map[carawayshift.TaskName]int
	// requested holds the runs whose start was requested in this term, and the
	// adopted ones.
	requested map[carawayshift.TaskName]int
	ends      []pendingEnd
	// advice holds the advisor's responses by step.
	advice map[carawayshift.TaskName]*advice
	// waits holds the rule because of which each batch last waited.
	waits map[string]string
	// speeds holds the speeds that differ, as of the last plan.
	speeds map[string]float64
	// draining holds the machines that are next in a wave, maintenanceConfirmed
	// those whose maintenance request was confirmed.
	draining             map[string]bool
	maintenanceConfirmed map[waveMachine]bool
	// maintenanceRequested holds when the last maintenance request of this term for a
	// machine ended, maintenanceLate until when one without an answer may be carried out.
	maintenanceRequested, maintenanceLate map[waveMachine]time.Time
	// maintenanceGone holds the machines that don't exist.
	maintenanceGone map[waveMachine]bool
	// firstCalls holds an element for each first call that is in flight.
	firstCalls chan struct{}
	wg         sync.WaitGroup
	// removedInactive is when inactive runners were last removed, planned when the
	// last plan was made.
	removedInactive, planned time.Time
	// endsPending is signalled when ends are queued for their commit.
	endsPending chan struct{}
}

func newLeaderTerm(d *Dispatcher, term uint64, resign context.CancelFunc) *leaderTerm {
	t := &leaderTerm{
		d: d, term: term, started: time.Now(), resign: resign,
		log:      d.cfg.Logger.WithFields(logrus.Fields{"part": "dispatcher", "term": term}),
		sessions: map[string]*session{}, addresses: map[string]*session{}, verifying: map[string]bool{}, left: map[string]exit{},
		stopping: map[carawayshift.TaskName]int{}, requested: map[carawayshift.TaskName]int{}, endsPending: make(chan struct{}, 1),
		firstCalls: make(chan struct{}, maxFirstCalls),
		advice:     map[carawayshift.TaskName]*advice{}, draining: map[string]bool{},
		maintenanceConfirmed: map[waveMachine]bool{}, maintenanceGone: map[waveMachine]bool{},
		maintenanceRequested: map[waveMachine]time.Time{}, maintenanceLate: map[waveMachine]time.Time{},
	}
	t.client = permittedClient{d.cfg.Client, t}
	return t
}

// spawn runs fn in a goroutine that the method wait waits for.
func (t *leaderTerm) spawn(fn func()) {
	t.wg.Go(func() {
		defer t.recoverPanic()
		fn()
	})
}

// recoverPanic ends the dispatching of this term after a panic. Run then starts it
// anew, from the replicated state and the status of the runners.
func (t *leaderTerm) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	t.d.cfg.Metrics.GetOrCreateCounter("carawayshift_dispatcher_panics_total").Inc()
	t.log.WithFields(logrus.Fields{"event": "panic", "panic": v, "stack": string(debug.Stack())}).Error("dispatching failed and starts anew; report this as a bug")
	t.panicked.Store(true)
	t.resign()
}

func (t *leaderTerm) wait() { t.wg.Wait() }

// run plans until the term ends.
func (t *leaderTerm) run(ctx context.Context) {
	defer t.recoverPanic()
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	t.spawn(func() { t.commitLoop(ctx) })
	t.spawn(func() { t.maintenanceLoop(ctx) })
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

// step makes and executes one plan. It returns the time until the next plan if
// no event triggers one earlier.
func (t *leaderTerm) step(ctx context.Context) time.Duration {
	now := time.Now()
	due, next := t.d.cfg.Table.DueOccurrences(now)
	if len(due) > 0 {
		if err := t.propose(ctx, &carawayshift.BatchChange{Due: due}); err != nil {
			return planInterval
		}
	}
	if wait := t.untilPlan(now); wait > 0 {
		return untilNext(next, wait)
	}
	t.planned = now
	// The runs are checked before the input is made: ends that arrive while the
	// plan is made are not part of it.
	unconfirmed := t.hasUnconfirmedRuns()
	input, adopted := t.dispatchInput(now)
	t.d.gauges.update(input, t.runnerCount())
	t.updateDoor(now, &input)
	unconfirmed = unconfirmed || adopted
	plan := t.d.cfg.Planner.Dispatch(input)
	t.logWaits(plan.Waits)
	t.preempt(plan.Stops, unconfirmed)
	t.start(ctx, plan.Starts)
	return untilNext(next, planInterval)
}

// updateDoor makes a plan's input that of admissions. A new leader knows all waiting work
// at once, but only the runners that have reported: until the others had the time to, it
// would reject batches for which there is room.
func (t *leaderTerm) updateDoor(now time.Time, in *carawayshift.DispatchInput) {
	if now.Sub(t.started) >= preemptionDelay+t.d.cfg.Timing.Heartbeat {
		t.d.door.update(in)
	}
}

// untilNext returns the time until the next occurrence of a batch, or wait if that
// is shorter or there is none.
func untilNext(next time.Time, wait time.Duration) time.Duration {
	if next.IsZero() {
		return wait
	}
	return max(0, min(wait, time.Until(next)))
}

// untilPlan returns how long the next plan can wait, 0 if it is due: because
// something other than the end of a run has changed, or because tasks wait. Without
// waiting tasks, a plan after each end would use most of the time of a leader with
// thousands of runners.
func (t *leaderTerm) untilPlan(now time.Time) time.Duration {
	if t.d.changed.Swap(false) || t.d.cfg.Table.HasWaitingTasks() {
		return 0
	}
	return max(0, planInterval-now.Sub(t.planned))
}

// runnerCount returns the number of runners that have reported in this term.
func (t *leaderTerm) runnerCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}

// logWaits logs each batch that starts to wait, or whose waiting is now due to
// another rule.
func (t *leaderTerm) logWaits(list []carawayshift.DispatchWait) {
	now := make(map[string]string, len(list))
	for _, w := range list {
		now[w.Batch] = w.Rule
		if t.waits[w.Batch] != w.Rule {
			t.d.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`carawayshift_batch_waits_total{rule=%q}`, w.Rule)).Inc()
			t.log.WithFields(logrus.Fields{"event": "waiting", "batch": w.Batch, "rule": w.Rule}).Info("batch is waiting")
		}
	}
	t.waits = now
}

// propose commits a change.
func (t *leaderTerm) propose(ctx context.Context, c *carawayshift.BatchChange) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	now := time.Now()
	c.ForgetBefore = now.Add(-t.d.cfg.Timing.Retention)
	a, err := t.d.cfg.Log.ProposeInTerm(ctx, t.term, carawayshift.Command{Kind: carawayshift.ChangeBatches, At: now.UTC(), Batches: c})
	if err == nil {
		err = a.Err()
	}
	if err != nil {
		t.log.WithError(err).Warn("batch change not committed")
	}
	return err
}

// commitEarlier waits until the changes that this host has proposed before in this term are
// committed or dropped, and reports whether they are. After a panic one may still be in the
// log: the table would show a run as open that is recorded as lost there, and its start would
// be sent again.
func (t *leaderTerm) commitEarlier(ctx context.Context) bool {
	for t.propose(ctx, &carawayshift.BatchChange{}) != nil {
		if !pause.For(ctx, retryInterval) {
			return false
		}
	}
	return true
}

// dispatchInput returns the planner's input, with the runners whose reports are
// recent. It also adopts the runs of earlier terms, and then stops the runs that are
// obsolete, stalled, or would not end before their runner exits. adopted is true if a
// session has adopted a run.
func (t *leaderTerm) dispatchInput(now time.Time) (in carawayshift.DispatchInput, adopted bool) {
	demands, openRuns := t.d.cfg.Table.OpenWork()
	for i := range demands {
		demands[i].Excluded = t.d.outliers.FailedOn(demands[i].Batch)
		demands[i].Expected = t.d.runTimes.Estimate(demands[i].Queue.Name, demands[i].Requirements.Declared)
	}
	in = carawayshift.DispatchInput{Now: now, Demands: demands, Guarantees: map[string]int{}, ClosedZones: t.d.cfg.ClosedZones()}
	for _, m := range t.d.cfg.Table.Catalog().Teams {
		in.Guarantees[m.Team] = m.Guarantee
	}
	in.Caps, in.InUse = t.d.cfg.Table.TeamUse(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeInactiveRunners(now)
	in.Agents = t.usableRunners(now)
	in.DrainingMachines = t.draining
	in.Speeds = t.updateSpeeds(in.Agents, now)
	for i, d := range in.Demands {
		if d.Queue.Advised {
			in.Demands[i].Allowed = t.runnersWithTicket(d, in.Agents, now)
		}
	}
	t.pruneAdvice(in.Demands)
	t.d.outliers.Forget(func(b string) bool { return t.d.cfg.Table.Active(b) })
	adopted = t.adoptOpenRuns(openRuns)
	requested := t.unfinishedRequests()
	for i := range openRuns {
		o := &openRuns[i]
		o.Expected = t.d.runTimes.Estimate(o.Queue, o.Requirements.Declared)
		if o.Requirements.MaxUnavailable > 0 {
			o.Availability = t.availabilityOf(*o, requested[t.machineOf(o.Runner)])
		}
		r := t.findRun(*o)
		o.Stopping = t.stopping[o.Task] == o.Run || r != nil && r.ended
		stalled := r != nil && r.estimateEnd(o, now)
		switch {
		case o.Stopping:
		case o.Obsolete:
			t.stopLocked(o.Task, o.Run, o.Runner, "its batch has ended")
		case t.runnerExitsBy(o.Runner, now.Add(t.d.cfg.Timing.Stop+exitMargin)):
			t.stopLocked(o.Task, o.Run, o.Runner, "its runner exits")
		case o.Requirements.Checkpoints && t.runnerExitsBefore(*o, now):
			t.stopLocked(o.Task, o.Run, o.Runner, "its runner exits before the run ends")
		case stalled && !o.Requirements.LongRunning:
			t.d.outliers.RecordStall(o.Runner, o.Task.Batch, now)
			t.stopLocked(o.Task, o.Run, o.Runner, "it makes no progress")
		}
	}
	in.OpenRuns = openRuns
	return in, adopted
}

// maxEjectedShare is the share of a service's runners that are ejected at most. Beyond it
// the failures are rather those of the tasks, and sound ones would have no runner.
const maxEjectedShare = 0.5

// usableRunners returns the runners that may get new work. The caller holds t.mu.
func (t *leaderTerm) usableRunners(now time.Time) []carawayshift.Agent {
	list := make([]carawayshift.Agent, 0, len(t.sessions))
	reachable, ejected := map[string]int{}, map[string][]carawayshift.Agent{}
	for _, s := range t.sessions {
		if !s.reachable(now) {
			continue
		}
		service := s.agent.Service
		reachable[service]++
		if t.d.outliers.Ejected(s.agent.ID, now) {
			ejected[service] = append(ejected[service], s.agent)
			continue
		}
		list = append(list, s.agent)
	}
	for service, agents := range ejected {
		if float64(len(agents)) > maxEjectedShare*float64(reachable[service]) {
			list = append(list, agents...)
		}
	}
	return list
}

// removeInactiveRunners removes, once per heartbeat, the runners that have no open
// runs and have missed forgetAfterHeartbeats heartbeats. The caller holds t.mu.
func (t *leaderTerm) removeInactiveRunners(now time.Time) {
	if now.Sub(t.removedInactive) < t.d.cfg.Timing.Heartbeat {
		return
	}
	t.removedInactive = now
	for _, s := range t.sessions {
		if len(s.runs) == 0 && now.Sub(s.lastReport) > forgetAfterHeartbeats*t.d.cfg.Timing.Heartbeat {
			t.closeSession(s, "it has missed too many heartbeats")
		}
	}
	maps.DeleteFunc(t.left, func(_ string, x exit) bool { return now.Sub(x.at) > rememberExit })
}

// findRun returns a session's entry for an open run, or nil. The caller holds
// t.mu.
func (t *leaderTerm) findRun(o carawayshift.OpenRun) *run {
	s := t.sessions[o.Runner]
	if s == nil {
		return nil
	}
	return s.find(o.Task, o.Run)
}

// estimateEnd sets the estimated end of a run from its progress, and reports
// whether the run makes no progress. The caller holds the term's mu.
func (r *run) estimateEnd(o *carawayshift.OpenRun, now time.Time) (stalled bool) {
	if end, ok := r.progress.EstimatedEnd(now); ok && !o.Requirements.LongRunning {
		o.Ends = end
	}
	return r.progress.Stalled(o.Expected)
}

// runnerExitsBy reports whether a runner has announced that it may have exited at a time.
// A run that ends in its last moments could not be reported any more, and its task would
// run again although it had finished. The caller holds t.mu.
func (t *leaderTerm) runnerExitsBy(id string, at time.Time) bool {
	s := t.sessions[id]
	return s != nil && s.agent.Leaving && s.agent.Remaining > 0 && at.After(s.lastReport.Add(s.agent.Remaining))
}

// runnerExitsBefore reports whether a run's runner is expected to exit before
// the run ends; stopping the run then saves a checkpoint. The caller holds
// t.mu.
func (t *leaderTerm) runnerExitsBefore(o carawayshift.OpenRun, now time.Time) bool {
	s := t.sessions[o.Runner]
	if s == nil || !s.agent.Leaving {
		return false
	}
	end := o.Ends
	if end.IsZero() {
		end = o.Ordered.Add(o.Expected)
	}
	return end.After(s.lastReport.Add(s.agent.Remaining)) && end.After(now)
}

// start commits the starts and passes the accepted ones to the sessions. A change that is
// too large delays only its own batches.
func (t *leaderTerm) start(ctx context.Context, starts []carawayshift.DispatchStart) {
	for len(starts) > 0 {
		n := startsPerChange(starts)
		err := t.commitStarts(ctx, starts[:n])
		if err != nil && carawayshift.KindOf(err) != carawayshift.TooLarge {
			return
		}
		if err != nil {
			t.d.cfg.Metrics.GetOrCreateCounter("carawayshift_changes_too_large_total").Inc()
			t.log.WithFields(logrus.Fields{"event": "starts too large", "batch": starts[0].Task.Batch, "starts": n}).Error("the starts of a step don't fit into one command; the batch can't start")
		}
		starts = starts[n:]
	}
}

func (t *leaderTerm) commitStarts(ctx context.Context, starts []carawayshift.DispatchStart) error {
	c := &carawayshift.BatchChange{}
	for _, s := range starts {
		c.Starts = append(c.Starts, s.RunStart)
	}
	proposed := time.Now()
	if err := t.propose(ctx, c); err != nil {
		return err
	}
	t.d.cfg.Metrics.GetOrCreateHistogram(`carawayshift_batch_stage_seconds{stage="commit"}`).UpdateDuration(proposed)
	t.mu.Lock()
	launches := t.launches(starts)
	t.mu.Unlock()
	for i, s := range starts {
		if !t.d.cfg.Table.IsRunOpen(s.RunStart) {
			t.log.WithFields(logrus.Fields{"event": "start not accepted", "batch": s.Task.Batch, "task": s.Task.String(), "run": s.Run}).Info("the start was committed and has no effect: the task has ended or runs, or its team is at its cap")
			continue
		}
		t.log.WithFields(logrus.Fields{
			"event": "ordered", "batch": s.Task.Batch, "task": s.Task.String(), "run": s.Run, "runner": s.Runner, "alternatives": s.Alternatives,
		}).Info("start of run committed")
		t.startRun(s.RunStart, launches[i])
	}
	return nil
}

func (t *leaderTerm) startRun(s carawayshift.RunStart, l *launch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requested[s.Task] = s.Run
	sess := t.sessions[s.Runner]
	if sess == nil || sess.exited || sess.agent.Incarnation != s.Incarnation {
		t.enqueueLoss(carawayshift.RunEnd{Task: s.Task, Run: s.Run}, lossReplaced)
		return
	}
	sess.startRun(s, l)
}

// preempt stops runs in favour of more urgent work. A new leader first waits
// until the runners have reported which runs ended while there was no leader:
// the capacity that those runs freed may be enough. unconfirmed is true if the
// plan does not include the reports of all runners.
func (t *leaderTerm) preempt(stops []carawayshift.DispatchStop, unconfirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(stops) > 0 && time.Since(t.started) < preemptionDelay && unconfirmed {
		t.log.WithFields(logrus.Fields{"event": "preemption put off", "stops": len(stops)}).Info("waiting for responses of runners with runs of an earlier term")
		return
	}
	for _, s := range stops {
		if t.mayInterrupt(s) {
			t.stopLocked(s.Task, s.Run, s.Runner, "preempted for "+s.For)
		}
	}
}

// hasUnconfirmedRuns reports whether a known runner has not yet confirmed a run
// that an earlier leader started.
func (t *leaderTerm) hasUnconfirmedRuns() bool {
	if time.Since(t.started) >= preemptionDelay {
		return false // preempt does not ask any more
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sessions {
		for _, r := range s.runs {
			if r.confirmed.IsZero() && !r.ended && r.requested.Before(t.started) {
				return true
			}
		}
	}
	return false
}

// stopLocked asks a run's session to stop it. Further calls for the same run do
// nothing. A run that the session has not adopted yet is not noted as stopping: its stop
// is requested again once it is adopted. The caller holds t.mu.
func (t *leaderTerm) stopLocked(task carawayshift.TaskName, run int, runner, reason string) {
	s := t.sessions[runner]
	if s == nil || t.stopping[task] == run {
		return
	}
	if r := s.find(task, run); r == nil || r.ended {
		return
	}
	t.stopping[task] = run
	t.log.WithFields(logrus.Fields{
		"event": "stopping", "batch": task.Batch, "task": task.String(), "run": run, "runner": runner, "reason": reason,
	}).Info("stopping run")
	s.stop(task, run)
}

// stopGang stops the other open runs of a gang after one of its members could
// not start.
func (t *leaderTerm) stopGang(task carawayshift.TaskName, reason string) {
	_, openRuns := t.d.cfg.Table.OpenWork()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range openRuns {
		same := o.Task.Batch == task.Batch && o.Task.Occurrence == task.Occurrence && o.Task.Step == task.Step
		if same && o.Requirements.Gang && o.Task.Index != task.Index {
			t.stopLocked(o.Task, o.Run, o.Runner, reason)
		}
	}
}
