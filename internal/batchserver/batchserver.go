// Package batchserver assembles the components of a host in a deployment with
// host discovery: entry hosts accept callers' batches, control hosts hold the
// replicated state and dispatch tasks to the runners.
//
// # Usage
//
//	s, err := batchserver.New(ctx, batchserver.Options{Settings: cfg, Log: log})
//	err = s.Run(ctx)
//
// A host's name in the transport is derived from its IP address, so that any
// host with a known address can be called. Cancelling ctx begins a graceful
// stop: the host reports that it is not ready, transfers the leadership, and
// answers the accepted requests before it closes the listeners.
package batchserver

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/internal/health"
	"carawayshift.example/carawayshift/internal/intake"
	"carawayshift.example/carawayshift/internal/leaderclient"
	"carawayshift.example/carawayshift/internal/pki"
	"carawayshift.example/carawayshift/internal/settings"
	"carawayshift.example/carawayshift/internal/transport"
	"carawayshift.example/carawayshift/pkg/speed"
	"carawayshift.example/carawayshift/platform"
)

const (
	// shutdownDelay gives the load balancer time to stop sending requests
	// before the listeners close: it checks readiness once a second and removes
	// a host after two failed checks.
	shutdownDelay = 2500 * time.Millisecond
	// drainTimeout limits the wait for requests in flight.
	drainTimeout  = 3 * time.Second
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// transferTimeout limits the leadership transfer at a graceful stop.
	transferTimeout = time.Second
	// leaderContactTimeout is the time without a response of the leader after
	// which an entry host is not ready. It exceeds the duration of an election,
	// which is up to 3 s.
	leaderContactTimeout = 5 * time.Second
)

// Options configures a Server.
type Options struct {
	Settings settings.Settings
	// Reload reads the current settings. If it is nil, the settings are not
	// reloaded.
	Reload func() (settings.Settings, error)
	Log    logrus.FieldLogger
}

// Server runs the components of one host.
type Server struct {
	opts    Options
	name    string
	metrics *metrics.Set
	mesh    *transport.Mesh
	client  *leaderclient.Client
	// controlHost is nil on entry hosts.
	controlHost *controlHost
	// speeds is nil unless this is a control host that learns the speeds of runners.
	speeds *speed.Estimator
	health *health.Handler

	mu    sync.Mutex
	seeds []string

	intake  *intake.Intake
	servers []*http.Server
	failed  chan error
}

// New creates the components of a host without starting them. It opens the
// journal, after waiting until the disk has free space.
func New(ctx context.Context, o Options) (*Server, error) {
	if dir := o.Settings.Control.Data; dir != "" {
		if err := waitForSpace(ctx, dir, o.Log); err != nil {
			return nil, err
		}
	}
	s := &Server{
		opts: o, name: hostName(o.Settings.Host.Addresses[0]), metrics: metrics.NewSet(), failed: make(chan error, 1),
	}
	s.intake = intake.New(intake.Config{Limits: intake.Derive(o.Settings.Limits, platform.MaxBody), Metrics: s.metrics, Log: o.Log})
	s.setSeeds(o.Settings)
	if err := s.openMesh(); err != nil {
		return nil, err
	}
	if o.Settings.Runners.LearnSpeeds && o.Settings.Control.Data != "" {
		s.speeds = speed.New()
	}
	s.client = leaderclient.New(leaderclient.Config{Host: s.name, Transport: s.mesh, Seeds: s.seedNames, Speeds: s.speeds, Logger: o.Log})
	s.health = health.New(health.Config{
		Checks: []health.Check{s.ready}, Metrics: []*metrics.Set{s.metrics}, Log: o.Log,
	})
	if o.Settings.Control.Data == "" {
		s.client.ServeRelay()
		return s, nil
	}
	var err error
	s.controlHost, err = newControlHost(s)
	return s, err
}

func (s *Server) openMesh() error {
	server, client, err := pki.Unverified(s.name)
	if err != nil {
		return errors.Wrap(err, "batchserver.openMesh")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.opts.Settings.Listen.Peers))
	if err != nil {
		return errors.Wrap(err, "listen for other hosts, see [listen] peers")
	}
	s.mesh, err = transport.New(transport.Config{
		Name: s.name, Zone: s.opts.Settings.Host.Zone, Conn: conn, Server: server, Client: client,
		Resolve: s.resolve, PeerName: pki.ClaimedName, Log: s.opts.Log, Metrics: s.metrics,
		// The certificate is made at each start. Peers don't verify names, so that a
		// secret would not keep anybody from closing their connections.
		ResetSecret: []byte(s.name),
		Bytes:       s.intake.Limits().Peers, Connections: s.intake.Limits().PeerConnections,
	})
	return errors.Wrap(err, "batchserver.openMesh")
}

