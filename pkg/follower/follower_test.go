package follower

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

const seeds = 200

// host is one run of a process.
type host struct {
	*Follower
	machine *counter
	stop    func()
	// shown is the highest index that this run of the process has shown, and
	// before its first showing what the zone had shown when it started.
	shown uint64
}

// start runs a host whose zone holds the members; those that are down are
// not live.
func (w *world) start(name string, zone []string) *host {
	h := &host{machine: &counter{}}
	h.Follower = New(Config{
		Host: name, Transport: link{w, name}, Machine: h.machine, Logger: quiet(),
		Voters: func() []string { return []string{"v1", "v2"} },
		Members: func() []string {
			w.mu.Lock()
			defer w.mu.Unlock()
			var out []string
			for _, m := range zone {
				if m != name && !w.down[m] {
					out = append(out, m)
				}
			}
			return out
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	h.stop = func() {
		cancel()
		<-done
	}
	return h
}

func names(zone string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(zone, i+1))
	}
	return out
}

// Guards against a copy that goes back, skips or repeats an entry, against a
// host that serves something older than its zone has shown, and against a
// zone that does not catch up, over restarts, relay loss, cuts and compaction.
func TestHistoriesNeverGoBack(t *testing.T) {
	served := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(seed)
			w.loss = 0.05
			zone := names("b", 4)
			hosts := map[string]*host{}
			for _, n := range zone {
				hosts[n] = w.start(n, zone)
			}
			// shown is the highest index that a ready host of the zone showed.
			shown := uint64(0)
			for range 80 {
				// A host that is down can't tell the floor, so that odd seeds
				// check each host against itself only.
				w.event(hosts, zone, shown*(1-seed%2), seed%2 == 1)
				time.Sleep(time.Duration(w.pick(1000)) * time.Millisecond)
				for n, h := range hosts {
					if h.Ready() == nil {
						g.Expect(h.Applied()).To(BeNumerically(">=", h.shown), "seed %d: %s", seed, n)
						h.shown = h.Applied()
						shown = max(shown, h.shown)
						served++
					}
				}
			}
			w.heal()
			last := w.commit(0)
			time.Sleep(20 * time.Second)
			for n, h := range hosts {
				g.Expect(h.Ready()).To(Succeed())
				g.Expect(h.Applied()).To(Equal(last), "seed %d: %s", seed, n)
				// A source may be maxAge old when it answers a pull.
				g.Expect(h.Age()).To(BeNumerically("<", maxAge+pollWait+pullSlack))
				h.stop()
				g.Expect(h.machine.fault).To(BeEmpty(), "seed %d: %s", seed, n)
			}
		})
	}
	t.Logf("%d seeds, %d checks of ready hosts", seeds, served)
}

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func (w *world) event(hosts map[string]*host, zone []string, shown uint64, kill bool) {
	name := zone[w.pick(len(zone))]
	switch w.pick(10) {
	case 5: // the zone is cut off from all voters
		for i := range 2 * len(zone) {
			w.cutFor(zone[i/2]+">"+[]string{"v1", "v2"}[i%2], 8*time.Second)
		}
	case 0, 6:
		hosts[name].stop()
		hosts[name] = w.start(name, zone)
		hosts[name].shown = shown
	case 1:
		w.set(w.down, name, kill)
		time.AfterFunc(5*time.Second, func() { w.set(w.down, name, false) })
	case 2, 3:
		far := []string{"v1", "v2", zone[w.pick(len(zone))]}[w.pick(3)]
		way := []string{name + ">" + far, far + ">" + name}[w.pick(2)]
		w.cutFor(way, time.Duration(w.pick(10))*time.Second)
	case 4:
		s := w.sources["v1"]
		s.mu.Lock()
		s.first = s.commit
		s.mu.Unlock()
	default:
		for range w.pick(20) {
			w.commit(time.Duration(w.pick(3000)) * time.Millisecond)
		}
	}
}

func (w *world) cutFor(way string, d time.Duration) {
	w.set(w.cut, way, true)
	time.AfterFunc(d, func() { w.set(w.cut, way, false) })
}

