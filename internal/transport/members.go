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
	// pingEvery is the heartbeat between hosts of one zone. A host does not
	// ping a peer whose ping arrived within this period, so each pair
	// exchanges about one ping per period.
	pingEvery = time.Second
	pingWait  = 1500 * time.Millisecond
	// suspectAfter covers two lost heartbeats; missingAfter is when the host's
	// share of slots is lent.
	suspectAfter = 2500 * time.Millisecond
	missingAfter = 4 * time.Second
	// A host probes one host of another zone every probeEvery, in turn, so
	// that the cost per host does not rise with the size of the deployment.
	probeEvery = 5 * time.Second
	probeWait  = 3 * time.Second
)

// MemberState says how sure this host is that another one lives.
type MemberState string

// States of members. Missing and Left hosts get no new work.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Missing MemberState = "missing"
	Left    MemberState = "left"
)

// Member is one host as this host sees it.
type Member struct {
	Name string
	Zone string
	// Incarnation rises with each start of the host.
	Incarnation int64
	State       MemberState
	// Since is when the host was heard last if it is not alive, and zero if
	// it is alive. A host that was never heard counts from this host's start.
	Since time.Time
}

type ping struct {
	Incarnation int64 `cbor:"1,keyasint"`
	Leaving     bool  `cbor:"2,keyasint,omitempty"`
}

// members tracks which hosts live.
type members struct {
	mesh        *Mesh
	incarnation int64

	mu      sync.Mutex
	leaving bool
	seen    map[string]*sighting
}

type sighting struct {
	incarnation int64
	heard       time.Time
	left        bool
}

func newMembers(m *Mesh) *members {
	now := time.Now()
	s := &members{mesh: m, incarnation: now.UnixNano(), seen: map[string]*sighting{}}
	for name := range m.peers {
		s.seen[name] = &sighting{heard: now}
	}
	return s
}

func (s *members) start() {
	var remote []*peer
	for _, p := range s.mesh.peers {
		if p.Zone == s.mesh.cfg.Zone {
			s.mesh.spawn(func() { s.heartbeat(p) })
		} else {
			remote = append(remote, p)
		}
	}
	if len(remote) > 0 {
		slices.SortFunc(remote, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
		s.mesh.spawn(func() { s.probe(remote) })
	}
}

// heartbeat pings one host of the zone. The jitter keeps the two ends from
// pinging each other at the same moments.
func (s *members) heartbeat(p *peer) {
	for s.mesh.sleep(pingEvery*9/10 + rand.N(pingEvery/5)) {
		if s.age(p.Name) >= pingEvery*9/10 {
			s.ping(s.mesh.ctx, p, pingWait)
		}
	}
}

func (s *members) probe(remote []*peer) {
	for i := rand.N(len(remote)); s.mesh.sleep(probeEvery*3/4 + rand.N(probeEvery/2)); i++ {
		s.ping(s.mesh.ctx, remote[i%len(remote)], probeWait)
	}
}

// sleep returns false when the mesh closed.
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

func (s *members) age(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.seen[name].heard)
}

func (s *members) own() ping {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ping{Incarnation: s.incarnation, Leaving: s.leaving}
}

func (s *members) ping(ctx context.Context, p *peer, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body, err := carawayshift.Encode(s.own())
	if err != nil {
		return
	}
	b, err := s.mesh.Call(ctx, p.Name, pingMethod, body)
	if err != nil {
		return
	}
	var answer ping
	if carawayshift.Decode(b, &answer) == nil {
		s.note(p.Name, answer)
	}
}

func (s *members) handlePing(_ context.Context, from string, body []byte) ([]byte, error) {
	var in ping
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	s.note(from, in)
	return carawayshift.Encode(s.own())
}

// note records a sign of life. One of an older incarnation is a late message
// and changes nothing; leaving is final for an incarnation.
func (s *members) note(name string, in ping) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.seen[name]
	if v == nil || in.Incarnation < v.incarnation {
		return
	}
	if in.Incarnation > v.incarnation {
		v.left = false
	}
	v.incarnation = in.Incarnation
	v.left = v.left || in.Leaving
	v.heard = time.Now()
}

// Members lists all other hosts of this host's zone by name.
func (m *Mesh) Members() []Member {
	return m.list(func(p *peer) bool { return p.Zone == m.cfg.Zone }, suspectAfter, missingAfter)
}

// Live lists the names of the zone's other hosts that are alive or suspect.
func (m *Mesh) Live() []string {
	var out []string
	for _, v := range m.Members() {
		if v.State == Alive || v.State == Suspect {
			out = append(out, v.Name)
		}
	}
	return out
}

// Remote lists the hosts of other zones by name. They are probed rarely, so
// their state lags by up to two rounds of probes.
func (m *Mesh) Remote() []Member {
	other := func(p *peer) bool { return p.Zone != m.cfg.Zone }
	round := probeEvery * time.Duration(len(m.peers))
	return m.list(other, round+missingAfter, 2*round+missingAfter)
}

func (m *Mesh) list(want func(*peer) bool, suspect, missing time.Duration) []Member {
	m.members.mu.Lock()
	defer m.members.mu.Unlock()
	var out []Member
	for name, p := range m.peers {
		if want(p) {
			out = append(out, m.members.seen[name].member(p, suspect, missing))
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (v *sighting) member(p *peer, suspect, missing time.Duration) Member {
	out := Member{Name: p.Name, Zone: p.Zone, Incarnation: v.incarnation, State: Alive, Since: v.heard}
	age := time.Since(v.heard)
	switch {
	case v.left:
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

// Leave tells the hosts of the zone that this one stops, so that they give it
// no new work. It returns when each has answered or ctx ended.
func (m *Mesh) Leave(ctx context.Context) {
	m.members.mu.Lock()
	m.members.leaving = true
	m.members.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range m.peers {
		if p.Zone == m.cfg.Zone {
			wg.Go(func() { m.members.ping(ctx, p, pingWait) })
		}
	}
	wg.Wait()
}
