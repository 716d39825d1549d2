package batch

import (
	"time"

	"carawayshift.example/carawayshift"
)

// Outcome returns how a batch ended; ok is false while it has not ended.
func (t *Table) Outcome(id string) (o carawayshift.BatchOutcome, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.batches[id]
	if b == nil || !b.State.Ended() {
		return o, false
	}
	began := b.Accepted
	if b.Repeat > 0 {
		began = b.First.Add(time.Duration(b.Repeat-1) * b.Interval)
	}
	return carawayshift.BatchOutcome{
		Queue: b.Queue.Name, Team: b.Team, State: b.State, Elapsed: b.Ended.Sub(began), Objective: objective(b),
	}, true
}
