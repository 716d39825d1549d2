package assignment_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/assignment"
)

// heavy is a mix of long wide renders, urgent gangs and many small tasks that
// ask for about as much as the runners have.
func heavy(x float64) []*class {
	queue := func(name string, priority int, stretch float64, latency time.Duration) carawayshift.Queue {
		return carawayshift.Queue{Name: name, Service: "fit", Priority: priority, MaxAttempts: 3, Stretch: stretch, Latency: latency}
	}
	return []*class{
		{
			queue: queue("render", 1, 3, 1200*time.Millisecond), perS: 0.7 * x, width: 4, widest: 24,
			work: 8500 * time.Millisecond, spread: 0.3, need: carawayshift.Step{MilliCores: 52000, Memory: 75000},
			wide: []int{1, 2, 4, 8, 8}, gang: 0.5, oneRack: 0.6, resumes: 0.45, offBy: 0.5, uneven: 0.3,
		},
		{
			queue: queue("restyle", 0, 1.5, 500*time.Millisecond), perS: 2 * x, width: 3, widest: 18,
			work: 2500 * time.Millisecond, spread: 0.5, need: carawayshift.Step{MilliCores: 15000, Memory: 31000},
			wide: []int{1, 2, 4, 8, 8}, gang: 0.5, oneRack: 0.8, resumes: 0, offBy: 0.9, uneven: 0.15,
		},
		{
			queue: queue("strand", 2, 3, 3*time.Second), perS: 0.9 * x, width: 12, widest: 72,
			work: 6100 * time.Millisecond, spread: 0.3, need: carawayshift.Step{MilliCores: 11000, Memory: 16000},
			wide: []int{1}, resumes: 0.45, offBy: 0.9, uneven: 0.15,
		},
	}
}

// fragments is the load of a fleet whose accelerators are scarce: half of the
// gangs need whole runners on one rack, beside many tasks of one accelerator.
func fragments(x float64) []*class {
	queue := func(name string, priority, attempts int, stretch float64, latency time.Duration) carawayshift.Queue {
		return carawayshift.Queue{Name: name, Service: "fit", Priority: priority, MaxAttempts: attempts, Stretch: stretch, Latency: latency}
	}
	return []*class{
		{
			queue: queue("balance", 1, 2, 3, 1200*time.Millisecond), perS: 0.29 * x, width: 13, widest: 78, worth: 3, late: 0.3,
			work: 8500 * time.Millisecond, spread: 0.3, need: carawayshift.Step{MilliCores: 13000, Memory: 53000},
			wide: []int{1, 2, 4, 8, 8}, gang: 1, oneRack: 0.6, resumes: 0.45, offBy: 0.9, near: 0.3, uneven: 0.3,
		},
		{
			queue: queue("check", 0, 3, 1.5, 500*time.Millisecond), perS: 1.25 * x, width: 5.4, widest: 32, worth: 4, late: 0.8,
			work: 2500 * time.Millisecond, spread: 0.5, need: carawayshift.Step{MilliCores: 3700, Memory: 15000},
			wide: []int{1, 2, 4, 8, 8}, gang: 1, oneRack: 0.8, resumes: 0, offBy: 0.2, uneven: 0.15,
		},
		{
			queue: queue("fitting", 2, 3, 3, 3*time.Second), perS: 0.29 * x, width: 39, widest: 230, worth: 1, late: 0.1,
			work: 7600 * time.Millisecond, spread: 0.3, need: carawayshift.Step{MilliCores: 2800, Memory: 11000},
			wide: []int{1}, resumes: 0.45, offBy: 0.2, uneven: 0.15, apart: 0.12, near: 0.12,
		},
	}
}

// hall is 60 runners in three racks.
func hall() fleet {
	return fleet{
		zones: 3, racks: 1, perRack: 20, cores: 32000, memory: 131072, teams: 4,
		guarantees: map[string]int{"t0": 100, "t1": 80, "t2": 60, "t3": 40},
	}
}

// firstCome is the baseline: in the order of acceptance, each task on the
// first runner with room, nothing reserved, nothing preempted.
type firstCome struct{}

