package follower

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	floorRetryDelay = 200 * time.Millisecond
	// announceTimeout limits how long a peer that does not respond delays a change.
	announceTimeout = 300 * time.Millisecond
	// barrierTimeout leaves time to call other voters within one callTimeout.
	barrierTimeout = time.Second
)

// floorNotice announces the index that a host is about to apply.
type floorNotice struct {
	Index uint64 `cbor:"1,keyasint,omitempty"`
}

type floorReply struct {
	Index uint64 `cbor:"1,keyasint"`
	// Ready is false while the host has not determined or reached its floor.
	Ready bool `cbor:"2,keyasint,omitempty"`
}

// Ready returns nil when the copy is at least as new as any that this host or a
// peer has served, and otherwise the reason. It stays nil until the host
// restarts: a host without a connection serves its old copy and reports its age.
func (f *Follower) Ready() error {
	if f.cfg.Source != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.restoreFailed:
		return carawayshift.NewError(carawayshift.Unavailable, "the last snapshot could not be restored", "run the same release on all hosts")
	case !f.floorKnown:
		return carawayshift.NewError(carawayshift.Unavailable, "since the start, neither the leader nor all live hosts of the zone have reported the index that this copy must reach", "wait, or check the network connections of this host")
	case f.applied < f.floor:
		return carawayshift.NewError(carawayshift.Unavailable, "the copy is older than one that a peer has served", "wait until it has caught up")
	}
	return nil
}

// findFloor retries until the floor is known. The leader's commit index is a
// floor, because no host has served a newer entry. While no leader can be
// reached, the floor is the maximum that the live hosts of the zone report,
// provided that all of them are ready: a host that is not ready may have served
// newer entries before its own restart. Two hosts that restart at the same time
// while the zone is disconnected from the voters therefore both wait for the
// leader. Hosts of the zone that are down can't be asked. The peers know what
// this host served before its restart, unless it was disconnected from all of
// them when it applied it.
func (f *Follower) findFloor(ctx context.Context) {
	for {
		if index, err := f.Barrier(ctx); err == nil {
			f.setFloor(index, true)
			return
		}
		if f.floorFromPeers(ctx) {
			return
		}
		if !pause.For(ctx, floorRetryDelay) {
			return
		}
	}
}

func (f *Follower) floorFromPeers(ctx context.Context) bool {
	peers := f.cfg.ZonePeers()
	for _, host := range peers {
		var r floorReply
		if err := f.call(ctx, callTimeout, host, methodFloor, floorNotice{}, &r); err != nil || !r.Ready {
			return false
		}
		f.setFloor(r.Index, false)
	}
	if len(peers) > 0 {
		f.setFloor(0, true)
	}
	return len(peers) > 0
}

// announceFloor announces to the live hosts of the zone which index this host is
// about to apply, so that they can report it as the floor if this host restarts
// before they have applied it. Only hosts that pull from a voter call it; the source of
// any other host has already applied the entries.
func (f *Follower) announceFloor(ctx context.Context, index uint64) {
	var wg sync.WaitGroup
	for _, host := range f.cfg.ZonePeers() {
		wg.Go(func() {
			_ = f.call(ctx, announceTimeout, host, methodFloor, floorNotice{Index: index}, new(floorReply))
		})
	}
	wg.Wait()
}

func (f *Follower) setFloor(index uint64, checked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.floor = max(f.floor, index)
	f.floorKnown = f.floorKnown || checked
}

func (f *Follower) handleFloor(_ context.Context, _ string, body []byte) ([]byte, error) {
	var in floorNotice
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	if f.cfg.Source != nil {
		return carawayshift.Encode(floorReply{Index: f.cfg.Source.Commit(), Ready: true})
	}
	ready := f.Ready() == nil
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = max(f.announced, in.Index)
	return carawayshift.Encode(floorReply{Index: max(f.floor, f.announced), Ready: ready})
}
