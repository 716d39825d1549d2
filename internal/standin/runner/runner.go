// Package runner is a stand-in for a runner: it announces itself to entry
// hosts, answers requests in a number of slots, counts runs and fails on
// demand. It serves tests, the demo and measurements.
//
// # Usage
//
//	r := runner.New(runner.Config{Name: "r1", Zone: "belmont", Service: "fit", Address: "127.0.0.1:7101", Hosts: []string{"http://127.0.0.1:7001"}})
//	err := r.Run(ctx)
//
// A request's header X-Work-Us gives its service time in microseconds, and
// X-Answer-Bytes the size of the answer. POST /faults takes a JSON list of
// faults, GET /runs returns the number of runs for each idempotency key, or
// request id of requests without a key.
package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultSlots       = 8
	defaultConnections = 60
	defaultInterval    = time.Second
	defaultExpiry      = 3 * time.Second
	defaultWork        = 10 * time.Millisecond
	// leaveWait is the time in which all hosts stop sending to a leaving
	// runner.
	leaveWait = 2 * time.Second
	// stopWait bounds the wait for requests in flight at a graceful stop.
	stopWait = 30 * time.Second
)

// Config holds the settings of a Runner. Zero values take the defaults.
type Config struct {
	Name        string
	Incarnation uint64
	Zone        string
	Service     string
	// Address is listened on and announced.
	Address     string
	Slots       int
	Connections int
	// Hosts are the base URLs of the entry hosts to announce to.
	Hosts []string
	// Work is the service time of requests without X-Work-Us.
	Work time.Duration
	// Interval and Expiry concern announcements.
	Interval time.Duration
	Expiry   time.Duration
	Faults   []Fault
	Seed     uint64
	// Listen and Dial replace TCP in tests.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Runner is a stand-in runner.
type Runner struct {
	cfg    Config
	client *http.Client
	server *http.Server
	slots  chan struct{}
	stop   chan struct{}
	once   sync.Once

	mu      sync.Mutex
	rnd     *rand.Rand
	faults  []Fault
	runs    map[string]int
	last    string
	leaving bool
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
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: stopWait}
	return r
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

// Run serves and announces until ctx ends, then leaves: it announces that it
// is leaving, waits until no host sends to it, and finishes what it has.
func (r *Runner) Run(ctx context.Context) error {
	l, err := r.cfg.Listen(r.cfg.Address)
	if err != nil {
		return errors.Wrap(err, "runner.Run")
	}
	served := make(chan error, 1)
	go func() { served <- r.server.Serve(l) }()
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
			return killed(err)
		case <-tick.C:
		}
	}
}

// Stop makes Run leave as if its context had ended.
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
	time.Sleep(leaveWait)
	ctx, cancel := context.WithTimeout(ctx, stopWait)
	defer cancel()
	err := r.server.Shutdown(ctx)
	<-served
	return errors.Wrap(err, "runner.Run")
}

// Kill closes the listener and all connections at once, as a crash does. Run
// then returns.
func (r *Runner) Kill() { _ = r.server.Close() }

func killed(err error) error {
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

// Name returns the runner's name.
func (r *Runner) Name() string { return r.cfg.Name }
