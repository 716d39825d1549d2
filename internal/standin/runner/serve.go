package runner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	headerAttempt = "X-Attempt-Id"
	headerRequest = "X-Request-Id"
	headerKey     = "Idempotency-Key"
	// HeaderWork gives a request's service time in microseconds.
	HeaderWork = "X-Work-Us"
	// HeaderSize gives the size of the answer in bytes.
	HeaderSize = "X-Answer-Bytes"
	maxBody    = 8 << 20
	maxAnswer  = 8 << 20
)

// serve runs one request in a slot.
func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
	if err != nil {
		return
	}
	f := r.pickFault()
	attempt := req.Header.Get(headerAttempt)
	if f.Kind == FailFast {
		r.count(req, attempt)
		r.answer(w, http.StatusInternalServerError, attempt, []byte("failed\n"))
		return
	}
	ctx := req.Context()
	if !r.enter(ctx) {
		return
	}
	defer func() { <-r.slots }()
	other := r.count(req, attempt)
	if !rest(ctx, r.work(req, f)) {
		return
	}
	r.finish(ctx, w, req, f, attempt, other, Answer(req.Header.Get(headerRequest), req.URL.RequestURI(), body, size(req)))
}

func (r *Runner) finish(ctx context.Context, w http.ResponseWriter, req *http.Request, f Fault, attempt, other string, body []byte) {
	switch f.Kind {
	case CloseFirst:
		cut(w, attempt, body, 0, false)
	case Truncate:
		cut(w, attempt, body, 0.5, len(attempt) > 0 && attempt[0]%2 == 0)
	case WrongAnswer:
		r.answer(w, http.StatusOK, other, Answer("another", req.URL.RequestURI(), nil, 0))
	case Delay:
		// The answer is sent also when the caller has given up.
		time.Sleep(time.Duration(f.Millis) * time.Millisecond)
		r.answer(w, http.StatusOK, attempt, body)
	case Hang:
		rest(ctx, hangTime)
	default:
		r.answer(w, http.StatusOK, attempt, body)
	}
}

// enter takes a slot unless the sender goes away first.
func (r *Runner) enter(ctx context.Context) bool {
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if ctx.Err() != nil {
		<-r.slots
		return false
	}
	return true
}

// count records a run and returns the attempt id of the run before it.
func (r *Runner) count(req *http.Request, attempt string) string {
	id := req.Header.Get(headerKey)
	if id == "" {
		id = req.Header.Get(headerRequest)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	other := r.last
	if other == "" {
		other = "none"
	}
	r.last = attempt
	return other
}

func (r *Runner) work(req *http.Request, f Fault) time.Duration {
	d := r.cfg.Work
	if us, err := strconv.ParseInt(req.Header.Get(HeaderWork), 10, 64); err == nil && us >= 0 {
		d = time.Duration(us) * time.Microsecond
	}
	if f.Kind != Slow {
		return d
	}
	factor := f.Factor
	if factor <= 0 {
		factor = defaultFactor
	}
	return time.Duration(float64(d) * factor)
}

func (r *Runner) answer(w http.ResponseWriter, status int, attempt string, body []byte) {
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Answer returns the right answer to a request, so that senders can check it.
func Answer(id, path string, body []byte, size int) []byte {
	b := fmt.Appendf(nil, "request=%s path=%s body=%016x\n", id, path, xxhash.Sum64(body))
	if len(b) < size {
		b = append(b, bytes.Repeat([]byte{'.'}, size-len(b))...)
	}
	return b
}

func size(req *http.Request) int {
	n, err := strconv.Atoi(req.Header.Get(HeaderSize))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxAnswer)
}

func rest(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
