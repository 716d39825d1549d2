package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/statement"
)

// cancelLanes is the number of cancellations that are proposed at the same
// time. One commit takes about 45 ms across regions; a wave of 1,000 jobs one
// after the other would take longer than a client waits.
const cancelLanes = 16

// cancelMany cancels every job that the filter selects. The log has no
// command for many jobs, so the statement is first recorded as a note under
// the request's id, which decides races for a version and recognises a
// resend. Each job is then cancelled under an id made of the request's id and
// the job, so that a resend cancels no job twice.
func (h *Handler) cancelMany(ctx context.Context, q request, s statement.Statement) reply {
	record := carawayshift.Command{
		ID: q.ID, Kind: carawayshift.AddNote, By: q.Operator, At: time.Now().UTC(),
		IfVersion: s.IfVersion, Reason: s.Because, Note: &carawayshift.Note{Text: q.Statement},
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
		// Each error speaks for one job: "not run" of one would be untrue for
		// the statement.
		return failure(carawayshift.NewError(carawayshift.OutcomeUnknown,
			fmt.Sprintf("not all of %s could be cancelled: %v", count(len(ids)), firstOf(err)),
			"resend with the same id to cancel the rest"))
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
		if !j.State.Ended() && j.StateAfterStop != carawayshift.JobCancelled {
			ids = append(ids, j.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// cancelEach returns the answer with the highest version, and a line for each
// job that could not be cancelled.
func (h *Handler) cancelEach(ctx context.Context, q request, s statement.Statement, ids []uint64) (last carawayshift.Answer, refused []string, err error) {
	answers, errs := make([]carawayshift.Answer, len(ids)), make([]error, len(ids))
	var wg sync.WaitGroup
	for first := range cancelLanes {
		wg.Go(func() {
			for i := first; i < len(ids) && ctx.Err() == nil; i += cancelLanes {
				answers[i], errs[i] = h.cancelOne(ctx, q, s, ids[i])
			}
		})
	}
	wg.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return last, nil, err
	}
	for i, a := range answers {
		if a.Kind != "" {
			refused = append(refused, fmt.Sprintf("job %d: %s\n", ids[i], a.Error))
		} else if a.Version > last.Version {
			last = a
		}
	}
	return last, refused, nil
}

func (h *Handler) cancelOne(ctx context.Context, q request, s statement.Statement, id uint64) (carawayshift.Answer, error) {
	return h.propose(ctx, carawayshift.Command{
		ID: fmt.Sprintf("%s/%d", q.ID, id), Kind: carawayshift.CancelJob, By: q.Operator, At: time.Now().UTC(),
		Reason: s.Because, Change: &carawayshift.JobChange{ID: id},
	})
}

// firstOf returns the first of joined errors, which are alike.
func firstOf(err error) error {
	var e *carawayshift.Error
	if errors.As(err, &e) {
		return e
	}
	return err
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
