package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/runner"
)

// refusal is the JSON body of a refusal.
type refusal struct {
	Error  string `json:"error"`
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
}

func parseRefusal(b []byte) refusal {
	var f refusal
	if json.Unmarshal(b, &f) != nil {
		f.Error = "the other entry host gave no reason"
	}
	return f
}

// Refuse answers a request that was not handled.
func (h *Handler) Refuse(w http.ResponseWriter, req *http.Request, err error) {
	h.writeRefusal(w, h.parseIDs(req), err)
}

// writeRefusal responds with a refusal. If err has no kind, nothing is known
// about the request, so the kind is OutcomeUnknown.
func (h *Handler) writeRefusal(w http.ResponseWriter, r *request, err error) {
	e := carawayshift.NewError(carawayshift.OutcomeUnknown, err.Error(), "check the outcome before sending it again")
	_ = errors.As(err, &e)
	h.stats.refused(e.Kind).Inc()
	if r != nil {
		h.log(r, "refused", string(e.Kind)+": "+e.Text, 0)
	}
	body, _ := json.Marshal(refusal{e.Text, string(e.Kind), e.Remedy})
	hd := w.Header()
	hd.Set("Content-Type", "application/json")
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	hd.Set(headerKind, string(e.Kind))
	if r != nil && r.forwarded && r.sends == 0 && errors.Is(err, errNoRunner) {
		hd.Set(headerNoRunner, "true")
	}
	echoIDs(hd, r)
	w.WriteHeader(statusOf(e.Kind))
	_, _ = w.Write(body)
}

// echoIDs sets the ids of the request as response headers. A forwarding entry
// host checks the attempt id as it does for runners.
func echoIDs(hd http.Header, r *request) {
	if r == nil {
		return
	}
	hd.Set(headerRequest, r.id)
	if r.attemptID != "" {
		hd.Set(runner.AttemptHeader, r.attemptID)
	}
}

// writeResponse passes on the complete response of a runner.
func (h *Handler) writeResponse(w http.ResponseWriter, r *request, a *runner.Response) {
	hd := w.Header()
	for k, v := range a.Header {
		hd[k] = v
	}
	for _, f := range hopHeaders {
		hd.Del(f)
	}
	hd.Del(headerKind)
	hd.Del(runner.AttemptHeader)
	echoIDs(hd, r)
	if r.method == http.MethodHead {
		if v := a.Header.Get("Content-Length"); v != "" {
			hd.Set("Content-Length", v)
		}
	} else if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		hd.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	h.stats.answers.Inc()
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// sleep waits for d, or until ctx is done, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// backoff returns a delay with full jitter whose mean doubles with each send.
func backoff(sends int) time.Duration {
	return time.Duration(rand.Int64N(int64(2*firstBackoff) << sends))
}
