package server

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/internal/caller"
	"carawayshift.example/carawayshift/internal/gang"
	"carawayshift.example/carawayshift/internal/health"
	"carawayshift.example/carawayshift/internal/intake"
	"carawayshift.example/carawayshift/internal/operator"
	"carawayshift.example/carawayshift/internal/runner"
	"carawayshift.example/carawayshift/internal/scheduler"
	"carawayshift.example/carawayshift/internal/transport"
	"carawayshift.example/carawayshift/internal/worker"
	"carawayshift.example/carawayshift/pkg/idempotency"
	"carawayshift.example/carawayshift/pkg/lease"
)

const (
	// shutdownDelay gives the platform's load balancer time to notice that the
	// host is not ready, before requests are refused.
	shutdownDelay = 2 * time.Second
	// drainTimeout limits the wait for requests in flight.
	drainTimeout  = 30 * time.Second
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	callersPath   = "/r/"
)

// Server runs the components of one host of the deployment.
type Server struct {
	opts      Options
	health    *health.Handler
	mesh      *transport.Mesh
	state     *replicatedState
	leases    *lease.Table
	workers   *worker.Client
	gangs     *gang.Manager
	scheduler *scheduler.Scheduler
	pool      *runner.Pool
	claims    *idempotency.Registry
	caller    *caller.Handler
	operator  *operator.Handler
	intake    *intake.Intake

	cleanup func()
}

// New creates the components of one host without starting them. It opens the
// journal and the claims file.
func New(o Options) (*Server, error) {
	s, cleanup, err := build(o)
	if err != nil {
		return nil, err
	}
	s.cleanup = cleanup
	return s, nil
}

func newServer(o Options, h *health.Handler, mesh *transport.Mesh, rs *replicatedState, t *lease.Table, w *worker.Client,
	g *gang.Manager, s *scheduler.Scheduler, p *runner.Pool, r *idempotency.Registry, callerHandler *caller.Handler, operatorHandler *operator.Handler,
	in *intake.Intake,
) *Server {
	return &Server{
		opts: o, health: h, mesh: mesh, state: rs, leases: t, workers: w,
		gangs: g, scheduler: s, pool: p, claims: r, caller: callerHandler, operator: operatorHandler, intake: in,
	}
}

// Run serves requests until ctx is cancelled, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	defer s.cleanup()
	// The components keep running after ctx is cancelled, until the graceful
	// stop is complete.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	failed := make(chan error, 1)
	s.start(work, &wg, failed)
	public := s.serve(s.opts.HTTP, s.publicMux(), intake.Listener{
		Name: "http", Body: max(s.opts.Settings.Requests.Body, worker.MaxBody), Opaque: isCallers, Connections: s.intake.Limits().Connections,
	}, failed)
	private := s.serve(s.opts.Operators, s.operatorMux(), intake.Listener{Name: "operators", Body: operator.MaxBody, Connections: s.intake.Limits().Platform}, failed)
	var err error
	select {
	case <-ctx.Done():
		s.stop(work)
	case err = <-failed:
		s.opts.Log.WithError(err).Error("a component failed; stopping the host")
	}
	_ = public.Close()
	_ = private.Close()
	return err
}

// start runs each component in a goroutine. An error of a component stops the
// host.
func (s *Server) start(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) {
	parts := []func(context.Context) error{
		s.mesh.Run, s.state.run, s.workers.Run, s.gangs.Run, s.scheduler.Run, s.pool.Run, s.claims.Run,
		func(ctx context.Context) error { s.leases.Run(ctx); return nil },
	}
	for _, run := range parts {
		wg.Go(func() { reportError(failed, run(ctx)) })
	}
}

func reportError(failed chan<- error, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	select {
	case failed <- err:
	default:
	}
}

// isCallers reports whether the body of a request belongs to a caller, which is passed
// on as it is.
func isCallers(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, callersPath) }

func (s *Server) serve(ln net.Listener, h http.Handler, l intake.Listener, failed chan<- error) *http.Server {
	l.HeaderTimeout, l.IdleTimeout, l.Refuse = headerTimeout, idleTimeout, s.caller.Refuse
	srv := s.intake.Server(h, l)
	go func() {
		if err := s.intake.Serve(srv, ln); !errors.Is(err, http.ErrServerClosed) {
			reportError(failed, errors.Wrap(err, "server.serve"))
		}
	}()
	return srv
}

// stop shuts down gracefully: accepted requests are completed, up to
// drainTimeout.
func (s *Server) stop(ctx context.Context) {
	s.health.Stop("graceful stop")
	s.opts.Log.Info("stopping: host reports not ready")
	s.gangs.DisableStarts()
	time.Sleep(shutdownDelay)
	drain, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := s.caller.Drain(drain); err != nil {
		s.opts.Log.WithError(err).Warn("closing connections with requests still in flight")
	}
	release, cancelRelease := context.WithTimeout(ctx, stepTimeout)
	defer cancelRelease()
	if err := s.leases.Release(release); err != nil {
		s.opts.Log.WithError(err).Warn("zone lease not released; it will expire")
	}
	s.state.transferLeadership(ctx, s.opts.Settings.Host.Name, s.opts.Log)
	s.mesh.Leave(release)
}

func (s *Server) publicMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(callersPath, s.caller)
	mux.Handle("POST /v1/runners", s.pool)
	mux.Handle("POST /v1/workers", s.workers)
	s.handleHealth(mux)
	return mux
}

func (s *Server) operatorMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/statements", s.operator)
	mux.HandleFunc("POST /v1/members", s.changeMembers)
	s.handleHealth(mux)
	return mux
}

func (s *Server) handleHealth(mux *http.ServeMux) {
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		mux.Handle(path, s.health)
	}
}
