package replica

import (
	"context"

	"carawayshift.example/carawayshift"
)

// Barrier returns a read index: a copy of the state that has applied it
// includes every command that was answered before the call. The leader first
// confirms its leadership with a round of calls to the voters.
func (r *Replica) Barrier(ctx context.Context) (uint64, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	var index uint64
	err := r.onLeader(ctx, func(leader string) error {
		var err error
		if leader == r.cfg.Host {
			index, err = r.readIndex(ctx)
			return err
		}
		index, err = r.forwardBarrier(ctx, leader)
		return err
	})
	return index, err
}

// forwardBarrier requests the read index from the leader. A read has no side
// effects, so a lost reply counts as NotRun and the read is retried.
func (r *Replica) forwardBarrier(ctx context.Context, leader string) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, 2*r.cfg.ElectionTimeout)
	defer cancel()
	var reply barrierReply
	if err := r.call(callCtx, leader, methodBarrier, proposeRequest{RemainingMs: remainingMs(callCtx)}, &reply); err != nil {
		return 0, notRun("the leader did not answer: "+err.Error(), retryRemedy)
	}
	return reply.Index, nil
}

func (r *Replica) handleBarrier(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*r.cfg.ElectionTimeout)
	defer cancel()
	index, err := r.readIndex(ctx)
	if err != nil {
		return nil, err
	}
	return carawayshift.Encode(barrierReply{Index: index})
}

func (r *Replica) readIndex(ctx context.Context) (uint64, error) {
	notLeader := notRun("this host is not the leader", retryRemedy)
	r.mu.Lock()
	l := r.lead
	r.mu.Unlock()
	if l == nil {
		return 0, notLeader
	}
	err := r.await(ctx, func() bool { return r.lead != l || l.ready(r.commit) })
	if err != nil {
		return 0, notRun("the leader has not committed an entry of its term yet", retryRemedy)
	}
	r.mu.Lock()
	l.round++
	round, index := l.round, r.commit
	r.notify()
	r.mu.Unlock()
	lost := false
	err = r.await(ctx, func() bool {
		lost = r.lead != l
		return lost || r.hasQuorum(func(p *peer) bool { return !p.refused && p.round >= round })
	})
	if err != nil || lost {
		return 0, notLeader
	}
	return index, nil
}
