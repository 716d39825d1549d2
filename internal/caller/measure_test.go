package caller_test

import (
	"bytes"
	"container/heap"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/internal/loadgen"
	standin "carawayshift.example/carawayshift/internal/standin/runner"
	"carawayshift.example/carawayshift/pkg/balance"
)

var (
	measureSeconds = flag.Int("measure.seconds", 2, "simulated seconds of each measurement")
	baselines      = flag.Bool("measure.baselines", false, "measure the baseline policies too")
	measureSeed    = flag.Uint64("measure.seed", 1, "seed of the measurements' traces")
)

// trial is one measurement: a zone, its runners and a load.
type trial struct {
	policy  balance.Policy
	runners int
	load    loadgen.Config
	// during runs concurrently with the load.
	during func(d *deployment)
	// warmup is the duration of a lighter load before the measured one.
	warmup time.Duration
	zones  []string
	seed   uint64
}

type counters struct{ sends, retries, forwards uint64 }

// run measures one trial with simulated time.
func (tr trial) run(t *testing.T) (out loadgen.Result, trace []loadgen.Request, n counters) {
	synctest.Test(t, func(t *testing.T) {
		zones := tr.zones
		if zones == nil {
			zones = []string{"a1"}
		}
		d := newDeployment(t, 3, zones...)
		defer d.close()
		var sets []*metrics.Set
		d.configure = func(o *options) {
			o.balance.Policy = tr.policy
			o.caller.Metrics = metrics.NewSet()
			sets = append(sets, o.caller.Metrics)
		}
		d.startHosts()
		for _, z := range zones {
			for i := range tr.runners {
				d.startRunner(z, fmt.Sprintf("%s-r%d", z, i))
			}
		}
		time.Sleep(1500 * time.Millisecond)
		out, trace = tr.measure(t, d)
		for _, s := range sets {
			n.sends += s.GetOrCreateCounter("carawayshift_caller_sends_total").Get() + s.GetOrCreateCounter("carawayshift_caller_forwards_total").Get()
			n.retries += s.GetOrCreateCounter("carawayshift_caller_retries_total").Get()
			n.forwards += s.GetOrCreateCounter("carawayshift_caller_forwards_total").Get()
		}
		time.Sleep(time.Minute)
	})
	return out, trace, n
}

func (tr trial) measure(t *testing.T, d *deployment) (loadgen.Result, []loadgen.Request) {
	c := tr.load
	c.Service, c.Dial, c.Seed = "fit", d.net.dial, *measureSeed+tr.seed
	for _, a := range d.addresses("a1") {
		c.Hosts = append(c.Hosts, "http://"+a)
	}
	if tr.warmup > 0 {
		before := c
		before.Duration, before.Seed = tr.warmup, c.Seed+1000
		generate(t, d, before)
	}
	if tr.during != nil {
		d.wg.Go(func() { tr.during(d) })
	}
	return generate(t, d, c)
}

func generate(t *testing.T, d *deployment, c loadgen.Config) (loadgen.Result, []loadgen.Request) {
	var buf bytes.Buffer
	c.Output = &buf
	g, err := loadgen.New(c)
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Run(d.ctx); err != nil {
		t.Fatal(err)
	}
	t.Log(buf.String())
	return g.Result(), g.Trace()
}

// freeTimes is a heap of the times at which servers become free.
type freeTimes []time.Duration

func (h freeTimes) Len() int           { return len(h) }
func (h freeTimes) Less(i, j int) bool { return h[i] < h[j] }
func (h freeTimes) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *freeTimes) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *freeTimes) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// centralQueue returns the median and the 99th percentile of the latency in ms
// of an ideal central queue in front of all slots that learns of a free slot
// immediately.
func centralQueue(trace []loadgen.Request, slots int) (p50, p99 float64) {
	free := make(freeTimes, slots)
	var latencies []time.Duration
	for _, s := range trace {
		end := max(s.At, free[0]) + s.Work
		latencies = append(latencies, end-s.At)
		free[0] = end
		heap.Fix(&free, 0)
	}
	slices.Sort(latencies)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return ms(latencies[len(latencies)/2]), ms(latencies[len(latencies)*99/100])
}

// measuredPolicies lists the policies to measure, the one in use first. The
// baselines are for comparison and triple the time under the race detector.
func measuredPolicies() []balance.Policy {
	if *baselines {
		return []balance.Policy{balance.TwoChoices, balance.Random, balance.RoundRobin}
	}
	return []balance.Policy{balance.TwoChoices}
}

func seconds() time.Duration { return time.Duration(*measureSeconds) * time.Second }

