package replica

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

// turnsPerTimeout is the number of hosts that start an election one after the other
// within an election timeout, see scheduleAfterStart. A vote between regions takes 70 ms.
const turnsPerTimeout = 15

// callTimeout is the timeout of one call to a peer. It is half an election
// timeout, so that a lost message is detected before the follower's election
// timer expires.
func (r *Replica) callTimeout() time.Duration { return r.cfg.ElectionTimeout / 2 }

// voteTimeout is the time to wait for votes. A failed voter never answers, and
// a candidate whose vote was split must be able to retry soon.
func (r *Replica) voteTimeout() time.Duration { return r.cfg.ElectionTimeout / 4 }

// lateVoteTime is how long a candidate that could win later waits for the other voters.
func (r *Replica) lateVoteTime() time.Duration { return r.cfg.ElectionTimeout / 10 }

// runElections starts an election when no message of a leader arrived before
// the election timer expired.
func (r *Replica) runElections(ctx context.Context) {
	for {
		r.mu.Lock()
		wait := time.Until(r.electionDeadline)
		due := wait <= 0 && r.lead == nil && r.isVoter()
		if wait <= 0 {
			r.resetElectionTimer(r.cfg.ElectionTimeout)
			wait = time.Until(r.electionDeadline)
		}
		r.mu.Unlock()
		if due && r.hasSpace(ctx) {
			r.campaign(ctx, false)
			continue
		}
		if !r.sleep(ctx, wait) {
			return
		}
	}
}

// campaign requests pre-votes, then votes. A leadership transfer skips the
// pre-vote, because the voters still receive messages of the old leader.
func (r *Replica) campaign(ctx context.Context, transfer bool) {
	r.mu.Lock()
	term := r.hardState.Term + 1
	r.mu.Unlock()
	var instances map[string]uint64
	if !transfer {
		b := r.requestVotes(ctx, voteRequest{Term: term, Pre: true}, nil)
		switch {
		case b.won() && !r.yields():
		case b.wonLater():
			r.scheduleAfterStart()
			return
		default:
			r.scheduleRetry()
			return
		}
		if b.unanimous() {
			instances = b.instances
		}
	}
	if !r.becomeCandidate(ctx, term) {
		return
	}
	if !r.requestVotes(ctx, voteRequest{Term: term, Transfer: transfer}, instances).won() {
		r.scheduleRetry()
		return
	}
	r.becomeLeader(term)
}

// scheduleRetry sets a shorter election timer after a failed election: no message
// of a leader has arrived for an election timeout, only the votes were split or
// lost.
func (r *Replica) scheduleRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.leaderContact) >= r.cfg.ElectionTimeout {
		r.resetElectionTimer(r.cfg.ElectionTimeout / 10)
	}
}

// scheduleAfterStart sets the election timer after a pre-vote that a majority grants, but
// that is not won yet because voters have just started, or that another host is to win.
// This host tries again at once, as all voters may be back, and when it may vote itself.
// The hosts do the latter one after the other, since most of them start at the same time
// and their votes would be split.
func (r *Replica) scheduleAfterStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.leaderContact) < r.cfg.ElectionTimeout {
		return
	}
	pause := r.cfg.ElectionTimeout/40 + time.Duration(r.rng.Int64N(int64(r.cfg.ElectionTimeout/15)))
	r.electionDeadline = time.Now().Add(pause)
	if turn := r.firstTurn(); r.electionDeadline.Before(turn) && time.Until(turn) < pause+r.voteTimeout() {
		r.electionDeadline = turn
	}
}

// firstTurn returns when this host starts an election after its start: once it may vote,
// and after the voters before it. The caller holds r.mu.
func (r *Replica) firstTurn() time.Time {
	return r.started.Add(r.startDelay() + time.Duration(r.turn(r.cfg.Host))*r.cfg.ElectionTimeout/turnsPerTimeout)
}

// turn returns the number of voters that come before a host: those in the region of most
// voters first. The caller holds r.mu.
func (r *Replica) turn(host string) int {
	list := voters(r.members())
	home := majorityRegion(list)
	slices.SortFunc(list, func(a, b Member) int {
		if (a.Region == home) != (b.Region == home) {
			if a.Region == home {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Host, b.Host)
	})
	return slices.IndexFunc(list, func(m Member) bool { return m.Host == host })
}

// yields reports whether this host leaves an election to a voter before it that has just
// asked for a pre-vote, as the votes would be split. It does so once, in case that voter
// can't win.
func (r *Replica) yields() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.yielded = !r.yielded && time.Since(r.earlierAsked) < r.cfg.ElectionTimeout/turnsPerTimeout
	return r.yielded
}

