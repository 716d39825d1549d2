// Package outlier detects runners on which tasks of several batches fail, and
// ejects them for a few seconds. It uses only the outcomes of tasks and is meant
// for short tasks; pkg/quarantine does the same for workers, whose jobs run for
// hours.
//
// # Usage
//
//	d := outlier.New()
//	d.RecordFailure("i-7", "batch 1", false, now)
//	d.RecordFailure("i-7", "batch 2", false, now)
//	d.Ejected("i-7", now)   // true: tasks of two batches failed there and none finished
//	d.FailedOn("batch 1")   // the runners that the batch should not use again
//
// A batch that fails everywhere must not eject runners: a runner is ejected only
// when tasks of different batches have failed on it since a task last finished
// there, when a task stalled on it, or when a task failed early in its run whose batch
// has hardly failed elsewhere. Failures of a batch that has failed on several runners
// count against none of them any more: long-running tasks may fail again and again, and
// never finish anywhere. A gang ends with its first failure, so that a runner
// that fails whatever it starts costs the work of many others until it is ejected.
package outlier

import (
	"maps"
	"sync"
	"time"
)

const (
	// minFailedBatches is the number of different batches of which tasks must
	// fail on a runner before it is ejected.
	minFailedBatches = 2
	// maxSuspects is the number of runners on which tasks of a batch may have failed for
	// an early failure to count against the runner, and not the batch; maxFailedRunners
	// is the same number for other failures.
	maxSuspects      = 2
	maxFailedRunners = 4
	// memory is how long a runner's failures are remembered after the last one.
	memory = time.Minute
	// baseEjection is the duration of a runner's first ejection; each further
	// one is twice as long, up to maxEjection. A finished task resets it.
	baseEjection = 2 * time.Second
	maxEjection  = 30 * time.Second
)

// Detector records the outcomes of tasks on each runner. Its methods may be
// called from any goroutine.
type Detector struct {
	mu      sync.Mutex
	runners map[string]*runnerState
	batches map[string]map[string]bool
}

// runnerState holds a runner's failures and ejections since the last task that
// finished there.
type runnerState struct {
	failed map[string]bool
	// since is the time of the first of these failures, last that of the last one.
	since    time.Time
	last     time.Time
	ejection time.Duration
	until    time.Time
}

// New returns a Detector without any outcomes.
func New() *Detector {
	return &Detector{runners: map[string]*runnerState{}, batches: map[string]map[string]bool{}}
}

// RecordFailure records a failed task of a batch. early is true if the task failed soon
// after its start.
func (d *Detector) RecordFailure(runner, batch string, early bool, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.batches[batch] == nil {
		d.batches[batch] = map[string]bool{}
	}
	d.batches[batch][runner] = true
	if len(d.batches[batch]) > maxFailedRunners {
		return
	}
	if s := d.runners[runner]; s != nil && at.Sub(s.last) > memory {
		delete(d.runners, runner)
	}
	s := d.stateOf(runner)
	if len(s.failed) == 0 {
		s.since = at
	}
	s.last = at
	s.failed[batch] = true
	if len(s.failed) >= minFailedBatches || early && len(d.batches[batch]) <= maxSuspects {
		s.eject(at)
	}
}

// RecordStall records a task that stopped making progress. It ejects the runner
// immediately.
func (d *Detector) RecordStall(runner, batch string, at time.Time) {
	d.RecordFailure(runner, batch, false, at)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stateOf(runner).eject(at)
}

// RecordSuccess records a task that started at a time and has finished. It ends the
// runner's ejection, unless the task started before the failures.
func (d *Detector) RecordSuccess(runner string, started time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.runners[runner]; s != nil && !s.since.After(started) {
		delete(d.runners, runner)
	}
}

// Ejected reports whether a runner must get no new work.
func (d *Detector) Ejected(runner string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.runners[runner]
	return s != nil && now.Before(s.until)
}

// FailedOn returns the runners on which tasks of a batch failed.
func (d *Detector) FailedOn(batch string) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.batches[batch])
}

// Forget removes the failures of the batches for which keep returns false from
// the results of FailedOn.
func (d *Detector) Forget(keep func(batch string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.batches, func(b string, _ map[string]bool) bool { return !keep(b) })
}

// stateOf returns the state of a runner and creates it if needed. The caller
// must hold mu.
func (d *Detector) stateOf(runner string) *runnerState {
	s := d.runners[runner]
	if s == nil {
		s = &runnerState{failed: map[string]bool{}}
		d.runners[runner] = s
	}
	return s
}

func (s *runnerState) eject(at time.Time) {
	if at.Before(s.until) {
		return
	}
	s.ejection = min(max(baseEjection, 2*s.ejection), maxEjection)
	s.until = at.Add(s.ejection)
}
