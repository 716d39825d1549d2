package runner

import (
	"context"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

const (
	defaultBodyLimit = 8 << 20
	defaultInterval  = 500 * time.Millisecond
	// sweepInterval bounds how long an expired entry stays in the table; the
	// choice of a runner checks the expiry itself.
	sweepInterval = 250 * time.Millisecond
	// entryHostConnections is the maximum number of connections to one entry
	// host of another zone.
	entryHostConnections = 64
)

// Config holds the settings of a Pool. Zero values select the defaults.
type Config struct {
	Host string
	Zone string
	// Peers returns the other entry hosts of the zone.
	Peers     func() []string
	Transport carawayshift.Transport
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	// BodyLimit is the maximum size of a response body in bytes.
	BodyLimit int64
	// Interval is the time between digests to a peer while counts change.
	Interval time.Duration
	Metrics  *metrics.Set
	Log      logrus.FieldLogger
}

// Pool holds the zone's runner table and a connection pool for each runner.
type Pool struct {
	cfg        Config
	mismatches *metrics.Counter
	view       atomic.Pointer[map[string][]carawayshift.Runner]

	mu         sync.Mutex
	table      map[string]*entry
	clients    map[string]*client
	peerCounts map[string]map[string]int
	peerSeen   map[string]time.Time
	peers      map[string]*peer
	lastID     uint64
	boot       uint64
	inFlight   func() map[string]int
	onChange   func()
}

// entry is one runner of the table. announcedHere is true if the runner
// announced itself to this host, which then includes it in its digests.
// lastDirect is the time of the last such announcement: if hosts passed on what
// they know only from peers, two hosts could keep the entry of a dead runner
// from expiring.
type entry struct {
	runner        carawayshift.Runner
	id            uint64
	announcedHere bool
	lastDirect    time.Time
	// revision increases when a field that peers need changes.
	revision uint64
}

// New returns a pool and registers its method with the transport.
func New(cfg Config) *Pool {
	cfg = withDefaults(cfg)
	p := &Pool{
		cfg:        cfg,
		mismatches: cfg.Metrics.GetOrCreateCounter("carawayshift_runner_echo_mismatches_total"),
		table:      map[string]*entry{},
		clients:    map[string]*client{},
		peerCounts: map[string]map[string]int{},
		peerSeen:   map[string]time.Time{},
		peers:      map[string]*peer{},
		boot:       uint64(time.Now().UnixNano()),
		inFlight:   func() map[string]int { return nil },
		onChange:   func() {},
	}
	p.publish()
	cfg.Metrics.GetOrCreateGauge("carawayshift_runner_known", func() float64 { return float64(len(p.All())) })
	if cfg.Transport != nil {
		cfg.Transport.Handle(digestMethod, p.handleDigest)
	}
	return p
}

func withDefaults(cfg Config) Config {
	if cfg.Peers == nil {
		cfg.Peers = func() []string { return nil }
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.BodyLimit <= 0 {
		cfg.BodyLimit = defaultBodyLimit
	}
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return cfg
}

// SetInFlightSource sets the function that returns this host's in-flight counts
// by runner name. Call it before Run.
func (p *Pool) SetInFlightSource(fn func() map[string]int) { p.inFlight = fn }

// OnChange sets a function that is called, without locks held, when runners or
// the counts of other hosts have changed. Call it before Run.
func (p *Pool) OnChange(fn func()) { p.onChange = fn }

// Runners returns the zone's runners of a service that accept requests, sorted
// by name. The slice is shared: callers must not change it.
func (p *Pool) Runners(service string) []carawayshift.Runner {
	return (*p.view.Load())[service]
}

// All returns every known runner of the zone, including leaving ones.
func (p *Pool) All() []carawayshift.Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]carawayshift.Runner, 0, len(p.table))
	for _, e := range p.table {
		out = append(out, e.runner)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// PeerInFlight returns the number of requests that the zone's other hosts have
// in flight at a runner, according to their last digests.
func (p *Pool) PeerInFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, counts := range p.peerCounts {
		n += counts[name]
	}
	return n
}

// Rank returns this host's rank among the zone's live hosts and their number. A
// peer is live while its digests arrive.
func (p *Pool) Rank() (rank, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts = 1
	for name := range p.peerSeen {
		hosts++
		if name < p.cfg.Host {
			rank++
		}
	}
	return rank, hosts
}

// Run exchanges digests with the peers and removes expired runners until ctx
// ends.
func (p *Pool) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer p.closeClients()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		p.startPeers(ctx, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			p.sweep(time.Now())
		}
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	changed := false
	for name, e := range p.table {
		if now.Sub(e.runner.Seen) > e.runner.Expiry {
			p.drop(name, e)
			changed = true
		}
	}
	for host, at := range p.peerSeen {
		if now.Sub(at) > peerExpiry {
			delete(p.peerSeen, host)
			delete(p.peerCounts, host)
			changed = true
		}
	}
	if changed {
		p.publish()
	}
	p.mu.Unlock()
	if changed {
		p.onChange()
	}
}

func (p *Pool) drop(name string, e *entry) {
	delete(p.table, name)
	p.closeClient(e.runner.Address)
}

func (p *Pool) closeClient(address string) {
	if c := p.clients[address]; c != nil {
		c.transport.CloseIdleConnections()
		delete(p.clients, address)
	}
}

// publish rebuilds the view that Runners reads. The caller holds the mutex.
func (p *Pool) publish() {
	view := map[string][]carawayshift.Runner{}
	for _, e := range p.table {
		r := e.runner
		if !r.Leaving && r.Slots > 0 {
			view[r.Service] = append(view[r.Service], r)
		}
	}
	for _, rs := range view {
		sort.Slice(rs, func(i, j int) bool { return rs[i].Name < rs[j].Name })
	}
	p.view.Store(&view)
}

// client returns the connection pool of a target. Together, the hosts of the
// zone keep at most the runner's number of connections idle. One host may use
// more than its share while the others use less.
func (p *Pool) client(r carawayshift.Runner) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[r.Address]
	if c != nil && c.incarnation == r.Incarnation {
		return c
	}
	if c != nil {
		c.transport.CloseIdleConnections()
	}
	connections := r.Connections
	if connections <= 0 {
		connections = entryHostConnections
	}
	c = p.newClient(connections, max(1, connections/(len(p.peerSeen)+1)), r.Incarnation)
	p.clients[r.Address] = c
	return c
}

func (p *Pool) closeClients() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.transport.CloseIdleConnections()
	}
}
