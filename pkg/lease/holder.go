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
// answer holds at the moment of the call only.
func (t *Table) Valid() (Lease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held, t.valid()
}

// valid compares the wall clock too: the monotonic clock stands still while
// the machine is suspended.
func (t *Table) valid() bool {
	if t.held == (Lease{}) {
		return false
	}
	now := time.Now()
	return now.Sub(t.sent) < t.validity && now.Round(0).Sub(t.sent.Round(0)) < t.validity
}

// hold asks for the lease, renews it, or waits until it may be free.
func (t *Table) hold(ctx context.Context) {
	wait := rand.N(renewEvery)
	for pause.For(ctx, wait) {
		wait = t.renew(ctx)
	}
}

// renew sends one request and returns the time until the next one.
func (t *Table) renew(ctx context.Context) time.Duration {
	leader, _ := t.cfg.Leader()
	t.mu.Lock()
	in := renewRequest{Zone: t.cfg.Zone, Term: t.held.Term, Epoch: t.held.Epoch}
	released := t.released
	t.mu.Unlock()
	if leader == "" || released {
		return renewEvery/2 + rand.N(renewEvery)
	}
	sent := time.Now()
	var out renewReply
	err := t.call(ctx, leader, methodRenew, in, &out)
	switch {
	case err != nil:
		return renewEvery/4 + rand.N(renewEvery/4)
	case !out.Granted:
		// All hosts of the zone would ask at the same moment otherwise.
		return min(out.Wait, t.length) + rand.N(renewEvery/2)
	}
	t.accept(Lease{Zone: t.cfg.Zone, Term: out.Term, Epoch: out.Epoch}, sent)
	return max(0, renewEvery-time.Since(sent))
}

// accept takes a granted lease, unless it was revoked or released while the
// answer was under way, or is older than the one held.
func (t *Table) accept(l Lease, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.released || !l.after(t.revoked) || t.held.after(l) {
		return
	}
	if l != t.held {
		t.cfg.Log.WithFields(logrus.Fields{"zone": l.Zone, "term": l.Term, "epoch": l.Epoch}).Info("zone lease held")
	}
	t.held, t.sent = l, sent
}

// handleRevoke confirms that this host does not use the lease any more. Only
// the leader whose term the lease has may revoke it; any host of the
// deployment is trusted to say that it is the leader.
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

// Release gives the lease up for a graceful stop and asks for none any more.
// The host must not be starting tasks when it calls Release. An error says
// that the leader was not reached; the lease then expires by itself.
func (t *Table) Release(ctx context.Context) error {
	t.mu.Lock()
	l := t.held
	t.held = Lease{}
	t.released = true
	if l.after(t.revoked) {
		t.revoked = l // an answer under way may still grant it
	}
	t.mu.Unlock()
	if l == (Lease{}) {
		return nil
	}
	leader, _ := t.cfg.Leader()
	in := renewRequest(l)
	return t.call(ctx, leader, methodRelease, in, new(renewReply))
}
