package carawayshift

import (
	"context"
	"time"
)

// Agent is one life of a runner that executes tasks of batches.
type Agent struct {
	ID string `cbor:"1,keyasint" json:"id"`
	// Incarnation is the runner's start in Unix milliseconds: a runner that starts
	// again may keep its ID.
	Incarnation int64  `cbor:"2,keyasint" json:"life"`
	Service     string `cbor:"3,keyasint" json:"service"`
	Zone        string `cbor:"4,keyasint" json:"zone"`
	Address     string `cbor:"5,keyasint" json:"address"`
	Machine     string `cbor:"6,keyasint,omitempty" json:"machine,omitempty"`
	Rack        string `cbor:"7,keyasint,omitempty" json:"rack,omitempty"`
	// Labels include the kind and the rack.
	Labels       []string `cbor:"8,keyasint,omitempty" json:"labels,omitempty"`
	MilliCores   int      `cbor:"9,keyasint,omitempty" json:"millicores"`
	Memory       int      `cbor:"10,keyasint,omitempty" json:"memory"`
	Accelerators int      `cbor:"11,keyasint,omitempty" json:"accelerators"`
	Leaving      bool     `cbor:"12,keyasint,omitempty" json:"leaving,omitempty"`
	// Remaining is the least time until a leaving runner ends.
	Remaining time.Duration `cbor:"13,keyasint,omitempty" json:"left,omitempty"`
	// Clock is the runner's steady clock at the report.
	Clock time.Duration `cbor:"14,keyasint,omitempty" json:"clock"`
	// Sequence rises with each report of one life.
	Sequence uint64 `cbor:"15,keyasint,omitempty" json:"sequence"`
}

// AgentCall is what every call to a runner carries.
type AgentCall struct {
	Agent Agent
	// Fence is the fencing token: a runner does nothing for a lower one than
	// it has seen.
	Fence uint64
}

// RunRequest starts a run.
type RunRequest struct {
	Task       TaskName
	Run        int
	Spec       string
	Checkpoint string
	// Ticket admits the step on an advised queue.
	Ticket string
	// Until is the end of the lease on the runner's clock.
	Until time.Duration
}

// RunReport is a run that a runner lists as present.
type RunReport struct {
	Task       TaskName
	Run        int
	Checkpoint string
	// Percent is the share of its speed at which the task works.
	Percent int
	// Load is the tail of the response times in ms of a lasting task, and the
	// used millicores of any other.
	Load int
}

// EndReport is a run's end that a runner lists until it is acknowledged.
type EndReport struct {
	Number uint64
	RunEnd
}

// AgentStatus is a runner's answer to a Hold.
type AgentStatus struct {
	Clock       time.Duration
	Incarnation int64
	Running     []RunReport
	Ended       []EndReport
}

// Refusal is why a runner refused a start.
type Refusal string

// Refusals of a start. The runner has done nothing.
const (
	RefusedFence       Refusal = "fence"
	RefusedOld         Refusal = "old"
	RefusedLate        Refusal = "late"
	RefusedCapacity    Refusal = "room"
	RefusedTicket      Refusal = "ticket"
	RefusedIncarnation Refusal = "life"
	RefusedUnhealthy   Refusal = "unhealthy"
	RefusedInvalid     Refusal = "invalid"
)

// RefusalError is the answer of a runner that did nothing.
type RefusalError struct {
	Reason Refusal
}

func (e *RefusalError) Error() string {
	return "the runner refused: " + string(e.Reason) + "; place the task again"
}

// AgentClient calls runners. An error that is no RefusalError leaves it open
// whether the call was carried out, or will be; kind NotRun says that nobody
// listens at the address.
type AgentClient interface {
	Start(ctx context.Context, o AgentCall, r RunRequest) (clock time.Duration, err error)
	Stop(ctx context.Context, o AgentCall, task TaskName, run int) (clock time.Duration, err error)
	// Renew extends the lease to until, acknowledges ends up to seen, and waits
	// up to wait for a new end.
	Renew(ctx context.Context, o AgentCall, seen uint64, until, wait time.Duration) (AgentStatus, error)
	// Throttle lets a task work at a share of its speed from 0 to 100.
	Throttle(ctx context.Context, o AgentCall, task TaskName, run, percent int) error
}

