package server

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// confirmInterval limits leadership confirmations to four per second for
	// any number of zones that renew their leases. Delaying a renewal that long
	// is safe: one is due every 0.6 s and a lease is valid for 1.9 s.
	confirmInterval = 250 * time.Millisecond
	confirmTimeout  = time.Second
)

// confirmer batches confirmations of this host's leadership: concurrent callers
// share one round. Each caller gets the result of a round that began after its
// call, so a result is never older than the call.
type confirmer struct {
	// confirmOnce confirms the leadership with a majority and returns the term.
	confirmOnce func(ctx context.Context) (uint64, error)

	mu sync.Mutex
	// next is the scheduled round, or nil.
	next *round
	last time.Time
}

type round struct {
	done chan struct{}
	term uint64
	err  error
}

// confirm waits for the next round and returns its result.
func (c *confirmer) confirm(ctx context.Context) (uint64, error) {
	r := c.join()
	select {
	case <-r.done:
		return r.term, r.err
	case <-ctx.Done():
		return 0, carawayshift.NewError(carawayshift.Unavailable, "the leadership was not confirmed in time", "retry the request")
	}
}

func (c *confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
		go c.runRound(c.next, time.Until(c.last.Add(confirmInterval)))
	}
	return c.next
}

func (c *confirmer) runRound(r *round, wait time.Duration) {
	defer close(r.done)
	time.Sleep(wait)
	c.mu.Lock()
	c.next, c.last = nil, time.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	r.term, r.err = c.confirmOnce(ctx)
}
