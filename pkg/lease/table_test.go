package lease

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

const (
	seeds = 240
	zone  = "belmont"
)

var (
	// The first three hosts belong to the zone, all five may lead.
	hostNames = []string{"b1", "b2", "b3", "c1", "c2"}
	ownHosts  = hostNames[:3]
)

// history is one run of a world with its tables.
type history struct {
	w *world
	// rnd chooses the events, apart from the world's, so that they depend on
	// the seed alone.
	rnd    *rand.Rand
	cancel map[string]context.CancelFunc
	tables map[string]*Table
	// revokedAt is the start of the last drain while the zone is out.
	// confirmedAt is that of the last drain for which Revoke returned.
	revokedAt, confirmedAt time.Time
	held                   time.Duration
	holders                int
	last                   string
	fault                  string
}

func newHistory(seed uint64) *history {
	h := &history{w: newWorld(seed), rnd: rand.New(rand.NewPCG(seed, 8)), tables: map[string]*Table{}, cancel: map[string]context.CancelFunc{}}
	if seed%2 == 0 {
		h.w.delay = time.Millisecond // leaves no slack beyond the drift margin
	}
	for _, name := range hostNames {
		h.start(name)
	}
	h.w.elect(hostNames[h.rnd.IntN(5)], 0)
	return h
}

// start runs a table with a clock that is 1% too fast or too slow, in
// place of a former one of the host.
func (h *history) start(name string) {
	if stop := h.cancel[name]; stop != nil {
		stop()
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := h.w
	cfg := Config{
		Host: name, Transport: link{w, name}, Log: log,
		Leader:     func() (string, uint64) { v := w.view(name); return v.leader, v.term },
		Confirm:    func(context.Context) (uint64, error) { return w.confirm(name) },
		In:         func(string) bool { return !w.view(name).out },
		Candidates: func(string) []string { return ownHosts },
	}
	if name[0] == 'b' {
		cfg.Zone = zone
	}
	t := New(cfg)
	rate := 0.99 + 0.02*float64(h.rnd.IntN(2))
	for _, d := range []*time.Duration{&t.length, &t.validity, &t.wait} {
		*d = time.Duration(float64(*d) / rate)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.tables[name], h.cancel[name] = t, cancel
	go t.Run(ctx)
}

func (h *history) stop() {
	for _, cancel := range h.cancel {
		cancel()
	}
}

// watch checks the promises for a span of time.
func (h *history) watch(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		var valid []string
		for _, name := range ownHosts {
			if l, ok := h.tables[name].Valid(); ok {
				valid = append(valid, fmt.Sprint(name, l))
				if h.last != name {
					h.last = name
					h.holders++
				}
				h.held += step
			}
		}
		if len(valid) > 1 {
			h.fail("two holders: %v", valid)
		}
		if confirmed := h.confirmed(); len(valid) > 0 && !h.revokedAt.IsZero() && (confirmed || time.Since(h.revokedAt) > Length) {
			h.fail("valid %v after the revoke, confirmed %v: %v", time.Since(h.revokedAt), confirmed, valid)
		}
	}
}

func (h *history) confirmed() bool {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.confirmedAt.Equal(h.revokedAt)
}

func (h *history) fail(format string, args ...any) {
	if h.fault == "" {
		h.fault = fmt.Sprintf(format, args...)
	}
}

// event makes one random fault or change.
func (h *history) event() {
	w := h.w
	host, other := hostNames[h.rnd.IntN(5)], hostNames[h.rnd.IntN(5)]
	switch h.rnd.IntN(9) {
	case 0:
		w.elect(host, time.Second)
	case 2:
		go w.freeze(w.view(host).leader, w.upTo(4*time.Second))
	case 3:
		go w.freeze(ownHosts[h.rnd.IntN(3)], w.upTo(4*time.Second))
	case 1, 4, 5:
		w.setCut(host, other, true)
		time.AfterFunc(w.upTo(4*time.Second), func() { w.setCut(host, other, false) })
	case 6:
		h.start(host)
	case 7:
		if t := h.tables[w.leader]; h.revokedAt.IsZero() {
			h.drain(t)
		} else {
			h.revokedAt = time.Time{}
			w.drain(false, time.Second)
		}
	case 8:
		name := ownHosts[h.rnd.IntN(3)]
		t := h.tables[name]
		go func() {
			_ = t.Release(context.Background())
			time.Sleep(w.upTo(time.Second))
			t.mu.Lock()
			t.released = false
			t.mu.Unlock()
		}()
	}
}

func (h *history) drain(t *Table) {
	at := time.Now()
	h.revokedAt = at
	h.w.drain(true, time.Second)
	go func() {
		if t.Revoke(context.Background(), zone) != nil {
			return
		}
		h.w.mu.Lock()
		defer h.w.mu.Unlock()
		h.confirmedAt = at
	}()
}

func (w *world) setCut(from, to string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[from+">"+to] = on
}

// Guards against two valid holders of a zone and against a lease that outlives
// a revoke, over random histories of faults.
func TestHistoriesHaveOneHolder(t *testing.T) {
	var held time.Duration
	holders := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h := newHistory(seed)
			h.w.loss = 0.1
			for range 60 {
				h.event()
				h.watch(h.w.upTo(2500 * time.Millisecond))
			}
			g.Expect(h.fault).To(BeEmpty(), "seed %d", seed)
			held += h.held
			holders += h.holders
			h.heal()
			h.watch(3 * Length)
			g.Expect(h.valid()).To(HaveLen(1), "seed %d: no holder after the faults ended", seed)
			h.stop()
			time.Sleep(time.Minute)
		})
	}
	t.Logf("%d seeds: held for %v, %d changes of holder", seeds, held, holders)
	if holders < 5*seeds {
		t.Errorf("only %d changes of holder: the histories prove little", holders)
	}
}

