package replica

import "time"

// leaseTime is how long the answer of a voter permits the leader to act. It is shorter
// than the election timeout, because a voter that has started waits that long before it
// votes, see hasJustStarted.
func (r *Replica) leaseTime() time.Duration { return r.cfg.ElectionTimeout / 2 }

// HoldsQuorum reports whether this host leads in a term and no other host can have
// been elected since: a majority of the voters has answered calls that were sent
// within leaseTime. A host that was paused or suspended learns of a new leader only
// some time later, and must not act as the leader until then. Before the answers become
// too old, it makes the voters answer again.
func (r *Replica) HoldsQuorum(term uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead == nil || r.lead.term != term || r.lead.transferee != "" {
		return false
	}
	now := time.Now()
	within := func(limit time.Duration) bool {
		return r.hasQuorum(func(p *peer) bool { return !p.refused && p.match > 0 && sentWithin(p.contact, now, limit) })
	}
	if !within(r.leaseTime() / 2) {
		r.requestAnswers(now)
	}
	return within(r.leaseTime())
}

// requestAnswers makes the leader call all voters, unless it has done so recently. The
// caller holds r.mu.
func (r *Replica) requestAnswers(now time.Time) {
	if now.Sub(r.lead.answersRequested) < r.leaseTime()/4 {
		return
	}
	r.lead.answersRequested = now
	r.lead.round++
	r.notify()
}

// sentWithin compares the wall clock as well, because the monotonic clock does not
// advance while the machine is suspended.
func sentWithin(sent, now time.Time, limit time.Duration) bool {
	return now.Sub(sent) < limit && now.Round(0).Sub(sent.Round(0)) < limit
}
