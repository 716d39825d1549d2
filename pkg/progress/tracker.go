// Package progress tracks the progress of a run, estimates its end and detects
// stalls.
//
// # Usage
//
//	var t progress.Tracker
//	t.Update(25, now)
//	end, ok := t.EstimatedEnd(now)
//	if t.Stalled(expected) { ... }
package progress

import "time"

const (
	// minProgress is the progress, in percentage points, from which the rate is
	// used to estimate the end.
	minProgress = 5
	// A run has stalled after a time without progress of stallShare times its
	// expected run time, but at least minStallTime.
	minStallTime = 3 * time.Second
	stallShare   = 0.2
	complete     = 100
)

// Tracker holds the progress of one run. The zero value is a run without
// reported progress.
type Tracker struct {
	first, last     int
	firstAt, lastAt time.Time
	lastReport      time.Time
}

// Update records the progress in percent at a time.
func (t *Tracker) Update(percent int, at time.Time) {
	t.lastReport = at
	switch {
	case t.firstAt.IsZero():
		t.first, t.firstAt = percent, at
		t.last, t.lastAt = percent, at
	case percent > t.last:
		if t.last == 0 {
			// The members of a gang make no progress until the last one has
			// started, so the rate is measured from the last report of 0.
			t.first, t.firstAt = t.last, t.lastAt
		}
		t.last, t.lastAt = percent, at
	case percent == 0:
		t.first, t.firstAt = 0, at
		t.lastAt = at
	}
}

// EstimatedEnd returns the estimated end of the run. It reports false until the
// rate of progress is known.
func (t *Tracker) EstimatedEnd(now time.Time) (time.Time, bool) {
	progress := t.last - t.first
	if progress < minProgress {
		return time.Time{}, false
	}
	perPercent := t.lastAt.Sub(t.firstAt) / time.Duration(progress)
	end := t.lastAt.Add(time.Duration(complete-t.last) * perPercent)
	if end.Before(now) {
		return now, true
	}
	return end, true
}

// Stalled reports whether a run made progress and then reported none for a time
// that depends on its expected run time.
func (t *Tracker) Stalled(expected time.Duration) bool {
	if t.last == 0 || t.last >= complete {
		return false
	}
	limit := max(minStallTime, time.Duration(stallShare*float64(expected)))
	return t.lastReport.Sub(t.lastAt) > limit
}
