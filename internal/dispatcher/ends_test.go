package dispatcher

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// A runner that is cut off ends more runs than one status lists. The ones that the first
// status after the cut leaves out have finished; they must not be started again, also by
// a leader that was elected during the cut.
func TestUnlistedEndsAreNotLost(t *testing.T) {
	tests := []struct {
		name  string
		elect bool
	}{
		{"same leader", false},
		{"a new leader", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 1, 1, func(ctx context.Context, r *rig) {
				o := NewWithT(t)
				r.takes = func(carawayshift.TaskName) time.Duration { return 2 * time.Second }
				time.Sleep(2 * time.Second)
				r.submit("b", carawayshift.Step{Count: 5*rigMaxEnds + 1, MilliCores: 100, Memory: 100, Declared: 2 * time.Second})
				time.Sleep(time.Second)
				r.net.setCut("i-0", true)
				if tt.elect {
					r.elect(ctx)
				}
				time.Sleep(2 * time.Second)
				r.net.setCut("i-0", false)
				time.Sleep(8 * time.Second)
				o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
				for task, n := range r.starts {
					o.Expect(n).To(Equal(1), task.String())
				}
			})
		})
	}
}

// A batch has more occurrences due than fit into one command. Batches of others must go on.
func TestDueOccurrencesDelayNoOtherBatch(t *testing.T) {
	play(t, 1, 4, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return time.Second }
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		var a carawayshift.Answer
		step := single(1)
		o.Expect(r.applyLocked(carawayshift.Command{Kind: carawayshift.ChangeBatches, At: time.Now(), Batches: &carawayshift.BatchChange{Submit: &carawayshift.Batch{
			ID: "week", Team: "carnival", Steps: []carawayshift.Step{step}, Queue: rigQueue,
			Repeat: 1_300_000, First: time.Now().Add(-7 * 24 * time.Hour), Interval: 2 * time.Second,
		}}}, &a)).To(Succeed())
		r.mu.Unlock()
		time.Sleep(3 * time.Second)
		r.submit("sound", single(1))
		time.Sleep(5 * time.Second)
		o.Expect(r.state("sound")).To(Equal(carawayshift.BatchFinished))
		ended, _ := r.progress("week")
		o.Expect(ended).To(BeNumerically(">", 50), "all accelerators are used")
		r.cancel("week")
		time.Sleep(2 * time.Second)
	})
}

// A start that was requested and not confirmed has not begun.
func TestHasBegunOnlyOnceConfirmed(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 3 * time.Second }
		time.Sleep(2 * time.Second)
		begun := func() (list []carawayshift.TaskName) {
			for _, open := range r.machine.Batches().NotBegun("q") {
				for _, s := range open {
					if r.leader().HasBegun(s) {
						list = append(list, s.Task)
					}
				}
			}
			return list
		}
		r.net.setCut("i-0", true)
		r.submit("b", single(2))
		time.Sleep(300 * time.Millisecond)
		_, runs := r.machine.Batches().OpenWork()
		o.Expect(runs).To(HaveLen(2))
		o.Expect(begun()).To(BeEmpty())
		time.Sleep(5 * time.Second) // by then the starts have been given up
		r.net.setCut("i-0", false)
		started := func() (list []carawayshift.TaskName) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for task := range r.starts {
				list = append(list, task)
			}
			return list
		}
		for len(started()) < 2 {
			for _, task := range begun() {
				o.Expect(started()).To(ContainElement(task))
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		o.Expect(begun()).To(HaveLen(2))
		time.Sleep(8 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
	})
}

// A runner exits while there is no leader, and the next leader's first plan stops its run
// since it exits soon. The stop is never answered; the task must start elsewhere once the
// lease has expired.
func TestUnansweredStopOfAdoptedRunEnds(t *testing.T) {
	play(t, 1, 2, func(ctx context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 4 * time.Second }
		time.Sleep(2 * time.Second)
		r.submit("b", carawayshift.Step{Count: 2, MilliCores: 3000, Memory: 100, Declared: 4 * time.Second})
		time.Sleep(500 * time.Millisecond)
		leaving := r.agents["i-0"].Report()
		leaving.Sequence, leaving.Leaving, leaving.Remaining = 1000, true, 100*time.Millisecond
		r.mu.Lock()
		r.mute["i-0"] = true
		r.mu.Unlock()
		r.net.setRefuse("i-0", true)
		r.agents["i-0"].Crash()
		r.recall = func(_ context.Context, handle func(carawayshift.AgentReport)) {
			handle(carawayshift.AgentReport{Agent: leaving, Age: 100 * time.Millisecond})
		}
		r.elect(ctx)
		time.Sleep(rigTiming.Lease + 8*time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
	})
}

// A runner starts again under its id and is then cut off for good: its new incarnation never
// answers, and its tasks must start elsewhere.
func TestUnansweredStopOfRebornRunnerEnds(t *testing.T) {
	play(t, 1, 2, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 4 * time.Second }
		time.Sleep(2 * time.Second)
		r.submit("b", carawayshift.Step{Count: 2, MilliCores: 3000, Memory: 100, Declared: 4 * time.Second})
		time.Sleep(500 * time.Millisecond)
		r.agents["i-0"].Crash()
		reborn := r.agents["i-0"].Report()
		reborn.Sequence = 1
		r.leader().current().admitReport(reborn)
		r.net.setCut("i-0", true)
		time.Sleep(rigTiming.Lease + 8*time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
	})
}

// admitReport handles a report as if the reported runner had been verified.
func (t *leaderTerm) admitReport(a carawayshift.Agent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admit(a, time.Now())
}

// After a long cut, thousands of runners report their ends at once.
func TestChangesAreLimited(t *testing.T) {
	o := NewWithT(t)
	end := func(checkpoint int) pendingEnd {
		return pendingEnd{end: carawayshift.RunEnd{Checkpoint: strings.Repeat("c", checkpoint)}}
	}
	many, large := make([]pendingEnd, 100_000), make([]pendingEnd, 100)
	for i := range large {
		large[i] = end(maxChangeBytes / 10)
	}
	o.Expect(endsPerChange(many)).To(Equal(maxChangeItems))
	o.Expect(endsPerChange(large)).To(Equal(10))
	o.Expect(endsPerChange([]pendingEnd{end(2 * maxChangeBytes), end(1)})).To(Equal(1))
	o.Expect(endsPerChange(many[:3])).To(Equal(3))

	starts := make([]carawayshift.DispatchStart, 5000)
	for i := range starts {
		starts[i].Task = carawayshift.TaskName{Batch: "b", Step: i / 1500, Index: i}
	}
	o.Expect(startsPerChange(starts)).To(Equal(1500), "a gang is not divided")
	o.Expect(startsPerChange(starts[:700])).To(Equal(700))
}
