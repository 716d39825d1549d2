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
	// From is the first index that the host lacks: it has applied From - 1.
	From uint64 `cbor:"1,keyasint"`
}

type pullReply struct {
	Entries [][]byte `cbor:"1,keyasint,omitempty"`
	// Compacted says that From is gone and a snapshot is needed.
	Compacted bool `cbor:"2,keyasint,omitempty"`
	// Last says that the source had no entry after these.
	Last bool `cbor:"3,keyasint,omitempty"`
	// Known is false when the source can't tell the age of its own copy.
	Known bool          `cbor:"4,keyasint,omitempty"`
	Age   time.Duration `cbor:"5,keyasint,omitempty"`
	// Waited is the time from the arrival of the request to the answer.
	Waited time.Duration `cbor:"6,keyasint,omitempty"`
	Leader string        `cbor:"7,keyasint,omitempty"`
	Term   uint64        `cbor:"8,keyasint,omitempty"`
}

// follow pulls until ctx ends.
func (f *Follower) follow(ctx context.Context) {
	wait := retryMin
	for ctx.Err() == nil {
		source, before, began := f.source(), f.Applied(), time.Now()
		f.logSource(source)
		err := f.pull(ctx, source)
		if err != nil {
			f.passOver(source)
		} else {
			f.succeeded(source)
		}
		if err == nil && (f.Applied() > before || time.Since(began) > retryMax) {
			wait = retryMin
			continue
		}
		// A source that answers empty without a wait is not asked in a loop.
		if !pause.For(ctx, wait/2+rand.N(wait/2)) {
			return
		}
		wait = min(2*wait, retryMax)
	}
}

// logSource logs a change of the source.
func (f *Follower) logSource(source string) {
	f.mu.Lock()
	old := f.from
	f.from = source
	f.mu.Unlock()
	if source == old {
		return
	}
	reason := "relay of the zone"
	if slices.Contains(f.cfg.Voters(), source) {
		reason = "voter"
	}
	f.cfg.Logger.WithFields(logrus.Fields{"source": source, "before": old, "reason": reason, "alternatives": len(f.sources()) - 1}).Info("source of the state chosen")
}

// source chooses where to pull: a voter of the zone, else the zone's hosts in
// name order, this one standing for the voters. Sources that failed or were
// too old are passed over for a while; when all were, the one that failed
// first is tried again.
func (f *Follower) source() string {
	order := f.sources()
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := ""
	for _, host := range order {
		until := f.skip[host].until
		if !time.Now().Before(until) {
			return host
		}
		if oldest == "" || until.Before(f.skip[oldest].until) {
			oldest = host
		}
	}
	return oldest
}

