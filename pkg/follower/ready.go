package follower

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	floorRetry = 200 * time.Millisecond
	// warnWait bounds the delay of a change by a peer that does not answer.
	warnWait = 300 * time.Millisecond
	// barrierWait leaves time to ask further voters within one callWait.
	barrierWait = time.Second
)

// floorNotice says what a host is about to show.
type floorNotice struct {
	Index uint64 `cbor:"1,keyasint,omitempty"`
}

type floorReply struct {
	Index uint64 `cbor:"1,keyasint"`
	// Ready is false while the host looks for its own floor.
	Ready bool `cbor:"2,keyasint,omitempty"`
}

// Ready returns nil when the copy is at least as new as any that this host or
// a peer has shown, and otherwise the reason. It stays nil until the host
// restarts: a host that is cut off serves its old copy and tells its age.
func (f *Follower) Ready() error {
	if f.cfg.Source != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.broken:
		return carawayshift.NewError(carawayshift.Unavailable, "the last snapshot could not be restored", "run the same release on all hosts")
	case !f.checked:
		return carawayshift.NewError(carawayshift.Unavailable, "neither the leader nor all live hosts of the zone named the floor since the start", "wait, or check the links of this host")
	case f.applied < f.floor:
		return carawayshift.NewError(carawayshift.Unavailable, "the copy is older than one that was shown by a peer", "wait until it has caught up")
	}
	return nil
}

// findFloor asks until the floor is known. Either the leader names it, since
// nothing newer than its commit index was ever shown; or, while no leader can
// be reached, every live host of the zone does, and each is ready. A host that
// is not ready may have shown more before its own restart. Two hosts that
// restart at once while the zone is cut off therefore both wait for the leader.
// A host of the zone that is down can't be asked.
// What this host had shown in a former run is known to the peers, unless it was
// cut off from all of them when it applied it.
func (f *Follower) findFloor(ctx context.Context) {
	for {
		if index, err := f.Barrier(ctx); err == nil {
			f.setFloor(index, true)
			return
		}
		if f.askPeers(ctx) {
			return
		}
		if !pause.For(ctx, floorRetry) {
			return
		}
	}
}

func (f *Follower) askPeers(ctx context.Context) bool {
	peers := f.cfg.Members()
	for _, host := range peers {
		var r floorReply
		if err := f.call(ctx, callWait, host, methodFloor, floorNotice{}, &r); err != nil || !r.Ready {
			return false
		}
		f.setFloor(r.Index, false)
	}
	if len(peers) > 0 {
		f.setFloor(0, true)
	}
	return len(peers) > 0
}

// warn tells the live hosts of the zone what this host is about to apply, so
// that they can name the floor when this host restarts before they have it. It
// is called on hosts that pull from a voter; any other host's source has
// applied what it gives.
func (f *Follower) warn(ctx context.Context, index uint64) {
	var wg sync.WaitGroup
	for _, host := range f.cfg.Members() {
		wg.Go(func() {
			_ = f.call(ctx, warnWait, host, methodFloor, floorNotice{Index: index}, new(floorReply))
		})
	}
	wg.Wait()
}

func (f *Follower) setFloor(index uint64, checked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.floor = max(f.floor, index)
	f.checked = f.checked || checked
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
	f.heard = max(f.heard, in.Index)
	return carawayshift.Encode(floorReply{Index: max(f.floor, f.heard), Ready: ready})
}
