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
	// avoidAfterRefusal keeps new work off a runner that refused some.
	avoidAfterRefusal = 500 * time.Millisecond
	// avoidSick keeps new work off a runner that says it is unhealthy.
	avoidSick = 2 * time.Second
	// retryPause keeps calls to a runner that does not answer apart, and
	// probePause those to one on which nothing runs.
	retryPause = 150 * time.Millisecond
	probePause = time.Second
	// startTries bounds how often a start without an answer is sent again
	// before the run is given up.
	startTries = 3
)

// session is one life of a runner. Its goroutine holds the leases of what runs
// there and hears of ends. The fields are guarded by the tenure's mu.
type session struct {
	t     *tenure
	agent carawayshift.Agent
	log   logrus.FieldLogger
	seen  time.Time
	avoid time.Time
	// clock is the runner's clock at the time clockAt or before.
	clock   time.Duration
	clockAt time.Time
	// until is the latest end of a lease that was sent.
	until time.Duration
	// unanswered says that the last hold got no answer.
	unanswered bool
	// doubtful says that an order got no answer, and no hold since then has.
	doubtful bool
	runs     map[carawayshift.TaskName]*run
	// listed is the highest number of an end that was heard of, recorded the
	// highest one that is committed, acked the highest one acknowledged.
	listed, recorded, acked uint64
	wake                    chan struct{}
	ctx                     context.Context
	cancel                  context.CancelFunc
}

// run is an open run on a session's runner.
type run struct {
	run        int
	checkpoint string
	// settled is when the runner answered the start or a stop: a hold that
	// is sent later and does not list the run proves that it isn't there.
	settled time.Time
	// ended says that the end is on its way to the log.
	ended    bool
	stopping bool
	ordered  time.Time
	// resumed runs began from a checkpoint.
	resumed bool
	need    carawayshift.Step
	// percent is the pace that was ordered.
	percent  int
	progress progress.Tracker
}

// fullPace is the pace of a task at its start.
const fullPace = 100

func newSession(t *tenure, a carawayshift.Agent) *session {
	s := &session{
		t: t, agent: a, runs: map[carawayshift.TaskName]*run{}, wake: make(chan struct{}, 1),
		log: t.log.WithField("runner", a.ID),
	}
	s.ctx, s.cancel = context.WithCancel(t.ctx)
	s.update(a)
	t.spawn(s.loop)
	return s
}

// reborn replaces the session by one of the life that answered a hold. What
// that life can run is known with its first report.
func (s *session) reborn(life int64) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if s.t.sessions[s.agent.ID] != s {
		return
	}
	a := s.agent
	a.Incarnation, a.Sequence, a.Clock = life, 0, 0
	s.t.rebirth(s, a).seen = time.Time{}
}

// update takes a heartbeat of this life. It needs t.mu.
func (s *session) update(a carawayshift.Agent) {
	if a.Sequence < s.agent.Sequence {
		return
	}
	if a.Leaving && !s.agent.Leaving {
		s.log.WithFields(logrus.Fields{"event": "runner leaving", "left": a.Remaining.String()}).Info("runner is leaving")
	}
	s.agent, s.seen = a, time.Now()
	s.noteClock(a.Clock)
}

// noteClock takes a reading of the runner's clock. It needs t.mu.
func (s *session) noteClock(c time.Duration) {
	if s.clockAt.IsZero() || c >= s.clockLow(time.Now()) {
		s.clock, s.clockAt = c, time.Now()
	}
}

// clockLow is the least that the runner's clock shows at a time.
func (s *session) clockLow(now time.Time) time.Duration {
	return s.clock + time.Duration(float64(now.Sub(s.clockAt))*(1-clockDrift))
}

// lease returns the end of a new lease on the runner's clock. While the runner
// does not answer, the lease that it may have is not extended: otherwise its
// end could never be relied on. It needs t.mu.
func (s *session) lease() time.Duration {
	if s.unanswered && s.until > 0 {
		return s.until
	}
	until := s.clock + time.Since(s.clockAt) + s.t.d.cfg.Timing.Lease
	s.until = max(s.until, until)
	return until
}

// usable returns the runner when it may get new work. It needs t.mu.
func (s *session) usable(now time.Time) (carawayshift.Agent, bool) {
	fresh := now.Sub(s.seen) < staleReports*s.t.d.cfg.Timing.Heartbeat
	return s.agent, fresh && !s.agent.Leaving && now.After(s.avoid) && !s.unanswered && !s.doubtful && !s.t.d.probation.Ejected(s.agent.ID, now)
}