func (w *world) heal() {
	time.Sleep(11 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss = 0
}

// Guards against hosts behind the relay that pull over the link between
// regions, and against progress that the leader does not learn.
func TestOneRelayPerZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(1)
		zone := names("b", 9)
		var hosts []*host
		for _, n := range zone {
			hosts = append(hosts, w.start(n, zone))
			defer hosts[len(hosts)-1].stop()
		}
		time.Sleep(30 * time.Second)
		w.counts()
		began := time.Now()
		last := w.commit(0)
		for _, h := range hosts {
			g.Expect(h.WaitApplied(t.Context(), last)).To(Succeed())
		}
		t.Log("applied on 9 hosts after", time.Since(began))
		g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		time.Sleep(time.Second)
		calls := w.counts()
		for _, n := range zone {
			far := calls[n+">v1 "+methodPull] + calls[n+">v2 "+methodPull] + calls[n+">v1 "+methodReport]
			g.Expect(far > 0).To(Equal(n == "b1"), n)
			g.Expect(w.leaderProgress()[n].Index).To(Equal(last), n)
		}
		t.Log(calls)
	})
}

// counts returns the calls since the last time.
func (w *world) counts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.calls
	w.calls = map[string]int{}
	return out
}

func (w *world) leaderProgress() map[string]Seen {
	return w.voters["v1"].Progress()
}

// Guards against a zone that stays with a relay which is cut off from the
// voters, and against a relay that does not pull from its zone then.
func TestPassesOverRelayThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(1)
		zone := names("b", 3)
		var hosts []*host
		for _, n := range zone {
			hosts = append(hosts, w.start(n, zone))
			defer hosts[len(hosts)-1].stop()
		}
		time.Sleep(30 * time.Second)
		w.set(w.cut, "b1>v1", true)
		w.set(w.cut, "b1>v2", true)
		began := time.Now()
		last := w.commit(0)
		for _, h := range hosts {
			g.Expect(h.WaitApplied(t.Context(), last)).To(Succeed())
		}
		t.Log("applied on 3 hosts after", time.Since(began))
		g.Expect(time.Since(began)).To(BeNumerically("<", 30*time.Second))
		time.Sleep(time.Minute)
		for _, h := range hosts {
			g.Expect(h.Age()).To(BeNumerically("<", maxAge), h.cfg.Host)
		}
	})
}

// Guards against a floor below what this host itself has shown before its
// restart in a zone that is cut off: once both hosts restart and take each
// other's empty copy for the floor, once the other host never got the entry.
func TestRestartWhileCutOff(t *testing.T) {
	for _, restart := range [][]string{{"b1", "b2"}, {"b1"}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(1)
			zone := names("b", 2)
			hosts := map[string]*host{}
			for _, n := range zone {
				hosts[n] = w.start(n, zone)
			}
			time.Sleep(20 * time.Second)
			w.set(w.cut, "b2>b1", true)
			time.Sleep(pollWait + 100*time.Millisecond) // b2's next pull is lost
			g.Expect(hosts["b1"].WaitApplied(t.Context(), w.commit(0))).To(Succeed())
			g.Expect(hosts["b2"].Applied()).To(BeZero())
			for _, n := range zone {
				w.cutFor(n+">v1", time.Hour)
				w.cutFor(n+">v2", time.Hour)
			}
			w.set(w.cut, "b2>b1", false)
			for _, n := range restart {
				hosts[n].stop()
			}
			for _, n := range restart {
				hosts[n] = w.start(n, zone)
			}
			time.Sleep(10 * time.Second)
			for _, n := range zone {
				hosts[n].stop()
			}
			g.Expect(hosts["b1"].Ready()).NotTo(Succeed(), "%v restarted", restart)
		})
	}
}

// Guards against answers that lose a field on the way, and against a copy
// that claims to be fresh while its voters know no leader.
func TestForwardsToVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(1)
		h := w.start("b1", []string{"b1"})
		defer h.stop()
		time.Sleep(time.Second)
		a, err := h.Propose(t.Context(), carawayshift.Command{ID: "x"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a).To(Equal(carawayshift.Answer{ID: "x", Version: 7, Repeated: true}))
		w.commit(0)
		g.Expect(h.Barrier(t.Context())).To(BeEquivalentTo(1))
		for _, s := range w.sources {
			s.mu.Lock()
			s.leader = ""
			s.mu.Unlock()
		}
		time.Sleep(time.Minute)
		g.Expect(h.Age()).To(BeNumerically(">", 50*time.Second))
	})
}
