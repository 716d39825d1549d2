package dispatcher

import (
	"context"
	"fmt"
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
	// rig, if not nil, has the runners of the machines, which crash when maintenance
	// begins. violations are the machines that were taken down with a task at work while
	// another task was not.
	rig        *rig
	violations []string
	// loseRequests, lateRequests and loseAnswers count the next requests that are lost or
	// carried out seconds later, and the next answers that are lost.
	loseRequests, lateRequests, loseAnswers int
}

func (m *machines) requestCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.requests)
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

func (m *machines) Upkeep(ctx context.Context, _ string, _ uint64, machine string, _ int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone[machine] {
		return carawayshift.NewError(carawayshift.NotFound, "no machine "+machine, "")
	}
	if m.loseRequests > 0 {
		m.loseRequests--
		return errNoAnswer
	}
	if m.lateRequests > 0 {
		m.lateRequests--
		time.AfterFunc(12*time.Second, func() { _ = m.Upkeep(ctx, "", 0, machine, 0) })
		return errNoAnswer
	}
	m.requests[machine]++
	if m.requests[machine] > 1 {
		return nil
	}
	if m.rig != nil {
		m.takeDown(machine)
	}
	m.backAt[machine] = time.Now().Add(2 * time.Second)
	down := 0
	for _, at := range m.backAt {
		if time.Now().Before(at) {
			down++
		}
	}
	m.maxDown = max(m.maxDown, down)
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return errNoAnswer
	}
	return nil
}

// takeDown crashes the runner of a machine, and cuts it off for the maintenance. The
// caller holds m.mu.
func (m *machines) takeDown(machine string) {
	here, elsewhere := 0, 0
	for id := range m.rig.agents {
		switch n := m.rig.tasksAtWork(id); {
		case "m-"+id == machine:
			here += n
		default:
			elsewhere += n
		}
	}
	if here > 0 && here+elsewhere < len(machineNames) {
		m.violations = append(m.violations, fmt.Sprintf("%s was taken down with a task at work, %d others were at work:\n%s", machine, elsewhere, m.rig.trace.about("")))
	}
	id := machine[2:]
	m.rig.net.setCut(id, true)
	m.rig.agents[id].Crash()
	time.AfterFunc(2*time.Second, func() { m.rig.net.setCut(id, false) })
}

// tasksAtWork returns the number of long-running tasks that are at work on a runner.
func (r *rig) tasksAtWork(id string) (n int) {
	for _, run := range r.agents[id].Status().Running {
		if run.Percent == 100 {
			n++
		}
	}
	return n
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
		r.ctx, r.advisor, r.machines, r.tickets = ctx, a, m, map[carawayshift.TaskName]string{}
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

// A wave takes down several machines at once, each of which has one task of a step of which
// only one may be unavailable. The tasks must go down one after the other, also while the
// platform's list leaves machines out, while its answers are lost, under a new leader, and
// when there are two waves.
func TestWavesKeepTasksAvailable(t *testing.T) {
	tests := []struct {
		name   string
		change func(m *machines)
		// trouble is called a second after the first request.
		trouble func(r *rig, m *machines)
		waves   [][]string
	}{
		{"one wave", nil, nil, [][]string{machineNames}},
		{"two waves", nil, nil, [][]string{machineNames[:2], machineNames[2:]}},
		{"machines are not listed", func(m *machines) { m.unlisted = map[string]bool{"m-i-0": true, "m-i-1": true} }, listAll, [][]string{machineNames}},
		{"answers of the platform are lost", func(m *machines) { m.loseAnswers = 3 }, nil, [][]string{machineNames}},
		{"requests to the platform are lost", func(m *machines) { m.loseRequests = 3 }, nil, [][]string{machineNames}},
		{"requests to the platform are late", func(m *machines) { m.lateRequests = 3 }, nil, [][]string{machineNames}},
		{"a new leader", func(m *machines) { m.loseRequests = 1 }, func(r *rig, _ *machines) { r.elect(r.ctx) }, [][]string{machineNames}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &machines{backAt: map[string]time.Time{}, requests: map[string]int{}}
			if tt.change != nil {
				tt.change(m)
			}
			playWithServices(t, nil, m, func(r *rig) {
				o := NewWithT(t)
				m.rig = r
				r.takes = func(carawayshift.TaskName) time.Duration { return time.Hour }
				r.submit("b", carawayshift.Step{Count: 5, MilliCores: 3000, Memory: 100, Declared: time.Hour, LongRunning: true, MaxUnavailable: 1})
				time.Sleep(8 * time.Second)
				for i, names := range tt.waves {
					r.mu.Lock()
					var a carawayshift.Answer
					o.Expect(r.applyLocked(carawayshift.Command{Kind: carawayshift.ChangeBatches, At: time.Now(), Batches: &carawayshift.BatchChange{
						Wave: &carawayshift.Wave{ID: i + 1, Machines: names, Due: time.Now().Add(10 * time.Second), Limit: 3},
					}}, &a)).To(Succeed())
					r.mu.Unlock()
				}
				for tt.trouble != nil && m.requestCount() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(time.Second)
				if tt.trouble != nil {
					tt.trouble(r, m)
				}
				time.Sleep(3 * time.Minute)
				for _, w := range r.machine.Batches().Waves() {
					o.Expect(w.Complete()).To(BeTrue(), "wave %d", w.ID)
				}
				o.Expect(m.requestCount()).To(BeNumerically(">=", 5))
				m.mu.Lock()
				defer m.mu.Unlock()
				o.Expect(m.violations).To(BeEmpty())
			})
		})
	}
}

