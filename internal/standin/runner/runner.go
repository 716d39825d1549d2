// Package runner is a stand-in for a runner: it announces itself to entry
// hosts, answers a limited number of requests at a time, counts runs and injects
// faults. It is used by tests, the demo and measurements.
//
// # Usage
//
//	r := runner.New(runner.Config{Name: "r1", Zone: "belmont", Service: "fit", Address: "127.0.0.1:7101", Hosts: []string{"http://127.0.0.1:7001"}})
//	err := r.Run(ctx)
//
// A request's header X-Work-Us gives its service time in microseconds, and
// X-Answer-Bytes the size of the answer. POST /faults takes a JSON list of
// faults. GET /runs returns the number of runs for each idempotency key, or for
// each request id if a request has no key.
package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/intake"
)

const (
	defaultSlots       = 8
	defaultConnections = 60
	defaultInterval    = time.Second
	defaultExpiry      = 3 * time.Second
	defaultWork        = 10 * time.Millisecond
	// leaveDelay is the time within which all hosts stop sending to a runner
	// that has announced that it is leaving.
	leaveDelay = 2 * time.Second
	// shutdownTimeout bounds the wait for requests in flight at a graceful
	// shutdown.
	shutdownTimeout = 30 * time.Second
)

// Config holds the settings of a Runner. Zero values take the defaults.
type Config struct {
	Name        string
	Incarnation uint64
	Zone        string
	Service     string
	// Address is the address to listen on and to announce.
	Address     string
	Slots       int
	Connections int
	// Hosts are the base URLs of the entry hosts to announce to.
	Hosts []string
	// Work is the service time of requests without X-Work-Us.
	Work time.Duration
	// Interval is the time between announcements, Expiry the time for which an
	// announcement is valid.
	Interval time.Duration
	Expiry   time.Duration
	Faults   []Fault
	Seed     uint64
	// Intake limits what clients can make the process hold; nil sets no limits.
	Intake *intake.Intake
	// Listen and Dial replace TCP in tests.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Runner is a simulated runner.
type Runner struct {
	cfg    Config
	client *http.Client
	server *http.Server
	slots  chan struct{}
	stop   chan struct{}
	once   sync.Once

	mu          sync.Mutex
	rnd         *rand.Rand
	faults      []Fault
	runs        map[string]int
	lastAttempt string
	leaving     bool
}

// New returns a runner that is not yet started.
func New(cfg Config) *Runner {
	cfg = withDefaults(cfg)
	r := &Runner{
		cfg:    cfg,
		client: &http.Client{Timeout: cfg.Interval, Transport: &http.Transport{DialContext: cfg.Dial}},
		slots:  make(chan struct{}, cfg.Slots),
		stop:   make(chan struct{}),
		rnd:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		faults: cfg.Faults,
		runs:   map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", r.serveFaults)
	mux.HandleFunc("GET /runs", r.serveRuns)
	mux.HandleFunc("/r/", r.serve)
	r.server = newServer(cfg.Intake, mux)
	return r
}

func newServer(in *intake.Intake, h http.Handler) *http.Server {
	if in == nil {
		return &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout}
	}
	return in.Server(h, intake.Listener{
		Name: "runner", Body: MaxBody, Opaque: func(*http.Request) bool { return true },
		Connections: in.Limits().Connections, HeaderTimeout: shutdownTimeout,
		Refuse: refuse,
	})
}

// refuse writes the response to a request that was not read.
func refuse(w http.ResponseWriter, _ *http.Request, err error) {
	status := http.StatusBadRequest
	switch carawayshift.KindOf(err) {
	case carawayshift.NotRun:
		status = http.StatusServiceUnavailable
	case carawayshift.TooLarge:
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

func (r *Runner) serveConnections(l net.Listener) error {
	if r.cfg.Intake == nil {
		return r.server.Serve(l)
	}
	return r.cfg.Intake.Serve(r.server, l)
}

func withDefaults(cfg Config) Config {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Connections <= 0 {
		cfg.Connections = defaultConnections
	}
	if cfg.Work <= 0 {
		cfg.Work = defaultWork
	}
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.Expiry <= 0 {
		cfg.Expiry = defaultExpiry
	}
	if cfg.Listen == nil {
		cfg.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return cfg
}

// Run serves and announces until ctx ends, then shuts down gracefully: it
// announces that it is leaving, waits until no host sends requests to it, and
// finishes the requests in flight.
func (r *Runner) Run(ctx context.Context) error {
	l, err := r.cfg.Listen(r.cfg.Address)
	if err != nil {
		return errors.Wrap(err, "runner.Run")
	}
	served := make(chan error, 1)
	go func() { served <- r.serveConnections(l) }()
	defer r.client.CloseIdleConnections()
	tick := time.NewTicker(r.cfg.Interval)
	defer tick.Stop()
	for {
		r.announce(context.WithoutCancel(ctx))
		select {
		case <-ctx.Done():
			return r.leave(context.WithoutCancel(ctx), served)
		case <-r.stop:
			return r.leave(context.WithoutCancel(ctx), served)
		case err := <-served:
			return serveError(err)
		case <-tick.C:
		}
	}
}

// Stop makes Run shut down as if its context had ended.
func (r *Runner) Stop() { r.once.Do(func() { close(r.stop) }) }

// Leave sets the leaving flag, which the next announcement carries.
func (r *Runner) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
}

func (r *Runner) leave(ctx context.Context, served chan error) error {
	r.Leave()
	r.announce(ctx)
	time.Sleep(leaveDelay)
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := r.server.Shutdown(ctx)
	<-served
	return errors.Wrap(err, "runner.Run")
}

// Kill closes the listener and all connections immediately, as a crash does. Run
// then returns.
func (r *Runner) Kill() { _ = r.server.Close() }

func serveError(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "runner.Run")
}

// Runs returns the number of runs by idempotency key or request id.
func (r *Runner) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.runs))
	for k, n := range r.runs {
		out[k] = n
	}
	return out
}

func (r *Runner) Name() string { return r.cfg.Name }
