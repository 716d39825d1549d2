package gang

import (
	"context"
	"fmt"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
	"github.com/sirupsen/logrus"
)

// attempt is one placement of a job while this host manages it.
type attempt struct {
	a     *Manager
	job   carawayshift.Job
	specs []carawayshift.TaskSpec
	// leaseEnd is the latest time at which a task may still hold a lease. It
	// is not known for an attempt that was taken over until the epoch of this
	// host's lease was announced.
	leaseEnd time.Time
	mu       sync.Mutex
	adopted  bool
	// renewed is when all members last had their leases extended.
	renewed time.Time
	log     logrus.FieldLogger
}

func (a *Manager) newAttempt(job carawayshift.Job) *attempt {
	at := &attempt{a: a, job: job}
	for _, p := range job.Placements {
		at.specs = append(at.specs, carawayshift.TaskSpec{
			Job: job.ID, Attempt: job.Attempt, Task: p.Task, Tasks: job.Tasks, Name: job.Name,
			Accelerators: job.Accelerators, Cores: job.Cores, Memory: job.Memory,
			Checkpoint: job.Checkpoint, Run: job.Declared,
		})
	}
	at.log = a.opts.Logger.WithFields(logrus.Fields{"job": job.ID, "attempt": job.Attempt, "zone": job.Zone})
	return at
}

// launch prepares and starts the gang. It returns false when the attempt has
// ended or another host manages it.
func (at *attempt) launch(ctx context.Context) bool {
	at.extend(time.Now().Add(reservationLease + firstLease))
	if err := at.each(ctx, callTimeout, at.prepare); err != nil {
		at.giveUp(ctx, "prepare: "+err.Error())
		return false
	}
	if !at.leaseValid() {
		at.log.Warn("not started: zone lease has expired")
		return false
	}
	if !at.acceptStart(ctx) {
		return false
	}
	if !at.leaseValid() {
		at.giveUp(ctx, "zone lease expired before the start")
		return false
	}
	at.extend(time.Now().Add(reservationLease + firstLease + callTimeout))
	if err := at.each(ctx, callTimeout, at.start); err != nil {
		at.giveUp(ctx, "start: "+err.Error())
		return false
	}
	if err := at.renew(ctx); err != nil {
		at.giveUp(ctx, "first renewal: "+err.Error())
		return false
	}
	at.log.WithField("workers", len(at.workerNames())).Info("gang started")
	return true
}

// acceptStart asks the state machine for the start. Without a clear answer
// nothing is started: the reservations expire and the attempt is found again
// in its state by the next scan.
func (at *attempt) acceptStart(ctx context.Context) bool {
	answer, err := at.propose(ctx, carawayshift.StartJob, carawayshift.JobChange{})
	if err == nil {
		err = answer.Err()
	}
	if err == nil {
		return true
	}
	at.log.WithError(err).Warn("start not accepted")
	at.settle(ctx)
	pause.For(ctx, retryInterval)
	return false
}

func (at *attempt) leaseValid() bool {
	_, ok := at.a.mayStart()
	return ok
}

// adopt takes over an attempt that another host started.
func (at *attempt) adopt(ctx context.Context) {
	at.adopted = true
	at.renewed = time.Now()
	at.log.WithField("state", at.job.State).Info("attempt taken over")
	if at.job.State == carawayshift.JobRunning {
		if err := at.renew(ctx); err != nil {
			at.log.WithError(err).Warn("renewal at takeover failed")
			// Try again at once, not after a full interval.
			at.renewed = time.Now().Add(-renewInterval)
		}
	}
}

func (at *attempt) workerNames() map[string][]carawayshift.TaskSpec {
	m := map[string][]carawayshift.TaskSpec{}
	for i, p := range at.job.Placements {
		m[p.Worker] = append(m[p.Worker], at.specs[i])
	}
	return m
}

