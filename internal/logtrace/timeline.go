package logtrace

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Timeline holds the events of one batch sorted by time.
type Timeline struct {
	ID     string  `json:"id"`
	Cause  string  `json:"cause"`
	Events []Event `json:"events"`
}

// leaderChangeWindow is the time before and after a failed request within which a
// change of the leader counts as its cause.
const leaderChangeWindow = 3 * time.Second

// Elapsed returns the time from the acceptance to the last recorded end of a
// run, 0 if one of them is missing.
func (t Timeline) Elapsed() time.Duration {
	first, ok := t.find("accepted")
	if !ok {
		return 0
	}
	last := first.At
	for _, e := range t.Events {
		if e.Event == "ended" {
			last = e.At
		}
	}
	return last.Sub(first.At)
}

func (t Timeline) find(event string) (Event, bool) {
	i := slices.IndexFunc(t.Events, func(e Event) bool { return e.Event == event })
	if i < 0 {
		return Event{}, false
	}
	return t.Events[i], true
}

func (t Timeline) count(event string) (n int) {
	for _, e := range t.Events {
		if e.Event == event {
			n++
		}
	}
	return n
}

// refusal returns the first submission that was answered with an error, or nil.
func (t Timeline) refusal() *Event {
	for _, e := range t.Events {
		if status, ok := e.Data["status"].(float64); ok && e.Event == "answered" && e.Data["method"] == "POST" && status >= 400 {
			return &e
		}
	}
	return nil
}

// cause describes the most likely cause of an error or a delay in one line.
func (t Timeline) cause(all []Event) string {
	if r := t.refusal(); r != nil {
		return t.refusalCause(*r, all)
	}
	if e, ok := t.find("cancelled"); ok {
		return "cancelled by its caller at " + formatTime(e.At)
	}
	return t.delayCause()
}

func (t Timeline) refusalCause(refusal Event, all []Event) string {
	status := int(refusal.Data["status"].(float64))
	reason := fmt.Sprint(refusal.Data["error"])
	if status != 504 && status != 503 {
		return fmt.Sprintf("refused with %d: %s", status, reason)
	}
	prefix := "refused as not run"
	if status == 504 {
		prefix = "ended without a clear answer"
	}
	for _, e := range all {
		near := e.At.After(refusal.At.Add(-leaderChangeWindow)) && e.At.Before(refusal.At.Add(leaderChangeWindow))
		// The two texts are messages of pkg/replica, which have no event.
		if near && (e.Event == "leader changed" || e.Text == "elected leader" || e.Text == "leader steps down") {
			return fmt.Sprintf("%s: the leader changed (%s on %s at %s): %s", prefix, e.Text, e.Host, formatTime(e.At), reason)
		}
	}
	return prefix + ": " + reason
}

// delayCause summarizes the time to the first request of a run, the total time and
// the events that delayed the batch.
func (t Timeline) delayCause() string {
	accepted, ok := t.find("accepted")
	if !ok {
		return "no acceptance is logged: read the files of all control hosts"
	}
	ordered, ok := t.find("ordered")
	if !ok {
		return "accepted at " + formatTime(accepted.At) + " and never ordered: no runner had enough free capacity, or none met the requirements"
	}
	waited := ordered.At.Sub(accepted.At)
	elapsed := t.Elapsed()
	var parts []string
	for _, p := range []struct{ event, text string }{
		{"stopping", "stops"}, {"order failed", "orders without an answer"}, {"run missing", "runs that their runner did not list"},
	} {
		if n := t.count(p.event); n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, p.text))
		}
	}
	for _, outcome := range []string{"failed", "lost", "lapsed", "broken", "alone"} {
		n := 0
		for _, e := range t.Events {
			if e.Event == "ended" && e.Data["outcome"] == outcome {
				n++
			}
		}
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d runs %s", n, outcome))
		}
	}
	out := fmt.Sprintf("%s to the first order, %s in all", formatDuration(waited), formatDuration(elapsed))
	if len(parts) > 0 {
		return out + "; " + strings.Join(parts, ", ")
	}
	return out + "; no run was interrupted"
}

// String returns the cause, and each event with the time since the previous one.
func (t Timeline) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "batch %s: %s\n", t.ID, t.Cause)
	for i, e := range t.Events {
		gap := time.Duration(0)
		if i > 0 {
			gap = e.At.Sub(t.Events[i-1].At)
		}
		fmt.Fprintf(&b, "%s %8s  %-22s %-14s %s\n", formatTime(e.At), "+"+formatDuration(gap), e.Host, e.Event, formatData(e))
	}
	return b.String()
}

func formatData(e Event) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(e.Data)) {
		parts = append(parts, fmt.Sprintf("%s=%v", k, e.Data[k]))
	}
	return strings.Join(parts, " ")
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