// A plan preempts a long-running task while a machine with another task of its step is
// taken down: the stop must not be sent as well.
func TestPreemptionHeedsMaintenance(t *testing.T) {
	playWithServices(t, nil, &machines{}, func(r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return time.Hour }
		r.submit("b", carawayshift.Step{Count: 2, MilliCores: 3000, Memory: 100, Declared: time.Hour, LongRunning: true, MaxUnavailable: 1})
		time.Sleep(8 * time.Second)
		_, open := r.machine.Batches().OpenWork()
		o.Expect(open).To(HaveLen(2))
		first := "m-" + open[0].Runner
		r.mu.Lock()
		var a carawayshift.Answer
		o.Expect(r.applyLocked(carawayshift.Command{Kind: carawayshift.ChangeBatches, At: time.Now(), Batches: &carawayshift.BatchChange{
			Wave: &carawayshift.Wave{ID: 1, Machines: []string{first}, Due: time.Now().Add(time.Hour), Limit: 1},
		}}, &a)).To(Succeed())
		r.mu.Unlock()
		term := r.leader().current()
		term.mu.Lock()
		defer term.mu.Unlock()
		stop := carawayshift.DispatchStop{Task: open[1].Task, Run: open[1].Run, Runner: open[1].Runner}
		o.Expect(term.mayInterrupt(stop)).To(BeTrue())
		term.maintenanceRequested[waveMachine{1, first}] = time.Now().Add(requestPending)
		o.Expect(term.mayInterrupt(stop)).To(BeFalse())
	})
}

// listAll ends that machines are not listed, after a while.
func listAll(_ *rig, m *machines) {
	time.Sleep(20 * time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unlisted = nil
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

// A best-effort task was slowed down to nothing for a serving task on its runner. It must
// not stay so once that has ended.
func TestBestEffortTaskSpeedsUpOnceAlone(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return time.Hour }
		time.Sleep(2 * time.Second)
		r.submit("serve", carawayshift.Step{Count: 1, MilliCores: 1000, Memory: 100, LongRunning: true, TailLatency: 100 * time.Millisecond})
		r.submit("fill", carawayshift.Step{Count: 1, MilliCores: 1000, Memory: 100, LongRunning: true, BestEffort: true})
		time.Sleep(time.Second)
		r.cancel("serve")
		time.Sleep(3 * time.Second)
		term := r.leader().current()
		speed := func(set int) int {
			term.mu.Lock()
			defer term.mu.Unlock()
			fill := term.sessions["i-0"].find(carawayshift.TaskName{Batch: "fill"}, 1)
			if set >= 0 {
				fill.percent = set
			}
			return fill.percent
		}
		speed(0)
		time.Sleep(5 * time.Second)
		o.Expect(speed(-1)).To(Equal(fullSpeed))
	})
}
