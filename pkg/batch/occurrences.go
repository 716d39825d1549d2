package batch

import (
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// maxDue is the number of occurrences that one change opens.
	maxDue = 256
	// maxWaitingOccurrences is the number of a batch's occurrences that are open while
	// tasks of them wait.
	maxWaitingOccurrences = 64
)

// schedule is a repeated batch with what DueOccurrences takes of it.
type schedule struct {
	b *carawayshift.Batch
	// next is the next occurrence, room the number of those that may be opened.
	next, room int
}

func (s *schedule) due(now time.Time) bool {
	return s.next < s.b.Repeat && !occurrenceTime(s.b, s.next).After(now)
}

func occurrenceTime(b *carawayshift.Batch, occurrence int) time.Time {
	return b.First.Add(time.Duration(occurrence) * b.Interval)
}

// DueOccurrences returns occurrences of repeated batches that are due at now and have
// not begun, and the time of the next one, now if more are due; zero if there is none.
// Many occurrences of a batch may be due at once, if it was accepted late or no host
// led for some time. A batch gets a few at a time, and batches share maxDue in turn, so
// that neither the change nor the next plan grows with what is due.
func (t *Table) DueOccurrences(now time.Time) (due []carawayshift.OccurrenceDue, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.schedules()
	for progress := true; progress; {
		progress = false
		for i := range list {
			s := &list[i]
			if len(due) == maxDue || s.room <= 0 || !s.due(now) {
				continue
			}
			due = append(due, carawayshift.OccurrenceDue{Batch: s.b.ID, Occurrence: s.next})
			s.next++
			s.room--
			progress = true
		}
	}
	for _, s := range list {
		if s.next >= s.b.Repeat || s.room <= 0 {
			continue
		}
		at := occurrenceTime(s.b, s.next)
		if at.Before(now) {
			at = now
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return due, next
}

// schedules returns the repeated batches that have not ended, in the order of
// acceptance.
func (t *Table) schedules() []schedule {
	var list []schedule
	for _, id := range t.order {
		b := t.batches[id]
		if b.Repeat > 0 && !b.State.Ended() && len(b.Occurrences) < b.Repeat {
			list = append(list, schedule{b, len(b.Occurrences), maxWaitingOccurrences - t.waitingOccurrences(b)})
		}
	}
	return list
}

// waitingOccurrences counts the open occurrences of which tasks can start.
func (t *Table) waitingOccurrences(b *carawayshift.Batch) int {
	n := 0
	for _, o := range b.Occurrences[t.firstOpen(b):] {
		for s, need := range b.Steps {
			if isWaiting(o, s, need) {
				n++
				break
			}
		}
	}
	return n
}

// firstOpen returns the number of the first occurrence that has unfinished tasks or open
// runs. It remembers the result: a batch may have hundreds of thousands of occurrences.
func (t *Table) firstOpen(b *carawayshift.Batch) int {
	n := t.closed[b.ID]
	for n < len(b.Occurrences) && isClosed(b.Occurrences[n]) {
		n++
	}
	if n > 0 {
		t.closed[b.ID] = n
	}
	return n
}

// isClosed reports whether all tasks of an occurrence have finished and none of their
// runs is open.
func isClosed(o carawayshift.Occurrence) bool {
	for _, s := range o.Steps {
		if s.Finished < len(s.Tasks) || anyOpen(s) {
			return false
		}
	}
	return true
}

// dropTasks drops the tasks of an occurrence of a repeated batch that is closed. The
// steps stay, without tasks: a host of an earlier release expects one for each step.
func dropTasks(b *carawayshift.Batch, occurrence int) {
	if b.Repeat > 0 && occurrence < len(b.Occurrences) && isClosed(b.Occurrences[occurrence]) {
		clear(b.Occurrences[occurrence].Steps)
	}
}