func (s *session) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// close ends the session: all its runs are lost. It needs t.mu.
func (s *session) close(why string) {
	if s.ctx.Err() != nil {
		return
	}
	s.cancel()
	s.log.WithFields(logrus.Fields{"event": "runner gone", "reason": why, "runs": len(s.runs)}).Info("runner has ended")
	s.giveUp()
}

// giveUp records all runs of the session as lost. It needs t.mu.
func (s *session) giveUp() {
	for task, r := range s.runs {
		s.lose(task, r.run)
	}
	s.runs = map[carawayshift.TaskName]*run{}
	s.t.d.Wake()
}

// find returns an open run, or nil. It needs t.mu.
func (s *session) find(task carawayshift.TaskName, n int) *run {
	if r := s.runs[task]; r != nil && r.run == n {
		return r
	}
	return nil
}

// adopt takes over a run of an earlier tenure. It needs t.mu.
func (s *session) adopt(h carawayshift.OpenRun) {
	s.runs[h.Task] = &run{run: h.Run, checkpoint: h.Checkpoint, ordered: h.Ordered, resumed: h.Checkpoint != "", need: h.Requirements, percent: unknownPace}
	s.t.spawn(func() { s.confirm(h.Task, h.Run) })
	s.poke()
}

// confirm finds out whether an adopted run has begun: when a hold does not
// list it, it is stopped, so that a late order can't begin it any more.
func (s *session) confirm(task carawayshift.TaskName, n int) {
	for s.ctx.Err() == nil {
		st, err := s.hold(0)
		if err != nil {
			s.missed(err)
			continue
		}
		if lists(st, task, n) {
			s.settle(task, n)
			return
		}
		break
	}
	s.halt(task, n)
}

func lists(st carawayshift.AgentStatus, task carawayshift.TaskName, n int) bool {
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

// begin sends the order to start a run. It needs t.mu.
func (s *session) begin(st carawayshift.RunStart) {
	checkpoint := s.t.d.cfg.Table.Checkpoint(st.Task)
	s.runs[st.Task] = &run{run: st.Run, checkpoint: checkpoint, ordered: time.Now(), resumed: checkpoint != "", need: s.t.d.cfg.Table.Requirements(st.Task), percent: fullPace}
	s.t.spawn(func() { s.start(st) })
}

// start sends the order until it is answered, or listed by the runner. A run
// whose start was refused is lost; one whose start stays unclear is stopped
// first.
func (s *session) start(st carawayshift.RunStart) {
	for range startTries {
		clock, err := s.sendStart(st)
		switch {
		case err == nil:
			s.begun(st, clock)
			return
		case s.ctx.Err() != nil:
			return
		}
		s.log.WithError(err).WithFields(logrus.Fields{"event": "order failed", "task": st.Task.String(), "run": st.Run}).Warn("start not confirmed")
		if s.judge(err) {
			return
		}
		var refusal *carawayshift.RefusalError
		if errors.As(err, &refusal) {
			s.refusedStart(st, refusal.Reason)
			return
		}
		if s.halting(st.Task, st.Run) {
			break
		}
		now, err := s.look()
		if err != nil {
			break
		}
		if lists(now, st.Task, st.Run) {
			s.settle(st.Task, st.Run)
			return
		}
	}
	s.t.stopGang(st.Task, "another member's start is unclear")
	s.halt(st.Task, st.Run)
}

// look asks a runner that left an order unanswered for its lists. Until it
// answers, it gets no new work.
func (s *session) look() (carawayshift.AgentStatus, error) {
	s.t.mu.Lock()
	s.doubtful = true
	s.t.mu.Unlock()
	st, err := s.hold(0)
	if err != nil {
		s.missed(err)
		s.poke()
	}
	return st, err
}

func (s *session) sendStart(st carawayshift.RunStart) (time.Duration, error) {
	s.t.mu.Lock()
	r := s.runs[st.Task]
	o := carawayshift.RunRequest{Task: st.Task, Run: st.Run, Spec: s.t.d.cfg.Table.Spec(st.Task.Batch), Until: s.lease()}
	if r != nil {
		o.Checkpoint = r.checkpoint
	}
	o.Ticket = s.t.ticketFor(st.Task, s.agent.ID)
	order := s.order()
	s.t.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	return s.t.d.cfg.Client.Start(ctx, order, o)
}

// order needs t.mu.
func (s *session) order() carawayshift.AgentCall {
	return carawayshift.AgentCall{Agent: s.agent, Fence: s.t.term}
}

func (s *session) begun(st carawayshift.RunStart, clock time.Duration) {
	s.t.mu.Lock()
	r := s.runs[st.Task]
	if r != nil {
		s.t.d.cfg.Metrics.GetOrCreateHistogram(`carawayshift_batch_stage_seconds{stage="order"}`).UpdateDuration(r.ordered)
	}
	s.noteClock(clock)
	s.t.mu.Unlock()
	s.log.WithFields(logrus.Fields{"event": "begun", "batch": st.Task.Batch, "task": st.Task.String(), "run": st.Run}).Info("task begun")
	s.settle(st.Task, st.Run)
}

// settle notes that the runner has answered for a run, and holds its lease.
func (s *session) settle(task carawayshift.TaskName, n int) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if r := s.find(task, n); r != nil {
		r.settled = time.Now()
	}
	s.poke()
}

