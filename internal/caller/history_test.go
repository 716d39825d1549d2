package caller_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	standin "carawayshift.example/carawayshift/internal/standin/runner"
)

var historySeeds = flag.Int("history.seeds", 2, "seeds of each history check")

// operation is one request and what its caller received.
type operation struct {
	id, key    string
	idempotent bool
	header     map[string]string
	result     result
}

// history records the requests of concurrent callers to a deployment with
// injected faults.
type history struct {
	d   *deployment
	mu  sync.Mutex
	ops []operation
}

const (
	callers   = 16
	perCaller = 30
	keys      = 60
)

// run starts all callers and waits until their requests are finished.
func (h *history) run(seed uint64) {
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(c)))
			for i := range perCaller {
				h.request(rnd, fmt.Sprintf("s%d-c%d-%d", seed, c, i))
				time.Sleep(upTo(rnd, 30*time.Millisecond))
			}
		})
	}
	wg.Wait()
}

// request sends one request. Where it is allowed, it resends the request
// through another host: with the same id after "not run", with the same
// idempotency key after any failure.
func (h *history) request(rnd *rand.Rand, id string) {
	header := map[string]string{"X-Deadline-Ms": "1500"}
	key, idem := "", false
	switch rnd.IntN(3) {
	case 0:
		key = fmt.Sprintf("key-%d", rnd.IntN(keys))
		header["Idempotency-Key"] = key
	case 1:
		idem = true
		header["X-Idempotent"] = "true"
	}
	for range 3 {
		addresses := h.d.addresses(h.d.zones[rnd.IntN(len(h.d.zones))].Name)
		rep := h.d.send(h.d.ctx, addresses[rnd.IntN(len(addresses))], http.MethodPost, id, header)
		h.mu.Lock()
		h.ops = append(h.ops, operation{id, key, idem, header, rep})
		h.mu.Unlock()
		resend := rep.kind == string(carawayshift.NotRun) || (key != "" && rep.status != http.StatusOK)
		if !resend {
			return
		}
		time.Sleep(upTo(rnd, 50*time.Millisecond))
	}
}

// runs adds up the run counts of all stand-ins, including killed ones.
func (h *history) runs() map[string]int {
	out := map[string]int{}
	for _, r := range h.d.runners {
		for k, n := range r.Runs() {
			out[k] += n
		}
	}
	return out
}

// check compares the responses of the callers with the runs at the stand-ins.
func (h *history) check(g *WithT) {
	runs := h.runs()
	answers := map[string]string{}
	unkeyed, keyed := map[string][]operation{}, map[string][]operation{}
	for _, o := range h.ops {
		if o.key != "" {
			keyed[o.key] = append(keyed[o.key], o)
			continue
		}
		unkeyed[o.id] = append(unkeyed[o.id], o)
	}
	for id, ops := range unkeyed {
		h.checkUnkeyed(g, id, ops, runs[id])
	}
	for key, ops := range keyed {
		g.Expect(runs[key]).To(BeNumerically("<=", 1), "runs of key %s", key)
		h.checkKeyed(g, key, ops, runs[key], answers)
	}
}

func (h *history) checkUnkeyed(g *WithT, id string, ops []operation, runs int) {
	if !ops[0].idempotent {
		g.Expect(runs).To(BeNumerically("<=", 1), "runs of %s", id)
	}
	for _, o := range ops[:len(ops)-1] {
		g.Expect(o.result.kind).To(Equal("not run"), "only refusals are resent")
	}
	last := ops[len(ops)-1].result
	switch {
	case last.kind == string(carawayshift.NotRun):
		g.Expect(runs).To(BeZero(), "%s was refused as not run", id)
	case last.err == nil && last.status == http.StatusOK:
		g.Expect(runs).To(BeNumerically(">=", 1), "%s was answered", id)
		g.Expect(string(last.body)).To(Equal(string(expectedBody(id, ops[0].header))), "answer of %s", id)
	}
}

