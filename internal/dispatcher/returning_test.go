package dispatcher

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// Guards against an order that a leader sent to an earlier incarnation of a runner and that
// the next one executes, since nobody has called it yet: the runner leaves in good order and
// starts again under its id, while the task runs elsewhere.
func TestReturningRunnerRefusesEarlierStarts(t *testing.T) {
	tests := []struct {
		name string
		// electBefore and electAfter change the leader before and after the runner's next
		// incarnation has reported.
		electBefore, electAfter bool
		// planTime is how long each plan of the new leader takes.
		planTime time.Duration
	}{
		{"the leader stays", false, false, 0},
		{"a new leader before the report", true, false, 0},
		{"a new leader before the report, which is making a plan", true, false, 3 * time.Second},
		{"a new leader after the report", false, true, 0},
		{"new leaders before and after the report", true, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 1, 2, func(ctx context.Context, r *rig) {
				o := NewWithT(t)
				r.takes = func(carawayshift.TaskName) time.Duration { return 6 * time.Second }
				time.Sleep(2 * time.Second)
				r.mu.Lock()
				r.net.startFates = []fate{late}
				r.mu.Unlock()
				r.submit("b", single(1))
				time.Sleep(time.Second)
				task := carawayshift.TaskName{Batch: "b"}
				o.Expect(r.startsOf(task)).To(Equal(1), "the start was sent again")
				_, open := r.machine.Batches().OpenWork()
				id := open[0].Runner

				r.setMute(id)
				leaving := r.agents[id].Report()
				leaving.Sequence, leaving.Leaving, leaving.Remaining = 99, true, 500*time.Millisecond
				o.Expect(r.leader().Report(leaving)).To(Succeed())
				time.Sleep(time.Second)
				o.Expect(r.outcomes(task)).To(Equal([]carawayshift.RunOutcome{carawayshift.RunStopped}))
				o.Expect(r.leader().Leave(id, 1)).To(Succeed())
				r.agents[id].Crash()
				r.planner = slowPlanner{r.planner, tt.planTime}
				if tt.electBefore {
					r.elect(ctx)
					time.Sleep(50 * time.Millisecond)
				}
				returned := r.agents[id].Report()
				returned.Sequence = 1
				o.Expect(r.leader().Report(returned)).To(Succeed())
				if tt.electAfter {
					r.elect(ctx)
					time.Sleep(50 * time.Millisecond)
					returned.Sequence = 2
					o.Expect(r.leader().Report(returned)).To(Succeed())
				}
				time.Sleep(20 * time.Second)
				o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
				o.Expect(r.startsOf(task)).To(Equal(2), "runs that began"+r.trace.about(task.String()))
			})
		})
	}
}

// startsOf returns how many runs of a task began.
func (r *rig) startsOf(task carawayshift.TaskName) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

// slowPlanner takes some time for each plan.
type slowPlanner struct {
	carawayshift.Dispatcher
	time time.Duration
}

func (p slowPlanner) Dispatch(in carawayshift.DispatchInput) carawayshift.Dispatch {
	time.Sleep(p.time)
	return p.Dispatcher.Dispatch(in)
}

// Guards against a run that goes on although no table has it: the runner's next incarnation
// has executed a late order before it was called, and the stop of that run gets no answer.
func TestUnexpectedRunIsStoppedUntilItIsGone(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		task := r.returnWithLateRun("i-0")
		r.net.setRenewDelay("i-0", 50*time.Millisecond)
		o.Expect(r.leader().Report(r.firstReport("i-0"))).To(Succeed())
		time.Sleep(20 * time.Millisecond)
		r.net.setCut("i-0", true) // the status arrives, the stop does not
		time.Sleep(time.Second)
		r.net.setCut("i-0", false)
		time.Sleep(2 * time.Second)
		o.Expect(r.outcomes(task)).To(Equal([]carawayshift.RunOutcome{carawayshift.RunStopped, carawayshift.RunStopped}))
	})
}

// Guards against starts on a runner while an unexpected run still takes its room.
func TestUnexpectedRunTakesRoomUntilItIsGone(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.returnWithLateRun("i-0")
		o.Expect(r.leader().Report(r.firstReport("i-0"))).To(Succeed())
		time.Sleep(10 * time.Millisecond)
		r.submit("c", single(4)) // takes all accelerators
		time.Sleep(100 * time.Millisecond)
		_, open := r.progress("c")
		o.Expect(open).To(BeZero())
		time.Sleep(time.Second)
		_, open = r.progress("c")
		o.Expect(open).To(Equal(4))
	})
}

// returnWithLateRun lets a runner leave and start again under its id, and execute the start
// of a task, whose batch was cancelled, before it reports itself.
func (r *rig) returnWithLateRun(id string) (task carawayshift.TaskName) {
	r.takes = func(carawayshift.TaskName) time.Duration { return 6 * time.Second }
	time.Sleep(2 * time.Second)
	r.mu.Lock()
	r.net.startFates = []fate{late}
	r.mu.Unlock()
	r.submit("b", single(1))
	time.Sleep(time.Second)
	r.cancel("b")
	time.Sleep(time.Second)
	r.setMute(id)
	leaving := r.agents[id].Report()
	leaving.Sequence, leaving.Leaving = 99, true
	_ = r.leader().Report(leaving)
	_ = r.leader().Leave(id, leaving.Incarnation)
	r.agents[id].Crash()
	time.Sleep(lateBy - 1900*time.Millisecond)
	return carawayshift.TaskName{Batch: "b"}
}

func (r *rig) firstReport(id string) carawayshift.Agent {
	a := r.agents[id].Report()
	a.Sequence = 1
	return a
}
