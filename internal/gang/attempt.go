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
	m     *Manager
	job   carawayshift.Job
	specs []carawayshift.TaskSpec
	// leaseEnd is the latest time at which the lease of a task may end. For an
	// attempt that was taken over, it is unknown until the epoch of this host's
	// lease has been announced.
	leaseEnd  time.Time
	mu        sync.Mutex
	takenOver bool
	// renewedAt is when the leases of all members were last extended.
	renewedAt time.Time
	log       logrus.FieldLogger
}

func (m *Manager) newAttempt(job carawayshift.Job) *attempt {
	at := &attempt{m: m, job: job}
	for _, p := range job.Placements {
		at.specs = append(at.specs, carawayshift.TaskSpec{
			Job: job.ID, Attempt: job.Attempt, Task: p.Task, Tasks: job.Tasks, Name: job.Name,
			Accelerators: job.Accelerators, Cores: job.Cores, Memory: job.Memory,
			Checkpoint: job.Checkpoint, Run: job.Declared,
		})
	}
	at.log = m.opts.Logger.WithFields(logrus.Fields{"job": job.ID, "attempt": job.Attempt, "zone": job.Zone})
	return at
}

// launch prepares and starts the gang. It returns false if the gang was not
// started completely; the attempt has then ended, or the next scan continues
// it.
func (at *attempt) launch(ctx context.Context) bool {
	at.recordLeaseEnd(time.Now().Add(reservationLease + firstLease))
	if err := at.forEachTask(ctx, callTimeout, at.prepare); err != nil {
		at.abort(ctx, "prepare: "+err.Error())
		return false
	}
	if !at.leaseValid() {
		at.log.Warn("gang not started: this host no longer holds the zone lease or is shutting down; the next lease holder may start it")
		return false
	}
	if !at.acceptStart(ctx) {
		return false
	}
	if !at.leaseValid() {
		at.abort(ctx, "zone lease expired before the start")
		return false
	}
	at.recordLeaseEnd(time.Now().Add(reservationLease + firstLease + callTimeout))
	if err := at.forEachTask(ctx, callTimeout, at.start); err != nil {
		at.abort(ctx, "start: "+err.Error())
		return false
	}
	if err := at.renew(ctx); err != nil {
		at.abort(ctx, "first renewal: "+err.Error())
		return false
	}
	at.log.WithField("workers", len(at.tasksByWorker())).Info("gang started")
	return true
}

// acceptStart proposes the start to the state machine. If the answer is a
// refusal or is lost, nothing is started: the reservations are released or
// expire, and the next scan finds the attempt in its current state.
func (at *attempt) acceptStart(ctx context.Context) bool {
	answer, err := at.propose(ctx, carawayshift.StartJob, carawayshift.JobChange{})
	if err == nil {
		err = answer.Err()
	}
	if err == nil {
		return true
	}
	at.log.WithError(err).Warn("start of the gang was not accepted")
	at.stopTasks(ctx)
	pause.For(ctx, retryInterval)
	return false
}

func (at *attempt) leaseValid() bool {
	_, ok := at.m.mayStart()
	return ok
}

// takeOver prepares to manage an attempt that another host started.
func (at *attempt) takeOver(ctx context.Context) {
	at.takenOver = true
	at.renewedAt = time.Now()
	at.log.WithField("state", at.job.State).Info("attempt taken over")
	if at.job.State == carawayshift.JobRunning {
		if err := at.renew(ctx); err != nil {
			at.log.WithError(err).Warn("renewal at takeover failed")
			// Makes supervise renew immediately, not after a full interval.
			at.renewedAt = time.Now().Add(-renewInterval)
		}
	}
}

func (at *attempt) tasksByWorker() map[string][]carawayshift.TaskSpec {
	m := map[string][]carawayshift.TaskSpec{}
	for i, p := range at.job.Placements {
		m[p.Worker] = append(m[p.Worker], at.specs[i])
	}
	return m
}

