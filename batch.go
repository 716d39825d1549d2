package carawayshift

import (
	"fmt"
	"time"
)

// BatchState is the state of a batch as its caller sees it.
type BatchState string

// States of a batch. No task of a queued batch has started yet.
const (
	BatchQueued    BatchState = "queued"
	BatchRunning   BatchState = "running"
	BatchFinished  BatchState = "finished"
	BatchFailed    BatchState = "failed"
	BatchCancelled BatchState = "cancelled"
)

// Ended reports whether the state is final.
func (s BatchState) Ended() bool {
	return s == BatchFinished || s == BatchFailed || s == BatchCancelled
}

// Batch is a job that a caller submits to a queue. It consists of steps; the
// tasks of a step run once the steps listed in its After have finished.
type Batch struct {
	// ID is chosen by the caller, so that a retry is recognised as a duplicate.
	ID   string `cbor:"1,keyasint" json:"id"`
	Team string `cbor:"2,keyasint,omitempty" json:"team"`
	// Queue is copied from the catalog when the batch is accepted: a later
	// catalog may drop the queue.
	Queue Queue  `cbor:"3,keyasint" json:"queue"`
	Spec  string `cbor:"4,keyasint,omitempty" json:"spec"`
	Steps []Step `cbor:"5,keyasint" json:"steps"`
	// Repeat is how often the steps run, 0 for a batch that runs once,
	// immediately. Occurrence n is due at First + n*Interval.
	Repeat   int           `cbor:"6,keyasint,omitempty" json:"repeat,omitempty"`
	First    time.Time     `cbor:"7,keyasint,omitempty" json:"first"`
	Interval time.Duration `cbor:"8,keyasint,omitempty" json:"interval,omitempty"`
	Accepted time.Time     `cbor:"9,keyasint" json:"accepted"`
	State    BatchState    `cbor:"10,keyasint" json:"state"`
	Ended    time.Time     `cbor:"11,keyasint,omitempty" json:"ended"`
	// Occurrences holds the tasks of each occurrence that has come due; a
	// batch that runs once has one.
	Occurrences []Occurrence `cbor:"12,keyasint,omitempty" json:"occurrences,omitempty"`
	// Begun is true once a run has ended that was not lost before it started.
	Begun bool `cbor:"13,keyasint,omitempty" json:"begun,omitempty"`
	// Excess is true if the batch was accepted beyond its team's weight.
	Excess bool `cbor:"14,keyasint,omitempty" json:"excess,omitempty"`
}

// BatchOutcome describes how a batch ended.
type BatchOutcome struct {
	Queue string
	Team  string
	State BatchState
	// Elapsed is the time from the acceptance to the end, or from when the last
	// occurrence was due.
	Elapsed time.Duration
	// Objective is the time within which the batch is to end by the queue's
	// settings and the declared run times.
	Objective time.Duration
}

