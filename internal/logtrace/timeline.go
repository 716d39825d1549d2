package logtrace

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Timeline is what happened to one batch.
type Timeline struct {
	ID     string  `json:"id"`
	Cause  string  `json:"cause"`
	Events []Event `json:"events"`
}

// leaderWindow is how close to a failed call a change of the leader explains
// it.
const leaderWindow = 3 * time.Second

// Elapsed is the time from the acceptance to the last recorded end, 0 if one of
// them is missing.
func (s Timeline) Elapsed() time.Duration {
	first, ok := s.find("accepted")
	if !ok {
		return 0
	}
	last := first.At
	for _, e := range s.Events {
		if e.Event == "ended" {
			last = e.At
		}
	}
	return last.Sub(first.At)
}

func (s Timeline) find(event string) (Event, bool) {
	i := slices.IndexFunc(s.Events, func(e Event) bool { return e.Event == event })
	if i < 0 {
		return Event{}, false
	}
	return s.Events[i], true
}

func (s Timeline) count(event string) (n int) {
	for _, e := range s.Events {
		if e.Event == event {
			n++
		}
	}
	return n
}

// refusal returns the first submission that was answered with an error.
func (s Timeline) refusal() *Event {
	for _, e := range s.Events {
		if status, ok := e.Data["status"].(float64); ok && e.Event == "answered" && e.Data["method"] == "POST" && status >= 400 {
			return &e
		}
	}
	return nil
}

// cause names the most likely cause in one line.
func (s Timeline) cause(all []Event) string {
	if r := s.refusal(); r != nil {
		return s.refusedBecause(*r, all)
	}
	if e, ok := s.find("cancelled"); ok {
		return "cancelled by its caller at " + clock(e.At)
	}
	return s.slowBecause()
}

func (s Timeline) refusedBecause(r Event, all []Event) string {
	status := int(r.Data["status"].(float64))
	reason := fmt.Sprint(r.Data["error"])
	if status != 504 && status != 503 {
		return fmt.Sprintf("refused with %d: %s", status, reason)
	}
	what := "refused as not run"
	if status == 504 {
		what = "ended without a clear answer"
	}
	for _, e := range all {
		near := e.At.After(r.At.Add(-leaderWindow)) && e.At.Before(r.At.Add(leaderWindow))
		if near && (e.Event == "leader changed" || e.Text == "elected leader" || e.Text == "leader steps down") {
			return fmt.Sprintf("%s: the leader changed (%s on %s at %s): %s", what, e.Text, e.Host, clock(e.At), reason)
		}
	}
	return what + ": " + reason
}

// slowBecause names the longest stage, and what made it long.
func (s Timeline) slowBecause() string {
	accepted, ok := s.find("accepted")
	if !ok {
		return "no acceptance is logged: read the files of all control hosts"
	}
	ordered, ok := s.find("ordered")
	if !ok {
		return "accepted at " + clock(accepted.At) + " and never ordered: no runner had room, or none had what it needs"
	}
	waited := ordered.At.Sub(accepted.At)
	took := s.Elapsed()
	var parts []string
	for _, p := range []struct{ event, text string }{
		{"stopping", "stops"}, {"order failed", "orders without an answer"}, {"run missing", "runs that their runner did not list"},
	} {
		if n := s.count(p.event); n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, p.text))
		}
	}
	for _, how := range []string{"failed", "lost", "lapsed", "broken", "alone"} {
		n := 0
		for _, e := range s.Events {
			if e.Event == "ended" && e.Data["outcome"] == how {
				n++
			}
		}
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d runs %s", n, how))
		}
	}
	out := fmt.Sprintf("%s to the first order, %s in all", round(waited), round(took))
	if len(parts) > 0 {
		return out + "; " + strings.Join(parts, ", ")
	}
	return out + "; no run was disturbed"
}

// String prints the cause, and each event with the gap before it.
func (s Timeline) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "batch %s: %s\n", s.ID, s.Cause)
	for i, e := range s.Events {
		gap := time.Duration(0)
		if i > 0 {
			gap = e.At.Sub(s.Events[i-1].At)
		}
		fmt.Fprintf(&b, "%s %8s  %-22s %-14s %s\n", clock(e.At), "+"+round(gap), e.Host, e.Event, details(e))
	}
	return b.String()
}

func details(e Event) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(e.Data)) {
		parts = append(parts, fmt.Sprintf("%s=%v", k, e.Data[k]))
	}
	return strings.Join(parts, " ")
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func round(d time.Duration) string { return d.Round(time.Millisecond).String() }
