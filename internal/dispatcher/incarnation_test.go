package dispatcher

import (
	"context"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// A runner starts again under its id. It executes a start that was meant for its earlier
// incarnation, and is cut off before the leader learns of that. The ends that the leader
// has committed were those of the earlier incarnation: acknowledging them again would make
// the new one forget the end of its run, and the finished task would run once more.
func TestEndsOfNewIncarnationAreNotAcknowledgedUnseen(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 2 * time.Second }
		time.Sleep(2 * time.Second)
		r.submit("a", single(3))
		time.Sleep(4 * time.Second)
		o.Expect(r.state("a")).To(Equal(carawayshift.BatchFinished))
		r.setMute("i-0")
		r.agents["i-0"].Crash()
		r.mu.Lock()
		r.net.startFates = []fate{answerLost}
		r.mu.Unlock()
		r.submit("b", single(1))
		time.Sleep(100 * time.Millisecond)
		r.net.setCut("i-0", true)
		time.Sleep(4 * time.Second)
		r.net.setCut("i-0", false)
		time.Sleep(5 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
		o.Expect(r.starts[carawayshift.TaskName{Batch: "b"}]).To(Equal(1))
	})
}

// The first start request of a task gets no answer and is executed seconds later; by then
// the second one has run to its end, and the runner has started again under its id.
func TestNewIncarnationRefusesEarlierStarts(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return time.Second }
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.net.startFates = []fate{late}
		r.mu.Unlock()
		r.submit("b", single(1))
		time.Sleep(lateBy - 500*time.Millisecond)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
		r.agents["i-0"].Crash()
		reborn := r.agents["i-0"].Report()
		reborn.Sequence = 1
		o.Expect(r.leader().Report(reborn)).To(Succeed())
		time.Sleep(2 * time.Second)
		o.Expect(r.starts[carawayshift.TaskName{Batch: "b"}]).To(Equal(1))
	})
}

// The clock in the answer to a start shows that another incarnation has executed it. Its
// status is requested at once, although its reports are lost.
func TestClockShowsThatRunnerHasRestarted(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return time.Second }
		time.Sleep(2 * time.Second)
		r.setMute("i-0")
		r.agents["i-0"].Crash()
		r.net.setRenewDelay("i-0", 100*time.Millisecond)
		r.submit("b", single(1))
		time.Sleep(200 * time.Millisecond)
		term := r.leader().current()
		term.mu.Lock()
		incarnation := term.sessions["i-0"].agent.Incarnation
		term.mu.Unlock()
		o.Expect(incarnation).To(Equal(int64(2)))
	})
}

// A runner has seen a fencing token that no leader of this deployment has sent. It must
// not keep the leader from using the others.
func TestWrongTokenOfRunnerStopsNothing(t *testing.T) {
	play(t, 1, 2, func(ctx context.Context, r *rig) {
		o := NewWithT(t)
		time.Sleep(2 * time.Second)
		r.submit("a", single(6))
		time.Sleep(200 * time.Millisecond)
		call := carawayshift.AgentCall{Agent: carawayshift.Agent{ID: "i-0"}, Fence: math.MaxUint64}
		_, err := r.agents["i-0"].Renew(ctx, call, 0, 0, 0)
		o.Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Second)
		o.Expect(r.state("a")).To(Equal(carawayshift.BatchFinished))
		r.submit("b", single(6))
		time.Sleep(10 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
	})
}

// Guards against a run that is recorded as lost although its start may still be executed:
// the runner starts again under its id while the request is in flight, and is cut off
// before a call of the new session reaches it.
func TestStartInFlightDuringRestartMayStillBeExecuted(t *testing.T) {
	play(t, 1, 2, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 5 * time.Second }
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.net.startFates = []fate{late}
		r.mu.Unlock()
		r.submit("b", single(1))
		time.Sleep(100 * time.Millisecond)
		_, runs := r.machine.Batches().OpenWork()
		o.Expect(runs).To(HaveLen(1))
		id := runs[0].Runner
		r.setMute(id)
		r.agents[id].Crash()
		r.net.setRenewDelay(id, 50*time.Millisecond)
		reborn := r.agents[id].Report()
		reborn.Sequence = 1
		o.Expect(r.leader().Report(reborn)).To(Succeed())
		time.Sleep(20 * time.Millisecond)
		r.net.setCut(id, true)
		time.Sleep(20 * time.Second)
		r.net.setCut(id, false)
		time.Sleep(30 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
	})
}

// Guards against a run that is recorded as lost although its lease has not expired: a
// renewal that was meant for the earlier incarnation is executed late by the one that has
// the run, where the end of the lease, on the earlier clock, is far ahead. The run would
// start again after its end was acknowledged.
func TestLateRenewalExtendsLeaseOfNewIncarnation(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 5 * time.Second }
		time.Sleep(4 * time.Second)
		r.mu.Lock()
		r.net.renewFates, r.net.fixedDelay = []fate{late}, true
		r.mu.Unlock()
		r.submit("a", single(1))
		time.Sleep(100 * time.Millisecond)
		r.setMute("i-0")
		r.agents["i-0"].Crash()
		r.net.setRenewDelay("i-0", 50*time.Millisecond)
		r.submit("b", single(1))
		time.Sleep(30 * time.Millisecond)
		r.net.setCut("i-0", true)
		time.Sleep(8 * time.Second)
		r.net.setCut("i-0", false)
		r.mu.Lock()
		delete(r.mute, "i-0")
		r.mu.Unlock()
		time.Sleep(30 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
	})
}

// Guards against a finished run that nobody learns of: a renewal that acknowledges an end of
// the earlier incarnation is executed late by the next one, after it has executed a start
// that was sent while the renewal was on its way. It forgets the end of that run.
func TestLateAcknowledgementMeetsNoLaterStart(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 2 * time.Second }
		time.Sleep(2 * time.Second)
		r.submit("a", single(1))
		for len(r.outcomes(carawayshift.TaskName{Batch: "a"})) == 0 {
			time.Sleep(time.Millisecond)
		}
		r.mu.Lock()
		r.net.renewFates, r.net.fixedDelay = []fate{late}, true
		r.net.startFates = []fate{answerLost}
		r.mu.Unlock()
		time.Sleep(20 * time.Millisecond) // the end is committed, and its acknowledgement sent
		r.mu.Lock()
		o.Expect(r.net.renewFates).To(BeEmpty())
		r.mu.Unlock()
		r.setMute("i-0")
		r.agents["i-0"].Crash()
		r.submit("b", single(1))
		time.Sleep(100 * time.Millisecond)
		r.net.setCut("i-0", true)
		time.Sleep(lateBy + time.Second)
		r.net.setCut("i-0", false)
		r.mu.Lock()
		delete(r.mute, "i-0")
		r.mu.Unlock()
		time.Sleep(10 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
		o.Expect(r.startsOf(carawayshift.TaskName{Batch: "b"})).To(Equal(1))
	})
}
