package replica

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/pkg/journal"
)

// applyBatch is the maximum number of entries read from the journal at once.
const applyBatch = 256

// runApply applies committed entries. After New, no other goroutine calls the
// state machine.
func (r *Replica) runApply(ctx context.Context) {
	for {
		err := r.await(ctx, func() bool { return r.restore != nil || r.commit > r.applied })
		if err != nil {
			return
		}
		if err := r.applyNext(ctx); err != nil {
			_ = r.fail(err)
			return
		}
	}
}

func (r *Replica) applyNext(ctx context.Context) error {
	r.mu.Lock()
	snap, from, commit := r.restore, r.applied+1, r.commit
	r.mu.Unlock()
	if snap != nil {
		return r.applySnapshot(snap)
	}
	entries, err := r.journal.Entries(from, min(applyBatch, int(commit-from)+1), maxAppendBytes)
	if errors.Is(err, journal.ErrCompacted) {
		// A snapshot was stored in the meantime; installSnapshot sets r.restore.
		return r.await(ctx, func() bool { return r.restore != nil })
	}
	if err != nil {
		return err
	}
	for _, e := range entries {
		r.applyEntry(e)
	}
	return r.snapshotIfDue(ctx)
}

func (r *Replica) applyEntry(e journal.Entry) {
	var result []byte
	if e.Kind == KindCommand {
		result = r.machine.Apply(e.Index, e.Data)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = e.Index
	r.logBytes += int64(len(e.Data))
	if p := r.waiters[e.Index]; p != nil {
		delete(r.waiters, e.Index)
		if p.term == e.Term {
			p.finish(result, nil)
		} else {
			p.finish(nil, notRun("another leader's entry replaced the command in the log", retryRemedy))
		}
	}
	r.notify()
}

// applySnapshot replaces the state machine's state with a received snapshot.
func (r *Replica) applySnapshot(s *journal.Snapshot) error {
	r.mu.Lock()
	skip := s.Index <= r.applied
	r.mu.Unlock()
	if !skip {
		if err := r.machine.Restore(bytes.NewReader(s.Data)); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restore == s {
		r.restore = nil
	}
	r.applied = max(r.applied, s.Index)
	r.commit = max(r.commit, r.applied)
	for index, p := range r.waiters {
		if index <= s.Index {
			delete(r.waiters, index)
			p.finish(nil, outcomeUnknown("the command was applied as part of a snapshot, which does not hold its result"))
		}
	}
	r.notify()
	return nil
}

// snapshotIfDue stores a snapshot and compacts the log when enough entries
// were applied since the last snapshot.
func (r *Replica) snapshotIfDue(ctx context.Context) error {
	r.mu.Lock()
	index := r.applied
	due := !r.diskFull && (index-r.snapIndex >= r.cfg.SnapshotEntries || r.logBytes >= r.cfg.SnapshotBytes)
	list := r.membershipAt(index)
	r.mu.Unlock()
	if !due {
		return nil
	}
	var b bytes.Buffer
	if err := r.machine.Snapshot(&b); err != nil {
		return err
	}
	members, err := encodeMembers(list)
	if err != nil {
		return err
	}
	if r.lockDisk(ctx) != nil {
		return nil
	}
	defer r.unlockDisk()
	term, ok := r.journal.Term(index)
	if !ok {
		return nil // a newer snapshot was received in the meantime
	}
	s := journal.Snapshot{Index: index, Term: term, Membership: members, Data: b.Bytes()}
	err = r.journal.SaveSnapshot(s)
	if err == nil {
		r.recordSnapshot(index)
		err = r.journal.Compact(r.compactIndex(index))
	}
	if errors.Is(err, journal.ErrDiskFull) {
		_ = r.fail(err)
		return nil // the snapshot is due again once there is space
	}
	return err
}

// compactIndex returns the index of the last entry to drop after a snapshot at
// index. The entries that stay are held in memory, so their size is limited.
func (r *Replica) compactIndex(index uint64) uint64 {
	first := max(index-min(index, r.cfg.KeepEntries)+1, r.journal.FirstIndex())
	entries, err := r.journal.Entries(first, int(index-first)+1, maxInt)
	if err != nil {
		return index
	}
	var size int64
	for i := len(entries) - 1; i >= 0; i-- {
		size += int64(len(entries[i].Data))
		if size > r.cfg.SnapshotBytes {
			return entries[i].Index
		}
	}
	return first - 1
}

func (r *Replica) recordSnapshot(index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapIndex = max(r.snapIndex, index)
	r.logBytes = 0
	r.pruneMemberships()
}
