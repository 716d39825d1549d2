package assignment_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/assignment"
)

var noon = time.Date(2026, 8, 1, 12, 0, 0, 0, time.UTC)

func runner(id, rack string) carawayshift.Agent {
	return carawayshift.Agent{
		ID: id, Incarnation: 1, Service: "fit", Zone: "z", Rack: rack, Labels: []string{"a", rack}, Machine: "m-" + id,
		MilliCores: 8000, Memory: 8000, Accelerators: 8,
	}
}

func demand(id string, priority, tasks, accelerators int) carawayshift.Demand {
	d := carawayshift.Demand{
		Batch: id, Team: "carnival", Accepted: noon, Ready: noon, Due: noon.Add(time.Minute), Expected: 2 * time.Second, OpenRuns: map[string]int{},
		Queue:        carawayshift.Queue{Name: id, Service: "fit", Priority: priority, Stretch: 1.5, Latency: 500 * time.Millisecond},
		Requirements: carawayshift.Step{Count: tasks, Accelerators: accelerators, MilliCores: 1000, Memory: 100, Declared: 2 * time.Second},
	}
	for i := range tasks {
		d.Indexes, d.Runs = append(d.Indexes, i), append(d.Runs, 1)
	}
	return d
}

func openRun(id, on string, priority, accelerators int, ran time.Duration) carawayshift.OpenRun {
	return carawayshift.OpenRun{
		Task: carawayshift.TaskName{Batch: id}, Run: 1, Runner: on, Incarnation: 1, Team: "other", Priority: priority,
		Requirements: carawayshift.Step{Count: 1, Accelerators: accelerators, MilliCores: 1000, Memory: 100},
		Ordered:      noon.Add(-ran), Expected: time.Minute,
	}
}

// twoRacks returns the input for a gang of two tasks that has waited for some time, and
// two racks of two runners, one of which runs a task with some accelerators.
func twoRacks(accelerators int, waited time.Duration) carawayshift.DispatchInput {
	d := demand("b", 1, 2, 8)
	d.Requirements.Gang, d.Requirements.SameRack, d.Ready = true, true, noon.Add(-waited)
	return carawayshift.DispatchInput{
		Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1"), runner("i3", "r2"), runner("i4", "r2")},
		OpenRuns: []carawayshift.OpenRun{openRun("x", "i2", 1, accelerators, time.Second), openRun("y", "i4", 1, accelerators, time.Second)},
		Demands:  []carawayshift.Demand{d},
	}
}

// fewUsed returns the input for a background task that needs a whole runner and has waited
// for some time, and three runners of which two run urgent tasks with some accelerators.
func fewUsed(accelerators int, waited time.Duration) carawayshift.DispatchInput {
	d := demand("b", 2, 1, 8)
	d.Ready = noon.Add(-waited)
	return carawayshift.DispatchInput{
		Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1"), runner("i3", "r1")},
		OpenRuns: []carawayshift.OpenRun{openRun("x", "i1", 0, accelerators, time.Second), openRun("y", "i2", 0, accelerators, time.Second)},
		Demands:  []carawayshift.Demand{d},
	}
}

// lent returns the input for a guaranteed demand that is due, and as many runners as it has
// tasks, all used by a long-running step of a queue of the given priority.
func lent(priority, tasks, maxUnavailable int, state carawayshift.Availability) carawayshift.DispatchInput {
	d := demand("b", 0, tasks, 8)
	d.Accepted = noon.Add(-2 * time.Second)
	in := carawayshift.DispatchInput{Demands: []carawayshift.Demand{d}, Guarantees: map[string]int{"carnival": 8 * tasks}}
	for i := range tasks {
		id := fmt.Sprintf("i%d", i+1)
		h := openRun("serving", id, priority, 8, time.Second)
		h.Task.Index, h.Availability = i, state
		h.Requirements.Count, h.Requirements.LongRunning, h.Requirements.MaxUnavailable = tasks, true, maxUnavailable
		in.Agents, in.OpenRuns = append(in.Agents, runner(id, "r1")), append(in.OpenRuns, h)
	}
	return in
}

