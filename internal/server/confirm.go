package server

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// confirmInterval bounds the proofs of leadership to four a second, for
	// any number of zones whose leases are renewed. A renewal may wait that
	// long: it is due every 0.6 s and a lease is valid for 1.9 s.
	confirmInterval = 250 * time.Millisecond
	confirmTimeout  = time.Second
)

// confirmer proves this host's leadership for many callers at once. Each
// caller gets the result of a round that began after its call, so a result is
// never older than the call.
type confirmer struct {
	// prove is one proof; it returns the term.
	prove func(ctx context.Context) (uint64, error)

	mu sync.Mutex
	// next is the round that has not begun yet, or nil.
	next *round
	last time.Time
}

type round struct {
	done chan struct{}
	term uint64
	err  error
}

// confirm joins the next round and returns its result.
func (c *confirmer) confirm(ctx context.Context) (uint64, error) {
	r := c.join()
	select {
	case <-r.done:
		return r.term, r.err
	case <-ctx.Done():
		return 0, carawayshift.NewError(carawayshift.Unavailable, "the leadership was not confirmed in time", "ask again")
	}
}

func (c *confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
		go c.run(c.next, time.Until(c.last.Add(confirmInterval)))
	}
	return c.next
}

func (c *confirmer) run(r *round, wait time.Duration) {
	defer close(r.done)
	time.Sleep(wait)
	c.mu.Lock()
	c.next, c.last = nil, time.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	r.term, r.err = c.prove(ctx)
}