// Step is a set of identical tasks of a batch.
type Step struct {
	Count int `cbor:"1,keyasint" json:"count"`
	// MilliCores is in thousandths of a core, Memory in MB.
	MilliCores   int `cbor:"2,keyasint,omitempty" json:"millicores,omitempty"`
	Memory       int `cbor:"3,keyasint,omitempty" json:"memory,omitempty"`
	Accelerators int `cbor:"4,keyasint,omitempty" json:"accelerators,omitempty"`
	// Declared is the caller's estimate of a task's run time.
	Declared time.Duration `cbor:"5,keyasint,omitempty" json:"declared,omitempty"`
	// After lists earlier steps, counted from 0, that must have finished.
	After []int `cbor:"6,keyasint,omitempty" json:"after,omitempty"`
	// Checkpoints is true when a stopped task can resume from a checkpoint.
	Checkpoints bool `cbor:"7,keyasint,omitempty" json:"checkpoints,omitempty"`
	// Gang tasks make progress only while all of them run.
	Gang bool `cbor:"8,keyasint,omitempty" json:"gang,omitempty"`
	// SameRack tasks are slow when they run on more than one rack.
	SameRack bool `cbor:"9,keyasint,omitempty" json:"onerack,omitempty"`
	// Label is a label that the runner must have, DataRack the rack on which
	// the tasks run fast.
	Label    string `cbor:"10,keyasint,omitempty" json:"label,omitempty"`
	DataRack string `cbor:"11,keyasint,omitempty" json:"datarack,omitempty"`
	// MaxPerRunner is the maximum number of tasks of one occurrence on one
	// runner, 0 for no limit.
	MaxPerRunner int `cbor:"12,keyasint,omitempty" json:"spread,omitempty"`
	// Speculative allows parallel runs of one task.
	Speculative bool `cbor:"13,keyasint,omitempty" json:"copies,omitempty"`
	// LongRunning tasks run until the batch is cancelled.
	LongRunning bool   `cbor:"14,keyasint,omitempty" json:"lasting,omitempty"`
	Image       string `cbor:"15,keyasint,omitempty" json:"image,omitempty"`
	// TailLatency is the limit for a long-running task's tail latency, 0 for
	// none.
	TailLatency time.Duration `cbor:"16,keyasint,omitempty" json:"tail,omitempty"`
	// BestEffort tasks use the cores that other tasks leave idle; MilliCores is
	// not reserved for them.
	BestEffort bool `cbor:"17,keyasint,omitempty" json:"filler,omitempty"`
	// MaxUnavailable is how many long-running tasks may be unavailable at the
	// same time because of this system, for example for maintenance.
	MaxUnavailable int `cbor:"18,keyasint,omitempty" json:"absent,omitempty"`
}

// Occurrence is one execution of a batch's steps.
type Occurrence struct {
	// Steps holds the tasks of each step.
	Steps []StepRun `cbor:"1,keyasint" json:"steps"`
}

// StepRun is the progress of a step.
type StepRun struct {
	Tasks []Task `cbor:"1,keyasint" json:"tasks"`
	// Finished counts the tasks that have finished.
	Finished int `cbor:"2,keyasint,omitempty" json:"finished,omitempty"`
	// Failed counts the failed runs of a gang.
	Failed int `cbor:"3,keyasint,omitempty" json:"failed,omitempty"`
	// FailedRun is the last run of a gang that was counted as failed.
	FailedRun int `cbor:"4,keyasint,omitempty" json:"failedrun,omitempty"`
	// Checkpoint is the newest checkpoint of a gang, "" for none: all members
	// resume from the same one. It is of run CheckpointRun.
	Checkpoint    string `cbor:"5,keyasint,omitempty" json:"checkpoint,omitempty"`
	CheckpointRun int    `cbor:"6,keyasint,omitempty" json:"checkpointrun,omitempty"`
	// StoppedRun is the last run of a gang of which a stopped member has written
	// a checkpoint.
	StoppedRun int `cbor:"7,keyasint,omitempty" json:"stoppedrun,omitempty"`
	// Ended is when the last task finished.
	Ended time.Time `cbor:"8,keyasint,omitempty" json:"ended"`
}

// Task is the progress of a task. At most one run of it is open.
type Task struct {
	// Run numbers the runs from 1; 0 means that none was requested yet.
	Run int `cbor:"1,keyasint,omitempty" json:"run,omitempty"`
	// Runner and Incarnation identify the runner process of the last run.
	Runner      string `cbor:"2,keyasint,omitempty" json:"runner,omitempty"`
	Incarnation int64  `cbor:"3,keyasint,omitempty" json:"life,omitempty"`
	// Open is true while the last run was requested and its end is not recorded.
	Open     bool `cbor:"4,keyasint,omitempty" json:"open,omitempty"`
	Finished bool `cbor:"5,keyasint,omitempty" json:"finished,omitempty"`
	Failed   int  `cbor:"6,keyasint,omitempty" json:"failed,omitempty"`
	// Checkpoint is the newest one, "" for none.
	Checkpoint string `cbor:"7,keyasint,omitempty" json:"checkpoint,omitempty"`
	// Ordered is the time at which the last run was requested.
	Ordered time.Time `cbor:"8,keyasint,omitempty" json:"ordered"`
}

