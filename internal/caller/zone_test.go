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

// memoryTransport is the transport of all hosts of a test. An isolated host
// reaches no other host.
type memoryTransport struct {
	mu       sync.Mutex
	handlers map[string]map[string]carawayshift.Handler
	isolated map[string]bool
	delay    time.Duration
	bytes    int
}

func newMemoryTransport() *memoryTransport {
	return &memoryTransport{handlers: map[string]map[string]carawayshift.Handler{}, isolated: map[string]bool{}, delay: time.Millisecond}
}

type hostTransport struct {
	m    *memoryTransport
	host string
}

func (t hostTransport) Handle(method string, fn carawayshift.Handler) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if t.m.handlers[t.host] == nil {
		t.m.handlers[t.host] = map[string]carawayshift.Handler{}
	}
	t.m.handlers[t.host][method] = fn
}

func (t hostTransport) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	if err := t.transfer(ctx, host, len(body)); err != nil {
		return nil, err
	}
	t.m.mu.Lock()
	fn := t.m.handlers[host][method]
	t.m.mu.Unlock()
	if fn == nil {
		return nil, carawayshift.NewError(carawayshift.NotRun, "no such host", "")
	}
	b, err := fn(ctx, t.host, body)
	if err != nil {
		return nil, err
	}
	return b, t.transfer(ctx, host, len(b))
}

// transfer waits for the one-way latency. It fails if one of the hosts is
// isolated.
func (t hostTransport) transfer(ctx context.Context, host string, n int) error {
	t.m.mu.Lock()
	delay, isolated := t.m.delay, t.m.isolated[t.host] || t.m.isolated[host]
	t.m.bytes += n
	t.m.mu.Unlock()
	if isolated {
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

func (m *memoryTransport) setIsolated(host string, isolated bool) {
	m.mu.Lock()
	m.isolated[host] = isolated
	m.mu.Unlock()
}

// deployment holds the entry hosts and runners of several zones in one test
// process.
type deployment struct {
	t         *testing.T
	ctx       context.Context
	net       *network
	transport *memoryTransport
	zones     []carawayshift.Zone
	// perZone is the number of entry hosts of a zone.
	perZone   int
	hosts     []*entryHost
	runners   []*standin.Runner
	wg        sync.WaitGroup
	client    *http.Client
	configure func(*options)
}

// options are the settings that tests change in each host.
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

func newDeployment(t *testing.T, perZone int, zones ...string) *deployment {
	ctx, cancel := context.WithCancel(t.Context())
	d := &deployment{t: t, ctx: ctx, net: newNetwork(), transport: newMemoryTransport(), perZone: perZone}
	for _, z := range zones {
		d.zones = append(d.zones, carawayshift.Zone{Name: z, Region: z[:1]})
	}
	d.client = &http.Client{Transport: &http.Transport{DialContext: d.net.dial, MaxIdleConnsPerHost: 1000}}
	t.Cleanup(cancel)
	return d
}

// close stops all hosts and runners; a synctest bubble must not end with
// running goroutines.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.stop()
		_ = h.server.Close()
	}
	for _, r := range d.runners {
		r.Kill()
	}
	d.client.CloseIdleConnections()
	d.wg.Wait()
}

func (d *deployment) names(zone string) []string {
	var out []string
	for i := range d.perZone {
		out = append(out, fmt.Sprintf("%s-h%d", zone, i))
	}
	return out
}

func (d *deployment) addresses(zone string) []string {
	var out []string
	for _, n := range d.names(zone) {
		out = append(out, n+":80")
	}
	return out
}

func (d *deployment) zoneNames() []string {
	var out []string
	for _, z := range d.zones {
		out = append(out, z.Name)
	}
	return out
}

func (d *deployment) startHosts() {
	for _, z := range d.zones {
		for _, n := range d.names(z.Name) {
			d.hosts = append(d.hosts, d.startHost(n, z.Name, true))
		}
	}
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.ErrorLevel)
	return l
}

func (d *deployment) startHost(name, zone string, fresh bool) *entryHost {
	ctx, stop := context.WithCancel(d.ctx)
	tr := hostTransport{d.transport, name}
	h := &entryHost{name: name, zone: zone, address: name + ":80", stop: stop}
	h.pool = runner.New(runner.Config{
		Host: name, Zone: zone, Peers: func() []string { return d.names(zone) }, Transport: tr,
		Dial: d.net.dial, Log: discardLogger(),
	})
	o := options{balance: balance.Config{Runners: h.pool.Runners, PeerInFlight: h.pool.PeerInFlight, Rank: h.pool.Rank, Seed: uint64(len(d.hosts) + 1)}}
	if d.configure != nil {
		d.configure(&o)
	}
	h.balancer = balance.New(o.balance)
	o.queue.Estimate = h.balancer.Estimate
	claims, err := idempotency.New(idempotency.Config{Host: name, Zones: d.zoneNames, Hosts: d.names, Transport: tr, FirstStart: fresh})
	if err != nil {
		d.t.Fatal(err)
	}
	h.claims = claims
	c := o.caller
	c.Host, c.Zone, c.Pool, c.Balancer, c.Queue = name, zone, h.pool, h.balancer, queue.New(o.queue)
	c.Budget, c.Claims, c.Log = retrybudget.New(retrybudget.Config{}), claims, discardLogger()
	c.Zones = func() []carawayshift.Zone { return d.zones }
	c.EntryHosts = d.addresses
	h.handler = caller.New(c)
	d.serve(h)
	d.wg.Go(func() { _ = h.pool.Run(ctx) })
	d.wg.Go(func() { _ = claims.Run(ctx) })
	return h
}

func (d *deployment) serve(h *entryHost) {
	mux := http.NewServeMux()
	mux.Handle("/r/", h.handler)
	mux.Handle("/v1/runners", h.pool)
	h.server = &http.Server{Handler: mux}
	l, err := d.net.listen(h.address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.wg.Go(func() { _ = h.server.Serve(l) })
}

// startRunner starts a stand-in runner that announces itself to all hosts of a
// zone.
func (d *deployment) startRunner(zone, name string, faults ...standin.Fault) *standin.Runner {
	var urls []string
	for _, a := range d.addresses(zone) {
		urls = append(urls, "http://"+a)
	}
	r := standin.New(standin.Config{
		Name: name, Zone: zone, Service: "fit", Address: name + ":80", Hosts: urls, Faults: faults,
		Listen: func(a string) (net.Listener, error) { return d.net.listen(a) }, Dial: d.net.dial,
		Seed: uint64(len(d.runners) + 1), Work: 20 * time.Millisecond,
	})
	d.runners = append(d.runners, r)
	d.wg.Go(func() {
		if err := r.Run(d.ctx); err != nil && !errors.Is(err, context.Canceled) {
			d.t.Log(err)
		}
	})
	return r
}
