package carawayshift

import "time"

// Worker is a machine that runs the tasks of gang jobs.
type Worker struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Incarnation increases at each start of the worker's process.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Zone        string `cbor:"3,keyasint" json:"zone"`
	Rack        string `cbor:"4,keyasint" json:"rack"`
	// Address is the host:port of the worker's HTTP interface.
	Address string `cbor:"5,keyasint" json:"address"`
	Cores   int    `cbor:"6,keyasint" json:"cores"`
	// Memory is in MB.
	Memory       int  `cbor:"7,keyasint" json:"memory"`
	Accelerators int  `cbor:"8,keyasint" json:"accelerators"`
	Leaving      bool `cbor:"9,keyasint,omitempty" json:"leaving,omitempty"`
	// Quarantined is true while the worker gets no work because tasks that
	// run on other workers failed on it.
	Quarantined bool `cbor:"10,keyasint,omitempty" json:"quarantined,omitempty"`
	// Tasks lists the tasks that the worker reports as present.
	Tasks []TaskReport `cbor:"11,keyasint,omitempty" json:"tasks,omitempty"`
	// Clock is the worker's monotonic clock at the announcement.
	Clock time.Duration `cbor:"12,keyasint,omitempty" json:"clock,omitempty"`
	// Seen is the local time at which the last announcement arrived. It is
	// not sent to other hosts.
	Seen time.Time `cbor:"-" json:"-"`
}

// TaskState is the state of one task as its worker reports it.
type TaskState string

// States of a task on a worker.
const (
	TaskPrepared TaskState = "prepared"
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// TaskReport is a worker's report of one task. Usage is reported with a delay.
type TaskReport struct {
	Job     uint64    `cbor:"1,keyasint" json:"job"`
	Attempt int       `cbor:"2,keyasint" json:"attempt"`
	Task    int       `cbor:"3,keyasint" json:"task"`
	State   TaskState `cbor:"4,keyasint" json:"state"`
	// Checkpoint is the run time that the last checkpoint covers.
	Checkpoint time.Duration `cbor:"5,keyasint,omitempty" json:"checkpoint,omitempty"`
	// Accelerators is the number that the task occupies on the worker.
	Accelerators int `cbor:"6,keyasint" json:"accelerators"`
	// Error is the worker's text for a failed task.
	Error string `cbor:"7,keyasint,omitempty" json:"error,omitempty"`
}

// Runner is a back end that answers short requests.
type Runner struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Zone        string `cbor:"3,keyasint" json:"zone"`
	Service     string `cbor:"4,keyasint" json:"service"`
	// Address is the host:port of the runner's HTTP interface.
	Address string `cbor:"5,keyasint" json:"address"`
	// Slots is the number of requests that the runner processes concurrently.
	Slots int `cbor:"6,keyasint" json:"slots"`
	// Connections is the number of connections that the runner accepts.
	Connections int  `cbor:"7,keyasint" json:"connections"`
	Leaving     bool `cbor:"8,keyasint,omitempty" json:"leaving,omitempty"`
	// Expiry is how long the announcement is valid after it arrived.
	Expiry time.Duration `cbor:"9,keyasint" json:"expiry"`
	// Seen is the local time at which the last announcement arrived.
	Seen time.Time `cbor:"-" json:"-"`
}
