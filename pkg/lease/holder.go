package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

// Valid returns the lease of this host's zone while this host holds it. The
// result applies to the moment of the call only.
func (t *Table) Valid() (Lease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held, t.valid()
}

// valid also compares the wall clock, because the monotonic clock does not
// advance while the machine is suspended. It is called with t.mu held.
func (t *Table) valid() bool {
	if t.held == (Lease{}) {
		return false
	}
	now := time.Now()
	return now.Sub(t.requestSent) < t.validity && now.Round(0).Sub(t.requestSent.Round(0)) < t.validity
}

// renewLoop requests the lease and renews it until ctx ends. While another host
// holds it, the next request waits until that lease may have expired.
func (t *Table) renewLoop(ctx context.Context) {
	wait := rand.N(renewInterval)
	for pause.For(ctx, wait) {
		wait = t.renew(ctx)
	}
}

// renew sends one request and returns the delay before the next one.
func (t *Table) renew(ctx context.Context) time.Duration {
	leader, _ := t.cfg.Leader()
	t.mu.Lock()
	in := renewRequest{Zone: t.cfg.Zone, Term: t.held.Term, Epoch: t.held.Epoch}
	released := t.released
	t.mu.Unlock()
	if leader == "" || released {
		return renewInterval/2 + rand.N(renewInterval)
	}
	sent := time.Now()
	var out renewReply
	err := t.call(ctx, leader, methodRenew, in, &out)
	switch {
	case err != nil:
		return renewInterval/4 + rand.N(renewInterval/4)
	case !out.Granted:
		// The random part keeps the hosts of the zone from sending their
		// requests at the same moment.
		return min(out.Wait, t.duration) + rand.N(renewInterval/2)
	}
	t.accept(Lease{Zone: t.cfg.Zone, Term: out.Term, Epoch: out.Epoch}, sent)
	return max(0, renewInterval-time.Since(sent))
}

// accept stores a granted lease, unless it was revoked or released while the
// reply was in transit, or is older than the current one.
func (t *Table) accept(l Lease, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.released || !l.after(t.revoked) || t.held.after(l) {
		return
	}
	if l != t.held {
		t.cfg.Logger.WithFields(logrus.Fields{"zone": l.Zone, "term": l.Term, "epoch": l.Epoch}).Info("zone lease held")
	}
	t.held, t.requestSent = l, sent
}

// handleRevoke confirms that this host no longer uses the lease. Only the
// leader of the lease's term may revoke it; any host of the deployment is
// trusted when it claims to be the leader.
func (t *Table) handleRevoke(_ context.Context, _ string, body []byte) ([]byte, error) {
	var in renewRequest
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	l := Lease(in)
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.after(t.revoked) {
		t.revoked = l
	}
	if !t.held.after(l) {
		t.held = Lease{}
	}
	return carawayshift.Encode(renewReply{})
}

// Release releases the lease for a graceful shutdown and stops requesting it.
// The host must not be starting tasks when it calls Release. An error means
// that the leader was not reached; the lease then expires.
func (t *Table) Release(ctx context.Context) error {
	t.mu.Lock()
	l := t.held
	t.held = Lease{}
	t.released = true
	if l.after(t.revoked) {
		t.revoked = l // a reply in transit may still grant it
	}
	t.mu.Unlock()
	if l == (Lease{}) {
		return nil
	}
	leader, _ := t.cfg.Leader()
	in := renewRequest(l)
	return t.call(ctx, leader, methodRelease, in, new(renewReply))
}