// becomeCandidate stores the next term with a vote for this host.
func (r *Replica) becomeCandidate(ctx context.Context, term uint64) bool {
	if r.lockDisk(ctx) != nil {
		return false
	}
	defer r.unlockDisk()
	r.mu.Lock()
	h := r.hardState
	ok := h.Term+1 == term && r.lead == nil && r.isVoter()
	r.mu.Unlock()
	if !ok {
		return false
	}
	h.Term, h.Vote = term, r.cfg.Host
	return r.saveHardState(h, "") == nil
}

// saveHardState stores term and vote. The caller holds diskLock.
func (r *Replica) saveHardState(h journal.HardState, leader string) error {
	if err := r.journal.SetHardState(h); err != nil {
		return r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Term != r.hardState.Term || r.leader == "" {
		r.leader = leader
	}
	r.hardState = h
	if r.lead != nil && r.lead.term < h.Term {
		r.stepDown("a higher term was stored while this host won an election")
	}
	r.notify()
	return nil
}

// adoptTerm stores a higher term that a message carried. The caller holds
// diskLock.
func (r *Replica) adoptTerm(term uint64, leader string) error {
	r.mu.Lock()
	h := r.hardState
	if term > h.Term {
		r.stepDown("a higher term exists")
	}
	r.mu.Unlock()
	if term <= h.Term {
		return nil
	}
	h.Term, h.Vote = term, ""
	return r.saveHardState(h, leader)
}

// adoptReplyTerm is adoptTerm for the term of a reply; it takes diskLock itself.
func (r *Replica) adoptReplyTerm(ctx context.Context, term uint64) {
	r.mu.Lock()
	higher := term > r.hardState.Term
	if higher {
		r.stepDown("a higher term exists")
	}
	r.mu.Unlock()
	if !higher || r.lockDisk(ctx) != nil {
		return
	}
	defer r.unlockDisk()
	_ = r.adoptTerm(term, "") // saveHardState stops the replica on an error
}

// requestVotes asks all voters in parallel until the votes decide. instances is sent
// with the requests, each voter its own; it may be nil.
func (r *Replica) requestVotes(ctx context.Context, req voteRequest, instances map[string]uint64) *ballot {
	req.LastIndex = r.journal.LastIndex()
	req.LastTerm, _ = r.journal.Term(req.LastIndex)
	r.mu.Lock()
	req.Identity = r.hardState.Identity
	list := voters(r.members())
	b := newBallot(len(list))
	b.add(r.cfg.Host, r.ownVote(req, instances))
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.voteTimeout())
	defer cancel()
	type result struct {
		host  string
		reply voteReply
	}
	results := make(chan result, len(list))
	asked := 0
	for _, m := range list {
		if m.Host != r.cfg.Host {
			asked++
			mine := req
			mine.Instance = instances[m.Host]
			go func() { results <- result{m.Host, r.requestVote(ctx, m, mine)} }()
		}
	}
	var late *time.Timer
	for left := asked; left > 0 && !b.won() && b.open(left); left-- {
		if late == nil && b.wonLater() {
			// Only the votes of all voters can win now. One that is down does not answer.
			late = time.AfterFunc(r.lateVoteTime(), cancel)
		}
		v := <-results
		b.add(v.host, v.reply)
	}
	return b
}

// ownVote returns this host's vote for itself. The same condition holds as for the votes
// of others, see canGrant. The caller holds r.mu.
func (r *Replica) ownVote(req voteRequest, instances map[string]uint64) voteReply {
	started := r.hasJustStarted()
	return voteReply{
		Granted: req.Pre || req.Transfer || instances != nil || !started, Instance: r.instance, Conditional: req.Pre && started,
	}
}

