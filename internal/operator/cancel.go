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

// maxConcurrentCancels is the number of cancellations that are proposed at the
// same time. One commit takes about 45 ms across regions, so cancelling 1,000
// jobs one after the other would take longer than a client waits.
const maxConcurrentCancels = 16

// cancelJobs cancels every job that the filter selects. The log has no command
// for several jobs, so the statement is first recorded as a note under the
// request's id: the note's answer decides races for a version and detects a
// resent request. Each job is then cancelled under an id made of the request's
// id and the job's, so that resending the request cancels no job twice.
func (h *Handler) cancelJobs(ctx context.Context, q request, s statement.Statement) reply {
	note := carawayshift.Command{
		ID: q.ID, Kind: carawayshift.AddNote, By: q.Operator, At: time.Now().UTC(),
		IfVersion: s.IfVersion, Reason: s.Reason, Note: &carawayshift.Note{Text: q.Statement},
	}
	noteAnswer, err := h.propose(ctx, note)
	if err != nil {
		return errorReply(err)
	}
	if noteAnswer.Kind != "" {
		return h.commandReply(ctx, noteAnswer)
	}
	state, _ := h.readState(ctx)
	v := view{State: state, now: time.Now(), handler: h, ctx: ctx}
	ids := v.cancellableJobIDs(s)
	a, refused, err := h.cancelEach(ctx, q, s, ids)
	if err != nil {
		// An error's kind applies to one job only. Returning "not run" for the
		// statement would be wrong, as other jobs may have been cancelled.
		return errorReply(carawayshift.NewError(carawayshift.OutcomeUnknown,
			fmt.Sprintf("not all of %s could be cancelled: %v", formatJobCount(len(ids)), firstError(err)),
			"resend with the same id to cancel the rest"))
	}
	a.Version, a.Repeated = max(a.Version, noteAnswer.Version), noteAnswer.Repeated
	r := h.commandReply(ctx, a)
	r.Text = fmt.Sprintf("cancelled %d of %s that match%s\n", len(ids)-len(refused), formatJobCount(len(ids)), formatJobIDs(ids)) +
		strings.Join(refused, "") + r.Text
	if noteAnswer.Repeated {
		r.Text += "jobs that it cancelled when it was sent first no longer match\n"
	}
	return r
}

// cancellableJobIDs returns the ids of the selected jobs that have not ended
// and are not being cancelled.
func (v *view) cancellableJobIDs(s statement.Statement) []uint64 {
	s.Object = "jobs"
	var ids []uint64
	for _, row := range s.Select(v.jobRows()) {
		j := v.Jobs[row[0].(uint64)]
		if !j.State.Ended() && j.StateAfterStop != carawayshift.JobCancelled {
			ids = append(ids, j.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// cancelEach cancels the jobs concurrently. It returns the answer with the
// highest version, and a line of text for each job that could not be cancelled.
func (h *Handler) cancelEach(ctx context.Context, q request, s statement.Statement, ids []uint64) (last carawayshift.Answer, refused []string, err error) {
	answers, errs := make([]carawayshift.Answer, len(ids)), make([]error, len(ids))
	var wg sync.WaitGroup
	for offset := range maxConcurrentCancels {
		wg.Go(func() {
			for i := offset; i < len(ids) && ctx.Err() == nil; i += maxConcurrentCancels {
				answers[i], errs[i] = h.cancelJob(ctx, q, s, ids[i])
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

func (h *Handler) cancelJob(ctx context.Context, q request, s statement.Statement, id uint64) (carawayshift.Answer, error) {
	return h.propose(ctx, carawayshift.Command{
		ID: fmt.Sprintf("%s/%d", q.ID, id), Kind: carawayshift.CancelJob, By: q.Operator, At: time.Now().UTC(),
		Reason: s.Reason, Change: &carawayshift.JobChange{ID: id},
	})
}

// firstError returns the first Error among joined errors. The others are
// similar, so one is enough for the reply.
func firstError(err error) error {
	var e *carawayshift.Error
	if errors.As(err, &e) {
		return e
	}
	return err
}

func formatJobCount(n int) string {
	if n == 1 {
		return "1 job"
	}
	return fmt.Sprintf("%d jobs", n)
}

// formatJobIDs returns the ids as the end of a sentence, truncated after
// maxListed.
func formatJobIDs(ids []uint64) string {
	const maxListed = 20
	if len(ids) == 0 {
		return ""
	}
	var parts []string
	for _, id := range ids[:min(len(ids), maxListed)] {
		parts = append(parts, fmt.Sprint(id))
	}
	if len(ids) > maxListed {
		parts = append(parts, "...")
	}
	return ": " + strings.Join(parts, ", ")
}