func (firstCome) Dispatch(l carawayshift.DispatchInput) carawayshift.Dispatch {
	var out carawayshift.Dispatch
	free := map[string][2]int{}
	for _, a := range l.Agents {
		free[a.ID] = [2]int{a.MilliCores, a.Accelerators}
	}
	for _, h := range l.OpenRuns {
		f := free[h.Runner]
		free[h.Runner] = [2]int{f[0] - h.Requirements.MilliCores, f[1] - h.Requirements.Accelerators}
	}
	for _, d := range l.Demands {
		var list []carawayshift.DispatchStart
		for i := range d.Indexes {
			for _, a := range l.Agents {
				f := free[a.ID]
				if f[0] < d.Requirements.MilliCores || f[1] < d.Requirements.Accelerators {
					continue
				}
				free[a.ID] = [2]int{f[0] - d.Requirements.MilliCores, f[1] - d.Requirements.Accelerators}
				list = append(list, carawayshift.DispatchStart{RunStart: carawayshift.RunStart{Task: d.Task(i), Run: d.Runs[i], Runner: a.ID, Incarnation: a.Incarnation}})
				break
			}
		}
		if d.Requirements.Gang && len(list) < len(d.Indexes) {
			for _, s := range list {
				f := free[s.Runner]
				free[s.Runner] = [2]int{f[0] + d.Requirements.MilliCores, f[1] + d.Requirements.Accelerators}
			}
			continue
		}
		out.Starts = append(out.Starts, list...)
	}
	return out
}

// outcome is what callers got over some seeds.
type outcome struct {
	inAim map[string]float64
	// earned is the share of what all batches are worth.
	earned  float64
	thrown  float64
	stopped int
}

func playAll(planner func() carawayshift.Dispatcher, f fleet, load func() []*class, seeds int) outcome {
	o := outcome{inAim: map[string]float64{}}
	total := map[string]float64{}
	var owed float64
	plays := make([]*play, seeds)
	var wg sync.WaitGroup
	for seed := range seeds {
		plays[seed] = newPlay(planner(), f, uint64(seed), load())
		wg.Go(func() { plays[seed].run(30*time.Second, 60*time.Second) })
	}
	wg.Wait()
	for _, p := range plays {
		o.stopped += p.stopped
		for _, c := range p.classes {
			o.inAim[c.queue.Name] += float64(c.inAim)
			total[c.queue.Name] += float64(c.total)
			o.thrown += c.thrown
			e, w := c.value()
			o.earned += e
			owed += w
		}
	}
	o.earned /= owed
	for name := range total {
		o.inAim[name] /= total[name]
	}
	return o
}

func ours() carawayshift.Dispatcher { return assignment.New(assignment.Config{}) }

func TestHeavyLoadServesUrgentBatchesInTime(t *testing.T) {
	o := NewWithT(t)
	got := playAll(ours, workshop(), func() []*class { return heavy(1) }, 8)
	base := playAll(func() carawayshift.Dispatcher { return firstCome{} }, workshop(), func() []*class { return heavy(1) }, 8)
	t.Logf("in time: %v, thrown away %.0f core-seconds in %d stops", got.inAim, got.thrown, got.stopped)
	t.Logf("first come: %v", base.inAim)
	o.Expect(got.inAim["restyle"]).To(BeNumerically(">", base.inAim["restyle"]), "urgent batches")
}

// Tasks that leave runners whole serve gangs better, and less work is thrown
// away for them.
func TestWholeRunnersServeGangs(t *testing.T) {
	for _, x := range []float64{1, 1.7} {
		t.Run(fmt.Sprint("load ", x), func(t *testing.T) {
			o := NewWithT(t)
			load := func() []*class { return fragments(x) }
			got := playAll(ours, hall(), load, 8)
			base := playAll(func() carawayshift.Dispatcher { return assignment.New(assignment.Config{Whole: -1}) }, hall(), load, 8)
			t.Logf("in time %.3v, earned %.3f, thrown away %.0f core-seconds in %d stops", got.inAim, got.earned, got.thrown, got.stopped)
			t.Logf("without: %.3v, %.3f, %.0f in %d", base.inAim, base.earned, base.thrown, base.stopped)
			o.Expect(got.inAim["balance"]).To(BeNumerically(">", base.inAim["balance"]), "gangs in time")
			o.Expect(got.thrown).To(BeNumerically("<", base.thrown))
		})
	}
}
