package dispatcher

import (
	"errors"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// retryInterval is the pause between calls to a runner that does not
	// respond, probeInterval the pause if it has no open runs.
	retryInterval = 150 * time.Millisecond
	probeInterval = time.Second
	// maxOvertaken is how often a call is sent while later ones overtake it.
	maxOvertaken = 3
	// maxFirstCalls is the number of first calls to runners without runs that are in flight
	// at a time. A new leader would otherwise connect to thousands of runners at once.
	maxFirstCalls = 256
)

// onlyContacts reports whether the next call only makes the runner refuse earlier ones. The
// caller holds s.t.mu.
func (s *session) onlyContacts() bool { return !s.contacted && len(s.runs) == 0 }

// awaitFirstCall waits until one of maxFirstCalls may be made, if the next call is such a
// one, and returns a function that ends it. ok is false if the session has ended or been
// woken meanwhile: it may have got a run.
func (s *session) awaitFirstCall() (end func(), ok bool) {
	s.t.mu.Lock()
	first := s.onlyContacts()
	s.t.mu.Unlock()
	if !first {
		return func() {}, true
	}
	select {
	case s.t.firstCalls <- struct{}{}:
		return func() { <-s.t.firstCalls }, true
	case <-s.wake:
	case <-s.ctx.Done():
	}
	return nil, false
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

// errOvertaken is the error of a call that the runner refused since it had executed a later
// one of the session. It had no effect.
var errOvertaken = errors.New("a later call has overtaken this one; send it again")

// send makes a call like try, and sends it again if a later one has overtaken it.
func (s *session) send(raise bool, do func(call carawayshift.AgentCall) error) (err error) {
	for range maxOvertaken {
		if err = s.try(raise, do); !errors.Is(err, errOvertaken) {
			return err
		}
	}
	return err
}

// try makes a call with the session's fencing token. If raise is true, the calls after it
// have a higher one, so that a runner that has executed any of them refuses this one.
func (s *session) try(raise bool, do func(call carawayshift.AgentCall) error) error {
	call := s.nextCall(raise)
	err := do(call)
	if !s.overtaken(call, err) {
		return err
	}
	s.t.d.cfg.Metrics.GetOrCreateCounter("carawayshift_calls_overtaken_total").Inc()
	s.log.WithField("event", "overtaken").Info("the runner has executed a later call; this one had no effect")
	return errOvertaken
}

// nextCall returns the common part of a call to the runner, and raises the fencing token of
// the calls after it if raise is true.
func (s *session) nextCall(raise bool) carawayshift.AgentCall {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	call := carawayshift.AgentCall{Agent: s.agent, Fence: s.fence, Single: s.onlyContacts()}
	if raise {
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
		s.t.dropDisplaced(s, "another incarnation answers at its address")
		return true
	}
	return false
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
