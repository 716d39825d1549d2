package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

const (
	// avoidAfterRefusal is how long a runner that refused a start gets no new
	// work.
	avoidAfterRefusal = 500 * time.Millisecond
	// avoidUnhealthy is how long a runner that refused a start because it is
	// unhealthy gets no new work.
	avoidUnhealthy = 2 * time.Second
	// maxStartAttempts is how often a start without a response is sent before
	// the run is given up.
	maxStartAttempts = 3
)

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
	uncertain := repeated
	for attempt := range maxStartAttempts {
		if s.t.d.cfg.Table.OverCap(st.Task) {
			if s.withholdStart(st, uncertain) {
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
		case errors.Is(err, errOvertaken):
			continue // it had no effect, and the cap may have changed
		}
		s.log.WithError(err).WithFields(logrus.Fields{"event": "order failed", "task": st.Task.String(), "run": st.Run, "attempt": attempt + 1}).Warn("start of run not confirmed")
		if s.handleCallError(err) {
			return
		}
		var refusal *carawayshift.RefusalError
		if errors.As(err, &refusal) {
			s.startRefused(st, refusal.Reason, uncertain)
			return
		}
		s.markUnanswered(st.Task, st.Run)
		uncertain = true
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
	err = s.try(false, func(call carawayshift.AgentCall) error {
		clock, err = s.t.client.Start(ctx, call, o)
		return err
	})
	return clock, err
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
	s.recordLost(st.Task, st.Run, lossRefused)
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
