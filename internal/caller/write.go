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

// failure is the wire form of a refusal.
type failure struct {
	Error  string `json:"error"`
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
}

func readFailure(b []byte) failure {
	var f failure
	if json.Unmarshal(b, &f) != nil {
		f.Error = "the other entry host gave no reason"
	}
	return f
}

// fail answers with a refusal. Without a kind nothing is known, so that the
// outcome is unknown.
func (h *Handler) fail(w http.ResponseWriter, j *job, err error) {
	e := carawayshift.NewError(carawayshift.OutcomeUnknown, err.Error(), "check the outcome before sending it again")
	_ = errors.As(err, &e)
	h.stats.refused(e.Kind).Inc()
	if j != nil {
		h.log(j, "refused", string(e.Kind)+": "+e.Text, 0)
	}
	body, _ := json.Marshal(failure{e.Text, string(e.Kind), e.Remedy})
	hd := w.Header()
	hd.Set("Content-Type", "application/json")
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	hd.Set(headerKind, string(e.Kind))
	echo(hd, j)
	w.WriteHeader(statusOf(e.Kind))
	_, _ = w.Write(body)
}

// echo returns the ids that the sender gave. A forwarding entry host checks the
// attempt id as it does for runners.
func echo(hd http.Header, j *job) {
	if j == nil {
		return
	}
	hd.Set(headerRequest, j.id)
	if j.attempt != "" {
		hd.Set(runner.AttemptHeader, j.attempt)
	}
}

// write passes a runner's whole answer on.
func (h *Handler) write(w http.ResponseWriter, j *job, a *runner.Response) {
	hd := w.Header()
	for k, v := range a.Header {
		hd[k] = v
	}
	for _, f := range hopHeaders {
		hd.Del(f)
	}
	hd.Del(headerKind)
	hd.Del(runner.AttemptHeader)
	echo(hd, j)
	if j.method == http.MethodHead {
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

// pause waits and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// backoff doubles with each send, with full jitter.
func backoff(sends int) time.Duration {
	return time.Duration(rand.Int64N(int64(2*firstBackoff) << sends))
}
