// Package scheduler is the leader's loop: it builds the view of jobs, teams
// and workers, asks the planner, and proposes one command per decision.
//
// # Usage
//
//	s := scheduler.New(scheduler.Options{Host: "h1", Log: log, State: machine.State,
//		Workers: workers.All, Changed: workers.Changed, Planner: planner, Logger: logger})
//	err := s.Run(ctx)
//
// The scheduler keeps no state that matters: a new leader plans from the
// replicated state and the zones' digests. Every decision is one log line with
// its reason and the number of alternatives.
package scheduler

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/state"
)

const (
	// planInterval bounds how long a change waits for the next plan. Urgent
	// work has 8.5 s from submission to start, of which a reclaim with its
	// checkpoint takes up to 5 s.
	planInterval = 250 * time.Millisecond
	// idleInterval is the longest time between two plans when the replicated
	// state has not changed. It bounds how long a change of the workers
	// waits. Planning at every planInterval would take 2.8% of a core with
	// 2,300 workers; once a second takes 0.7%.
	idleInterval = time.Second
	// digestWait is how long a new leader waits for the zones' digests, so
	// that it does not reclaim in one zone what is free in another.
	digestWait = 3 * time.Second
	// startDeadline is how long a placed gang may wait for its start. A zone
	// without a lease holder starts nothing; the job then goes elsewhere.
	startDeadline  = 5 * time.Second
	proposeTimeout = 2 * time.Second
)

// Options configures a Scheduler.
type Options struct {
	Host  string
	Log   carawayshift.Log
	State func() carawayshift.State
	// Wait returns when the entry at an index has been applied here.
	Wait func(ctx context.Context, index uint64) error
	// Workers returns the workers of all zones.
	Workers func() []carawayshift.Worker
	Planner carawayshift.Planner
	Logger  logrus.FieldLogger
}

// Scheduler plans and proposes while its host is the leader.
type Scheduler struct {
	opts Options
	// term and since say for which term this host plans, and since when.
	term   uint64
	since  time.Time
	synced bool
	// planned and index are the time of the last plan and the state's index
	// after it.
	planned time.Time
	index   uint64
	// placed has when this host first saw each placed attempt.
	placed   map[placedKey]time.Time
	failures failures
}

type placedKey struct {
	job     uint64
	attempt int
}

// New returns a scheduler that has planned nothing yet.
func New(opts Options) *Scheduler {
	return &Scheduler{opts: opts, placed: map[placedKey]time.Time{}}
}

// Run plans until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if s.ready(ctx) && s.due() {
				s.plan(ctx)
			}
		}
	}
}

// due reports whether the state has changed since the last plan, or the plan is
// old. A plan that changed the state is followed by another, because what it
// stopped or placed may make room for more.
func (s *Scheduler) due() bool {
	return s.opts.State().Index != s.index || time.Since(s.planned) >= idleInterval
}

// ready reports whether this host is the leader, has applied everything that
// was answered in earlier terms, and has heard from the zones.
func (s *Scheduler) ready(ctx context.Context) bool {
	leader, term := s.opts.Log.Leader()
	if leader != s.opts.Host {
		s.term = 0
		return false
	}
	if term != s.term {
		s.term, s.since, s.synced = term, time.Now(), false
		s.placed, s.failures = map[placedKey]time.Time{}, failures{}
	}
	if !s.synced {
		s.synced = s.barrier(ctx)
	}
	return s.synced && (time.Since(s.since) >= digestWait || s.allZonesKnown())
}

func (s *Scheduler) barrier(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	index, err := s.opts.Log.Barrier(ctx)
	return err == nil && s.opts.Wait(ctx, index) == nil
}

func (s *Scheduler) allZonesKnown() bool {
	known := map[string]bool{}
	for _, w := range s.opts.Workers() {
		known[w.Zone] = true
	}
	for name, z := range s.opts.State().Zones {
		if !z.Drained && !known[name] {
			return false
		}
	}
	return true
}

