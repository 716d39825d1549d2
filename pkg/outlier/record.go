// Package outlier keeps short tasks off runners that fail what others run.
// It works in seconds, from the ends of tasks alone; pkg/quarantine is its kin
// for workers that fail jobs of hours.
//
// # Usage
//
//	r := outlier.New()
//	r.Fail("i-7", "batch 1", now)
//	r.Fail("i-7", "batch 2", now)
//	r.Out("i-7", now)       // true: two batches failed there and none finished
//	r.FailedOn("batch 1")   // the runners that the batch should not try again
//
// A batch that fails everywhere must not take runners out of use: a runner is
// suspected only when tasks of different batches failed on it since the last
// one finished there.
package outlier

import (
	"maps"
	"sync"
	"time"
)

const (
	// suspicious is the number of different batches that must fail.
	suspicious = 2
	// firstTerm is the first time out of use; each further one is twice as
	// long, up to longestTerm.
	firstTerm   = 2 * time.Second
	longestTerm = 30 * time.Second
)

// Record is what is known of the runners' recent ends.
type Record struct {
	mu      sync.Mutex
	runners map[string]*standing
	batches map[string]map[string]bool
}

// standing is one runner's record since the last task that finished there.
type standing struct {
	failed map[string]bool
	term   time.Duration
	until  time.Time
}

// New returns an empty record.
func New() *Record {
	return &Record{runners: map[string]*standing{}, batches: map[string]map[string]bool{}}
}

// Fail takes a failed task of a batch.
func (r *Record) Fail(runner, batch string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.batches[batch] == nil {
		r.batches[batch] = map[string]bool{}
	}
	r.batches[batch][runner] = true
	s := r.standing(runner)
	s.failed[batch] = true
	if len(s.failed) >= suspicious {
		s.suspend(at)
	}
}

// Stall takes a task that stood still: its runner is suspected at once.
func (r *Record) Stall(runner, batch string, at time.Time) {
	r.Fail(runner, batch, at)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.standing(runner).suspend(at)
}

// Succeed takes a task that finished.
func (r *Record) Succeed(runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runners, runner)
}

// Out reports whether a runner should get no work.
func (r *Record) Out(runner string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.runners[runner]
	return s != nil && now.Before(s.until)
}

// FailedOn returns the runners on which tasks of a batch failed.
func (r *Record) FailedOn(batch string) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.batches[batch])
}

// Forget drops what is kept for batches that keep returns false for.
func (r *Record) Forget(keep func(batch string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.batches, func(b string, _ map[string]bool) bool { return !keep(b) })
}

// standing needs r.mu.
func (r *Record) standing(runner string) *standing {
	s := r.runners[runner]
	if s == nil {
		s = &standing{failed: map[string]bool{}}
		r.runners[runner] = s
	}
	return s
}

func (s *standing) suspend(at time.Time) {
	if at.Before(s.until) {
		return
	}
	s.term = min(max(firstTerm, 2*s.term), longestTerm)
	s.until = at.Add(s.term)
}
