// Package quarantine tells failing workers from failing jobs.
//
// A worker is suspected when several different jobs failed on it that did not
// fail elsewhere; a job is suspected when it failed on several different
// workers on which other jobs succeed. A failure for which the job is to blame
// doesn't count against the worker, and the other way round.
//
// # Usage
//
//	var r quarantine.Record
//	r.Fail(41, "w7", failedAt)
//	r.Succeed(42, "w8", endedAt)
//	workers, jobs := r.Judge(now, view.Workers)
//	// workers maps names to the end of their quarantine; jobs lists the ids
//	// to park.
//
// The caller keeps the failures and successes of about a day. Judge is a pure
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
	// firstTerm is the first quarantine; each further one takes twice as long
	// as the one before.
	firstTerm = 10 * time.Minute
	maxTerm   = 24 * time.Hour
	// zoneShare is the part of a zone's workers, one in zoneShare, that may be
	// in quarantine. More failing workers than that have a common cause that
	// quarantine can't cure.
	zoneShare = 10
)

// Record is what is known about recent attempts. The zero value is empty.
type Record struct {
	// Terms counts the earlier quarantines of each worker. The caller resets
	// it when the worker has succeeded after its probation.
	Terms map[string]int

	failures, successes []outcome
}

type outcome struct {
	job    uint64
	worker string
	at     time.Time
}

// Fail adds a task of the job that ended in an error. The order doesn't matter.
func (r *Record) Fail(job uint64, worker string, at time.Time) {
	r.failures = append(r.failures, outcome{job, worker, at})
}

// Succeed adds a task of the job that finished.
func (r *Record) Succeed(job uint64, worker string, at time.Time) {
	r.successes = append(r.successes, outcome{job, worker, at})
}

// Judge returns the workers to quarantine, with the end of the quarantine, and
// the jobs to park, in ascending order. Workers that are in quarantine already
// use up the share of their zone and are not returned.
func (r *Record) Judge(now time.Time, workers []carawayshift.Worker) (map[string]time.Time, []uint64) {
	jobsOn, workersOf := r.failed()
	good := r.lastSuccess()
	jobs := badJobs(workersOf, jobsOn)
	suspects := r.suspects(jobsOn, jobs, good, workers)
	return r.sentence(now, suspects, workers), jobs
}

// failed returns the jobs that failed on each worker, with the time of the
// last failure, and the workers on which each job failed.
func (r *Record) failed() (jobsOn map[string]map[uint64]time.Time, workersOf map[uint64]map[string]bool) {
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

func (r *Record) lastSuccess() map[string]time.Time {
	out := map[string]time.Time{}
	for _, s := range r.successes {
		if s.at.After(out[s.worker]) {
			out[s.worker] = s.at
		}
	}
	return out
}

// badJobs returns the jobs that failed on several workers of which fewer than
// half fail other jobs as well: where most of them do, the workers are to
// blame.
func badJobs(workersOf map[uint64]map[string]bool, jobsOn map[string]map[uint64]time.Time) []uint64 {
	var out []uint64
	for _, j := range slices.Sorted(maps.Keys(workersOf)) {
		sound := 0
		for w := range workersOf[j] {
			if len(jobsOn[w]) < minJobs {
				sound++
			}
		}
		if sound >= minWorkers && 2*sound > len(workersOf[j]) {
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
// success there, jobs that fail everywhere left out; the worst come first.
func (r *Record) suspects(jobsOn map[string]map[uint64]time.Time, bad []uint64, good map[string]time.Time, workers []carawayshift.Worker) []suspect {
	var out []suspect
	for _, w := range workers {
		n := 0
		for j, at := range jobsOn[w.Name] {
			if at.After(good[w.Name]) && !slices.Contains(bad, j) {
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

// sentence quarantines the suspects as far as the share of each zone allows.
func (r *Record) sentence(now time.Time, suspects []suspect, workers []carawayshift.Worker) map[string]time.Time {
	left := map[string]int{}
	for _, w := range workers {
		left[w.Zone]++
	}
	for z, n := range left {
		left[z] = max(1, n/zoneShare)
	}
	for _, w := range workers {
		if w.Quarantined {
			left[w.Zone]--
		}
	}
	out := map[string]time.Time{}
	for _, s := range suspects {
		if left[s.worker.Zone] <= 0 {
			continue
		}
		left[s.worker.Zone]--
		out[s.worker.Name] = now.Add(term(r.Terms[s.worker.Name]))
	}
	return out
}

// term returns the length of a quarantine after the given number of earlier
// ones.
func term(earlier int) time.Duration {
	d := firstTerm
	for ; earlier > 0 && d < maxTerm; earlier-- {
		d *= 2
	}
	return min(d, maxTerm)
}
