package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// setCap puts a catalog in force that limits the team's accelerators. While a cap is
// lowered, the runs that are at work may stay above it.
func (r *rig) setCap(number uint64, accelerators int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replaceCatalogLocked(carawayshift.Catalog{
		Number:   number,
		Services: []carawayshift.Service{{Name: "fit"}},
		Teams:    []carawayshift.CatalogTeam{{Team: "carnival", Cap: carawayshift.Resources{Accelerators: accelerators}}},
	})
	r.limits = append(r.limits, accelerators)
	fmt.Fprintf(&r.trace, "%s cap of the team: %d accelerators\n", time.Now().Format("05.000"), accelerators)
}

func (r *rig) use() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceleratorsInUse()
}

func TestCapLimitsWhatRuns(t *testing.T) {
	play(t, 1, 4, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 2 * time.Second }
		r.setCap(1, 5)
		time.Sleep(2 * time.Second)
		r.submit("a", single(12))
		r.submit("g", together(4))
		time.Sleep(time.Second)
		o.Expect(r.use()).To(Equal(5))
		r.setCap(2, 8)
		r.leader().Wake()
		time.Sleep(500 * time.Millisecond)
		o.Expect(r.use()).To(Equal(8))
		time.Sleep(30 * time.Second)
		o.Expect(r.state("a")).To(Equal(carawayshift.BatchFinished))
		o.Expect(r.state("g")).To(Equal(carawayshift.BatchFinished))
	})
}

// Guards against starts above a team's cap, and against a team that waits for good under
// it, while caps rise and fall, leaders change, runners crash, are cut off or refuse
// starts, and requests are lost or carried out late.
func TestHistoriesUnderCaps(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, seed, 5, func(ctx context.Context, r *rig) {
				r.changeCaps(ctx)
				runHistory(ctx, t, r)
			})
		})
	}
}

// changeCaps changes the team's cap at random until ctx ends. Each cap admits the largest
// gang.
func (r *rig) changeCaps(ctx context.Context) {
	r.setCap(1, 8)
	go func() {
		for number := uint64(2); ctx.Err() == nil; number++ {
			time.Sleep(time.Duration(1000+r.random()*4000) * time.Millisecond)
			r.setCap(number, 4+int(r.random()*8))
			r.leader().Wake()
		}
	}()
}

// Guards against a task that starts in place of a run whose start request may still be
// carried out: its runner has left, and a later incarnation at the same address accepts the
// request.
func TestLostRunWithAnOpenRequestCounts(t *testing.T) {
	play(t, 1, 2, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		use := func() int {
			_, inUse := r.machine.Batches().TeamUse(time.Now())
			return inUse["carnival"].Accelerators
		}
		r.setCap(1, 1)
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.net.startFates = []fate{lost, lost, lost}
		r.mu.Unlock()
		r.submit("b", single(1))
		time.Sleep(callTimeout + 100*time.Millisecond)
		_, runs := r.machine.Batches().OpenWork()
		o.Expect(runs).To(HaveLen(1))
		o.Expect(r.leader().Leave(runs[0].Runner, 1)).To(Succeed())
		time.Sleep(2 * time.Second)
		_, runs = r.machine.Batches().OpenWork()
		o.Expect(runs).To(BeEmpty())
		o.Expect(use()).To(Equal(1))
		time.Sleep(30 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
		o.Expect(use()).To(BeZero())
	})
}

// Guards against a start that is sent again, because a later call has overtaken it, although
// the team's cap has been lowered meanwhile.
func TestOvertakenStartHeedsTheCap(t *testing.T) {
	play(t, 1, 2, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 2 * time.Second }
		r.setCap(1, 2)
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.net.startFates = []fate{overtaken}
		r.mu.Unlock()
		r.submit("b", single(2))
		time.Sleep(25 * time.Millisecond) // both starts are committed and sent
		r.setCap(2, 1)
		time.Sleep(20 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
	})
}

// Guards against a run that is given up because a later call has overtaken its start.
func TestOvertakenStartIsSentAgain(t *testing.T) {
	play(t, 1, 1, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.net.startFates = []fate{overtaken, overtaken}
		r.mu.Unlock()
		r.submit("b", together(3))
		time.Sleep(10 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
		for task, n := range r.starts {
			o.Expect(n).To(Equal(1), task.String())
		}
	})
}
