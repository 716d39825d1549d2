package health

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// A host must not report ready while a component is not ready or while it stops,
// and must list all reasons.
func TestEndpoints(t *testing.T) {
	set := metrics.NewSet()
	set.NewCounter("carawayshift_test_total").Add(3)
	failing := func() error { return errors.New("the copy is behind\nby far") }
	tests := []struct {
		name, method, path string
		checks             []Check
		stop               string
		status             int
		body               string
	}{
		{"alive though not ready", "GET", "/healthz", []Check{failing}, "x", 200, "ok\n"},
		{"ready", "GET", "/readyz", []Check{func() error { return nil }}, "", 200, "ready\n"},
		{"not ready", "GET", "/readyz", []Check{failing, failing}, "", 503, "the copy is behind by far\nthe copy is behind by far\n"},
		{"stopping", "GET", "/readyz", nil, "graceful stop", 503, "stopping: graceful stop\n"},
		{"panic", "GET", "/readyz", []Check{func() error { panic("x") }}, "", 500, ""},
		{"metrics", "GET", "/metrics", nil, "", 200, "carawayshift_test_total 3\n"},
		{"wrong method", "POST", "/readyz", nil, "", 405, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			h := New(Config{Checks: tt.checks, Metrics: []*metrics.Set{set}, Log: log})
			if tt.stop != "" {
				h.Stop(tt.stop)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, http.NoBody))
			g.Expect(w.Code).To(Equal(tt.status))
			g.Expect(w.Body.String()).To(HaveSuffix(tt.body))
			g.Expect(w.Header().Get("Cache-Control") == "no-store").To(Equal(tt.path != "/metrics" && tt.status != 500 && tt.status != 405))
		})
	}
}