// Ticket admits the tasks of a step on a runner.
type Ticket struct {
	Runner string
	Text   string
}

// Advisor names the runners that may run a step of an advised queue.
type Advisor interface {
	// Advise returns the tickets of those runners among the named ones, and
	// how long they are valid. Kind Limited says that too many calls wait.
	Advise(ctx context.Context, step TaskName, runners []string) (tickets []Ticket, valid time.Duration, err error)
}

// Machine is a host of runners as the platform lists it.
type Machine struct {
	Name string
	// Pool is the service to which it belongs.
	Pool string
	// State is up, moving, upkeep or down.
	State string
	Zone  string
	// Runner is the id of its runner, "" without one.
	Runner string
}

// MachineUp is the state of a machine that can take orders.
const MachineUp = "up"

// Machines orders the platform's machines. The fencing token applies to each
// machine by itself.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Upkeep takes a machine down for its upkeep of a wave. Everything on it
	// ends at once. Kind Refused says that it is busy or not of that wave,
	// Conflict that a newer holder has ordered.
	Upkeep(ctx context.Context, holder string, fence uint64, machine string, wave int) error
}

// Wave is an order to give machines their upkeep.
type Wave struct {
	ID       int       `cbor:"1,keyasint" json:"id"`
	Machines []string  `cbor:"2,keyasint" json:"machines"`
	Due      time.Time `cbor:"3,keyasint" json:"due"`
	// Limit is the most machines that are down at once.
	Limit int `cbor:"4,keyasint" json:"limit"`
	// Started holds the machines whose upkeep was ordered, Done those that are
	// back or gone.
	Started []string `cbor:"5,keyasint,omitempty" json:"begun,omitempty"`
	Done    []string `cbor:"6,keyasint,omitempty" json:"done,omitempty"`
}

// Complete reports whether every machine had its upkeep.
func (w Wave) Complete() bool { return len(w.Done) >= len(w.Machines) }

// WaveStep records the progress of one machine of a wave.
type WaveStep struct {
	Wave    int    `cbor:"1,keyasint" json:"wave"`
	Machine string `cbor:"2,keyasint" json:"machine"`
	// Done is false when the upkeep is about to be ordered.
	Done bool `cbor:"3,keyasint,omitempty" json:"done,omitempty"`
}

// Address is what a caller's request names.
type Address struct {
	Host string `cbor:"1,keyasint" json:"host"`
	Path string `cbor:"2,keyasint" json:"path"`
	Key  string `cbor:"3,keyasint,omitempty" json:"-"`
}

// BatchAPI answers callers. Errors: NotFound for an unknown queue, Gone for an
// unknown batch, Unauthorized for an unknown key, Limited or NotRun when a
// batch was refused and never runs, OutcomeUnknown when that is unclear.
type BatchAPI interface {
	Submit(ctx context.Context, at Address, b Batch) error
	State(ctx context.Context, at Address) (BatchState, error)
	Cancel(ctx context.Context, at Address) error
	// Waiting counts the queue's batches of which no task has started.
	Waiting(ctx context.Context, at Address) (int, error)
}

// ControlAPI answers operators and runners.
type ControlAPI interface {
	Replace(ctx context.Context, c Catalog) error
	Catalog(ctx context.Context) (source []byte, err error)
	SetZone(ctx context.Context, zone string, out bool) error
	Report(ctx context.Context, a Agent) error
	Leave(ctx context.Context, id string) error
	StartWave(ctx context.Context, w Wave) error
	// WaveComplete has kind NotFound for a wave that nobody ordered.
	WaveComplete(ctx context.Context, id int) (bool, error)
}

// AgentReport is a runner's report as a control host heard it some time ago.
type AgentReport struct {
	Agent Agent         `cbor:"1,keyasint"`
	Age   time.Duration `cbor:"2,keyasint"`
}