// ready returns nil when this host can accept callers' requests, or, on a control
// host, can take part in commits.
func (s *Server) ready() error {
	if s.controlHost != nil && s.controlHost.replica.Status().DiskFull {
		return errors.New("the disk is full; free some space in the data folder, see [control] data")
	}
	if s.controlHost != nil {
		return nil
	}
	if s.client.SinceContact() >= leaderContactTimeout {
		return errors.New("no recent response from the leader")
	}
	return s.intake.Ready()
}

// Run serves requests until ctx is cancelled, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	s.runComponent(work, &wg, s.mesh.Run)
	s.runComponent(work, &wg, s.client.Run)
	s.runComponent(work, &wg, s.watchSettings)
	if s.controlHost != nil {
		s.controlHost.start(work, &wg)
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.opts.Log.WithFields(logrus.Fields{"event": "start", "peer": s.name, "control": s.controlHost != nil}).Info("serving")
	select {
	case <-ctx.Done():
		s.stop(work)
		return nil
	case err := <-s.failed:
		s.opts.Log.WithError(err).Error("a component failed; stopping the host")
		return err
	}
}

// runComponent runs one component in a goroutine. An error stops the host.
func (s *Server) runComponent(ctx context.Context, wg *sync.WaitGroup, run func(context.Context) error) {
	wg.Go(func() {
		if err := run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			s.fail(err)
		}
	})
}

func (s *Server) fail(err error) {
	select {
	case s.failed <- err:
	default:
	}
}

// listen opens the configured listeners and serves them.
func (s *Server) listen() error {
	l := s.opts.Settings.Listen
	limits := s.intake.Limits()
	listeners := []struct {
		addr    netip.AddrPort
		handler http.Handler
		limits  intake.Listener
	}{
		{l.Entry, platform.NewEntry(s.client, s.opts.Log), intake.Listener{Name: "entry", Body: platform.MaxJobBody, Connections: limits.Connections}},
		{l.Ready, platform.Readiness(s.health.Ready), intake.Listener{Name: "ready", Connections: limits.Platform}},
		{l.Control, platform.NewControl(s.client, s.opts.Log), intake.Listener{Name: "control", Body: platform.MaxBody, Connections: limits.Connections}},
	}
	s.listenMetrics(limits)
	for _, e := range listeners {
		if !e.addr.IsValid() {
			continue
		}
		ln, err := intake.Listen(e.addr.String())
		if err != nil {
			return errors.Wrapf(err, "listen on %s, see [listen]", e.addr)
		}
		s.serve(ln, e.handler, e.limits)
	}
	return nil
}

// listenMetrics serves the metrics. If the port is in use, the host runs
// without them.
func (s *Server) listenMetrics(limits intake.Limits) {
	addr := s.opts.Settings.Listen.Metrics
	if !addr.IsValid() {
		return
	}
	ln, err := intake.Listen(addr.String())
	if err != nil {
		s.opts.Log.WithError(err).Warn("can't listen for metrics requests, see [listen] metrics; continuing without them")
		return
	}
	s.serve(ln, s.health, intake.Listener{Name: "metrics", Connections: limits.Platform})
}

func (s *Server) serve(ln net.Listener, h http.Handler, l intake.Listener) {
	l.HeaderTimeout, l.IdleTimeout, l.Refuse = headerTimeout, idleTimeout, platform.Refuse
	srv := s.intake.Server(h, l)
	s.servers = append(s.servers, srv)
	go func() {
		if err := s.intake.Serve(srv, ln); !errors.Is(err, http.ErrServerClosed) {
			s.fail(errors.Wrap(err, "batchserver.serve"))
		}
	}()
}

// stop shuts down gracefully: accepted requests are completed, up to
// drainTimeout.
func (s *Server) stop(ctx context.Context) {
	s.opts.Log.WithField("event", "stop").Info("stopping: host reports not ready")
	s.health.Stop("graceful stop")
	if s.controlHost != nil {
		s.controlHost.transferLeadership(ctx)
	}
	if s.opts.Settings.Listen.Entry.IsValid() {
		time.Sleep(shutdownDelay)
	}
	drain, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, srv := range s.servers {
		wg.Go(func() {
			srv.SetKeepAlivesEnabled(false)
			if err := srv.Shutdown(drain); err != nil {
				s.opts.Log.WithError(err).Warn("closing listeners with requests still in flight")
			}
		})
	}
	wg.Wait()
	s.opts.Log.WithField("event", "stopped").Info("stopped")
}
