package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/throttle"
)

// throttleInterval is the interval of status requests to a runner on which
// tasks with a tail latency limit run beside best-effort tasks.
const throttleInterval = 400 * time.Millisecond

// needsThrottle reports whether tasks with a tail latency limit and best-effort
// tasks share the runner, so that it needs frequent status requests. The caller
// holds s.t.mu.
func (s *session) needsThrottle() bool {
	latencyBound, bestEffort := false, false
	for _, r := range s.runs {
		latencyBound = latencyBound || r.requirements.LongRunning && r.requirements.TailLatency > 0
		bestEffort = bestEffort || r.requirements.BestEffort
	}
	return latencyBound && bestEffort
}

// adjustThrottle slows down the best-effort tasks when a tail latency gets
// close to its limit, and speeds them up again afterwards, at once if no task with such a
// limit is left. latencyRatio is the highest ratio of a tail latency to its limit. The
// caller holds s.t.mu.
func (s *session) adjustThrottle(st carawayshift.AgentStatus) {
	limited, latencyRatio := s.needsThrottle(), 0.0
	for _, l := range st.Running {
		r := s.find(l.Task, l.Run)
		if r != nil && r.requirements.TailLatency > 0 {
			latencyRatio = max(latencyRatio, float64(l.Load)/float64(r.requirements.TailLatency.Milliseconds()))
		}
	}
	for task, r := range s.runs {
		if !r.requirements.BestEffort || r.confirmed.IsZero() {
			continue
		}
		percent := fullSpeed
		if limited {
			percent = throttle.Next(r.percent, latencyRatio)
		}
		if percent != r.percent {
			r.percent = percent
			s.sendThrottle(task, r.number, percent, latencyRatio)
		}
	}
}

// sendThrottle asks the runner to limit a task to percent. The caller holds
// s.t.mu.
func (s *session) sendThrottle(task carawayshift.TaskName, run, percent int, latencyRatio float64) {
	s.log.WithFields(logrus.Fields{"event": "paced", "task": task.String(), "run": run, "percent": percent, "worst": latencyRatio}).Info("throttling changed")
	s.t.spawn(func() {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		err := s.send(false, func(call carawayshift.AgentCall) error {
			return s.t.client.Throttle(ctx, call, task, run, percent)
		})
		if err != nil {
			s.log.WithError(err).WithField("event", "order failed").Warn("throttle request not confirmed")
			s.resetThrottle(task, run)
		}
	})
}

// resetThrottle marks the speed of a run as unknown after a failed request, so
// that the next status triggers another request. The runner refuses the failed one from
// its next call on: it would change the speed without a trace if it were executed late.
func (s *session) resetThrottle(task carawayshift.TaskName, run int) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.raiseFence()
	if r := s.find(task, run); r != nil {
		r.percent = unknownSpeed
	}
}

// unknownSpeed differs from every percentage that throttling sets, and counts
// as nearly full speed.
const unknownSpeed = 99
