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
	// defaultMaxActive bounds the memory of requests that wait in the queue or
	// for another request with the same idempotency key.
	defaultMaxActive = 8192
	defaultDeadline  = 10 * time.Second
	maxDeadline      = 2 * time.Minute
	// defaultCrossRegionRate is a tenth of the 30 Mbit/s link between regions,
	// in bytes per second.
	defaultCrossRegionRate = 375_000
	// drainPoll is the interval at which Drain checks for requests in flight.
	drainPoll    = 10 * time.Millisecond
	pruneSeconds = 60
)

// Config holds the settings of a Handler. Pool, Balancer, Queue and Budget are
// required; zero values of the rest select the defaults.
type Config struct {
	Host     string
	Zone     string
	Pool     *runner.Pool
	Balancer *balance.Balancer
	Queue    *queue.Queue
	Budget   *retrybudget.Budget
	// Claims is nil on hosts that refuse requests with an idempotency key.
	Claims *idempotency.Registry
	// TeamLimit returns the maximum number of requests per second of a team at
	// this host; 0 means no limit.
	TeamLimit func(team string) int
	// HopToken authenticates requests that the deployment's entry hosts forward
	// to each other. If it is empty, any X-Hop header is trusted, and a caller
	// that sends one runs its keyed request without a claim.
	HopToken string
	// Zones returns the zones of the settings.
	Zones func() []carawayshift.Zone
	// EntryHosts returns the host:port addresses of a zone's entry hosts.
	EntryHosts func(zone string) []string
	// DefaultDeadline applies to requests without an X-Deadline-Ms header; 0
	// means 10 s.
	DefaultDeadline time.Duration
	// BodyLimit is the maximum size of a request body in bytes.
	BodyLimit int64
	// MaxActive is the maximum number of accepted requests that are not
	// answered yet.
	MaxActive int
	// CrossRegionRate is the maximum number of bytes per second for forwarding
	// to other regions.
	CrossRegionRate int
	Metrics         *metrics.Set
	Log             logrus.FieldLogger
}

// Handler handles the HTTP requests of callers.
type Handler struct {
	cfg         Config
	stats       *stats
	teams       *limiter
	crossRegion *tokenBucket
	chain       *negroni.Negroni
	// lastPrune is when the balancer's history was last pruned, in Unix seconds.
	lastPrune atomic.Int64

	mu       sync.Mutex
	draining bool
	active   int
}

// New returns a handler and connects the balancer and the pool to the queue.
func New(cfg Config) *Handler {
	cfg = withDefaults(cfg)
	h := &Handler{
		cfg:         cfg,
		stats:       newStats(cfg.Metrics),
		teams:       newLimiter(cfg.TeamLimit),
		crossRegion: newTokenBucket(float64(cfg.CrossRegionRate)),
	}
	cfg.Balancer.OnFree(cfg.Queue.Wake)
	cfg.Pool.SetInFlightSource(cfg.Balancer.InFlight)
	cfg.Pool.OnChange(cfg.Queue.WakeAll)
	h.chain = negroni.New(negroni.HandlerFunc(h.recoverPanic), negroni.HandlerFunc(h.recordDuration), negroni.HandlerFunc(h.admit))
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
		cfg.MaxActive = defaultMaxActive
	}
	if cfg.CrossRegionRate <= 0 {
		cfg.CrossRegionRate = defaultCrossRegionRate
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return cfg
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h.chain.ServeHTTP(w, req)
}

// recoverPanic aborts the connection after a panic, so that the caller does not
// take a partial response for a complete one.
func (h *Handler) recoverPanic(w http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	defer func() {
		if v := recover(); v != nil {
			h.cfg.Log.WithField("panic", v).Error("caller: panic while handling a request")
			panic(http.ErrAbortHandler)
		}
	}()
	next(w, req)
}

func (h *Handler) recordDuration(w http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	start := time.Now()
	next(w, req)
	h.stats.duration.Update(time.Since(start).Seconds())
}

// admit counts the request as accepted. It refuses the request if the host is
// draining or has reached its limit of accepted requests.
func (h *Handler) admit(w http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	h.mu.Lock()
	if h.active >= h.cfg.MaxActive {
		h.mu.Unlock()
		h.writeRefusal(w, h.parseIDs(req), notRun("this host has reached its limit of accepted requests", "send it again later"))
		return
	}
	if h.draining {
		h.mu.Unlock()
		w.Header().Set("Connection", "close")
		h.writeRefusal(w, h.parseIDs(req), notRun("this host is stopping", "send it again; the load balancer picks another host"))
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

// Drain refuses new requests with kind NotRun and returns when the accepted
// ones are finished or ctx ends.
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
	h.pruneHistory()
	r, err := h.parseRequest(w, req)
	if err != nil {
		h.writeRefusal(w, r, err)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), r.deadline)
	defer cancel()
	a, err := h.handle(ctx, r)
	if err != nil {
		h.writeRefusal(w, r, err)
		return
	}
	h.writeResponse(w, r, a)
}

// pruneHistory removes the balancer's history of runners that the pool no
// longer knows, at most once a minute.
func (h *Handler) pruneHistory() {
	last := h.lastPrune.Load()
	now := time.Now().Unix()
	if now-last >= pruneSeconds && h.lastPrune.CompareAndSwap(last, now) {
		h.cfg.Balancer.Forget(h.cfg.Pool.All())
	}
}

// handle runs a request, under a claim if it has an idempotency key and no
// other entry host has forwarded it.
func (h *Handler) handle(ctx context.Context, r *request) (*runner.Response, error) {
	if !h.teams.allow(r.team, time.Now()) {
		return nil, carawayshift.NewError(carawayshift.Limited, "team "+r.team+" exceeds its limit of requests per second", "send it again later")
	}
	if r.key != "" && !r.forwarded {
		return h.runWithClaim(ctx, r)
	}
	return h.route(ctx, r)
}
