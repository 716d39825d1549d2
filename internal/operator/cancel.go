package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/statement"
)

// cancelMany cancels every job that the filter selects. The log has no
// command for many jobs, so the statement is first recorded as a note under
// the request's id, which decides races for a version and recognises a
// resend. Each job is then cancelled under an id made of the request's id and
// the job, so that a resend cancels no job twice.
func (h *Handler) cancelMany(ctx context.Context, q request, s statement.Statement) reply {
	record := carawayshift.Command{
		ID: q.ID, Kind: carawayshift.AddNote, By: q.Operator, At: time.Now().UTC(),
		IfVersion: s.IfVersion, Because: s.Because, Note: &carawayshift.Note{Text: q.Statement},
	}
	first, err := h.propose(ctx, record)
	if err != nil {
		return failure(err)
	}
	if first.Kind != "" {
		return h.report(ctx, first)
	}
	state, _ := h.fresh(ctx)
	v := view{State: state, now: time.Now(), handler: h, ctx: ctx}
	ids := v.cancellable(s)
	a, refused, err := h.cancelEach(ctx, q, s, ids)
	if err != nil {
		r := failure(err)
		r.Text += "some jobs may be cancelled; resend with the same id to cancel the rest\n"
		return r
	}
	a.Version, a.Repeated = max(a.Version, first.Version), first.Repeated
	r := h.report(ctx, a)
	r.Text = fmt.Sprintf("cancelled %d of %s that match%s\n", len(ids)-len(refused), count(len(ids)), list(ids)) +
		strings.Join(refused, "") + r.Text
	if first.Repeated {
		r.Text += "jobs that it cancelled when it was sent first no longer match\n"
	}
	return r
}

// cancellable returns the ids of the selected jobs that have not ended and
// are not being cancelled.
func (v *view) cancellable(s statement.Statement) []uint64 {
	s.Object = "jobs"
	var ids []uint64
	for _, row := range s.Arrange(v.jobRows()) {
		j := v.Jobs[row[0].(uint64)]
		if !j.State.Ended() && j.StopTo != carawayshift.JobCancelled {
			ids = append(ids, j.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// cancelEach returns the answer with the highest version, and a line for each
// job that could not be cancelled.
func (h *Handler) cancelEach(ctx context.Context, q request, s statement.Statement, ids []uint64) (last carawayshift.Answer, refused []string, err error) {
	for _, id := range ids {
		c := carawayshift.Command{
			ID: fmt.Sprintf("%s/%d", q.ID, id), Kind: carawayshift.CancelJob, By: q.Operator, At: time.Now().UTC(),
			Because: s.Because, Change: &carawayshift.JobChange{ID: id},
		}
		a, err := h.propose(ctx, c)
		if err != nil {
			return last, refused, err
		}
		if a.Kind != "" {
			refused = append(refused, fmt.Sprintf("job %d: %s\n", id, a.Error))
			continue
		}
		last = a
	}
	return last, refused, nil
}

// count returns the number of jobs in words.
func count(n int) string {
	if n == 1 {
		return "1 job"
	}
	return fmt.Sprintf("%d jobs", n)
}

func list(ids []uint64) string {
	const most = 20
	if len(ids) == 0 {
		return ""
	}
	var parts []string
	for _, id := range ids[:min(len(ids), most)] {
		parts = append(parts, fmt.Sprint(id))
	}
	if len(ids) > most {
		parts = append(parts, "...")
	}
	return ": " + strings.Join(parts, ", ")
}
