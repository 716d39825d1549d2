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

// host is a follower from the start of its process until it is stopped.
type host struct {
	*Follower
	machine *orderChecker
	stop    func()
	// served is the highest index that this process has served, and before that
	// the highest one that the zone had served when it started.
	served uint64
}

// start runs a host of a zone with the given hosts, of which those that are down
// are not live.
func (w *simulation) start(name string, zone []string) *host {
	h := &host{machine: &orderChecker{}}
	h.Follower = New(Config{
		Host: name, Transport: hostTransport{w, name}, Machine: h.machine, Logger: discardLogger(),
		Voters: func() []string { return []string{"v1", "v2"} },
		ZonePeers: func() []string {
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

func hostNames(zone string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(zone, i+1))
	}
	return out
}

// Guards against a copy that reverts to an older state, skips or repeats an
// entry, against a host that serves an older state than its zone has served, and
// against a zone that does not catch up, over random restarts, losses of the
// relay, network failures and compactions.
func TestHistoriesNeverGoBack(t *testing.T) {
	checks := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newSimulation(seed)
			w.loss = 0.05
			zone := hostNames("b", 4)
			hosts := map[string]*host{}
			for _, n := range zone {
				hosts[n] = w.start(n, zone)
			}
			// zoneServed is the highest index that a ready host of the zone
			// served.
			zoneServed := uint64(0)
			for range 80 {
				// A host that is down can't report its floor, so odd seeds, in
				// which hosts go down, compare each host only with itself.
				w.randomEvent(hosts, zone, zoneServed*(1-seed%2), seed%2 == 1)
				time.Sleep(time.Duration(w.randInt(1000)) * time.Millisecond)
				for n, h := range hosts {
					if h.Ready() == nil {
						g.Expect(h.Applied()).To(BeNumerically(">=", h.served), "seed %d: %s", seed, n)
						h.served = h.Applied()
						zoneServed = max(zoneServed, h.served)
						checks++
					}
				}
			}
			w.endFaults()
			last := w.commit(0)
			time.Sleep(20 * time.Second)
			for n, h := range hosts {
				g.Expect(h.Ready()).To(Succeed())
				g.Expect(h.Applied()).To(Equal(last), "seed %d: %s", seed, n)
				// The copy of a source may be maxSourceAge old when it replies to a pull.
				g.Expect(h.Age()).To(BeNumerically("<", maxSourceAge+pollTimeout+pullMargin))
				h.stop()
				g.Expect(h.machine.violation).To(BeEmpty(), "seed %d: %s", seed, n)
			}
		})
	}
	t.Logf("%d seeds, %d checks of ready hosts", seeds, checks)
}

func (w *simulation) randInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func (w *simulation) randomEvent(hosts map[string]*host, zone []string, served uint64, kill bool) {
	name := zone[w.randInt(len(zone))]
	switch w.randInt(10) {
	case 5: // the zone is disconnected from all voters
		for i := range 2 * len(zone) {
			w.breakLink(zone[i/2]+">"+[]string{"v1", "v2"}[i%2], 8*time.Second)
		}
	case 0, 6:
		hosts[name].stop()
		hosts[name] = w.start(name, zone)
		hosts[name].served = served
	case 1:
		w.setFlag(w.down, name, kill)
		time.AfterFunc(5*time.Second, func() { w.setFlag(w.down, name, false) })
	case 2, 3:
		far := []string{"v1", "v2", zone[w.randInt(len(zone))]}[w.randInt(3)]
		link := []string{name + ">" + far, far + ">" + name}[w.randInt(2)]
		w.breakLink(link, time.Duration(w.randInt(10))*time.Second)
	case 4:
		s := w.sources["v1"]
		s.mu.Lock()
		s.first = s.commit
		s.mu.Unlock()
	default:
		for range w.randInt(20) {
			w.commit(time.Duration(w.randInt(3000)) * time.Millisecond)
		}
	}
}

