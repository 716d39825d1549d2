package carawayshift

import (
	"context"
	"time"
)

// Agent is one incarnation of a runner that executes tasks of batches.
type Agent struct {
	ID string `cbor:"1,keyasint" json:"id"`
	// Incarnation is the start time of the runner's process in Unix
	// milliseconds: a runner that restarts may keep its ID.
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
	// Remaining is the minimum time until a leaving runner exits.
	Remaining time.Duration `cbor:"13,keyasint,omitempty" json:"left,omitempty"`
	// Clock is the runner's monotonic clock at the time of the report.
	Clock time.Duration `cbor:"14,keyasint,omitempty" json:"clock"`
	// Sequence increases with each report of one incarnation.
	Sequence uint64 `cbor:"15,keyasint,omitempty" json:"sequence"`
}

// AgentCall holds what every call to a runner carries.
type AgentCall struct {
	Agent Agent
	// Fence is the fencing token. A runner refuses a call whose token is lower
	// than the highest one that it has seen.
	Fence uint64
	// Single is true if no other call is expected to follow soon. No connection is kept
	// for one then.
	Single bool
}

// RunRequest asks a runner to start a run.
type RunRequest struct {
	Task       TaskName
	Run        int
	Spec       string
	Checkpoint string
	// Ticket authorizes the step on an advised queue.
	Ticket string
	// Until is the end of the lease on the runner's clock.
	Until time.Duration
}

// RunReport describes a run that is present on a runner.
type RunReport struct {
	Task       TaskName
	Run        int
	Checkpoint string
	// Percent is the task's current speed in percent of its full speed.
	Percent int
	// Load is the tail latency in milliseconds of a long-running task, and the
	// CPU use in millicores of any other task.
	Load int
}

// EndReport describes the end of a run. The runner reports it until it is
// acknowledged.
type EndReport struct {
	Number uint64
	RunEnd
}

// AgentStatus is a runner's response to AgentClient.Renew.
type AgentStatus struct {
	Clock       time.Duration
	Incarnation int64
	Running     []RunReport
	// Ended lists the ends that were not acknowledged, in the order of their
	// numbers. MoreEnds is true if the runner may have further ones, with higher
	// numbers: it lists only so many at a time.
	Ended    []EndReport
	MoreEnds bool
}

// Refusal is the reason why a runner refused to start a run.
type Refusal string

// Reasons for refusing a start. A refused start has no effect.
const (
	RefusedFence        Refusal = "fence"
	RefusedStaleRun     Refusal = "old"
	RefusedLeaseExpired Refusal = "late"
	RefusedCapacity     Refusal = "room"
	RefusedTicket       Refusal = "ticket"
	RefusedIncarnation  Refusal = "life"
	RefusedUnhealthy    Refusal = "unhealthy"
	RefusedInvalid      Refusal = "invalid"
)

// RefusalError is the error of a call that a runner refused and that had no effect.
type RefusalError struct {
	Reason Refusal
}

func (e *RefusalError) Error() string {
	return "the runner refused: " + string(e.Reason) + "; place the task again"
}

// AgentClient calls runners. After an error other than a RefusalError, the
// call may have been executed, or may still be; kind NotRun means that nothing
// listens at the address.
type AgentClient interface {
	Start(ctx context.Context, call AgentCall, r RunRequest) (clock time.Duration, err error)
	Stop(ctx context.Context, call AgentCall, task TaskName, run int) (clock time.Duration, err error)
	// Renew extends the lease to until, acknowledges the ends of runs numbered
	// up to seen, and waits up to wait for another run to end.
	Renew(ctx context.Context, call AgentCall, seen uint64, until, wait time.Duration) (AgentStatus, error)
	// Throttle limits a task to a percentage of its full speed, from 0 to 100.
	Throttle(ctx context.Context, call AgentCall, task TaskName, run, percent int) error
}

// Ticket authorizes a runner to run the tasks of a step.
type Ticket struct {
	Runner string
	Text   string
}

