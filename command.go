package carawayshift

import "time"

// CommandKind names what a command changes.
type CommandKind string

// Commands of operators. Each accepted one increments the configuration version.
const (
	CreateZone CommandKind = "create zone"
	CreateTeam CommandKind = "create team"
	SetTeam    CommandKind = "set team"
	CreateJob  CommandKind = "create job"
	SetJob     CommandKind = "set job"
	CancelJob  CommandKind = "cancel job"
	HoldJob    CommandKind = "hold job"
	ReleaseJob CommandKind = "release job"
	DrainZone  CommandKind = "drain zone"
	ReturnZone CommandKind = "return zone"
	// ReleaseWorker ends the quarantine of a worker.
	ReleaseWorker CommandKind = "release worker"
	SetConfig     CommandKind = "set config"
	AddNote       CommandKind = "note"
)

// Commands of the scheduler and of zone lease holders. They leave the
// configuration version as it is.
const (
	PlaceJob CommandKind = "place job"
	// WithdrawJob returns a placed job to the waiting state. It is refused once
	// the start was accepted, so no task of the attempt can run afterwards.
	WithdrawJob CommandKind = "withdraw job"
	StartJob    CommandKind = "start job"
	StopJob     CommandKind = "stop job"
	JobStopped  CommandKind = "job stopped"
	FinishJob   CommandKind = "finish job"
	FailJob     CommandKind = "fail job"
	ParkJob     CommandKind = "park job"
	// SaveCheckpoint records the run time that a job's checkpoint covers.
	SaveCheckpoint   CommandKind = "save checkpoint"
	QuarantineWorker CommandKind = "quarantine worker"
	// ChangeBatches submits and cancels batches, records their runs and
	// replaces the catalog.
	ChangeBatches CommandKind = "change batches"
)

// Command is one entry of the replicated log. Which fields are read depends
// on Kind; the others are zero. Applying a command is deterministic: it
// contains its time and its random values.
type Command struct {
	// ID identifies the command across retries. Operator commands must have
	// one; commands of the scheduler may leave it empty.
	ID   string      `cbor:"1,keyasint,omitempty" json:"id"`
	Kind CommandKind `cbor:"2,keyasint" json:"kind"`
	// IfVersion, when not 0, makes the command succeed only at that
	// configuration version.
	IfVersion uint64    `cbor:"3,keyasint,omitempty" json:"if_version,omitempty"`
	By        string    `cbor:"4,keyasint,omitempty" json:"by,omitempty"`
	At        time.Time `cbor:"5,keyasint" json:"at"`
	Reason    string    `cbor:"6,keyasint,omitempty" json:"because,omitempty"`
	Team      *Team     `cbor:"7,keyasint,omitempty" json:"team,omitempty"`
	Zone      *Zone     `cbor:"8,keyasint,omitempty" json:"zone,omitempty"`
	// Job carries the new job of CreateJob, and the changed fields of SetJob.
	Job *Job `cbor:"9,keyasint,omitempty" json:"job,omitempty"`
	// Change addresses an existing job for all other job commands.
	Change *JobChange `cbor:"10,keyasint,omitempty" json:"change,omitempty"`
	Note   *Note      `cbor:"11,keyasint,omitempty" json:"note,omitempty"`
	// Name is the worker of ReleaseWorker and QuarantineWorker, or the key
	// of SetConfig.
	Name string `cbor:"12,keyasint,omitempty" json:"name,omitempty"`
	// Value is the value of SetConfig.
	Value string `cbor:"13,keyasint,omitempty" json:"value,omitempty"`
	// Until is the end of a quarantine.
	Until time.Time `cbor:"14,keyasint,omitempty" json:"until,omitempty"`
	// Workers is the view of the workers against which SetTeam and CreateTeam
	// check that the guarantees can be packed. The proposer fills it in.
	Workers []Worker     `cbor:"15,keyasint,omitempty" json:"-"`
	Batches *BatchChange `cbor:"16,keyasint,omitempty" json:"batches,omitempty"`
}

// JobChange is a change of one job's state.
type JobChange struct {
	ID uint64 `cbor:"1,keyasint" json:"id"`
	// Attempt must be the job's current attempt, except for PlaceJob, where
	// it is the new one, and for commands of operators, where it is 0.
	Attempt    int             `cbor:"2,keyasint,omitempty" json:"attempt,omitempty"`
	Zone       string          `cbor:"3,keyasint,omitempty" json:"zone,omitempty"`
	Placements []TaskPlacement `cbor:"4,keyasint,omitempty" json:"placements,omitempty"`
	Borrowed   bool            `cbor:"5,keyasint,omitempty" json:"borrowed,omitempty"`
	Checkpoint time.Duration   `cbor:"6,keyasint,omitempty" json:"checkpoint,omitempty"`
	Reason     string          `cbor:"7,keyasint,omitempty" json:"reason,omitempty"`
	// Worker is the worker whose task failed, for FailJob.
	Worker string `cbor:"8,keyasint,omitempty" json:"worker,omitempty"`
	// StateAfterStop is the state after a stop, for StopJob.
	StateAfterStop JobState `cbor:"9,keyasint,omitempty" json:"stop_to,omitempty"`
}

// Note is a comment of an operator about an object, for other operators.
type Note struct {
	ID uint64 `cbor:"1,keyasint" json:"id"`
	// Object names the object: "job 41", "zone belmont", "team carnival",
	// "worker w7", or "" for a general note.
	Object string    `cbor:"2,keyasint,omitempty" json:"on,omitempty"`
	Text   string    `cbor:"3,keyasint" json:"text"`
	By     string    `cbor:"4,keyasint,omitempty" json:"by,omitempty"`
	At     time.Time `cbor:"5,keyasint" json:"at"`
}

// Answer is the result of a command. It is stored in the replicated state, so
// that a retry returns the first answer.
type Answer struct {
	ID string `cbor:"1,keyasint,omitempty" json:"id"`
	// Version is the configuration version after the command.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Index is the log index of the command.
	Index uint64 `cbor:"3,keyasint" json:"index"`
	// Job is the id of the job that CreateJob created.
	Job uint64 `cbor:"4,keyasint,omitempty" json:"job,omitempty"`
	// Kind is empty when the command was accepted.
	Kind   Kind   `cbor:"5,keyasint,omitempty" json:"kind,omitempty"`
	Error  string `cbor:"6,keyasint,omitempty" json:"error,omitempty"`
	Remedy string `cbor:"7,keyasint,omitempty" json:"remedy,omitempty"`
	// Winner names the operator whose command was applied first at the version
	// that this command's IfVersion names.
	Winner string `cbor:"8,keyasint,omitempty" json:"winner,omitempty"`
	// Repeated is true when this is the stored answer to a retried command.
	Repeated bool `cbor:"-" json:"repeated,omitempty"`
}

// Err returns the refusal as an error, or nil when the command was accepted.
func (a Answer) Err() error {
	if a.Kind == "" {
		return nil
	}
	return NewError(a.Kind, a.Error, a.Remedy)
}
