package replica

import (
	"context"
	"slices"

	"carawayshift.example/carawayshift"
)

// fresh tells whether this host has never belonged to a group. It needs r.mu.
func (r *Replica) fresh() bool {
	return len(r.configs) == 1 && len(r.members()) == 0
}

func (r *Replica) handleHello(context.Context, string, []byte) ([]byte, error) {
	r.mu.Lock()
	reply := helloReply{Identity: r.hard.Identity, Fresh: r.fresh()}
	list := r.members()
	r.mu.Unlock()
	var err error
	if reply.Membership, err = encodeMembers(list); err != nil {
		return nil, err
	}
	return carawayshift.Encode(reply)
}

// form makes the first membership. All voters of the settings must answer:
// when one of them belongs to a group already, this host either is a member
// of it by its disk identity, or waits to be added. A lost disk therefore
// can't form a second group as long as one of the named hosts is left.
func (r *Replica) form(ctx context.Context) {
	if !slices.Contains(r.cfg.Voters, r.cfg.Host) {
		return
	}
	for ctx.Err() == nil {
		r.mu.Lock()
		fresh := r.fresh()
		r.mu.Unlock()
		if !fresh {
			return
		}
		if list := r.gather(ctx); list != nil {
			r.adopt(ctx, list)
			continue
		}
		if !r.sleep(ctx, r.cfg.Heartbeat) {
			return
		}
	}
}

// gather returns the first membership, or nil when it is not known yet.
func (r *Replica) gather(ctx context.Context) []Member {
	var list []Member
	for _, host := range r.cfg.Voters {
		if host == r.cfg.Host {
			list = append(list, Member{Host: host, Identity: r.journal.HardState().Identity, Voter: true})
			continue
		}
		reply, err := r.hello(ctx, host)
		if err != nil {
			return nil
		}
		if !reply.Fresh {
			return r.formed(reply)
		}
		list = append(list, Member{Host: host, Identity: reply.Identity, Voter: true})
	}
	return list
}

func (r *Replica) hello(ctx context.Context, host string) (helloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout())
	defer cancel()
	var reply helloReply
	err := r.call(ctx, host, methodHello, helloReply{}, &reply)
	return reply, err
}

// formed returns the membership of an existing group if this disk is a voter
// of it. A learner must not take it: it gets its membership with the log.
func (r *Replica) formed(reply helloReply) []Member {
	list, err := decodeMembers(reply.Membership)
	if err != nil {
		return nil
	}
	m, ok := find(list, r.cfg.Host)
	if !ok || m.Identity != r.journal.HardState().Identity || !m.Voter {
		return nil
	}
	return list
}

func (r *Replica) adopt(ctx context.Context, list []Member) {
	if r.lockDisk(ctx) != nil {
		return
	}
	defer r.unlockDisk()
	r.mu.Lock()
	h, fresh := r.hard, r.fresh()
	r.mu.Unlock()
	if !fresh || r.journal.LastIndex() > 0 {
		return
	}
	var err error
	if h.Membership, err = encodeMembers(list); err == nil {
		err = r.journal.SetHardState(h)
	}
	if err != nil {
		_ = r.fail(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hard = h
	r.configs[0].members = list
	r.postpone(0)
	r.log.WithField("members", list).Info("group formed")
	r.notify()
}
