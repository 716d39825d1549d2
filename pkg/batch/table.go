// Package batch holds the replicated state of batches and of the catalog. A
// Table applies changes in the order of the log and is deterministic: the same
// changes give the same table on every host.
//
// # Usage
//
//	t := batch.New()
//	err := t.Apply(at, &carawayshift.BatchChange{Submit: &b}) // from the state machine
//	q, rest, team, err := t.Resolve(address)                  // from any goroutine
//	demands, runs := t.OpenWork()
//
// A run of a task is open from the change that starts it until the change that
// records its end. No new run of the task is accepted while one is open, so that
// two hosts that both act as leader can't run a task twice.
package batch

import (
	"slices"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/teamcap"
)

// Table is the state of all batches. Apply and Restore are called from one
// goroutine at a time, the other methods from any.
type Table struct {
	mu      sync.Mutex
	catalog carawayshift.Catalog
	routes  routes
	batches map[string]*carawayshift.Batch
	// order lists the ids of the batches in the order of acceptance.
	order []string
	// active holds the batches that have not ended or have open runs.
	active map[string]bool
	waves  []carawayshift.Wave
	// account holds what counts against the teams' caps, lingering the runs in it
	// that are not open any more.
	account   *teamcap.Account
	lingering []LingeringRun
	// submitted holds how much of its weight each team has used.
	submitted []TeamRate
	// closed holds the number of leading occurrences of a batch that are closed, see
	// firstOpen.
	closed map[string]int
	// lastOpenRuns is the number of runs that OpenWork returned last.
	lastOpenRuns int
}

// Snapshot is the encoded form of a table.
type Snapshot struct {
	Catalog carawayshift.Catalog `cbor:"1,keyasint"`
	// Batches are in the order of acceptance.
	Batches []carawayshift.Batch `cbor:"2,keyasint,omitempty"`
	Waves   []carawayshift.Wave  `cbor:"3,keyasint,omitempty"`
	// Lingering are in the order of their records, Rates in that of the teams' names.
	Lingering []LingeringRun `cbor:"4,keyasint,omitempty"`
	Rates     []TeamRate     `cbor:"5,keyasint,omitempty"`
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	t.Restore(Snapshot{})
	return t
}

// Snapshot returns the whole state. It must be called by the goroutine that
// calls Apply. The result shares data with the table, so it must be encoded
// before the next change.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Snapshot{Catalog: t.catalog, Waves: t.waves, Lingering: t.lingering, Rates: t.submitted}
	for _, id := range t.order {
		s.Batches = append(s.Batches, *t.batches[id])
	}
	return s
}

// Restore replaces the state with that of a snapshot.
func (t *Table) Restore(s Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.catalog, t.routes = s.Catalog, newRoutes(s.Catalog)
	t.batches = map[string]*carawayshift.Batch{}
	t.order, t.active, t.closed = nil, map[string]bool{}, map[string]int{}
	t.waves, t.submitted = s.Waves, s.Rates
	for i := range s.Batches {
		b := s.Batches[i]
		t.batches[b.ID] = &b
		t.order = append(t.order, b.ID)
		t.updateActive(&b)
	}
	t.restoreAccount(s.Lingering)
}

// Apply applies a change. Parts that are out of date are ignored: an end that
// is already recorded, a start of a task that has an open run or does not fit under
// its team's cap. The error has kind Malformed, Gone or Limited.
func (t *Table) Apply(at time.Time, c *carawayshift.BatchChange) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropLingering(at)
	if c.Catalog != nil {
		if err := t.replace(*c.Catalog); err != nil {
			return err
		}
	}
	if c.Submit != nil {
		if err := t.submit(at, *c.Submit); err != nil {
			return err
		}
	}
	if c.Cancel != "" {
		if err := t.cancel(at, c.Cancel); err != nil {
			return err
		}
	}
	for _, e := range c.Ends {
		t.end(at, e)
	}
	for _, d := range c.Due {
		t.openOccurrence(d)
	}
	t.startUnderCaps(at, c.Starts)
	if c.Wave != nil {
		t.addWave(*c.Wave)
	}
	for _, u := range c.Upkeep {
		t.recordMaintenance(u)
	}
	t.forget(c.ForgetBefore)
	return nil
}

// replace makes c the catalog in force, unless the current one has the same or
// a higher number.
func (t *Table) replace(c carawayshift.Catalog) error {
	if err := c.Check(); err != nil {
		return err
	}
	if c.Number <= t.catalog.Number {
		return nil
	}
	t.catalog, t.routes = c, newRoutes(c)
	t.account.SetCaps(caps(c))
	t.dropRates()
	return nil
}

func (t *Table) submit(at time.Time, b carawayshift.Batch) error {
	if t.batches[b.ID] != nil {
		return nil
	}
	if err := t.checkCap(b); err != nil {
		return err
	}
	b.Excess = t.exceedsWeight(at, b.Team)
	b.Accepted, b.State = at, carawayshift.BatchQueued
	b.Occurrences = nil
	if b.Repeat == 0 {
		b.Occurrences = []carawayshift.Occurrence{newOccurrence(b)}
	}
	t.batches[b.ID] = &b
	t.order = append(t.order, b.ID)
	t.active[b.ID] = true
	return nil
}

func newOccurrence(b carawayshift.Batch) carawayshift.Occurrence {
	o := carawayshift.Occurrence{Steps: make([]carawayshift.StepRun, len(b.Steps))}
	for i, s := range b.Steps {
		o.Steps[i].Tasks = make([]carawayshift.Task, s.Count)
	}
	return o
}

