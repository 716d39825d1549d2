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
	// unlisted holds machines that exist and are missing in the list, gone those that
	// don't exist.
	unlisted, gone map[string]bool
}

var machineNames = []string{"m-i-0", "m-i-1", "m-i-2", "m-i-3", "m-i-4"}

func (m *machines) List(context.Context) ([]carawayshift.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []carawayshift.Machine
	for _, name := range machineNames {
		if m.unlisted[name] || m.gone[name] {
			continue
		}
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
	if m.gone[machine] {
		return carawayshift.NewError(carawayshift.NotFound, "no machine "+machine, "")
	}
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

// A machine that the platform's list leaves out for some time gets its maintenance all the
// same, within the limit of the wave. One that does not exist is not waited for.
func TestUnlistedMachinesAreNotDone(t *testing.T) {
	m := &machines{
		backAt: map[string]time.Time{}, requests: map[string]int{}, unlisted: map[string]bool{"m-i-1": true, "m-i-3": true}, gone: map[string]bool{"m-i-4": true},
	}
	playWithServices(t, nil, m, func(r *rig) {
		o := NewWithT(t)
		r.mu.Lock()
		var a carawayshift.Answer
		o.Expect(r.applyLocked(carawayshift.Command{Kind: carawayshift.ChangeBatches, At: time.Now(), Batches: &carawayshift.BatchChange{
			Wave: &carawayshift.Wave{ID: 1, Machines: machineNames, Due: time.Now().Add(40 * time.Second), Limit: 1},
		}}, &a)).To(Succeed())
		r.mu.Unlock()
		time.Sleep(20 * time.Second)
		m.mu.Lock()
		m.unlisted = nil
		m.mu.Unlock()
		time.Sleep(20 * time.Second)
		waves := r.machine.Batches().Waves()
		o.Expect(waves).To(HaveLen(1))
		o.Expect(waves[0].Complete()).To(BeTrue())
		m.mu.Lock()
		defer m.mu.Unlock()
		o.Expect(m.maxDown).To(Equal(1))
		o.Expect(m.requests).To(HaveLen(4))
	})
}
