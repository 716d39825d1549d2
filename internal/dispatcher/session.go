package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
	"carawayshift.example/carawayshift/pkg/progress"
)

const (
	// avoidAfterRefusal is how long a runner that refused a start gets no new
	// work.
	avoidAfterRefusal = 500 * time.Millisecond
	// avoidUnhealthy is how long a runner that refused a start because it is
	// unhealthy gets no new work.
	avoidUnhealthy = 2 * time.Second
	// retryInterval is the pause between calls to a runner that does not
	// respond, probeInterval the pause if it has no open runs.
	retryInterval = 150 * time.Millisecond
	probeInterval = time.Second
	// maxStartAttempts is how often a start without a response is sent before
	// the run is given up.
	maxStartAttempts = 3
)

// session is the leader's state of one incarnation of a runner. Its goroutine
// renews the leases of the open runs there and receives their ends. The fields
// are guarded by the mu of the leaderTerm.
type session struct {
	t          *leaderTerm
	agent      carawayshift.Agent
	log        logrus.FieldLogger
	lastReport time.Time
	avoidUntil time.Time
	// clock is a lower bound of the runner's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest end of a lease that was sent.
	leaseEnd time.Duration
	// unanswered is true when the last renewal got no response.
	unanswered bool
	// unconfirmed is true when a call got no response and no renewal has
	// succeeded since.
	unconfirmed bool
	// contacted is true once the runner has answered a renewal: since then it refuses calls
	// that were sent before the session, also by earlier leaders.
	contacted bool
	// adoptionDone is true once the session has adopted the runs of earlier terms on its
	// runner, reconciled once a status has been compared with the session's runs.
	adoptionDone, reconciled bool
	// unexpected is true while the runner lists a run that the session does not have.
	unexpected bool
	// answered is when the runner last answered a renewal.
	answered time.Time
	// fence is the fencing token of the session's calls.
	fence uint64
	// renewing is true while a renewal is in flight, exited once the runner has
	// deregistered.
	renewing, exited bool
	runs             map[carawayshift.TaskName]*run
	// received is the highest number of an end that the runner reported,
	// committed the highest that is committed, and acknowledged the highest
	// that was acknowledged to the runner.
	received, committed, acknowledged uint64
	wake                              chan struct{}
	ctx                               context.Context
	cancel                            context.CancelFunc
}

// run is an open run on a session's runner.
type run struct {
	number     int
	checkpoint string
	// confirmed is when the runner answered the start or a stop, or listed the
	// run: a renewal that is sent later and does not list the run proves that the
	// runner does not have it.
	confirmed time.Time
	// begun is true once the runner has confirmed the start or listed the run.
	begun bool
	// adopted is true for a run of an earlier term, or of an earlier incarnation of the
	// runner, unless this session has sent its start again.
	adopted bool
	// listed is when the last renewal was sent in whose response the runner listed the
	// run, atWork whether the run had reported complete progress there.
	listed time.Time
	atWork bool
	// ended is true when the end is queued for its commit.
	ended     bool
	stopping  bool
	requested time.Time
	// unanswered is true when a start request got no answer, so that it may still be
	// executed; carried is true for a run of an earlier incarnation of the runner. A run
	// that is both may be on this incarnation.
	unanswered, carried bool
	// resumed is true for a run that started from a checkpoint.
	resumed      bool
	requirements carawayshift.Step
	// percent is the speed that was last requested.
	percent  int
	progress progress.Tracker
	pace     pace
}

// fullSpeed is the speed of a task at its start, in percent.
const fullSpeed = 100

// newSession starts the session of a runner whose report was received at a time, zero
// if it has not reported yet.
func newSession(t *leaderTerm, a carawayshift.Agent, received time.Time) *session {
	s := &session{
		t: t, agent: a, runs: map[carawayshift.TaskName]*run{}, wake: make(chan struct{}, 1),
		log: t.log.WithField("runner", a.ID), fence: t.nextFence(),
	}
	s.ctx, s.cancel = context.WithCancel(t.ctx)
	s.update(a, received)
	t.spawn(s.renewLoop)
	return s
}

// fenceBits is the number of bits of a fencing token below the term.
const fenceBits = 32

// nextFence returns a fencing token that is higher than all others of the term and lower
// than those of the next one.
func (t *leaderTerm) nextFence() uint64 {
	return t.term<<fenceBits + min(t.d.fences.Add(1), 1<<fenceBits-1)
}

