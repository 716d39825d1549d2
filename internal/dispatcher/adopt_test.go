package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// A leader is lost after it has committed starts and before it has sent all of them. The
// next leader sends the others, instead of stopping those that began and starting anew.
func TestNewLeaderSendsCommittedStarts(t *testing.T) {
	tests := []struct {
		name   string
		need   carawayshift.Step
		fates  []fate
		closed []string // zones that are taken out before the next leader is elected
		limit  time.Duration
	}{
		{"single tasks, none was sent", single(4), []fate{lost, lost, lost, lost}, nil, 2 * time.Second},
		{"single tasks, some are on their way", single(4), []fate{late, delivered, late, lost}, nil, 2 * time.Second},
		{"a gang of which some members began", together(4), []fate{delivered, lost, delivered, lost}, nil, 2 * time.Second},
		{"their zones are taken out", single(4), []fate{lost, lost, lost, lost}, []string{"z0", "z1"}, 20 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 1, 6, func(ctx context.Context, r *rig) {
				o := NewWithT(t)
				r.takes = func(carawayshift.TaskName) time.Duration { return time.Second }
				time.Sleep(2 * time.Second)
				r.mu.Lock()
				r.net.startFates = tt.fates
				r.mu.Unlock()
				r.submit("b", tt.need)
				time.Sleep(50 * time.Millisecond)
				r.closeZones(tt.closed...)
				r.elect(ctx)
				time.Sleep(tt.limit)
				o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
				for task, list := range r.ended {
					o.Expect(list).To(HaveEach(carawayshift.RunFinished), task.String())
				}
			})
		})
	}
}

// A batch is cancelled while there is no leader. The next leader asks for the stop of a run
// before its session has adopted it; the run must be stopped all the same.
func TestRunIsStoppedOnceItIsAdopted(t *testing.T) {
	play(t, 1, 1, func(ctx context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return time.Hour }
		time.Sleep(2 * time.Second)
		r.submit("b", single(1))
		time.Sleep(time.Second)
		_, open := r.machine.Batches().OpenWork()
		o.Expect(open).To(HaveLen(1))
		r.setMute("i-0")
		r.depose()
		r.cancel("b")
		r.elect(ctx)
		time.Sleep(10 * time.Millisecond)

		term := r.leader().current()
		term.mu.Lock()
		term.sessions["i-0"] = newSession(term, r.agents["i-0"].Report(), time.Now())
		term.stopLocked(open[0].Task, open[0].Run, "i-0", "its batch has ended")
		term.mu.Unlock()
		synctest.Wait() // the stop is handled before the next plan adopts the run
		time.Sleep(2 * time.Second)
		o.Expect(r.outcomes(open[0].Task)).To(Equal([]carawayshift.RunOutcome{carawayshift.RunStopped}))
	})
}

// A new leader gives up a run whose runner has not reported until its lease has expired.
// The runner reports before that is committed: the run must not be adopted and sent to it
// again, since its task starts elsewhere.
func TestRunThatIsGivenUpIsNotAdopted(t *testing.T) {
	play(t, 1, 1, func(ctx context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 2 * time.Second }
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.net.startFates = []fate{lost}
		r.mu.Unlock()
		r.submit("b", single(1))
		time.Sleep(100 * time.Millisecond)
		r.setMute("i-0")
		r.elect(ctx)
		time.Sleep(10 * time.Millisecond)

		term := r.leader().current()
		_, open := r.machine.Batches().OpenWork()
		o.Expect(open).To(HaveLen(1))
		term.mu.Lock()
		term.started = time.Now().Add(-term.leaseExpiry() - time.Second)
		term.adoptOpenRuns(open)
		s := newSession(term, r.agents["i-0"].Report(), time.Now())
		term.sessions["i-0"] = s
		term.adoptOpenRuns(open)
		adopted := s.find(open[0].Task, open[0].Run)
		term.mu.Unlock()
		o.Expect(adopted).To(BeNil())
		time.Sleep(10 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
	})
}