func (h *history) checkKeyed(g *WithT, key string, ops []operation, runs int, answers map[string]string) {
	refused := 0
	for _, o := range ops {
		if o.result.kind == string(carawayshift.NotRun) {
			refused++
		}
		if o.result.err != nil || o.result.status != http.StatusOK {
			continue
		}
		g.Expect(runs).To(Equal(1), "key %s was answered", key)
		body := string(o.result.body)
		if answers[key] == "" {
			answers[key] = body
		}
		g.Expect(body).To(Equal(answers[key]), "all callers of key %s get one answer", key)
		g.Expect(h.answersOneOf(key, body, ops)).To(BeTrue(), "the answer of key %s belongs to one of its requests", key)
	}
	if refused == len(ops) {
		g.Expect(runs).To(BeZero(), "all requests of key %s were refused as not run", key)
	}
}

func (h *history) answersOneOf(key, body string, ops []operation) bool {
	for _, o := range ops {
		if body == string(expectedBody(o.id, o.header)) {
			return true
		}
	}
	return false
}

// countOutcomes counts the operations by outcome, so that a history without
// successes fails.
func (h *history) countOutcomes() (answered, refused, unknown, errs int) {
	for _, o := range h.ops {
		switch {
		case o.result.err != nil:
			errs++
		case o.result.status == http.StatusOK:
			answered++
		case o.result.kind == string(carawayshift.NotRun):
			refused++
		default:
			unknown++
		}
	}
	return answered, refused, unknown, errs
}

type scenario struct {
	name   string
	faults []standin.Fault
	// inject is called repeatedly while the callers run.
	inject func(d *deployment, rnd *rand.Rand)
}

var scenarios = []scenario{
	{name: "no fault"},
	{name: "closed after the first byte of the answer", faults: []standin.Fault{{Kind: standin.CloseFirst, Share: 0.2}}},
	{name: "truncated answers", faults: []standin.Fault{{Kind: standin.Truncate, Share: 0.2}}},
	{name: "crossed answers", faults: []standin.Fault{{Kind: standin.WrongAnswer, Share: 0.2}}},
	{name: "delayed answers", faults: []standin.Fault{{Kind: standin.Delay, Share: 0.2, Millis: 1600}}},
	{name: "hanging requests", faults: []standin.Fault{{Kind: standin.Hang, Share: 0.1}}},
	{name: "resets after the first byte of the request", inject: resetRunners},
	{name: "runners are killed and return", inject: killRunners},
	{name: "runners freeze", inject: freezeRunners},
	{name: "connections are cut", inject: cutRunners},
	{name: "entry hosts lose their peers", inject: isolateHosts},
	{name: "entry hosts freeze", inject: freezeHosts},
	{name: "entry hosts are killed and return", inject: killHosts},
	{
		name:   "everything at once",
		faults: []standin.Fault{{Kind: standin.WrongAnswer, Share: 0.05}, {Kind: standin.Truncate, Share: 0.05}, {Kind: standin.CloseFirst, Share: 0.05}, {Kind: standin.Delay, Share: 0.05, Millis: 1600}},
		inject: injectAll,
	},
}

func upTo(rnd *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(d)))
}

func pickRunner(d *deployment, rnd *rand.Rand) string {
	return fmt.Sprintf("%s-r%d", d.zones[rnd.IntN(len(d.zones))].Name, rnd.IntN(runnersPerZone))
}

func resetRunners(d *deployment, rnd *rand.Rand) {
	d.net.reset(pickRunner(d, rnd)+":80", 1+rnd.IntN(3))
}

func cutRunners(d *deployment, rnd *rand.Rand) { d.net.cut(pickRunner(d, rnd) + ":80") }

func freezeRunners(d *deployment, rnd *rand.Rand) {
	a := pickRunner(d, rnd) + ":80"
	d.net.freeze(a)
	time.Sleep(upTo(rnd, 2*time.Second))
	d.net.unfreeze(a)
}