func (s *Scheduler) plan(ctx context.Context) {
	now := time.Now()
	st := s.opts.State()
	s.planned, s.index = now, st.Index
	s.withdrawStuck(ctx, st, now)
	s.judge(ctx, st, now)
	p := s.opts.Planner.Plan(now, state.View(now, st, s.opts.Workers()))
	for _, stop := range p.Stops {
		s.stop(ctx, stop)
	}
	for _, park := range p.Parks {
		s.park(ctx, st.Jobs[park.Job], park.Reason)
	}
	for _, start := range p.Starts {
		s.place(ctx, st.Jobs[start.Job], start)
	}
}

func (s *Scheduler) place(ctx context.Context, job carawayshift.Job, d carawayshift.Start) {
	log := s.opts.Logger.WithFields(logrus.Fields{
		"job": d.Job, "team": job.Team, "choice": d.Zone, "workers": len(d.Placements),
		"borrowed": d.Borrowed, "reason": d.Reason, "alternatives": d.Alternatives,
	})
	s.propose(ctx, log, "place", carawayshift.PlaceJob, carawayshift.JobChange{
		ID: d.Job, Attempt: job.Attempt + 1, Zone: d.Zone, Placements: d.Placements, Borrowed: d.Borrowed,
	})
}

func (s *Scheduler) stop(ctx context.Context, d carawayshift.Stop) {
	log := s.opts.Logger.WithFields(logrus.Fields{"job": d.Job, "for": d.For, "reason": d.Reason})
	s.propose(ctx, log, "stop", carawayshift.StopJob, carawayshift.JobChange{
		ID: d.Job, Attempt: d.Attempt, Reason: d.Reason, StateAfterStop: carawayshift.JobWaiting,
	})
}

func (s *Scheduler) park(ctx context.Context, job carawayshift.Job, reason string) {
	log := s.opts.Logger.WithFields(logrus.Fields{"job": job.ID, "reason": reason})
	s.propose(ctx, log, "park", carawayshift.ParkJob, carawayshift.JobChange{ID: job.ID, Attempt: job.Attempt, Reason: reason})
}

// withdrawStuck returns placed jobs to the queue when their zone does not
// start them. That is safe at any moment: a start needs the state machine's
// consent, which it gives only to the attempt that is placed.
func (s *Scheduler) withdrawStuck(ctx context.Context, st carawayshift.State, now time.Time) {
	seen := map[placedKey]time.Time{}
	for _, j := range st.Jobs {
		if j.State != carawayshift.JobPlaced {
			continue
		}
		k := placedKey{j.ID, j.Attempt}
		first, ok := s.placed[k]
		if !ok {
			first = now
		}
		seen[k] = first
		if now.Sub(first) < startDeadline {
			continue
		}
		log := s.opts.Logger.WithFields(logrus.Fields{"job": j.ID, "zone": j.Zone})
		s.propose(ctx, log, "withdraw", carawayshift.WithdrawJob, carawayshift.JobChange{
			ID: j.ID, Attempt: j.Attempt, Reason: "zone " + j.Zone + " did not start the job in time",
		})
	}
	s.placed = seen
}

func (s *Scheduler) propose(ctx context.Context, log logrus.FieldLogger, verb string, kind carawayshift.CommandKind, ch carawayshift.JobChange) {
	s.send(ctx, log, verb, carawayshift.Command{Kind: kind, Change: &ch})
}

// send proposes one decision. An unclear end needs no retry: the next plan
// starts from the state that resulted.
func (s *Scheduler) send(ctx context.Context, log logrus.FieldLogger, verb string, c carawayshift.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c.By, c.At = s.opts.Host, time.Now().UTC()
	answer, err := s.opts.Log.Propose(ctx, c)
	if err == nil {
		err = answer.Err()
	}
	if err != nil {
		log.WithError(err).Warn(verb + " not recorded")
		return
	}
	log.Info(verb)
}