// raiseFence makes the runner refuse the calls that were sent before, once it has executed
// a later one. A call without an answer could otherwise be executed at any time, also by
// a later incarnation of the runner, which the id in a call does not tell apart. The
// caller holds s.t.mu.
func (s *session) raiseFence() {
	s.fence = s.t.nextFence()
}

// replaceIncarnation replaces the session by one for the incarnation that
// answered a renewal. Its resources are not known before its first report, so
// it gets no work until then.
func (s *session) replaceIncarnation(st carawayshift.AgentStatus) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if s.t.sessions[s.agent.ID] != s {
		return
	}
	a := s.agent
	a.Incarnation, a.Sequence, a.Clock = st.Incarnation, 0, st.Clock
	s.t.replaceSession(s, a, time.Time{})
}

// predates reports whether a is an older report of this incarnation than the last one.
// The caller holds s.t.mu.
func (s *session) predates(a carawayshift.Agent) bool {
	return a.Incarnation == s.agent.Incarnation && a.Sequence < s.agent.Sequence
}

// contradicts reports whether a describes this incarnation as one of another service or
// machine than it has reported, so that another sender must have sent it. The caller
// holds s.t.mu.
func (s *session) contradicts(a carawayshift.Agent) bool {
	reported := s.agent.Sequence > 0 && a.Incarnation == s.agent.Incarnation
	return reported && (a.Service != s.agent.Service || a.Zone != s.agent.Zone || a.Machine != s.agent.Machine)
}

// update stores a report of this incarnation. The caller holds s.t.mu.
func (s *session) update(a carawayshift.Agent, received time.Time) {
	if s.predates(a) {
		return
	}
	if a.Leaving && !s.agent.Leaving {
		s.log.WithFields(logrus.Fields{"event": "runner leaving", "left": a.Remaining.String()}).Info("runner is leaving")
	}
	if s.t.addresses[s.agent.Address] == s {
		delete(s.t.addresses, s.agent.Address)
	}
	s.t.addresses[a.Address] = s
	s.agent = a
	if received.After(s.lastReport) {
		s.lastReport = received
	}
	s.updateClock(a.Clock)
}

// updateClock updates the estimate of the runner's clock with a reading. The
// caller holds s.t.mu.
func (s *session) updateClock(c time.Duration) {
	if s.clockAt.IsZero() || c >= s.minClock(time.Now()) {
		s.clock, s.clockAt = c, time.Now()
	}
}

// minClock returns a lower bound of the runner's clock at now.
func (s *session) minClock(now time.Time) time.Duration {
	return s.clock + time.Duration(float64(now.Sub(s.clockAt))*(1-clockDrift))
}

// extendLease returns the end of a new lease on the runner's clock. While the
// runner does not respond, the end stays the same: otherwise there would be no
// time after which the lease has certainly expired. The caller holds s.t.mu.
func (s *session) extendLease() time.Duration {
	if s.unanswered && s.leaseEnd > 0 {
		return s.leaseEnd
	}
	until := s.clock + time.Since(s.clockAt) + s.t.d.cfg.Timing.Lease
	s.leaseEnd = max(s.leaseEnd, until)
	return until
}

// answeredByOther reports whether the clock in a response to a call that was sent at a
// time suggests that an incarnation that has started since answered it. The caller holds
// s.t.mu.
func (s *session) answeredByOther(clock time.Duration, sent time.Time) bool {
	return !s.clockAt.IsZero() && clock < s.minClock(sent)
}

