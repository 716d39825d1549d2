package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// report handles a heartbeat.
func (t *leaderTerm) report(a carawayshift.Agent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handleReport(a, time.Now())
}

// handleReport handles a runner's report. A report of an older incarnation, or one that
// arrives after a later one, is ignored, as is one of a service that nobody uses. A
// report that contradicts what is known of a runner is verified first: it may be late,
// or come from another sender. The caller holds t.mu.
func (t *leaderTerm) handleReport(a carawayshift.Agent, received time.Time) {
	if t.ctx == nil || t.ctx.Err() != nil || t.hasLeft(a) {
		return
	}
	s := t.sessions[a.ID]
	switch {
	case s != nil && (a.Incarnation < s.agent.Incarnation || s.predates(a)):
	case s == nil && !t.d.cfg.Table.UsesService(a.Service), s != nil && s.contradicts(a):
		t.log.WithFields(logrus.Fields{"event": "report ignored", "runner": a.ID, "service": a.Service, "address": a.Address}).Warn("report of a service that is not in use, or of another one than the runner's; ignoring it")
	case t.displacesRunner(a):
		t.verifyReport(a, received)
	default:
		t.admit(a, received)
	}
}

// displacesRunner reports whether the runner that a describes would take the place of a
// known one: the address of another runner, another address than before, or the id of an
// earlier incarnation. The caller holds t.mu.
func (t *leaderTerm) displacesRunner(a carawayshift.Agent) bool {
	if s := t.sessions[a.ID]; s != nil && (a.Incarnation != s.agent.Incarnation || a.Address != s.agent.Address) {
		return true
	}
	return t.addressHolder(a) != nil
}

// addressHolder returns the session of another runner at the address of a, or nil. The
// caller holds t.mu.
func (t *leaderTerm) addressHolder(a carawayshift.Agent) *session {
	s := t.addresses[a.Address]
	if s == nil || s.agent.ID == a.ID || s.agent.Address != a.Address {
		return nil
	}
	return s
}

// verifyReport asks the reported address for its runner, and admits the reported runner
// if it answers. The request grants no lease and acknowledges no ends. Without an answer
// the next report is verified again. The caller holds t.mu.
func (t *leaderTerm) verifyReport(a carawayshift.Agent, received time.Time) {
	if t.verifying[a.ID] {
		return
	}
	t.verifying[a.ID] = true
	fence, holder, sent := t.verificationFence(a), t.addressHolder(a), time.Now()
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		defer cancel()
		st, err := t.client.Renew(ctx, carawayshift.AgentCall{Agent: a, Fence: fence}, 0, 0, 0)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.verifying, a.ID)
		if err != nil || st.Incarnation != a.Incarnation {
			t.log.WithError(err).WithFields(logrus.Fields{
				"event": "report not verified", "runner": a.ID, "life": a.Incarnation, "address": a.Address,
			}).Warn("the reported runner does not answer at its address; ignoring the report")
			return
		}
		if now := t.addressHolder(a); now != nil && (now != holder || now.answered.After(sent)) {
			return // this answer may be older than that runner; the next report is verified again
		}
		t.admit(a, received)
	})
}

// verificationFence returns the fencing token of a request that verifies a report: one that
// a known runner accepts, and that makes it refuse no call of its session. The caller holds
// t.mu.
func (t *leaderTerm) verificationFence(a carawayshift.Agent) uint64 {
	fence := t.term << fenceBits
	for _, s := range []*session{t.sessions[a.ID], t.addresses[a.Address]} {
		if s != nil {
			fence = max(fence, s.fence)
		}
	}
	return fence
}

// admit stores what a runner has reported. It closes the session of another runner at
// its address. The caller holds t.mu.
func (t *leaderTerm) admit(a carawayshift.Agent, received time.Time) {
	s := t.sessions[a.ID]
	if t.ctx.Err() != nil || t.hasLeft(a) || s != nil && a.Incarnation < s.agent.Incarnation {
		return
	}
	if other := t.addressHolder(a); other != nil {
		t.closeDisplaced(other, "another runner uses its address")
	}
	switch {
	case s == nil:
		t.sessions[a.ID] = newSession(t, a, received)
	case a.Incarnation == s.agent.Incarnation:
		s.update(a, received)
		return
	default:
		t.replaceSession(s, a, received)
	}
	t.handleNewRunner(a)
}

// recall asks the other control hosts which runners have reported to them.
func (t *leaderTerm) recall(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	t.d.cfg.Recall(ctx, t.handleRecalled)
}

