package replica

import (
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// wireOverhead is the estimated size of the packet headers, stream frames and
// acknowledgements of one call over QUIC; the fake transport counts only the
// payload.
const wireOverhead = 140

// Guards against idle control traffic above 3 KB/s per host.
func TestTrafficAtRest(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		inBubble(t, 20, size, Config{}, func(g *group) {
			w := NewWithT(g.t)
			leader := g.waitLeader()
			follower, _ := g.others(leader)
			time.Sleep(10 * time.Second)
			bytes, calls := g.net.traffic(leader.name)
			other, _ := g.net.traffic(follower.name)
			const seconds = 60
			time.Sleep(seconds * time.Second)
			bytes2, calls2 := g.net.traffic(leader.name)
			other2, _ := g.net.traffic(follower.name)
			payload, n := (bytes2-bytes)/seconds, (calls2-calls)/seconds
			t.Logf("%d voters: leader %d B/s payload, %d calls/s, %d B/s with packet overhead; follower %d B/s payload",
				size, payload, n, payload+n*wireOverhead, (other2-other)/seconds)
			w.Expect(payload + n*wireOverhead).To(BeNumerically("<", 3000))
		})
	}
}

// traffic returns the payload bytes of a host and the number of calls of all
// hosts.
func (n *network) traffic(host string) (bytes, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[host], n.calls
}

// Guards against more than 3 s between the loss of the leader's host and the
// first accepted command, with a one-way latency of 20 ms.
func TestElectionTime(t *testing.T) {
	const seeds = 100
	for _, size := range []int{3, 5, 7} {
		var times []time.Duration
		for seed := range uint64(seeds) {
			inBubble(t, seed, size, Config{}, func(g *group) {
				g.net.setDelay(func() time.Duration { return 20 * time.Millisecond })
				old := g.waitLeader()
				time.Sleep(time.Duration(g.rng.IntN(1000)) * time.Millisecond)
				n, _ := g.others(old)
				g.kill(old.name)
				start := time.Now()
				for {
					if _, err := g.set(n, "a", "k", "v"); err == nil {
						break
					}
				}
				times = append(times, time.Since(start))
			})
		}
		slices.Sort(times)
		t.Logf("%d voters, %d seeds: median %v, 90%% %v, longest %v", size, seeds,
			times[seeds/2], times[seeds*9/10], times[seeds-1])
		NewWithT(t).Expect(times[seeds-1]).To(BeNumerically("<", 3*time.Second))
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCommit measures the whole group in one process: processor time,
// payload bytes of all hosts, disk syncs and log bytes per command.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{3, 7} {
		for _, clients := range []int{1, 64} {
			b.Run(fmt.Sprintf("voters=%d/clients=%d", size, clients), func(b *testing.B) {
				g := newGroup(b, 1, size, Config{SnapshotEntries: 1 << 30})
				leader := g.waitLeader()
				bytes, _ := g.net.traffic(leader.name)
				syncs, cpu := leader.disk.Syncs(), cpuTime()
				var id atomic.Int64
				b.ResetTimer()
				runClients(b, clients, func() {
					i := id.Add(1)
					if _, err := g.set(leader, fmt.Sprint("c", i), fmt.Sprint("k", i%100), "some value"); err != nil {
						b.Error(err)
					}
				})
				b.StopTimer()
				after, _ := g.net.traffic(leader.name)
				n := float64(b.N)
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/n, "cpu-µs/op")
				b.ReportMetric(float64(after-bytes)/n, "leader-B/op")
				b.ReportMetric(float64(leader.disk.Syncs()-syncs)/n, "syncs/op")
				b.ReportMetric(float64(leader.j.LogSize())/n, "log-B/op")
				for _, node := range g.nodes {
					node.stop()
				}
			})
		}
	}
}

// runClients distributes b.N operations over a number of clients.
func runClients(b *testing.B, clients int, fn func()) {
	var left atomic.Int64
	left.Store(int64(b.N))
	done := make(chan struct{})
	for range clients {
		go func() {
			for left.Add(-1) >= 0 {
				fn()
			}
			done <- struct{}{}
		}()
	}
	for range clients {
		<-done
	}
}

// BenchmarkRest measures the processor time of one idle host, in percent of a
// core, with the fake transport.
func BenchmarkRest(b *testing.B) {
	const size, period = 3, 3 * time.Second
	g := newGroup(b, 1, size, Config{})
	g.waitLeader()
	for b.Loop() {
		cpu := cpuTime()
		time.Sleep(period)
		b.ReportMetric(100*float64(cpuTime()-cpu)/float64(period)/size, "%core/host")
	}
	for _, node := range g.nodes {
		node.stop()
	}
}
