package worker

import (
	"context"
	"time"

	"carawayshift.example/carawayshift"
)

// listTTL is how long a list that was fetched from the leader is cached.
const listTTL = 500 * time.Millisecond

// workerList is the reply to worker.list: the leader's table of all zones.
type workerList struct {
	Workers []carawayshift.Worker `cbor:"1,keyasint,omitempty"`
}

// FetchAll returns the workers of all zones from the leader's table, or only this
// zone's workers if the leader can't be reached.
func (c *Client) FetchAll(ctx context.Context) []carawayshift.Worker {
	leader := c.opts.Leader()
	if leader == c.opts.Host {
		return c.All()
	}
	c.mu.Lock()
	list, fetched := c.cachedList, c.fetchedAt
	c.mu.Unlock()
	if time.Since(fetched) < listTTL {
		return list
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply workerList
	if leader == "" || c.callPeer(ctx, leader, "worker.list", workerList{}, &reply) != nil {
		return c.Workers()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedList, c.fetchedAt = reply.Workers, time.Now()
	return reply.Workers
}

func (c *Client) handleList(context.Context, string, []byte) ([]byte, error) {
	return carawayshift.Encode(workerList{Workers: c.All()})
}