func TestDispatch(t *testing.T) {
	tests := []struct {
		name  string
		input func() carawayshift.DispatchInput
		// starts and stops list "batch@runner" in the order of the decision.
		starts []string
		stops  []string
	}{
		{"the most urgent demand first", func() carawayshift.DispatchInput {
			return carawayshift.DispatchInput{Agents: []carawayshift.Agent{runner("i1", "r1")}, Demands: []carawayshift.Demand{demand("slow", 2, 1, 8), demand("fast", 0, 1, 8)}}
		}, []string{"fast@i1"}, nil},
		{"the runner with the best fit", func() carawayshift.DispatchInput {
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")},
				OpenRuns: []carawayshift.OpenRun{openRun("x", "i2", 1, 6, time.Second)},
				Demands:  []carawayshift.Demand{demand("b", 1, 1, 2)},
			}
		}, []string{"b@i2"}, nil},
		{"no start in a closed zone, on a leaving runner or on a draining machine", func() carawayshift.DispatchInput {
			leaving, other := runner("i1", "r1"), runner("i2", "r1")
			leaving.Leaving, other.Zone = true, "out"
			return carawayshift.DispatchInput{
				Agents: []carawayshift.Agent{leaving, other, runner("i3", "r1")}, ClosedZones: map[string]bool{"out": true},
				DrainingMachines: map[string]bool{"m-i3": true}, Demands: []carawayshift.Demand{demand("b", 0, 1, 1)},
			}
		}, nil, nil},
		{"only runners with the label of the step", func() carawayshift.DispatchInput {
			d := demand("b", 1, 1, 1)
			d.Requirements.Label = "r2"
			return carawayshift.DispatchInput{Agents: []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r2")}, Demands: []carawayshift.Demand{d}}
		}, []string{"b@i2"}, nil},
		{"only runners with a ticket", func() carawayshift.DispatchInput {
			d := demand("b", 1, 1, 1)
			d.Allowed = map[string]bool{"i2": true}
			return carawayshift.DispatchInput{Agents: []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")}, Demands: []carawayshift.Demand{d}}
		}, []string{"b@i2"}, nil},
		{"no more tasks on a runner than the step allows", func() carawayshift.DispatchInput {
			d := demand("b", 1, 3, 1)
			d.Requirements.MaxPerRunner = 1
			return carawayshift.DispatchInput{Agents: []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")}, Demands: []carawayshift.Demand{d}}
		}, []string{"b@i1", "b@i2"}, nil},
		{"near the data", func() carawayshift.DispatchInput {
			d := demand("b", 1, 1, 1)
			d.Requirements.DataRack = "r2"
			return carawayshift.DispatchInput{Agents: []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r2")}, Demands: []carawayshift.Demand{d}}
		}, []string{"b@i2"}, nil},
		{"not on a runner where the batch has failed", func() carawayshift.DispatchInput {
			d := demand("b", 1, 1, 1)
			d.Excluded = map[string]bool{"i1": true}
			return carawayshift.DispatchInput{Agents: []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")}, Demands: []carawayshift.Demand{d}}
		}, []string{"b@i2"}, nil},
		{"all tasks of a gang or none", func() carawayshift.DispatchInput {
			d := demand("b", 1, 3, 8)
			d.Requirements.Gang = true
			return carawayshift.DispatchInput{Agents: []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")}, Demands: []carawayshift.Demand{d}}
		}, nil, nil},
		{"a gang on one rack", func() carawayshift.DispatchInput {
			d := demand("b", 1, 2, 8)
			d.Requirements.Gang, d.Requirements.SameRack = true, true
			return carawayshift.DispatchInput{Agents: []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r2"), runner("i3", "r2")}, Demands: []carawayshift.Demand{d}}
		}, []string{"b@i2", "b@i3"}, nil},
		{"a gang on two racks if long-running tasks are at work on each", func() carawayshift.DispatchInput {
			in := twoRacks(1, 0)
			in.OpenRuns[0].Requirements.LongRunning, in.OpenRuns[1].Requirements.LongRunning = true, true
			return in
		}, []string{"b@i1", "b@i3"}, nil},
		{"a gang waits for a rack", func() carawayshift.DispatchInput { return twoRacks(1, 19*time.Second) }, nil, nil},
		{"a gang on two racks after a long wait", func() carawayshift.DispatchInput {
			return twoRacks(1, 20*time.Second)
		}, []string{"b@i1", "b@i3"}, nil},
		{"a guarantee preempts the run with the least lost work", func() carawayshift.DispatchInput {
			d := demand("b", 0, 1, 8)
			d.Accepted = noon.Add(-2 * time.Second)
			return carawayshift.DispatchInput{
				Agents:     []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")},
				OpenRuns:   []carawayshift.OpenRun{openRun("old", "i1", 1, 8, 30*time.Second), openRun("young", "i2", 1, 8, 5*time.Second)},
				Demands:    []carawayshift.Demand{d},
				Guarantees: map[string]int{"carnival": 8},
			}
		}, nil, []string{"young@i2"}},
		{"no preemption beyond the guarantee if it loses much work", func() carawayshift.DispatchInput {
			d := demand("b", 0, 1, 8)
			d.Accepted = noon.Add(-2 * time.Second)
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1")},
				OpenRuns: []carawayshift.OpenRun{openRun("old", "i1", 1, 8, 30*time.Second)}, Demands: []carawayshift.Demand{d},
			}
		}, nil, nil},
		{"no preemption if a run ends soon", func() carawayshift.DispatchInput {
			h := openRun("ending", "i1", 1, 8, 5*time.Second)
			h.Ends = noon.Add(200 * time.Millisecond)
			return carawayshift.DispatchInput{
				Agents: []carawayshift.Agent{runner("i1", "r1")}, OpenRuns: []carawayshift.OpenRun{h},
				Demands: []carawayshift.Demand{demand("b", 0, 1, 8)}, Guarantees: map[string]int{"carnival": 8},
			}
		}, nil, nil},
		{"preemption despite an expected end if the guarantee is due", func() carawayshift.DispatchInput {
			h := openRun("ending", "i1", 1, 8, 5*time.Second)
			h.Ends = noon.Add(200 * time.Millisecond)
			d := demand("b", 0, 1, 8)
			d.Accepted = noon.Add(-2 * time.Second)
			return carawayshift.DispatchInput{
				Agents: []carawayshift.Agent{runner("i1", "r1")}, OpenRuns: []carawayshift.OpenRun{h},
				Demands: []carawayshift.Demand{d}, Guarantees: map[string]int{"carnival": 8},
			}
		}, nil, []string{"ending@i1"}},
		{"later demands don't use reserved resources", func() carawayshift.DispatchInput {
			h := openRun("ending", "i1", 1, 4, 5*time.Second)
			h.Ends = noon.Add(time.Second)
			return carawayshift.DispatchInput{
				Agents: []carawayshift.Agent{runner("i1", "r1")}, OpenRuns: []carawayshift.OpenRun{h},
				Demands: []carawayshift.Demand{demand("wide", 1, 1, 8), demand("small", 2, 1, 1)},
			}
		}, nil, nil},
		{"a guaranteed demand before an urgent one without a guarantee", func() carawayshift.DispatchInput {
			other, own := demand("other", 0, 1, 8), demand("own", 0, 1, 8)
			other.Team, other.Due = "greedy", noon.Add(time.Second)
			return carawayshift.DispatchInput{
				Agents: []carawayshift.Agent{runner("i1", "r1")}, Demands: []carawayshift.Demand{other, own},
				Guarantees: map[string]int{"carnival": 8},
			}
		}, []string{"own@i1"}, nil},
		{"an urgent demand without a guarantee doesn't use resources freed for a guaranteed one", func() carawayshift.DispatchInput {
			h := openRun("stopped", "i1", 1, 4, time.Second)
			h.Stopping = true
			other, own := demand("other", 0, 1, 4), demand("own", 0, 1, 8)
			other.Team, other.Due = "greedy", noon.Add(time.Second)
			return carawayshift.DispatchInput{
				Agents: []carawayshift.Agent{runner("i1", "r1")}, OpenRuns: []carawayshift.OpenRun{h},
				Demands: []carawayshift.Demand{other, own}, Guarantees: map[string]int{"carnival": 8},
			}
		}, nil, nil},
		{"a guaranteed gang starts on two racks if it would be late on one", func() carawayshift.DispatchInput {
			d := demand("own", 0, 2, 8)
			d.Requirements.Gang, d.Requirements.SameRack, d.Accepted = true, true, noon.Add(-2*time.Second)
			other := openRun("other", "i2", 0, 8, time.Second)
			same := openRun("same", "i3", 0, 8, time.Second)
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1"), runner("i3", "r2"), runner("i4", "r2")},
				OpenRuns: []carawayshift.OpenRun{other, same}, Demands: []carawayshift.Demand{d},
				Guarantees: map[string]int{"carnival": 16, "other": 16},
			}
		}, []string{"own@i1", "own@i4"}, nil},
		{"a guaranteed gang preempts runs on one rack if that loses little work", func() carawayshift.DispatchInput {
			d := demand("own", 0, 2, 8)
			d.Requirements.Gang, d.Requirements.SameRack, d.Accepted = true, true, noon.Add(-1200*time.Millisecond)
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1"), runner("i3", "r2"), runner("i4", "r2")},
				OpenRuns: []carawayshift.OpenRun{openRun("young", "i2", 1, 8, time.Second), openRun("old", "i3", 1, 8, 30*time.Second)},
				Demands:  []carawayshift.Demand{d}, Guarantees: map[string]int{"carnival": 16},
			}
		}, nil, []string{"young@i2"}},
		{"a guaranteed gang starts on two racks if preemption on one loses much work", func() carawayshift.DispatchInput {
			d := demand("own", 0, 2, 8)
			d.Requirements.Gang, d.Requirements.SameRack, d.Accepted = true, true, noon.Add(-1200*time.Millisecond)
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1"), runner("i3", "r2"), runner("i4", "r2")},
				OpenRuns: []carawayshift.OpenRun{openRun("old", "i2", 1, 8, 30*time.Second), openRun("older", "i3", 1, 8, 40*time.Second)},
				Demands:  []carawayshift.Demand{d}, Guarantees: map[string]int{"carnival": 16},
			}
		}, []string{"own@i1", "own@i4"}, nil},
		{"runs of ended batches don't count against the guarantee", func() carawayshift.DispatchInput {
			h := openRun("over", "i1", 0, 8, time.Second)
			h.Team, h.BatchEnded = "carnival", true
			d := demand("own", 0, 1, 8)
			d.Accepted = noon.Add(-2 * time.Second)
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")},
				OpenRuns: []carawayshift.OpenRun{h, openRun("young", "i2", 1, 8, 5*time.Second)}, Demands: []carawayshift.Demand{d},
				Guarantees: map[string]int{"carnival": 8},
			}
		}, nil, []string{"young@i2"}},
		{"a background task with enough time leaves half of the runners empty", func() carawayshift.DispatchInput {
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1"), runner("i3", "r1")},
				OpenRuns: []carawayshift.OpenRun{openRun("urgent", "i1", 0, 8, time.Second)}, Demands: []carawayshift.Demand{demand("b", 2, 9, 1)},
			}
		}, []string{"b@i2", "b@i2", "b@i2", "b@i2", "b@i2", "b@i2", "b@i2", "b@i2"}, nil},
		{"a background task uses an empty runner if nothing is more urgent", func() carawayshift.DispatchInput {
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")},
				OpenRuns: []carawayshift.OpenRun{openRun("equal", "i1", 2, 8, time.Second)}, Demands: []carawayshift.Demand{demand("b", 2, 1, 1)},
			}
		}, []string{"b@i2"}, nil},
		{"a background task uses an empty runner if it would be late otherwise", func() carawayshift.DispatchInput {
			d := demand("b", 2, 1, 1)
			d.Due = noon.Add(3 * time.Second)
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")},
				OpenRuns: []carawayshift.OpenRun{openRun("urgent", "i1", 0, 8, time.Second)}, Demands: []carawayshift.Demand{d},
			}
		}, []string{"b@i2"}, nil},
		{"a background task waits a moment for a runner that is in use", func() carawayshift.DispatchInput { return fewUsed(1, time.Second) }, nil, nil},
		{"a background task uses an empty runner soon if most of the service is idle", func() carawayshift.DispatchInput {
			return fewUsed(1, 2*time.Second)
		}, []string{"b@i3"}, nil},
		{"the other tasks of a background batch leave empty runners to gangs", func() carawayshift.DispatchInput {
			in := fewUsed(1, 2*time.Second)
			in.Agents = append(in.Agents, runner("i4", "r1"), runner("i5", "r1"))
			in.OpenRuns = append(in.OpenRuns, openRun("z", "i4", 0, 1, time.Second))
			in.Demands[0].Indexes, in.Demands[0].Runs = []int{0, 1}, []int{1, 1}
			return in
		}, []string{"b@i3"}, nil},
		{"a background task leaves empty runners to gangs while the others are busy", func() carawayshift.DispatchInput {
			return fewUsed(8, 20*time.Second)
		}, nil, nil},
		{"a long-running background task uses an empty runner", func() carawayshift.DispatchInput {
			d := demand("b", 2, 1, 1)
			d.Requirements.LongRunning = true
			return carawayshift.DispatchInput{
				Agents:   []carawayshift.Agent{runner("i1", "r1"), runner("i2", "r1")},
				OpenRuns: []carawayshift.OpenRun{openRun("urgent", "i1", 0, 8, time.Second)}, Demands: []carawayshift.Demand{d},
			}
		}, []string{"b@i2"}, nil},
		{"a gang that waits for a long-running task keeps no runner from others", func() carawayshift.DispatchInput {
			in := lent(1, 1, 0, carawayshift.TaskAvailable)
			in.Agents = append(in.Agents, runner("i2", "r1"))
			gang, long := demand("gang", 1, 2, 8), demand("long", 2, 1, 8)
			gang.Requirements.Gang, long.Expected, long.Due = true, 2*time.Hour, noon.Add(6*time.Hour)
			in.Demands = []carawayshift.Demand{gang, long}
			return in
		}, []string{"long@i2"}, nil},
		{"nor does a task that needs what a long-running one uses", func() carawayshift.DispatchInput {
			in := lent(1, 1, 0, carawayshift.TaskAvailable)
			in.OpenRuns[0].Requirements.Accelerators = 4
			wide, long := demand("wide", 1, 1, 8), demand("long", 2, 1, 4)
			long.Expected, long.Due = 2*time.Hour, noon.Add(6*time.Hour)
			in.Demands = []carawayshift.Demand{wide, long}
			return in
		}, []string{"long@i1"}, nil},
		{"a guarantee preempts a long-running task of another team", func() carawayshift.DispatchInput {
			return lent(1, 1, 0, carawayshift.TaskAvailable)
		}, nil, []string{"serving@i1"}},
		{"a long-running task is not preempted without a guarantee", func() carawayshift.DispatchInput {
			in := lent(1, 1, 0, carawayshift.TaskAvailable)
			in.Guarantees = nil
			return in
		}, nil, nil},
		{"a long-running task within the guarantee of its team is not preempted", func() carawayshift.DispatchInput {
			in := lent(0, 1, 0, carawayshift.TaskAvailable)
			in.Guarantees["other"] = 8
			return in
		}, nil, nil},
		{"a gang in its guarantee preempts long-running tasks", func() carawayshift.DispatchInput {
			in := lent(1, 2, 0, carawayshift.TaskAvailable)
			in.Demands[0].Requirements.Gang = true
			return in
		}, nil, []string{"serving@i1", "serving@i2"}},
		{"no more tasks of a step are preempted than may be unavailable", func() carawayshift.DispatchInput {
			return lent(1, 2, 1, carawayshift.TaskAvailable)
		}, nil, []string{"serving@i1"}},
		{"no gang preempts more tasks of a step than may be unavailable", func() carawayshift.DispatchInput {
			in := lent(1, 2, 1, carawayshift.TaskAvailable)
			in.Demands[0].Requirements.Gang = true
			return in
		}, nil, nil},
		{"none is preempted while others may be unavailable", func() carawayshift.DispatchInput {
			return lent(1, 2, 1, carawayshift.TaskUncertain)
		}, nil, nil},
		{"tasks that don't work are preempted", func() carawayshift.DispatchInput {
			return lent(1, 2, 1, carawayshift.TaskUnavailable)
		}, nil, []string{"serving@i1", "serving@i2"}},
		{"a guarantee that is due does not wait for the data's rack", func() carawayshift.DispatchInput {
			in := lent(1, 1, 0, carawayshift.TaskAvailable)
			in.Agents = append(in.Agents, runner("i2", "r2"))
			in.Demands[0].Requirements.DataRack, in.Demands[0].Expected = "r1", time.Minute
			return in
		}, []string{"b@i2"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := NewWithT(t)
			l := tt.input()
			l.Now = noon
			out := assignment.New(assignment.Config{}).Dispatch(l)
			var starts, stops []string
			for _, s := range out.Starts {
				starts = append(starts, s.Task.Batch+"@"+s.Runner)
			}
			for _, s := range out.Stops {
				stops = append(stops, s.Task.Batch+"@"+s.Runner)
			}
			o.Expect(starts).To(Equal(tt.starts))
			o.Expect(stops).To(Equal(tt.stops))
		})
	}
}

