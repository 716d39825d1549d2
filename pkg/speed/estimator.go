// Package speed learns how fast each runner works, relative to the middle one of all
// runners, from the progress and the ends of the runs on them.
//
// # Usage
//
//	e := speed.New()
//	e.Observe(carawayshift.PaceObservation{Task: task, Runner: "i-7", Incarnation: 1, Rate: 21, At: now})
//	known := e.Speeds(now)               // the runners that differ from the middle one
//	list := e.Snapshot(since, now)       // for another host, whose estimator restores it
//	other.Restore(list, now)
//
// How long a task takes is not known, and its declaration may be wrong by factors. So only
// tasks of the same step are compared with each other, and only those that are alike near
// or away from their data; of gangs only the members of the same run. Each observation says
// that a runner is so much faster than the other runners with tasks of the step, and the
// speeds are those that agree best with all observations. As the lengths of the tasks of a
// step differ, a runner counts as faster or slower only if it differs by more than the
// observed noise.
//
// The last observations of a runner count most, so that a runner which was slow for a while
// counts as sound a few observations later. Without new observations the old ones lose
// weight, until the runner counts as unknown and gets all kinds of work again.
package speed

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// maxObservations is the number of observations that are kept for a runner, recency
	// the factor by which each counts less than the next one.
	maxObservations = 12
	recency         = 0.85
	// halfLife is the time in which an observation loses half of its weight, memory
	// the time after which it is dropped.
	halfLife = 30 * time.Second
	memory   = 4 * time.Minute
	// interval is the minimum time between two computations of all speeds.
	interval = time.Second
	// sweeps is the number of improvements in one computation. The next one starts from
	// its result.
	sweeps = 4
	// unitNoise is the standard deviation, as a logarithm, of an observation of weight 1;
	// initialNoise is assumed until more than initialCount observations have shown it. Gangs and
	// single tasks have their own.
	unitNoise    = 0.15
	initialNoise = 0.3
	initialCount = 20
	// minWeight and maxWeight limit the weight of one observation.
	minWeight, maxWeight = 0.1, 4
	// outlierNoise is the deviation from which an observation counts less, as a logarithm:
	// a few tasks take many times as long as the others of their step.
	outlierNoise = 0.4
	// maxRestored limits the weight of a restored speed.
	maxRestored = 8
	// priorWeight is the weight of the assumption that a runner is like the middle one.
	priorWeight = 0.3
	// A runner differs if its speed, as a logarithm, deviates by minDeviation and by
	// certainty standard errors, until it deviates by less than endDeviation.
	minDeviation = 0.15
	certainty    = 3
	endDeviation = 0.1
	// knownWeight is the weight from which a speed is passed on and counts as known.
	knownWeight = 1
	// changedDeviation is the change, as a logarithm, from which a speed is passed on again.
	changedDeviation = 0.1
	// passInterval is the time by which the last observation must be newer for a speed to
	// be passed on again although it is the same: the copies lose weight with their age.
	passInterval = 15 * time.Second
)

const (
	// alikeFactor is the factor by which the speeds of runners that count as alike may
	// differ from the middle one: an urgent batch, which may take 1.5 times its run time,
	// is in time on each of them. unevenShare is the share of the runners beyond it from
	// which runners are uneven.
	alikeFactor = 1.5
	unevenShare = 0.1
)

// Uneven reports whether so many of the runners differ by so much from the middle one that
// plans should heed their speeds.
func Uneven(speeds map[string]float64, runners []carawayshift.Agent) bool {
	far := 0
	for _, a := range runners {
		if s := speeds[a.ID]; s >= alikeFactor || s > 0 && s <= 1/alikeFactor {
			far++
		}
	}
	return far > 0 && float64(far) >= unevenShare*float64(len(runners))
}

// Estimator learns the speeds of runners. Its methods may be called from any goroutine.
type Estimator struct {
	mu       sync.Mutex
	runners  map[string]*runner
	noise    [2]noise // of single tasks and of gangs
	computed time.Time
}

// runner holds the observations of one incarnation of a runner.
type runner struct {
	incarnation  int64
	observations []observation
	// restored is the speed that another host has learned, as a logarithm.
	restored       float64
	restoredWeight float64
	restoredAt     time.Time
	// last is when the runner was last observed, by any host.
	last time.Time
	// speed is the current estimate, as a logarithm, weight the weight of all that it is
	// based on.
	speed, weight float64
	differs       bool
	// passed is the speed at passedAt, when it was due to be passed on last, and passedLast
	// the time of the last observation then.
	passed     float64
	passedAt   time.Time
	passedLast time.Time
}

