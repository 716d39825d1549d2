package runner

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	digestMethod = "runner.share"
	// digestTimeout leaves time for a second attempt within the 1 s in which a
	// leaving flag must reach all hosts of the zone.
	digestTimeout = 400 * time.Millisecond
	// peerExpiry is how long a peer counts as live without a digest. The other
	// hosts use its slots afterwards.
	peerExpiry = 3 * time.Second
	// refreshInterval bounds the time between digests when nothing changes, so
	// that runners that announce themselves only to this host don't expire at
	// its peers.
	refreshInterval = time.Second
)

// digest is the request body of runner.share. Records holds the runners that
// are new or have changed since the last digest that the peer acknowledged.
// Alive and Counts refer to runners by short ids of the sender, which keeps a
// digest near 3 bytes for each runner. Counts is a flat list of pairs of id and
// count, for the counts that changed.
type digest struct {
	Boot    uint64   `cbor:"1,keyasint"`
	Full    bool     `cbor:"2,keyasint,omitempty"`
	Records []record `cbor:"3,keyasint,omitempty"`
	Alive   []uint64 `cbor:"4,keyasint,omitempty"`
	Counts  []uint64 `cbor:"5,keyasint,omitempty"`
	// Names resolves the ids in Counts of runners that the sender knows only
	// from its peers.
	Names map[uint64]string `cbor:"6,keyasint,omitempty"`
}

type record struct {
	ID     uint64              `cbor:"1,keyasint"`
	Runner carawayshift.Runner `cbor:"2,keyasint"`
	// Age is the time since the announcement arrived, in ms.
	Age int64 `cbor:"3,keyasint,omitempty"`
}

// digestReply is the response to a digest. Unknown is true if the receiver lacks
// earlier digests or the entry of a listed runner; the sender then sends a full
// digest.
type digestReply struct {
	Unknown bool `cbor:"1,keyasint,omitempty"`
}

// peer is the state that this host keeps for one peer: what the peer has
// acknowledged, and the runner names of the ids that the peer sends.
type peer struct {
	notify    chan struct{}
	revisions map[uint64]uint64
	counts    map[uint64]int
	alive     map[uint64]time.Time
	sent      time.Time

	boot  uint64
	names map[uint64]string
}

func (p *Pool) peer(host string) (*peer, bool) {
	if x := p.peers[host]; x != nil {
		return x, false
	}
	x := &peer{notify: make(chan struct{}, 1)}
	x.reset()
	p.peers[host] = x
	return x, true
}

func (x *peer) reset() {
	x.revisions = map[uint64]uint64{}
	x.counts = map[uint64]int{}
	x.alive = map[uint64]time.Time{}
}

// startPeers starts a goroutine for each peer that has none.
func (p *Pool) startPeers(ctx context.Context, wg *sync.WaitGroup) {
	if p.cfg.Transport == nil {
		return
	}
	for _, host := range p.cfg.Peers() {
		if host == p.cfg.Host {
			continue
		}
		p.mu.Lock()
		x, _ := p.peer(host)
		started := !x.sent.IsZero()
		if !started {
			x.sent = time.Now()
		}
		p.mu.Unlock()
		if !started {
			wg.Go(func() { p.sendDigests(ctx, host, x) })
		}
	}
}

// notifyPeers makes each peer's goroutine send a digest immediately.
func (p *Pool) notifyPeers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.peers {
		select {
		case x.notify <- struct{}{}:
		default:
		}
	}
}

