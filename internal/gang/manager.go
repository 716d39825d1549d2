package gang

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"github.com/sirupsen/logrus"
)

const (
	// reservationLease plus the zone lease of 2 s is less than 3 s: no task may
	// start in a zone later than that after it was drained.
	reservationLease = 900 * time.Millisecond
	firstLease       = time.Second
	// taskLease is longer than it takes another host to get the zone lease.
	taskLease     = 15 * time.Second
	renewInterval = 5 * time.Second
	// memberLostTimeout is how long renewals may fail, after one is due, before
	// the member is considered lost.
	memberLostTimeout = 5 * time.Second
	// callTimeout is shorter than the reservation, so that there is time to
	// start or release the other workers when one does not answer.
	callTimeout       = 500 * time.Millisecond
	checkpointTimeout = 4 * time.Second
	proposeTimeout    = 2 * time.Second
	scanInterval      = 100 * time.Millisecond
	retryInterval     = 500 * time.Millisecond
	// takeoverMargin allows for a renewal that the previous holder sent while
	// its last confirmation was valid, and for the timeout of that call.
	takeoverMargin  = 3 * time.Second
	confirmationTTL = 2 * time.Second
	// maxClockDriftPerMille is the maximum difference between clock rates.
	maxClockDriftPerMille = 10
	checkpointInterval    = 10 * time.Minute
)

// workers looks up the zone's workers and calls them.
type workers interface {
	carawayshift.WorkerClient
	Worker(name string) (carawayshift.Worker, bool)
}

// Options configures a Manager.
type Options struct {
	// Host is this host, Zone its zone, Hosts all hosts of the zone.
	Host  string
	Zone  string
	Hosts []string
	Log   carawayshift.Log
	State func() carawayshift.State
	// Lease returns the fencing token of the zone lease, which this package calls
	// the epoch, and whether this host holds the lease.
	Lease     func() (epoch uint64, valid bool)
	Workers   workers
	Transport carawayshift.Transport
	Logger    logrus.FieldLogger
}

// Manager runs the gangs of one zone while its host holds the zone lease.
type Manager struct {
	opts Options

	mu sync.Mutex
	// startsDisabled is set by DisableStarts.
	startsDisabled bool
	// active holds the attempts that a goroutine of this host manages.
	active map[attemptKey]bool
	// highestEpoch is the highest lease epoch that this host knows, ownEpoch the
	// epoch of the last lease that it held.
	highestEpoch, ownEpoch uint64
	// announcedEpoch is the last value of ownEpoch that half of the zone's hosts
	// know.
	announcedEpoch uint64
	// confirmedAt is when a majority of the zone's hosts last knew no epoch newer
	// than ownEpoch.
	confirmedAt time.Time
}

type attemptKey struct {
	job     uint64
	attempt int
}

// New returns a manager and registers its method with the transport.
func New(opts Options) *Manager {
	m := &Manager{opts: opts, active: map[attemptKey]bool{}}
	opts.Transport.Handle("gang.epoch", m.handleEpoch)
	return m
}

// Run manages the zone's attempts until ctx ends. Attempts that are running at
// that time continue until their leases expire, or longer if another host
// renews them.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			m.scan(ctx, &wg)
		}
	}
}

// DisableStarts prevents this host from starting more gangs before it hands over
// the zone lease. The leases of running gangs are renewed until Run ends.
func (m *Manager) DisableStarts() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startsDisabled = true
}

// mayStart returns the epoch of the zone lease, and whether this host may start
// tasks.
func (m *Manager) mayStart() (epoch uint64, ok bool) {
	epoch, valid := m.opts.Lease()
	m.mu.Lock()
	defer m.mu.Unlock()
	return epoch, valid && !m.startsDisabled
}

// scan starts a goroutine for each active attempt of the zone that has none.
func (m *Manager) scan(ctx context.Context, wg *sync.WaitGroup) {
	epoch, ok := m.mayStart()
	if !ok {
		return
	}
	m.mu.Lock()
	m.ownEpoch = max(m.ownEpoch, epoch)
	m.highestEpoch = max(m.highestEpoch, epoch)
	m.mu.Unlock()
	for _, job := range m.opts.State().Jobs {
		if job.Zone != m.opts.Zone || !job.Active() || !m.claim(job) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer m.unclaim(job)
			m.manage(ctx, job)
		}()
	}
}

func (m *Manager) claim(job carawayshift.Job) bool {
	k := attemptKey{job.ID, job.Attempt}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.active[k] {
		return false
	}
	m.active[k] = true
	return true
}

func (m *Manager) unclaim(job carawayshift.Job) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.active, attemptKey{job.ID, job.Attempt})
}

// manage runs one attempt from its current state until it ends or this host may
// no longer manage it.
func (m *Manager) manage(ctx context.Context, job carawayshift.Job) {
	at := m.newAttempt(job)
	switch job.State {
	case carawayshift.JobPlaced:
		if !at.launch(ctx) {
			return
		}
	default:
		at.takeOver(ctx)
	}
	at.supervise(ctx)
}
