package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/urfave/negroni/v3"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/runner"
	"carawayshift.example/carawayshift/pkg/balance"
	"carawayshift.example/carawayshift/pkg/idempotency"
	"carawayshift.example/carawayshift/pkg/queue"
	"carawayshift.example/carawayshift/pkg/retrybudget"
)

const (
	defaultBodyLimit = 8 << 20
	// defaultActive bounds the memory of requests that wait in the queue or for
	// another request with their key.
	defaultActive   = 8192
	defaultDeadline = 10 * time.Second
	maxDeadline     = 2 * time.Minute
	// defaultFarRate is a tenth of the 30 Mbit/s link between regions, in
	// bytes per second.
	defaultFarRate = 375_000
	// drainPoll is the interval at which Drain looks for requests in flight.
	drainPoll     = 10 * time.Millisecond
	forgetSeconds = 60
)

// Config holds the settings of a Handler. Pool, Balancer, Queue and Budget are
// required; zero values of the rest take the defaults.
type Config struct {
	Host     string
	Zone     string
	Pool     *runner.Pool
	Balancer *balance.Balancer
	Queue    *queue.Queue
	Budget   *retrybudget.Budget
	// Claims is nil on hosts that refuse keyed requests.
	Claims *idempotency.Registry
	// TeamLimit returns a team's requests per second at this host; 0 is no limit.
	TeamLimit func(team string) int
	// HopToken marks requests forwarded between the deployment's entry hosts.
	// If it is empty, any X-Hop header is believed, and a caller that sends
	// one runs its keyed request without a claim.
	HopToken string
	// Zones returns the zones in the settings.
	Zones func() []carawayshift.Zone
	// EntryHosts returns the host:port addresses of a zone's entry hosts.
	EntryHosts func(zone string) []string
	// DefaultDeadline applies to requests that name none; 0 is 10 s.
	DefaultDeadline time.Duration
	// BodyLimit is the largest request body in bytes.
	BodyLimit int64
	// MaxActive is the largest number of accepted requests that are not answered.
	MaxActive int
	// CrossRegionRate is the byte budget for forwarding to other regions, per second.
	CrossRegionRate int
	Metrics         *metrics.Set
	Log             logrus.FieldLogger
}

// Handler serves callers.
type Handler struct {
	cfg   Config
	stats *stats
	teams *limiter
	far   *meter
	chain *negroni.Negroni
	// forgot is the time of the last forget in Unix seconds.
	forgot atomic.Int64

	mu       sync.Mutex
	draining bool
	active   int
}

// New returns a handler and connects the balancer and the pool to the queue.
func New(cfg Config) *Handler {
	cfg = withDefaults(cfg)
	h := &Handler{
		cfg:   cfg,
		stats: newStats(cfg.Metrics),
		teams: newLimiter(cfg.TeamLimit),
		far:   newMeter(float64(cfg.CrossRegionRate)),
	}
	cfg.Balancer.OnFree(cfg.Queue.Wake)
	cfg.Pool.SetInFlightSource(cfg.Balancer.InFlight)
	cfg.Pool.OnChange(cfg.Queue.WakeAll)
	h.chain = negroni.New(negroni.HandlerFunc(h.recover), negroni.HandlerFunc(h.count), negroni.HandlerFunc(h.admit))
	h.chain.UseHandlerFunc(h.serve)
	return h
}

func withDefaults(cfg Config) Config {
	if cfg.TeamLimit == nil {
		cfg.TeamLimit = func(string) int { return 0 }
	}
	if cfg.Zones == nil {
		cfg.Zones = func() []carawayshift.Zone { return nil }
	}
	if cfg.EntryHosts == nil {
		cfg.EntryHosts = func(string) []string { return nil }
	}
	if cfg.DefaultDeadline <= 0 {
		cfg.DefaultDeadline = defaultDeadline
	}
	cfg.DefaultDeadline = min(cfg.DefaultDeadline, maxDeadline)
	if cfg.BodyLimit <= 0 {
		cfg.BodyLimit = defaultBodyLimit
	}
	if cfg.MaxActive <= 0 {
		cfg.MaxActive = defaultActive
	}
	if cfg.CrossRegionRate <= 0 {
		cfg.CrossRegionRate = defaultFarRate
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return cfg
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h.chain.ServeHTTP(w, req)
}

// recover turns a panic into a transport error: the caller must not take a
// half-written answer for a whole one.
func (h *Handler) recover(w http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	defer func() {
		if v := recover(); v != nil {
			h.cfg.Log.WithField("panic", v).Error("caller: request failed")
			panic(http.ErrAbortHandler)
		}
	}()
	next(w, req)
}

func (h *Handler) count(w http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	start := time.Now()
	next(w, req)
	h.stats.duration.Update(time.Since(start).Seconds())
}

// admit counts the request as accepted, unless the host is draining.
func (h *Handler) admit(w http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	h.mu.Lock()
	if h.active >= h.cfg.MaxActive {
		h.mu.Unlock()
		h.fail(w, h.stub(req), notRun("this host has too many requests", "send it again later"))
		return
	}
	if h.draining {
		h.mu.Unlock()
		w.Header().Set("Connection", "close")
		h.fail(w, h.stub(req), notRun("this host is stopping", "send it again; the load balancer picks another host"))
		return
	}
	h.active++
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.active--
		h.mu.Unlock()
	}()
	next(w, req)
}

// Drain refuses new requests as not run and returns when the accepted ones
// are finished or ctx ends.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for {
		if h.Active() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Active returns the number of accepted requests that are not answered yet.
func (h *Handler) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

func (h *Handler) serve(w http.ResponseWriter, req *http.Request) {
	h.forget()
	j, err := h.parse(w, req)
	if err != nil {
		h.fail(w, j, err)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), j.deadline)
	defer cancel()
	a, err := h.answer(ctx, j)
	if err != nil {
		h.fail(w, j, err)
		return
	}
	h.write(w, j, a)
}

// forget drops the balancer's history of runners that are gone, once a minute.
func (h *Handler) forget() {
	last := h.forgot.Load()
	now := time.Now().Unix()
	if now-last >= forgetSeconds && h.forgot.CompareAndSwap(last, now) {
		h.cfg.Balancer.Forget(h.cfg.Pool.All())
	}
}

// answer runs a request, under its key's claim if it has one.
func (h *Handler) answer(ctx context.Context, j *job) (*runner.Response, error) {
	if !h.teams.allow(j.team, time.Now()) {
		return nil, carawayshift.NewError(carawayshift.Limited, "team "+j.team+" is over its requests per second", "send it again later")
	}
	if j.key != "" && !j.hop {
		return h.claimed(ctx, j)
	}
	return h.route(ctx, j)
}