// handleRecalled handles a report that another control host received. One
// heartbeat interval is added to its age: the runner may have sent a later
// report to a host that has failed.
func (t *leaderTerm) handleRecalled(x carawayshift.AgentReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := x.Agent
	if x.Left {
		t.endIncarnation(a.ID, a.Incarnation)
		return
	}
	age := x.Age + x.Delay + t.d.cfg.Timing.Heartbeat
	if age > staleAfterHeartbeats*t.d.cfg.Timing.Heartbeat {
		return
	}
	a.Clock += time.Duration(float64(x.Age) * (1 - clockDrift))
	t.handleReport(a, time.Now().Add(-age))
}

// handleNewRunner logs the first report of a runner in this term and triggers a
// plan. The caller holds t.mu.
func (t *leaderTerm) handleNewRunner(a carawayshift.Agent) {
	t.log.WithFields(logrus.Fields{
		"event": "runner new", "runner": a.ID, "life": a.Incarnation, "zone": a.Zone, "rack": a.Rack, "address": a.Address,
	}).Info("first report of this runner in the term")
	t.d.Wake()
}

// replaceSession replaces the session of a runner that restarted with the same
// ID. A start request for the previous incarnation may have reached the new
// one, or may still do so, unless that incarnation has confirmed or listed the run and
// each request was answered. The open runs are therefore adopted: the status of the new
// incarnation decides which go on there, and the others are stopped before they are
// recorded as lost. The caller holds t.mu.
func (t *leaderTerm) replaceSession(old *session, a carawayshift.Agent, received time.Time) {
	old.log.WithFields(logrus.Fields{"event": "runner reborn", "life": a.Incarnation, "runs": len(old.runs)}).Info("runner restarted")
	old.cancel()
	t.removeSession(old)
	s := newSession(t, a, received)
	s.adoptionDone = old.adoptionDone
	t.sessions[a.ID] = s
	for task, r := range old.runs {
		if r.ended {
			continue
		}
		s.runs[task] = &run{
			number: r.number, checkpoint: r.checkpoint, requested: r.requested, resumed: true, requirements: r.requirements,
			percent: unknownSpeed, adopted: true, carried: true, unanswered: r.unanswered || r.adopted || !r.begun,
		}
		if r.stopping {
			s.stop(task, r.number)
		}
	}
}

// closeSession closes a session and removes it. The caller holds t.mu.
func (t *leaderTerm) closeSession(s *session, reason string) {
	s.close(reason)
	t.removeSession(s)
}

// closeDisplaced closes the session of a runner at whose address another one answers. That
// proves that the runner is gone only if it has answered there itself. Otherwise its address
// may come from a late report of an earlier incarnation, or from another sender: the runs of
// earlier leaders are left for a session at another address, or until the leases of those
// leaders have expired. The caller holds t.mu.
func (t *leaderTerm) closeDisplaced(s *session, reason string) {
	if !s.contacted {
		s.releaseAdopted()
	}
	t.closeSession(s, reason)
}

// removeSession removes a session unless another one has replaced it. The caller
// holds t.mu.
func (t *leaderTerm) removeSession(s *session) {
	if t.sessions[s.agent.ID] == s {
		delete(t.sessions, s.agent.ID)
	}
	if t.addresses[s.agent.Address] == s {
		delete(t.addresses, s.agent.Address)
	}
}

// leave handles a runner's exit. Without an incarnation, the message may be late
// and come from an earlier incarnation: it then counts only for a runner that has
// announced its exit.
func (t *leaderTerm) leave(id string, incarnation int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[id]
	switch {
	case incarnation != 0:
		t.endIncarnation(id, incarnation)
	case s != nil && s.agent.Leaving:
		t.endIncarnation(id, s.agent.Incarnation)
	case s != nil:
		s.log.WithField("event", "leave ignored").Warn("a runner that has not announced its exit has deregistered; its silence will show whether it has exited")
	}
}

const reasonLeft = "the runner has left"

// endIncarnation closes the session of an incarnation that has exited, and makes
// late reports of it count no more. The caller holds t.mu.
func (t *leaderTerm) endIncarnation(id string, incarnation int64) {
	if before := t.left[id]; incarnation >= before.incarnation {
		t.left[id] = exit{incarnation, time.Now()}
	}
	s := t.sessions[id]
	if s != nil && s.agent.Incarnation <= incarnation {
		s.endAfterRuns()
	}
}

// exit is the exit of an incarnation of a runner.
type exit struct {
	incarnation int64
	at          time.Time
}

// hasLeft reports whether the incarnation that sent a report has exited since. The
// caller holds t.mu.
func (t *leaderTerm) hasLeft(a carawayshift.Agent) bool {
	x, ok := t.left[a.ID]
	return ok && a.Incarnation <= x.incarnation
}

// dropDisplaced is closeDisplaced for callers that don't hold t.mu.
func (t *leaderTerm) dropDisplaced(s *session, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeDisplaced(s, reason)
}