// reachable reports whether the runner may get new work, unless it is ejected for
// failures of tasks. The caller holds s.t.mu.
func (s *session) reachable(now time.Time) bool {
	fresh := now.Sub(s.lastReport) < staleAfterHeartbeats*s.t.d.cfg.Timing.Heartbeat
	return fresh && !s.agent.Leaving && !s.exited && now.After(s.avoidUntil) && !s.unanswered && !s.unconfirmed && !s.unexpected
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// close ends the session and records all its runs as lost. The caller holds
// s.t.mu.
func (s *session) close(reason string) {
	if s.ctx.Err() != nil {
		return
	}
	s.cancel()
	s.log.WithFields(logrus.Fields{"event": "runner gone", "reason": reason, "runs": len(s.runs)}).Info("session of the runner closed")
	s.recordAllLost()
}

// recordAllLost records all runs of the session as lost. The caller holds
// s.t.mu.
func (s *session) recordAllLost() {
	for task, r := range s.runs {
		s.recordLost(task, r.number)
	}
	s.runs = map[carawayshift.TaskName]*run{}
	s.t.d.Wake()
}

// find returns an open run, or nil. The caller holds s.t.mu.
func (s *session) find(task carawayshift.TaskName, n int) *run {
	if r := s.runs[task]; r != nil && r.number == n {
		return r
	}
	return nil
}

// adopt takes over a run of an earlier term. The next renewal shows whether the
// runner has it. The caller holds s.t.mu.
func (s *session) adopt(o carawayshift.OpenRun) {
	s.runs[o.Task] = &run{
		number: o.Run, checkpoint: o.Checkpoint, requested: o.Ordered, resumed: o.Checkpoint != "",
		requirements: o.Requirements, percent: unknownSpeed, adopted: true,
	}
	s.signal()
}

// endAdoption records that the session has adopted the runs of earlier terms. From then on
// statuses are compared with its runs. The caller holds s.t.mu.
func (s *session) endAdoption() {
	if !s.adoptionDone {
		s.adoptionDone = true
		s.signal()
	}
}

func statusLists(st carawayshift.AgentStatus, task carawayshift.TaskName, n int) bool {
	for _, r := range st.Running {
		if r.Task == task && r.Run == n {
			return true
		}
	}
	for _, e := range st.Ended {
		if e.Task == task && e.Run == n {
			return true
		}
	}
	return false
}

// startRun sends the start of a run in the background. The caller holds s.t.mu.
func (s *session) startRun(st carawayshift.RunStart, l *launch) {
	checkpoint := s.t.d.cfg.Table.Checkpoint(st.Task)
	s.runs[st.Task] = &run{number: st.Run, pace: pace{launch: l}, checkpoint: checkpoint, requested: time.Now(), resumed: checkpoint != "", requirements: s.t.d.cfg.Table.Requirements(st.Task), percent: fullSpeed}
	s.t.spawn(func() { s.sendStart(st, false) })
}

// sendStart sends the start until the runner answers it or lists the run. If
// the runner refuses the first request, the run is recorded as lost. A refusal
// tells nothing about earlier requests without a response, which the runner may
// still execute: then, and if the result stays unknown, the run is stopped first.
// repeated is true if an earlier leader may have sent such requests.
func (s *session) sendStart(st carawayshift.RunStart, repeated bool) {
	for attempt := range maxStartAttempts {
		if s.t.d.cfg.Table.OverCap(st.Task) {
			if s.withholdStart(st, repeated || attempt > 0) {
				return
			}
			break
		}
		sent := time.Now()
		clock, err := s.callStart(st)
		switch {
		case err == nil:
			if !s.isReplaced(clock, sent) {
				s.startConfirmed(st, clock)
			}
			return
		case s.ctx.Err() != nil:
			return
		}
		s.log.WithError(err).WithFields(logrus.Fields{"event": "order failed", "task": st.Task.String(), "run": st.Run, "attempt": attempt + 1}).Warn("start of run not confirmed")
		if s.handleCallError(err) {
			return
		}
		var refusal *carawayshift.RefusalError
		if errors.As(err, &refusal) {
			s.startRefused(st, refusal.Reason, repeated || attempt > 0)
			return
		}
		s.markUnanswered(st.Task, st.Run)
		if s.isStopping(st.Task, st.Run) {
			break
		}
		status, err := s.checkStatus()
		if err != nil {
			break
		}
		if statusLists(status, st.Task, st.Run) {
			s.markConfirmed(st.Task, st.Run)
			return
		}
	}
	s.t.stopGang(st.Task, "the start of another gang member is not confirmed")
	s.sendStop(st.Task, st.Run)
}

// isReplaced reports whether the session has been replaced because a later incarnation has
// answered a call. If the clock in the response suggests that, it asks for the status.
func (s *session) isReplaced(clock time.Duration, sent time.Time) bool {
	s.t.mu.Lock()
	other := s.answeredByOther(clock, sent)
	s.t.mu.Unlock()
	if other {
		_, _ = s.checkStatus()
	}
	return s.ctx.Err() != nil
}

// markUnanswered records that a start request of a run got no answer.
func (s *session) markUnanswered(task carawayshift.TaskName, n int) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.raiseFence()
	if r := s.find(task, n); r != nil {
		r.unanswered = true
	}
}

