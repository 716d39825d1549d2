// Package lease grants zone leases: the right to start tasks in a zone, held
// by one entry host of the zone at a time.
//
// Every host runs a Table. On the leader of the replicated log it grants and
// renews; on an entry host it asks the leader for the lease of its own zone
// and tells by Valid whether the host holds it now.
//
// # Usage
//
//	t := lease.New(lease.Config{Host: "lav1", Zone: "laventille", Transport: mesh,
//		Leader: log.Leader, Confirm: confirm, In: machine.ZoneIn, Candidates: candidates})
//	go t.Run(ctx)
//	if l, ok := t.Valid(); ok {
//		// start tasks under l.Term and l.Epoch
//	}
//
// # Why no two hosts hold a zone
//
// The leader records a lease for 2 s from the arrival of the request and only
// after a majority confirmed its leadership since that arrival. The holder
// counts 1.9 s from the moment before it sent the request. A leader grants
// nothing in the first 2.02 s of its term, so leases of its predecessor have
// ended, for clocks that run up to 1% too fast or too slow.
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
	// Length is how long a lease lasts on the leader's clock.
	Length = 2 * time.Second
	// Validity is how long the holder may use a lease, on its own clock. The
	// difference to Length covers clocks that differ by 1% in rate twice.
	Validity = 1900 * time.Millisecond
	// electionWait is Length plus 1%.
	electionWait = Length + Length/100

	// renewEvery leaves the holder two more tries after a lost renewal.
	renewEvery = 600 * time.Millisecond
	callWait   = 500 * time.Millisecond
	watchEvery = 50 * time.Millisecond

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
	// Leader returns the leader and the term as far as this host knows.
	Leader func() (host string, term uint64)
	// Confirm returns the term of this host's leadership. It fails unless a
	// majority of the voters confirmed the leadership after the call began
	// and this host has applied every entry that was committed before.
	Confirm func(ctx context.Context) (term uint64, err error)
	// In reports whether the applied state has the zone in service.
	In func(zone string) bool
	// Candidates lists the hosts that may hold the lease of a zone.
	Candidates func(zone string) []string
	Log        logrus.FieldLogger
	// Metrics counts new leases and says whether this host holds one.
	Metrics *metrics.Set
}

// Lease is a zone lease as its holder sees it. Of two leases of a zone the
// later one has the greater (Term, Epoch).
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
	// Durations on this host's clock. They are fields so that tests can give
	// each host a clock of its own rate.
	length, validity, wait time.Duration
	handlers               map[string]carawayshift.Handler

	mu sync.Mutex
	// term and since describe this host's leadership; term is 0 when it does
	// not lead.
	term    uint64
	since   time.Time
	epoch   uint64
	granted map[string]grant
	// revoking counts the calls of Revoke in progress for a zone.
	revoking map[string]int

	held     Lease
	sent     time.Time
	revoked  Lease
	released bool
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
	// Wait is when to ask again after a refusal.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}

// New returns a table and registers its methods at the transport.
func New(cfg Config) *Table {
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	t := &Table{
		cfg: cfg, length: Length, validity: Validity, wait: electionWait,
		granted: map[string]grant{}, revoking: map[string]int{},
	}
	cfg.Metrics.NewGauge("carawayshift_lease_held", t.gauge)
	t.handlers = map[string]carawayshift.Handler{
		methodRenew: t.handleRenew, methodRelease: t.handleRelease, methodRevoke: t.handleRevoke,
	}
	for method, fn := range t.handlers {
		cfg.Transport.Handle(method, fn)
	}
	return t
}

// gauge is 1 while this host holds the lease of its zone.
func (t *Table) gauge() float64 {
	if _, ok := t.Valid(); ok {
		return 1
	}
	return 0
}

// Run watches for leadership and keeps the lease of the host's zone until ctx
// ends. A lease that is held then runs out unless Release was called.
func (t *Table) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { t.watch(ctx) })
	if t.cfg.Zone != "" {
		wg.Go(func() { t.hold(ctx) })
	}
}

// watch notes the start of each leadership, so that the wait for the
// predecessor's leases starts with the election and not with the first
// request.
func (t *Table) watch(ctx context.Context) {
	for pause.For(ctx, watchEvery) {
		host, term := t.cfg.Leader()
		if host != t.cfg.Host {
			term = 0
		}
		t.mu.Lock()
		t.lead(term)
		t.mu.Unlock()
	}
}

// lead notes that this host leads in a term, or, with 0, that it does not. It
// is called with t.mu held. Terms only rise: a late sight of an older one
// changes nothing.
func (t *Table) lead(term uint64) {
	if term <= t.term {
		return
	}
	t.term = term
	t.since = time.Now()
	t.epoch = 0
	clear(t.granted)
}

// call calls a host, or the own handler when host is this one.
func (t *Table) call(ctx context.Context, host, method string, in renewRequest, out *renewReply) error {
	body, err := carawayshift.Encode(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callWait)
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
