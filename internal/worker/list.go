package worker

import (
	"context"
	"time"

	"carawayshift.example/carawayshift"
)

// listAge is how long a list that was fetched from the leader is used again.
const listAge = 500 * time.Millisecond

// listing is the leader's table of all zones.
type listing struct {
	Workers []carawayshift.Worker `cbor:"1,keyasint,omitempty"`
}

// FetchAll returns the workers of all zones: the leader's table, or this
// zone's workers when the leader can't be reached.
func (c *Client) FetchAll(ctx context.Context) []carawayshift.Worker {
	leader := c.opts.Leader()
	if leader == c.opts.Host {
		return c.All()
	}
	c.mu.Lock()
	list, fetched := c.list, c.fetched
	c.mu.Unlock()
	if time.Since(fetched) < listAge {
		return list
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply listing
	if leader == "" || c.callPeer(ctx, leader, "worker.list", listing{}, &reply) != nil {
		return c.Workers()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list, c.fetched = reply.Workers, time.Now()
	return reply.Workers
}

func (c *Client) handleList(context.Context, string, []byte) ([]byte, error) {
	return carawayshift.Encode(listing{Workers: c.All()})
}