// requestVote asks one voter. The vote does not count when the voter's disk is
// not the one in the membership, or lacks entries that the member acknowledged.
func (r *Replica) requestVote(ctx context.Context, m Member, req voteRequest) voteReply {
	var reply voteReply
	if err := r.call(ctx, m.Host, methodVote, req, &reply); err != nil {
		return voteReply{}
	}
	if reply.Term > r.term() {
		r.adoptReplyTerm(ctx, reply.Term)
		return voteReply{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordAcked(reply.Acked)
	if !reply.Granted {
		return voteReply{}
	}
	if reply.Identity != m.Identity || reply.LastIndex < r.acked[m.Identity] {
		r.log.WithField("peer", m.Host).Warn("vote ignored: the peer's data folder is not the one of its membership entry, or is older; remove the peer, empty its folder, add it again")
		return voteReply{}
	}
	return reply
}

func (r *Replica) term() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hardState.Term
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
	if !r.canGrant(from, req) {
		return r.voteReply(false)
	}
	if req.Pre {
		return r.preVoteReply(from)
	}
	h, ok := r.grantVote(from, req.Term)
	if !ok {
		return r.voteReply(false)
	}
	if err := r.saveHardState(h, ""); err != nil {
		return nil, err
	}
	return r.voteReply(true)
}

// grantVote returns the hard state with the vote, unless this host has voted
// for another one in the term. The election timer is reset before the vote is
// stored: an election that this host started in the meantime would end the new
// leader's term. The caller holds diskLock.
func (r *Replica) grantVote(from string, term uint64) (journal.HardState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hardState
	if term > h.Term {
		r.stepDown("a higher term exists")
		h.Term, h.Vote = term, ""
	}
	if h.Vote != "" && h.Vote != from {
		return h, false
	}
	h.Vote = from
	r.votedAt = time.Now()
	r.resetElectionTimer(r.cfg.ElectionTimeout / 2)
	return h, true
}

// canGrant checks all rules except that of one vote per term. A host that
// receives messages of a leader refuses, so that a host that returns after a
// network partition can't disrupt the group. One that has just started may have
// answered a leader before: it votes only for a candidate that knows from all
// voters, including this process, that none leads.
func (r *Replica) canGrant(from string, req voteRequest) bool {
	last := r.journal.LastIndex()
	lastTerm, _ := r.journal.Term(last)
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Term < r.hardState.Term || r.hardState.Refused {
		return false
	}
	if req.Pre && (req.Term <= r.hardState.Term || time.Since(r.votedAt) < r.voteTimeout()) {
		return false // a candidate of the current term may be about to win
	}
	if !req.Transfer && (r.lead != nil || time.Since(r.leaderContact) < r.cfg.ElectionTimeout) {
		return false
	}
	if !req.Transfer && !req.Pre && r.hasJustStarted() && req.Instance != r.instance {
		return false
	}
	if m, ok := findMember(r.members(), from); ok && m.Identity != req.Identity {
		return false
	}
	if req.LastIndex < r.acked[req.Identity] {
		return false
	}
	return req.LastTerm > lastTerm || (req.LastTerm == lastTerm && req.LastIndex >= last)
}

// hasJustStarted reports whether a leader may still count on an answer of an earlier
// process of this host, see HoldsQuorum. The caller holds r.mu.
func (r *Replica) hasJustStarted() bool { return time.Since(r.started) < r.startDelay() }

// startDelay is leaseTime with a margin for clocks that run at different rates.
func (r *Replica) startDelay() time.Duration { return r.leaseTime() + r.leaseTime()/10 }

func (r *Replica) voteReply(granted bool) ([]byte, error) {
	return carawayshift.Encode(r.newVoteReply(granted))
}

// preVoteReply grants a pre-vote.
func (r *Replica) preVoteReply(from string) ([]byte, error) {
	reply := r.newVoteReply(true)
	r.mu.Lock()
	reply.Conditional, reply.Instance = r.hasJustStarted(), r.instance
	if r.turn(from) < r.turn(r.cfg.Host) {
		r.earlierAsked = time.Now()
	}
	r.mu.Unlock()
	return carawayshift.Encode(reply)
}

func (r *Replica) newVoteReply(granted bool) voteReply {
	last := r.journal.LastIndex()
	r.mu.Lock()
	defer r.mu.Unlock()
	return voteReply{
		Term: r.hardState.Term, Granted: granted, Identity: r.hardState.Identity,
		LastIndex: last, Acked: maps.Clone(r.acked),
	}
}

// handleElect starts an election immediately: the leader transfers its
// leadership to this host.
func (r *Replica) handleElect(ctx context.Context, from string, body []byte) ([]byte, error) {
	var req electRequest
	if err := carawayshift.Decode(body, &req); err != nil {
		return nil, err
	}
	r.mu.Lock()
	ok := req.Term == r.hardState.Term && from == r.leader && r.isVoter()
	r.mu.Unlock()
	if !ok || !r.hasSpace(ctx) {
		return nil, notRun("the election was requested by a host that is not the leader, or this host's disk is full", "no action is needed")
	}
	r.campaign(ctx, true)
	return carawayshift.Encode(electRequest{Term: r.term()})
}
