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

// taskCall is the body of POST /tasks/...
type taskCall struct {
	Tasks []carawayshift.TaskSpec `json:"tasks"`
	// Lease is the duration of the lease in ms, counted from the arrival of the
	// call.
	Lease int64 `json:"lease,omitempty"`
	// Until is the end of a renewed lease on the worker's clock, in ms.
	Until int64 `json:"until,omitempty"`
	// Percent is the percentage of its processor time that a throttled task keeps.
	Percent int `json:"percent,omitempty"`
}

// taskResult is the body of a worker's response.
type taskResult struct {
	// Checkpoint is the run time in ms that all addressed tasks have saved.
	Checkpoint int64 `json:"checkpoint"`
	// Left is the shortest time in ms until a lease of the tasks ends.
	Left int64 `json:"left"`
}

// refusal is the body of a worker's response with a status other than 2xx, and of
// the response to a refused announcement.
type refusal struct {
	Error  string `json:"error"`
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
}

// forwardedAnnouncements is the body of worker.share, which forwards announcements
// to a host of the same zone.
type forwardedAnnouncements struct {
	Entries []forwardedAnnouncement `cbor:"1,keyasint"`
}

// forwardedAnnouncement is one of the announcements. Worker is set only if the
// receiver did not know the incarnation or the worker has tasks.
type forwardedAnnouncement struct {
	Name        string               `cbor:"1,keyasint"`
	Incarnation uint64               `cbor:"2,keyasint"`
	Age         time.Duration        `cbor:"3,keyasint"`
	Worker      *carawayshift.Worker `cbor:"4,keyasint,omitempty"`
	// Clock is the worker's clock at the announcement.
	Clock time.Duration `cbor:"5,keyasint"`
}

// forwardReply names the workers whose incarnation the receiver does not know.
type forwardReply struct {
	Unknown []string `cbor:"1,keyasint,omitempty"`
}

// digest is the body of worker.digest, with which the zone's lease holder sends the
// changes of the zone's table to the leader.
type digest struct {
	Zone    string                `cbor:"1,keyasint"`
	Changed []carawayshift.Worker `cbor:"2,keyasint,omitempty"`
	Removed []string              `cbor:"3,keyasint,omitempty"`
	// Checksum is the checksum of the full table after the changes.
	Checksum uint64 `cbor:"4,keyasint"`
	// Full is true when Changed contains the full table.
	Full bool `cbor:"5,keyasint,omitempty"`
}

// digestReply requests the full table if the checksums differ.
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

// validate returns an Error of kind Malformed that names the invalid field.
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
