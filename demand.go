package carawayshift

import "time"

// Demand describes the waiting tasks of one step.
type Demand struct {
	Batch      string
	Occurrence int
	Step       int
	// Indexes are the indexes of the waiting tasks; either all tasks of a gang
	// wait or none does.
	Indexes []int
	// Runs holds the number of the next run of each task in Indexes.
	Runs         []int
	Team         string
	Queue        Queue
	Requirements Step
	Accepted     time.Time
	// Ready is when the steps that the step depends on had finished.
	Ready time.Time
	// Due is the time by which the batch must end to meet its objective, which
	// is based on the declared run times.
	Due time.Time
	// Expected is the estimated run time of a task of the step.
	Expected time.Duration
	// Excluded holds the runners on which tasks of the batch have failed.
	Excluded map[string]bool
	// Allowed limits the runners to those with a ticket; nil allows all.
	Allowed map[string]bool
	// OpenRuns counts the open runs of the step on each runner.
	OpenRuns map[string]int
	// Excess is true if the batch was submitted beyond its team's weight.
	Excess bool
}

// Task returns the name of the i-th waiting task.
func (d Demand) Task(i int) TaskName {
	return TaskName{Batch: d.Batch, Occurrence: d.Occurrence, Step: d.Step, Index: d.Indexes[i]}
}

// OpenRun is a run that has not ended and occupies resources of its runner.
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
	// Ready is when the steps that the step depends on had finished.
	Ready time.Time
	// Objective is the time within which the batch is to end, based on the declared run
	// times.
	Objective time.Duration
	// Expected is the estimated run time, counted from Ordered.
	Expected time.Duration
	// Ends is the end of the run as estimated from its progress; zero if the
	// progress is not known yet.
	Ends time.Time
	// Obsolete runs belong to a batch that was cancelled or has failed. The
	// runs of one that has finished end by themselves.
	Obsolete bool
	// BatchEnded is true when the run's batch has ended in any state.
	BatchEnded bool
	// Availability tells whether the task is at work, for steps with MaxUnavailable.
	Availability Availability
	// Stopping runs have been requested to stop, or have ended and wait for their
	// commit.
	Stopping bool
}

// Availability tells whether a long-running task is at work.
type Availability int

// Availabilities. An uncertain task may be at work.
const (
	TaskUncertain Availability = iota
	TaskAvailable
	TaskUnavailable
)

// DispatchInput is the input of the dispatcher, with the demands in the order
// of acceptance.
type DispatchInput struct {
	Now      time.Time
	Agents   []Agent
	OpenRuns []OpenRun
	Demands  []Demand
	// Guarantees maps teams to the accelerators guaranteed for priority 0.
	Guarantees map[string]int
	// Caps holds the limits of the teams that have any, see CatalogTeam.Cap, and
	// InUse what counts against them: the teams' open runs, and those that were
	// given up and may still be at work.
	Caps, InUse map[string]Resources
	// Speeds maps ids of runners to their speed relative to the nominal one, where
	// it is known.
	Speeds map[string]float64
	// ClosedZones holds the zones that take no work, DrainingMachines the
	// machines that are about to go down for maintenance.
	ClosedZones      map[string]bool
	DrainingMachines map[string]bool
}

// Dispatch is the decision for one DispatchInput.
type Dispatch struct {
	Starts []DispatchStart
	Stops  []DispatchStop
	// Waits explains each demand that keeps waiting.
	Waits []DispatchWait
}

// DispatchStart assigns a task to a runner. The members of a gang are adjacent.
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
	// For is the batch that gets the freed capacity.
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
	Dispatch(in DispatchInput) Dispatch
}