// Target (a): 3 hosts, 50 runners with 8 slots, 85% load, heavy-tailed service
// times; p99 is at most 1.5 times that of one ideal central queue.
func TestMeasureTail(t *testing.T) {
	g := NewWithT(t)
	c := loadgen.Config{Rate: 0.85 * 50 * 8 / 0.1, Duration: seconds(), Work: 100 * time.Millisecond, Shape: 1.8, Deadline: time.Minute, InFlight: 100_000}
	p50, p99 := map[balance.Policy]float64{}, map[balance.Policy]float64{}
	var median, best float64
	for _, p := range measuredPolicies() {
		r, trace, _ := trial{policy: p, runners: 50, load: c}.run(t)
		median, best = centralQueue(trace, 400)
		p50[p], p99[p] = r.Latency.P50, r.Latency.P99
		g.Expect(r.Wrong + r.Errors).To(BeZero())
	}
	t.Logf("p50 in ms: ideal %.0f, %v", median, p50)
	t.Logf("p99 in ms: ideal %.0f, %v", best, p99)
	g.Expect(p99[balance.TwoChoices]).To(BeNumerically("<=", 1.5*best))
}

// Target (b): with 3 runners that fail immediately and 2 that are ten times
// slower, at least 99.9% of idempotent requests are answered within their
// deadline.
func TestMeasureBadRunners(t *testing.T) {
	g := NewWithT(t)
	c := loadgen.Config{Rate: 0.6 * 20 * 8 / 0.05, Duration: seconds(), Work: 50 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: 1}
	degrade := func(d *deployment) {
		for i := range 3 {
			d.runners[i].SetFaults(standin.Fault{Kind: standin.FailFast})
		}
		for i := 3; i < 5; i++ {
			d.runners[i].SetFaults(standin.Fault{Kind: standin.Slow})
		}
	}
	share := map[balance.Policy]float64{}
	for _, p := range measuredPolicies() {
		r, _, _ := trial{policy: p, runners: 20, load: c, during: degrade, warmup: 2 * time.Second}.run(t)
		share[p] = float64(r.Answered) / float64(r.Sent)
		g.Expect(r.Wrong).To(BeZero())
	}
	t.Logf("answered in time: %v", share)
	g.Expect(share[balance.TwoChoices]).To(BeNumerically(">=", 0.999))
}

// Target (c): twice the capacity; goodput is at least 90% of the capacity,
// urgent p99 is within the deadline, refusals arrive by half of the deadline.
func TestMeasureOverload(t *testing.T) {
	g := NewWithT(t)
	const capacity = 10 * 8 / 0.05
	c := loadgen.Config{Rate: 2 * capacity, Duration: seconds(), Work: 50 * time.Millisecond, Deadline: time.Second, Urgent: 0.3}
	goodput := map[balance.Policy]float64{}
	for _, p := range measuredPolicies() {
		r, _, _ := trial{policy: p, runners: 10, load: c, warmup: time.Second}.run(t)
		goodput[p] = r.Goodput / capacity
		if p == balance.TwoChoices {
			t.Logf("urgent p99 %.0f ms of 1000, refusals p99 %.0f ms, max %.0f ms", r.Urgent.P99, r.Refusals.P99, r.Refusals.Max)
			g.Expect(r.Urgent.P99).To(BeNumerically("<=", 1000))
			g.Expect(r.Refusals.Max).To(BeNumerically("<=", 510))
			g.Expect(r.Refused["outcome unknown"]).To(BeNumerically("<", r.Sent/100))
		}
	}
	t.Logf("goodput over capacity: %v", goodput)
	g.Expect(goodput[balance.TwoChoices]).To(BeNumerically(">=", 0.9))
}

// Target (d): retries add at most 10% of sends, even when all runners of a zone
// fail at once.
func TestMeasureZoneDeath(t *testing.T) {
	g := NewWithT(t)
	c := loadgen.Config{Rate: 0.4 * 10 * 8 / 0.05, Duration: seconds(), Work: 50 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: 0.5}
	kill := func(d *deployment) {
		time.Sleep(seconds() / 3)
		for _, r := range d.runners[:10] {
			r.Kill()
			d.net.cut(r.Name() + ":80")
		}
	}
	r, _, n := trial{runners: 10, load: c, during: kill, warmup: time.Second, zones: []string{"a1", "a2"}}.run(t)
	// The base excludes the requests of the warm-up, and counts a forwarded
	// request once although two hosts send it.
	share := float64(n.retries) / float64(r.Sent)
	t.Logf("requests %d, sends %d, retries %d (%.4f of requests), forwards %d, answered %.4f", r.Sent, n.sends, n.retries, share, n.forwards, float64(r.Answered)/float64(r.Sent))
	g.Expect(share).To(BeNumerically("<=", 0.1))
	g.Expect(float64(r.Answered) / float64(r.Sent)).To(BeNumerically(">=", 0.9))
}
