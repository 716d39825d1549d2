// Package health serves the platform's HTTP endpoints of a process: liveness,
// readiness and metrics.
//
// # Usage
//
//	h := health.New(health.Config{Checks: []health.Check{follower.Ready}, Metrics: []*metrics.Set{set}})
//	mux.Handle("/healthz", h)
//	mux.Handle("/readyz", h)
//	mux.Handle("/metrics", h)
//	...
//	h.Stop("graceful stop") // not ready, so that the load balancer uses other hosts
//
// GET /healthz returns 200 while the process serves HTTP. GET /readyz returns
// 200, or 503 with one reason per line. GET /metrics returns the metrics in the
// Prometheus text format.
package health

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/urfave/negroni/v3"
)

// Check returns nil when a component is ready, or an error with the reason why
// it is not. It must not block.
type Check func() error

// Config configures a Handler.
type Config struct {
	Checks []Check
	// Metrics holds the sets that are written after the metrics of the process.
	Metrics []*metrics.Set
	Log     logrus.FieldLogger
}

// Handler serves /healthz, /readyz and /metrics.
type Handler struct {
	cfg   Config
	serve http.Handler

	mu       sync.Mutex
	stopping string
	// reasons holds the last reasons why the process was not ready. A change is
	// logged.
	reasons string
}

// New returns a handler that is ready when all checks pass.
func New(cfg Config) *Handler {
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	h := &Handler{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", h.healthz)
	mux.HandleFunc("GET /readyz", h.readyz)
	mux.HandleFunc("GET /metrics", h.metrics)
	// A panic in a check must not end the process.
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	recovery.Logger = recoveryLogger{cfg.Log}
	h.serve = negroni.New(recovery, negroni.Wrap(mux))
	return h
}

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serve.ServeHTTP(w, r)
}

// Stop makes the handler report permanently that the process is not ready.
func (h *Handler) Stop(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = reason
}

func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	reasons := strings.Join(h.unreadyReasons(), "\n")
	h.logChange(reasons)
	if reasons != "" {
		writeText(w, http.StatusServiceUnavailable, reasons+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

// Ready returns the first reason why the process is not ready, or nil.
func (h *Handler) Ready() error {
	reasons := h.unreadyReasons()
	h.logChange(strings.Join(reasons, "\n"))
	if len(reasons) > 0 {
		return errors.New(reasons[0])
	}
	return nil
}

func (h *Handler) unreadyReasons() []string {
	h.mu.Lock()
	stopping := h.stopping
	h.mu.Unlock()
	var out []string
	if stopping != "" {
		out = append(out, "stopping: "+stopping)
	}
	for _, check := range h.cfg.Checks {
		if err := check(); err != nil {
			out = append(out, strings.ReplaceAll(err.Error(), "\n", " "))
		}
	}
	return out
}

func (h *Handler) logChange(reasons string) {
	h.mu.Lock()
	changed := h.reasons != reasons
	h.reasons = reasons
	h.mu.Unlock()
	if changed {
		h.cfg.Log.WithField("reasons", reasons).Info("readiness changed")
	}
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
	for _, set := range h.cfg.Metrics {
		set.WritePrometheus(w)
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	fmt.Fprint(w, text)
}

// recoveryLogger logs negroni's messages of recovered panics.
type recoveryLogger struct{ log logrus.FieldLogger }

func (l recoveryLogger) Println(v ...any)               { l.log.Error(v...) }
func (l recoveryLogger) Printf(format string, v ...any) { l.log.Errorf(format, v...) }
