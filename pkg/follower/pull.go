package follower

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

type pullRequest struct {
	// From is the index of the first entry that the host needs; it has applied
	// From - 1.
	From uint64 `cbor:"1,keyasint"`
}

type pullReply struct {
	Entries [][]byte `cbor:"1,keyasint,omitempty"`
	// Compacted is true when the entry at From was compacted and a snapshot is
	// needed.
	Compacted bool `cbor:"2,keyasint,omitempty"`
	// Last is true when the source has no entries after these.
	Last bool `cbor:"3,keyasint,omitempty"`
	// Known is false when the source does not know the age of its own copy.
	Known bool          `cbor:"4,keyasint,omitempty"`
	Age   time.Duration `cbor:"5,keyasint,omitempty"`
	// Waited is the time from the arrival of the request to the reply.
	Waited time.Duration `cbor:"6,keyasint,omitempty"`
	Leader string        `cbor:"7,keyasint,omitempty"`
	Term   uint64        `cbor:"8,keyasint,omitempty"`
}

// pullLoop pulls entries and snapshots until ctx ends.
func (f *Follower) pullLoop(ctx context.Context) {
	wait := minRetryDelay
	for ctx.Err() == nil {
		source, before, start := f.chooseSource(), f.Applied(), time.Now()
		f.logSource(source)
		err := f.pull(ctx, source)
		if err != nil {
			f.backOff(source)
		} else {
			f.resetBackoff(source)
		}
		if err == nil && (f.Applied() > before || time.Since(start) > maxRetryDelay) {
			wait = minRetryDelay
			continue
		}
		// The delay also prevents a busy loop with a source that immediately
		// returns empty replies.
		if !pause.For(ctx, wait/2+rand.N(wait/2)) {
			return
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

func (f *Follower) logSource(source string) {
	f.mu.Lock()
	old := f.lastSource
	f.lastSource = source
	f.mu.Unlock()
	if source == old {
		return
	}
	reason := "relay of the zone"
	if slices.Contains(f.cfg.Voters(), source) {
		reason = "voter"
	}
	f.cfg.Logger.WithFields(logrus.Fields{"source": source, "before": old, "reason": reason, "alternatives": len(f.sourceOrder()) - 1}).Info("source of the replicated state changed")
}

// chooseSource returns the host to pull from: the first one of sourceOrder that is
// not in backoff after it failed or was too old. If all are in backoff, it is the
// one whose backoff ends first.
func (f *Follower) chooseSource() string {
	order := f.sourceOrder()
	f.mu.Lock()
	defer f.mu.Unlock()
	earliest := ""
	for _, host := range order {
		until := f.backoffs[host].until
		if !time.Now().Before(until) {
			return host
		}
		if earliest == "" || until.Before(f.backoffs[earliest].until) {
			earliest = host
		}
	}
	return earliest
}

// sourceOrder lists the sources by preference: the voters of the zone, then the
// zone's other hosts in name order, with the other voters in the place of this
// host.
func (f *Follower) sourceOrder() []string {
	voters, peers := f.cfg.Voters(), f.cfg.ZonePeers()
	var near, hosts []string
	for _, host := range peers {
		if slices.Contains(voters, host) {
			near = append(near, host)
		} else {
			hosts = append(hosts, host)
		}
	}
	hosts = append(hosts, f.cfg.Host)
	slices.Sort(near)
	slices.Sort(hosts)
	i := slices.Index(hosts, f.cfg.Host)
	far := slices.DeleteFunc(slices.Clone(voters), func(v string) bool { return slices.Contains(near, v) })
	return slices.Concat(near, hosts[:i], far, hosts[i+1:])
}

// sourceBackoff holds the time until which a source is not used.
type sourceBackoff struct {
	until    time.Time
	failures int
}

// backOff doubles the backoff of a source with each consecutive failure. With a
// fixed backoff the first source would be tried again before the last one was
// tried at all.
func (f *Follower) backOff(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.backoffs[host]
	f.backoffs[host] = sourceBackoff{until: time.Now().Add(min(minSourceBackoff<<p.failures, maxSourceBackoff)), failures: min(p.failures+1, 8)}
}

func (f *Follower) resetBackoff(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.backoffs, host)
}

// pull sends one request and applies the reply.
func (f *Follower) pull(ctx context.Context, source string) error {
	if source == "" {
		return errors.New("no source is known")
	}
	f.mu.Lock()
	from, broken := f.applied+1, f.restoreFailed
	f.mu.Unlock()
	if broken {
		return f.fetchSnapshot(ctx, source, from)
	}
	var r pullReply
	sent := time.Now()
	if err := f.call(ctx, pollTimeout+pullMargin, source, methodPull, pullRequest{From: from}, &r); err != nil {
		return err
	}
	if r.Compacted {
		return f.fetchSnapshot(ctx, source, from)
	}
	if len(r.Entries) > 0 && slices.Contains(f.cfg.Voters(), source) {
		f.announceFloor(ctx, from+uint64(len(r.Entries))-1)
	}
	f.apply(from, r.Entries)
	return f.updateAge(source, sent, r)
}

// apply applies entries in order. Only the goroutine of pullLoop calls it.
func (f *Follower) apply(from uint64, entries [][]byte) {
	for i, e := range entries {
		f.applyOne(from+uint64(i), e)
	}
	if len(entries) > 0 {
		f.notifyApplied()
	}
}

// applyOne holds machineMu until f.applied is set, so that takeSnapshot never
// returns a state with the index of the previous entry.
func (f *Follower) applyOne(index uint64, e []byte) {
	f.machineMu.Lock()
	defer f.machineMu.Unlock()
	f.cfg.Machine.Apply(index, e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = index
	f.floor = max(f.floor, index)
	f.bufferEntry(e)
}

// bufferEntry adds an applied entry to the buffer. It is called with f.mu held.
func (f *Follower) bufferEntry(e []byte) {
	f.buffer = append(f.buffer, e)
	f.bufferSize += len(e)
	for len(f.buffer) > bufferEntries || f.bufferSize > bufferBytes {
		f.bufferSize -= len(f.buffer[0])
		f.buffer[0] = nil
		f.buffer = f.buffer[1:]
	}
}

// notifyApplied wakes the waiting pulls of the zone's hosts and requests a report.
func (f *Follower) notifyApplied() {
	f.mu.Lock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.requestReport()
}

// updateAge updates the age of the copy. It returns an error if the source is too
// old, so that the next source is tried.
func (f *Follower) updateAge(source string, sent time.Time, r pullReply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Term >= f.term {
		f.leader, f.term = r.Leader, r.Term
	}
	if r.Known && r.Last {
		if at := sent.Add(r.Waited - r.Age); at.After(f.upToDateAt) {
			f.upToDateAt = at
		}
	}
	if !r.Known || r.Age > maxSourceAge {
		f.cfg.Logger.WithFields(logrus.Fields{"source": source, "age": r.Age, "known": r.Known}).Info("the source's copy of the replicated state is too old; trying another source")
		return errors.Newf("the copy of %s is too old", source)
	}
	return nil
}

type snapshotRequest struct {
	// Index and Offset are 0 for the first chunk.
	Index  uint64 `cbor:"1,keyasint,omitempty"`
	Offset int    `cbor:"2,keyasint,omitempty"`
	// Least is the minimum index of the snapshot.
	Least uint64 `cbor:"3,keyasint,omitempty"`
}

type snapshotReply struct {
	Index uint64 `cbor:"1,keyasint"`
	Total int    `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
}

// fetchSnapshot gets a snapshot in chunks and restores it. The copy never reverts
// to an older state: a snapshot older than the copy is refused.
func (f *Follower) fetchSnapshot(ctx context.Context, source string, from uint64) error {
	var state []byte
	in := snapshotRequest{Least: from}
	for {
		var r snapshotReply
		if err := f.call(ctx, callTimeout, source, methodSnapshot, in, &r); err != nil {
			return err
		}
		if in.Offset > 0 && r.Index != in.Index {
			return errors.New("the snapshot changed during the transfer")
		}
		state = append(state, r.Data...)
		if len(state) >= r.Total {
			f.announceFloor(ctx, r.Index)
			return f.restoreSnapshot(r.Index, from, state)
		}
		if len(r.Data) == 0 {
			return errors.New("the snapshot is incomplete")
		}
		in = snapshotRequest{Index: r.Index, Offset: len(state), Least: from}
	}
}

func (f *Follower) restoreSnapshot(index, from uint64, state []byte) error {
	if index+1 < from {
		return carawayshift.NewError(carawayshift.Refused, "the snapshot is older than the copy", "no action is needed: another source is tried")
	}
	if err := f.replaceState(index, state); err != nil {
		f.cfg.Logger.WithError(err).Error("can't restore the snapshot; this host is not ready until it can restore one; run the same release on all hosts")
		return errors.Wrap(err, "follower.restoreSnapshot")
	}
	f.notifyApplied()
	return nil
}

func (f *Follower) replaceState(index uint64, state []byte) error {
	f.machineMu.Lock()
	defer f.machineMu.Unlock()
	err := f.cfg.Machine.Restore(bytes.NewReader(state))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restoreFailed = err != nil
	if err == nil {
		f.applied = index
		f.floor = max(f.floor, index)
		f.buffer, f.bufferSize = nil, 0
	}
	return err
}
