package replica

import (
	"context"
	"maps"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

// callTimeout bounds one call to a peer. It is half an election timeout, so
// that a lost message is noticed before the follower gives up on the leader.
func (r *Replica) callTimeout() time.Duration { return r.cfg.ElectionTimeout / 2 }

// pollTimeout bounds the wait for votes. A dead voter never answers, and a
// candidate with a split vote must not wait long for it.
func (r *Replica) pollTimeout() time.Duration { return r.cfg.ElectionTimeout / 4 }

// runElections stands for election when the leader has been silent.
func (r *Replica) runElections(ctx context.Context) {
	for {
		r.mu.Lock()
		wait := time.Until(r.deadline)
		due := wait <= 0 && r.lead == nil && r.isVoter()
		if wait <= 0 {
			r.postpone(r.cfg.ElectionTimeout)
			wait = time.Until(r.deadline)
		}
		r.mu.Unlock()
		if due {
			r.campaign(ctx, false)
			continue
		}
		if !r.sleep(ctx, wait) {
			return
		}
	}
}

// campaign asks for pre-votes, then for votes. A transfer skips the pre-vote,
// because the voters still hear from the old leader.
func (r *Replica) campaign(ctx context.Context, transfer bool) {
	r.mu.Lock()
	term := r.hard.Term + 1
	r.mu.Unlock()
	if !transfer && !r.poll(ctx, voteRequest{Term: term, Pre: true}) {
		r.retrySoon()
		return
	}
	if !r.candidate(ctx, term) {
		return
	}
	if !r.poll(ctx, voteRequest{Term: term, Transfer: transfer}) {
		r.retrySoon()
		return
	}
	r.becomeLeader(term)
}

// retrySoon waits less than a full election timeout after a failed attempt:
// the leader is known to be silent, only the votes were split or lost.
func (r *Replica) retrySoon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.heard) >= r.cfg.ElectionTimeout {
		r.postpone(r.cfg.ElectionTimeout / 10)
	}
}

// candidate stores the next term with the vote for this host.
func (r *Replica) candidate(ctx context.Context, term uint64) bool {
	if r.lockDisk(ctx) != nil {
		return false
	}
	defer r.unlockDisk()
	r.mu.Lock()
	h := r.hard
	ok := h.Term+1 == term && r.lead == nil && r.isVoter()
	r.mu.Unlock()
	if !ok {
		return false
	}
	h.Term, h.Vote = term, r.cfg.Host
	return r.saveHard(h, "") == nil
}

// saveHard stores term and vote. The caller holds disk.
func (r *Replica) saveHard(h journal.HardState, leader string) error {
	if err := r.journal.SetHardState(h); err != nil {
		return r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Term != r.hard.Term || r.leader == "" {
		r.leader = leader
	}
	r.hard = h
	r.notify()
	return nil
}

// adoptTerm moves to a higher term seen in a message. The caller holds disk.
func (r *Replica) adoptTerm(term uint64, leader string) error {
	r.mu.Lock()
	h := r.hard
	if term > h.Term {
		r.stepDown("a higher term exists")
	}
	r.mu.Unlock()
	if term <= h.Term {
		return nil
	}
	h.Term, h.Vote = term, ""
	return r.saveHard(h, leader)
}

// noteTerm is adoptTerm for the term of a reply.
func (r *Replica) noteTerm(ctx context.Context, term uint64) {
	r.mu.Lock()
	higher := term > r.hard.Term
	if higher {
		r.stepDown("a higher term exists")
	}
	r.mu.Unlock()
	if !higher || r.lockDisk(ctx) != nil {
		return
	}
	defer r.unlockDisk()
	_ = r.adoptTerm(term, "") // a failure stops the replica
}

// poll asks all voters at once and reports whether a majority, with this host,
// grants the vote.
func (r *Replica) poll(ctx context.Context, req voteRequest) bool {
	req.LastIndex = r.journal.LastIndex()
	req.LastTerm, _ = r.journal.Term(req.LastIndex)
	r.mu.Lock()
	req.Identity = r.hard.Identity
	list := voters(r.members())
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.pollTimeout())
	defer cancel()
	results := make(chan bool, len(list))
	asked := 0
	for _, m := range list {
		if m.Host != r.cfg.Host {
			asked++
			go func() { results <- r.askVote(ctx, m, req) }()
		}
	}
	votes := 1
	need := majority(len(list))
	for left := asked; votes < need && votes+left >= need; left-- {
		if <-results {
			votes++
		}
	}
	return votes >= need
}

