package replica

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// Values of changeRequest.Op.
const (
	opAdd      = "add"
	opPromote  = "promote"
	opRemove   = "remove"
	opTransfer = "move"
)

// AddLearner adds a running host that belongs to no group. A learner receives
// the log but does not count towards majorities.
func (r *Replica) AddLearner(ctx context.Context, host string) error {
	return r.change(ctx, opAdd, host)
}

// Promote makes a learner a voter once it holds every committed entry.
func (r *Replica) Promote(ctx context.Context, host string) error {
	return r.change(ctx, opPromote, host)
}

// Remove removes a member. A voter is removed only when the remaining voters
// that answer and hold every committed entry are a majority of all remaining
// voters.
func (r *Replica) Remove(ctx context.Context, host string) error {
	return r.change(ctx, opRemove, host)
}

// Transfer transfers the leadership to a voter and returns when that voter has
// been elected. An empty host selects a voter in the region of most voters, and
// among those the one with the longest matching log.
// A leader calls it before it stops.
func (r *Replica) Transfer(ctx context.Context, host string) error {
	return r.change(ctx, opTransfer, host)
}

func (r *Replica) change(ctx context.Context, op, host string) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	return r.onLeader(ctx, func(leader string) error {
		if leader == r.cfg.Host {
			return r.changeAsLeader(ctx, op, host)
		}
		req := changeRequest{RemainingMs: remainingMs(ctx), Op: op, Host: host}
		if op == opTransfer {
			return r.forwardTransfer(ctx, leader, req)
		}
		_, err := r.forward(ctx, leader, methodChange, req)
		return err
	})
}

// forwardTransfer does not use forward, which returns an error as soon as
// another leader is known: a transfer is meant to end that way.
func (r *Replica) forwardTransfer(ctx context.Context, leader string, req changeRequest) error {
	body, err := carawayshift.Encode(req)
	if err != nil {
		return err
	}
	_, err = r.transport.Call(ctx, leader, methodChange, body)
	return err
}

func (r *Replica) handleChange(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var req changeRequest
	if err := carawayshift.Decode(body, &req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.RemainingMs)*time.Millisecond)
	defer cancel()
	return nil, r.changeAsLeader(ctx, req.Op, req.Host)
}

func (r *Replica) changeAsLeader(ctx context.Context, op, host string) error {
	if op == opTransfer {
		return r.transferLeadership(ctx, host)
	}
	var joining helloReply
	if op == opAdd {
		var err error
		if joining, err = r.hello(ctx, host); err != nil {
			return unavailable("host "+host+" does not answer", "start it with an empty data folder, then add it")
		}
	}
	want := r.confirmPeers(ctx)
	p := newProposal(ctx, KindMembership, nil)
	p.build = func() ([]byte, error) {
		list, err := r.changedMembers(op, host, joining, want)
		if err != nil {
			return nil, err
		}
		return encodeMembers(list)
	}
	_, err := r.submit(ctx, p)
	if err == nil {
		r.log.WithFields(logrus.Fields{"change": op, "member": host}).Info("membership changed")
	}
	return err
}

// peerRequirement is what a peer must meet to count as healthy in a membership
// change: an answer in the round, and the entries that were committed when the
// round began. Later entries may still be in flight to distant peers; the
// change follows them in the log.
type peerRequirement struct {
	round, commit uint64
}

// confirmPeers starts a round of calls to all peers and waits until they have
// answered, for at most the timeout of one call. A removal that relied on
// earlier answers could leave a majority that has just failed, after which
// nothing could be committed any more.
func (r *Replica) confirmPeers(ctx context.Context) peerRequirement {
	r.mu.Lock()
	l := r.lead
	if l == nil {
		r.mu.Unlock()
		return peerRequirement{}
	}
	l.round++
	round, commit := l.round, r.commit
	r.notify()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout())
	defer cancel()
	_ = r.await(ctx, func() bool {
		for _, p := range l.peers {
			if p.round < round {
				return r.lead != l
			}
		}
		return true
	})
	return peerRequirement{round, commit}
}

// meets reports whether a peer meets the requirement. The caller holds r.mu.
func (r *Replica) meets(p *peer, want peerRequirement) bool {
	return p != nil && !p.refused && p.round >= want.round && p.match >= want.commit
}

// changedMembers returns the membership after one change, or the reason why the
// change is not allowed. The caller holds r.mu.
func (r *Replica) changedMembers(op, host string, joining helloReply, want peerRequirement) ([]Member, error) {
	c := r.memberships[len(r.memberships)-1]
	if !r.lead.ready(r.commit) || c.index > r.commit {
		return nil, notRun("another membership change is not committed yet", retryRemedy)
	}
	m, ok := findMember(c.members, host)
	switch op {
	case opAdd:
		return r.addMember(c.members, m, ok, host, joining)
	case opPromote:
		return r.promoteMember(c.members, m, ok, want)
	case opRemove:
		return r.removeMember(c.members, m, ok, want)
	}
	return nil, carawayshift.NewError(carawayshift.Malformed, "unknown membership change "+op, "upgrade the host that runs the older version")
}

