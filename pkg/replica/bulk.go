package replica

import (
	"context"
	"time"
)

const (
	// bulkBytes is the size of entries from which heartbeats are sent beside the
	// call that carries them.
	bulkBytes = 64 << 10
	// minTransferRate is the lowest rate in bytes per second at which a peer is
	// expected to receive entries: a share of a 30 Mbit/s link between regions
	// beside other peers and traffic.
	minTransferRate = 256 << 10
)

func sizeOf(entries []wireEntry) (n int) {
	for _, e := range entries {
		n += len(e.Data)
	}
	return n
}

func isBulk(entries []wireEntry) bool { return sizeOf(entries) >= bulkBytes }

// transferTime returns the time that sending entries may take.
func transferTime(entries []wireEntry) time.Duration {
	if !isBulk(entries) {
		return 0
	}
	return time.Duration(sizeOf(entries)) * time.Second / minTransferRate
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keepContact sends heartbeats to a peer until ctx ends, which is the context of a
// call with large entries. Otherwise the peer would start an election, and this
// host would step down, before the transfer is complete. The call is given up when
// the peer answers no heartbeat either.
func (r *Replica) keepContact(ctx context.Context, l *leaderState, p *peer, giveUp context.CancelFunc) {
	r.mu.Lock()
	interval := r.idleInterval(len(l.peers))
	r.mu.Unlock()
	started := time.Now()
	for r.sleep(ctx, interval) {
		go r.sendHeartbeat(ctx, l, p)
		r.mu.Lock()
		last := p.contact
		r.mu.Unlock()
		if time.Since(latest(started, last)) > r.cfg.ElectionTimeout {
			giveUp()
		}
	}
}

// sendHeartbeat sends a request without entries, whose reply counts as contact
// and confirms the leadership.
func (r *Replica) sendHeartbeat(ctx context.Context, l *leaderState, p *peer) {
	r.mu.Lock()
	req := appendRequest{Term: l.term, To: p.identity, Prev: p.match, Commit: min(r.commit, p.match)}
	round := l.round
	r.mu.Unlock()
	req.PrevTerm, _ = r.journal.Term(req.Prev)
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout())
	defer cancel()
	var reply appendReply
	if r.call(ctx, p.host, methodAppend, req, &reply) != nil {
		return // the next heartbeat follows
	}
	if reply.Term > l.term {
		r.adoptReplyTerm(l.ctx, reply.Term)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead != l || p.refused || reply.Identity != p.identity {
		return
	}
	p.contact = latest(p.contact, sent)
	p.round = max(p.round, round)
	r.notify()
}
