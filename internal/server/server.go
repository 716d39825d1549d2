package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/internal/caller"
	"carawayshift.example/carawayshift/internal/gang"
	"carawayshift.example/carawayshift/internal/health"
	"carawayshift.example/carawayshift/internal/operator"
	"carawayshift.example/carawayshift/internal/runner"
	"carawayshift.example/carawayshift/internal/scheduler"
	"carawayshift.example/carawayshift/internal/transport"
	"carawayshift.example/carawayshift/internal/worker"
	"carawayshift.example/carawayshift/pkg/idempotency"
	"carawayshift.example/carawayshift/pkg/lease"
)

const (
	// noticeTime is how long the platform's load balancer gets to notice
	// that readiness is off before requests are refused.
	noticeTime = 2 * time.Second
	// drainTimeout bounds the wait for requests in flight.
	drainTimeout  = 30 * time.Second
	headerTimeout = 10 * time.Second
)

// Server is one host of the deployment.
type Server struct {
	opts      Options
	platform  *health.Handler
	mesh      *transport.Mesh
	control   *control
	leases    *lease.Table
	workers   *worker.Client
	agent     *gang.Manager
	scheduler *scheduler.Scheduler
	pool      *runner.Pool
	claims    *idempotency.Registry
	caller    *caller.Handler
	operator  *operator.Handler

	closers func()
}

// New joins the parts of one host. It opens the journal and the claims file
// and starts nothing.
func New(o Options) (*Server, error) {
	s, closers, err := build(o)
	if err != nil {
		return nil, err
	}
	s.closers = closers
	return s, nil
}

func assemble(o Options, pl *health.Handler, mesh *transport.Mesh, c *control, t *lease.Table, w *worker.Client,
	a *gang.Manager, s *scheduler.Scheduler, p *runner.Pool, r *idempotency.Registry, ch *caller.Handler, oh *operator.Handler,
) *Server {
	return &Server{
		opts: o, platform: pl, mesh: mesh, control: c, leases: t, workers: w,
		agent: a, scheduler: s, pool: p, claims: r, caller: ch, operator: oh,
	}
}

// Run serves until ctx ends, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	defer s.closers()
	// The parts outlive ctx by the time of the graceful stop.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	failed := make(chan error, 1)
	s.start(work, &wg, failed)
	public := s.serve(s.opts.HTTP, s.publicMux(), failed)
	private := s.serve(s.opts.Operators, s.operatorMux(), failed)
	var err error
	select {
	case <-ctx.Done():
		s.stop(work)
	case err = <-failed:
		s.opts.Log.WithError(err).Error("a part of the host failed, stopping")
	}
	_ = public.Close()
	_ = private.Close()
	return err
}

// start runs every part in its own goroutine. A part that ends with an error
// stops the host.
func (s *Server) start(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) {
	parts := []func(context.Context) error{
		s.mesh.Run, s.control.run, s.workers.Run, s.agent.Run, s.scheduler.Run, s.pool.Run, s.claims.Run,
		func(ctx context.Context) error { s.leases.Run(ctx); return nil },
	}
	for _, run := range parts {
		wg.Go(func() { report(failed, run(ctx)) })
	}
}

func report(failed chan<- error, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	select {
	case failed <- err:
	default:
	}
}

func (s *Server) serve(l net.Listener, h http.Handler, failed chan<- error) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			report(failed, errors.Wrap(err, "server.serve"))
		}
	}()
	return srv
}

// stop is the graceful stop: no request that was taken is cut.
func (s *Server) stop(ctx context.Context) {
	s.platform.Stop("graceful stop")
	s.opts.Log.Info("stopping: readiness is off")
	s.agent.DisableStarts()
	time.Sleep(noticeTime)
	drain, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := s.caller.Drain(drain); err != nil {
		s.opts.Log.WithError(err).Warn("requests were still in flight")
	}
	release, cancelRelease := context.WithTimeout(ctx, handOverTimeout)
	defer cancelRelease()
	if err := s.leases.Release(release); err != nil {
		s.opts.Log.WithError(err).Warn("zone lease not handed over, it expires")
	}
	s.control.handOver(ctx, s.opts.Settings.Host.Name, s.opts.Log)
	s.mesh.Leave(release)
}

func (s *Server) publicMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/r/", s.caller)
	mux.Handle("POST /v1/runners", s.pool)
	mux.Handle("POST /v1/workers", s.workers)
	s.handlePlatform(mux)
	return mux
}

func (s *Server) operatorMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/statements", s.operator)
	mux.HandleFunc("POST /v1/members", s.changeMembers)
	s.handlePlatform(mux)
	return mux
}

func (s *Server) handlePlatform(mux *http.ServeMux) {
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		mux.Handle(path, s.platform)
	}
}
