package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

// earlyShare is the part of the expected run time in which a failure is early.
const earlyShare = 0.25

// fullProgress is the progress of a long-running task that is at work, in percent.
const fullProgress = 100

// renewLoop renews the runner's leases while runs are open on it, and otherwise
// waits until one is started.
func (s *session) renewLoop() {
	for s.ctx.Err() == nil {
		if s.closeExited() {
			return
		}
		due, wait := s.nextRenewal()
		if !due {
			select {
			case <-s.ctx.Done():
			case <-s.wake:
			}
			continue
		}
		end, ok := s.awaitFirstCall()
		if !ok {
			continue
		}
		sent := time.Now()
		st, err := s.renew(wait)
		end()
		var committed <-chan struct{}
		if err == nil {
			committed = s.handleStatus(st, sent)
		}
		switch {
		case s.closeExited():
			return
		case err != nil:
			s.renewFailed(err)
		case committed != nil:
			select {
			case <-committed:
			case <-s.ctx.Done():
			}
		}
	}
}

// endAfterRuns closes the session of a runner that has deregistered once it has no runs. It
// works on until its deregistration is confirmed, and some seconds longer if that gets lost:
// its runs are stopped, and are given up when it lists their ends or when its lease, which is
// not extended any more, has expired. The caller holds s.t.mu.
func (s *session) endAfterRuns() {
	s.exited = true
	if len(s.runs) == 0 && !s.renewing {
		s.t.closeSession(s, reasonLeft)
	}
	for task, r := range s.runs {
		s.t.stopLocked(task, r.number, s.agent.ID, reasonLeft)
	}
	s.signal()
}

// closeExited closes the session if its runner has deregistered and has no runs, and reports
// whether it did. Ends that are committed are acknowledged before, while the runner answers.
func (s *session) closeExited() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.renewing = false
	over := s.exited && len(s.runs) == 0 && (s.committed <= s.acknowledged || s.unanswered)
	if over {
		s.t.closeSession(s, reasonLeft)
	}
	return over
}

// nextRenewal reports whether a renewal is due: to extend the leases of confirmed runs,
// to notice that the runner of a run that is being stopped is gone, to see that an
// unexpected run ends, to acknowledge committed ends, because the runner did not respond,
// to make a runner that this session has not called yet refuse earlier calls, or to learn
// which runs it has. wait is how long the runner may delay its response until a run ends: not
// at all after a renewal without a response, so that an expired lease is noticed soon. A
// renewal that is due counts as in flight from here on.
func (s *session) nextRenewal() (due bool, wait time.Duration) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	busy, undecided := s.unexpected, false
	for _, r := range s.runs {
		busy = busy || !r.confirmed.IsZero() || r.stopping && !r.ended
		undecided = undecided || r.undecided()
	}
	if busy && !undecided && !s.unanswered {
		wait = renewWait
	}
	s.renewing = busy || undecided || s.committed > s.acknowledged || s.unanswered || !s.contacted || s.adoptionDone && !s.reconciled
	return s.renewing, wait
}

// undecided reports whether it is not known yet if the runner has the adopted
// run. The caller holds the term's mu.
func (r *run) undecided() bool {
	return r.adopted && r.confirmed.IsZero() && !r.ended && !r.stopping
}

// renew renews the leases and acknowledges the committed ends. If another incarnation
// answers, it replaces the session and returns an error. Calls after an acknowledgement have
// a higher fencing token: another incarnation that executes it late would forget the end of
// a run that such a call started there.
func (s *session) renew(wait time.Duration) (st carawayshift.AgentStatus, err error) {
	s.t.mu.Lock()
	seen, until, incarnation := s.endsToAcknowledge(), s.extendLease(), s.agent.Incarnation
	if s.committed > max(s.acknowledged, seen) || !s.contacted || !s.reconciled {
		wait = 0
	}
	if s.needsThrottle() {
		wait = min(wait, throttleInterval)
	}
	if s.unexpected {
		wait = min(wait, s.t.d.cfg.Timing.Stop)
	}
	for _, r := range s.runs {
		// Stopping runs end soon, so the runner should respond sooner.
		if r.stopping {
			wait = min(wait, s.t.d.cfg.Timing.Stop)
		}
		if r.stopping && r.confirmed.IsZero() {
			wait = min(wait, retryInterval)
		}
	}
	s.t.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, wait+callTimeout)
	defer cancel()
	sent := time.Now()
	err = s.send(seen > 0, func(call carawayshift.AgentCall) error {
		st, err = s.t.client.Renew(ctx, call, seen, until, wait)
		return err
	})
	if err != nil {
		return st, err
	}
	if st.Incarnation != 0 && incarnation != 0 && st.Incarnation != incarnation {
		s.replaceIncarnation(st)
		return st, errors.Newf("session.renew: the runner has restarted, life %d", st.Incarnation)
	}
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if !s.contacted { // from now on the runner refuses what was sent before
		s.leaseEnd = max(s.leaseEnd, st.Clock+s.t.d.cfg.Timing.Lease)
	}
	s.acknowledged = max(s.acknowledged, seen)
	s.unanswered, s.unconfirmed, s.contacted, s.answered = false, false, true, time.Now()
	if s.answeredByOther(st.Clock, sent) {
		s.clockAt = time.Time{} // the clock has stood still: the estimate starts anew
	}
	s.updateClock(st.Clock)
	return st, nil
}

