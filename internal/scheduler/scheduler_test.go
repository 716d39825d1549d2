package scheduler_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/scheduler"
	"carawayshift.example/carawayshift/internal/state"
)

// fakeLog applies commands immediately. The test sets the leader.
type fakeLog struct {
	machine *state.Machine

	mu     sync.Mutex
	index  uint64
	leader string
	term   uint64
}

func (l *fakeLog) Propose(_ context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	b, err := carawayshift.Encode(c)
	if err != nil {
		return carawayshift.Answer{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	var a carawayshift.Answer
	err = carawayshift.Decode(l.machine.Apply(l.index, b), &a)
	return a, err
}

func (l *fakeLog) Barrier(context.Context) (uint64, error) { return 0, nil }

func (l *fakeLog) Leader() (string, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader, l.term
}

func (l *fakeLog) setLeader(host string, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader, l.term = host, term
}

// firstFit places each waiting job of one task on the first worker that is not in
// quarantine.
type firstFit struct{}

func (firstFit) CheckGuarantees(carawayshift.View) error { return nil }

func (firstFit) Plan(_ time.Time, v carawayshift.View) carawayshift.Plan {
	var p carawayshift.Plan
	for _, j := range v.Jobs {
		if j.State != carawayshift.JobWaiting {
			continue
		}
		for _, w := range v.Workers {
			if !w.Quarantined {
				p.Starts = append(p.Starts, carawayshift.Start{Job: j.ID, Zone: w.Zone, Placements: []carawayshift.TaskPlacement{{
					Worker: w.Name, Accelerators: j.Accelerators,
				}}})
				break
			}
		}
	}
	return p
}

type fixture struct {
	*fakeLog
	g Gomega
}

func withScheduler(t *testing.T, workers int, fn func(f fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := fixture{&fakeLog{machine: state.New(firstFit{}.CheckGuarantees), leader: "h1", term: 1}, NewWithT(t)}
		f.operator(carawayshift.Command{Kind: carawayshift.CreateZone, Zone: &carawayshift.Zone{Name: "belmont", Region: "north"}})
		f.operator(carawayshift.Command{Kind: carawayshift.CreateTeam, Team: &carawayshift.Team{Name: "carnival"}})
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		s := scheduler.New(scheduler.Options{
			Host: "h1", Log: f.fakeLog, State: f.machine.State, Planner: firstFit{}, Logger: logger,
			Wait: func(context.Context, uint64) error { return nil },
			Workers: func() []carawayshift.Worker {
				var list []carawayshift.Worker
				for i := range workers {
					list = append(list, carawayshift.Worker{Name: fmt.Sprintf("w%02d", i), Zone: "belmont", Rack: "r1", Accelerators: 8})
				}
				return list
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = s.Run(ctx) }()
		fn(f)
		cancel()
		<-done
	})
}

func (f fixture) operator(c carawayshift.Command) carawayshift.Answer {
	c.ID, c.By, c.At = fmt.Sprint("op", f.machine.Version()), "night", time.Now()
	a, err := f.Propose(context.Background(), c)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(a.Err()).NotTo(HaveOccurred())
	return a
}

func (f fixture) submit() uint64 {
	return f.operator(carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{
		Name: "render", Team: "carnival", Tasks: 1, Accelerators: 1,
	}}).Job
}

// waitForPlan waits until the scheduler has planned and executed the plan.
func (f fixture) waitForPlan() {
	time.Sleep(time.Second)
	synctest.Wait()
}

func (f fixture) job(id uint64) carawayshift.Job { return f.machine.State().Jobs[id] }

func (f fixture) end(id uint64, kind carawayshift.CommandKind, worker string) {
	_, err := f.Propose(context.Background(), carawayshift.Command{Kind: kind, At: time.Now(), Change: &carawayshift.JobChange{
		ID: id, Attempt: f.job(id).Attempt, Worker: worker, Reason: "accelerator error",
	}})
	f.g.Expect(err).NotTo(HaveOccurred())
}

// Guards against two hosts that plan at the same time after a change of leader.
func TestOnlyTheLeaderPlans(t *testing.T) {
	withScheduler(t, 1, func(f fixture) {
		f.setLeader("h2", 1)
		id := f.submit()
		f.waitForPlan()
		f.g.Expect(f.job(id).State).To(Equal(carawayshift.JobWaiting))
		f.setLeader("h1", 2)
		f.waitForPlan()
		f.g.Expect(f.job(id).State).To(Equal(carawayshift.JobPlaced))
	})
}

// Guards against a job that stays placed forever in a zone that starts nothing.
func TestStuckPlacementIsWithdrawn(t *testing.T) {
	withScheduler(t, 1, func(f fixture) {
		id := f.submit()
		f.waitForPlan()
		f.g.Expect(f.job(id).Attempt).To(Equal(1))
		time.Sleep(6 * time.Second)
		synctest.Wait()
		f.g.Expect(f.job(id).Attempt).To(Equal(2), "placed again after the deadline")
	})
}

// Guards against a worker on which every job fails and which, being free, gets
// every next job, and against a quarantine that starts again immediately after an
// operator ended it.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	withScheduler(t, 20, func(f fixture) {
		for range 3 {
			id := f.submit()
			f.waitForPlan()
			f.g.Expect(f.job(id).Placements[0].Worker).To(Equal("w00"))
			f.end(id, carawayshift.FailJob, "w00")
			f.waitForPlan()
		}
		f.g.Expect(f.machine.State().Quarantine).To(HaveKey("w00"))
		id := f.submit()
		f.waitForPlan()
		f.g.Expect(f.job(id).Placements[0].Worker).NotTo(Equal("w00"))
		f.operator(carawayshift.Command{Kind: carawayshift.ReleaseWorker, Name: "w00"})
		f.waitForPlan()
		f.g.Expect(f.machine.State().Quarantine).NotTo(HaveKey("w00"))
	})
}
