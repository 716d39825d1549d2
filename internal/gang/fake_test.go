package gang_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/state"
)

const (
	maxDelay  = 20 * time.Millisecond
	zoneLease = 2 * time.Second
	// holderLease is the part of the zone lease that its holder uses.
	holderLease = 1900 * time.Millisecond
)

// network joins the hosts and the stand-in workers of one zone in memory. It
// delays and drops messages, cuts links in one direction, and freezes nodes:
// a message to or from a frozen node waits until the node goes on.
type network struct {
	seed uint64

	mu sync.Mutex
	// links has a random source for each direction between two nodes, so
	// that the order of goroutines changes little.
	links  map[[2]string]*rand.Rand
	drop   float64
	cut    map[[2]string]bool
	frozen map[string]time.Time
	// trap sees each message towards a worker before it leaves; n.mu is held.
	trap  func(from, path string)
	nodes map[string]http.Handler
	hosts map[string]map[string]carawayshift.Handler
}

func newNetwork(seed uint64) *network {
	return &network{
		seed: seed, links: map[[2]string]*rand.Rand{}, cut: map[[2]string]bool{}, frozen: map[string]time.Time{},
		nodes: map[string]http.Handler{}, hosts: map[string]map[string]carawayshift.Handler{},
	}
}

// pass carries one message from a to b and reports whether it arrives.
func (n *network) pass(ctx context.Context, a, b string) bool {
	n.thaw(a)
	n.mu.Lock()
	rnd := n.link(a, b)
	ok := !n.cut[[2]string{a, b}] && rnd.Float64() >= n.drop
	delay := time.Duration(rnd.Int64N(int64(maxDelay)))
	n.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return false
	}
	time.Sleep(delay)
	n.thaw(b)
	return true
}

// link returns the random source of one direction; n.mu is held.
func (n *network) link(a, b string) *rand.Rand {
	k := [2]string{a, b}
	if n.links[k] == nil {
		n.links[k] = rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(a+">"+b)))
	}
	return n.links[k]
}

// thaw waits until the node is not frozen. It ignores deadlines, since a
// frozen process does not see its timers either.
func (n *network) thaw(node string) {
	n.mu.Lock()
	until := n.frozen[node]
	n.mu.Unlock()
	time.Sleep(time.Until(until))
}

// link is one node's view of the network: HTTP towards the other nodes, and
// the transport towards the zone's other hosts.
type link struct {
	n    *network
	node string
}

func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	to := r.URL.Host
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	l.n.mu.Lock()
	if l.n.trap != nil {
		l.n.trap(l.node, r.URL.Path)
	}
	l.n.mu.Unlock()
	if !l.n.pass(r.Context(), l.node, to) {
		return nil, r.Context().Err()
	}
	// The receiver works on the message even when the sender has given up.
	in := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
	rec := httptest.NewRecorder()
	l.n.nodes[to].ServeHTTP(rec, in)
	if !l.n.pass(r.Context(), to, l.node) || r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return rec.Result(), nil
}

func (l link) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	if !l.n.pass(ctx, l.node, host) {
		return nil, ctx.Err()
	}
	reply, err := l.n.hosts[host][method](context.WithoutCancel(ctx), l.node, body)
	if !l.n.pass(ctx, host, l.node) || ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return reply, err
}

func (l link) Handle(method string, fn carawayshift.Handler) {
	if l.n.hosts[l.node] == nil {
		l.n.hosts[l.node] = map[string]carawayshift.Handler{}
	}
	l.n.hosts[l.node][method] = fn
}

// leader stands in for the replicated log and the grants of zone leases. Each
// host has its own link to it.
type leader struct {
	n *network

	mu      sync.Mutex
	index   uint64
	machine *state.Machine
	epoch   uint64
	holder  string
	end     time.Time
}

func (l *leader) apply(c carawayshift.Command) carawayshift.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, err := carawayshift.Encode(c)
	if err != nil {
		panic(err)
	}
	l.index++
	var a carawayshift.Answer
	if err := carawayshift.Decode(l.machine.Apply(l.index, b), &a); err != nil {
		panic(err)
	}
	return a
}

// current returns the holder of the zone lease.
func (l *leader) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// grant renews the holder's lease, or gives it to the host when it has
// expired. A zone that is out gets none.
func (l *leader) grant(host string) (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.State().Zones["belmont"].Drained {
		return 0, false
	}
	if l.holder != host {
		if time.Now().Before(l.end) {
			return 0, false
		}
		l.holder = host
		l.epoch++
	}
	l.end = time.Now().Add(zoneLease)
	return l.epoch, true
}

// hostLog is the log as one host sees it.
type hostLog struct {
	l    *leader
	host string
}

func (h hostLog) Propose(ctx context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	if !h.l.n.pass(ctx, h.host, "leader") {
		return carawayshift.Answer{}, carawayshift.NewError(carawayshift.OutcomeUnknown, "no answer", "")
	}
	a := h.l.apply(c)
	if !h.l.n.pass(ctx, "leader", h.host) || ctx.Err() != nil {
		return carawayshift.Answer{}, carawayshift.NewError(carawayshift.OutcomeUnknown, "no answer", "")
	}
	return a, nil
}

func (h hostLog) Barrier(context.Context) (uint64, error) { return 0, nil }
func (h hostLog) Leader() (string, uint64)                { return "leader", 1 }

// holder keeps one host's copy of the state and its zone lease.
type holder struct {
	log hostLog

	mu    sync.Mutex
	epoch uint64
	end   time.Time
	state carawayshift.State
}

// run pulls the state and renews the lease until ctx ends.
func (h *holder) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.pull(ctx)
		time.Sleep(100 * time.Millisecond)
	}
}

func (h *holder) pull(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	sent := time.Now()
	n := h.log.l.n
	if !n.pass(ctx, h.log.host, "leader") {
		return
	}
	epoch, ok := h.log.l.grant(h.log.host)
	st := h.log.l.machine.State()
	if !n.pass(ctx, "leader", h.log.host) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = st
	if ok {
		h.epoch, h.end = epoch, sent.Add(holderLease)
	}
}

func (h *holder) State() carawayshift.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// lease is checked where the agent would be frozen too.
func (h *holder) lease() (uint64, bool) {
	h.log.l.n.thaw(h.log.host)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, time.Now().Before(h.end)
}
