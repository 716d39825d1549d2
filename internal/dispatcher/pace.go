package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/throttle"
)

// paceLook is the interval of looks at a runner on which tasks with a bound on
// their response times run beside tasks that fill.
const paceLook = 400 * time.Millisecond

// paced tells whether a runner needs frequent looks. It needs t.mu.
func (s *session) paced() bool {
	serving, filling := false, false
	for _, r := range s.runs {
		serving = serving || r.need.LongRunning && r.need.TailLatency > 0
		filling = filling || r.need.BestEffort
	}
	return serving && filling
}

// setPace slows the tasks that fill when a tail nears its bound, and lets them
// work faster again. It needs t.mu.
func (s *session) setPace(st carawayshift.AgentStatus) {
	if !s.paced() {
		return
	}
	worst := 0.0
	for _, l := range st.Running {
		r := s.find(l.Task, l.Run)
		if r != nil && r.need.TailLatency > 0 {
			worst = max(worst, float64(l.Load)/float64(r.need.TailLatency.Milliseconds()))
		}
	}
	for task, r := range s.runs {
		if !r.need.BestEffort || r.settled.IsZero() {
			continue
		}
		percent := throttle.Next(r.percent, worst)
		if percent != r.percent {
			r.percent = percent
			s.sendPace(task, r.run, percent, worst)
		}
	}
}

// sendPace needs t.mu.
func (s *session) sendPace(task carawayshift.TaskName, run, percent int, worst float64) {
	order := s.order()
	s.log.WithFields(logrus.Fields{"event": "paced", "task": task.String(), "run": run, "percent": percent, "worst": worst}).Info("pace set")
	s.t.spawn(func() {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if err := s.t.d.cfg.Client.Throttle(ctx, order, task, run, percent); err != nil {
			s.log.WithError(err).WithField("event", "order failed").Warn("pace not confirmed")
			s.unpace(task, run)
		}
	})
}

// unpace forgets a pace that was not confirmed, so that the next look sends
// one again.
func (s *session) unpace(task carawayshift.TaskName, run int) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if r := s.find(task, run); r != nil {
		r.percent = unknownPace
	}
}

// unknownPace differs from every pace and counts as nearly full.
const unknownPace = 99