// worker returns the worker of a placement. A restarted worker has lost its
// tasks and is an error.
func (at *attempt) worker(p carawayshift.TaskPlacement) (carawayshift.Worker, error) {
	w, ok := at.a.opts.Workers.Worker(p.Worker)
	if !ok {
		return w, carawayshift.NewError(carawayshift.OutcomeUnknown, "worker "+p.Worker+" does not announce itself", "check that the worker is up")
	}
	if w.Incarnation != p.Incarnation {
		return w, carawayshift.NewError(carawayshift.NotFound, "worker "+p.Worker+" has restarted", "the job is placed again")
	}
	return w, nil
}

// each calls fn for all tasks at the same time and returns the first error.
func (at *attempt) each(ctx context.Context, timeout time.Duration, fn func(context.Context, int) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	errs := make([]error, len(at.specs))
	var wg sync.WaitGroup
	for i := range at.specs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = fn(ctx, i)
		}()
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("task %d: %w", i, err)
		}
	}
	return nil
}

func (at *attempt) prepare(ctx context.Context, i int) error {
	w, err := at.worker(at.job.Placements[i])
	if err != nil {
		return err
	}
	return at.a.opts.Workers.Prepare(ctx, w, at.specs[i], reservationLease)
}

func (at *attempt) start(ctx context.Context, i int) error {
	w, err := at.worker(at.job.Placements[i])
	if err != nil {
		return err
	}
	return at.a.opts.Workers.Start(ctx, w, at.specs[i], firstLease)
}

// stopTask returns nil once the task provably does not run: the worker said
// so, or it has restarted since the placement.
func (at *attempt) stopTask(ctx context.Context, i int) error {
	w, err := at.worker(at.job.Placements[i])
	if carawayshift.KindOf(err) == carawayshift.NotFound {
		return nil
	}
	if err != nil {
		return err
	}
	return at.a.opts.Workers.Stop(ctx, w, at.specs[i])
}

// renew extends the leases of all members. The end of the leases is computed
// before the check, so that a freeze in between can't extend them.
func (at *attempt) renew(ctx context.Context) error {
	until := time.Now().Add(taskLease)
	if !at.a.mayRenew(ctx) {
		return carawayshift.NewError(carawayshift.Unavailable, "another host may hold the zone lease", "")
	}
	at.extend(until)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	tasks := at.workerNames()
	errs := make(chan error, len(tasks))
	for name, specs := range tasks {
		go func() { errs <- at.renewWorker(ctx, name, specs, until) }()
	}
	var first error
	for range tasks {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	if first == nil {
		at.renewed = time.Now()
	}
	return first
}

// extend records that leases may run until a time.
func (at *attempt) extend(until time.Time) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if until.After(at.leaseEnd) {
		at.leaseEnd = until
	}
}

// expired reports whether all leases of the attempt have expired, with the
// allowed drift. The previous holder of an adopted attempt may extend leases
// until this host's epoch was announced.
func (at *attempt) expired(ctx context.Context) bool {
	at.mu.Lock()
	adopted := at.adopted
	at.mu.Unlock()
	if adopted && !at.a.announce(ctx) {
		return false
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.adopted {
		at.adopted = false
		if end := time.Now().Add(taskLease + takeoverMargin); end.After(at.leaseEnd) {
			at.leaseEnd = end
		}
	}
	return time.Now().After(at.leaseEnd.Add(taskLease * driftPerMille / 1000))
}

func (at *attempt) renewWorker(ctx context.Context, name string, specs []carawayshift.TaskSpec, until time.Time) error {
	w, err := at.worker(at.placementOn(name))
	if err != nil {
		return err
	}
	return at.a.opts.Workers.Renew(ctx, w, specs, until)
}

func (at *attempt) placementOn(name string) carawayshift.TaskPlacement {
	for _, p := range at.job.Placements {
		if p.Worker == name {
			return p
		}
	}
	return carawayshift.TaskPlacement{Worker: name}
}

// propose sends a change of this attempt to the log.
func (at *attempt) propose(ctx context.Context, kind carawayshift.CommandKind, ch carawayshift.JobChange) (carawayshift.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	ch.ID, ch.Attempt = at.job.ID, at.job.Attempt
	c := carawayshift.Command{Kind: kind, By: at.a.opts.Host, At: time.Now().UTC(), Change: &ch}
	return at.a.opts.Log.Propose(ctx, c)
}
