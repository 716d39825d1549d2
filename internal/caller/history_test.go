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

// op is one request of a history and what its caller saw.
type op struct {
	id, key    string
	idempotent bool
	header     map[string]string
	rep        reply
}

// history runs concurrent callers against a world under faults.
type history struct {
	w   *world
	mu  sync.Mutex
	ops []op
}

const (
	callers   = 16
	perCaller = 30
	keys      = 60
)

// run lets all callers finish their requests.
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

// request sends one request and resends it where that is allowed: the same id
// after "not run", the same key after any end, through another host.
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
		addresses := h.w.addresses(h.w.zones[rnd.IntN(len(h.w.zones))].Name)
		rep := h.w.send(h.w.ctx, addresses[rnd.IntN(len(addresses))], http.MethodPost, id, header)
		h.mu.Lock()
		h.ops = append(h.ops, op{id, key, idem, header, rep})
		h.mu.Unlock()
		resend := rep.kind == string(carawayshift.NotRun) || (key != "" && rep.status != http.StatusOK)
		if !resend {
			return
		}
		time.Sleep(upTo(rnd, 50*time.Millisecond))
	}
}

// runs sums the run counts of all stand-ins, also of killed ones.
func (h *history) runs() map[string]int {
	out := map[string]int{}
	for _, r := range h.w.runners {
		for k, n := range r.Runs() {
			out[k] += n
		}
	}
	return out
}