// markUnresponsive keeps new work from the runner until it answers a renewal.
func (s *session) markUnresponsive() {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.unanswered = true
	s.signal()
}

// checkStatus requests the status of a runner that did not respond to a call.
// The runner gets no new work until it responds.
func (s *session) checkStatus() (carawayshift.AgentStatus, error) {
	s.t.mu.Lock()
	s.unconfirmed = true
	s.t.mu.Unlock()
	st, err := s.renew(0)
	if err != nil {
		s.renewFailed(err)
		s.signal()
	}
	return st, err
}

func (s *session) callStart(st carawayshift.RunStart) (clock time.Duration, err error) {
	s.t.mu.Lock()
	r := s.runs[st.Task]
	o := carawayshift.RunRequest{Task: st.Task, Run: st.Run, Spec: s.t.d.cfg.Table.Spec(st.Task.Batch), Until: s.extendLease()}
	if r != nil {
		o.Checkpoint = r.checkpoint
	}
	o.Ticket = s.t.ticketFor(st.Task, s.agent.ID)
	s.t.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	err = s.send(false, func(call carawayshift.AgentCall) error {
		clock, err = s.t.client.Start(ctx, call, o)
		return err
	})
	return clock, err
}

// maxOvertaken is how often a call is sent again because a later one has overtaken it.
const maxOvertaken = 3

// send makes a call with the session's fencing token. If last is true, the calls that are
// sent after it have a higher one: should it be executed late, then only by a runner that
// has executed none of them. A call that such a later one has overtaken is refused and had
// no effect; it is sent again.
func (s *session) send(last bool, do func(call carawayshift.AgentCall) error) error {
	for attempt := 0; ; attempt++ {
		call := s.nextCall(last)
		err := do(call)
		if attempt == maxOvertaken || !s.overtaken(call, err) {
			return err
		}
		s.t.d.cfg.Metrics.GetOrCreateCounter("carawayshift_calls_overtaken_total").Inc()
		s.log.WithField("event", "overtaken").Info("the runner has executed a later call; sending this one again")
	}
}

// nextCall returns the common part of a call to the runner, and raises the fencing token of
// the calls after it if last is true.
func (s *session) nextCall(last bool) carawayshift.AgentCall {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	call := carawayshift.AgentCall{Agent: s.agent, Fence: s.fence}
	if last {
		s.raiseFence()
	}
	return call
}

// overtaken reports whether the runner refused a call since it had executed a later one of
// this session.
func (s *session) overtaken(call carawayshift.AgentCall, err error) bool {
	var refusal *carawayshift.RefusalError
	if !errors.As(err, &refusal) || refusal.Reason != carawayshift.RefusedFence {
		return false
	}
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return s.ctx.Err() == nil && call.Fence < s.fence
}

func (s *session) startConfirmed(st carawayshift.RunStart, clock time.Duration) {
	s.t.mu.Lock()
	r := s.runs[st.Task]
	if r != nil {
		s.t.d.cfg.Metrics.GetOrCreateHistogram(`carawayshift_batch_stage_seconds{stage="order"}`).UpdateDuration(r.requested)
	}
	if r = s.find(st.Task, st.Run); r != nil {
		r.begun = true
		if r.pace.launch != nil {
			r.pace.launch.begun = time.Now()
		}
	}
	s.updateClock(clock)
	s.t.mu.Unlock()
	s.log.WithFields(logrus.Fields{"event": "begun", "batch": st.Task.Batch, "task": st.Task.String(), "run": st.Run}).Info("runner confirmed the start of the run")
	s.markConfirmed(st.Task, st.Run)
}

// markConfirmed records that the runner has answered the start or a stop of a
// run, or has listed the run, and triggers the renewal of its lease.
func (s *session) markConfirmed(task carawayshift.TaskName, n int) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if r := s.find(task, n); r != nil {
		r.confirmed = time.Now()
	}
	s.signal()
}

