package follower

import (
	"bytes"
	"context"
	"time"

	"carawayshift.example/carawayshift"
)

// snapshot is a state that is kept while hosts fetch its chunks.
type snapshot struct {
	index uint64
	state []byte
	taken time.Time
}

// snapshotMaxAge is how long a snapshot is reused for other hosts, so that the
// restart of a whole zone does not require one snapshot for each host.
const snapshotMaxAge = 10 * time.Second

// handlePull replies when there are new entries, or after pollTimeout.
func (f *Follower) handlePull(ctx context.Context, from string, body []byte) ([]byte, error) {
	arrived := time.Now()
	var in pullRequest
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	if in.From == 0 {
		return nil, carawayshift.NewError(carawayshift.Malformed, "the first index is 1, not 0", "run the same release on all hosts")
	}
	f.recordProgress(from, in.From-1)
	waitCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var r pullReply
	if f.cfg.Source != nil {
		r = f.readSource(waitCtx, in.From)
	} else {
		r = f.readBuffer(waitCtx, in.From)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.Waited = time.Since(arrived)
	return carawayshift.Encode(r)
}

func (f *Follower) readSource(ctx context.Context, from uint64) pullReply {
	// A timeout is not an error: the reply is empty then.
	_ = f.cfg.Source.Wait(ctx, from)
	var r pullReply
	entries, ok := f.cfg.Source.Entries(from, batchEntries)
	r.Compacted = !ok
	r.Entries = limitBatch(entries)
	r.Last = ok && from+uint64(len(r.Entries)) > f.cfg.Source.Commit()
	r.Leader, r.Term = f.cfg.Log.Leader()
	r.Known = r.Leader != ""
	return r
}

// readBuffer returns entries from the relay's buffer for a host of the zone.
func (f *Follower) readBuffer(ctx context.Context, from uint64) pullReply {
	_ = f.WaitApplied(ctx, from)
	f.mu.Lock()
	defer f.mu.Unlock()
	r := pullReply{Leader: f.leader, Term: f.term, Known: !f.upToDateAt.IsZero(), Age: max(0, f.age())}
	first := f.applied + 1 - uint64(len(f.buffer))
	switch {
	case from > f.applied:
		r.Last = true
	case from < first:
		r.Compacted = true
	default:
		entries := f.buffer[from-first:]
		r.Entries = limitBatch(entries[:min(len(entries), batchEntries)])
		r.Last = from+uint64(len(r.Entries)) > f.applied
	}
	return r
}

// limitBatch returns the first entries up to the size of a batch, but at least one.
func limitBatch(entries [][]byte) [][]byte {
	size := 0
	for i, e := range entries {
		size += len(e)
		if i > 0 && size > batchBytes {
			return entries[:i]
		}
	}
	return entries
}

func (f *Follower) handleSnapshot(_ context.Context, _ string, body []byte) ([]byte, error) {
	var in snapshotRequest
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	s := f.snapshotFor(in)
	if s.index+1 < in.Least || in.Offset < 0 || in.Offset > len(s.state) {
		return nil, carawayshift.NewError(carawayshift.NotFound, "no such snapshot", "no action is needed: another source is tried")
	}
	end := min(in.Offset+chunkBytes, len(s.state))
	return carawayshift.Encode(snapshotReply{Index: s.index, Total: len(s.state), Data: s.state[in.Offset:end]})
}

// snapshotFor returns the stored snapshot, or takes a new one for a host that
// starts a transfer if the stored one is too old.
func (f *Follower) snapshotFor(in snapshotRequest) snapshot {
	f.mu.Lock()
	s := f.snapshot
	f.mu.Unlock()
	if in.Offset > 0 || (s.state != nil && time.Since(s.taken) < snapshotMaxAge && s.index+1 >= in.Least) {
		return s
	}
	s = f.takeSnapshot()
	f.mu.Lock()
	f.snapshot = s
	f.mu.Unlock()
	return s
}

func (f *Follower) takeSnapshot() snapshot {
	if f.cfg.Source != nil {
		index, state := f.cfg.Source.Snapshot()
		return snapshot{index: index, state: state, taken: time.Now()}
	}
	var b bytes.Buffer
	f.machineMu.Lock()
	defer f.machineMu.Unlock()
	f.mu.Lock()
	index, broken := f.applied, f.restoreFailed
	f.mu.Unlock()
	if broken || f.cfg.Machine.Snapshot(&b) != nil {
		return snapshot{}
	}
	return snapshot{index: index, state: b.Bytes(), taken: time.Now()}
}