// For random inputs, no runner gets more accelerators than it has, and all tasks
// of a gang start or none.
func TestRandomLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := carawayshift.DispatchInput{Now: noon, Guarantees: map[string]int{"carnival": rapid.IntRange(0, 32).Draw(t, "guarantee")}}
		for i := range rapid.IntRange(1, 8).Draw(t, "runners") {
			l.Agents = append(l.Agents, runner(fmt.Sprint("i", i), fmt.Sprint("r", i%2)))
		}
		for i := range rapid.IntRange(0, 8).Draw(t, "open runs") {
			on := l.Agents[i%len(l.Agents)].ID
			if i < len(l.Agents) {
				l.OpenRuns = append(l.OpenRuns, openRun(fmt.Sprint("h", i), on, rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(0, 8).Draw(t, "size"), time.Second))
			}
		}
		for i := range rapid.IntRange(0, 8).Draw(t, "demands") {
			d := demand(fmt.Sprint("d", i), rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.IntRange(0, 8).Draw(t, "size"))
			d.Requirements.Gang = rapid.Bool().Draw(t, "gang")
			d.Requirements.SameRack = rapid.Bool().Draw(t, "rack")
			d.Accepted = noon.Add(-time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond)
			l.Demands = append(l.Demands, d)
		}
		checkDispatch(t, l, assignment.New(assignment.Config{}).Dispatch(l))
	})
}

func checkDispatch(t *rapid.T, l carawayshift.DispatchInput, out carawayshift.Dispatch) {
	used := map[string]int{}
	for _, h := range l.OpenRuns {
		used[h.Runner] += h.Requirements.Accelerators
	}
	needs, placed := map[string]carawayshift.Demand{}, map[string]int{}
	for _, d := range l.Demands {
		needs[d.Batch] = d
	}
	for _, s := range out.Starts {
		used[s.Runner] += needs[s.Task.Batch].Requirements.Accelerators
		placed[s.Task.Batch]++
	}
	for id, n := range used {
		if n > 8 {
			t.Fatalf("runner %s gets %d accelerators of 8", id, n)
		}
	}
	for id, n := range placed {
		if d := needs[id]; d.Requirements.Gang && n != len(d.Indexes) {
			t.Fatalf("%d of %d members of gang %s are placed", n, len(d.Indexes), id)
		}
	}
}
