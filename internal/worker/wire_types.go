package worker

import (
	"time"

	"carawayshift.example/carawayshift"
)

// announcement is the body of POST /v1/workers.
type announcement struct {
	Name         string       `json:"name"`
	Incarnation  uint64       `json:"incarnation"`
	Zone         string       `json:"zone"`
	Rack         string       `json:"rack"`
	Address      string       `json:"address"`
	Cores        int          `json:"cores"`
	Memory       int          `json:"memory"`
	Accelerators int          `json:"accelerators"`
	Leaving      bool         `json:"leaving,omitempty"`
	Tasks        []taskReport `json:"tasks,omitempty"`
	// Clock is the worker's monotonic clock in ms.
	Clock int64 `json:"clock"`
}

type taskReport struct {
	Job          uint64 `json:"job"`
	Attempt      int    `json:"attempt"`
	Task         int    `json:"task"`
	State        string `json:"state"`
	Accelerators int    `json:"accelerators"`
	// Checkpoint is in ms of run time.
	Checkpoint int64  `json:"checkpoint,omitempty"`
	Error      string `json:"error,omitempty"`
}

// call is the body of POST /tasks/...
type call struct {
	Tasks []carawayshift.TaskSpec `json:"tasks"`
	// Lease is in ms from the arrival of the call.
	Lease int64 `json:"lease,omitempty"`
	// Until is the end of a renewed lease in ms of the worker's clock.
	Until int64 `json:"until,omitempty"`
	// Percent is the share of processor time that a throttled task keeps.
	Percent int `json:"percent,omitempty"`
}

// result is the body of a worker's answer.
type result struct {
	// Checkpoint is the run time in ms that all addressed tasks have saved.
	Checkpoint int64 `json:"checkpoint"`
	// Left is the shortest time in ms until a lease of the tasks ends.
	Left int64 `json:"left"`
}

// refusal is the body of a worker's answer other than 2xx.
type refusal struct {
	Error  string `json:"error"`
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
}

// share passes announcements on to a host of the same zone.
type share struct {
	Entries []shareEntry `cbor:"1,keyasint"`
}

// shareEntry has the whole worker when it changed, and otherwise its name and
// incarnation only.
type shareEntry struct {
	Name        string               `cbor:"1,keyasint"`
	Incarnation uint64               `cbor:"2,keyasint"`
	Age         time.Duration        `cbor:"3,keyasint"`
	Worker      *carawayshift.Worker `cbor:"4,keyasint,omitempty"`
	// Clock is the worker's clock at the announcement.
	Clock time.Duration `cbor:"5,keyasint"`
}

// shareReply names the workers that the receiver doesn't know yet.
type shareReply struct {
	Unknown []string `cbor:"1,keyasint,omitempty"`
}

// digest is a zone's table as its lease holder sends it to the leader.
type digest struct {
	Zone    string                `cbor:"1,keyasint"`
	Changed []carawayshift.Worker `cbor:"2,keyasint,omitempty"`
	Removed []string              `cbor:"3,keyasint,omitempty"`
	// Sum is the checksum of the table after the changes.
	Sum uint64 `cbor:"4,keyasint"`
	// Whole says that Changed has the whole table.
	Whole bool `cbor:"5,keyasint,omitempty"`
}

// digestReply asks for the whole table when the checksums differ.
type digestReply struct {
	Resend bool `cbor:"1,keyasint,omitempty"`
}

func (a announcement) worker() carawayshift.Worker {
	w := carawayshift.Worker{
		Name: a.Name, Incarnation: a.Incarnation, Zone: a.Zone, Rack: a.Rack, Address: a.Address,
		Cores: a.Cores, Memory: a.Memory, Accelerators: a.Accelerators, Leaving: a.Leaving,
		Clock: time.Duration(a.Clock) * time.Millisecond,
	}
	for _, t := range a.Tasks {
		w.Tasks = append(w.Tasks, carawayshift.TaskReport{
			Job: t.Job, Attempt: t.Attempt, Task: t.Task,
			State: carawayshift.TaskState(t.State), Accelerators: t.Accelerators,
			Checkpoint: time.Duration(t.Checkpoint) * time.Millisecond, Error: t.Error,
		})
	}
	return w
}

// validate returns an Error of kind Malformed that names the faulty field.
func (a announcement) validate(zone string) error {
	switch {
	case a.Name == "" || a.Address == "" || a.Rack == "":
		return carawayshift.NewError(carawayshift.Malformed, "name, address and rack must be set", "send all three in the announcement")
	case a.Zone != zone:
		return carawayshift.NewError(carawayshift.Malformed, "worker "+a.Name+" announces zone "+a.Zone+" to a host of zone "+zone, "announce to an entry host of the worker's own zone")
	case a.Incarnation == 0:
		return carawayshift.NewError(carawayshift.Malformed, "incarnation must be positive", "send the start time of the process in ms")
	case a.Accelerators < 1 || a.Accelerators&(a.Accelerators-1) != 0:
		return carawayshift.NewError(carawayshift.Malformed, "accelerators must be a power of two", "announce 1, 2, 4 or 8")
	case a.Cores < 0 || a.Memory < 0:
		return carawayshift.NewError(carawayshift.Malformed, "cores and memory must not be negative", "send cores, and memory in MB")
	}
	return nil
}