// Gone returns the error, of kind Gone, for a batch that is not in the table.
func Gone(id string) error {
	return carawayshift.NewError(carawayshift.Gone, "no batch "+id, "it ended a while ago or was never accepted")
}

func (t *Table) cancel(at time.Time, id string) error {
	b := t.batches[id]
	if b == nil {
		return Gone(id)
	}
	if !b.State.Ended() {
		t.finish(b, carawayshift.BatchCancelled, at)
	}
	return nil
}

func (t *Table) finish(b *carawayshift.Batch, s carawayshift.BatchState, at time.Time) {
	b.State, b.Ended = s, at
	t.updateActive(b)
}

// updateActive updates whether a batch is active, and drops the spec and the tasks
// of an ended batch once none of its runs is open.
func (t *Table) updateActive(b *carawayshift.Batch) {
	if !b.State.Ended() || hasOpen(b) {
		t.active[b.ID] = true
		return
	}
	delete(t.active, b.ID)
	delete(t.closed, b.ID)
	b.Spec, b.Occurrences = "", nil
}

func hasOpen(b *carawayshift.Batch) bool {
	for _, o := range b.Occurrences {
		for _, s := range o.Steps {
			if slices.ContainsFunc(s.Tasks, func(k carawayshift.Task) bool { return k.Open }) {
				return true
			}
		}
	}
	return false
}

// openOccurrence starts the next occurrence of a repeated batch.
func (t *Table) openOccurrence(d carawayshift.OccurrenceDue) {
	b := t.batches[d.Batch]
	if b == nil || b.State.Ended() || len(b.Occurrences) != d.Occurrence || d.Occurrence >= b.Repeat {
		return
	}
	b.Occurrences = append(b.Occurrences, newOccurrence(*b))
}

// forget removes the inactive batches that ended before a time.
func (t *Table) forget(before time.Time) {
	if before.IsZero() {
		return
	}
	t.order = slices.DeleteFunc(t.order, func(id string) bool {
		b := t.batches[id]
		old := b.State.Ended() && !t.active[id] && b.Ended.Before(before)
		if old {
			delete(t.batches, id)
		}
		return old
	})
}

// Catalog returns the catalog in force. The caller must not change it.
func (t *Table) Catalog() carawayshift.Catalog {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.catalog
}

// UsesService reports whether the catalog names a service, or an active batch was
// submitted to one of its queues. Without a catalog, any service may be used.
func (t *Table) UsesService(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.catalog.Number == 0 {
		return true
	}
	if slices.ContainsFunc(t.catalog.Services, func(s carawayshift.Service) bool { return s.Name == name }) {
		return true
	}
	for id := range t.active {
		if t.batches[id].Queue.Service == name {
			return true
		}
	}
	return false
}

// State returns the state and the team of a batch.
func (t *Table) State(id string) (s carawayshift.BatchState, team string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.batches[id]
	if b == nil {
		return "", "", false
	}
	return b.State, b.Team, true
}

// Active reports whether a batch has not ended, or has open runs.
func (t *Table) Active(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active[id]
}

// NotBegun returns an entry for each of a queue's batches of which no run has ended, other
// than as lost: its open runs. The batch has begun if one of these is at work. Repeated
// batches are left out.
func (t *Table) NotBegun(queue string) [][]carawayshift.RunStart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list [][]carawayshift.RunStart
	for id := range t.active {
		b := t.batches[id]
		if b.Queue.Name != queue || b.State.Ended() || b.Begun || b.Repeat > 0 {
			continue
		}
		var open []carawayshift.RunStart
		for _, r := range appendOpenRuns(nil, b, 0) {
			open = append(open, carawayshift.RunStart{Task: r.Task, Run: r.Run, Runner: r.Runner, Incarnation: r.Incarnation})
		}
		list = append(list, open)
	}
	return list
}

// Spec returns the specification that runners get with each task of a batch.
func (t *Table) Spec(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.batches[id]; b != nil {
		return b.Spec
	}
	return ""
}

// QueueOf returns the name of a batch's queue, or "".
func (t *Table) QueueOf(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.batches[id]; b != nil {
		return b.Queue.Name
	}
	return ""
}

// Requirements returns the step of a task, which holds the task's requirements.
func (t *Table) Requirements(n carawayshift.TaskName) carawayshift.Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.batches[n.Batch]
	if b == nil || n.Step < 0 || n.Step >= len(b.Steps) {
		return carawayshift.Step{}
	}
	return b.Steps[n.Step]
}

// Checkpoint returns the newest checkpoint of a task, or of its gang.
func (t *Table) Checkpoint(n carawayshift.TaskName) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.task(n)
	if k == nil {
		return ""
	}
	if t.batches[n.Batch].Steps[n.Step].Gang {
		return t.step(n).Checkpoint
	}
	return k.Checkpoint
}

// task returns a task, or nil if it is unknown.
func (t *Table) task(n carawayshift.TaskName) *carawayshift.Task {
	s := t.step(n)
	if s == nil || n.Index < 0 || n.Index >= len(s.Tasks) {
		return nil
	}
	return &s.Tasks[n.Index]
}

func (t *Table) step(n carawayshift.TaskName) *carawayshift.StepRun {
	b := t.batches[n.Batch]
	if b == nil || n.Occurrence < 0 || n.Occurrence >= len(b.Occurrences) {
		return nil
	}
	o := &b.Occurrences[n.Occurrence]
	if n.Step < 0 || n.Step >= len(o.Steps) {
		return nil
	}
	return &o.Steps[n.Step]
}
