// Package lease grants zone leases: the right to start tasks in a zone, held
// by one entry host of the zone at a time.
//
// Every host runs a Table. On the leader of the replicated log, the table grants
// and renews leases. On an entry host, it requests the lease of the host's zone
// from the leader, and Valid reports whether the host holds it.
//
// # Usage
//
//	t := lease.New(lease.Config{Host: "lav1", Zone: "laventille", Transport: mesh,
//		Leader: log.Leader, Confirm: confirm, ZoneInService: zoneInService, Candidates: candidates})
//	go t.Run(ctx)
//	if l, ok := t.Valid(); ok {
//		// start tasks under l.Term and l.Epoch
//	}
//
// # Mutual exclusion
//
// At most one host holds the lease of a zone, provided that clock rates are
// wrong by at most 1%. The leader records a lease for 2 s from the arrival of
// the request, and only after a majority has confirmed its leadership since
// that arrival. The holder uses the lease for 1.9 s from just before it sent
// the request. A leader grants no lease in the first 2.02 s of its term, so
// that the leases of its predecessor have expired by then.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// Duration is how long a lease is valid on the leader's clock.
	Duration = 2 * time.Second
	// Validity is how long the holder may use a lease, by its own clock. It is
	// shorter than Duration to allow for a rate error of 1% in both clocks.
	Validity = 1900 * time.Millisecond
	// electionWait is Duration plus 1%.
	electionWait = Duration + Duration/100

	// renewInterval allows two more attempts after a lost renewal.
	renewInterval = 600 * time.Millisecond
	callTimeout   = 500 * time.Millisecond
	pollInterval  = 50 * time.Millisecond

	methodRenew   = "lease.renew"
	methodRelease = "lease.release"
	methodRevoke  = "lease.revoke"
)

// Config configures a Table.
type Config struct {
	Host string
	// Zone is the host's own zone, or "" for a host that never holds a lease.
	Zone      string
	Transport carawayshift.Transport
	// Leader returns the leader and its term as known to this host.
	Leader func() (host string, term uint64)
	// Confirm returns the term of this host's leadership. It fails unless a
	// majority of the voters confirmed the leadership after the call began
	// and this host has applied every entry that was committed before.
	Confirm func(ctx context.Context) (term uint64, err error)
	// ZoneInService reports whether the zone is in service in the applied state.
	ZoneInService func(zone string) bool
	// Candidates lists the hosts that may hold the lease of a zone.
	Candidates func(zone string) []string
	Logger     logrus.FieldLogger
	// Metrics receives the number of granted leases and whether this host
	// holds one.
	Metrics *metrics.Set
}

// Lease identifies a zone lease. The later of two leases of a zone has the
// greater (Term, Epoch).
type Lease struct {
	Zone  string
	Term  uint64
	Epoch uint64
}

func (l Lease) after(o Lease) bool {
	return l.Term > o.Term || l.Term == o.Term && l.Epoch > o.Epoch
}

// Table grants leases while its host leads and holds the lease of its zone.
type Table struct {
	cfg Config
	// Durations by this host's clock. They are fields so that tests can
	// simulate a different clock rate on each host.
	duration, validity, electionWait time.Duration
	handlers                         map[string]carawayshift.Handler

	mu sync.Mutex
	// term and termStart describe this host's leadership; term is 0 while this
	// host is not the leader.
	term      uint64
	termStart time.Time
	epoch     uint64
	grants    map[string]grant
	// revoking counts the calls of Revoke in progress for a zone.
	revoking map[string]int

	// held is the lease of this host's zone, granted in reply to the request
	// sent at requestSent. Leases up to revoked must not be accepted again.
	held        Lease
	requestSent time.Time
	revoked     Lease
	released    bool
}

// grant is the leader's record of one zone's lease.
type grant struct {
	holder string
	epoch  uint64
	until  time.Time
}

type renewRequest struct {
	Zone  string `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint,omitempty"`
	Epoch uint64 `cbor:"3,keyasint,omitempty"`
}

type renewReply struct {
	Granted bool   `cbor:"1,keyasint,omitempty"`
	Term    uint64 `cbor:"2,keyasint,omitempty"`
	Epoch   uint64 `cbor:"3,keyasint,omitempty"`
	// Wait is the delay before the next request after a refusal.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}

// New returns a table and registers its methods with the transport.
func New(cfg Config) *Table {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	t := &Table{
		cfg: cfg, duration: Duration, validity: Validity, electionWait: electionWait,
		grants: map[string]grant{}, revoking: map[string]int{},
	}
	cfg.Metrics.NewGauge("carawayshift_lease_held", t.heldGauge)
	t.handlers = map[string]carawayshift.Handler{
		methodRenew: t.handleRenew, methodRelease: t.handleRelease, methodRevoke: t.handleRevoke,
	}
	for method, fn := range t.handlers {
		cfg.Transport.Handle(method, fn)
	}
	return t
}

// heldGauge returns 1 while this host holds the lease of its zone, otherwise 0.
func (t *Table) heldGauge() float64 {
	if _, ok := t.Valid(); ok {
		return 1
	}
	return 0
}

// Run tracks this host's leadership and renews the lease of its zone until ctx
// ends. A lease held at that time expires unless Release was called.
func (t *Table) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { t.watchLeadership(ctx) })
	if t.cfg.Zone != "" {
		wg.Go(func() { t.renewLoop(ctx) })
	}
}

// watchLeadership records the start of each leadership, so that the wait for
// the predecessor's leases starts at the election, not at the first request.
func (t *Table) watchLeadership(ctx context.Context) {
	for pause.For(ctx, pollInterval) {
		host, term := t.cfg.Leader()
		if host != t.cfg.Host {
			term = 0
		}
		t.mu.Lock()
		t.setTerm(term)
		t.mu.Unlock()
	}
}

// setTerm records that this host is the leader in a term, or with 0 that it is
// not. A new term discards the grants of earlier ones. Terms only increase: a
// delayed report of an older term is ignored. It is called with t.mu held.
func (t *Table) setTerm(term uint64) {
	if term <= t.term {
		return
	}
	t.term = term
	t.termStart = time.Now()
	t.epoch = 0
	clear(t.grants)
}

// call calls a method on a host, or the local handler when the host is this one.
func (t *Table) call(ctx context.Context, host, method string, in renewRequest, out *renewReply) error {
	body, err := carawayshift.Encode(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if host == t.cfg.Host {
		body, err = t.handlers[method](ctx, host, body)
	} else {
		body, err = t.cfg.Transport.Call(ctx, host, method, body)
	}
	if err != nil {
		return errors.Wrap(err, method)
	}
	return carawayshift.Decode(body, out)
}