// askVote asks one voter. A vote from another disk than the member's, or from
// a disk that misses what the member had acknowledged, does not count.
func (r *Replica) askVote(ctx context.Context, m Member, req voteRequest) bool {
	var reply voteReply
	if err := r.call(ctx, m.Host, methodVote, req, &reply); err != nil {
		return false
	}
	if reply.Term > r.term() {
		r.noteTerm(ctx, reply.Term)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteAcked(reply.Acked)
	if !reply.Granted {
		return false
	}
	if reply.Identity != m.Identity || reply.LastIndex < r.acked[m.Identity] {
		r.log.WithField("peer", m.Host).Warn("vote refused: the peer's data folder is not the one of its membership entry, or older; remove the peer, empty its folder, add it again")
		return false
	}
	return true
}

func (r *Replica) term() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hard.Term
}

func (r *Replica) handleVote(ctx context.Context, from string, body []byte) ([]byte, error) {
	var req voteRequest
	if err := carawayshift.Decode(body, &req); err != nil {
		return nil, err
	}
	if err := r.lockDisk(ctx); err != nil {
		return nil, err
	}
	defer r.unlockDisk()
	if !r.mayVote(from, req) {
		return r.voteReply(false)
	}
	if req.Pre {
		return r.voteReply(true)
	}
	h, ok := r.grant(from, req.Term)
	if !ok {
		return r.voteReply(false)
	}
	if err := r.saveHard(h, ""); err != nil {
		return nil, err
	}
	return r.voteReply(true)
}

// grant returns the hard state with the vote, unless another host has it. The
// next election is postponed at once: one that started while the vote is being
// stored would end the new leader's term. The caller holds disk.
func (r *Replica) grant(from string, term uint64) (journal.HardState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hard
	if term > h.Term {
		r.stepDown("a higher term exists")
		h.Term, h.Vote = term, ""
	}
	if h.Vote != "" && h.Vote != from {
		return h, false
	}
	h.Vote = from
	r.voted = time.Now()
	r.postpone(r.cfg.ElectionTimeout / 2)
	return h, true
}

// mayVote applies all rules but the one vote per term. A host that hears from
// a leader refuses, so that a host that was cut off can't disturb the group.
func (r *Replica) mayVote(from string, req voteRequest) bool {
	last := r.journal.LastIndex()
	lastTerm, _ := r.journal.Term(last)
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Term < r.hard.Term || r.hard.Refused {
		return false
	}
	if req.Pre && (req.Term <= r.hard.Term || time.Since(r.voted) < r.pollTimeout()) {
		return false // a candidate of the current term may be about to win
	}
	if !req.Transfer && (r.lead != nil || time.Since(r.heard) < r.cfg.ElectionTimeout) {
		return false
	}
	if m, ok := find(r.members(), from); ok && m.Identity != req.Identity {
		return false
	}
	if req.LastIndex < r.acked[req.Identity] {
		return false
	}
	return req.LastTerm > lastTerm || (req.LastTerm == lastTerm && req.LastIndex >= last)
}

func (r *Replica) voteReply(granted bool) ([]byte, error) {
	last := r.journal.LastIndex()
	r.mu.Lock()
	reply := voteReply{
		Term: r.hard.Term, Granted: granted, Identity: r.hard.Identity,
		LastIndex: last, Acked: maps.Clone(r.acked),
	}
	r.mu.Unlock()
	return carawayshift.Encode(reply)
}

// handleElect starts an election at once: the leader hands over to this host.
func (r *Replica) handleElect(ctx context.Context, from string, body []byte) ([]byte, error) {
	var req electRequest
	if err := carawayshift.Decode(body, &req); err != nil {
		return nil, err
	}
	r.mu.Lock()
	ok := req.Term == r.hard.Term && from == r.leader && r.isVoter()
	r.mu.Unlock()
	if !ok {
		return nil, notRun("the election was asked for by a host that is not the leader", "none is needed")
	}
	r.campaign(ctx, true)
	return carawayshift.Encode(electRequest{Term: r.term()})
}
