package replica

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// Membership changes.
const (
	opAdd     = "add"
	opPromote = "promote"
	opRemove  = "remove"
	opMove    = "move"
)

// AddLearner adds a running host that belongs to no group. It gets the log
// but does not count for majorities.
func (r *Replica) AddLearner(ctx context.Context, host string) error {
	return r.change(ctx, opAdd, host)
}

// Promote makes a learner a voter, once it holds every committed entry.
func (r *Replica) Promote(ctx context.Context, host string) error {
	return r.change(ctx, opPromote, host)
}

// Remove removes a member. A voter is removed only when the remaining voters
// that answer and hold every committed entry are a majority of the rest.
func (r *Replica) Remove(ctx context.Context, host string) error {
	return r.change(ctx, opRemove, host)
}

// Transfer hands the leadership to a voter, or with "" to the one that is
// furthest, and returns when this succeeded. A leader calls it before it
// stops.
func (r *Replica) Transfer(ctx context.Context, host string) error {
	return r.change(ctx, opMove, host)
}

func (r *Replica) change(ctx context.Context, op, host string) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	return r.onLeader(ctx, func(leader string) error {
		if leader == r.cfg.Host {
			return r.changeHere(ctx, op, host)
		}
		req := changeRequest{LeftMs: left(ctx), Op: op, Host: host}
		if op == opMove {
			return r.askMove(ctx, leader, req)
		}
		_, err := r.forward(ctx, leader, methodChange, req)
		return err
	})
}

// askMove does not use forward, which gives up when another leader is known:
// here that is the aim.
func (r *Replica) askMove(ctx context.Context, leader string, req changeRequest) error {
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
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.LeftMs)*time.Millisecond)
	defer cancel()
	return nil, r.changeHere(ctx, req.Op, req.Host)
}

func (r *Replica) changeHere(ctx context.Context, op, host string) error {
	if op == opMove {
		return r.move(ctx, host)
	}
	var joining helloReply
	if op == opAdd {
		var err error
		if joining, err = r.hello(ctx, host); err != nil {
			return unavailable("host "+host+" does not answer", "start it with an empty data folder, then add it")
		}
	}
	want := r.askRound(ctx)
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

// proof is what a peer must show before a change of the membership counts on
// it: an answer in a round, and the entries that were committed when the round
// began. Later entries are still on their way to peers that are far away; the
// change itself follows them in the log.
type proof struct {
	round, commit uint64
}

// askRound asks all peers for a sign of life and waits for it, or for the time
// of one call. A removal that trusted older signs could leave a majority that
// has just died, and then nothing could be committed any more.
func (r *Replica) askRound(ctx context.Context) proof {
	r.mu.Lock()
	l := r.lead
	if l == nil {
		r.mu.Unlock()
		return proof{}
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
	return proof{round, commit}
}

// current tells whether a peer has shown a proof. It needs r.mu.
func (r *Replica) current(p *peer, want proof) bool {
	return p != nil && !p.refused && p.round >= want.round && p.match >= want.commit
}

// changedMembers returns the membership after one change, or why it is not allowed.
// It needs r.mu.
func (r *Replica) changedMembers(op, host string, joining helloReply, want proof) ([]Member, error) {
	c := r.configs[len(r.configs)-1]
	if !r.lead.ready(r.commit) || c.index > r.commit {
		return nil, notRun("another membership change is not committed yet", retryRemedy)
	}
	m, ok := find(c.members, host)
	switch op {
	case opAdd:
		return r.added(c.members, m, ok, host, joining)
	case opPromote:
		return r.promoted(c.members, m, ok, want)
	case opRemove:
		return r.removed(c.members, m, ok, want)
	}
	return nil, carawayshift.NewError(carawayshift.Malformed, "unknown membership change "+op, "upgrade the older host")
}

func (r *Replica) added(list []Member, m Member, ok bool, host string, joining helloReply) ([]Member, error) {
	switch {
	case ok && m.Identity == joining.Identity:
		return nil, carawayshift.NewError(carawayshift.Conflict, host+" is a member already", "none is needed")
	case ok:
		return nil, carawayshift.NewError(carawayshift.Conflict, host+" is a member with another data folder", "remove it first, then add it")
	}
	return append(slices.Clone(list), Member{Host: host, Identity: joining.Identity}), nil
}

func (r *Replica) promoted(list []Member, m Member, ok bool, want proof) ([]Member, error) {
	p := r.lead.peers[m.Host]
	switch {
	case !ok || p == nil:
		return nil, carawayshift.NewError(carawayshift.NotFound, "the host is not a member", "add it as a learner first")
	case m.Voter:
		return nil, carawayshift.NewError(carawayshift.Conflict, m.Host+" is a voter already", "none is needed")
	case !r.current(p, want):
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

func (r *Replica) removed(list []Member, m Member, ok bool, want proof) ([]Member, error) {
	switch {
	case !ok:
		return nil, carawayshift.NewError(carawayshift.NotFound, "the host is not a member", "none is needed")
	case m.Host == r.cfg.Host:
		return nil, carawayshift.NewError(carawayshift.Refused, m.Host+" is the leader", "hand the leadership over first")
	case !m.Voter:
		return without(list, m.Host), nil
	}
	rest := voters(without(list, m.Host))
	n := 0
	for _, v := range rest {
		if v.Host == r.cfg.Host || r.current(r.lead.peers[v.Host], want) {
			n++
		}
	}
	if n < majority(len(rest)) {
		return nil, unavailable("the voters that remain are not a healthy majority", "repair another voter first, or add and promote a new one")
	}
	return without(list, m.Host), nil
}

// move hands the leadership over. Commands are refused as NotRun meanwhile.
func (r *Replica) move(ctx context.Context, host string) error {
	r.mu.Lock()
	l := r.lead
	p := r.moveTarget(host)
	if p == nil || l.moving != "" {
		r.mu.Unlock()
		return unavailable("no voter can take the leadership now", retryRemedy)
	}
	l.moving = p.host
	r.mu.Unlock()
	defer r.endMove(l)
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout)
	defer cancel()
	err := r.await(ctx, func() bool { return r.lead != l || (len(r.queue) == 0 && p.match == r.journal.LastIndex()) })
	if err == nil {
		var reply electRequest
		err = r.call(ctx, p.host, methodElect, electRequest{Term: l.term}, &reply)
	}
	if err == nil {
		err = r.await(ctx, func() bool { return r.lead != l })
	}
	if err != nil {
		return unavailable("the hand-over to "+p.host+" failed: "+err.Error(), retryRemedy)
	}
	return nil
}

func (r *Replica) endMove(l *leadership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.moving = ""
}

// moveTarget needs r.mu.
func (r *Replica) moveTarget(host string) *peer {
	if r.lead == nil {
		return nil
	}
	var best *peer
	for _, p := range r.lead.peers {
		m, _ := find(r.members(), p.host)
		if !m.Voter || !r.healthy(p) || (host != "" && host != p.host) {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}
