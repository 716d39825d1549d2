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
	maxAnswer  = 8 << 20
)

// MaxBody is the size of the largest body of a request in bytes.
const MaxBody = 8 << 20

// serve handles one request, in a slot unless the request fails fast.
func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, MaxBody))
	if err != nil {
		return
	}
	f := r.pickFault()
	attempt := req.Header.Get(headerAttempt)
	if f.Kind == FailFast {
		r.countRun(req, attempt)
		r.writeAnswer(w, http.StatusInternalServerError, attempt, []byte("failed\n"))
		return
	}
	ctx := req.Context()
	if !r.acquireSlot(ctx) {
		return
	}
	defer func() { <-r.slots }()
	previousAttempt := r.countRun(req, attempt)
	if !sleep(ctx, r.serviceTime(req, f)) {
		return
	}
	r.respond(ctx, w, req, f, attempt, previousAttempt, Answer(req.Header.Get(headerRequest), req.URL.RequestURI(), body, answerSize(req)))
}

func (r *Runner) respond(ctx context.Context, w http.ResponseWriter, req *http.Request, f Fault, attempt, previousAttempt string, body []byte) {
	switch f.Kind {
	case CloseFirst:
		sendTruncated(w, attempt, body, 0, false)
	case Truncate:
		sendTruncated(w, attempt, body, 0.5, len(attempt) > 0 && attempt[0]%2 == 0)
	case WrongAnswer:
		r.writeAnswer(w, http.StatusOK, previousAttempt, Answer("another", req.URL.RequestURI(), nil, 0))
	case Delay:
		// The answer is sent even if the caller has given up.
		time.Sleep(time.Duration(f.Millis) * time.Millisecond)
		r.writeAnswer(w, http.StatusOK, attempt, body)
	case Hang:
		sleep(ctx, hangTimeout)
	default:
		r.writeAnswer(w, http.StatusOK, attempt, body)
	}
}

// acquireSlot waits for a slot; it returns false if the request is cancelled
// first.
func (r *Runner) acquireSlot(ctx context.Context) bool {
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

// countRun records a run and returns the attempt id of the run before it.
func (r *Runner) countRun(req *http.Request, attempt string) string {
	id := req.Header.Get(headerKey)
	if id == "" {
		id = req.Header.Get(headerRequest)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	previous := r.lastAttempt
	if previous == "" {
		previous = "none"
	}
	r.lastAttempt = attempt
	return previous
}

func (r *Runner) serviceTime(req *http.Request, f Fault) time.Duration {
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

func (r *Runner) writeAnswer(w http.ResponseWriter, status int, attempt string, body []byte) {
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Answer returns the correct answer to a request, so that senders can verify the
// one that they get.
func Answer(id, path string, body []byte, size int) []byte {
	b := fmt.Appendf(nil, "request=%s path=%s body=%016x\n", id, path, xxhash.Sum64(body))
	if len(b) < size {
		b = append(b, bytes.Repeat([]byte{'.'}, size-len(b))...)
	}
	return b
}

func answerSize(req *http.Request) int {
	n, err := strconv.Atoi(req.Header.Get(HeaderSize))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxAnswer)
}

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
