package idempotency

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// finishTimeout limits how long a response waits until a majority has stored
	// its outcome.
	finishTimeout = 500 * time.Millisecond
	// finishAttempts is the maximum number of calls to each host to store an
	// outcome or to drop a claim.
	finishAttempts  = 3
	minPollInterval = 10 * time.Millisecond
	maxPollInterval = 200 * time.Millisecond
	// responseMarginDivisor is the divisor of the remaining time that gives the
	// part reserved for an error response to reach the caller.
	responseMarginDivisor = 20
)

// Claim is the exclusive right to run a request with an idempotency key.
type Claim struct {
	r           *Registry
	key         string
	owner       string
	fingerprint uint64
	hosts       []string
}

// Claim claims a key, or waits for the outcome of the request that holds it. The
// fingerprint distinguishes requests that use the same key.
func (r *Registry) Claim(ctx context.Context, key string, fingerprint uint64) (*Claim, *Outcome, error) {
	hosts := r.cfg.Hosts(r.HomeZone(key))
	if len(hosts) == 0 {
		return nil, nil, notRunError("the key's home zone has no configured host")
	}
	ctx, cancel := withResponseMargin(ctx)
	defer cancel()
	known := false
	for poll := minPollInterval; ; poll = min(2*poll, maxPollInterval) {
		c := &Claim{r: r, key: key, owner: newOwnerID(), fingerprint: fingerprint, hosts: hosts}
		v := r.callAll(ctx, methodPut, c)
		if v.counts[c.owner] >= majority(len(hosts)) {
			return c, nil, nil
		}
		c.Drop(ctx)
		if v.outcome != nil || v.conflict {
			return nil, v.outcome, v.err()
		}
		known = known || v.countOthers(c.owner) > 0
		if v.replies < majority(len(hosts)) && !known {
			return nil, nil, notRunError("a majority of the key's home zone can't be reached")
		}
		v, ok := r.await(ctx, c, poll)
		if !ok || v.outcome != nil || v.conflict {
			return nil, v.outcome, v.err()
		}
	}
}

// await polls until an outcome is stored, or until no owner can have a majority,
// in which case the key can be claimed again. It returns false when ctx ends.
func (r *Registry) await(ctx context.Context, c *Claim, poll time.Duration) (roundResult, bool) {
	for {
		select {
		case <-ctx.Done():
			return roundResult{}, false
		case <-time.After(poll/2 + rand.N(poll)):
		}
		v := r.callAll(ctx, methodGet, c)
		if v.outcome != nil || v.conflict {
			return v, true
		}
		if v.maxCount()+len(c.hosts)-v.replies < majority(len(c.hosts)) {
			return v, true
		}
		poll = min(2*poll, maxPollInterval)
	}
}

// roundResult holds the replies of the home zone's hosts to one callAll.
type roundResult struct {
	replies  int
	counts   map[string]int
	outcome  *Outcome
	conflict bool
}

func (v *roundResult) add(rep reply, fingerprint uint64) {
	v.replies++
	if rep.Owner == "" {
		return
	}
	v.counts[rep.Owner]++
	if rep.Fingerprint != fingerprint {
		v.conflict = true
		return
	}
	if rep.Outcome != nil && (v.outcome == nil || v.outcome.Unknown) {
		v.outcome = rep.Outcome
	}
}

func (v *roundResult) countOthers(owner string) int {
	n := 0
	for o, k := range v.counts {
		if o != owner {
			n += k
		}
	}
	return n
}

func (v *roundResult) maxCount() int {
	n := 0
	for _, k := range v.counts {
		n = max(n, k)
	}
	return n
}

// err returns the error for a request that must not run, or nil if the outcome of
// the first request is known.
func (v *roundResult) err() error {
	switch {
	case v.conflict:
		return carawayshift.NewError(carawayshift.Conflict, "the idempotency key was used for another request", "use a new key")
	case v.outcome == nil:
		return outcomeUnknownError("the first request with this key has no outcome yet")
	case v.outcome.Unknown:
		return outcomeUnknownError("the outcome of the first request with this key is not known")
	}
	return nil
}