func (p *Pool) sendDigests(ctx context.Context, host string, x *peer) {
	full := true
	tick := time.NewTicker(p.cfg.Interval)
	defer tick.Stop()
	for {
		d, commit := p.digest(x, full)
		if d != nil {
			full = !p.sendDigest(ctx, host, d)
			if !full {
				p.mu.Lock()
				commit()
				p.mu.Unlock()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-x.notify:
		}
	}
}

func (p *Pool) sendDigest(ctx context.Context, host string, d *digest) bool {
	body, err := carawayshift.Encode(d)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	b, err := p.cfg.Transport.Call(ctx, host, digestMethod, body)
	if err != nil {
		return false
	}
	var r digestReply
	return carawayshift.Decode(b, &r) == nil && !r.Unknown
}

// digest returns what the peer lacks, or nil if there is nothing to send. The
// returned function records that the peer has acknowledged it.
func (p *Pool) digest(x *peer, full bool) (*digest, func()) {
	inFlight := p.inFlight()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if full {
		x.reset()
	}
	d := &digest{Boot: p.boot, Full: full}
	revisions, counts, alive := map[uint64]uint64{}, map[uint64]int{}, map[uint64]time.Time{}
	for name, e := range p.table {
		p.addRecord(d, x, e, now, revisions, alive)
		n := inFlight[name]
		if n != x.counts[e.id] {
			d.Counts = append(d.Counts, e.id, uint64(n))
			counts[e.id] = n
			if _, known := x.counts[e.id]; !known && !e.announcedHere {
				d.name(e.id, name)
			}
		}
	}
	quiet := len(d.Records)+len(d.Counts) == 0 && now.Sub(x.sent) < refreshInterval
	if quiet && !full {
		return nil, nil
	}
	return d, func() { x.acknowledge(now, revisions, counts, alive) }
}

func (p *Pool) addRecord(d *digest, x *peer, e *entry, now time.Time, revisions map[uint64]uint64, alive map[uint64]time.Time) {
	if !e.announcedHere {
		return
	}
	if x.revisions[e.id] != e.revision {
		d.Records = append(d.Records, record{e.id, e.runner, now.Sub(e.lastDirect).Milliseconds()})
		revisions[e.id], alive[e.id] = e.revision, e.lastDirect
		return
	}
	if e.lastDirect.After(x.alive[e.id]) {
		d.Alive = append(d.Alive, e.id)
		alive[e.id] = e.lastDirect
	}
}

func (d *digest) name(id uint64, name string) {
	if d.Names == nil {
		d.Names = map[uint64]string{}
	}
	d.Names[id] = name
}

func (x *peer) acknowledge(now time.Time, revisions map[uint64]uint64, counts map[uint64]int, alive map[uint64]time.Time) {
	x.sent = now
	for id, v := range revisions {
		x.revisions[id] = v
	}
	for id, n := range counts {
		x.counts[id] = n
	}
	for id, at := range alive {
		x.alive[id] = at
	}
}

// handleDigest merges the digest of a peer.
func (p *Pool) handleDigest(_ context.Context, from string, body []byte) ([]byte, error) {
	var d digest
	if err := carawayshift.Decode(body, &d); err != nil {
		return nil, err
	}
	p.mu.Lock()
	r := p.mergeDigest(from, &d)
	p.mu.Unlock()
	p.onChange()
	return carawayshift.Encode(r)
}

func (p *Pool) mergeDigest(from string, d *digest) digestReply {
	now := time.Now()
	x, _ := p.peer(from)
	if d.Full || x.names == nil {
		if !d.Full {
			return digestReply{Unknown: true}
		}
		x.boot, x.names = d.Boot, map[uint64]string{}
		p.peerCounts[from] = map[string]int{}
	}
	if x.boot != d.Boot || p.peerCounts[from] == nil {
		return digestReply{Unknown: true}
	}
	p.peerSeen[from] = now
	for _, rec := range d.Records {
		x.names[rec.ID] = rec.Runner.Name
		rec.Runner.Seen = now.Add(-time.Duration(rec.Age) * time.Millisecond)
		if rec.Runner.Zone == p.cfg.Zone {
			p.merge(rec.Runner, false)
		}
	}
	for id, name := range d.Names {
		x.names[id] = name
	}
	for i := 0; i+1 < len(d.Counts); i += 2 {
		p.setPeerCount(from, x.names[d.Counts[i]], int(d.Counts[i+1]))
	}
	return digestReply{Unknown: !p.refresh(x, d.Alive, now)}
}

func (p *Pool) setPeerCount(host, name string, n int) {
	if n == 0 {
		delete(p.peerCounts[host], name)
		return
	}
	p.peerCounts[host][name] = n
}

// refresh renews the entries of runners that have announced themselves to the
// peer since its last digest. It returns false if one of them is missing here,
// so that the peer sends a full digest.
func (p *Pool) refresh(x *peer, ids []uint64, now time.Time) bool {
	complete := true
	for _, id := range ids {
		e := p.table[x.names[id]]
		if e == nil {
			complete = false
			continue
		}
		e.runner.Seen = now
	}
	if len(ids) > 0 {
		p.publish()
	}
	return complete
}
