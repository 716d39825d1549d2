package leaderclient

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// reportGap is how long a control host collects reports for one call to the
	// leader. The runners report every second or two.
	reportGap = 25 * time.Millisecond
	// reportTimeout bounds the delivery of a batch of reports: after a second
	// without a response a runner reports to another host.
	reportTimeout = 800 * time.Millisecond
)

// reportBatcher sends the reports that arrive at a control host within reportGap to
// the leader in one call, which costs the leader little more than a call for a
// single report. Each report is acknowledged only after the leader has accepted it.
type reportBatcher struct {
	send func(ctx context.Context, list []carawayshift.Agent) error

	mu   sync.Mutex
	open *reportBatch
}

// reportBatch is a batch that still takes reports, or is being sent.
type reportBatch struct {
	list []carawayshift.Agent
	// full is closed to send the batch before reportGap has passed.
	full chan struct{}
	once sync.Once
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// add returns once the leader has accepted a report. A runner that leaves is
// reported immediately: it exits some time after the acknowledgement.
func (b *reportBatcher) add(ctx context.Context, a carawayshift.Agent) error {
	b.mu.Lock()
	batch := b.open
	if batch == nil {
		batch = &reportBatch{full: make(chan struct{}), done: make(chan struct{})}
		b.open = batch
		go b.deliver(batch)
	}
	batch.list = append(batch.list, a)
	b.mu.Unlock()
	if a.Leaving {
		batch.once.Do(func() { close(batch.full) })
	}
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return carawayshift.NewError(carawayshift.OutcomeUnknown, "the leader did not answer in time", "report to another host")
	}
}

func (b *reportBatcher) deliver(batch *reportBatch) {
	timer := time.NewTimer(reportGap)
	select {
	case <-timer.C:
	case <-batch.full:
		timer.Stop()
	}
	b.mu.Lock()
	b.open = nil
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	batch.err = b.send(ctx, batch.list)
	close(batch.done)
}

// sendReports sends reports to the leader. A leader of an earlier release does not
// know calls with several reports and gets one call for each.
func (c *Client) sendReports(ctx context.Context, list []carawayshift.Agent) error {
	if len(list) == 1 {
		_, err := c.call(ctx, request{Op: opReport, Agent: &list[0]})
		return err
	}
	_, err := c.call(ctx, request{Op: opReports, Agents: list})
	if carawayshift.KindOf(err) != carawayshift.Malformed {
		return err
	}
	for i := range list {
		if _, err := c.call(ctx, request{Op: opReport, Agent: &list[i]}); err != nil {
			return err
		}
	}
	return nil
}