func (r *Replica) addMember(list []Member, m Member, ok bool, host string, joining helloReply) ([]Member, error) {
	switch {
	case ok && m.Identity == joining.Identity:
		return nil, carawayshift.NewError(carawayshift.Conflict, host+" is already a member", "no action is needed")
	case ok:
		return nil, carawayshift.NewError(carawayshift.Conflict, host+" is already a member with another data folder", "remove it first, then add it")
	}
	return append(slices.Clone(list), Member{Host: host, Identity: joining.Identity, Region: joining.Region}), nil
}

func (r *Replica) promoteMember(list []Member, m Member, ok bool, want peerRequirement) ([]Member, error) {
	p := r.lead.peers[m.Host]
	switch {
	case !ok || p == nil:
		return nil, carawayshift.NewError(carawayshift.NotFound, "the host is not a member", "add it as a learner first")
	case m.Voter:
		return nil, carawayshift.NewError(carawayshift.Conflict, m.Host+" is already a voter", "no action is needed")
	case !r.meets(p, want):
		return nil, unavailable(m.Host+" does not hold every committed entry yet", "wait until it has caught up, then promote it")
	}
	list = slices.Clone(list)
	for i := range list {
		if list[i].Host == m.Host {
			list[i].Voter = true
		}
	}
	return list, nil
}

func (r *Replica) removeMember(list []Member, m Member, ok bool, want peerRequirement) ([]Member, error) {
	switch {
	case !ok:
		return nil, carawayshift.NewError(carawayshift.NotFound, "the host is not a member", "no action is needed")
	case m.Host == r.cfg.Host:
		return nil, carawayshift.NewError(carawayshift.Refused, m.Host+" is the leader", "transfer the leadership first")
	case !m.Voter:
		return withoutMember(list, m.Host), nil
	}
	rest := voters(withoutMember(list, m.Host))
	n := 0
	for _, v := range rest {
		if v.Host == r.cfg.Host || r.meets(r.lead.peers[v.Host], want) {
			n++
		}
	}
	if n < majority(len(rest)) {
		return nil, unavailable("the remaining voters are not a healthy majority", "repair another voter first, or add and promote a new one")
	}
	return withoutMember(list, m.Host), nil
}

// transferLeadership makes a voter the leader. New commands are refused with
// kind NotRun until the transfer has ended.
func (r *Replica) transferLeadership(ctx context.Context, host string) error {
	r.mu.Lock()
	l := r.lead
	p := r.transferTarget(func(h string) bool { return host == "" || h == host })
	if p == nil || l.transferee != "" {
		r.mu.Unlock()
		return unavailable("no healthy voter is available for the transfer, or another transfer is in progress", retryRemedy)
	}
	l.transferee = p.host
	r.mu.Unlock()
	defer r.endTransfer(l)
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout)
	defer cancel()
	err := r.await(ctx, func() bool { return r.lead != l || (len(r.queue) == 0 && p.match == r.journal.LastIndex()) })
	if err == nil {
		err = r.requestElection(ctx, l, p.host)
	}
	if err == nil {
		err = r.await(ctx, func() bool { return r.lead != l })
	}
	if err != nil {
		return unavailable("the leadership transfer to "+p.host+" failed: "+err.Error(), retryRemedy)
	}
	return nil
}

// requestElection makes a host start an election. Without an answer, this host steps down:
// the voters grant a vote that the leader has requested at any time, so that the other
// host may still be elected. It also steps down if the answer has a higher term: the other
// host may lead, and its messages may arrive only after the transfer's time is up.
func (r *Replica) requestElection(ctx context.Context, l *leaderState, host string) error {
	var reply electRequest
	err := r.call(ctx, host, methodElect, electRequest{Term: l.term}, &reply)
	if err == nil {
		r.adoptReplyTerm(ctx, reply.Term)
		return nil
	}
	if carawayshift.KindOf(err) == carawayshift.NotRun {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead == l {
		r.stepDown("the host that was asked to take over does not answer")
	}
	return err
}

func (r *Replica) endTransfer(l *leaderState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.transferee = ""
}

// transferTarget returns the healthy voter to transfer the leadership to, see
// Transfer, of those for which allowed returns true. The caller holds r.mu.
func (r *Replica) transferTarget(allowed func(host string) bool) *peer {
	if r.lead == nil {
		return nil
	}
	home := majorityRegion(r.members())
	var best *peer
	bestAtHome := false
	for _, p := range r.lead.peers {
		m, _ := findMember(r.members(), p.host)
		if !m.Voter || !r.healthy(p) || !allowed(p.host) {
			continue
		}
		atHome := home != "" && m.Region == home
		if best == nil || (atHome && !bestAtHome) || (atHome == bestAtHome && p.match > best.match) {
			best, bestAtHome = p, atHome
		}
	}
	return best
}