func (f *Follower) sources() []string {
	voters, members := f.cfg.Voters(), f.cfg.Members()
	var near, hosts []string
	for _, host := range members {
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

// passed says until when a source is passed over.
type passed struct {
	until    time.Time
	failures int
}

// passOver doubles the time with each failure in a row. With a fixed time the
// first source would be due again before the last one was ever tried.
func (f *Follower) passOver(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.skip[host]
	f.skip[host] = passed{until: time.Now().Add(min(skipMin<<p.failures, skipMax)), failures: min(p.failures+1, 8)}
}

func (f *Follower) succeeded(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.skip, host)
}

// pull makes one request and applies the answer.
func (f *Follower) pull(ctx context.Context, source string) error {
	if source == "" {
		return errors.New("no voter is listed")
	}
	f.mu.Lock()
	from, broken := f.applied+1, f.broken
	f.mu.Unlock()
	if broken {
		return f.fetch(ctx, source, from)
	}
	var r pullReply
	sent := time.Now()
	if err := f.call(ctx, pollWait+pullSlack, source, methodPull, pullRequest{From: from}, &r); err != nil {
		return err
	}
	if r.Compacted {
		return f.fetch(ctx, source, from)
	}
	if len(r.Entries) > 0 && slices.Contains(f.cfg.Voters(), source) {
		f.warn(ctx, from+uint64(len(r.Entries))-1)
	}
	f.apply(from, r.Entries)
	return f.refresh(source, sent, r)
}

// apply applies entries in order. It runs on the goroutine of follow only.
func (f *Follower) apply(from uint64, entries [][]byte) {
	for i, e := range entries {
		f.applyOne(from+uint64(i), e)
	}
	if len(entries) > 0 {
		f.announce()
	}
}

// applyOne holds machineMu until the index is noted, so that take never gives
// a state the index of the entry before.
func (f *Follower) applyOne(index uint64, e []byte) {
	f.machineMu.Lock()
	defer f.machineMu.Unlock()
	f.cfg.Machine.Apply(index, e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = index
	f.floor = max(f.floor, index)
	f.keep(e)
}

// keep buffers an applied entry. It is called with f.mu held.
func (f *Follower) keep(e []byte) {
	f.buffer = append(f.buffer, e)
	f.size += len(e)
	for len(f.buffer) > bufferEntries || f.size > bufferBytes {
		f.size -= len(f.buffer[0])
		f.buffer[0] = nil
		f.buffer = f.buffer[1:]
	}
}

// announce wakes waiting pulls of the zone's hosts and the reports.
func (f *Follower) announce() {
	f.mu.Lock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.touch()
}

// refresh notes the age of the copy. A source that is too old counts as
// failed, so that the next one is tried.
func (f *Follower) refresh(source string, sent time.Time, r pullReply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Term >= f.term {
		f.leader, f.term = r.Leader, r.Term
	}
	if r.Known && r.Last {
		if at := sent.Add(r.Waited - r.Age); at.After(f.fresh) {
			f.fresh = at
		}
	}
	if !r.Known || r.Age > maxAge {
		f.cfg.Logger.WithFields(logrus.Fields{"source": source, "age": r.Age, "known": r.Known}).Info("source of the state is too old")
		return errors.Newf("the copy of %s is too old", source)
	}
	return nil
}

type snapshotRequest struct {
	// Index and Offset are 0 for the first chunk.
	Index  uint64 `cbor:"1,keyasint,omitempty"`
	Offset int    `cbor:"2,keyasint,omitempty"`
	// Least is the index that the snapshot must have at least.
	Least uint64 `cbor:"3,keyasint,omitempty"`
}

type snapshotReply struct {
	Index uint64 `cbor:"1,keyasint"`
	Total int    `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
}

// fetch gets a snapshot in chunks and restores it. The copy never goes back:
// a snapshot older than the copy is refused.
func (f *Follower) fetch(ctx context.Context, source string, from uint64) error {
	var state []byte
	in := snapshotRequest{Least: from}
	for {
		var r snapshotReply
		if err := f.call(ctx, callWait, source, methodSnapshot, in, &r); err != nil {
			return err
		}
		if in.Offset > 0 && r.Index != in.Index {
			return errors.New("the snapshot changed during the transfer")
		}
		state = append(state, r.Data...)
		if len(state) >= r.Total {
			f.warn(ctx, r.Index)
			return f.restore(r.Index, from, state)
		}
		if len(r.Data) == 0 {
			return errors.New("the snapshot is cut short")
		}
		in = snapshotRequest{Index: r.Index, Offset: len(state), Least: from}
	}
}

func (f *Follower) restore(index, from uint64, state []byte) error {
	if index+1 < from {
		return carawayshift.NewError(carawayshift.Refused, "the snapshot is older than the copy", "none, another source is tried")
	}
	if err := f.replace(index, state); err != nil {
		f.cfg.Logger.WithError(err).Error("snapshot can't be restored, the host serves nothing until one can; run the same release on all hosts")
		return errors.Wrap(err, "follower.restore")
	}
	f.announce()
	return nil
}

func (f *Follower) replace(index uint64, state []byte) error {
	f.machineMu.Lock()
	defer f.machineMu.Unlock()
	err := f.cfg.Machine.Restore(bytes.NewReader(state))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = err != nil
	if err == nil {
		f.applied = index
		f.floor = max(f.floor, index)
		f.buffer, f.size = nil, 0
	}
	return err
}
