package carawayshift

import (
	"context"
	"io"
	"time"
)

// Log is the replicated command log.
type Log interface {
	// Propose commits and applies one command and returns its stored answer.
	// A refusal by the state machine is in the Answer, not in the error. An
	// error of kind NotRun means that the command was not and will never be
	// applied; OutcomeUnknown means that it may be: retry with the same id.
	Propose(ctx context.Context, c Command) (Answer, error)
	// Barrier returns a log index such that a copy of the state that has
	// applied it includes every command answered before the call.
	Barrier(ctx context.Context) (uint64, error)
	// Leader returns the host name of the leader and the term as far as this
	// host knows, or "" when there is none.
	Leader() (host string, term uint64)
}

// TermLog is the log for the decisions of a leader, which hold only while it leads: what it
// knows may be out of date as soon as another host leads.
type TermLog interface {
	// ProposeInTerm is like Log.Propose, but commits the command only as the leader of the
	// given term. Kind NotRun means as well that this host no longer leads in it.
	ProposeInTerm(ctx context.Context, term uint64, c Command) (Answer, error)
}

// StateMachine is what a replica applies committed entries to. All three
// methods are called from one goroutine at a time.
type StateMachine interface {
	// Apply changes the state and returns the result for the proposer. It
	// must depend on nothing but the state, the index and the entry.
	Apply(index uint64, entry []byte) []byte
	// Snapshot writes the whole state; equal states give equal bytes.
	Snapshot(w io.Writer) error
	// Restore replaces the state by a snapshot.
	Restore(r io.Reader) error
}

// Handler answers one call of a peer host. From is the peer's authenticated
// name.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Transport carries calls between the system's hosts.
type Transport interface {
	// Call sends one request to a host and waits for the reply. The error
	// has kind NotRun when the request provably did not leave this host, and
	// OutcomeUnknown otherwise; an Error returned by the peer's handler
	// arrives with its kind.
	Call(ctx context.Context, host, method string, body []byte) ([]byte, error)
	// Handle registers the handler of a method. Methods are registered
	// before the transport serves.
	Handle(method string, fn Handler)
}

// Planner decides where gangs run. It is a pure function of its input.
type Planner interface {
	Plan(now time.Time, v View) Plan
	// CheckGuarantees returns an Error of kind Refused that names what is
	// short when the teams' guarantees can't all be packed on the workers.
	CheckGuarantees(v View) error
}

// WorkerClient calls one worker. Lease is how long the task or the reservation
// stays valid without renewal, counted by the worker from the arrival of the
// call.
type WorkerClient interface {
	Prepare(ctx context.Context, w Worker, t TaskSpec, lease time.Duration) error
	Start(ctx context.Context, w Worker, t TaskSpec, lease time.Duration) error
	// Renew extends the leases to a time on this host's clock. It is sent as
	// a time on the worker's clock, so that a call that is delayed by a
	// pause of this host extends no lease.
	Renew(ctx context.Context, w Worker, tasks []TaskSpec, until time.Time) error
	// Checkpoint returns the run time that the finished checkpoint covers.
	Checkpoint(ctx context.Context, w Worker, t TaskSpec) (time.Duration, error)
	Throttle(ctx context.Context, w Worker, t TaskSpec, percent int) error
	Stop(ctx context.Context, w Worker, t TaskSpec) error
}

// TaskSpec identifies a task of an attempt for a worker and lists the resources
// that it needs.
type TaskSpec struct {
	Job          uint64        `json:"job"`
	Attempt      int           `json:"attempt"`
	Task         int           `json:"task"`
	Tasks        int           `json:"tasks"`
	Name         string        `json:"name"`
	Accelerators int           `json:"accelerators"`
	Cores        int           `json:"cores"`
	Memory       int           `json:"memory"`
	Checkpoint   time.Duration `json:"checkpoint"`
	// Run is the declared run time of the whole task.
	Run time.Duration `json:"run"`
}

// Balancer chooses the runner of a request.
type Balancer interface {
	// Pick chooses a runner of the service and counts the request as in
	// flight until done is called with its result. An error of kind Unavailable
	// means that no runner can take it now.
	Pick(service string, exclude []string) (r Runner, done func(err error, elapsed time.Duration), alternatives int, e error)
}