// observation is the logarithm of a rate.
type observation struct {
	group  groupKey
	rate   float64
	at     time.Time
	trust  float64 // 1 unless it is an outlier
	weight float64
	slot   int // number of the group in the current computation
}

// groupKey identifies tasks whose rates can be compared. run is 0 unless they are a gang.
type groupKey struct {
	batch                 string
	occurrence, step, run int
	remote                bool
}

// noise is the sum of the squared deviations of a number of observations of one kind.
type noise struct{ sum, count float64 }

func (n noise) deviation() float64 {
	sum := n.sum + initialCount*initialNoise*initialNoise
	return math.Sqrt(sum / (n.count + initialCount))
}

// New returns an Estimator that knows no speeds.
func New() *Estimator { return &Estimator{runners: map[string]*runner{}} }

// Observe records how fast a run works on a runner. Observations of an earlier incarnation
// than the last one are ignored, those of a later one replace them.
func (e *Estimator) Observe(o carawayshift.PaceObservation) {
	if o.Rate <= 0 || math.IsInf(o.Rate, 0) || math.IsNaN(o.Rate) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runnerOf(o.Runner, o.Incarnation)
	if r == nil {
		return
	}
	key := groupKey{batch: o.Task.Batch, occurrence: o.Task.Occurrence, step: o.Task.Step, remote: o.Remote}
	if o.Gang {
		key.run = o.Run
	}
	if len(r.observations) == maxObservations {
		r.observations = slices.Delete(r.observations, 0, 1)
	}
	r.observations = append(r.observations, observation{group: key, rate: math.Log(o.Rate), at: o.At, trust: 1})
	r.last = o.At
}

// runnerOf returns the state of an incarnation of a runner, or nil if a later one is known.
// The caller holds mu.
func (e *Estimator) runnerOf(id string, incarnation int64) *runner {
	r := e.runners[id]
	switch {
	case r == nil || r.incarnation < incarnation:
		r = &runner{incarnation: incarnation}
		e.runners[id] = r
	case r.incarnation > incarnation:
		return nil
	}
	return r
}

// Speeds returns the runners whose speed differs from the middle one by more than the noise.
func (e *Estimator) Speeds(now time.Time) map[string]carawayshift.RunnerSpeed {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.compute(now)
	list := map[string]carawayshift.RunnerSpeed{}
	for id, r := range e.runners {
		if r.differs {
			list[id] = r.export(id, now)
		}
	}
	return list
}

// Snapshot returns the known speeds that have changed, or are based on clearly newer
// observations, from a time on.
func (e *Estimator) Snapshot(since, now time.Time) []carawayshift.RunnerSpeed {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.compute(now)
	var list []carawayshift.RunnerSpeed
	for _, id := range slices.Sorted(maps.Keys(e.runners)) {
		if r := e.runners[id]; r.weight >= knownWeight && !r.passedAt.Before(since) {
			list = append(list, r.export(id, now))
		}
	}
	return list
}

func (r *runner) export(id string, now time.Time) carawayshift.RunnerSpeed {
	return carawayshift.RunnerSpeed{
		Runner: id, Incarnation: r.incarnation, Speed: math.Exp(r.speed), Weight: r.weight, Age: now.Sub(r.last),
	}
}

// Restore takes over speeds that another host has learned, where its last observation is
// later than what is known here: a host that led before has observations of its own.
func (e *Estimator) Restore(list []carawayshift.RunnerSpeed, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(now)
	for _, x := range list {
		if x.Speed <= 0 || math.IsInf(x.Speed, 0) || math.IsNaN(x.Speed) || math.IsNaN(x.Weight) || x.Weight <= 0 {
			continue
		}
		r := e.runnerOf(x.Runner, x.Incarnation)
		last := now.Add(-x.Age)
		if r == nil || !last.After(r.last) {
			continue
		}
		r.observations = nil
		r.restored, r.restoredWeight, r.restoredAt, r.last = math.Log(x.Speed), min(x.Weight, maxRestored), last, last
		r.speed = r.restored
	}
}

// compute updates the speeds, at most once per interval. The caller holds mu.
func (e *Estimator) compute(now time.Time) {
	if now.Sub(e.computed) < interval {
		return
	}
	e.computed = now
	e.forget(now)
	groups := make([]total, e.weigh(now))
	for range sweeps {
		clear(groups)
		e.sweep(groups, now)
	}
	e.center()
	for _, r := range e.runners {
		r.decide(now)
	}
}

