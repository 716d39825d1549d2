package gang

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"github.com/sirupsen/logrus"
)

const (
	// reservationLease plus the zone lease of 2 s stays below the 3 s after
	// which no task may start in a zone that was taken out.
	reservationLease = 900 * time.Millisecond
	firstLease       = time.Second
	// taskLease outlasts the change of the zone lease's holder.
	taskLease     = 15 * time.Second
	renewInterval = 5 * time.Second
	// lostAfter is how long renewals may fail before a member counts as lost.
	lostAfter = 5 * time.Second
	// callTimeout is shorter than the reservation, so that a worker that
	// does not answer leaves time to start the others or to release them.
	callTimeout       = 500 * time.Millisecond
	checkpointTimeout = 4 * time.Second
	proposeTimeout    = 2 * time.Second
	scanInterval      = 100 * time.Millisecond
	retryInterval     = 500 * time.Millisecond
	// takeoverMargin covers a renewal that the previous holder sent within
	// the validity of its last confirmation, and its call timeout.
	takeoverMargin = 3 * time.Second
	confirmValid   = 2 * time.Second
	// driftPerMille is the allowed difference of clock rates.
	driftPerMille      = 10
	checkpointInterval = 10 * time.Minute
)

// workers is what the agent needs to know and ask of the zone's workers.
type workers interface {
	carawayshift.WorkerClient
	Worker(name string) (carawayshift.Worker, bool)
}

// Options configures an Agent.
type Options struct {
	// Host is this host, Zone its zone, Hosts all hosts of the zone.
	Host  string
	Zone  string
	Hosts []string
	Log   carawayshift.Log
	State func() carawayshift.State
	// Lease returns the epoch of the zone lease and whether this host holds it.
	Lease     func() (epoch uint64, valid bool)
	Workers   workers
	Transport carawayshift.Transport
	Logger    logrus.FieldLogger
}

// Manager runs the gangs of one zone while its host holds the zone lease.
type Manager struct {
	opts Options

	mu sync.Mutex
	// stopped is set by Stop.
	stopped bool
	// active has the attempts that a goroutine of this host manages.
	active map[attemptKey]bool
	// epoch is the highest lease epoch that this host knows; own is the
	// epoch of the last lease that it held.
	epoch, own uint64
	// announced is the last own epoch that half of the zone's hosts know.
	announced uint64
	// confirmed is when a majority last knew no epoch newer than own.
	confirmed time.Time
}

type attemptKey struct {
	job     uint64
	attempt int
}

// New returns an agent and registers its method at the transport.
func New(opts Options) *Manager {
	a := &Manager{opts: opts, active: map[attemptKey]bool{}}
	opts.Transport.Handle("gang.epoch", a.handleEpoch)
	return a
}

// Run manages the zone's attempts until ctx ends. Attempts that run then go on
// until their leases expire or another host renews them.
func (a *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			a.scan(ctx, &wg)
		}
	}
}

// Stop ends the starting of gangs on this host before it hands the zone lease
// over. Running gangs are renewed until Run ends.
func (a *Manager) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
}

// mayStart returns the epoch of the zone lease and whether this host may start
// tasks.
func (a *Manager) mayStart() (epoch uint64, ok bool) {
	epoch, valid := a.opts.Lease()
	a.mu.Lock()
	defer a.mu.Unlock()
	return epoch, valid && !a.stopped
}

// scan starts a goroutine for each attempt of the zone that has none.
func (a *Manager) scan(ctx context.Context, wg *sync.WaitGroup) {
	epoch, ok := a.mayStart()
	if !ok {
		return
	}
	a.mu.Lock()
	a.own = max(a.own, epoch)
	a.epoch = max(a.epoch, epoch)
	a.mu.Unlock()
	for _, job := range a.opts.State().Jobs {
		if job.Zone != a.opts.Zone || !job.Active() || !a.claim(job) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer a.unclaim(job)
			a.manage(ctx, job)
		}()
	}
}

func (a *Manager) claim(job carawayshift.Job) bool {
	k := attemptKey{job.ID, job.Attempt}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active[k] {
		return false
	}
	a.active[k] = true
	return true
}

func (a *Manager) unclaim(job carawayshift.Job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, attemptKey{job.ID, job.Attempt})
}

// manage takes one attempt from its present state to its end, or until this
// host may no longer manage it.
func (a *Manager) manage(ctx context.Context, job carawayshift.Job) {
	at := a.newAttempt(job)
	switch job.State {
	case carawayshift.JobPlaced:
		if !at.launch(ctx) {
			return
		}
	default:
		at.adopt(ctx)
	}
	at.supervise(ctx)
}
