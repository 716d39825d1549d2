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
// to a leader.
type reportCache struct {
	mu   sync.Mutex
	last map[string]cachedReport
}

type cachedReport struct {
	agent carawayshift.Agent
	at    time.Time
}

func newReportCache() *reportCache { return &reportCache{last: map[string]cachedReport{}} }

// add stores a report unless a later one of the same incarnation is stored.
func (c *reportCache) add(a carawayshift.Agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.last[a.ID]
	if known && before.agent.Incarnation == a.Incarnation && before.agent.Sequence > a.Sequence {
		return
	}
	c.last[a.ID] = cachedReport{a, time.Now()}
}

func (c *reportCache) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.last, id)
}

// prune removes expired reports.
func (c *reportCache) prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.last, func(_ string, x cachedReport) bool { return time.Since(x.at) > reportTTL })
}

// list returns the reports that have not expired.
func (c *reportCache) list() []carawayshift.AgentReport {
	c.prune()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]carawayshift.AgentReport, 0, len(c.last))
	for _, x := range c.last {
		list = append(list, carawayshift.AgentReport{Agent: x.agent, Age: time.Since(x.at)})
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
			for _, x := range a.Reports {
				x.Age += time.Since(sent)
				handle(x)
			}
		})
	}
	wg.Wait()
}
