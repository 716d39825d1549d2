package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayshift.example/carawayshift"
)

const (
	// window is the number of outcomes that the success rate covers.
	window = 20
	// minOutcomes is the number of outcomes below which nothing is ejected.
	minOutcomes = 5
	// ejectBelow is the part of the service's success rate below which a
	// runner is ejected. A fault of the whole zone lowers all rates alike and
	// ejects nothing.
	ejectBelow = 0.7
	// probes is the number of successful probes in a row before a return.
	probes = 3
	// maxCooldown bounds the doubling of the cooldown.
	maxCooldown = time.Minute
	minRate     = 0.05
	// smoothing is the weight of one sample. Heavy-tailed times need many.
	smoothing = 0.05
	// minHold applies while the service's mean time is unknown.
	minHold = 50 * time.Millisecond
)

// mean is an exponentially weighted mean in seconds.
type mean struct {
	v float64
	n int
}

func (m *mean) add(d time.Duration) {
	m.n++
	w := max(smoothing, 1/float64(m.n))
	m.v += w * (d.Seconds() - m.v)
}

func (m *mean) value() float64 { return m.v }

// or returns the mean, or a default until there are enough samples.
func (m *mean) or(def float64) float64 {
	if m.n < minOutcomes {
		return def
	}
	return m.v
}

// target is the history of one runner's incarnation.
type target struct {
	incarnation uint64
	inflight    int
	mean        mean

	outcomes uint32
	n        int

	// unreached is the time of the last attempt that could not be sent. The
	// runner gets nothing until it has announced itself again.
	unreached time.Time

	ejected   bool
	until     time.Time
	ejections int
	passed    int

	// holds are the ends of the times for which failed requests still count
	// as in flight. Without them a runner that fails at once looks idle and
	// attracts all load.
	holds []time.Time
}

func (t *target) usable(r carawayshift.Runner) bool {
	return !t.ejected && (t.unreached.IsZero() || r.Seen.After(t.unreached))
}

func (t *target) record(ok bool) {
	t.outcomes <<= 1
	if ok {
		t.outcomes |= 1
	}
	t.outcomes &= 1<<window - 1
	t.n = min(t.n+1, window)
}

// rate is the success rate of the window; unknown counts as good.
func (t *target) rate() float64 {
	if t.n == 0 {
		return 1
	}
	ok := 0
	for v := t.outcomes; v > 0; v &= v - 1 {
		ok++
	}
	return float64(ok) / float64(t.n)
}

func (t *target) hold(now time.Time, d time.Duration) {
	t.holds = append(t.holds, now.Add(max(d, minHold)))
}

// held returns the number of failed requests that still count as in flight.
func (t *target) held(now time.Time) int {
	kept := t.holds[:0]
	for _, end := range t.holds {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	t.holds = kept
	return len(kept)
}

// judge ejects t, or counts the outcome of a probe. The caller holds the
// mutex.
func (b *Balancer) judge(t *target, runners []carawayshift.Runner, now time.Time, ok bool) {
	if t.ejected {
		b.judgeProbe(t, now, ok)
		return
	}
	if ok || t.n < minOutcomes || t.rate() >= ejectBelow*b.rateOf(runners) {
		return
	}
	if b.inUse(runners)-1 < b.least(len(runners)) {
		return
	}
	b.eject(t, now)
}

func (b *Balancer) judgeProbe(t *target, now time.Time, ok bool) {
	if now.Before(t.until) {
		return
	}
	if !ok {
		b.eject(t, now)
		return
	}
	t.passed++
	if t.passed >= probes {
		t.ejected, t.passed = false, 0
		t.outcomes, t.n, t.mean = 0, 0, mean{}
	}
}

func (b *Balancer) eject(t *target, now time.Time) {
	t.ejected, t.passed = true, 0
	d := min(b.cfg.Cooldown<<min(t.ejections, 8), maxCooldown)
	t.ejections++
	t.until = now.Add(d)
}

// least is the number of runners that stay in use.
func (b *Balancer) least(runners int) int {
	return max(1, int(float64(runners)*b.cfg.MinInUse+0.999))
}

func (b *Balancer) inUse(runners []carawayshift.Runner) int {
	n := 0
	for _, r := range runners {
		if !b.target(r).ejected {
			n++
		}
	}
	return n
}

// rateOf is the mean success rate of the runners in use.
func (b *Balancer) rateOf(runners []carawayshift.Runner) float64 {
	sum, n := 0.0, 0
	for _, r := range runners {
		if t := b.target(r); !t.ejected && t.n > 0 {
			sum += t.rate()
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

func hash(name string) uint64 { return xxhash.Sum64String(name) }
