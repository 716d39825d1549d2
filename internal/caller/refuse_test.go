package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	standin "carawayshift.example/carawayshift/internal/standin/runner"
)

// small starts one zone with three hosts and some runners.
func small(t *testing.T, runners int, tweak func(*options), zones ...string) *world {
	w := newWorld(t, 3, append([]string{"a1"}, zones...)...)
	w.tweak = tweak
	w.startHosts()
	for i := range runners {
		w.startRunner("a1", fmt.Sprintf("a1-r%d", i))
	}
	time.Sleep(1500 * time.Millisecond)
	return w
}

// Guards the kinds and status codes of refusals.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name, method string
		header       map[string]string
		status       int
		kind         string
	}{
		{"bad deadline", http.MethodPost, map[string]string{"X-Deadline-Ms": "soon"}, 400, "malformed"},
		{"bad urgency", http.MethodPost, map[string]string{"X-Urgency": "now"}, 400, "malformed"},
		{"long key", http.MethodPost, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "malformed"},
		{"TRACE", http.MethodTrace, nil, 400, "malformed"},
		{"body over the limit", http.MethodPost, map[string]string{"Idempotency-Key": strings.Repeat("k", 100)}, 413, "too large"},
		{"team over its limit", http.MethodPost, map[string]string{"X-Team": "stopped"}, 429, "limited"},
		{"good", http.MethodPost, map[string]string{"X-Team": "carnival", "X-Urgency": "overnight"}, 200, ""},
	}
	synctest.Test(t, func(t *testing.T) {
		w := small(t, 1, func(o *options) {
			o.caller.BodyLimit = 64
			o.caller.TeamLimit = func(team string) int { return map[string]int{"stopped": 1}[team] }
		})
		defer w.close()
		g := NewWithT(t)
		g.Expect(w.send(w.ctx, "a1-h0:80", http.MethodPost, "first", map[string]string{"X-Team": "stopped"}).status).To(Equal(200))
		for _, tt := range tests {
			rep := w.send(w.ctx, "a1-h0:80", tt.method, tt.name, tt.header)
			g.Expect(rep.status).To(Equal(tt.status), tt.name)
			g.Expect(rep.kind).To(Equal(tt.kind), tt.name)
		}
	})
}

// Guards a true "not run": a repeatable request whose first attempt ended
// unclear must not be refused as "not run" when no retry is possible.
func TestUnclearIsNeverNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := small(t, 1, nil)
		defer w.close()
		for i := range 20 {
			w.send(w.ctx, "a1-h0:80", http.MethodPost, fmt.Sprint("warm", i), nil)
		}
		w.runners[0].SetFaults(standin.Fault{Kind: standin.CloseFirst})
		rep := w.send(w.ctx, "a1-h0:80", http.MethodPost, "q", map[string]string{"X-Idempotent": "true"})
		g.Expect(w.runners[0].Runs()["q"]).To(Equal(1))
		g.Expect(rep.kind).To(Equal(string(carawayshift.OutcomeUnknown)))
	})
}

// Guards against forwarded requests that travel on: a zone without runners
// passes a request to one other zone, and that zone refuses it if it has none
// either. A keyed request claims once.
func TestForwardsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := small(t, 1, nil, "a2", "b1")
		defer w.close()
		key := map[string]string{"Idempotency-Key": "k"}
		for i, a := range []string{"a2-h0:80", "a2-h1:80", "b1-h0:80"} {
			rep := w.send(w.ctx, a, http.MethodPost, "q", key)
			g.Expect(rep.status).To(Equal(200), "send %d", i)
			g.Expect(rep.body).To(Equal(right("q", key)))
		}
		g.Expect(w.runners[0].Runs()).To(Equal(map[string]int{"k": 1}))
		for _, h := range w.hosts[:2] {
			g.Expect(h.handler.Drain(w.ctx)).To(Succeed())
		}
		for i := range 8 {
			rep := w.send(w.ctx, "a2-h0:80", http.MethodPost, fmt.Sprint("draining", i), nil)
			g.Expect(rep.status == 200 || rep.kind == "not run").To(BeTrue(), "a draining host's refusal is known: %s", rep.kind)
		}
		w.runners[0].Leave()
		time.Sleep(2 * time.Second)
		start := time.Now()
		rep := w.send(w.ctx, "a2-h0:80", http.MethodPost, "q2", nil)
		g.Expect(rep.kind).To(Equal("not run"))
		g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