// worker returns the worker of a placement. The error has kind NotFound if the
// worker has restarted, since it has lost its tasks then.
func (at *attempt) worker(p carawayshift.TaskPlacement) (carawayshift.Worker, error) {
	w, ok := at.m.opts.Workers.Worker(p.Worker)
	if !ok {
		return w, carawayshift.NewError(carawayshift.OutcomeUnknown, "worker "+p.Worker+" has not announced itself recently", "check that the worker is up")
	}
	if w.Incarnation != p.Incarnation {
		return w, carawayshift.NewError(carawayshift.NotFound, "worker "+p.Worker+" has restarted", "the job is placed again")
	}
	return w, nil
}

// forEachTask calls fn for all tasks concurrently and returns the error of the
// lowest task.
func (at *attempt) forEachTask(ctx context.Context, timeout time.Duration, fn func(context.Context, int) error) error {
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
	return at.m.opts.Workers.Prepare(ctx, w, at.specs[i], reservationLease)
}

func (at *attempt) start(ctx context.Context, i int) error {
	w, err := at.worker(at.job.Placements[i])
	if err != nil {
		return err
	}
	return at.m.opts.Workers.Start(ctx, w, at.specs[i], firstLease)
}

// stopTask returns nil if the task is certain not to run: the worker confirmed
// it, or the worker has restarted since the placement.
func (at *attempt) stopTask(ctx context.Context, i int) error {
	w, err := at.worker(at.job.Placements[i])
	if carawayshift.KindOf(err) == carawayshift.NotFound {
		return nil
	}
	if err != nil {
		return err
	}
	return at.m.opts.Workers.Stop(ctx, w, at.specs[i])
}

// renew extends the leases of all members. The end of the leases is computed
// before the check, so that a pause of the process between the two can't extend
// them.
func (at *attempt) renew(ctx context.Context) error {
	until := time.Now().Add(taskLease)
	if !at.m.mayRenew(ctx) {
		return carawayshift.NewError(carawayshift.Unavailable, "another host may hold the zone lease", "")
	}
	at.recordLeaseEnd(until)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	tasks := at.tasksByWorker()
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
		at.renewedAt = time.Now()
	}
	return first
}

// recordLeaseEnd records that leases may last until the given time.
func (at *attempt) recordLeaseEnd(until time.Time) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if until.After(at.leaseEnd) {
		at.leaseEnd = until
	}
}

// leasesExpired reports whether all leases of the attempt have expired even at
// the maximum clock drift. The previous holder of an attempt that was taken over
// may extend leases until this host's epoch has been announced.
func (at *attempt) leasesExpired(ctx context.Context) bool {
	at.mu.Lock()
	takenOver := at.takenOver
	at.mu.Unlock()
	if takenOver && !at.m.announceEpoch(ctx) {
		return false
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.takenOver {
		at.takenOver = false
		if end := time.Now().Add(taskLease + takeoverMargin); end.After(at.leaseEnd) {
			at.leaseEnd = end
		}
	}
	return time.Now().After(at.leaseEnd.Add(taskLease * maxClockDriftPerMille / 1000))
}

func (at *attempt) renewWorker(ctx context.Context, name string, specs []carawayshift.TaskSpec, until time.Time) error {
	w, err := at.worker(at.placementOn(name))
	if err != nil {
		return err
	}
	return at.m.opts.Workers.Renew(ctx, w, specs, until)
}

func (at *attempt) placementOn(name string) carawayshift.TaskPlacement {
	for _, p := range at.job.Placements {
		if p.Worker == name {
			return p
		}
	}
	return carawayshift.TaskPlacement{Worker: name}
}

// propose proposes a change of this attempt to the log.
func (at *attempt) propose(ctx context.Context, kind carawayshift.CommandKind, ch carawayshift.JobChange) (carawayshift.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	ch.ID, ch.Attempt = at.job.ID, at.job.Attempt
	c := carawayshift.Command{Kind: kind, By: at.m.opts.Host, At: time.Now().UTC(), Change: &ch}
	return at.m.opts.Log.Propose(ctx, c)
}
