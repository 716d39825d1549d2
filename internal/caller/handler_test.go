package caller_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	standin "carawayshift.example/carawayshift/internal/standin/runner"
)

// reply is what a caller saw.
type reply struct {
	status int
	kind   string
	body   []byte
	err    error
	took   time.Duration
}

func (w *world) send(ctx context.Context, address, method, id string, header map[string]string) reply {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/r/fit/preview", bytes.NewReader([]byte("wig "+header["Idempotency-Key"])))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("X-Request-Id", id)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	// The caller's own transport must not repeat requests.
	req.GetBody = nil
	resp, err := w.client.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get("X-Kind"), b, err, time.Since(start)}
}

func right(id string, header map[string]string) []byte {
	return standin.Answer(id, "/r/fit/preview", []byte("wig "+header["Idempotency-Key"]), 0)
}

// Guards the plain path: announcement, choice, send, whole answer, keyed replay.
func TestAnswersThroughOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, 3, "a1")
		defer w.close()
		w.startHosts()
		r := w.startRunner("a1", "r1")
		time.Sleep(100 * time.Millisecond)
		rep := w.send(w.ctx, "a1-h0:80", http.MethodPost, "q1", nil)
		g.Expect(rep.err).NotTo(HaveOccurred())
		g.Expect(rep.status).To(Equal(http.StatusOK))
		g.Expect(rep.body).To(Equal(right("q1", nil)))

		key := map[string]string{"Idempotency-Key": "k1"}
		first := w.send(w.ctx, "a1-h1:80", http.MethodPost, "q2", key)
		second := w.send(w.ctx, "a1-h2:80", http.MethodPost, "q3", key)
		g.Expect(first.body).To(Equal(right("q2", key)))
		g.Expect(second.body).To(Equal(first.body))
		g.Expect(r.Runs()).To(Equal(map[string]int{"q1": 1, "k1": 1}))
	})
}
