package idempotency

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// network connects registries. Delays postpone single methods to a host; lost
// hosts don't respond.
type network struct {
	mu     sync.Mutex
	fns    map[string]map[string]carawayshift.Handler
	lost   map[string]bool
	delays map[string]time.Duration
}

type hostTransport struct {
	w    *network
	host string
}

func (p hostTransport) Handle(method string, fn carawayshift.Handler) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.w.fns[p.host] == nil {
		p.w.fns[p.host] = map[string]carawayshift.Handler{}
	}
	p.w.fns[p.host][method] = fn
}

// Call delivers a delayed request even after its sender has given up.
func (p hostTransport) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	p.w.mu.Lock()
	fn, lost, delay := p.w.fns[host][method], p.w.lost[host] || p.w.lost[p.host], p.w.delays[method+" "+host]
	p.w.mu.Unlock()
	if lost || fn == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	type result struct {
		b   []byte
		err error
	}
	out := make(chan result, 1)
	go func() {
		time.Sleep(time.Millisecond + delay)
		b, err := fn(context.WithoutCancel(ctx), p.host, body)
		out <- result{b, err}
	}()
	select {
	case r := <-out:
		return r.b, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *network) update(fn func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fn()
}

var hosts = []string{"h0", "h1", "h2"}

func newNetwork() *network {
	return &network{fns: map[string]map[string]carawayshift.Handler{}, lost: map[string]bool{}, delays: map[string]time.Duration{}}
}

func start(t *testing.T, w *network, host string, cfg Config) *Registry {
	cfg.Host, cfg.Transport = host, hostTransport{w, host}
	cfg.Zones = func() []string { return []string{"a1"} }
	cfg.Hosts = func(string) []string { return hosts }
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func startAll(t *testing.T, w *network) []*Registry {
	var out []*Registry
	for _, h := range hosts {
		out = append(out, start(t, w, h, Config{FirstStart: true}))
	}
	return out
}

func withDeadline(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), 4*time.Second)
}

// Guards against two owners of one key: 12 requests claim it concurrently on
// three hosts.
func TestOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rs := startAll(t, newNetwork())
		var mu sync.Mutex
		var wg sync.WaitGroup
		owners, outcomes := 0, 0
		for i := range 12 {
			wg.Go(func() {
				ctx, cancel := withDeadline(t)
				defer cancel()
				c, o, err := rs[i%3].Claim(ctx, "k", 7)
				mu.Lock()
				defer mu.Unlock()
				if c != nil {
					owners++
					go c.Finish(ctx, Outcome{Status: 200, Body: []byte("done")})
				}
				if o != nil && err == nil && string(o.Body) == "done" {
					outcomes++
				}
			})
		}
		wg.Wait()
		g.Expect(owners).To(Equal(1))
		g.Expect(outcomes).To(Equal(11))
		ctx, cancel := withDeadline(t)
		defer cancel()
		_, _, err := rs[0].Claim(ctx, "k", 8)
		g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.Conflict))
		time.Sleep(5 * time.Second)
	})
}

// Guards against a claim that does not fail with NotRun when the home zone can't
// be reached, and against records that an abandoned claim leaves when its put
// arrives after its drop.
func TestDroppedClaimStaysDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newNetwork()
		rs := startAll(t, w)
		w.update(func() {
			w.lost["h2"] = true
			w.delays["claim.put h1"] = 3 * time.Second
		})
		ctx, cancel := withDeadline(t)
		defer cancel()
		_, _, err := rs[0].Claim(ctx, "k", 7)
		g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.NotRun))
		time.Sleep(10 * time.Second)
		for _, r := range rs {
			g.Expect(r.records).To(BeEmpty(), r.cfg.Host)
		}
	})
}

// Guards against a second run of a request after a host has lost its records.
func TestRestartedHostCollectsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newNetwork()
		rs := startAll(t, w)
		ctx, cancel := withDeadline(t)
		defer cancel()
		w.update(func() { w.lost["h2"] = true })
		c, _, err := rs[0].Claim(ctx, "k", 7)
		g.Expect(err).NotTo(HaveOccurred())
		c.Finish(ctx, Outcome{Status: 200, Body: []byte("done")})
		w.update(func() { w.lost["h2"] = false })

		rctx, stop := context.WithCancel(t.Context())
		h1 := start(t, w, "h1", Config{})
		done := make(chan error)
		go func() { done <- h1.Run(rctx) }()
		w.update(func() { w.lost["h0"] = true })
		time.Sleep(3 * time.Second)
		g.Expect(h1.Ready()).To(BeFalse(), "one other host does not overlap with every majority")
		w.update(func() { w.lost["h0"] = false })
		time.Sleep(3 * time.Second)
		g.Expect(h1.Ready()).To(BeTrue())
		w.update(func() { w.lost["h0"] = true })
		ctx, cancel = withDeadline(t)
		defer cancel()
		c, o, err := rs[2].Claim(ctx, "k", 7)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c).To(BeNil())
		g.Expect(string(o.Body)).To(Equal("done"))
		stop()
		g.Expect(<-done).To(Succeed())
		time.Sleep(5 * time.Second)
	})
}

// Guards against records that are lost in a restart, an incomplete frame at the
// end of the file that is not ignored, and a host that was stopped while it
// collected records and is ready after its restart.
func TestFile(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "claims")
	w := newNetwork()
	r := start(t, w, "h0", Config{Path: path, FirstStart: true})
	for _, k := range []string{"k1", "k2", "k3"} {
		_, rec, err := r.put(claimRequest{Key: k, Owner: "o-" + k, Fingerprint: 7})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.persist(*rec)).To(Succeed())
	}
	g.Expect(r.persist(r.finish(claimRequest{Key: "k1", Owner: "o-k1", Fingerprint: 7, Outcome: &Outcome{Status: 200}}))).To(Succeed())
	g.Expect(r.persist(r.drop(claimRequest{Key: "k2", Owner: "o-k2"}))).To(Succeed())
	g.Expect(r.close()).To(Succeed())
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.Write([]byte{0, 0, 0, 9, 1, 2})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Close()).To(Succeed())

	r = start(t, w, "h0", Config{Path: path})
	g.Expect(r.Ready()).To(BeTrue())
	g.Expect(r.records).To(HaveLen(2))
	g.Expect(r.records["k1"].Outcome.Status).To(Equal(200))
	g.Expect(r.records["k3"].Owner).To(Equal("o-k3"))
	g.Expect(r.close()).To(Succeed())

	fresh := filepath.Join(t.TempDir(), "claims")
	for range 2 {
		r = start(t, w, "h0", Config{Path: fresh})
		g.Expect(r.Ready()).To(BeFalse())
		g.Expect(r.close()).To(Succeed())
	}
}

// Guards against a home zone other than the one that the key names, and against
// hashing that chooses the same zone for all other keys.
func TestHomeZone(t *testing.T) {
	g := NewWithT(t)
	r := &Registry{cfg: Config{Zones: func() []string { return []string{"belmont", "laventille"} }}}
	g.Expect(r.HomeZone("belmont:1")).To(Equal("belmont"))
	g.Expect(r.HomeZone("laventille:1")).To(Equal("laventille"))
	homes := map[string]int{}
	for _, k := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "k"} {
		homes[r.HomeZone(k)]++
	}
	g.Expect(homes).To(HaveLen(2))
}
