// Package scheduler runs the leader's planning loop: it builds the view of jobs,
// teams and workers, calls the planner, and proposes one command per decision.
//
// # Usage
//
//	s := scheduler.New(scheduler.Options{Host: "h1", Log: log, State: machine.State,
//		Wait: machine.Wait, Workers: workers.All, Planner: planner, Logger: logger})
//	err := s.Run(ctx)
//
// The scheduler has no state that a new leader needs: it plans from the replicated
// state and the zones' digests. Every decision is logged in one line; the line of a
// placement includes its reason and the number of alternatives.
package scheduler

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/state"
)

const (
	// planInterval is the longest time from a change of the state to the next
	// plan. Urgent work must start within 8.5 s of its submission, and a reclaim
	// with its checkpoint takes up to 5 s of that.
	planInterval = 250 * time.Millisecond
	// idleInterval is the interval between plans while the replicated state does
	// not change, and so the longest time from a change of the workers to the
	// next plan. With 2,300 workers, planning once a second takes 0.7% of a core;
	// planning at every planInterval would take 2.8%.
	idleInterval = time.Second
	// digestWait is the maximum time that a new leader waits for the zones'
	// digests (see package worker), so that it does not reclaim accelerators in
	// one zone while others are free in another.
	digestWait = 3 * time.Second
	// startDeadline is how long a placed gang may wait for its start. A zone
	// without a lease holder starts nothing, so the job is placed again.
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
	// term is the term in which this host is the leader, 0 if it is not, and since
	// the time at which it became the leader. synced is true once this host has
	// applied all entries of earlier terms.
	term   uint64
	since  time.Time
	synced bool
	// plannedAt is the time of the last plan, plannedIndex the index of the state
	// on which it was based.
	plannedAt    time.Time
	plannedIndex uint64
	// firstSeen maps each placed attempt to the time at which this host first saw
	// it.
	firstSeen map[placedKey]time.Time
	failures  failures
}

type placedKey struct {
	job     uint64
	attempt int
}

// New returns a scheduler. It plans while Run is executing.
func New(opts Options) *Scheduler {
	return &Scheduler{opts: opts, firstSeen: map[placedKey]time.Time{}}
}

// Run plans at most every planInterval until ctx ends.
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
// older than idleInterval. A plan that changes the state is followed by another
// one, because the jobs that it stopped or placed may allow further placements.
func (s *Scheduler) due() bool {
	return s.opts.State().Index != s.plannedIndex || time.Since(s.plannedAt) >= idleInterval
}

// ready reports whether this host is the leader, has applied every command that
// was answered in earlier terms, and has received the zones' digests or waited
// long enough for them.
func (s *Scheduler) ready(ctx context.Context) bool {
	leader, term := s.opts.Log.Leader()
	if leader != s.opts.Host {
		s.term = 0
		return false
	}
	if term != s.term {
		s.term, s.since, s.synced = term, time.Now(), false
		s.firstSeen, s.failures = map[placedKey]time.Time{}, failures{}
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
	s.plannedAt, s.plannedIndex = now, st.Index
	s.withdrawUnstarted(ctx, st, now)
	s.handleFailures(ctx, st, now)
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

// withdrawUnstarted returns placed jobs to the waiting state if their zone does
// not start them within startDeadline. This is safe at any time: the state machine
// accepts a start only for an attempt that is still placed.
func (s *Scheduler) withdrawUnstarted(ctx context.Context, st carawayshift.State, now time.Time) {
	seen := map[placedKey]time.Time{}
	for _, j := range st.Jobs {
		if j.State != carawayshift.JobPlaced {
			continue
		}
		k := placedKey{j.ID, j.Attempt}
		first, ok := s.firstSeen[k]
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
	s.firstSeen = seen
}

func (s *Scheduler) propose(ctx context.Context, log logrus.FieldLogger, verb string, kind carawayshift.CommandKind, ch carawayshift.JobChange) {
	s.send(ctx, log, verb, carawayshift.Command{Kind: kind, Change: &ch})
}

// send proposes one decision. It does not retry if the outcome is unknown: the
// next plan is based on the resulting state.
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
