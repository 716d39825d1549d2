package leaderclient

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// reportTTL is how long a report is kept. Leaders ignore reports that are older
// than a few heartbeats.
const reportTTL = 10 * time.Second

// reportCache keeps the last report of each runner that this host has delivered
// to a leader, or of which a leader has sent it a copy.
type reportCache struct {
	mu   sync.Mutex
	last map[string]cachedReport
}

type cachedReport struct {
	agent carawayshift.Agent
	at    time.Time
	left  bool
	// copied is true for a copy.
	copied bool
}

func newReportCache() *reportCache { return &reportCache{last: map[string]cachedReport{}} }

// add stores a report unless a later one is stored, or the runner has left.
func (c *reportCache) add(a carawayshift.Agent) {
	c.put(cachedReport{agent: a, at: time.Now()})
}

// keep stores a copy of a report that another host received.
func (c *reportCache) keep(x carawayshift.AgentReport) {
	c.put(cachedReport{agent: x.Agent, at: time.Now().Add(-x.Age), left: x.Left, copied: true})
}

func (c *reportCache) put(x cachedReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.last[x.agent.ID]
	same := known && before.agent.Incarnation == x.agent.Incarnation
	older := before.agent.Sequence > x.agent.Sequence || before.agent.Sequence == x.agent.Sequence && x.copied
	if known && before.agent.Incarnation > x.agent.Incarnation || same && (before.left || older && !x.left) {
		return
	}
	c.last[x.agent.ID] = x
}

// markLeft records that a runner has exited, so that the next leader does not use
// an earlier report of it that another host has. Without an incarnation only a
// runner that has announced its exit is marked: the message may be late and come
// from an earlier incarnation.
func (c *reportCache) markLeft(id string, incarnation int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, known := c.last[id]
	switch {
	case !known && incarnation == 0:
		return
	case !known:
		x.agent = carawayshift.Agent{ID: id, Incarnation: incarnation}
	case incarnation == 0 && !x.agent.Leaving, incarnation != 0 && incarnation < x.agent.Incarnation:
		return
	case incarnation != 0:
		x.agent.Incarnation = incarnation
	}
	x.at, x.left, x.copied = time.Now(), true, false
	c.last[id] = x
}

// prune removes expired reports.
func (c *reportCache) prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.last, func(_ string, x cachedReport) bool { return time.Since(x.at) > reportTTL })
}

// list returns the reports that have not expired.
func (c *reportCache) list() []carawayshift.AgentReport {
	return c.listIf(func(cachedReport) bool { return true })
}

// listSince returns the reports that this host received itself from a time on.
func (c *reportCache) listSince(since time.Time) []carawayshift.AgentReport {
	return c.listIf(func(x cachedReport) bool { return !x.copied && !x.at.Before(since) })
}

func (c *reportCache) listIf(ok func(x cachedReport) bool) []carawayshift.AgentReport {
	c.prune()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]carawayshift.AgentReport, 0, len(c.last))
	for _, x := range c.last {
		if ok(x) {
			list = append(list, carawayshift.AgentReport{Agent: x.agent, Age: time.Since(x.at), Left: x.left})
		}
	}
	return list
}

// Recall fetches the runners' reports that all control hosts have delivered
// recently, so that a new leader knows the runners before they report again. It
// calls handle for each report, from several goroutines, and returns when all
// hosts have answered or ctx has ended.
func (c *Client) Recall(ctx context.Context, handle func(carawayshift.AgentReport)) {
	for _, x := range c.reports.list() {
		handle(x)
	}
	var wg sync.WaitGroup
	for _, host := range c.ControlHosts() {
		wg.Go(func() {
			sent := time.Now()
			a, err := c.send(ctx, host, request{Op: opRecall})
			if err == nil {
				err = a.err()
			}
			if err != nil {
				c.cfg.Logger.WithError(err).WithFields(logrus.Fields{"event": "reports not recalled", "peer": host}).Info("could not fetch runner reports from a control host; its runners become known with their next reports")
				return
			}
			c.restoreSpeeds(a.Speeds)
			for _, x := range a.Reports {
				x.Delay = time.Since(sent)
				handle(x)
			}
		})
	}
	wg.Wait()
}
