package dispatcher

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/assignment"
	"carawayshift.example/carawayshift/pkg/batch"
)

// idleClient lets every call wait until its context ends.
type idleClient struct{}

func (idleClient) Start(ctx context.Context, _ carawayshift.AgentCall, _ carawayshift.RunRequest) (time.Duration, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (idleClient) Stop(ctx context.Context, _ carawayshift.AgentCall, _ carawayshift.TaskName, _ int) (time.Duration, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (idleClient) Renew(ctx context.Context, _ carawayshift.AgentCall, _ uint64, _, _ time.Duration) (carawayshift.AgentStatus, error) {
	<-ctx.Done()
	return carawayshift.AgentStatus{}, ctx.Err()
}

func (idleClient) Throttle(context.Context, carawayshift.AgentCall, carawayshift.TaskName, int, int) error {
	return nil
}

// newBenchTerm returns the term of a leader with runners that have two open runs
// each. Nothing waits.
func newBenchTerm(b testing.TB, ctx context.Context, runners int) *leaderTerm {
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := batch.New()
	d := New(Config{Table: table, ClosedZones: func() map[string]bool { return nil }, Planner: assignment.New(assignment.Config{}), Client: idleClient{}, Timing: rigTiming, Logger: log})
	ctx, cancel := context.WithCancel(ctx)
	t := newLeaderTerm(d, 1, cancel)
	t.ctx = ctx
	const width = 10
	for i := range 2 * runners / width {
		id := fmt.Sprintf("b%d", i)
		c := &carawayshift.BatchChange{Submit: &carawayshift.Batch{ID: id, Team: "carnival", Queue: rigQueue, Steps: []carawayshift.Step{{Count: width, MilliCores: 1000, Memory: 1000, Accelerators: 1, Declared: time.Minute, Gang: true}}}}
		for k := range width {
			c.Starts = append(c.Starts, carawayshift.RunStart{Task: carawayshift.TaskName{Batch: id, Index: k}, Run: 1, Runner: fmt.Sprintf("i-%d", (i*width+k)%runners), Incarnation: 1})
		}
		if err := table.Apply(time.Now(), c); err != nil {
			b.Fatal(err)
		}
	}
	return t
}

func reportAll(t *leaderTerm, runners int) {
	for i := range runners {
		id := fmt.Sprintf("i-%d", i)
		t.report(carawayshift.Agent{
			ID: id, Incarnation: 1, Service: "fit", Zone: fmt.Sprintf("z%d", i%6), Rack: fmt.Sprintf("r%d", i/20),
			Machine: "m-" + id, Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), MilliCores: 32000, Memory: 128000, Accelerators: 8,
		})
	}
}

// benchRunners are the numbers of runners of the benchmarks.
var benchRunners = []int{300, 1000, 3000}

// BenchmarkStep measures what the leader does after an event while nothing waits.
func BenchmarkStep(b *testing.B) {
	events := []struct {
		name   string
		signal func(d *Dispatcher)
	}{
		{"end of a run", (*Dispatcher).wakeIfWaiting},
		{"another event", (*Dispatcher).Wake},
	}
	for _, e := range events {
		for _, runners := range benchRunners {
			b.Run(fmt.Sprint(e.name, ", ", runners, " runners"), func(b *testing.B) {
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				t := newBenchTerm(b, ctx, runners)
				reportAll(t, runners)
				for b.Loop() {
					e.signal(t.d)
					t.step(ctx)
				}
			})
		}
	}
}

// BenchmarkFirstReports measures how long a new leader takes for the first reports
// of all runners.
func BenchmarkFirstReports(b *testing.B) {
	for _, runners := range benchRunners {
		b.Run(fmt.Sprint(runners, " runners"), func(b *testing.B) {
			for b.Loop() {
				ctx, cancel := context.WithCancel(b.Context())
				t := newBenchTerm(b, ctx, 0)
				reportAll(t, runners)
				cancel()
				t.wait()
			}
		})
	}
}