// callAll calls a method on all hosts of the home zone and collects the replies
// that arrive within roundTimeout. It returns earlier when a majority of the
// hosts name the claim's owner.
func (r *Registry) callAll(ctx context.Context, method string, c *Claim) roundResult {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	body, err := carawayshift.Encode(claimRequest{Key: c.key, Owner: c.owner, Fingerprint: c.fingerprint})
	if err != nil {
		return roundResult{}
	}
	replies := make(chan *reply, len(c.hosts))
	for _, host := range c.hosts {
		go func() { replies <- r.call(ctx, host, method, body) }()
	}
	v := roundResult{counts: map[string]int{}}
	for range c.hosts {
		select {
		case rep := <-replies:
			// After the process was suspended, both cases can be ready. A
			// grant that arrived too late must not count.
			if time.Since(start) > roundTimeout {
				return v
			}
			if rep != nil {
				v.add(*rep, c.fingerprint)
			}
		case <-ctx.Done():
			return v
		}
		if v.counts[c.owner] >= majority(len(c.hosts)) {
			return v
		}
	}
	return v
}

func (r *Registry) call(ctx context.Context, host, method string, body []byte) *reply {
	b, err := r.dispatch(ctx, host, method, body)
	if err != nil {
		return nil
	}
	var rep reply
	if carawayshift.Decode(b, &rep) != nil {
		return nil
	}
	return &rep
}

// dispatch handles calls to this host locally, without the transport.
func (r *Registry) dispatch(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	if host != r.cfg.Host {
		return r.cfg.Transport.Call(ctx, host, method, body)
	}
	switch method {
	case methodPut:
		return r.handlePut(ctx, host, body)
	case methodGet:
		return r.handleGet(ctx, host, body)
	case methodFinish:
		return r.handleFinish(ctx, host, body)
	}
	return r.handleDrop(ctx, host, body)
}

// Finish stores the outcome. It returns when a majority has stored it or after
// 500 ms; calls to the remaining hosts continue in the background.
func (c *Claim) Finish(ctx context.Context, o Outcome) {
	if len(o.Body) > maxBodyBytes {
		o = Outcome{Unknown: true}
	}
	c.sendToAll(ctx, methodFinish, &o)
}

// Drop releases the key. It must be called only if the request certainly did not
// run.
func (c *Claim) Drop(ctx context.Context) { c.sendToAll(ctx, methodDrop, nil) }

func (c *Claim) sendToAll(ctx context.Context, method string, o *Outcome) {
	body, err := carawayshift.Encode(claimRequest{Key: c.key, Owner: c.owner, Fingerprint: c.fingerprint, Outcome: o})
	if err != nil {
		return
	}
	ctx = context.WithoutCancel(ctx)
	enough := make(chan struct{})
	var mu sync.Mutex
	left := majority(len(c.hosts))
	for _, host := range c.hosts {
		go func() {
			if !c.r.callWithRetry(ctx, host, method, body) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if left--; left == 0 {
				close(enough)
			}
		}()
	}
	timer := time.NewTimer(finishTimeout)
	defer timer.Stop()
	select {
	case <-enough:
	case <-timer.C:
	}
}

func (r *Registry) callWithRetry(ctx context.Context, host, method string, body []byte) bool {
	for range finishAttempts {
		tctx, cancel := context.WithTimeout(ctx, roundTimeout)
		rep := r.call(tctx, host, method, body)
		cancel()
		if rep != nil {
			return true
		}
		time.Sleep(maxPollInterval)
	}
	return false
}

// withResponseMargin returns a context that ends before the deadline of ctx, so that
// an error response can still reach the caller.
func withResponseMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	d, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, d.Add(-time.Until(d)/responseMarginDivisor))
}

func newOwnerID() string {
	var b [16]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}

func notRunError(text string) error {
	return carawayshift.NewError(carawayshift.NotRun, text, "retry later with the same key")
}

func outcomeUnknownError(text string) error {
	return carawayshift.NewError(carawayshift.OutcomeUnknown, text, "retry later with the same key to get the outcome")
}
