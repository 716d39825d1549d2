package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/quarantine"
)

// failureRetention is how long failures and successes are considered.
const failureRetention = 24 * time.Hour

// failures contains the task failures and successes on which quarantines are
// based, collected from the replicated state. It is only in the leader's memory: a
// new leader starts with the failures that the jobs record, which matter most, and
// without successes.
type failures struct {
	failed, succeeded []taskEnd
	// seen holds the jobs and quarantined the quarantined workers as of the last
	// call of observe.
	seen        map[uint64]carawayshift.Job
	quarantined map[string]time.Time
}

// observe adds the failures and successes since the last call, and removes those
// that no longer count.
func (f *failures) observe(st carawayshift.State, now time.Time) {
	seen := make(map[uint64]carawayshift.Job, len(st.Jobs))
	for id, j := range st.Jobs {
		seen[id] = j
		last, known := f.seen[id]
		if len(j.FailedOn) < len(last.FailedOn) {
			// An operator released the job, so its failures no longer count.
			f.removeFailures(func(e taskEnd) bool { return e.job == id })
			last.FailedOn = nil
		}
		for _, w := range j.FailedOn[min(len(last.FailedOn), len(j.FailedOn)):] {
			f.failed = append(f.failed, taskEnd{id, w, now})
		}
		if known && j.State == carawayshift.JobFinished && last.Active() {
			for _, p := range last.Placements {
				f.succeeded = append(f.succeeded, taskEnd{id, p.Worker, now})
			}
		}
	}
	for name := range f.quarantined {
		if _, ok := st.Quarantine[name]; !ok {
			// An operator released the worker, so its failures no longer count.
			f.removeFailures(func(e taskEnd) bool { return e.worker == name })
		}
	}
	f.seen, f.quarantined = seen, st.Quarantine
	f.failed, f.succeeded = removeExpired(f.failed, now), removeExpired(f.succeeded, now)
}

// quarantineResults returns the failures and successes for package quarantine. It
// counts an earlier quarantine of a worker as one, so that the next one is longer.
func (f *failures) quarantineResults(st carawayshift.State) *quarantine.Results {
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

// removeFailures removes the failures for which drop returns true.
func (f *failures) removeFailures(drop func(taskEnd) bool) {
	f.failed = slices.DeleteFunc(f.failed, drop)
}

// taskEnd is the end of one task, whether it finished or failed.
type taskEnd struct {
	job    uint64
	worker string
	at     time.Time
}

// removeExpired removes the ends that are older than failureRetention. The list
// is in chronological order.
func removeExpired(list []taskEnd, now time.Time) []taskEnd {
	for len(list) > 0 && now.Sub(list[0].at) > failureRetention {
		list = list[1:]
	}
	return list
}

// handleFailures quarantines workers on which jobs fail that run elsewhere, and
// parks jobs that fail on workers on which other jobs run.
func (s *Scheduler) handleFailures(ctx context.Context, st carawayshift.State, now time.Time) {
	s.failures.observe(st, now)
	if len(s.failures.failed) == 0 {
		return
	}
	workers := s.opts.Workers()
	for i, w := range workers {
		workers[i].Quarantined = now.Before(st.Quarantine[w.Name])
	}
	bad, jobs := s.failures.quarantineResults(st).Evaluate(now, workers)
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