func (w *simulation) breakLink(link string, d time.Duration) {
	w.setFlag(w.brokenLinks, link, true)
	time.AfterFunc(d, func() { w.setFlag(w.brokenLinks, link, false) })
}

func (w *simulation) endFaults() {
	time.Sleep(11 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss = 0
}

// Guards against hosts other than the relay that pull over the link between
// regions, and against progress that is not reported to the leader.
func TestOneRelayPerZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newSimulation(1)
		zone := hostNames("b", 9)
		var hosts []*host
		for _, n := range zone {
			hosts = append(hosts, w.start(n, zone))
			defer hosts[len(hosts)-1].stop()
		}
		time.Sleep(30 * time.Second)
		w.takeCalls()
		start := time.Now()
		last := w.commit(0)
		for _, h := range hosts {
			g.Expect(h.WaitApplied(t.Context(), last)).To(Succeed())
		}
		t.Log("applied on 9 hosts after", time.Since(start))
		g.Expect(time.Since(start)).To(BeNumerically("<", 200*time.Millisecond))
		time.Sleep(time.Second)
		calls := w.takeCalls()
		for _, n := range zone {
			far := calls[n+">v1 "+methodPull] + calls[n+">v2 "+methodPull] + calls[n+">v1 "+methodReport]
			g.Expect(far > 0).To(Equal(n == "b1"), n)
			g.Expect(w.leaderProgress()[n].Index).To(Equal(last), n)
		}
		t.Log(calls)
	})
}

// takeCalls returns the number of calls since its last call.
func (w *simulation) takeCalls() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.calls
	w.calls = map[string]int{}
	return out
}

func (w *simulation) leaderProgress() map[string]HostProgress {
	return w.voters["v1"].Progress()
}

// Guards against a zone that keeps using a relay which is disconnected from the
// voters, and against such a relay that does not pull from its zone.
func TestPassesOverRelayThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newSimulation(1)
		zone := hostNames("b", 3)
		var hosts []*host
		for _, n := range zone {
			hosts = append(hosts, w.start(n, zone))
			defer hosts[len(hosts)-1].stop()
		}
		time.Sleep(30 * time.Second)
		w.setFlag(w.brokenLinks, "b1>v1", true)
		w.setFlag(w.brokenLinks, "b1>v2", true)
		start := time.Now()
		last := w.commit(0)
		for _, h := range hosts {
			g.Expect(h.WaitApplied(t.Context(), last)).To(Succeed())
		}
		t.Log("applied on 3 hosts after", time.Since(start))
		g.Expect(time.Since(start)).To(BeNumerically("<", 30*time.Second))
		time.Sleep(time.Minute)
		for _, h := range hosts {
			g.Expect(h.Age()).To(BeNumerically("<", maxSourceAge), h.cfg.Host)
		}
	})
}

// Guards against a floor below what a host itself served before its restart in a
// zone that is disconnected from the voters. In the first case both hosts restart
// and determine the floor from each other's empty copy, in the second the other
// host never received the entry.
func TestRestartWhileCutOff(t *testing.T) {
	for _, restart := range [][]string{{"b1", "b2"}, {"b1"}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newSimulation(1)
			zone := hostNames("b", 2)
			hosts := map[string]*host{}
			for _, n := range zone {
				hosts[n] = w.start(n, zone)
			}
			time.Sleep(20 * time.Second)
			w.setFlag(w.brokenLinks, "b2>b1", true)
			time.Sleep(pollTimeout + 100*time.Millisecond) // b2's next pull is lost
			g.Expect(hosts["b1"].WaitApplied(t.Context(), w.commit(0))).To(Succeed())
			g.Expect(hosts["b2"].Applied()).To(BeZero())
			for _, n := range zone {
				w.breakLink(n+">v1", time.Hour)
				w.breakLink(n+">v2", time.Hour)
			}
			w.setFlag(w.brokenLinks, "b2>b1", false)
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

// Guards against forwarded answers that lose a field, and against a copy that
// reports a low age while its voters know no leader.
func TestForwardsToVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newSimulation(1)
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
