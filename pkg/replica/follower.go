package replica

import (
	"context"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

// handleAppend takes entries and heartbeats of the leader. It answers only
// after the entries are on the disk.
func (r *Replica) handleAppend(ctx context.Context, from string, body []byte) ([]byte, error) {
	var req appendRequest
	if err := carawayshift.Decode(body, &req); err != nil {
		return nil, err
	}
	if err := r.lockDisk(ctx); err != nil {
		return nil, err
	}
	defer r.unlockDisk()
	reply, err := r.take(from, req)
	if err != nil {
		return nil, err
	}
	r.sign(&reply)
	return carawayshift.Encode(reply)
}

// sign adds term and disk identity. A refused folder has no identity, so that
// every leader refuses it.
func (r *Replica) sign(reply *appendReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Term = r.hard.Term
	if !r.hard.Refused {
		reply.Identity = r.hard.Identity
	}
}

// take does the work of handleAppend. The caller holds disk.
func (r *Replica) take(from string, req appendRequest) (appendReply, error) {
	ok, err := r.follow(from, req.Term, req.To)
	if err != nil || !ok {
		return appendReply{}, err
	}
	if req.Refused {
		return appendReply{}, r.markRefused()
	}
	term, known := r.journal.Term(req.Prev)
	if !known && r.committed(req.Prev) {
		return r.covered(), nil
	}
	if !known || term != req.PrevTerm {
		return r.mismatch(req), nil
	}
	entries := r.newEntries(fromWire(req.Prev, req.Entries))
	if err := r.store(entries); err != nil {
		return appendReply{}, err
	}
	match := req.Prev + uint64(len(req.Entries))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteAcked(req.Acked)
	r.setCommit(min(req.Commit, match))
	return appendReply{OK: true, Index: match}, nil
}

// follow accepts the sender as the leader of its term, unless the term is old
// or the message is meant for another disk. The caller holds disk.
func (r *Replica) follow(from string, term, to uint64) (bool, error) {
	h := r.journal.HardState()
	if term < h.Term || to != h.Identity || h.Refused {
		return false, nil
	}
	if err := r.adoptTerm(term, from); err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead != nil {
		return false, carawayshift.NewError(carawayshift.Conflict, from+" claims to lead the term of this host", "report this: it must not happen")
	}
	if r.leader != from {
		r.leader = from
		r.notify()
	}
	r.heard = time.Now()
	r.postpone(r.cfg.ElectionTimeout)
	return true, nil
}

// markRefused stores that this folder is older than what this host had
// acknowledged. From then on it neither votes nor acknowledges.
func (r *Replica) markRefused() error {
	r.mu.Lock()
	h := r.hard
	r.mu.Unlock()
	if h.Refused {
		return nil
	}
	h.Refused = true
	r.log.Error("the data folder is older than what this host had acknowledged; remove this host from the group, empty the folder, add it again as a learner")
	if err := r.journal.SetHardState(h); err != nil {
		return r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hard = h
	r.notify()
	return nil
}

// mismatch tells the leader where to try next: after this log's end, or
// before the entries of the term that conflicts.
func (r *Replica) mismatch(req appendRequest) appendReply {
	last := r.journal.LastIndex()
	index := min(req.Prev, last)
	term, known := r.journal.Term(index)
	if index == req.Prev {
		for t, ok := term, known; ok && t == term && index > 0; t, ok = r.journal.Term(index) {
			index--
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return appendReply{Index: max(index, r.commit), Last: last}
}

func (r *Replica) committed(index uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return index <= r.commit
}

// covered answers a leader that missed the reply to its snapshot and sends
// entries from before it: all that is committed here matches.
func (r *Replica) covered() appendReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return appendReply{OK: true, Index: r.commit}
}

// newEntries drops the entries that the log has already, so that a late or
// repeated message never shortens the log.
func (r *Replica) newEntries(entries []journal.Entry) []journal.Entry {
	snap, _ := r.journal.SnapshotIndex()
	for i, e := range entries {
		term, ok := r.journal.Term(e.Index)
		if e.Index > snap && (!ok || term != e.Term) {
			return entries[i:]
		}
	}
	return nil
}

// store writes entries to the journal. The caller holds disk.
func (r *Replica) store(entries []journal.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	r.mu.Lock()
	commit := r.commit
	r.mu.Unlock()
	if entries[0].Index <= commit {
		return r.fail(carawayshift.NewError(carawayshift.Conflict, "a leader replaces committed entries", "stop this host and report this: it must not happen"))
	}
	if err := r.journal.Append(entries); err != nil {
		return r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noteConfigs(entries)
}
