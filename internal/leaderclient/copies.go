package leaderclient

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// copyInterval is the interval at which a leader copies reports to other control
	// hosts, copyTimeout bounds one call.
	copyInterval = 300 * time.Millisecond
	copyTimeout  = 300 * time.Millisecond
	// copyHosts is the number of control hosts that get copies: one of them may be
	// lost together with the leader.
	copyHosts = 2
)

// copier copies the reports that a leader has received itself to other control hosts.
// Otherwise they would be lost with the leader, and the next one would know neither
// the runners nor the ends of their runs until they report again.
type copier struct {
	reports *reportCache
	// hosts returns the other control hosts.
	hosts func() []string
	send  func(ctx context.Context, host string, list []carawayshift.AgentReport) error

	mu sync.Mutex
	// sent holds the hosts that get copies, and the time up to which they have them.
	sent map[string]time.Time
	// next is the position in hosts from which a host is taken in place of one that
	// does not answer.
	next int
}

// run copies reports while leads returns true, until ctx ends.
func (c *copier) run(ctx context.Context, leads func() bool) {
	for ctx.Err() == nil {
		if leads() {
			c.copyOnce(ctx)
		} else {
			c.sent = nil
		}
		pause.For(ctx, copyInterval)
	}
}

// copyOnce sends each host the reports that it has not got yet.
func (c *copier) copyOnce(ctx context.Context) {
	c.selectHosts()
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for host, since := range maps.Clone(c.sent) {
		now := time.Now()
		list := c.reports.listSince(since)
		if len(list) == 0 {
			continue
		}
		wg.Go(func() {
			err := c.send(ctx, host, list)
			c.mu.Lock()
			defer c.mu.Unlock()
			if err != nil {
				delete(c.sent, host) // another host gets the copies from now on
				return
			}
			c.sent[host] = now
		})
	}
	wg.Wait()
}

// selectHosts replaces hosts that did not answer or are no longer control hosts.
func (c *copier) selectHosts() {
	hosts := c.hosts()
	if c.sent == nil {
		c.sent = map[string]time.Time{}
	}
	maps.DeleteFunc(c.sent, func(host string, _ time.Time) bool { return !slices.Contains(hosts, host) })
	for range hosts {
		if len(c.sent) >= copyHosts {
			return
		}
		host := hosts[c.next%len(hosts)]
		c.next++
		if _, ok := c.sent[host]; !ok {
			c.sent[host] = time.Time{}
		}
	}
}

// sendCopies sends copies of reports to a control host.
func (c *Client) sendCopies(ctx context.Context, host string, list []carawayshift.AgentReport) error {
	now := time.Now()
	a, err := c.send(ctx, host, request{Op: opKeep, Reports: list, Speeds: c.knownSpeeds(c.speedsSent(host))})
	if err == nil {
		err = a.err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		delete(c.speedsAt, host)
		return err
	}
	c.speedsAt[host] = now
	return nil
}

// speedsSent returns the time up to which a host has the speeds of the runners.
func (c *Client) speedsSent(host string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.speedsAt[host]
}

// knownSpeeds returns the speeds that have changed from a time on.
func (c *Client) knownSpeeds(since time.Time) []carawayshift.RunnerSpeed {
	if c.cfg.Speeds == nil {
		return nil
	}
	return c.cfg.Speeds.Snapshot(since, time.Now())
}

func (c *Client) restoreSpeeds(list []carawayshift.RunnerSpeed) {
	if c.cfg.Speeds != nil {
		c.cfg.Speeds.Restore(list, time.Now())
	}
}

// otherMembers returns the control hosts of the group other than this one.
func (c *Client) otherMembers() []string {
	return slices.DeleteFunc(slices.Sorted(slices.Values(c.group.Hosts())), func(h string) bool { return h == c.cfg.Host })
}
