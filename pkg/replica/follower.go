package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

// handleAppend handles the leader's entries and heartbeats. It replies only
// after the entries are synced to disk.
func (r *Replica) handleAppend(ctx context.Context, from string, body []byte) ([]byte, error) {
	var req appendRequest
	if err := carawayshift.Decode(body, &req); err != nil {
		return nil, err
	}
	if err := r.lockDisk(ctx); err != nil {
		return nil, err
	}
	defer r.unlockDisk()
	reply, err := r.appendEntries(from, req)
	if err != nil {
		return nil, err
	}
	r.setIdentity(&reply)
	return carawayshift.Encode(reply)
}

// setIdentity sets the term and the disk identity of a reply. A refused data
// folder sends no identity, so that every leader refuses it.
func (r *Replica) setIdentity(reply *appendReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Term = r.hardState.Term
	if !r.hardState.Refused {
		reply.Identity = r.hardState.Identity
	}
}

// appendEntries processes an append request. The caller holds diskLock.
func (r *Replica) appendEntries(from string, req appendRequest) (appendReply, error) {
	ok, err := r.acceptLeader(from, req.Term, req.To)
	if err != nil || !ok {
		return appendReply{}, err
	}
	if req.Refused {
		return appendReply{}, r.markRefused()
	}
	term, known := r.journal.Term(req.Prev)
	if !known && r.isCommitted(req.Prev) {
		return r.committedReply(), nil
	}
	if !known || term != req.PrevTerm {
		return r.conflictReply(req), nil
	}
	entries := r.newEntries(fromWire(req.Prev, req.Entries))
	if err := r.storeEntries(entries); err != nil {
		return appendReply{}, err
	}
	match := req.Prev + uint64(len(req.Entries))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordAcked(req.Acked)
	r.setCommit(min(req.Commit, match))
	return appendReply{OK: true, Index: match}, nil
}

// acceptLeader records the sender as the leader of its term, unless the term is
// old or the message is addressed to another disk. The caller holds diskLock.
func (r *Replica) acceptLeader(from string, term, to uint64) (bool, error) {
	h := r.journal.HardState()
	if term < h.Term || to != h.Identity || h.Refused {
		return false, nil
	}
	err := r.adoptTerm(term, from)
	if err != nil && !errors.Is(err, journal.ErrDiskFull) {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead != nil {
		return false, carawayshift.NewError(carawayshift.Conflict, from+" sends entries as the leader of a term that this host leads", "report this as a bug")
	}
	if r.leader != from {
		r.leader = from
		r.notify()
	}
	r.leaderContact = time.Now()
	r.resetElectionTimer(r.cfg.ElectionTimeout)
	// A host whose disk is full can't store the term. It acknowledges nothing, but
	// forwards requests to the leader.
	return err == nil, err
}

// markRefused stores that this data folder lacks entries that this host
// acknowledged. From then on the host neither votes nor acknowledges entries.
func (r *Replica) markRefused() error {
	r.mu.Lock()
	h := r.hardState
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
	r.hardState = h
	r.notify()
	return nil
}

// conflictReply returns the index after which the leader tries next: the end of
// this log, or the entry before those of the conflicting term.
func (r *Replica) conflictReply(req appendRequest) appendReply {
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

func (r *Replica) isCommitted(index uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return index <= r.commit
}

// committedReply answers a leader that missed the reply to its snapshot and
// sends entries from before the snapshot: all entries committed here match.
func (r *Replica) committedReply() appendReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return appendReply{OK: true, Index: r.commit}
}

// newEntries skips the entries that are already in the log, so that a delayed
// or duplicated message never truncates the log.
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

// storeEntries appends entries to the journal. The caller holds diskLock.
func (r *Replica) storeEntries(entries []journal.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	r.mu.Lock()
	commit := r.commit
	r.mu.Unlock()
	if entries[0].Index <= commit {
		return r.fail(carawayshift.NewError(carawayshift.Conflict, "the leader tried to replace committed entries", "stop this host and report this as a bug"))
	}
	if err := r.journal.Append(entries); err != nil {
		return r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumeWrites()
	return r.recordMemberships(entries)
}
