package carawayshift

import "time"

// JobState is the state of a gang job.
type JobState string

// States of a job. Placed jobs have workers but no task has started; the
// tasks of stopping jobs have been requested to stop and may still run.
const (
	JobWaiting   JobState = "waiting"
	JobPlaced    JobState = "placed"
	JobRunning   JobState = "running"
	JobStopping  JobState = "stopping"
	JobFinished  JobState = "finished"
	JobCancelled JobState = "cancelled"
	JobHeld      JobState = "held"
	JobParked    JobState = "parked"
)

// Job is a gang job: all of its tasks run at the same time, or none does.
type Job struct {
	ID   uint64 `cbor:"1,keyasint" json:"id"`
	Name string `cbor:"2,keyasint" json:"name"`
	Team string `cbor:"3,keyasint" json:"team"`
	// Tasks is the size of the gang.
	Tasks int `cbor:"4,keyasint" json:"tasks"`
	// Accelerators, Cores and Memory (MB) are needed by each task. A task
	// fits on one worker.
	Accelerators int  `cbor:"5,keyasint" json:"accelerators"`
	Cores        int  `cbor:"6,keyasint,omitempty" json:"cores,omitempty"`
	Memory       int  `cbor:"7,keyasint,omitempty" json:"memory,omitempty"`
	Urgent       bool `cbor:"8,keyasint,omitempty" json:"urgent,omitempty"`
	// Due is when the customer needs the result; zero is no due time.
	Due time.Time `cbor:"9,keyasint,omitempty" json:"due"`
	// Declared is the run time that the submitter declared.
	Declared time.Duration `cbor:"10,keyasint,omitempty" json:"declared,omitempty"`
	State    JobState      `cbor:"11,keyasint" json:"state"`
	// Attempt numbers the placements of the job from 1. Reports of an older
	// attempt change nothing.
	Attempt int `cbor:"12,keyasint,omitempty" json:"attempt,omitempty"`
	// Zone and Placements are the location of the current attempt.
	Zone       string          `cbor:"13,keyasint,omitempty" json:"zone,omitempty"`
	Placements []TaskPlacement `cbor:"14,keyasint,omitempty" json:"placements,omitempty"`
	// Borrowed is true while the current attempt uses accelerators beyond
	// the team's guarantee; borrowed work can be reclaimed.
	Borrowed bool `cbor:"15,keyasint,omitempty" json:"borrowed,omitempty"`
	// Checkpoint is the run time covered by the last checkpoint.
	Checkpoint time.Duration `cbor:"16,keyasint,omitempty" json:"checkpoint,omitempty"`
	// Failures counts attempts that ended in an error of a task; a job is
	// parked at MaxFailures. Stops by reclaim or drain do not count.
	Failures int `cbor:"17,keyasint,omitempty" json:"failures,omitempty"`
	// FailedOn names the workers on which attempts failed, newest last.
	FailedOn  []string  `cbor:"18,keyasint,omitempty" json:"failed_on,omitempty"`
	Submitted time.Time `cbor:"19,keyasint" json:"submitted"`
	Started   time.Time `cbor:"20,keyasint,omitempty" json:"started"`
	Ended     time.Time `cbor:"21,keyasint,omitempty" json:"ended"`
	// Reason explains to operators why the job is in its state.
	Reason string `cbor:"22,keyasint,omitempty" json:"reason,omitempty"`
	// By is the operator who created the job.
	By string `cbor:"23,keyasint,omitempty" json:"by,omitempty"`
	// StateAfterStop is the state that a stopping job enters once all tasks have
	// stopped: waiting, held, cancelled or parked.
	StateAfterStop JobState `cbor:"24,keyasint,omitempty" json:"stop_to,omitempty"`
}

// MaxFailures is the number of failed attempts after which a job is parked.
const MaxFailures = 5

// TaskPlacement binds one task of a gang to a worker.
type TaskPlacement struct {
	Task   int    `cbor:"1,keyasint" json:"task"`
	Worker string `cbor:"2,keyasint" json:"worker"`
	// Incarnation is the worker's incarnation at placement.
	Incarnation  uint64 `cbor:"3,keyasint" json:"incarnation"`
	Accelerators int    `cbor:"4,keyasint" json:"accelerators"`
}

// Size returns the number of accelerators of the whole gang.
func (j Job) Size() int { return j.Tasks * j.Accelerators }

// Active reports whether the job occupies accelerators.
func (j Job) Active() bool {
	return j.State == JobPlaced || j.State == JobRunning || j.State == JobStopping
}

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s == JobFinished || s == JobCancelled }
