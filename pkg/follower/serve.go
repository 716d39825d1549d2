package follower

import (
	"bytes"
	"context"
	"time"

	"carawayshift.example/carawayshift"
)

// snapshot is kept while hosts fetch its chunks.
type snapshot struct {
	index uint64
	state []byte
	taken time.Time
}

// snapshotLife is how long a snapshot is offered to further hosts, so that a
// zone that restarts does not take one for each host.
const snapshotLife = 10 * time.Second

// handlePull answers when there is something new, or after pollWait.
func (f *Follower) handlePull(ctx context.Context, from string, body []byte) ([]byte, error) {
	arrived := time.Now()
	var in pullRequest
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	if in.From == 0 {
		return nil, carawayshift.NewError(carawayshift.Malformed, "entries count from 1", "run the same release on all hosts")
	}
	f.note(from, in.From-1)
	waitCtx, cancel := context.WithTimeout(ctx, pollWait)
	defer cancel()
	var r pullReply
	if f.cfg.Source != nil {
		r = f.fromSource(waitCtx, in.From)
	} else {
		r = f.fromBuffer(waitCtx, in.From)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.Waited = time.Since(arrived)
	return carawayshift.Encode(r)
}

func (f *Follower) fromSource(ctx context.Context, from uint64) pullReply {
	// The end of the wait is no fault: the answer is then empty.
	_ = f.cfg.Source.Wait(ctx, from)
	var r pullReply
	entries, ok := f.cfg.Source.Entries(from, batchEntries)
	r.Compacted = !ok
	r.Entries = cut(entries)
	r.Last = ok && from+uint64(len(r.Entries)) > f.cfg.Source.Commit()
	r.Leader, r.Term = f.cfg.Log.Leader()
	r.Known = r.Leader != ""
	return r
}

// fromBuffer serves a host of the zone from the relay's buffer.
func (f *Follower) fromBuffer(ctx context.Context, from uint64) pullReply {
	_ = f.WaitApplied(ctx, from)
	f.mu.Lock()
	defer f.mu.Unlock()
	r := pullReply{Leader: f.leader, Term: f.term, Known: !f.fresh.IsZero(), Age: max(0, f.age())}
	first := f.applied + 1 - uint64(len(f.buffer))
	switch {
	case from > f.applied:
		r.Last = true
	case from < first:
		r.Compacted = true
	default:
		entries := f.buffer[from-first:]
		r.Entries = cut(entries[:min(len(entries), batchEntries)])
		r.Last = from+uint64(len(r.Entries)) > f.applied
	}
	return r
}

// cut returns as many entries as fit into a batch, but at least one.
func cut(entries [][]byte) [][]byte {
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
	s := f.offered(in)
	if s.index+1 < in.Least || in.Offset < 0 || in.Offset > len(s.state) {
		return nil, carawayshift.NewError(carawayshift.NotFound, "no such snapshot", "none, another source is tried")
	}
	end := min(in.Offset+chunkBytes, len(s.state))
	return carawayshift.Encode(snapshotReply{Index: s.index, Total: len(s.state), Data: s.state[in.Offset:end]})
}

// offered returns the kept snapshot, or takes a new one for a host that
// begins a transfer.
func (f *Follower) offered(in snapshotRequest) snapshot {
	f.mu.Lock()
	s := f.snapshot
	f.mu.Unlock()
	if in.Offset > 0 || (s.state != nil && time.Since(s.taken) < snapshotLife && s.index+1 >= in.Least) {
		return s
	}
	s = f.take()
	f.mu.Lock()
	f.snapshot = s
	f.mu.Unlock()
	return s
}

func (f *Follower) take() snapshot {
	if f.cfg.Source != nil {
		index, state := f.cfg.Source.Snapshot()
		return snapshot{index: index, state: state, taken: time.Now()}
	}
	var b bytes.Buffer
	f.machineMu.Lock()
	defer f.machineMu.Unlock()
	f.mu.Lock()
	index, broken := f.applied, f.broken
	f.mu.Unlock()
	if broken || f.cfg.Machine.Snapshot(&b) != nil {
		return snapshot{}
	}
	return snapshot{index: index, state: b.Bytes(), taken: time.Now()}
}