func (h *history) heal() {
	h.w.mu.Lock()
	clear(h.w.cut)
	h.w.loss = 0
	h.w.mu.Unlock()
	h.revokedAt = time.Time{}
	h.w.drain(false, 0)
	time.Sleep(10 * time.Second)
}

func (h *history) valid() []string {
	var out []string
	for _, name := range ownHosts {
		if _, ok := h.tables[name].Valid(); ok {
			out = append(out, name)
		}
	}
	return out
}

// Guards against a late copy of a release that frees a lease which the same
// host got again.
func TestLateReleaseFreesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHistory(1)
		h.w.elect("c1", 0)
		time.Sleep(2 * electionWait)
		h.stop()
		time.Sleep(10 * Length)
		leader := h.tables["c1"]
		ask := func(host string, term, epoch uint64) renewReply {
			return leader.grant(renewRequest{zone, term, epoch}, host, leader.term, time.Now(), true)
		}
		first := ask("b1", 0, 0)
		old, _ := carawayshift.Encode(renewRequest{zone, first.Term, first.Epoch})
		_, err := leader.handleRelease(t.Context(), "b1", old)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ask("b1", 0, 0).Granted).To(BeTrue())
		_, err = leader.handleRelease(t.Context(), "b1", old)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ask("b2", 0, 0).Granted).To(BeFalse())
	})
}

// Guards against a new leader that grants while a lease of its predecessor is
// valid on a host with a slow clock.
func TestElectionWaitCoversDrift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(1)
		in, ask := func(string) bool { return true }, func(string) []string { return ownHosts }
		leader := New(Config{Host: "c1", Transport: link{w, "c1"}, In: in, Candidates: ask})
		leader.wait = leader.wait * 100 / 101
		leader.lead(2)
		last := time.Now() // the predecessor's last grant, in the worst case
		for !leader.grant(renewRequest{Zone: zone}, "b1", 2, time.Now(), true).Granted {
			time.Sleep(time.Millisecond)
		}
		g.Expect(time.Since(last)).To(BeNumerically(">", Validity*100/99))
	})
}
