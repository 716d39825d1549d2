// Package quarantine distinguishes faulty workers from faulty jobs.
//
// A worker is suspected when several different jobs failed on it that did not
// fail elsewhere; a job is suspected when it failed on several different
// workers on which other jobs succeed. A failure that is attributed to the job
// doesn't count against the worker, and vice versa.
//
// # Usage
//
//	var r quarantine.Results
//	r.AddFailure(41, "w7", failedAt)
//	r.AddSuccess(42, "w8", endedAt)
//	workers, jobs := r.Evaluate(now, view.Workers)
//	// workers maps names to the end of their quarantine; jobs lists the ids
//	// to park.
//
// The caller keeps the failures and successes of about a day. Evaluate is a pure
// function of its input.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// minJobs is the number of different jobs that must fail on a worker, and
	// minWorkers the number of different workers on which a job must fail.
	minJobs    = 3
	minWorkers = 3
	// firstDuration is the length of a worker's first quarantine; each further
	// one takes twice as long as the one before, up to maxDuration.
	firstDuration = 10 * time.Minute
	maxDuration   = 24 * time.Hour
	// One in zoneDivisor of a zone's workers, but at least one worker, may be in
	// quarantine. If more workers than that fail, the failures have a common
	// cause that quarantine doesn't remove.
	zoneDivisor = 10
)

// Results holds the results of recent tasks. The zero value is empty.
type Results struct {
	// PriorQuarantines counts the earlier quarantines of each worker. The
	// caller resets it when the worker has succeeded after its probation.
	PriorQuarantines map[string]int

	failures, successes []taskEnd
}

type taskEnd struct {
	job    uint64
	worker string
	at     time.Time
}

// AddFailure adds a task of the job that ended in an error. Tasks may be added
// in any order.
func (r *Results) AddFailure(job uint64, worker string, at time.Time) {
	r.failures = append(r.failures, taskEnd{job, worker, at})
}

// AddSuccess adds a task of the job that finished.
func (r *Results) AddSuccess(job uint64, worker string, at time.Time) {
	r.successes = append(r.successes, taskEnd{job, worker, at})
}

// Evaluate returns the workers to quarantine, with the end of the quarantine,
// and the jobs to park, in ascending order. Workers that are in quarantine
// already count towards the limit of their zone and are not returned.
func (r *Results) Evaluate(now time.Time, workers []carawayshift.Worker) (map[string]time.Time, []uint64) {
	jobsOn, workersOf := r.failuresByWorkerAndJob()
	lastSuccess := r.lastSuccess()
	jobs := faultyJobs(workersOf, jobsOn)
	suspects := r.suspects(jobsOn, jobs, lastSuccess, workers)
	return r.quarantines(now, suspects, workers), jobs
}

// failuresByWorkerAndJob returns the jobs that failed on each worker, with the
// time of the last failure, and the workers on which each job failed.
func (r *Results) failuresByWorkerAndJob() (jobsOn map[string]map[uint64]time.Time, workersOf map[uint64]map[string]bool) {
	jobsOn, workersOf = map[string]map[uint64]time.Time{}, map[uint64]map[string]bool{}
	for _, f := range r.failures {
		if jobsOn[f.worker] == nil {
			jobsOn[f.worker] = map[uint64]time.Time{}
		}
		if workersOf[f.job] == nil {
			workersOf[f.job] = map[string]bool{}
		}
		if f.at.After(jobsOn[f.worker][f.job]) {
			jobsOn[f.worker][f.job] = f.at
		}
		workersOf[f.job][f.worker] = true
	}
	return jobsOn, workersOf
}

func (r *Results) lastSuccess() map[string]time.Time {
	out := map[string]time.Time{}
	for _, s := range r.successes {
		if s.at.After(out[s.worker]) {
			out[s.worker] = s.at
		}
	}
	return out
}

// faultyJobs returns the jobs that failed on several workers of which fewer than
// half fail other jobs as well. If at least half do, the failures are attributed
// to the workers.
func faultyJobs(workersOf map[uint64]map[string]bool, jobsOn map[string]map[uint64]time.Time) []uint64 {
	var out []uint64
	for _, j := range slices.Sorted(maps.Keys(workersOf)) {
		healthy := 0
		for w := range workersOf[j] {
			if len(jobsOn[w]) < minJobs {
				healthy++
			}
		}
		if healthy >= minWorkers && 2*healthy > len(workersOf[j]) {
			out = append(out, j)
		}
	}
	return out
}

// suspect is a worker with the number of jobs that failed on it.
type suspect struct {
	worker carawayshift.Worker
	jobs   int
}

// suspects returns the workers on which enough jobs failed since the last
// success there, without counting faulty jobs; those with the most failed jobs
// come first.
func (r *Results) suspects(jobsOn map[string]map[uint64]time.Time, faulty []uint64, lastSuccess map[string]time.Time, workers []carawayshift.Worker) []suspect {
	var out []suspect
	for _, w := range workers {
		n := 0
		for j, at := range jobsOn[w.Name] {
			if at.After(lastSuccess[w.Name]) && !slices.Contains(faulty, j) {
				n++
			}
		}
		if n >= minJobs && !w.Quarantined {
			out = append(out, suspect{w, n})
		}
	}
	slices.SortStableFunc(out, func(a, b suspect) int { return cmp.Compare(b.jobs, a.jobs) })
	return out
}

// quarantines returns the end of the quarantine of each suspect, as far as the
// limits of the zones allow.
func (r *Results) quarantines(now time.Time, suspects []suspect, workers []carawayshift.Worker) map[string]time.Time {
	allowed := map[string]int{}
	for _, w := range workers {
		allowed[w.Zone]++
	}
	for z, n := range allowed {
		allowed[z] = max(1, n/zoneDivisor)
	}
	for _, w := range workers {
		if w.Quarantined {
			allowed[w.Zone]--
		}
	}
	out := map[string]time.Time{}
	for _, s := range suspects {
		if allowed[s.worker.Zone] <= 0 {
			continue
		}
		allowed[s.worker.Zone]--
		out[s.worker.Name] = now.Add(duration(r.PriorQuarantines[s.worker.Name]))
	}
	return out
}

// duration returns the length of a quarantine after the given number of earlier
// ones.
func duration(earlier int) time.Duration {
	d := firstDuration
	for ; earlier > 0 && d < maxDuration; earlier-- {
		d *= 2
	}
	return min(d, maxDuration)
}