// startRefused gives up a run whose start the runner refused, for a reason that
// handleCallError does not handle. uncertain is true if an earlier request for
// this run got no response.
func (s *session) startRefused(st carawayshift.RunStart, reason carawayshift.Refusal, uncertain bool) {
	if reason == carawayshift.RefusedStaleRun {
		// The run was on the runner and has ended or was stopped: the runner's
		// status shows which.
		s.sendStop(st.Task, st.Run)
		return
	}
	s.t.stopGang(st.Task, "the start of another gang member was refused")
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.t.dropTicket(st.Task, s.agent.ID)
	s.avoidUntil = time.Now().Add(avoidAfterRefusal)
	if reason == carawayshift.RefusedUnhealthy {
		s.avoidUntil = time.Now().Add(avoidUnhealthy)
	}
	if uncertain {
		s.stop(st.Task, st.Run)
		return
	}
	s.recordLost(st.Task, st.Run)
}

// recordLost records a run that is not on the runner as lost. The caller holds
// s.t.mu.
func (s *session) recordLost(task carawayshift.TaskName, n int) {
	r := s.find(task, n)
	if r == nil || r.ended {
		return
	}
	delete(s.runs, task)
	s.t.enqueueEnd(carawayshift.RunEnd{Task: task, Run: n, Outcome: carawayshift.RunLost, Checkpoint: r.checkpoint, Lingers: s.lingers(r)}, nil)
}

// stop stops a run in the background. The caller holds s.t.mu.
func (s *session) stop(task carawayshift.TaskName, n int) {
	s.t.spawn(func() { s.sendStop(task, n) })
}

func (s *session) isStopping(task carawayshift.TaskName, n int) bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	r := s.find(task, n)
	return r == nil || r.stopping
}

// sendStop sends a stop until the runner answers. After that the runner either
// lists the run until it has ended, or can no longer start it. A run that was
// never confirmed is stopped even after it was recorded as lost: its start may
// still be executed late.
func (s *session) sendStop(task carawayshift.TaskName, n int) {
	s.t.mu.Lock()
	r := s.find(task, n)
	if r == nil || r.stopping {
		s.t.mu.Unlock()
		return
	}
	r.stopping = true
	s.signal()
	s.t.mu.Unlock()
	for s.ctx.Err() == nil {
		s.t.mu.Lock()
		settled := s.runs[task] != r && !r.confirmed.IsZero()
		s.t.mu.Unlock()
		if settled {
			return
		}
		sent := time.Now()
		clock, err := s.callStop(task, n)
		if err == nil && s.isReplaced(clock, sent) {
			return
		}
		if err == nil {
			s.t.mu.Lock()
			s.updateClock(clock)
			s.t.mu.Unlock()
			s.markConfirmed(task, n)
			return
		}
		if s.handleCallError(err) {
			return
		}
		s.log.WithError(err).WithFields(logrus.Fields{"event": "order failed", "task": task.String(), "run": n}).Warn("stop of run not confirmed")
		pause.For(s.ctx, retryInterval)
	}
}

func (s *session) callStop(task carawayshift.TaskName, n int) (clock time.Duration, err error) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	err = s.send(false, func(call carawayshift.AgentCall) error {
		clock, err = s.t.client.Stop(ctx, call, task, n)
		return err
	})
	return clock, err
}

// handleCallError handles the refusals that end the session or the term, and
// reports whether either is over. A runner that refuses the fencing token of a host that
// may still lead has executed a later call of it, or its token is wrong: it gets no new
// work until it answers. A refused connection does not prove
// that the runner has exited: the network may have reset the connection while
// the runner still works.
func (s *session) handleCallError(err error) bool {
	var refusal *carawayshift.RefusalError
	switch {
	case s.ctx.Err() != nil:
		return true
	case errors.As(err, &refusal) && refusal.Reason == carawayshift.RefusedFence && s.t.permitted():
		s.log.WithError(err).WithField("event", "token refused").Warn("runner refused the fencing token, and no newer leader can have called it")
		s.markUnresponsive()
		return false
	case errors.As(err, &refusal) && refusal.Reason == carawayshift.RefusedFence:
		s.log.Warn("runner refused the fencing token: a newer leader has called it")
		s.t.resign()
		return true
	case errors.As(err, &refusal) && refusal.Reason == carawayshift.RefusedIncarnation:
		s.t.dropSession(s, "another incarnation answers at its address")
		return true
	}
	return false
}
