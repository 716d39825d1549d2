package replica

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

const (
	// chunkBytes is the size of one chunk, which takes 17 ms on a link of
	// 30 Mbit/s, well below the heartbeat interval.
	chunkBytes = 64 << 10
	// maxSnapshotBytes limits the memory that a receiver uses.
	maxSnapshotBytes = 128 << 20
)

// snapshotTransfer is a snapshot that is being received.
type snapshotTransfer struct {
	from  string
	index uint64
	term  uint64
	data  []byte
}

// sendSnapshot sends the newest snapshot to a peer whose next entries are
// compacted. Each chunk is a separate call, and its reply counts as contact.
func (r *Replica) sendSnapshot(ctx context.Context, l *leaderState, p *peer) error {
	s, err := r.journal.Snapshot()
	if err != nil {
		return r.fail(err)
	}
	r.log.WithFields(logrus.Fields{"peer": p.host, "index": s.Index, "bytes": len(s.Data)}).Info("sending a snapshot")
	for offset := 0; ; {
		end := min(offset+chunkBytes, len(s.Data))
		req := snapshotRequest{
			Term: l.term, To: p.identity, Index: s.Index, LastTerm: s.Term,
			Offset: offset, Data: s.Data[offset:end], Done: end == len(s.Data),
		}
		if req.Done {
			req.Membership = s.Membership
		}
		ok, err := r.sendChunk(ctx, l, p, req)
		if err != nil || !ok || req.Done {
			return err
		}
		offset = end
	}
}

func (r *Replica) sendChunk(ctx context.Context, l *leaderState, p *peer, req snapshotRequest) (bool, error) {
	r.mu.Lock()
	round := l.round
	r.mu.Unlock()
	sent, wait := time.Now(), r.callTimeout()
	if req.Done {
		wait *= 4 // the receiver stores the whole snapshot before it replies
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var reply appendReply
	if err := r.call(ctx, p.host, methodSnapshot, req, &reply); err != nil {
		return false, err
	}
	if reply.Term > l.term {
		r.adoptReplyTerm(l.ctx, reply.Term)
		return false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead != l {
		return false, nil
	}
	if reply.Identity != p.identity {
		r.refusePeer(p)
		return false, nil
	}
	p.contact, p.round = sent, max(p.round, round)
	if reply.OK && req.Done {
		p.match = max(p.match, req.Index)
		p.next = p.match + 1
		r.advanceCommit()
	}
	r.notify()
	return reply.OK, nil
}

func (r *Replica) handleSnapshot(ctx context.Context, from string, body []byte) ([]byte, error) {
	var req snapshotRequest
	if err := carawayshift.Decode(body, &req); err != nil {
		return nil, err
	}
	if err := r.lockDisk(ctx); err != nil {
		return nil, err
	}
	defer r.unlockDisk()
	var reply appendReply
	ok, err := r.acceptLeader(from, req.Term, req.To)
	if err == nil && ok {
		reply.OK, err = r.receiveChunk(from, req)
	}
	if err != nil {
		return nil, err
	}
	r.setIdentity(&reply)
	return carawayshift.Encode(reply)
}

// receiveChunk adds a chunk and stores the snapshot after the last one. It
// returns false when a chunk is missing: the leader then restarts the transfer.
// The caller holds diskLock.
func (r *Replica) receiveChunk(from string, req snapshotRequest) (bool, error) {
	if req.Offset == 0 {
		r.incoming = &snapshotTransfer{from: from, index: req.Index, term: req.Term}
	}
	in := r.incoming
	if in == nil || in.from != from || in.index != req.Index || in.term != req.Term || req.Offset > len(in.data) {
		return false, nil
	}
	if len(in.data)+len(req.Data) > maxSnapshotBytes {
		return false, carawayshift.NewError(carawayshift.TooLarge, "the snapshot exceeds the size limit", "shorten the retention of finished jobs")
	}
	if req.Offset == len(in.data) { // otherwise the chunk is a duplicate
		in.data = append(in.data, req.Data...)
	}
	if !req.Done {
		return true, nil
	}
	r.incoming = nil
	return true, r.installSnapshot(journal.Snapshot{Index: req.Index, Term: req.LastTerm, Membership: req.Membership, Data: in.data})
}

// installSnapshot stores a snapshot and schedules its restore into the state
// machine. A snapshot that is not newer than the commit index is ignored.
func (r *Replica) installSnapshot(s journal.Snapshot) error {
	r.mu.Lock()
	old := s.Index <= r.commit
	r.mu.Unlock()
	if old {
		return nil
	}
	list, err := decodeMembers(s.Membership)
	if err != nil {
		return err
	}
	if err := r.journal.SaveSnapshot(s); err != nil {
		return r.fail(err)
	}
	tail, err := r.journal.Entries(s.Index+1, maxInt, maxInt)
	if err != nil {
		return r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restore = &s
	r.commit = max(r.commit, s.Index)
	r.snapIndex, r.logBytes = s.Index, 0
	r.memberships = []membership{{index: s.Index, members: list}}
	r.pruneAcked(list)
	r.notify()
	return r.recordMemberships(tail)
}
