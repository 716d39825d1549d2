package carawayshift

import "time"

// Demand is the waiting tasks of one step.
type Demand struct {
	Batch      string
	Occurrence int
	Step       int
	// Indexes are the waiting tasks; a gang waits as a whole.
	Indexes []int
	// Runs holds the number of the next run of each task in Indexes.
	Runs         []int
	Team         string
	Queue        Queue
	Requirements Step
	Accepted     time.Time
	// Due is when the batch misses its objective, by the declared run times.
	Due time.Time
	// Expected is how long a task of the step probably runs.
	Expected time.Duration
	// Excluded are runners on which tasks of the batch have failed.
	Excluded map[string]bool
	// Allowed limits the runners to those with a ticket; nil allows all.
	Allowed map[string]bool
	// OpenRuns counts the open runs of the step on each runner.
	OpenRuns map[string]int
}

// Task returns the name of the i-th waiting task.
func (d Demand) Task(i int) TaskName {
	return TaskName{Batch: d.Batch, Occurrence: d.Occurrence, Step: d.Step, Index: d.Indexes[i]}
}

// OpenRun is an open run, which occupies its runner.
type OpenRun struct {
	Task         TaskName
	Run          int
	Runner       string
	Incarnation  int64
	Team         string
	Priority     int
	Requirements Step
	Queue        string
	Ordered      time.Time
	Checkpoint   string
	// Expected is how long the run probably takes from Ordered on.
	Expected time.Duration
	// Ends is when the run is expected to end by its progress; zero if nothing
	// is known of that yet.
	Ends time.Time
	// Obsolete runs belong to a batch that was cancelled or has failed. The
	// runs of one that has finished end by themselves.
	Obsolete bool
	// BatchEnded runs belong to a batch that has ended in any way.
	BatchEnded bool
	// Stopping runs have been told to stop, or have ended and wait for their
	// commit.
	Stopping bool
}

// DispatchInput is what the dispatcher sees: demands in the order of acceptance.
type DispatchInput struct {
	Now      time.Time
	Agents   []Agent
	OpenRuns []OpenRun
	Demands  []Demand
	// Guarantees maps teams to their accelerators for priority 0.
	Guarantees map[string]int
	// ClosedZones are the zones that take no work, Emptying the machines that are
	// about to go down for upkeep.
	ClosedZones      map[string]bool
	DrainingMachines map[string]bool
}

// Dispatch is a decision for one Load.
type Dispatch struct {
	Starts []DispatchStart
	Stops  []DispatchStop
	// Waits explains each demand that keeps waiting.
	Waits []DispatchWait
}

// DispatchStart puts a task on a runner. The members of a gang are adjacent.
type DispatchStart struct {
	RunStart
	// Alternatives is the number of other runners that would have fit.
	Alternatives int
}

// DispatchStop preempts a run.
type DispatchStop struct {
	Task   TaskName
	Run    int
	Runner string
	// For is the batch that gets the room.
	For string
}

// DispatchWait explains why a demand waits.
type DispatchWait struct {
	Batch string
	Rule  string
}

// Dispatcher decides which tasks run where. It is a pure function of its
// input.
type Dispatcher interface {
	Dispatch(l DispatchInput) Dispatch
}
