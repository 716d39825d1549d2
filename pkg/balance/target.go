package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayshift.example/carawayshift"
)

const (
	// outcomeWindow is the number of outcomes that the success rate covers.
	outcomeWindow = 20
	// minOutcomes is the number of outcomes that an ejection requires.
	minOutcomes = 5
	// ejectRatio is the fraction of the service's success rate below which a
	// runner is ejected. A fault of the whole zone lowers all rates alike and
	// ejects nothing.
	ejectRatio = 0.7
	// requiredProbes is the number of successful probes in a row before an
	// ejected runner returns.
	requiredProbes = 3
	// maxCooldown bounds the doubling of the cooldown.
	maxCooldown    = time.Minute
	minSuccessRate = 0.05
	// smoothing is the weight of one sample. Heavy-tailed times need many
	// samples.
	smoothing = 0.05
	// minPenalty applies while the service's mean time is unknown or shorter.
	minPenalty = 50 * time.Millisecond
)

// mean is an exponentially weighted mean in seconds.
type mean struct {
	seconds float64
	samples int
}

func (m *mean) add(d time.Duration) {
	m.samples++
	w := max(smoothing, 1/float64(m.samples))
	m.seconds += w * (d.Seconds() - m.seconds)
}

func (m *mean) value() float64 { return m.seconds }

// valueOr returns the mean, or def until there are enough samples.
func (m *mean) valueOr(def float64) float64 {
	if m.samples < minOutcomes {
		return def
	}
	return m.seconds
}

// target is the history of one incarnation of a runner.
type target struct {
	incarnation uint64
	inflight    int
	mean        mean

	outcomes     uint32
	outcomeCount int

	// lastUnreachable is the time of the last attempt that could not be sent.
	// The runner gets no requests until it has announced itself again.
	lastUnreachable time.Time

	ejected      bool
	probeAfter   time.Time
	ejections    int
	probesPassed int

	// penaltyEnds holds the times until which failed requests still count as in
	// flight. Without them, a runner that fails immediately looks idle and
	// attracts all load.
	penaltyEnds []time.Time
}

func (t *target) usable(r carawayshift.Runner) bool {
	return !t.ejected && (t.lastUnreachable.IsZero() || r.Seen.After(t.lastUnreachable))
}

func (t *target) record(ok bool) {
	t.outcomes <<= 1
	if ok {
		t.outcomes |= 1
	}
	t.outcomes &= 1<<outcomeWindow - 1
	t.outcomeCount = min(t.outcomeCount+1, outcomeWindow)
}

// successRate returns the success rate of the window, 1 without outcomes.
func (t *target) successRate() float64 {
	if t.outcomeCount == 0 {
		return 1
	}
	ok := 0
	for v := t.outcomes; v > 0; v &= v - 1 {
		ok++
	}
	return float64(ok) / float64(t.outcomeCount)
}

func (t *target) addPenalty(now time.Time, d time.Duration) {
	t.penaltyEnds = append(t.penaltyEnds, now.Add(max(d, minPenalty)))
}

// penalties returns the number of failed requests that still count as in
// flight.
func (t *target) penalties(now time.Time) int {
	kept := t.penaltyEnds[:0]
	for _, end := range t.penaltyEnds {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	t.penaltyEnds = kept
	return len(kept)
}

// updateEjection ejects t if its success rate is too low. If t is ejected
// already, it counts the outcome of a probe. The caller holds the mutex.
func (b *Balancer) updateEjection(t *target, runners []carawayshift.Runner, now time.Time, ok bool) {
	if t.ejected {
		b.recordProbe(t, now, ok)
		return
	}
	if ok || t.outcomeCount < minOutcomes || t.successRate() >= ejectRatio*b.meanRate(runners) {
		return
	}
	if b.inUse(runners)-1 < b.minInUse(len(runners)) {
		return
	}
	b.eject(t, now)
}

func (b *Balancer) recordProbe(t *target, now time.Time, ok bool) {
	if now.Before(t.probeAfter) {
		return
	}
	if !ok {
		b.eject(t, now)
		return
	}
	t.probesPassed++
	if t.probesPassed >= requiredProbes {
		t.ejected, t.probesPassed = false, 0
		t.outcomes, t.outcomeCount, t.mean = 0, 0, mean{}
	}
}

func (b *Balancer) eject(t *target, now time.Time) {
	t.ejected, t.probesPassed = true, 0
	d := min(b.cfg.Cooldown<<min(t.ejections, 8), maxCooldown)
	t.ejections++
	t.probeAfter = now.Add(d)
}

// minInUse returns the number of runners that must stay in use.
func (b *Balancer) minInUse(runners int) int {
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

// meanRate returns the mean success rate of the runners in use.
func (b *Balancer) meanRate(runners []carawayshift.Runner) float64 {
	sum, n := 0.0, 0
	for _, r := range runners {
		if t := b.target(r); !t.ejected && t.outcomeCount > 0 {
			sum += t.successRate()
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

func hash(name string) uint64 { return xxhash.Sum64String(name) }
