package lease

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

func (t *Table) handleRenew(ctx context.Context, from string, body []byte) ([]byte, error) {
	arrived := time.Now()
	var in renewRequest
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	term, err := t.cfg.Confirm(ctx)
	if err != nil {
		return nil, notLeaderError(t.cfg.Host)
	}
	candidate := slices.Contains(t.cfg.Candidates(in.Zone), from)
	return carawayshift.Encode(t.grant(in, from, term, arrived, candidate))
}

func notLeaderError(host string) error {
	return carawayshift.NewError(carawayshift.NotRun, "host "+host+" is not the leader", "ask the leader")
}

// grant decides on a request. Leadership in term must have been confirmed after
// the request arrived.
func (t *Table) grant(in renewRequest, from string, term uint64, arrived time.Time, candidate bool) renewReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setTerm(term)
	if term != t.term {
		return renewReply{Wait: renewInterval}
	}
	if rest := t.electionWait - time.Since(t.termStart); rest > 0 {
		return renewReply{Wait: rest}
	}
	g := t.grants[in.Zone]
	switch {
	case !candidate, t.revoking[in.Zone] > 0, !t.cfg.ZoneInService(in.Zone):
		return renewReply{Wait: t.duration}
	case g.holder != from && time.Now().Before(g.until):
		return renewReply{Wait: time.Until(g.until)}
	}
	// A holder that names a lease other than the recorded one has restarted or
	// has released it, and a message about the old lease may still be in
	// transit. The new epoch invalidates that message. It does not shorten the
	// lease: this request may have waited longer than others of the same host,
	// whose leases are still valid.
	if g.holder != from || in.Term != term || in.Epoch != g.epoch {
		t.epoch++
		t.recordGrant(in.Zone, g.holder, from)
		if g.holder != from {
			g.until = time.Time{}
		}
		g.holder, g.epoch = from, t.epoch
	}
	if until := arrived.Add(t.duration); until.After(g.until) {
		g.until = until
	}
	t.grants[in.Zone] = g
	return renewReply{Granted: true, Term: term, Epoch: g.epoch}
}

// recordGrant logs and counts a new lease. It is called with t.mu held.
func (t *Table) recordGrant(zone, before, holder string) {
	t.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("carawayshift_leases_granted_total{zone=%q}", zone)).Inc()
	t.cfg.Logger.WithFields(logrus.Fields{
		"zone": zone, "holder": holder, "before": before, "term": t.term, "epoch": t.epoch,
		"alternatives": len(t.cfg.Candidates(zone)) - 1,
	}).Info("zone lease granted")
}

// handleRelease removes a lease immediately. A release that names a lease other
// than the recorded one arrived late and is ignored.
func (t *Table) handleRelease(_ context.Context, from string, body []byte) ([]byte, error) {
	var in renewRequest
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.grants[in.Zone]; g.holder == from && in.Term == t.term && in.Epoch == g.epoch {
		delete(t.grants, in.Zone)
	}
	return carawayshift.Encode(renewReply{})
}

// Holder returns the host to which this host, as the leader, has granted the
// unexpired lease of a zone, or "".
func (t *Table) Holder(zone string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g, ok := t.grants[zone]; ok && time.Now().Before(g.until) {
		return g.holder
	}
	return ""
}

// Revoke ends the lease of a zone that operators took out of service. The
// caller must make ZoneInService return false first: no lease of the zone is
// granted while Revoke runs, and ZoneInService prevents grants afterwards.
// Revoke returns nil when no host holds the lease any more, because the holder
// confirmed the revocation or because the lease expired; that takes at most
// Duration plus the election wait of a new leader. The error has kind NotRun
// when this host is not the leader, and OutcomeUnknown when ctx ends first.
func (t *Table) Revoke(ctx context.Context, zone string) error {
	term, err := t.cfg.Confirm(ctx)
	if err != nil {
		return notLeaderError(t.cfg.Host)
	}
	t.mu.Lock()
	t.setTerm(term)
	t.revoking[zone]++
	g, until := t.grants[zone], t.termStart.Add(t.electionWait)
	stale := term != t.term
	t.mu.Unlock()
	defer t.endRevoke(zone)
	if stale {
		return notLeaderError(t.cfg.Host)
	}
	if g.until.After(until) {
		until = g.until
	}
	return t.revokeFromHolder(ctx, zone, term, g, until)
}

func (t *Table) endRevoke(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revoking[zone]--
}

// revokeFromHolder retries the call to the holder until the lease expires,
// because the holder may be unreachable for a moment only.
func (t *Table) revokeFromHolder(ctx context.Context, zone string, term uint64, g grant, until time.Time) error {
	for time.Now().Before(until) {
		if g.holder != "" {
			in := renewRequest{Zone: zone, Term: term, Epoch: g.epoch}
			if t.call(ctx, g.holder, methodRevoke, in, new(renewReply)) == nil {
				t.deleteGrant(zone, g.epoch)
				return nil
			}
		}
		if !pause.For(ctx, min(pollInterval, max(0, time.Until(until)))) {
			return carawayshift.NewError(carawayshift.OutcomeUnknown, "the holder of the lease of zone "+zone+" did not confirm the revocation", "wait 2 s until the lease expires")
		}
	}
	t.deleteGrant(zone, g.epoch)
	return nil
}

func (t *Table) deleteGrant(zone string, epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grants[zone].epoch == epoch {
		delete(t.grants, zone)
	}
}
