package dispatcher

import (
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// lingers returns how long a run that is recorded as lost counts against its team's cap:
// 0, unless a start request of it may still be carried out, by this incarnation of the
// runner or a later one, which then keeps the run for a lease. A runner that has listed
// the run or has answered a start or stop of it refuses such a request, but not a later
// incarnation, which is to be expected once it has deregistered. The caller holds the term's
// mu.
func (s *session) lingers(r *run) time.Duration {
	next := s.exited && r.unanswered
	if !next && (!r.confirmed.IsZero() || !r.unanswered && !r.adopted) {
		return 0
	}
	return lateCallLimit + s.t.leaseExpiry()
}

// withholdStart gives up a run whose team is above its cap, which was lowered after the
// start was committed. It returns false if an earlier request may still be carried out, so
// that the run must be stopped first.
func (s *session) withholdStart(st carawayshift.RunStart, uncertain bool) bool {
	s.log.WithFields(logrus.Fields{"event": "start withheld", "task": st.Task.String(), "run": st.Run}).Info("the team is above its cap, which was lowered; the run is given up")
	if uncertain {
		return false
	}
	s.t.stopGang(st.Task, "the start of another gang member is held back by the team's cap")
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.recordLost(st.Task, st.Run, lossOverCap)
	return true
}
