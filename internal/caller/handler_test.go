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

// result is the response or error that a caller received.
type result struct {
	status  int
	kind    string
	body    []byte
	err     error
	elapsed time.Duration
}

func (d *deployment) send(ctx context.Context, address, method, id string, header map[string]string) result {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/r/fit/preview", bytes.NewReader([]byte("wig "+header["Idempotency-Key"])))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("X-Request-Id", id)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	// Without GetBody the caller's transport can't retry the request itself.
	req.GetBody = nil
	resp, err := d.client.Do(req)
	if err != nil {
		return result{err: err, elapsed: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header.Get("X-Kind"), b, err, time.Since(start)}
}

func expectedBody(id string, header map[string]string) []byte {
	return standin.Answer(id, "/r/fit/preview", []byte("wig "+header["Idempotency-Key"]), 0)
}

// Checks the path without faults: an announcement, the choice of a runner, a
// complete response, and the stored response of a repeated keyed request.
func TestAnswersThroughOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDeployment(t, 3, "a1")
		defer d.close()
		d.startHosts()
		r := d.startRunner("a1", "r1")
		time.Sleep(100 * time.Millisecond)
		rep := d.send(d.ctx, "a1-h0:80", http.MethodPost, "q1", nil)
		g.Expect(rep.err).NotTo(HaveOccurred())
		g.Expect(rep.status).To(Equal(http.StatusOK))
		g.Expect(rep.body).To(Equal(expectedBody("q1", nil)))

		key := map[string]string{"Idempotency-Key": "k1"}
		first := d.send(d.ctx, "a1-h1:80", http.MethodPost, "q2", key)
		second := d.send(d.ctx, "a1-h2:80", http.MethodPost, "q3", key)
		g.Expect(first.body).To(Equal(expectedBody("q2", key)))
		g.Expect(second.body).To(Equal(first.body))
		g.Expect(r.Runs()).To(Equal(map[string]int{"q1": 1, "k1": 1}))
	})
}
