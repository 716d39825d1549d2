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

// log applies commands at once; the test chooses the leader.
type log struct {
	machine *state.Machine

	mu     sync.Mutex
	index  uint64
	leader string
	term   uint64
}

func (l *log) Propose(_ context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
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

func (l *log) Barrier(context.Context) (uint64, error) { return 0, nil }

func (l *log) Leader() (string, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader, l.term
}

func (l *log) lead(host string, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader, l.term = host, term
}

// firstFit places each waiting job of one task on the first worker that takes
// new work and on which the job has not failed.
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

type world struct {
	*log
	g Gomega
}

func inWorld(t *testing.T, workers int, fn func(w world)) {
	synctest.Test(t, func(t *testing.T) {
		w := world{&log{machine: state.New(firstFit{}.CheckGuarantees), leader: "h1", term: 1}, NewWithT(t)}
		w.operator(carawayshift.Command{Kind: carawayshift.CreateZone, Zone: &carawayshift.Zone{Name: "belmont", Region: "north"}})
		w.operator(carawayshift.Command{Kind: carawayshift.CreateTeam, Team: &carawayshift.Team{Name: "carnival"}})
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		s := scheduler.New(scheduler.Options{
			Host: "h1", Log: w.log, State: w.machine.State, Planner: firstFit{}, Logger: quiet,
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
		fn(w)
		cancel()
		<-done
	})
}

func (w world) operator(c carawayshift.Command) carawayshift.Answer {
	c.ID, c.By, c.At = fmt.Sprint("op", w.machine.Version()), "night", time.Now()
	a, err := w.Propose(context.Background(), c)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(a.Err()).NotTo(HaveOccurred())
	return a
}

func (w world) submit() uint64 {
	return w.operator(carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{
		Name: "render", Team: "carnival", Tasks: 1, Accelerators: 1,
	}}).Job
}

// settle waits for a plan and its effects.
func (w world) settle() {
	time.Sleep(time.Second)
	synctest.Wait()
}

func (w world) job(id uint64) carawayshift.Job { return w.machine.State().Jobs[id] }

func (w world) end(id uint64, kind carawayshift.CommandKind, worker string) {
	_, err := w.Propose(context.Background(), carawayshift.Command{Kind: kind, At: time.Now(), Change: &carawayshift.JobChange{
		ID: id, Attempt: w.job(id).Attempt, Worker: worker, Reason: "accelerator error",
	}})
	w.g.Expect(err).NotTo(HaveOccurred())
}

// Guards against two hosts that plan at the same time after a leader change.
func TestOnlyTheLeaderPlans(t *testing.T) {
	inWorld(t, 1, func(w world) {
		w.lead("h2", 1)
		id := w.submit()
		w.settle()
		w.g.Expect(w.job(id).State).To(Equal(carawayshift.JobWaiting))
		w.lead("h1", 2)
		w.settle()
		w.g.Expect(w.job(id).State).To(Equal(carawayshift.JobPlaced))
	})
}

// Guards against a gang that waits for ever in a zone that starts nothing.
func TestStuckPlacementIsWithdrawn(t *testing.T) {
	inWorld(t, 1, func(w world) {
		id := w.submit()
		w.settle()
		w.g.Expect(w.job(id).Attempt).To(Equal(1))
		time.Sleep(6 * time.Second)
		synctest.Wait()
		w.g.Expect(w.job(id).Attempt).To(Equal(2), "placed again after the deadline")
	})
}

// Guards against a worker that fails everything and attracts every job, and
// against a quarantine that comes back at once after an operator ended it.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	inWorld(t, 20, func(w world) {
		for range 3 {
			id := w.submit()
			w.settle()
			w.g.Expect(w.job(id).Placements[0].Worker).To(Equal("w00"))
			w.end(id, carawayshift.FailJob, "w00")
			w.settle()
		}
		w.g.Expect(w.machine.State().Quarantine).To(HaveKey("w00"))
		id := w.submit()
		w.settle()
		w.g.Expect(w.job(id).Placements[0].Worker).NotTo(Equal("w00"))
		w.operator(carawayshift.Command{Kind: carawayshift.ReleaseWorker, Name: "w00"})
		w.settle()
		w.g.Expect(w.machine.State().Quarantine).NotTo(HaveKey("w00"))
	})
}