// Advisor names the runners that may run a step of an advised queue.
type Advisor interface {
	// Advise returns the tickets of those runners among the named ones, and
	// how long they are valid. Kind Limited means that too many calls are
	// pending.
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

// MachineUp is the state of a machine that accepts requests.
const MachineUp = "up"

// Machines controls the platform's machines. The fencing token is checked
// separately for each machine.
type Machines interface {
	// List returns the machines. One that is missing may exist: the list is read page
	// by page while it changes.
	List(ctx context.Context) ([]Machine, error)
	// Upkeep takes a machine down for its maintenance in a wave. Everything
	// that runs on it ends immediately. Kind Refused means that the machine is busy
	// or not part of that wave, Conflict that a newer holder has sent a
	// request.
	Upkeep(ctx context.Context, holder string, fence uint64, machine string, wave int) error
}

// Wave is a request for the maintenance of a set of machines.
type Wave struct {
	ID       int       `cbor:"1,keyasint" json:"id"`
	Machines []string  `cbor:"2,keyasint" json:"machines"`
	Due      time.Time `cbor:"3,keyasint" json:"due"`
	// Limit is the maximum number of machines that are down at the same time.
	Limit int `cbor:"4,keyasint" json:"limit"`
	// Started lists the machines whose maintenance was requested, Done those
	// that have returned or no longer exist.
	Started []string `cbor:"5,keyasint,omitempty" json:"begun,omitempty"`
	Done    []string `cbor:"6,keyasint,omitempty" json:"done,omitempty"`
}

// Complete reports whether the maintenance of every machine is done.
func (w Wave) Complete() bool { return len(w.Done) >= len(w.Machines) }

// WaveStep records the progress of one machine of a wave.
type WaveStep struct {
	Wave    int    `cbor:"1,keyasint" json:"wave"`
	Machine string `cbor:"2,keyasint" json:"machine"`
	// Done is false when the maintenance is about to be requested.
	Done bool `cbor:"3,keyasint,omitempty" json:"done,omitempty"`
}

// Address holds the host, path and key of a caller's request.
type Address struct {
	Host string `cbor:"1,keyasint" json:"host"`
	Path string `cbor:"2,keyasint" json:"path"`
	Key  string `cbor:"3,keyasint,omitempty" json:"-"`
}

// BatchAPI handles the requests of callers. Errors: NotFound for an unknown
// queue, Gone for an unknown batch, Unauthorized for an unknown key, Limited
// or NotRun when a batch was refused and will never run, OutcomeUnknown when
// it is not known whether it will run.
type BatchAPI interface {
	Submit(ctx context.Context, at Address, b Batch) error
	State(ctx context.Context, at Address) (BatchState, error)
	Cancel(ctx context.Context, at Address) error
	// Waiting returns the number of the queue's batches without a started task.
	Waiting(ctx context.Context, at Address) (int, error)
}

// ControlAPI handles the requests of operators and runners.
type ControlAPI interface {
	Replace(ctx context.Context, c Catalog) error
	Catalog(ctx context.Context) (source []byte, err error)
	SetZone(ctx context.Context, zone string, out bool) error
	Report(ctx context.Context, a Agent) error
	// Leave handles the orderly exit of an incarnation of a runner; incarnation is
	// 0 if the runner did not name it.
	Leave(ctx context.Context, id string, incarnation int64) error
	StartWave(ctx context.Context, w Wave) error
	// WaveComplete returns an error of kind NotFound for an unknown wave.
	WaveComplete(ctx context.Context, id int) (bool, error)
}

// AgentReport is a runner's report that a control host received.
type AgentReport struct {
	Agent Agent `cbor:"1,keyasint"`
	// Age is at most the time since then, Age and Delay together at least that time.
	Age time.Duration `cbor:"2,keyasint"`
	// Delay is how long the answer with the report took.
	Delay time.Duration `cbor:"-"`
	// Left is true if the runner has exited since.
	Left bool `cbor:"3,keyasint,omitempty"`
}
