package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/progress"
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
	// leaseEnd is the latest end of a lease that this session has sent, or that the runner may
	// have granted to others before it first answered this session.
	leaseEnd time.Duration
	// unanswered is true when the last renewal got no response.
	unanswered bool
	// unconfirmed is true when a call got no response and no renewal has
	// succeeded since.
	unconfirmed bool
	// contacted is true once the runner has answered a renewal: since then it refuses calls
	// that were sent before the session was opened, also by earlier leaders.
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
	// unanswered is true when a start request got no answer, or may have got none under an
	// earlier leader, so that it may still be executed; carried is true for a run of an
	// earlier incarnation of the runner. A run that is both may be on this incarnation.
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
	ahead := c - s.minClock(time.Now())
	if !s.clockAt.IsZero() && ahead > maxReadingDelay {
		s.log.WithFields(logrus.Fields{"event": "clock ahead", "ahead": ahead.Round(time.Millisecond).String()}).Warn("the runner's clock is ahead of its estimate: earlier readings were delayed")
	}
	if s.clockAt.IsZero() || ahead >= 0 {
		s.clock, s.clockAt = c, time.Now()
	}
}

// maxReadingDelay is the delay of clock readings that is not logged: a runner may answer
// with the time at which a renewal arrived.
const maxReadingDelay = renewWait + callTimeout

// minClock returns a lower bound of the runner's clock at now.
func (s *session) minClock(now time.Time) time.Duration {
	since := now.Sub(s.clockAt)
	if since < 0 {
		return s.clock + since // the clock has advanced by at most that much from now to clockAt
	}
	return s.clock + time.Duration(float64(since)*(1-clockDrift))
}

// extendLease returns the end of a new lease on the runner's clock. While the
// runner does not respond, and once it has deregistered, the end stays the same:
// otherwise there would be no time after which the lease has certainly expired. The caller
// holds s.t.mu.
func (s *session) extendLease() time.Duration {
	if (s.unanswered || s.exited) && s.leaseEnd > 0 {
		return s.leaseEnd
	}
	until := s.clock + time.Since(s.clockAt) + s.leaseTime()
	s.leaseEnd = max(s.leaseEnd, until)
	return until
}

// leaseTime returns the length of a new lease. The caller holds s.t.mu.
func (s *session) leaseTime() time.Duration {
	for _, r := range s.runs {
		if r.requirements.LongRunning {
			return s.t.d.cfg.Timing.longRunningLease()
		}
	}
	return s.t.d.cfg.Timing.Lease
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
	s.recordAllLost(lossClosed)
}

// recordAllLost records all runs of the session as lost. The caller holds
// s.t.mu.
func (s *session) recordAllLost(reason loss) {
	for task, r := range s.runs {
		s.recordLost(task, r.number, reason)
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
		carried: o.Incarnation < s.agent.Incarnation, unanswered: true,
	}
	s.signal()
}

// releaseAdopted makes the adopted runs that the runner has not confirmed those of a runner
// without a session again. Runs of an incarnation that is known to have ended are not
// released. The caller holds s.t.mu.
func (s *session) releaseAdopted() {
	for task, r := range s.runs {
		if !r.adopted || r.carried || r.ended || !r.confirmed.IsZero() {
			continue
		}
		delete(s.runs, task)
		delete(s.t.requested, task)
		delete(s.t.stopping, task)
	}
}

// endAdoption records that the session has adopted the runs of earlier terms. From then on
// statuses are compared with its runs. The caller holds s.t.mu.
func (s *session) endAdoption() {
	if !s.adoptionDone {
		s.adoptionDone = true
		s.signal()
	}
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

// recordLost records a run that is not on the runner as lost. The caller holds
// s.t.mu.
func (s *session) recordLost(task carawayshift.TaskName, n int, reason loss) {
	r := s.find(task, n)
	if r == nil || r.ended {
		return
	}
	delete(s.runs, task)
	s.t.enqueueLoss(carawayshift.RunEnd{Task: task, Run: n, Checkpoint: r.checkpoint, Lingers: s.lingers(r)}, reason)
}
