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
		return nil, notLeader(t.cfg.Host)
	}
	candidate := slices.Contains(t.cfg.Candidates(in.Zone), from)
	return carawayshift.Encode(t.grant(in, from, term, arrived, candidate))
}

func notLeader(host string) error {
	return carawayshift.NewError(carawayshift.NotRun, "host "+host+" does not lead", "ask the leader")
}

// grant decides a request that arrived before this host's leadership was
// confirmed.
func (t *Table) grant(in renewRequest, from string, term uint64, arrived time.Time, candidate bool) renewReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lead(term)
	if term != t.term {
		return renewReply{Wait: renewEvery}
	}
	if rest := t.wait - time.Since(t.since); rest > 0 {
		return renewReply{Wait: rest}
	}
	g := t.granted[in.Zone]
	switch {
	case !candidate, t.revoking[in.Zone] > 0, !t.cfg.In(in.Zone):
		return renewReply{Wait: t.length}
	case g.holder != from && time.Now().Before(g.until):
		return renewReply{Wait: time.Until(g.until)}
	}
	// A holder that names another lease than the recorded one restarted or
	// released it, and a message about the old one may still be under way:
	// the new epoch makes that message void.
	if g.holder != from || in.Term != term || in.Epoch != g.epoch {
		t.epoch++
		t.noteGrant(in.Zone, g.holder, from)
		g = grant{holder: from, epoch: t.epoch}
	}
	if until := arrived.Add(t.length); until.After(g.until) {
		g.until = until
	}
	t.granted[in.Zone] = g
	return renewReply{Granted: true, Term: term, Epoch: g.epoch}
}

// noteGrant logs and counts a new lease. It is called with t.mu held.
func (t *Table) noteGrant(zone, before, holder string) {
	t.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("carawayshift_leases_granted_total{zone=%q}", zone)).Inc()
	t.cfg.Log.WithFields(logrus.Fields{
		"zone": zone, "holder": holder, "before": before, "term": t.term, "epoch": t.epoch,
		"alternatives": len(t.cfg.Candidates(zone)) - 1,
	}).Info("zone lease granted")
}

// handleRelease frees a lease at once. A release that names another lease
// than the recorded one is late and changes nothing.
func (t *Table) handleRelease(_ context.Context, from string, body []byte) ([]byte, error) {
	var in renewRequest
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.granted[in.Zone]; g.holder == from && in.Term == t.term && in.Epoch == g.epoch {
		delete(t.granted, in.Zone)
	}
	return carawayshift.Encode(renewReply{})
}

// Holder returns the host to which this host, as the leader, has granted the
// lease of a zone, or "".
func (t *Table) Holder(zone string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g, ok := t.granted[zone]; ok && time.Now().Before(g.until) {
		return g.holder
	}
	return ""
}

// Revoke ends the lease of a zone that operators took out. The caller makes
// In return false first: Revoke grants nothing while it runs, In has to refuse
// afterwards. It returns nil when no host holds the lease any more, because
// the holder confirmed or because the lease expired; that takes at most
// Length plus the wait of a new leader. The error has kind NotRun when this
// host does not lead, and OutcomeUnknown when ctx ends first.
func (t *Table) Revoke(ctx context.Context, zone string) error {
	term, err := t.cfg.Confirm(ctx)
	if err != nil {
		return notLeader(t.cfg.Host)
	}
	t.mu.Lock()
	t.lead(term)
	t.revoking[zone]++
	g, until := t.granted[zone], t.since.Add(t.wait)
	stale := term != t.term
	t.mu.Unlock()
	defer t.revokeDone(zone)
	if stale {
		return notLeader(t.cfg.Host)
	}
	if g.until.After(until) {
		until = g.until
	}
	return t.revokeFrom(ctx, zone, term, g, until)
}

func (t *Table) revokeDone(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revoking[zone]--
}

// revokeFrom asks the holder again and again, because it may be cut off for a
// moment only.
func (t *Table) revokeFrom(ctx context.Context, zone string, term uint64, g grant, until time.Time) error {
	for time.Now().Before(until) {
		if g.holder != "" {
			in := renewRequest{Zone: zone, Term: term, Epoch: g.epoch}
			if t.call(ctx, g.holder, methodRevoke, in, new(renewReply)) == nil {
				t.forget(zone, g.epoch)
				return nil
			}
		}
		if !pause.For(ctx, min(watchEvery, max(0, time.Until(until)))) {
			return carawayshift.NewError(carawayshift.OutcomeUnknown, "the lease of zone "+zone+" was not confirmed as revoked", "wait for 2 s, it expires by itself")
		}
	}
	t.forget(zone, g.epoch)
	return nil
}

func (t *Table) forget(zone string, epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.granted[zone].epoch == epoch {
		delete(t.granted, zone)
	}
}
