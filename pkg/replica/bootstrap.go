package replica

import (
	"context"
	"slices"

	"carawayshift.example/carawayshift"
)

// fresh reports whether this host has never belonged to a group. The caller
// holds r.mu.
func (r *Replica) fresh() bool {
	return len(r.memberships) == 1 && len(r.members()) == 0
}

func (r *Replica) handleHello(context.Context, string, []byte) ([]byte, error) {
	r.mu.Lock()
	reply := helloReply{Identity: r.hardState.Identity, Fresh: r.fresh(), Region: r.cfg.Region}
	list := r.members()
	r.mu.Unlock()
	var err error
	if reply.Membership, err = encodeMembers(list); err != nil {
		return nil, err
	}
	return carawayshift.Encode(reply)
}

// bootstrap stores the first membership of the group. All hosts of
// Config.Voters must answer: when one of them already belongs to a group, this
// host either is a member of that group by its disk identity, or waits to be
// added. Hosts that lost their disks therefore can't form a second group as long
// as one of the voters still has its disk.
func (r *Replica) bootstrap(ctx context.Context) {
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
		if list := r.initialMembers(ctx); list != nil {
			r.setInitialMembers(ctx, list)
			continue
		}
		if !r.sleep(ctx, r.cfg.Heartbeat) {
			return
		}
	}
}

// initialMembers returns the first membership, or nil when it can't be
// determined yet.
func (r *Replica) initialMembers(ctx context.Context) []Member {
	var list []Member
	for _, host := range r.cfg.Voters {
		if host == r.cfg.Host {
			list = append(list, Member{Host: host, Identity: r.journal.HardState().Identity, Voter: true, Region: r.cfg.Region})
			continue
		}
		reply, err := r.hello(ctx, host)
		if err != nil {
			return nil
		}
		if !reply.Fresh {
			return r.existingMembers(reply)
		}
		list = append(list, Member{Host: host, Identity: reply.Identity, Voter: true, Region: reply.Region})
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

// existingMembers returns the membership of an existing group if this disk is a
// voter of it. A learner receives its membership with the log instead.
func (r *Replica) existingMembers(reply helloReply) []Member {
	list, err := decodeMembers(reply.Membership)
	if err != nil {
		return nil
	}
	m, ok := findMember(list, r.cfg.Host)
	if !ok || m.Identity != r.journal.HardState().Identity || !m.Voter {
		return nil
	}
	return list
}

func (r *Replica) setInitialMembers(ctx context.Context, list []Member) {
	if r.lockDisk(ctx) != nil {
		return
	}
	defer r.unlockDisk()
	r.mu.Lock()
	h, fresh := r.hardState, r.fresh()
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
	r.hardState = h
	r.memberships[0].members = list
	r.resetElectionTimer(0)
	r.log.WithField("members", list).Info("group formed")
	r.notify()
}
