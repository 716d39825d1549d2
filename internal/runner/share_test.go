package runner

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// wires connects pools; lost makes calls from and to a host time out.
type wires struct {
	mu    sync.Mutex
	fns   map[string]carawayshift.Handler
	lost  map[string]bool
	calls int
	bytes int
}

type wire struct {
	w    *wires
	host string
}

func (x wire) Handle(_ string, fn carawayshift.Handler) { x.w.fns[x.host] = fn }

func (x wire) Call(ctx context.Context, host, _ string, body []byte) ([]byte, error) {
	x.w.mu.Lock()
	x.w.calls++
	x.w.bytes += len(body)
	lost, fn := x.w.lost[host] || x.w.lost[x.host], x.w.fns[host]
	x.w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return fn(ctx, x.host, body)
}

type zone struct {
	*wires
	names []string
	pools []*Pool
	loads []map[string]int
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

func newZone(t *testing.T, hosts int) *zone {
	z := &zone{wires: &wires{fns: map[string]carawayshift.Handler{}, lost: map[string]bool{}}}
	ctx, cancel := context.WithCancel(t.Context())
	z.stop = cancel
	for i := range hosts {
		z.names = append(z.names, fmt.Sprintf("h%d", i))
		z.loads = append(z.loads, map[string]int{})
	}
	for i, n := range z.names {
		p := New(Config{Host: n, Zone: "a1", Peers: func() []string { return z.names }, Transport: wire{z.wires, n}})
		p.SetInFlightSource(func() map[string]int { return z.load(i) })
		z.pools = append(z.pools, p)
	}
	for _, p := range z.pools {
		z.wg.Go(func() { _ = p.Run(ctx) })
	}
	return z
}

func (z *zone) lose(host string, lost bool) {
	z.mu.Lock()
	z.lost[host] = lost
	z.mu.Unlock()
}

func (z *zone) setLoad(host int, name string, n int) {
	z.mu.Lock()
	z.loads[host][name] = n
	z.mu.Unlock()
}

func (z *zone) load(host int) map[string]int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return maps.Clone(z.loads[host])
}

func (z *zone) close() {
	z.stop()
	z.wg.Wait()
}

func announced(name string, incarnation uint64, leaving bool) carawayshift.Runner {
	return carawayshift.Runner{
		Name: name, Incarnation: incarnation, Zone: "a1", Service: "fit", Address: name + ":80",
		Slots: 8, Connections: 60, Leaving: leaving, Expiry: 3 * time.Second,
	}
}

func (z *zone) known(i int) []string {
	out := []string{}
	for _, r := range z.pools[i].Runners("fit") {
		out = append(out, r.Name)
	}
	return out
}

// Guards promise 7: a leaving flag that reaches one host reaches all hosts of
// the zone within 1 s, also when a digest is lost.
func TestLeavingReachesZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 9)
		defer z.close()
		time.Sleep(time.Second)
		z.pools[0].Announce(announced("r1", 1, false))
		time.Sleep(time.Second)
		for i := range z.pools {
			g.Expect(z.known(i)).To(Equal([]string{"r1"}), "host %d", i)
		}
		z.lose("h8", true)
		z.pools[0].Announce(announced("r1", 1, true))
		time.Sleep(300 * time.Millisecond)
		for i := range z.pools[:8] {
			g.Expect(z.known(i)).To(BeEmpty(), "host %d waits for its tick", i)
		}
		z.lose("h8", false)
		time.Sleep(700 * time.Millisecond)
		for i := range z.pools {
			g.Expect(z.known(i)).To(BeEmpty(), "host %d", i)
		}
		z.pools[3].Announce(announced("r1", 1, false))
		g.Expect(z.known(3)).To(BeEmpty(), "a delayed announcement takes the flag back")
		z.pools[3].Announce(announced("r1", 2, false))
		g.Expect(z.known(3)).To(Equal([]string{"r1"}))
	})
}

// Guards against two hosts that keep a dead runner alive for each other.
func TestRunnerExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 3)
		defer z.close()
		for range 4 {
			z.pools[0].Announce(announced("r1", 1, false))
			z.pools[1].Announce(announced("r1", 1, false))
			time.Sleep(time.Second)
		}
		g.Expect(z.known(2)).To(Equal([]string{"r1"}))
		time.Sleep(4500 * time.Millisecond)
		for i := range z.pools {
			g.Expect(z.known(i)).To(BeEmpty(), "host %d", i)
		}
	})
}

// Guards the shared counts and their size: 50 runners whose counts all change.
func TestCountsAreSharedInSmallDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 9)
		defer z.close()
		round := func(load int) {
			for i := range 50 {
				for k := range z.pools {
					z.pools[k].Announce(announced(fmt.Sprintf("runner-%02d", i), 1, false))
				}
				z.setLoad(0, fmt.Sprintf("runner-%02d", i), load)
			}
			time.Sleep(time.Second)
		}
		round(1)
		round(2)
		z.mu.Lock()
		z.calls, z.bytes = 0, 0
		z.mu.Unlock()
		for i := range 10 {
			round(3 + i)
		}
		g.Expect(z.pools[8].PeerInFlight("runner-07")).To(Equal(12))
		perHost := float64(z.bytes) / 9 / 10
		t.Logf("%d calls, %.0f bytes per host and second, %.0f bytes per digest", z.calls, perHost, float64(z.bytes)/float64(z.calls))
		g.Expect(perHost).To(BeNumerically("<", 3000))
	})
}
