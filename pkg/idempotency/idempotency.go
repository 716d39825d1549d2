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
	// finishWait bounds how long an answer waits for its outcome to be stored
	// at a majority.
	finishWait = 500 * time.Millisecond
	// finishTries is the number of calls to each host for an outcome or a drop.
	finishTries = 3
	firstPoll   = 10 * time.Millisecond
	maxPoll     = 200 * time.Millisecond
	// answerMargin is the part of the deadline kept for the refusal to reach
	// the caller.
	answerMargin = 20
)

// Claim is the right to run a keyed request.
type Claim struct {
	r     *Registry
	key   string
	owner string
	print uint64
	hosts []string
}

// Claim claims a key, or waits for the outcome of the request that has it.
// Fingerprint tells requests under one key apart.
func (r *Registry) Claim(ctx context.Context, key string, fingerprint uint64) (*Claim, *Outcome, error) {
	hosts := r.cfg.Hosts(r.Home(key))
	if len(hosts) == 0 {
		return nil, nil, unreachable("no home zone is known for the key")
	}
	ctx, cancel := withMargin(ctx)
	defer cancel()
	known := false
	for poll := firstPoll; ; poll = min(2*poll, maxPoll) {
		c := &Claim{r: r, key: key, owner: newOwner(), print: fingerprint, hosts: hosts}
		v := r.round(ctx, methodPut, c)
		if v.counts[c.owner] >= majority(len(hosts)) {
			return c, nil, nil
		}
		c.Drop(ctx)
		if v.outcome != nil || v.conflict {
			return nil, v.outcome, v.end()
		}
		known = known || v.others(c.owner) > 0
		if v.replies < majority(len(hosts)) && !known {
			return nil, nil, unreachable("a majority of the key's home zone can't be reached")
		}
		v, ok := r.await(ctx, c, poll)
		if !ok || v.outcome != nil || v.conflict {
			return nil, v.outcome, v.end()
		}
	}
}

// await polls until an outcome is stored or no other owner can have a
// majority, in which case the key can be claimed again.
func (r *Registry) await(ctx context.Context, c *Claim, poll time.Duration) (view, bool) {
	for {
		select {
		case <-ctx.Done():
			return view{}, false
		case <-time.After(poll/2 + rand.N(poll)):
		}
		v := r.round(ctx, methodGet, c)
		if v.outcome != nil || v.conflict {
			return v, true
		}
		if v.most()+len(c.hosts)-v.replies < majority(len(c.hosts)) {
			return v, true
		}
		poll = min(2*poll, maxPoll)
	}
}

// view is what the home zone's hosts replied in one round.
type view struct {
	replies  int
	counts   map[string]int
	outcome  *Outcome
	conflict bool
}

func (v *view) add(rep reply, fingerprint uint64) {
	v.replies++
	if rep.Owner == "" {
		return
	}
	v.counts[rep.Owner]++
	if rep.Print != fingerprint {
		v.conflict = true
		return
	}
	if rep.Outcome != nil && (v.outcome == nil || v.outcome.Unknown) {
		v.outcome = rep.Outcome
	}
}

func (v *view) others(owner string) int {
	n := 0
	for o, k := range v.counts {
		if o != owner {
			n += k
		}
	}
	return n
}

func (v *view) most() int {
	n := 0
	for _, k := range v.counts {
		n = max(n, k)
	}
	return n
}

// end is the error of a request that does not run.
func (v *view) end() error {
	switch {
	case v.conflict:
		return carawayshift.NewError(carawayshift.Conflict, "the idempotency key was used for another request", "use a new key")
	case v.outcome == nil:
		return unknown("the first request with this key has no outcome yet")
	case v.outcome.Unknown:
		return unknown("the outcome of the first request with this key is not known")
	}
	return nil
}

// round calls a method at all hosts of the home zone and waits for the replies
// that arrive within the round limit, but not longer than a majority for one
// owner needs.
func (r *Registry) round(ctx context.Context, method string, c *Claim) view {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, roundLimit)
	defer cancel()
	body, err := carawayshift.Encode(wire{Key: c.key, Owner: c.owner, Print: c.print})
	if err != nil {
		return view{}
	}
	replies := make(chan *reply, len(c.hosts))
	for _, host := range c.hosts {
		go func() { replies <- r.call(ctx, host, method, body) }()
	}
	v := view{counts: map[string]int{}}
	for range c.hosts {
		select {
		case rep := <-replies:
			// After a freeze both cases can be ready; a late grant must not
			// count.
			if time.Since(start) > roundLimit {
				return v
			}
			if rep != nil {
				v.add(*rep, c.print)
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

// dispatch serves calls to this host without the transport.
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
// 500 ms; calls to the other hosts go on.
func (c *Claim) Finish(ctx context.Context, o Outcome) {
	if len(o.Body) > maxStored {
		o = Outcome{Unknown: true}
	}
	c.spread(ctx, methodFinish, &o)
}

// Drop gives the key back. Call it only if the request provably did not run.
func (c *Claim) Drop(ctx context.Context) { c.spread(ctx, methodDrop, nil) }

func (c *Claim) spread(ctx context.Context, method string, o *Outcome) {
	body, err := carawayshift.Encode(wire{Key: c.key, Owner: c.owner, Print: c.print, Outcome: o})
	if err != nil {
		return
	}
	ctx = context.WithoutCancel(ctx)
	enough := make(chan struct{})
	var mu sync.Mutex
	left := majority(len(c.hosts))
	for _, host := range c.hosts {
		go func() {
			if !c.r.repeat(ctx, host, method, body) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if left--; left == 0 {
				close(enough)
			}
		}()
	}
	timer := time.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case <-enough:
	case <-timer.C:
	}
}

func (r *Registry) repeat(ctx context.Context, host, method string, body []byte) bool {
	for range finishTries {
		tctx, cancel := context.WithTimeout(ctx, roundLimit)
		rep := r.call(tctx, host, method, body)
		cancel()
		if rep != nil {
			return true
		}
		time.Sleep(maxPoll)
	}
	return false
}

// withMargin ends before the deadline, so that the caller hears the refusal.
func withMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	d, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, d.Add(-time.Until(d)/answerMargin))
}

func newOwner() string {
	var b [16]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}

func unreachable(text string) error {
	return carawayshift.NewError(carawayshift.NotRun, text, "send it again later with the same key")
}

func unknown(text string) error {
	return carawayshift.NewError(carawayshift.OutcomeUnknown, text, "send it again later with the same key to learn the outcome")
}
