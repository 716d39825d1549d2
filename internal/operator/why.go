package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/report"
)

// why explains why a job does not run, or where it runs.
func (v *view) why(id uint64) reply {
	j, ok := v.Jobs[id]
	if !ok {
		return errorReply(carawayshift.NewError(carawayshift.NotFound,
			fmt.Sprintf("job %d does not exist or ended long ago", id), "type: show jobs"))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "job %d %s of team %s is %s.\n", j.ID, j.Name, j.Team, j.State)
	switch j.State {
	case carawayshift.JobWaiting:
		v.explainWaiting(&b, j)
	case carawayshift.JobPlaced, carawayshift.JobRunning, carawayshift.JobStopping:
		explainActive(&b, j)
	default:
		v.explainInactive(&b, j)
	}
	b.WriteString(v.formatNotes(fmt.Sprintf("job %d", j.ID), "team "+j.Team, "zone "+j.Zone))
	return reply{Text: b.String(), Job: j.ID}
}

// explainWaiting gets the reason from a run of the planner on the current
// state.
func (v *view) explainWaiting(b *strings.Builder, j carawayshift.Job) {
	if j.Reason != "" {
		fmt.Fprintf(b, "last: %s\n", report.FormatCell(j.Reason))
	}
	p := v.plan()
	if i := slices.IndexFunc(p.Starts, func(s carawayshift.Start) bool { return s.Job == j.ID }); i >= 0 {
		fmt.Fprintf(b, "rule: none; it starts now in zone %s: %s\n", p.Starts[i].Zone, report.FormatCell(p.Starts[i].Reason))
		return
	}
	if i := slices.IndexFunc(p.Parks, func(k carawayshift.Park) bool { return k.Job == j.ID }); i >= 0 {
		fmt.Fprintf(b, "rule: it can never run as declared: %s\nnext: cancel job %d\n", report.FormatCell(p.Parks[i].Reason), j.ID)
		return
	}
	w, ok := p.Waits[j.ID]
	if !ok {
		fmt.Fprintf(b, "rule: not yet planned\nnext: why job %d\n", j.ID)
		return
	}
	writeWait(b, w)
}

func writeWait(b *strings.Builder, w carawayshift.Wait) {
	expected := "unknown"
	if !w.Expected.IsZero() {
		expected = report.FormatCell(w.Expected)
	}
	fmt.Fprintf(b, "rule: %s\nfreed by: %s\nexpected start: %s\nnext: %s\n", report.FormatCell(w.Rule), report.FormatCell(w.UnblockedBy), expected, report.FormatCell(w.Statement))
}

func explainActive(b *strings.Builder, j carawayshift.Job) {
	fmt.Fprintf(b, "where: zone %s, workers %s, attempt %d\n", j.Zone, strings.Join(workerNames(j), ", "), j.Attempt)
	if !j.Started.IsZero() {
		fmt.Fprintf(b, "since: %s\n", report.FormatCell(j.Started))
	}
	if j.Borrowed {
		b.WriteString("borrowed: its accelerators are beyond the team's guarantee and can be reclaimed\n")
	}
	if j.State == carawayshift.JobStopping {
		fmt.Fprintf(b, "then: %s\n", j.StateAfterStop)
	}
	if j.Reason != "" {
		fmt.Fprintf(b, "reason: %s\n", report.FormatCell(j.Reason))
	}
}

func workerNames(j carawayshift.Job) []string {
	var names []string
	for _, p := range j.Placements {
		if !slices.Contains(names, p.Worker) {
			names = append(names, p.Worker)
		}
	}
	return names
}

// explainInactive describes a job that is held or parked or has ended, and the
// statement that would let it run.
func (v *view) explainInactive(b *strings.Builder, j carawayshift.Job) {
	if j.Reason != "" {
		fmt.Fprintf(b, "reason: %s\n", report.FormatCell(j.Reason))
	}
	if len(j.FailedOn) > 0 {
		fmt.Fprintf(b, "failed on: %s\n", strings.Join(j.FailedOn, ", "))
	}
	if j.State.Ended() {
		fmt.Fprintf(b, "since: %s\n", report.FormatCell(j.Ended))
		return
	}
	if v.wouldParkAgain(j) {
		fmt.Fprintf(b, "next: set job %d with a size that fits, or cancel job %d\n", j.ID, j.ID)
		return
	}
	fmt.Fprintf(b, "next: release job %d\n", j.ID)
}

// wouldParkAgain reports whether the planner would park the job again after a
// release.
func (v *view) wouldParkAgain(j carawayshift.Job) bool {
	j.State = carawayshift.JobWaiting
	released := *v
	released.Jobs = maps.Clone(v.Jobs)
	released.Jobs[j.ID] = j
	return slices.ContainsFunc(released.plan().Parks, func(p carawayshift.Park) bool { return p.Job == j.ID })
}