// forget drops the runners that have not been observed for long. The caller holds mu.
func (e *Estimator) forget(now time.Time) {
	maps.DeleteFunc(e.runners, func(_ string, r *runner) bool { return now.Sub(r.last) > memory })
}

// weigh sets the weights of all observations, by their age and by the noise, and numbers
// their groups. It returns the number of groups.
func (e *Estimator) weigh(now time.Time) int {
	slots := map[groupKey]int{}
	for _, r := range e.runners {
		w := 1.0
		for i, o := range slices.Backward(r.observations) {
			d := unitNoise / e.noise[kindOf(o.group)].deviation()
			r.observations[i].weight = w * decay(now.Sub(o.at)) * min(max(d*d, minWeight), maxWeight)
			w *= recency
			slot, numbered := slots[o.group]
			if !numbered {
				slot = len(slots)
				slots[o.group] = slot
			}
			r.observations[i].slot = slot
		}
	}
	return len(slots)
}

func kindOf(k groupKey) int {
	if k.run > 0 {
		return 1
	}
	return 0
}

func decay(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// restoredWeightAt returns the weight of the restored speed, which also falls with each
// observation.
func (r *runner) restoredWeightAt(now time.Time) float64 {
	return r.restoredWeight * decay(now.Sub(r.restoredAt)) * math.Pow(recency, float64(len(r.observations)))
}

// total is the sum of the weights of a group's observations, and of their lengths: the
// logarithm of how long the task would take on the middle runner.
type total struct{ weight, length float64 }

func (t *total) add(weight, length float64) {
	t.weight += weight
	t.length += weight * length
}

// sweep improves all speeds once: each becomes the mean of what its observations say,
// compared with those of the other runners in the same group.
func (e *Estimator) sweep(groups []total, now time.Time) {
	for _, r := range e.runners {
		for _, o := range r.observations {
			groups[o.slot].add(o.weight*o.trust, r.speed-o.rate)
		}
	}
	e.noise = [2]noise{}
	for _, r := range e.runners {
		r.improve(groups, &e.noise, now)
	}
}

func (r *runner) improve(groups []total, n *[2]noise, now time.Time) {
	trusts := make([]float64, len(r.observations))
	weight := r.restoredWeightAt(now)
	sum := weight * r.restored
	weight += priorWeight
	for i, o := range r.observations {
		others := groups[o.slot]
		trusts[i] = o.trust
		for _, own := range r.observations {
			if own.slot == o.slot {
				others.add(-own.weight*own.trust, r.speed-own.rate)
			}
		}
		if others.weight < minWeight/2 {
			continue // nothing to compare with
		}
		says := o.rate + others.length/others.weight
		deviation := math.Abs(says - r.speed)
		trusts[i] = outlierNoise / max(deviation, outlierNoise)
		w := 1 / (1/(o.weight*o.trust) + 1/others.weight)
		sum += w * says
		weight += w
		k := &n[kindOf(o.group)]
		k.sum += min(deviation*deviation, outlierNoise*outlierNoise)
		k.count++
	}
	for i, t := range trusts {
		r.observations[i].trust = t
	}
	r.speed, r.weight = sum/weight, weight-priorWeight
}

// center shifts all speeds such that the middle one is 1.
func (e *Estimator) center() {
	list := make([]float64, 0, len(e.runners))
	for _, r := range e.runners {
		if r.weight >= knownWeight {
			list = append(list, r.speed)
		}
	}
	if len(list) == 0 {
		return
	}
	slices.Sort(list)
	middle := list[len(list)/2]
	for _, r := range e.runners {
		r.speed -= middle
	}
}

// decide sets whether the runner differs from the middle one.
func (r *runner) decide(now time.Time) {
	deviation, limit := math.Abs(r.speed), max(minDeviation, certainty*unitNoise/math.Sqrt(max(r.weight, priorWeight)))
	r.differs = deviation >= limit || r.differs && r.weight >= knownWeight && deviation >= endDeviation
	renewed := r.weight >= knownWeight && (r.passedAt.IsZero() || r.last.Sub(r.passedLast) >= passInterval)
	if renewed || math.Abs(r.speed-r.passed) >= changedDeviation {
		r.passed, r.passedAt, r.passedLast = r.speed, now, r.last
	}
}
