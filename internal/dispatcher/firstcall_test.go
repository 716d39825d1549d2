package dispatcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// countingClient answers renewals after a round trip, and counts those in flight.
type countingClient struct {
	idleClient
	mu                   sync.Mutex
	open, most, answered int
	kept                 bool
}

func (c *countingClient) Renew(_ context.Context, call carawayshift.AgentCall, _ uint64, _, _ time.Duration) (carawayshift.AgentStatus, error) {
	c.mu.Lock()
	c.open++
	c.most = max(c.most, c.open)
	c.kept = c.kept || !call.Single
	c.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.answered++
	return carawayshift.AgentStatus{Incarnation: 1}, nil
}

// Guards against a new leader that runs out of descriptors, since it connects to thousands of
// runners at once and keeps the connections.
func TestFirstCallsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		term := newBenchTerm(t, ctx, 0)
		client := &countingClient{}
		term.client = client
		reportAll(term, 3000)
		time.Sleep(time.Second)
		synctest.Wait()
		client.mu.Lock()
		o.Expect(client.answered).To(Equal(3000), "first calls")
		o.Expect(client.most).To(BeNumerically("<=", 256), "in flight")
		o.Expect(client.kept).To(BeFalse(), "connections are kept")
		client.mu.Unlock()
		cancel()
		term.wait()
	})
}
