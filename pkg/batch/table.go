// Package batch keeps the replicated state of batches and of the catalog. A
// Table applies changes in the order of the log; the same changes give the
// same table on every host.
//
// # Usage
//
//	t := batch.New()
//	err := t.Apply(at, &carawayshift.BatchChange{Submit: &b}) // from the state machine
//	q, id, team, err := t.Resolve(address)                    // from any goroutine
//	demands, holdings := t.Survey()
//
// A run of a task is open from the change that orders it until the change that
// records its end. A new run of the task is refused as long as one is open, so
// that two hosts which both believe to lead can't run a task twice.
package batch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

// Table is the state of all batches. Apply and Restore are called from one
// goroutine at a time, the other methods from any.
type Table struct {
	mu      sync.Mutex
	catalog carawayshift.Catalog
	routes  routes
	batches map[string]*carawayshift.Batch
	// order lists the batches as they were accepted.
	order []string
	// active holds the batches that have not ended or have open runs.
	active map[string]bool
	waves  []carawayshift.Wave
}

// Snapshot is the encoded form of a table.
type Snapshot struct {
	Catalog carawayshift.Catalog `cbor:"1,keyasint"`
	// Batches are in the order of acceptance.
	Batches []carawayshift.Batch `cbor:"2,keyasint,omitempty"`
	Waves   []carawayshift.Wave  `cbor:"3,keyasint,omitempty"`
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	t.Restore(Snapshot{})
	return t
}

// Snapshot returns the whole state. It is called by the goroutine that calls
// Apply; the result must be encoded before the next change.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Snapshot{Catalog: t.catalog, Waves: t.waves}
	for _, id := range t.order {
		s.Batches = append(s.Batches, *t.batches[id])
	}
	return s
}

// Restore replaces the state.
func (t *Table) Restore(s Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.catalog, t.routes = s.Catalog, newRoutes(s.Catalog)
	t.batches = map[string]*carawayshift.Batch{}
	t.order, t.active = nil, map[string]bool{}
	t.waves = s.Waves
	for i := range s.Batches {
		b := s.Batches[i]
		t.batches[b.ID] = &b
		t.order = append(t.order, b.ID)
		t.settle(&b)
	}
}

// Apply changes the table. Parts that come too late are passed over: an end
// that is recorded already, a start of a task that has one. The error has kind
// Malformed or Gone.
func (t *Table) Apply(at time.Time, c *carawayshift.BatchChange) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Catalog != nil {
		if err := t.replace(*c.Catalog); err != nil {
			return err
		}
	}
	if c.Submit != nil {
		t.submit(at, *c.Submit)
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
		t.open(d)
	}
	for _, s := range c.Starts {
		t.start(at, s)
	}
	if c.Wave != nil {
		t.addWave(*c.Wave)
	}
	for _, u := range c.Upkeep {
		t.noteUpkeep(u)
	}
	t.forget(c.ForgetBefore)
	return nil
}

// replace puts a catalog in force unless one with the same or a higher number
// is.
func (t *Table) replace(c carawayshift.Catalog) error {
	if err := c.Check(); err != nil {
		return err
	}
	if c.Number <= t.catalog.Number {
		return nil
	}
	t.catalog, t.routes = c, newRoutes(c)
	return nil
}

func (t *Table) submit(at time.Time, b carawayshift.Batch) {
	if t.batches[b.ID] != nil {
		return
	}
	b.Accepted, b.State = at, carawayshift.BatchQueued
	b.Occurrences = nil
	if b.Repeat == 0 {
		b.Occurrences = []carawayshift.Occurrence{newOccurrence(b)}
	}
	t.batches[b.ID] = &b
	t.order = append(t.order, b.ID)
	t.active[b.ID] = true
}

func newOccurrence(b carawayshift.Batch) carawayshift.Occurrence {
	o := carawayshift.Occurrence{Steps: make([]carawayshift.StepRun, len(b.Steps))}
	for i, s := range b.Steps {
		o.Steps[i].Tasks = make([]carawayshift.Task, s.Count)
	}
	return o
}

// Gone is the error, of kind Gone, about a batch that the table does not have.
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
	t.settle(b)
}

// settle drops what an ended batch no longer needs once no run of it is open.
func (t *Table) settle(b *carawayshift.Batch) {
	if !b.State.Ended() || hasOpen(b) {
		t.active[b.ID] = true
		return
	}
	delete(t.active, b.ID)
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

// open begins the next occurrence of a repeated batch.
func (t *Table) open(d carawayshift.OccurrenceDue) {
	b := t.batches[d.Batch]
	if b == nil || b.State.Ended() || len(b.Occurrences) != d.Occurrence || d.Occurrence >= b.Repeat {
		return
	}
	b.Occurrences = append(b.Occurrences, newOccurrence(*b))
}

// forget drops the batches that ended before a time.
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

// State returns the state of a batch.
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

// Waiting counts the batches of a queue of which no task has started, without
// repeated ones.
func (t *Table) Waiting(queue string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id := range maps.Keys(t.active) {
		b := t.batches[id]
		if b.Queue.Name == queue && b.State == carawayshift.BatchQueued && b.Repeat == 0 {
			n++
		}
	}
	return n
}

// Spec returns the text that runners get with each task of a batch.
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

// Need returns what a task needs.
func (t *Table) Need(n carawayshift.TaskName) carawayshift.Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.batches[n.Batch]
	if b == nil || n.Step < 0 || n.Step >= len(b.Steps) {
		return carawayshift.Step{}
	}
	return b.Steps[n.Step]
}

// Checkpoint returns the newest checkpoint of a task.
func (t *Table) Checkpoint(n carawayshift.TaskName) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.task(n)
	if k == nil {
		return ""
	}
	return k.Checkpoint
}

// task returns a task, or nil.
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