// TaskName identifies one task of a batch.
type TaskName struct {
	Batch      string `cbor:"1,keyasint" json:"batch"`
	Occurrence int    `cbor:"2,keyasint,omitempty" json:"occurrence"`
	Step       int    `cbor:"3,keyasint,omitempty" json:"step"`
	Index      int    `cbor:"4,keyasint,omitempty" json:"index"`
}

func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Batch, n.Occurrence, n.Step, n.Index)
}

// RunStart assigns a run of a task to a runner.
type RunStart struct {
	Task        TaskName `cbor:"1,keyasint" json:"task"`
	Run         int      `cbor:"2,keyasint" json:"run"`
	Runner      string   `cbor:"3,keyasint" json:"runner"`
	Incarnation int64    `cbor:"4,keyasint,omitempty" json:"life"`
}

// RunOutcome is how a run ended.
type RunOutcome string

// Outcomes of runs. Only failed runs count against the MaxAttempts of the queue.
const (
	RunFinished RunOutcome = "finished"
	RunFailed   RunOutcome = "failed"
	RunStopped  RunOutcome = "stopped"
	// RunLeaseExpired runs were killed by their runner when their lease expired.
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangEnded runs ended because another member of the gang did.
	RunGangEnded RunOutcome = "broken"
	// RunGangTimeout runs waited too long for the other members of the gang.
	RunGangTimeout RunOutcome = "alone"
	// RunLost runs never started, or ended because their runner did.
	RunLost RunOutcome = "lost"
)

// RunEnd records the end of a run.
type RunEnd struct {
	Task       TaskName   `cbor:"1,keyasint" json:"task"`
	Run        int        `cbor:"2,keyasint" json:"run"`
	Outcome    RunOutcome `cbor:"3,keyasint" json:"ending"`
	Checkpoint string     `cbor:"4,keyasint,omitempty" json:"checkpoint,omitempty"`
	// Lingers is how long after this record a lost run may still be at work, or be
	// started by a delayed request. It counts against its team's cap until then.
	Lingers time.Duration `cbor:"5,keyasint,omitempty" json:"lingers,omitempty"`
}

// BatchChange is a change of batches and of the catalog. Its parts are applied
// in the order of the fields.
type BatchChange struct {
	Catalog *Catalog        `cbor:"1,keyasint,omitempty" json:"catalog,omitempty"`
	Submit  *Batch          `cbor:"2,keyasint,omitempty" json:"submit,omitempty"`
	Cancel  string          `cbor:"3,keyasint,omitempty" json:"cancel,omitempty"`
	Ends    []RunEnd        `cbor:"4,keyasint,omitempty" json:"ends,omitempty"`
	Due     []OccurrenceDue `cbor:"5,keyasint,omitempty" json:"due,omitempty"`
	Starts  []RunStart      `cbor:"6,keyasint,omitempty" json:"starts,omitempty"`
	Wave    *Wave           `cbor:"8,keyasint,omitempty" json:"wave,omitempty"`
	Upkeep  []WaveStep      `cbor:"9,keyasint,omitempty" json:"upkeep,omitempty"`
	// ForgetBefore removes the batches that ended before this time.
	ForgetBefore time.Time `cbor:"7,keyasint,omitempty" json:"forget"`
}

// OccurrenceDue starts the next occurrence of a repeated batch.
type OccurrenceDue struct {
	Batch      string `cbor:"1,keyasint" json:"batch"`
	Occurrence int    `cbor:"2,keyasint" json:"occurrence"`
}
