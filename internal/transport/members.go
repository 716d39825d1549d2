package transport

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	pingMethod = "host.ping"
	// pingInterval is the heartbeat interval between hosts of one zone. A host
	// does not ping a peer whose ping it received within this interval, so each
	// pair exchanges about one ping per interval.
	pingInterval = time.Second
	pingTimeout  = 1500 * time.Millisecond
	// suspectAfter tolerates two lost heartbeats; after missingAfter the host's
	// share of slots is used by the other hosts.
	suspectAfter = 2500 * time.Millisecond
	missingAfter = 4 * time.Second
	// Every probeInterval a host pings one host of the other zones, in round
	// robin order, so that the cost per host does not depend on the size of the
	// deployment.
	probeInterval = 5 * time.Second
	probeTimeout  = 3 * time.Second
)

// MemberState is the result of failure detection for a host.
type MemberState string

// States of members. Missing and Left hosts are sent no new work.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Missing MemberState = "missing"
	Left    MemberState = "left"
)

// Member is this host's view of another host.
type Member struct {
	Name string
	Zone string
	// Incarnation increases with each start of the host.
	Incarnation int64
	State       MemberState
	// Since is the time of the last contact, or zero if the host is alive. If
	// there was no contact yet, it is the start time of this host.
	Since time.Time
}

type ping struct {
	Incarnation int64 `cbor:"1,keyasint"`
	Leaving     bool  `cbor:"2,keyasint,omitempty"`
}

// members detects failures of the other hosts.
type members struct {
	mesh        *Mesh
	incarnation int64

	mu       sync.Mutex
	leaving  bool
	contacts map[string]*contact
}

type contact struct {
	incarnation int64
	lastContact time.Time
	left        bool
}

func newMembers(mesh *Mesh) *members {
	now := time.Now()
	m := &members{mesh: mesh, incarnation: now.UnixNano(), contacts: map[string]*contact{}}
	for name := range mesh.peers {
		m.contacts[name] = &contact{lastContact: now}
	}
	return m
}

func (m *members) start() {
	var remote []*peer
	for _, p := range m.mesh.peers {
		if p.Zone == m.mesh.cfg.Zone {
			m.mesh.spawn(func() { m.heartbeat(p) })
		} else {
			remote = append(remote, p)
		}
	}
	if len(remote) > 0 {
		slices.SortFunc(remote, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
		m.mesh.spawn(func() { m.probe(remote) })
	}
}

// heartbeat pings one host of the zone. The jitter prevents both hosts from
// pinging each other at the same time.
func (m *members) heartbeat(p *peer) {
	for m.mesh.sleep(pingInterval*9/10 + rand.N(pingInterval/5)) {
		if m.sinceContact(p.Name) >= pingInterval*9/10 {
			m.ping(m.mesh.ctx, p, pingTimeout)
		}
	}
}

func (m *members) probe(remote []*peer) {
	for i := rand.N(len(remote)); m.mesh.sleep(probeInterval*3/4 + rand.N(probeInterval/2)); i++ {
		m.ping(m.mesh.ctx, remote[i%len(remote)], probeTimeout)
	}
}

// sleep waits for d and returns false if the mesh was closed.
func (m *Mesh) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-m.ctx.Done():
		return false
	}
}

func (m *members) sinceContact(name string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.contacts[name].lastContact)
}

func (m *members) ownPing() ping {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ping{Incarnation: m.incarnation, Leaving: m.leaving}
}

func (m *members) ping(ctx context.Context, p *peer, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body, err := carawayshift.Encode(m.ownPing())
	if err != nil {
		return
	}
	b, err := m.mesh.Call(ctx, p.Name, pingMethod, body)
	if err != nil {
		return
	}
	var answer ping
	if carawayshift.Decode(b, &answer) == nil {
		m.recordPing(p.Name, answer)
	}
}

func (m *members) handlePing(_ context.Context, from string, body []byte) ([]byte, error) {
	var in ping
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	m.recordPing(from, in)
	return carawayshift.Encode(m.ownPing())
}

// recordPing updates the state of a host from its ping. A ping of an older
// incarnation was delayed and is ignored. An incarnation that is leaving never
// becomes alive again.
func (m *members) recordPing(name string, in ping) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.contacts[name]
	if c == nil || in.Incarnation < c.incarnation {
		return
	}
	if in.Incarnation > c.incarnation {
		c.left = false
	}
	c.incarnation = in.Incarnation
	c.left = c.left || in.Leaving
	c.lastContact = time.Now()
}

// Members returns the other hosts of this host's zone, sorted by name.
func (m *Mesh) Members() []Member {
	return m.listMembers(func(p *peer) bool { return p.Zone == m.cfg.Zone }, suspectAfter, missingAfter)
}

// Live returns the names of the other hosts of the zone that are alive or
// suspect.
func (m *Mesh) Live() []string {
	var out []string
	for _, v := range m.Members() {
		if v.State == Alive || v.State == Suspect {
			out = append(out, v.Name)
		}
	}
	return out
}

// Remote returns the hosts of other zones, sorted by name. They are probed
// rarely, so their state lags by up to two rounds of probes.
func (m *Mesh) Remote() []Member {
	other := func(p *peer) bool { return p.Zone != m.cfg.Zone }
	roundTime := probeInterval * time.Duration(len(m.peers))
	return m.listMembers(other, roundTime+missingAfter, 2*roundTime+missingAfter)
}

func (m *Mesh) listMembers(want func(*peer) bool, suspect, missing time.Duration) []Member {
	m.members.mu.Lock()
	defer m.members.mu.Unlock()
	var out []Member
	for name, p := range m.peers {
		if want(p) {
			out = append(out, m.members.contacts[name].member(p, suspect, missing))
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (c *contact) member(p *peer, suspect, missing time.Duration) Member {
	out := Member{Name: p.Name, Zone: p.Zone, Incarnation: c.incarnation, State: Alive, Since: c.lastContact}
	age := time.Since(c.lastContact)
	switch {
	case c.left:
		out.State = Left
	case age >= missing:
		out.State = Missing
	case age >= suspect:
		out.State = Suspect
	default:
		out.Since = time.Time{}
	}
	return out
}

// Leave notifies the other hosts of the zone that this host stops, so that they
// send it no new work. It returns when all have responded, the pings timed out
// or ctx is cancelled.
func (m *Mesh) Leave(ctx context.Context) {
	m.members.mu.Lock()
	m.members.leaving = true
	m.members.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range m.peers {
		if p.Zone == m.cfg.Zone {
			wg.Go(func() { m.members.ping(ctx, p, pingTimeout) })
		}
	}
	wg.Wait()
}