// refusedStart gives up a run that the runner did not begin, for another reason
// than those that judge handles.
func (s *session) refusedStart(st carawayshift.RunStart, why carawayshift.Refusal) {
	if why == carawayshift.RefusedStaleRun {
		// The run has been there and ended, or was stopped: the lists tell.
		s.halt(st.Task, st.Run)
		return
	}
	s.t.stopGang(st.Task, "another member was refused")
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.t.dropTicket(st.Task, s.agent.ID)
	s.avoid = time.Now().Add(avoidAfterRefusal)
	if why == carawayshift.RefusedUnhealthy {
		s.avoid = time.Now().Add(avoidSick)
	}
	s.lose(st.Task, st.Run)
}

// lose records a run that is not on the runner. It needs t.mu.
func (s *session) lose(task carawayshift.TaskName, n int) {
	r := s.find(task, n)
	if r == nil || r.ended {
		return
	}
	delete(s.runs, task)
	s.t.queueEnd(carawayshift.RunEnd{Task: task, Run: n, Outcome: carawayshift.RunLost, Checkpoint: r.checkpoint}, nil)
}

// stop ends a run. It needs t.mu.
func (s *session) stop(task carawayshift.TaskName, n int) {
	s.t.spawn(func() { s.halt(task, n) })
}

func (s *session) halting(task carawayshift.TaskName, n int) bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	r := s.find(task, n)
	return r == nil || r.stopping
}

// halt sends a stop until the runner answers. Then the run either is listed
// until it has ended, or can't begin any more.
func (s *session) halt(task carawayshift.TaskName, n int) {
	s.t.mu.Lock()
	r := s.find(task, n)
	if r == nil || r.stopping {
		s.t.mu.Unlock()
		return
	}
	r.stopping = true
	s.t.mu.Unlock()
	for s.ctx.Err() == nil {
		s.t.mu.Lock()
		order, given := s.order(), s.runs[task] != r
		s.t.mu.Unlock()
		if given {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		clock, err := s.t.d.cfg.Client.Stop(ctx, order, task, n)
		cancel()
		if err == nil {
			s.t.mu.Lock()
			s.noteClock(clock)
			s.t.mu.Unlock()
			s.settle(task, n)
			return
		}
		if s.judge(err) {
			return
		}
		s.log.WithError(err).WithFields(logrus.Fields{"event": "order failed", "task": task.String(), "run": n}).Warn("stop not confirmed")
		pause.For(s.ctx, retryPause)
	}
}

// judge draws the conclusion from a failed call and reports whether the
// session or the tenure is over. A connection that is refused proves nothing:
// it may have been reset on the way to a runner that works on.
func (s *session) judge(err error) bool {
	var refusal *carawayshift.RefusalError
	switch {
	case s.ctx.Err() != nil:
		return true
	case errors.As(err, &refusal) && refusal.Reason == carawayshift.RefusedFence:
		s.log.Warn("a newer leader has called this runner")
		s.t.resign()
		return true
	case errors.As(err, &refusal) && refusal.Reason == carawayshift.RefusedIncarnation:
		s.t.drop(s, "another life answers at its address")
		return true
	}
	return false
}
