package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/quarantine"
)

// failureMemory is how long failures and successes count.
const failureMemory = 24 * time.Hour

// failures follows the ends of attempts in the replicated state. It lives in
// the leader's memory: a new leader starts from the failures that the jobs
// record, which are the ones that matter, and without successes.
type failures struct {
	failed, succeeded []end
	// seen has each job as of the last observation, quarantined the workers
	// that were recorded then.
	seen        map[uint64]carawayshift.Job
	quarantined map[string]time.Time
}

// observe adds what happened to the jobs since the last call.
func (f *failures) observe(st carawayshift.State, now time.Time) {
	seen := make(map[uint64]carawayshift.Job, len(st.Jobs))
	for id, j := range st.Jobs {
		seen[id] = j
		last, known := f.seen[id]
		if len(j.FailedOn) < len(last.FailedOn) {
			// An operator released the job: its failures are forgiven.
			f.forget(func(e end) bool { return e.job == id })
			last.FailedOn = nil
		}
		for _, w := range j.FailedOn[min(len(last.FailedOn), len(j.FailedOn)):] {
			f.failed = append(f.failed, end{id, w, now})
		}
		if known && j.State == carawayshift.JobFinished && last.Active() {
			for _, p := range last.Placements {
				f.succeeded = append(f.succeeded, end{id, p.Worker, now})
			}
		}
	}
	for name := range f.quarantined {
		if _, ok := st.Quarantine[name]; !ok {
			// An operator released the worker.
			f.forget(func(e end) bool { return e.worker == name })
		}
	}
	f.seen, f.quarantined = seen, st.Quarantine
	f.failed, f.succeeded = recent(f.failed, now), recent(f.succeeded, now)
}

// record returns what counts now. A worker that was in quarantine before gets
// a longer one.
func (f *failures) record(st carawayshift.State) *quarantine.Results {
	r := &quarantine.Results{PriorQuarantines: map[string]int{}}
	for _, e := range f.failed {
		r.AddFailure(e.job, e.worker, e.at)
	}
	for _, e := range f.succeeded {
		r.AddSuccess(e.job, e.worker, e.at)
	}
	for name := range st.Quarantine {
		r.PriorQuarantines[name] = 1
	}
	return r
}

// forget drops the failures for which drop returns true.
func (f *failures) forget(drop func(end) bool) {
	f.failed = slices.DeleteFunc(f.failed, drop)
}

// end is the end of one task.
type end struct {
	job    uint64
	worker string
	at     time.Time
}

// recent drops the ends that no longer count; they are in order of time.
func recent(list []end, now time.Time) []end {
	for len(list) > 0 && now.Sub(list[0].at) > failureMemory {
		list = list[1:]
	}
	return list
}

// judge quarantines workers that fail what others run, and parks jobs that
// fail wherever they run.
func (s *Scheduler) judge(ctx context.Context, st carawayshift.State, now time.Time) {
	s.failures.observe(st, now)
	if len(s.failures.failed) == 0 {
		return
	}
	workers := s.opts.Workers()
	for i, w := range workers {
		workers[i].Quarantined = now.Before(st.Quarantine[w.Name])
	}
	bad, jobs := s.failures.record(st).Evaluate(now, workers)
	for name, until := range bad {
		log := s.opts.Logger.WithFields(logrus.Fields{"worker": name, "until": until, "reason": "fails jobs that run elsewhere"})
		s.send(ctx, log, "quarantine", carawayshift.Command{Kind: carawayshift.QuarantineWorker, Name: name, Until: until.UTC()})
	}
	for _, id := range jobs {
		if j := st.Jobs[id]; j.State == carawayshift.JobWaiting {
			s.park(ctx, j, "fails on workers on which other jobs run")
		}
	}
}
