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
	// holderLease is how long the holder considers its lease valid. It is shorter
	// than zoneLease.
	holderLease = 1900 * time.Millisecond
)

// network connects the hosts and the simulated workers of one zone in memory. It
// delays and drops messages, cuts links in one direction, and freezes nodes: a
// message to or from a frozen node waits until the node resumes.
type network struct {
	seed uint64

	mu sync.Mutex
	// links holds a random source for each direction between two nodes, so that
	// the scheduling of goroutines has little effect on the random values.
	links  map[[2]string]*rand.Rand
	drop   float64
	cut    map[[2]string]bool
	frozen map[string]time.Time
	// onSend is called before each message to a worker is sent, with n.mu held.
	onSend func(from, path string)
	nodes  map[string]http.Handler
	hosts  map[string]map[string]carawayshift.Handler
}

func newNetwork(seed uint64) *network {
	return &network{
		seed: seed, links: map[[2]string]*rand.Rand{}, cut: map[[2]string]bool{}, frozen: map[string]time.Time{},
		nodes: map[string]http.Handler{}, hosts: map[string]map[string]carawayshift.Handler{},
	}
}

// deliver delays one message from a to b and reports whether it arrives.
func (n *network) deliver(ctx context.Context, a, b string) bool {
	n.waitUnfrozen(a)
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
	n.waitUnfrozen(b)
	return true
}

// link returns the random source of one direction. n.mu must be held.
func (n *network) link(a, b string) *rand.Rand {
	k := [2]string{a, b}
	if n.links[k] == nil {
		n.links[k] = rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(a+">"+b)))
	}
	return n.links[k]
}

// waitUnfrozen blocks while the node is frozen. It ignores deadlines, since the
// timers of a frozen process do not fire either.
func (n *network) waitUnfrozen(node string) {
	n.mu.Lock()
	until := n.frozen[node]
	n.mu.Unlock()
	time.Sleep(time.Until(until))
}

// link is one node's access to the network: an HTTP round tripper for calls to
// other nodes, and the transport for calls to the zone's other hosts.
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
	if l.n.onSend != nil {
		l.n.onSend(l.node, r.URL.Path)
	}
	l.n.mu.Unlock()
	if !l.n.deliver(r.Context(), l.node, to) {
		return nil, r.Context().Err()
	}
	// The receiver handles the message even if the sender's deadline has passed.
	in := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
	rec := httptest.NewRecorder()
	l.n.nodes[to].ServeHTTP(rec, in)
	if !l.n.deliver(r.Context(), to, l.node) || r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return rec.Result(), nil
}

func (l link) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	if !l.n.deliver(ctx, l.node, host) {
		return nil, ctx.Err()
	}
	reply, err := l.n.hosts[host][method](context.WithoutCancel(ctx), l.node, body)
	if !l.n.deliver(ctx, host, l.node) || ctx.Err() != nil {
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

// fakeLeader implements the replicated log and grants the zone lease. Each host
// has its own link to it.
type fakeLeader struct {
	n *network

	mu      sync.Mutex
	index   uint64
	machine *state.Machine
	epoch   uint64
	holder  string
	end     time.Time
}

func (l *fakeLeader) apply(c carawayshift.Command) carawayshift.Answer {
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

// leaseHolder returns the holder of the zone lease.
func (l *fakeLeader) leaseHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// grant renews the holder's lease, or grants it to the host if it has expired. It
// grants none for a drained zone.
func (l *fakeLeader) grant(host string) (epoch uint64, ok bool) {
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

// hostLog is one host's access to the log.
type hostLog struct {
	l    *fakeLeader
	host string
}

func (h hostLog) Propose(ctx context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	if !h.l.n.deliver(ctx, h.host, "leader") {
		return carawayshift.Answer{}, carawayshift.NewError(carawayshift.OutcomeUnknown, "no answer", "")
	}
	a := h.l.apply(c)
	if !h.l.n.deliver(ctx, "leader", h.host) || ctx.Err() != nil {
		return carawayshift.Answer{}, carawayshift.NewError(carawayshift.OutcomeUnknown, "no answer", "")
	}
	return a, nil
}

func (h hostLog) Barrier(context.Context) (uint64, error) { return 0, nil }
func (h hostLog) Leader() (string, uint64)                { return "leader", 1 }

// fakeHost holds one host's copy of the state and its zone lease.
type fakeHost struct {
	log hostLog

	mu    sync.Mutex
	epoch uint64
	end   time.Time
	state carawayshift.State
}

// run fetches the state and renews the lease until ctx ends.
func (h *fakeHost) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.poll(ctx)
		time.Sleep(100 * time.Millisecond)
	}
}

func (h *fakeHost) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	sent := time.Now()
	n := h.log.l.n
	if !n.deliver(ctx, h.log.host, "leader") {
		return
	}
	epoch, ok := h.log.l.grant(h.log.host)
	st := h.log.l.machine.State()
	if !n.deliver(ctx, "leader", h.log.host) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = st
	if ok {
		h.epoch, h.end = epoch, sent.Add(holderLease)
	}
}

func (h *fakeHost) State() carawayshift.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// lease blocks while the host is frozen, as the manager's own process would.
func (h *fakeHost) lease() (uint64, bool) {
	h.log.l.n.waitUnfrozen(h.log.host)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, time.Now().Before(h.end)
}
