package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/caller"
	"carawayshift.example/carawayshift/internal/runner"
	standin "carawayshift.example/carawayshift/internal/standin/runner"
	"carawayshift.example/carawayshift/pkg/balance"
	"carawayshift.example/carawayshift/pkg/idempotency"
	"carawayshift.example/carawayshift/pkg/queue"
	"carawayshift.example/carawayshift/pkg/retrybudget"
)

// hub is the transport of all hosts of a test. A cut host reaches nobody.
type hub struct {
	mu       sync.Mutex
	handlers map[string]map[string]carawayshift.Handler
	cut      map[string]bool
	delay    time.Duration
	bytes    int
}

func newHub() *hub {
	return &hub{handlers: map[string]map[string]carawayshift.Handler{}, cut: map[string]bool{}, delay: time.Millisecond}
}

type port struct {
	h    *hub
	host string
}

func (p port) Handle(method string, fn carawayshift.Handler) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	if p.h.handlers[p.host] == nil {
		p.h.handlers[p.host] = map[string]carawayshift.Handler{}
	}
	p.h.handlers[p.host][method] = fn
}

func (p port) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	if err := p.hop(ctx, host, len(body)); err != nil {
		return nil, err
	}
	p.h.mu.Lock()
	fn := p.h.handlers[host][method]
	p.h.mu.Unlock()
	if fn == nil {
		return nil, carawayshift.NewError(carawayshift.NotRun, "no such host", "")
	}
	b, err := fn(ctx, p.host, body)
	if err != nil {
		return nil, err
	}
	return b, p.hop(ctx, host, len(b))
}

// hop takes the one-way latency and fails if one end is cut off.
func (p port) hop(ctx context.Context, host string, n int) error {
	p.h.mu.Lock()
	delay, cut := p.h.delay, p.h.cut[p.host] || p.h.cut[host]
	p.h.bytes += n
	p.h.mu.Unlock()
	if cut {
		<-ctx.Done()
		return carawayshift.NewError(carawayshift.OutcomeUnknown, "no reply", "")
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}

func (h *hub) isolate(host string, cut bool) {
	h.mu.Lock()
	h.cut[host] = cut
	h.mu.Unlock()
}

// world is a deployment in one test process.
type world struct {
	t     *testing.T
	ctx   context.Context
	net   *network
	hub   *hub
	zones []carawayshift.Zone
	// perZone is the number of entry hosts of a zone.
	perZone int
	hosts   []*entryHost
	runners []*standin.Runner
	wg      sync.WaitGroup
	client  *http.Client
	tweak   func(*options)
}

// options are what tests change in one host.
type options struct {
	balance balance.Config
	queue   queue.Config
	caller  caller.Config
}

type entryHost struct {
	name, zone, address string
	pool                *runner.Pool
	balancer            *balance.Balancer
	handler             *caller.Handler
	claims              *idempotency.Registry
	server              *http.Server
	stop                context.CancelFunc
}

func newWorld(t *testing.T, perZone int, zones ...string) *world {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{t: t, ctx: ctx, net: newNetwork(), hub: newHub(), perZone: perZone}
	for _, z := range zones {
		w.zones = append(w.zones, carawayshift.Zone{Name: z, Region: z[:1]})
	}
	w.client = &http.Client{Transport: &http.Transport{DialContext: w.net.dial, MaxIdleConnsPerHost: 1000}}
	t.Cleanup(cancel)
	return w
}

// close stops everything; a bubble must not end with goroutines.
func (w *world) close() {
	for _, h := range w.hosts {
		h.stop()
		_ = h.server.Close()
	}
	for _, r := range w.runners {
		r.Kill()
	}
	w.client.CloseIdleConnections()
	w.wg.Wait()
}

func (w *world) names(zone string) []string {
	var out []string
	for i := range w.perZone {
		out = append(out, fmt.Sprintf("%s-h%d", zone, i))
	}
	return out
}

func (w *world) addresses(zone string) []string {
	var out []string
	for _, n := range w.names(zone) {
		out = append(out, n+":80")
	}
	return out
}

func (w *world) zoneNames() []string {
	var out []string
	for _, z := range w.zones {
		out = append(out, z.Name)
	}
	return out
}

func (w *world) startHosts() {
	for _, z := range w.zones {
		for _, n := range w.names(z.Name) {
			w.hosts = append(w.hosts, w.startHost(n, z.Name, true))
		}
	}
}

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.ErrorLevel)
	return l
}

func (w *world) startHost(name, zone string, fresh bool) *entryHost {
	ctx, stop := context.WithCancel(w.ctx)
	tr := port{w.hub, name}
	h := &entryHost{name: name, zone: zone, address: name + ":80", stop: stop}
	h.pool = runner.New(runner.Config{
		Host: name, Zone: zone, Peers: func() []string { return w.names(zone) }, Transport: tr,
		Dial: w.net.dial, Log: quiet(),
	})
	o := options{balance: balance.Config{Runners: h.pool.Runners, PeerInFlight: h.pool.PeerInFlight, Rank: h.pool.Rank, Seed: uint64(len(w.hosts) + 1)}}
	if w.tweak != nil {
		w.tweak(&o)
	}
	h.balancer = balance.New(o.balance)
	o.queue.Estimate = h.balancer.Estimate
	claims, err := idempotency.New(idempotency.Config{Host: name, Zones: w.zoneNames, Hosts: w.names, Transport: tr, Fresh: fresh})
	if err != nil {
		w.t.Fatal(err)
	}
	h.claims = claims
	c := o.caller
	c.Host, c.Zone, c.Pool, c.Balancer, c.Queue = name, zone, h.pool, h.balancer, queue.New(o.queue)
	c.Budget, c.Claims, c.Log = retrybudget.New(retrybudget.Config{}), claims, quiet()
	c.Zones = func() []carawayshift.Zone { return w.zones }
	c.EntryHosts = w.addresses
	h.handler = caller.New(c)
	w.serve(h)
	w.wg.Go(func() { _ = h.pool.Run(ctx) })
	w.wg.Go(func() { _ = claims.Run(ctx) })
	return h
}

func (w *world) serve(h *entryHost) {
	mux := http.NewServeMux()
	mux.Handle("/r/", h.handler)
	mux.Handle("/v1/runners", h.pool)
	h.server = &http.Server{Handler: mux}
	l, err := w.net.listen(h.address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.wg.Go(func() { _ = h.server.Serve(l) })
}

// startRunner starts a stand-in that announces itself to all hosts of a zone.
func (w *world) startRunner(zone, name string, faults ...standin.Fault) *standin.Runner {
	var urls []string
	for _, a := range w.addresses(zone) {
		urls = append(urls, "http://"+a)
	}
	r := standin.New(standin.Config{
		Name: name, Zone: zone, Service: "fit", Address: name + ":80", Hosts: urls, Faults: faults,
		Listen: func(a string) (net.Listener, error) { return w.net.listen(a) }, Dial: w.net.dial,
		Seed: uint64(len(w.runners) + 1), Work: 20 * time.Millisecond,
	})
	w.runners = append(w.runners, r)
	w.wg.Go(func() {
		if err := r.Run(w.ctx); err != nil && !errors.Is(err, context.Canceled) {
			w.t.Log(err)
		}
	})
	return r
}
