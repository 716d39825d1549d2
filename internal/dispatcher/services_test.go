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

// advisor issues tickets for one runner only and counts the calls.
type advisor struct {
	mu      sync.Mutex
	allowed string
	calls   int
}

func (a *advisor) Advise(_ context.Context, _ carawayshift.TaskName, runners []string) ([]carawayshift.Ticket, time.Duration, error) {
	time.Sleep(50 * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	for _, r := range runners {
		if r == a.allowed {
			return []carawayshift.Ticket{{Runner: r, Text: "ticket-" + r}}, 3 * time.Second, nil
		}
	}
	return nil, 3 * time.Second, nil
}

// machines simulates five machines whose maintenance takes two seconds.
type machines struct {
	mu sync.Mutex
	// backAt is when each machine returns from maintenance, maxDown the highest
	// number of machines that were down at the same time.
	backAt  map[string]time.Time
	maxDown int
	// requests counts the maintenance requests for each machine.
	requests map[string]int
}

var machineNames = []string{"m-i-0", "m-i-1", "m-i-2", "m-i-3", "m-i-4"}

func (m *machines) List(context.Context) ([]carawayshift.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []carawayshift.Machine
	for _, name := range machineNames {
		state := carawayshift.MachineUp
		if time.Now().Before(m.backAt[name]) {
			state = "upkeep"
		}
		list = append(list, carawayshift.Machine{Name: name, Pool: "fit", State: state, Runner: name[2:]})
	}
	return list, nil
}

func (m *machines) Upkeep(_ context.Context, _ string, _ uint64, machine string, _ int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[machine]++
	if m.requests[machine] > 1 {
		return nil
	}
	m.backAt[machine] = time.Now().Add(2 * time.Second)
	down := 0
	for _, at := range m.backAt {
		if time.Now().Before(at) {
			down++
		}
	}
	m.maxDown = max(m.maxDown, down)
	return nil
}

// playWithServices runs fn with a leader, five reporting runners and the given
// platform services, in simulated time.
func playWithServices(t *testing.T, a carawayshift.Advisor, m carawayshift.Machines, fn func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // lets the timers of the simulated runners expire
		}()
		r := newRig(t, 1, 5)
		r.advisor, r.machines, r.tickets = a, m, map[carawayshift.TaskName]string{}
		r.elect(ctx)
		r.sendReports(ctx)
		time.Sleep(2 * time.Second)
		fn(r)
	})
}

func TestAdvisedStepRunsOnlyWithTickets(t *testing.T) {
	a := &advisor{allowed: "i-3"}
	playWithServices(t, a, nil, func(r *rig) {
		o := NewWithT(t)
		advised := rigQueue
		advised.Advised = true
		r.submitTo("b", single(6), advised)
		time.Sleep(30 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
		r.mu.Lock()
		defer r.mu.Unlock()
		o.Expect(r.tickets).To(HaveLen(6))
		for task, text := range r.tickets {
			o.Expect(text).To(Equal("ticket-i-3"), task.String())
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		o.Expect(a.calls).To(BeNumerically("<", 20), "runners without a ticket are not queried again")
	})
}

func TestWaveKeepsItsLimitAndCompletes(t *testing.T) {
	m := &machines{backAt: map[string]time.Time{}, requests: map[string]int{}}
	playWithServices(t, nil, m, func(r *rig) {
		o := NewWithT(t)
		r.mu.Lock()
		var a carawayshift.Answer
		o.Expect(r.applyLocked(carawayshift.Command{Kind: carawayshift.ChangeBatches, At: time.Now(), Batches: &carawayshift.BatchChange{
			Wave: &carawayshift.Wave{ID: 1, Machines: machineNames, Due: time.Now().Add(40 * time.Second), Limit: 2},
		}}, &a)).To(Succeed())
		r.mu.Unlock()
		time.Sleep(40 * time.Second)
		waves := r.machine.Batches().Waves()
		o.Expect(waves).To(HaveLen(1))
		o.Expect(waves[0].Complete()).To(BeTrue())
		m.mu.Lock()
		defer m.mu.Unlock()
		o.Expect(m.maxDown).To(BeNumerically("<=", 2))
		o.Expect(m.requests).To(HaveLen(5))
	})
}
