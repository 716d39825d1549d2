package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// report handles a heartbeat. A report of an older incarnation of the runner,
// or one that arrives after a later one, is ignored.
func (t *leaderTerm) report(a carawayshift.Agent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil || t.ctx.Err() != nil {
		return
	}
	s := t.sessions[a.ID]
	if s != nil && a.Incarnation == s.agent.Incarnation {
		s.update(a)
		return
	}
	if s != nil && a.Incarnation < s.agent.Incarnation {
		return
	}
	if !t.claimAddress(a) {
		return
	}
	if s != nil {
		t.replaceSession(s, a)
	} else {
		t.sessions[a.ID] = newSession(t, a)
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
	age := x.Age + t.d.cfg.Timing.Heartbeat
	if t.ctx.Err() != nil || age > staleAfterHeartbeats*t.d.cfg.Timing.Heartbeat {
		return
	}
	a.Clock += time.Duration(float64(x.Age) * (1 - clockDrift))
	received := time.Now().Add(-age)
	s := t.sessions[a.ID]
	switch {
	case s == nil && t.claimAddress(a):
		s = newSession(t, a)
		t.sessions[a.ID] = s
		t.handleNewRunner(a)
	case s != nil && a.Incarnation == s.agent.Incarnation && a.Sequence > s.agent.Sequence:
		if s.lastReport.After(received) {
			received = s.lastReport
		}
		s.update(a)
	default:
		return
	}
	s.lastReport = received
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
// one, or may still do so. The open runs are therefore stopped on the new
// incarnation before they are recorded as lost. The caller holds t.mu.
func (t *leaderTerm) replaceSession(old *session, a carawayshift.Agent) *session {
	old.log.WithFields(logrus.Fields{"event": "runner reborn", "life": a.Incarnation, "runs": len(old.runs)}).Info("runner restarted")
	old.cancel()
	s := newSession(t, a)
	t.sessions[a.ID] = s
	for task, r := range old.runs {
		if r.ended {
			continue
		}
		s.runs[task] = &run{number: r.number, checkpoint: r.checkpoint, requirements: r.requirements, resumed: true}
		s.stop(task, r.number)
	}
	return s
}

// claimAddress closes the sessions of older runners with the same address. It
// returns false when the address belongs to a newer runner. The caller holds
// t.mu.
func (t *leaderTerm) claimAddress(a carawayshift.Agent) bool {
	for id, s := range t.sessions {
		if id == a.ID || s.agent.Address != a.Address {
			continue
		}
		if s.agent.Incarnation > a.Incarnation {
			return false
		}
		s.close("another runner uses its address")
		delete(t.sessions, id)
	}
	return true
}

func (t *leaderTerm) leave(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[id]; s != nil {
		s.close("the runner has left")
		delete(t.sessions, id)
	}
}

// dropSession closes and removes the session of a runner that has exited.
func (t *leaderTerm) dropSession(s *session, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.close(reason)
	if t.sessions[s.agent.ID] == s {
		delete(t.sessions, s.agent.ID)
	}
}
