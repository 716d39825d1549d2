package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// report takes a heartbeat. A report of an older life of the runner, or one
// that was overtaken, changes nothing.
func (t *tenure) report(a carawayshift.Agent) {
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
	if !t.takeAddress(a) {
		return
	}
	if s != nil {
		t.rebirth(s, a)
	} else {
		t.sessions[a.ID] = newSession(t, a)
	}
	t.noteNew(a)
}

// recall asks the other control hosts which runners they have heard of.
func (t *tenure) recall(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recallTime)
	defer cancel()
	t.d.cfg.Recall(ctx, t.recalled)
}

// recalled takes a report that another control host has heard. It counts as
// one heartbeat older than it is: the runner may have said something else to a
// host that is lost.
func (t *tenure) recalled(x carawayshift.AgentReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := x.Agent
	age := x.Age + t.d.cfg.Timing.Heartbeat
	if t.ctx.Err() != nil || age > staleReports*t.d.cfg.Timing.Heartbeat {
		return
	}
	a.Clock += time.Duration(float64(x.Age) * (1 - clockDrift))
	heard := time.Now().Add(-age)
	s := t.sessions[a.ID]
	switch {
	case s == nil && t.takeAddress(a):
		s = newSession(t, a)
		t.sessions[a.ID] = s
		t.noteNew(a)
	case s != nil && a.Incarnation == s.agent.Incarnation && a.Sequence > s.agent.Sequence:
		if s.seen.After(heard) {
			heard = s.seen
		}
		s.update(a)
	default:
		return
	}
	s.seen = heard
}

// noteNew logs the first report of a runner in this term and plans again. It
// needs t.mu.
func (t *tenure) noteNew(a carawayshift.Agent) {
	t.log.WithFields(logrus.Fields{
		"event": "runner new", "runner": a.ID, "life": a.Incarnation, "zone": a.Zone, "rack": a.Rack, "address": a.Address,
	}).Info("runner reported for the first time")
	t.d.Wake()
}

// rebirth replaces the session of a runner that started again under its id. An
// order that was meant for the life before may have reached this one, or still
// will, so that the runs are stopped here before they count as lost. It needs
// t.mu.
func (t *tenure) rebirth(old *session, a carawayshift.Agent) *session {
	old.log.WithFields(logrus.Fields{"event": "runner reborn", "life": a.Incarnation, "runs": len(old.runs)}).Info("runner started again")
	old.cancel()
	s := newSession(t, a)
	t.sessions[a.ID] = s
	for task, r := range old.runs {
		if r.ended {
			continue
		}
		s.runs[task] = &run{run: r.run, checkpoint: r.checkpoint, need: r.need, resumed: true}
		s.stop(task, r.run)
	}
	return s
}

// takeAddress ends the sessions of older runners at the same address. It
// returns false when the address belongs to a newer runner. It needs t.mu.
func (t *tenure) takeAddress(a carawayshift.Agent) bool {
	for id, s := range t.sessions {
		if id == a.ID || s.agent.Address != a.Address {
			continue
		}
		if s.agent.Incarnation > a.Incarnation {
			return false
		}
		s.close("another runner has its address")
		delete(t.sessions, id)
	}
	return true
}

func (t *tenure) leave(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[id]; s != nil {
		s.close("the runner has left")
		delete(t.sessions, id)
	}
}

// drop forgets a session whose runner has ended.
func (t *tenure) drop(s *session, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.close(why)
	if t.sessions[s.agent.ID] == s {
		delete(t.sessions, s.agent.ID)
	}
}
