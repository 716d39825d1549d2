package carawayshift

import "time"

// State is the replicated state. Reads outside the owner get copies that
// share nothing that the owner changes later: a reader may keep them, and must
// not change them.
type State struct {
	// Version is incremented by each accepted operator command.
	Version uint64
	// Index is the log index of the last applied entry.
	Index uint64
	Zones map[string]Zone
	Teams map[string]Team
	Jobs  map[uint64]Job
	Notes []Note
	// Quarantine maps workers to the end of their quarantine.
	Quarantine map[string]time.Time
	// Config holds the deployment's settings that operators change at run
	// time, for example "objective".
	Config map[string]string
}

// Objective is what the planner optimises.
type Objective string

// Objectives. Completion favours short completion times; packing favours
// large adjacent cells.
const (
	ObjectiveCompletion Objective = "completion"
	ObjectivePacking    Objective = "packing"
)

// View is the input of the planner. Slices are sorted by name or id.
type View struct {
	Objective Objective
	Zones     []Zone
	Teams     []Team
	// Workers includes quarantined and leaving ones, which take no new work.
	Workers []Worker
	// Jobs holds every job that has not ended.
	Jobs []Job
}

// Plan is the planner's decision for one view. The caller executes it by
// proposing one command per element.
type Plan struct {
	// Starts places waiting jobs; Job.Attempt + 1 is the new attempt.
	Starts []Start
	// Stops lists running jobs to checkpoint and stop.
	Stops []Stop
	// Parks lists waiting jobs that can never run.
	Parks []Park
	// Waits maps each job that keeps waiting to the explanation.
	Waits map[uint64]Wait
	// Shortfalls lists guarantees that the present workers can't satisfy.
	Shortfalls []Shortfall
}

// Start places one gang.
type Start struct {
	Job        uint64
	Zone       string
	Placements []TaskPlacement
	Borrowed   bool
	// Reason and Alternatives go into the log line of the decision:
	// Alternatives is the number of other cells that would have fit.
	Reason       string
	Alternatives int
}

// Stop ends the current attempt of a job, which goes back to waiting.
type Stop struct {
	Job     uint64
	Attempt int
	Reason  string
	// For is the job that gets the accelerators, 0 when the zone is drained.
	For uint64
}

// Park suspends a job until an operator changes or cancels it.
type Park struct {
	Job    uint64
	Reason string
}

// Wait explains why a job waits.
type Wait struct {
	// Rule names the rule that prevents the start.
	Rule string
	// UnblockedBy describes what would allow the job to start.
	UnblockedBy string
	// Expected is the expected start; zero if unknown.
	Expected time.Time
	// Statement is the statement that an operator can type.
	Statement string
}

// Shortfall is a guarantee that can't be met with the present workers.
type Shortfall struct {
	Team string
	// Size is the cell size, Missing the number of cells that don't fit.
	Size    int
	Missing int
}
