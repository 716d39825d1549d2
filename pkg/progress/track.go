// Package progress follows how far a task is and foretells its end.
//
// # Usage
//
//	var t progress.Track
//	t.Note(25, now)
//	end, ok := t.End(now)
//	if t.Stalled(now, expected) { ... }
package progress

import "time"

const (
	// enough is the progress in percent from which its rate foretells the end.
	enough = 5
	// stallLeast and stallShare bound the time without progress after which a
	// task stands still: a share of its expected run time, but no less.
	stallLeast = 3 * time.Second
	stallShare = 0.2
	whole      = 100
)

// Track is the progress of one run. The zero value has none.
type Track struct {
	first, last     int
	firstAt, lastAt time.Time
	seen            time.Time
}

// Note takes a reading in percent.
func (t *Track) Note(percent int, at time.Time) {
	t.seen = at
	switch {
	case t.firstAt.IsZero():
		t.first, t.firstAt = percent, at
		t.last, t.lastAt = percent, at
	case percent > t.last:
		if t.last == 0 {
			// A member of a gang begins to work when the last one is there.
			t.first, t.firstAt = t.last, t.lastAt
		}
		t.last, t.lastAt = percent, at
	case percent == 0:
		t.first, t.firstAt = 0, at
		t.lastAt = at
	}
}

// End returns when the task is expected to end, once its rate is known.
func (t *Track) End(now time.Time) (time.Time, bool) {
	made := t.last - t.first
	if made < enough {
		return time.Time{}, false
	}
	perPercent := t.lastAt.Sub(t.firstAt) / time.Duration(made)
	end := t.lastAt.Add(time.Duration(whole-t.last) * perPercent)
	if end.Before(now) {
		return now, true
	}
	return end, true
}

// Stalled reports whether a task that has made progress stands still.
func (t *Track) Stalled(expected time.Duration) bool {
	if t.last == 0 || t.last >= whole {
		return false
	}
	patience := max(stallLeast, time.Duration(stallShare*float64(expected)))
	return t.seen.Sub(t.lastAt) > patience
}
