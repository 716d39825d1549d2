package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

// loop holds the runner's leases while something runs there, and otherwise
// waits for work.
func (s *session) loop() {
	for s.ctx.Err() == nil {
		busy, ack := s.work()
		if !busy && !ack {
			select {
			case <-s.ctx.Done():
			case <-s.wake:
			}
			continue
		}
		wait := holdWait
		if !busy {
			wait = 0
		}
		sent := time.Now()
		st, err := s.hold(wait)
		if err != nil {
			s.missed(err)
			continue
		}
		s.heard(st, sent)
	}
}

// work tells whether a run needs its lease, and whether a short call is due:
// ends wait for their acknowledgement, or the runner has not answered.
func (s *session) work() (busy, ack bool) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	for _, r := range s.runs {
		busy = busy || !r.settled.IsZero()
	}
	return busy, s.recorded > s.acked || s.unanswered
}

func (s *session) hold(wait time.Duration) (carawayshift.AgentStatus, error) {
	s.t.mu.Lock()
	order, seen, until := s.order(), s.recorded, s.lease()
	if s.paced() {
		wait = min(wait, paceLook)
	}
	for _, r := range s.runs {
		// A run that is about to end is worth a look soon.
		if r.stopping {
			wait = min(wait, s.t.d.cfg.Timing.Stop)
		}
	}
	s.t.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, wait+callTimeout)
	defer cancel()
	st, err := s.t.d.cfg.Client.Renew(ctx, order, seen, until, wait)
	if err != nil {
		return st, err
	}
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.acked = max(s.acked, seen)
	s.unanswered, s.doubtful = false, false
	s.noteClock(st.Clock)
	return st, nil
}

// missed handles a hold without an answer. Once the leases have certainly
// ended, the runner's runs are lost; the runner is asked on until it answers.
func (s *session) missed(err error) {
	if s.judge(err) {
		return
	}
	s.t.mu.Lock()
	first := !s.unanswered
	s.unanswered = true
	lapsed := len(s.runs) > 0 && s.clockLow(time.Now()) > s.until+s.t.d.cfg.Timing.Stop
	runs := len(s.runs)
	if lapsed {
		s.giveUp()
	}
	s.t.mu.Unlock()
	entry := s.log.WithError(err).WithFields(logrus.Fields{"event": "hold failed", "runs": runs, "lapsed": lapsed})
	if first || lapsed {
		entry.Warn("runner does not answer")
	}
	wait := retryPause
	if runs == 0 || lapsed {
		wait = probePause
	}
	pause.For(s.ctx, wait)
}

// heard takes a runner's lists: ends go to the log, runs that are not listed
// are lost, and what should not run is stopped.
func (s *session) heard(st carawayshift.AgentStatus, sent time.Time) {
	if st.Incarnation != 0 && s.agent.Incarnation != 0 && st.Incarnation != s.agent.Incarnation {
		s.reborn(st.Incarnation)
		return
	}
	wait := s.takeEnds(st.Ended)
	s.compare(st, sent)
	if wait != nil {
		select {
		case <-wait:
		case <-s.ctx.Done():
		}
	}
}

// takeEnds passes new ends on to the log. The channel is closed when all are
// committed; it is nil without new ends.
func (s *session) takeEnds(list []carawayshift.EndReport) <-chan struct{} {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	var last chan struct{}
	for _, e := range list {
		if e.Number <= s.listed {
			continue
		}
		s.listed = e.Number
		done := make(chan struct{})
		last = done
		number := e.Number
		if r := s.find(e.Task, e.Run); r != nil {
			r.ended = true
			s.observe(e, r)
		}
		s.t.queueEnd(e.RunEnd, func() { s.noteRecorded(e.RunEnd, number, done) })
	}
	if last == nil {
		return nil
	}
	return last
}

// observe learns from an end: the run time of a task that ran from its start,
// and whether the runner fails what others run.
func (s *session) observe(e carawayshift.EndReport, r *run) {
	switch e.Outcome {
	case carawayshift.RunFinished:
		s.t.d.probation.RecordSuccess(s.agent.ID)
	case carawayshift.RunFailed:
		s.t.d.probation.RecordFailure(s.agent.ID, e.Task.Batch, time.Now())
	}
	// One task speaks for its step: the others share its declaration.
	if e.Outcome == carawayshift.RunFinished && e.Task.Index == 0 && !r.resumed && !r.ordered.IsZero() {
		s.t.d.took.Observe(s.t.d.cfg.Table.QueueOf(e.Task.Batch), r.need.Declared, time.Since(r.ordered))
	}
}

func (s *session) noteRecorded(e carawayshift.RunEnd, number uint64, done chan struct{}) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.recorded = max(s.recorded, number)
	if s.find(e.Task, e.Run) != nil {
		delete(s.runs, e.Task)
	}
	close(done)
}

// compare sets the runner's list of runs against the runs that should be
// there.
func (s *session) compare(st carawayshift.AgentStatus, sent time.Time) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	listed := map[carawayshift.TaskName]int{}
	for _, r := range st.Running {
		listed[r.Task] = r.Run
		if known := s.find(r.Task, r.Run); known != nil {
			if r.Checkpoint != "" {
				known.checkpoint = r.Checkpoint
			}
			known.progress.Update(r.Percent, time.Now())
			continue
		}
		s.unexpected(r)
	}
	s.setPace(st)
	for task, r := range s.runs {
		if listed[task] == r.run || r.ended || r.settled.IsZero() || !r.settled.Before(sent) {
			continue
		}
		s.log.WithFields(logrus.Fields{"event": "run missing", "task": task.String(), "run": r.run}).Warn("runner does not list the run")
		s.lose(task, r.run)
	}
}

// unexpected stops a run that a late order began. It needs t.mu.
func (s *session) unexpected(r carawayshift.RunReport) {
	s.log.WithFields(logrus.Fields{"event": "run unexpected", "task": r.Task.String(), "run": r.Run}).Warn("stopping a run that was begun late")
	order := s.order()
	s.t.spawn(func() {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if _, err := s.t.d.cfg.Client.Stop(ctx, order, r.Task, r.Run); err != nil {
			s.judge(err) // the next hold lists the run again
		}
	})
}