// Guards the byte budget between regions.
func TestOtherRegionHasByteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := small(t, 1, func(o *options) { o.caller.CrossRegionRate = 2000 }, "b1")
		defer w.close()
		size := map[string]string{standin.HeaderSize: "1500"}
		ends := map[int]int{}
		for i := range 10 {
			ends[w.send(w.ctx, "b1-h0:80", http.MethodPost, fmt.Sprint("q", i), size).status]++
		}
		g.Expect(ends[200]).To(Equal(2))
		g.Expect(ends[503]).To(Equal(8))
		time.Sleep(3 * time.Second)
		g.Expect(w.send(w.ctx, "b1-h0:80", http.MethodPost, "later", size).status).To(Equal(200))
	})
}

// Guards promise 8: a draining host finishes what it accepted and refuses the
// rest as not run.
func TestDrainFinishesAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := small(t, 1, nil)
		defer w.close()
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				work := map[string]string{standin.HeaderWork: "300000"}
				g.Expect(w.send(w.ctx, "a1-h0:80", http.MethodPost, fmt.Sprint("q", i), work).status).To(Equal(200))
			})
		}
		time.Sleep(100 * time.Millisecond)
		g.Expect(w.hosts[0].handler.Active()).To(Equal(20))
		wg.Go(func() {
			time.Sleep(10 * time.Millisecond)
			g.Expect(w.send(w.ctx, "a1-h0:80", http.MethodPost, "late", nil).kind).To(Equal("not run"))
		})
		g.Expect(w.hosts[0].handler.Drain(w.ctx)).To(Succeed())
		g.Expect(w.hosts[0].handler.Active()).To(BeZero())
		wg.Wait()
		g.Expect(w.runners[0].Runs()).NotTo(HaveKey("late"))
	})
}

// Guards against work for callers that have gone: queued requests are dropped
// without a run.
func TestGoneCallerDropsQueuedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := small(t, 1, nil)
		defer w.close()
		var wg sync.WaitGroup
		work := map[string]string{standin.HeaderWork: "500000"}
		for i := range 8 {
			wg.Go(func() { w.send(w.ctx, "a1-h0:80", http.MethodPost, fmt.Sprint("q", i), work) })
		}
		time.Sleep(100 * time.Millisecond)
		for i, header := range []map[string]string{nil, {"Idempotency-Key": "gone-k"}} {
			ctx, cancel := context.WithTimeout(w.ctx, 100*time.Millisecond)
			wg.Go(func() {
				defer cancel()
				g.Expect(w.send(ctx, "a1-h0:80", http.MethodPost, fmt.Sprint("gone", i), header).err).To(HaveOccurred())
			})
		}
		wg.Wait()
		time.Sleep(5 * time.Second)
		g.Expect(w.runners[0].Runs()).To(HaveLen(8))
		key := map[string]string{"Idempotency-Key": "gone-k"}
		g.Expect(w.send(w.ctx, "a1-h1:80", http.MethodPost, "again", key).status).To(Equal(200))
	})
}

// Guards promise 7 end to end: a leaving runner gets nothing new, and a stop
// interrupts nothing.
func TestLeavingRunnerInterruptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := small(t, 2, nil)
		defer w.close()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for c := range 6 {
			wg.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					rep := w.send(w.ctx, w.addresses("a1")[c%3], http.MethodPost, fmt.Sprintf("c%d-%d", c, i), nil)
					g.Expect(rep.status).To(Equal(200))
				}
			})
		}
		time.Sleep(time.Second)
		w.runners[0].Stop()
		time.Sleep(time.Second)
		before := len(w.runners[0].Runs())
		time.Sleep(4 * time.Second)
		close(stop)
		wg.Wait()
		g.Expect(w.runners[0].Runs()).To(HaveLen(before))
		g.Expect(before).To(BeNumerically(">", 0))
	})
}