// check compares what callers saw with the runs at the stand-ins.
func (h *history) check(g *WithT) {
	runs := h.runs()
	answers := map[string]string{}
	unkeyed, keyed := map[string][]op{}, map[string][]op{}
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

func (h *history) checkUnkeyed(g *WithT, id string, ops []op, runs int) {
	if !ops[0].idempotent {
		g.Expect(runs).To(BeNumerically("<=", 1), "runs of %s", id)
	}
	for _, o := range ops[:len(ops)-1] {
		g.Expect(o.rep.kind).To(Equal("not run"), "only refusals are resent")
	}
	last := ops[len(ops)-1].rep
	switch {
	case last.kind == string(carawayshift.NotRun):
		g.Expect(runs).To(BeZero(), "%s was refused as not run", id)
	case last.err == nil && last.status == http.StatusOK:
		g.Expect(runs).To(BeNumerically(">=", 1), "%s was answered", id)
		g.Expect(string(last.body)).To(Equal(string(right(id, ops[0].header))), "answer of %s", id)
	}
}

func (h *history) checkKeyed(g *WithT, key string, ops []op, runs int, answers map[string]string) {
	refused := 0
	for _, o := range ops {
		if o.rep.kind == string(carawayshift.NotRun) {
			refused++
		}
		if o.rep.err != nil || o.rep.status != http.StatusOK {
			continue
		}
		g.Expect(runs).To(Equal(1), "key %s was answered", key)
		body := string(o.rep.body)
		if answers[key] == "" {
			answers[key] = body
		}
		g.Expect(body).To(Equal(answers[key]), "all callers of key %s get one answer", key)
		g.Expect(h.firstOf(key, body, ops)).To(BeTrue(), "the answer of key %s belongs to one of its requests", key)
	}
	if refused == len(ops) {
		g.Expect(runs).To(BeZero(), "all requests of key %s were refused as not run", key)
	}
}

func (h *history) firstOf(key, body string, ops []op) bool {
	for _, o := range ops {
		if body == string(right(o.id, o.header)) {
			return true
		}
	}
	return false
}

// tally counts the ends, so that a history without successes fails.
func (h *history) tally() (answered, refused, unknown, errs int) {
	for _, o := range h.ops {
		switch {
		case o.rep.err != nil:
			errs++
		case o.rep.status == http.StatusOK:
			answered++
		case o.rep.kind == string(carawayshift.NotRun):
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
	// disturb runs beside the callers until they are done.
	disturb func(w *world, rnd *rand.Rand)
}

var scenarios = []scenario{
	{name: "no fault"},
	{name: "closed after the first byte of the answer", faults: []standin.Fault{{Kind: standin.CloseFirst, Share: 0.2}}},
	{name: "truncated answers", faults: []standin.Fault{{Kind: standin.Truncate, Share: 0.2}}},
	{name: "crossed answers", faults: []standin.Fault{{Kind: standin.WrongAnswer, Share: 0.2}}},
	{name: "delayed answers", faults: []standin.Fault{{Kind: standin.Delay, Share: 0.2, Millis: 1600}}},
	{name: "hanging requests", faults: []standin.Fault{{Kind: standin.Hang, Share: 0.1}}},
	{name: "resets after the first byte of the request", disturb: resetRunners},
	{name: "runners are killed and return", disturb: killRunners},
	{name: "runners freeze", disturb: freezeRunners},
	{name: "connections are cut", disturb: cutRunners},
	{name: "entry hosts lose their peers", disturb: isolateHosts},
	{name: "entry hosts freeze", disturb: freezeHosts},
	{name: "entry hosts are killed and return", disturb: killHosts},
	{
		name:    "everything at once",
		faults:  []standin.Fault{{Kind: standin.WrongAnswer, Share: 0.05}, {Kind: standin.Truncate, Share: 0.05}, {Kind: standin.CloseFirst, Share: 0.05}, {Kind: standin.Delay, Share: 0.05, Millis: 1600}},
		disturb: everything,
	},
}

func upTo(rnd *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(d)))
}

func pickRunner(w *world, rnd *rand.Rand) string {
	return fmt.Sprintf("%s-r%d", w.zones[rnd.IntN(len(w.zones))].Name, rnd.IntN(runnersPerZone))
}

func resetRunners(w *world, rnd *rand.Rand) { w.net.reset(pickRunner(w, rnd)+":80", 1+rnd.IntN(3)) }

func cutRunners(w *world, rnd *rand.Rand) { w.net.cut(pickRunner(w, rnd) + ":80") }

func freezeRunners(w *world, rnd *rand.Rand) {
	a := pickRunner(w, rnd) + ":80"
	w.net.freeze(a)
	time.Sleep(upTo(rnd, 2*time.Second))
	w.net.thaw(a)
}

func killRunners(w *world, rnd *rand.Rand) {
	name := pickRunner(w, rnd)
	for _, r := range w.runners {
		if r.Name() == name {
			r.Kill()
		}
	}
	w.net.cut(name + ":80")
	time.Sleep(upTo(rnd, time.Second))
	w.startRunner(name[:2], name)
}

func isolateHosts(w *world, rnd *rand.Rand) {
	h := w.hosts[rnd.IntN(len(w.hosts))]
	w.hub.isolate(h.name, true)
	time.Sleep(upTo(rnd, time.Second))
	w.hub.isolate(h.name, false)
}

// freezeHosts stops what goes in and out of a host; its timers run on.
func freezeHosts(w *world, rnd *rand.Rand) {
	h := w.hosts[rnd.IntN(len(w.hosts))]
	w.net.freeze(h.address)
	w.hub.isolate(h.name, true)
	time.Sleep(upTo(rnd, 2*time.Second))
	w.hub.isolate(h.name, false)
	w.net.thaw(h.address)
}

// killHosts stops one host of a zone at a time: two would lose claims by design.
func killHosts(w *world, rnd *rand.Rand) {
	i := rnd.IntN(len(w.hosts))
	old := w.hosts[i]
	w.hub.isolate(old.name, true)
	old.stop()
	_ = old.server.Close()
	time.Sleep(upTo(rnd, 200*time.Millisecond))
	w.hub.isolate(old.name, false)
	*old = *w.startHost(old.name, old.zone, false)
	for !old.claims.Ready() {
		time.Sleep(100 * time.Millisecond)
	}
}

func everything(w *world, rnd *rand.Rand) {
	for _, f := range []func(*world, *rand.Rand){resetRunners, cutRunners, freezeRunners, killRunners, isolateHosts, freezeHosts, killHosts} {
		f(w, rnd)
	}
}

const runnersPerZone = 3

// Guards promises 4 to 6: no second run of non-idempotent or keyed requests,
// no false "not run", no wrong or partial answer called a success.
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
	w := newWorld(t, 3, "a1", "a2")
	defer w.close()
	w.startHosts()
	for _, z := range w.zones {
		for i := range runnersPerZone {
			w.startRunner(z.Name, fmt.Sprintf("%s-r%d", z.Name, i), s.faults...)
		}
	}
	time.Sleep(100 * time.Millisecond)
	h := &history{w: w}
	done := make(chan struct{})
	var wg sync.WaitGroup
	if s.disturb != nil {
		wg.Go(func() { disturb(w, s.disturb, seed, done) })
	}
	h.run(seed)
	close(done)
	wg.Wait()
	// Delayed answers arrive and abandoned runs end before the count.
	time.Sleep(5 * time.Second)
	h.check(g)
	answered, refused, unknown, errs := h.tally()
	t.Logf("seed %d: answered %d, not run %d, unknown or failed %d, transport errors %d", seed, answered, refused, unknown, errs)
	g.Expect(answered).To(BeNumerically(">", len(h.ops)/4))
}

func disturb(w *world, fn func(*world, *rand.Rand), seed uint64, done chan struct{}) {
	rnd := rand.New(rand.NewPCG(seed, 99))
	for {
		select {
		case <-done:
			return
		case <-time.After(upTo(rnd, 100*time.Millisecond)):
			fn(w, rnd)
		}
	}
}