// endsToAcknowledge returns the number up to which ends are acknowledged in the next
// renewal, 0 for none. An incarnation that has started since would forget ends of its own
// that nobody has seen. So only ends that were not acknowledged before are, and only to a
// runner that has just answered. The caller holds s.t.mu.
func (s *session) endsToAcknowledge() uint64 {
	if s.committed <= s.acknowledged || s.unanswered || s.unconfirmed || time.Since(s.answered) > callTimeout {
		return 0
	}
	return s.committed
}

// renewFailed handles a renewal without a response. Once the leases have
// certainly expired, the runs are recorded as lost; the renewals continue until
// the runner responds.
func (s *session) renewFailed(err error) {
	if s.handleCallError(err) {
		return
	}
	s.t.mu.Lock()
	first := !s.unanswered
	var refusal *carawayshift.RefusalError
	if first && !errors.As(err, &refusal) {
		s.raiseFence()
	}
	s.unanswered = true
	lapsed := len(s.runs) > 0 && s.leasesEnded()
	runs := len(s.runs)
	if lapsed {
		s.recordAllLost(lossExpired)
	}
	entry := s.log.WithError(err).WithFields(logrus.Fields{
		"event": "hold failed", "runs": runs, "lapsed": lapsed, "contacted": s.contacted,
		"left": (s.leaseEnd - s.minClock(time.Now())).Round(time.Millisecond).String(), "leading": time.Since(s.t.started).Round(time.Millisecond).String(),
	})
	s.t.mu.Unlock()
	if first || lapsed {
		entry.Warn("runner does not respond to lease renewal")
	}
	wait := retryInterval
	if runs == 0 || lapsed {
		wait = probeInterval
	}
	pause.For(s.ctx, wait)
}

// leasesEnded reports whether the runs on a runner that does not answer have certainly
// ended: the leases that this leader granted have expired on the runner's clock, and those
// of earlier leaders have as well. The caller holds s.t.mu.
func (s *session) leasesEnded() bool {
	return s.minClock(time.Now()) > s.leaseEnd+s.t.d.cfg.Timing.Stop+s.lateStartTime() && s.t.earlierLeasesEnded()
}

// lateStartTime returns how much later a lease may begin since the runner has restarted:
// on its new clock, a start that was requested before and got no answer is not too late
// to be executed, and a renewal that was sent before grants a lease as long as a new one
// to the run that such a start began. The caller holds s.t.mu.
func (s *session) lateStartTime() time.Duration {
	for _, r := range s.runs {
		if r.carried && r.unanswered {
			return lateCallLimit
		}
	}
	return 0
}

// handleStatus processes a runner's status: new ends are committed, runs that
// it does not list are recorded as lost, and runs that it should not have are
// stopped. The channel is closed when the new ends are committed; it is nil if there
// are none. A status is ignored while the session does not know the runs of earlier
// terms, which would be stopped; the runner is asked again once it does.
func (s *session) handleStatus(st carawayshift.AgentStatus, sent time.Time) <-chan struct{} {
	if !s.beginReconciliation() {
		return nil
	}
	committed := s.enqueueNewEnds(st.Ended)
	s.reconcile(st, sent)
	return committed
}

// beginReconciliation reports whether a status can be compared with the session's runs.
func (s *session) beginReconciliation() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.reconciled = s.adoptionDone
	return s.reconciled
}

// enqueueNewEnds queues the ends that were not received before. The channel is
// closed when all of them are committed; it is nil if there are none.
func (s *session) enqueueNewEnds(list []carawayshift.EndReport) <-chan struct{} {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	var last chan struct{}
	for _, e := range list {
		if e.Number <= s.received {
			continue
		}
		s.received = e.Number
		done := make(chan struct{})
		last = done
		number := e.Number
		if r := s.find(e.Task, e.Run); r != nil {
			r.ended = true
			s.recordObservation(e, r)
		}
		s.t.enqueueEnd(e.RunEnd, func() { s.endCommitted(e.RunEnd, number, done) })
	}
	if last == nil {
		return nil
	}
	return last
}

