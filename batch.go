package carawayshift

import (
	"fmt"
	"time"
)

// BatchState is the state of a batch as its caller sees it.
type BatchState string

// States of a batch. Queued batches have started no task yet.
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

// Batch is a job of steps that a caller hands in through a queue. A step has
// tasks, which run once the steps that it names in After have finished.
type Batch struct {
	// ID is chosen by the caller, so that a resend is recognised.
	ID   string `cbor:"1,keyasint" json:"id"`
	Team string `cbor:"2,keyasint,omitempty" json:"team"`
	// Queue is copied from the catalog when the batch is accepted: a later
	// catalog may drop the queue.
	Queue Queue  `cbor:"3,keyasint" json:"queue"`
	Spec  string `cbor:"4,keyasint,omitempty" json:"spec"`
	Steps []Step `cbor:"5,keyasint" json:"steps"`
	// Repeat is how often the steps run, 0 for a batch that runs once at once.
	// Occurrence n is due at First + n*Interval.
	Repeat   int           `cbor:"6,keyasint,omitempty" json:"repeat,omitempty"`
	First    time.Time     `cbor:"7,keyasint,omitempty" json:"first"`
	Interval time.Duration `cbor:"8,keyasint,omitempty" json:"interval,omitempty"`
	Accepted time.Time     `cbor:"9,keyasint" json:"accepted"`
	State    BatchState    `cbor:"10,keyasint" json:"state"`
	Ended    time.Time     `cbor:"11,keyasint,omitempty" json:"ended"`
	// Occurrences holds the tasks of each occurrence that has come due; a
	// batch that runs once has one.
	Occurrences []Occurrence `cbor:"12,keyasint,omitempty" json:"occurrences,omitempty"`
}

// BatchOutcome tells how a batch ended.
type BatchOutcome struct {
	Queue string
	Team  string
	State BatchState
	// Elapsed is the time from the acceptance to the end, or from when the last
	// occurrence was due.
	Elapsed time.Duration
	// Objective is the time in which the queue promises the end, by the
	// declared run times.
	Objective time.Duration
}

// Step is a set of equal tasks of a batch.
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
	// Checkpoints says that a stopped task can resume.
	Checkpoints bool `cbor:"7,keyasint,omitempty" json:"checkpoints,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `cbor:"8,keyasint,omitempty" json:"gang,omitempty"`
	// SameRack tasks are slow when they run on more than one rack.
	SameRack bool `cbor:"9,keyasint,omitempty" json:"onerack,omitempty"`
	// Label is one that the runner must have, DataRack the rack on which the
	// tasks are fast.
	Label    string `cbor:"10,keyasint,omitempty" json:"label,omitempty"`
	DataRack string `cbor:"11,keyasint,omitempty" json:"datarack,omitempty"`
	// MaxPerRunner is the most tasks of one occurrence on one runner, 0 for any.
	MaxPerRunner int `cbor:"12,keyasint,omitempty" json:"spread,omitempty"`
	// Speculative allows parallel runs of one task.
	Speculative bool `cbor:"13,keyasint,omitempty" json:"copies,omitempty"`
	// LongRunning tasks run until the batch is cancelled.
	LongRunning bool   `cbor:"14,keyasint,omitempty" json:"lasting,omitempty"`
	Image       string `cbor:"15,keyasint,omitempty" json:"image,omitempty"`
	// TailLatency is the bound of a lasting task's response times, 0 for none.
	TailLatency time.Duration `cbor:"16,keyasint,omitempty" json:"tail,omitempty"`
	// BestEffort tasks use the cores that other tasks leave idle; MilliCores is
	// not reserved for them.
	BestEffort bool `cbor:"17,keyasint,omitempty" json:"filler,omitempty"`
	// MaxUnavailable is how many lasting tasks may be away at once for our reasons.
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
}

// Task is the progress of a task. At most one run of it is open.
type Task struct {
	// Run numbers the runs from 1; 0 means that none was ordered yet.
	Run int `cbor:"1,keyasint,omitempty" json:"run,omitempty"`
	// Runner and Life name the runner process of the last run.
	Runner      string `cbor:"2,keyasint,omitempty" json:"runner,omitempty"`
	Incarnation int64  `cbor:"3,keyasint,omitempty" json:"life,omitempty"`
	// Open says that the last run was ordered and its end is not recorded.
	Open     bool `cbor:"4,keyasint,omitempty" json:"open,omitempty"`
	Finished bool `cbor:"5,keyasint,omitempty" json:"finished,omitempty"`
	Failed   int  `cbor:"6,keyasint,omitempty" json:"failed,omitempty"`
	// Checkpoint is the newest one, "" for none.
	Checkpoint string `cbor:"7,keyasint,omitempty" json:"checkpoint,omitempty"`
	// Ordered is when the last run was ordered.
	Ordered time.Time `cbor:"8,keyasint,omitempty" json:"ordered"`
}

// TaskName names one task of a batch.
type TaskName struct {
	Batch      string `cbor:"1,keyasint" json:"batch"`
	Occurrence int    `cbor:"2,keyasint,omitempty" json:"occurrence"`
	Step       int    `cbor:"3,keyasint,omitempty" json:"step"`
	Index      int    `cbor:"4,keyasint,omitempty" json:"index"`
}

func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Batch, n.Occurrence, n.Step, n.Index)
}

// RunStart orders a run of a task on a runner.
type RunStart struct {
	Task        TaskName `cbor:"1,keyasint" json:"task"`
	Run         int      `cbor:"2,keyasint" json:"run"`
	Runner      string   `cbor:"3,keyasint" json:"runner"`
	Incarnation int64    `cbor:"4,keyasint,omitempty" json:"life"`
}

// RunEnding is how a run ended.
type RunEnding string

// Endings of runs. Only failed runs count against the queue's attempts.
const (
	RunFinished RunEnding = "finished"
	RunFailed   RunEnding = "failed"
	RunStopped  RunEnding = "stopped"
	// RunLapsed runs were killed by their runner when their lease expired.
	RunLapsed RunEnding = "lapsed"
	// RunBroken runs ended because another member of the gang did.
	RunBroken RunEnding = "broken"
	// RunAlone runs waited too long for the other members of the gang.
	RunAlone RunEnding = "alone"
	// RunLost runs were never begun, or went down with their runner.
	RunLost RunEnding = "lost"
)

// RunEnd records the end of a run.
type RunEnd struct {
	Task       TaskName  `cbor:"1,keyasint" json:"task"`
	Run        int       `cbor:"2,keyasint" json:"run"`
	Ending     RunEnding `cbor:"3,keyasint" json:"ending"`
	Checkpoint string    `cbor:"4,keyasint,omitempty" json:"checkpoint,omitempty"`
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
	// ForgetBefore drops batches that ended before it.
	ForgetBefore time.Time `cbor:"7,keyasint,omitempty" json:"forget"`
}

// OccurrenceDue opens the next occurrence of a repeated batch.
type OccurrenceDue struct {
	Batch      string `cbor:"1,keyasint" json:"batch"`
	Occurrence int    `cbor:"2,keyasint" json:"occurrence"`
}