func killRunners(d *deployment, rnd *rand.Rand) {
	name := pickRunner(d, rnd)
	for _, r := range d.runners {
		if r.Name() == name {
			r.Kill()
		}
	}
	d.net.cut(name + ":80")
	time.Sleep(upTo(rnd, time.Second))
	d.startRunner(name[:2], name)
}

func isolateHosts(d *deployment, rnd *rand.Rand) {
	h := d.hosts[rnd.IntN(len(d.hosts))]
	d.transport.setIsolated(h.name, true)
	time.Sleep(upTo(rnd, time.Second))
	d.transport.setIsolated(h.name, false)
}

// freezeHosts blocks the traffic to and from a host; its timers keep running.
func freezeHosts(d *deployment, rnd *rand.Rand) {
	h := d.hosts[rnd.IntN(len(d.hosts))]
	d.net.freeze(h.address)
	d.transport.setIsolated(h.name, true)
	time.Sleep(upTo(rnd, 2*time.Second))
	d.transport.setIsolated(h.name, false)
	d.net.unfreeze(h.address)
}

// killHosts restarts only one host of a zone at a time: losing two at once
// loses claims by design.
func killHosts(d *deployment, rnd *rand.Rand) {
	i := rnd.IntN(len(d.hosts))
	old := d.hosts[i]
	d.transport.setIsolated(old.name, true)
	old.stop()
	_ = old.server.Close()
	time.Sleep(upTo(rnd, 200*time.Millisecond))
	d.transport.setIsolated(old.name, false)
	*old = *d.startHost(old.name, old.zone, false)
	for !old.claims.Ready() {
		time.Sleep(100 * time.Millisecond)
	}
}

func injectAll(d *deployment, rnd *rand.Rand) {
	for _, f := range []func(*deployment, *rand.Rand){resetRunners, cutRunners, freezeRunners, killRunners, isolateHosts, freezeHosts, killHosts} {
		f(d, rnd)
	}
}

const runnersPerZone = 3

// Guards against violations of promises 4 to 6 of docs/PROOFS.md: a second run
// of a non-idempotent or keyed request, a false "not run", and a wrong or
// partial response that is returned as a success.
func TestHistories(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range *historySeeds {
				synctest.Test(t, func(t *testing.T) { checkHistory(t, s, uint64(seed+1)) })
			}
		})
	}
}

func checkHistory(t *testing.T, s scenario, seed uint64) {
	g := NewWithT(t)
	d := newDeployment(t, 3, "a1", "a2")
	defer d.close()
	d.startHosts()
	for _, z := range d.zones {
		for i := range runnersPerZone {
			d.startRunner(z.Name, fmt.Sprintf("%s-r%d", z.Name, i), s.faults...)
		}
	}
	time.Sleep(100 * time.Millisecond)
	h := &history{d: d}
	done := make(chan struct{})
	var wg sync.WaitGroup
	if s.inject != nil {
		wg.Go(func() { injectFaults(d, s.inject, seed, done) })
	}
	h.run(seed)
	close(done)
	wg.Wait()
	// Wait until delayed responses have arrived and abandoned runs have ended.
	time.Sleep(5 * time.Second)
	h.check(g)
	answered, refused, unknown, errs := h.countOutcomes()
	t.Logf("seed %d: answered %d, not run %d, unknown or failed %d, transport errors %d", seed, answered, refused, unknown, errs)
	g.Expect(answered).To(BeNumerically(">", len(h.ops)/4))
}

func injectFaults(d *deployment, fn func(*deployment, *rand.Rand), seed uint64, done chan struct{}) {
	rnd := rand.New(rand.NewPCG(seed, 99))
	for {
		select {
		case <-done:
			return
		case <-time.After(upTo(rnd, 100*time.Millisecond)):
			fn(d, rnd)
		}
	}
}