// recordObservation updates the statistics from the end of a run: the run time
// of tasks that ran from their start, and whether the runner fails tasks that
// succeed on others.
func (s *session) recordObservation(e carawayshift.EndReport, r *run) {
	switch e.Outcome {
	case carawayshift.RunFinished:
		s.t.d.outliers.RecordSuccess(s.agent.ID, r.requested)
	case carawayshift.RunFailed:
		s.t.d.outliers.RecordFailure(s.agent.ID, e.Task.Batch, s.failedEarly(e.Task, r), time.Now())
	}
	if e.Outcome == carawayshift.RunFinished {
		s.observePace(e.Task, r, fullProgress, true)
	}
	// Only the task with index 0 is counted: all tasks of a step have the same
	// declared run time.
	if e.Outcome == carawayshift.RunFinished && e.Task.Index == 0 && !r.resumed && !r.requested.IsZero() {
		s.t.d.runTimes.Observe(s.t.d.cfg.Table.QueueOf(e.Task.Batch), r.requirements.Declared, r.pace.nominal(time.Since(r.requested)))
	}
}

// failedEarly reports whether a run failed in the first part of its expected run time,
// unlike a task that is at fault itself, which may fail at any time.
func (s *session) failedEarly(task carawayshift.TaskName, r *run) bool {
	expected := s.t.d.runTimes.Estimate(s.t.d.cfg.Table.QueueOf(task.Batch), r.requirements.Declared)
	return !r.resumed && time.Since(r.requested) < time.Duration(earlyShare*float64(expected))
}

func (s *session) endCommitted(e carawayshift.RunEnd, number uint64, done chan struct{}) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.committed = max(s.committed, number)
	if s.find(e.Task, e.Run) != nil {
		delete(s.runs, e.Task)
	}
	close(done)
}

// reconcile compares the runner's list of runs with the session's. While the runner
// has ends that it did not list, a run that is missing may be one of them, so that
// nothing is decided about it yet. Nor is anything once the session has ended: the one of a
// later incarnation decides about the runs.
func (s *session) reconcile(st carawayshift.AgentStatus, sent time.Time) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	listed := map[carawayshift.TaskName]int{}
	s.unexpected = false
	for _, r := range st.Running {
		listed[r.Task] = r.Run
		if known := s.find(r.Task, r.Run); known != nil {
			if r.Checkpoint != "" {
				known.checkpoint = r.Checkpoint
			}
			known.begun = true
			known.listed, known.atWork = sent, r.Percent >= fullProgress
			known.progress.Update(r.Percent, time.Now())
			s.observePace(r.Task, known, r.Percent, false)
			continue
		}
		s.unexpected = true
		s.stopUnexpected(r)
	}
	s.adjustThrottle(st)
	for task, r := range s.runs {
		present := listed[task] == r.number
		if !present && st.MoreEnds {
			continue
		}
		if r.undecided() {
			s.decideAdopted(task, r, present)
			continue
		}
		if present || r.ended || r.confirmed.IsZero() || !r.confirmed.Before(sent) {
			continue
		}
		s.log.WithFields(logrus.Fields{"event": "run missing", "task": task.String(), "run": r.number}).Warn("runner does not list the run; recording it as lost")
		s.recordLost(task, r.number, lossUnlisted)
	}
}

// decideAdopted confirms an adopted run that the runner lists. The start of one that it
// does not list was committed and not sent, or is on its way: it is sent again if the
// run may still start there. Otherwise the run is stopped, so that a delayed request can
// no longer start it. The caller holds s.t.mu.
func (s *session) decideAdopted(task carawayshift.TaskName, r *run, listed bool) {
	switch {
	case listed:
		r.confirmed = time.Now()
	case s.mayStart(task, r):
		r.adopted, r.requested, r.percent = false, time.Now(), fullSpeed
		s.log.WithFields(logrus.Fields{"event": "ordered again", "task": task.String(), "run": r.number}).Info("the runner does not have the run of an earlier leader; sending its start again")
		st := carawayshift.RunStart{Task: task, Run: r.number, Runner: s.agent.ID, Incarnation: s.agent.Incarnation}
		s.t.spawn(func() { s.sendStart(st, true) })
	default:
		s.stop(task, r.number)
	}
}

// mayStart reports whether the start of an adopted run may be sent again. The caller
// holds s.t.mu.
func (s *session) mayStart(task carawayshift.TaskName, r *run) bool {
	if s.agent.Leaving || s.exited || s.t.draining[s.agent.Machine] || s.t.stopping[task] == r.number {
		return false
	}
	if s.t.d.cfg.Table.OverCap(task) {
		return false
	}
	return s.t.d.cfg.Table.MayStart(task, r.number, s.agent.Incarnation) && !s.t.d.cfg.ClosedZones()[s.agent.Zone]
}
