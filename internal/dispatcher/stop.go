package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

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

// stopUnexpected stops a run that a delayed start request began. The caller
// holds s.t.mu.
func (s *session) stopUnexpected(r carawayshift.RunReport) {
	s.log.WithFields(logrus.Fields{"event": "run unexpected", "task": r.Task.String(), "run": r.Run}).Warn("stopping a run that a delayed request started")
	s.t.spawn(func() {
		if _, err := s.callStop(r.Task, r.Run); err != nil {
			s.handleCallError(err) // the next renewal lists the run again
		}
	})
}
