package logtrace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// DayWindow is the length of one window of a day.
const DayWindow = 2 * time.Second

// Window counts what happened in one window of a day, from the logs of all hosts.
type Window struct {
	Start time.Time `json:"start"`
	// Accepted counts batches; the other numbers count runs.
	Accepted int `json:"accepted"`
	Started  int `json:"started"`
	Finished int `json:"finished"`
	// Lost counts the runs whose work may be lost, by their outcome.
	Lost map[string]int `json:"lost,omitempty"`
	// Stops counts the requested stops by their reason.
	Stops map[string]int `json:"stops,omitempty"`
	// Late counts the batches that ended after their objective.
	Late int `json:"late,omitempty"`
	// Leader is the host that leads at the end of the window, "" if none is known.
	Leader string `json:"leader,omitempty"`
	// Changes lists the changes of the leader, of the group and of the hosts.
	Changes []string `json:"changes,omitempty"`
}

// preemptedPrefix is the start of the reasons of preemptions, which end with the id
// of a batch.
const preemptedPrefix = "preempted for "

// Day returns the windows from the first to the last event.
func (l *Log) Day() []Window {
	all := l.sorted()
	if len(all) == 0 {
		return nil
	}
	first := all[0].At.Truncate(DayWindow)
	windows := make([]Window, int(all[len(all)-1].At.Sub(first)/DayWindow)+1)
	for i := range windows {
		windows[i].Start = first.Add(time.Duration(i) * DayWindow)
	}
	leader, last := "", 0
	for _, e := range all {
		i := int(e.At.Sub(first) / DayWindow)
		for ; last < i; last++ {
			windows[last].Leader = leader
		}
		leader = leaderAfter(leader, e)
		windows[i].add(e)
	}
	windows[last].Leader = leader
	return windows
}

// leaderAfter returns the leader after an event. A host that was replaced may
// resign long after its successor leads.
func leaderAfter(leader string, e Event) string {
	switch {
	case e.Event == "leading":
		return e.Host
	case e.Event == "resigned" && e.Host == leader:
		return ""
	}
	return leader
}

// add counts an event.
func (w *Window) add(e Event) {
	switch e.Event {
	case "accepted":
		w.Accepted++
	case "ordered":
		w.Started++
	case "ended":
		w.addEnd(stringField(e.Data, "outcome"))
	case "stopping":
		reason := stringField(e.Data, "reason")
		if strings.HasPrefix(reason, preemptedPrefix) {
			reason = "preempted"
		}
		w.Stops = counted(w.Stops, reason)
	case "batch ended":
		if took, objective := durationField(e, "took"), durationField(e, "objective"); objective > 0 && took > objective {
			w.Late++
		}
	case "leading":
		w.Changes = append(w.Changes, "leader "+e.Host)
	case "resigned":
		w.Changes = append(w.Changes, "resigned "+e.Host)
	case "group repair":
		w.Changes = append(w.Changes, fmt.Sprintf("%v %v: %v", e.Data["change"], e.Data["member"], e.Data["reason"]))
	case "zone":
		w.Changes = append(w.Changes, fmt.Sprintf("zone %v out: %v", e.Data["zone"], e.Data["out"]))
	case "start", "stop", "disk full", "disk has room", "disk stalled", "panic":
		w.Changes = append(w.Changes, e.Event+" "+e.Host)
	}
}

func (w *Window) addEnd(outcome string) {
	if outcome == "finished" {
		w.Finished++
		return
	}
	w.Lost = counted(w.Lost, outcome)
}

func counted(m map[string]int, key string) map[string]int {
	if m == nil {
		m = map[string]int{}
	}
	m[key]++
	return m
}

func durationField(e Event, key string) time.Duration {
	d, err := time.ParseDuration(stringField(e.Data, key))
	if err != nil {
		return 0 // a line of another release; the batch then doesn't count as late
	}
	return d
}

// String returns the window as one line.
func (w Window) String() string {
	line := fmt.Sprintf("%s accepted %3d started %4d finished %4d late %3d  leader %-22s", formatTime(w.Start), w.Accepted, w.Started, w.Finished, w.Late, cmp.Or(w.Leader, "-"))
	for _, part := range []struct {
		name   string
		counts map[string]int
	}{{"ended", w.Lost}, {"stops", w.Stops}} {
		for _, key := range slices.Sorted(maps.Keys(part.counts)) {
			line += fmt.Sprintf("  %s %s %d", part.name, key, part.counts[key])
		}
	}
	if len(w.Changes) > 0 {
		line += "  | " + strings.Join(w.Changes, ", ")
	}
	return strings.TrimRight(line, " ")
}
