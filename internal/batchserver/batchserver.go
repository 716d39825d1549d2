// Package batchserver joins the parts of a host in a deployment whose hosts find
// each other: entry hosts take callers' batches, control hosts keep the state
// and direct the runners.
//
// # Usage
//
//	s, err := batchserver.New(ctx, batchserver.Options{Settings: cfg, Log: log})
//	err = s.Run(ctx)
//
// A host's name in the transport follows from its IP address, so that any host
// can be called whose address is known. The end of ctx begins a graceful stop:
// readiness goes off, the leadership is handed over, and requests that were
// taken are answered before the listeners close.
package batchserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/internal/health"
	"carawayshift.example/carawayshift/internal/leaderclient"
	"carawayshift.example/carawayshift/internal/pki"
	"carawayshift.example/carawayshift/internal/settings"
	"carawayshift.example/carawayshift/internal/transport"
	"carawayshift.example/carawayshift/platform"
)

const (
	// noticeTime is how long the load balancer gets to notice that readiness
	// is off: it asks once a second and moves on after two misses.
	noticeTime = 2500 * time.Millisecond
	// drainTimeout bounds the wait for requests in flight.
	drainTimeout  = 3 * time.Second
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// handOverTimeout bounds the hand-over of the leadership at a stop.
	handOverTimeout = time.Second
	// silentAfter is how long the leader may be silent before an entry host
	// says that it is not ready; an election takes up to 3 s.
	silentAfter = 5 * time.Second
)

// Options configures a Station.
type Options struct {
	Settings settings.Settings
	// Reload returns the settings as they are now.
	Reload func() (settings.Settings, error)
	Log    logrus.FieldLogger
}

// Server is one host.
type Server struct {
	opts    Options
	name    string
	metrics *metrics.Set
	mesh    *transport.Mesh
	relay   *leaderclient.Client
	// control is nil on entry hosts.
	control *control
	health  *health.Handler

	mu    sync.Mutex
	seeds []string

	servers []*http.Server
	failed  chan error
}

// New joins the parts of a host. It opens the journal, once its disk has room,
// and starts nothing.
func New(ctx context.Context, o Options) (*Server, error) {
	if dir := o.Settings.Control.Data; dir != "" {
		if err := awaitSpace(ctx, dir, o.Log); err != nil {
			return nil, err
		}
	}
	s := &Server{
		opts: o, name: nameOf(o.Settings.Host.Addresses[0]), metrics: metrics.NewSet(), failed: make(chan error, 1),
	}
	s.setSeeds(o.Settings)
	if err := s.openMesh(); err != nil {
		return nil, err
	}
	s.relay = leaderclient.New(leaderclient.Config{Host: s.name, Transport: s.mesh, Seeds: s.seedNames, Logger: o.Log})
	s.health = health.New(health.Config{
		Checks: []health.Check{s.ready}, Metrics: []*metrics.Set{s.metrics}, Log: o.Log,
	})
	if o.Settings.Control.Data == "" {
		return s, nil
	}
	var err error
	s.control, err = newControl(s)
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
	})
	return errors.Wrap(err, "batchserver.openMesh")
}

// ready returns nil when callers may be sent to this host.
func (s *Server) ready() error {
	if s.control != nil || s.relay.SinceContact() < silentAfter {
		return nil
	}
	return errors.New("the leader has not answered for a while")
}

// Run serves until ctx ends, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	s.part(work, &wg, s.mesh.Run)
	s.part(work, &wg, s.relay.Run)
	s.part(work, &wg, s.followSettings)
	if s.control != nil {
		s.control.start(work, &wg)
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.opts.Log.WithFields(logrus.Fields{"event": "start", "peer": s.name, "control": s.control != nil}).Info("serving")
	select {
	case <-ctx.Done():
		s.stop(work)
		return nil
	case err := <-s.failed:
		s.opts.Log.WithError(err).Error("a part of the host failed, stopping")
		return err
	}
}

// part runs one part in a goroutine; its error stops the host.
func (s *Server) part(ctx context.Context, wg *sync.WaitGroup, run func(context.Context) error) {
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

// listen opens the listeners of the settings.
func (s *Server) listen() error {
	l := s.opts.Settings.Listen
	listeners := []struct {
		addr    net.Addr
		valid   bool
		handler http.Handler
	}{
		{net.TCPAddrFromAddrPort(l.Entry), l.Entry.IsValid(), platform.NewEntry(s.relay, s.opts.Log)},
		{net.TCPAddrFromAddrPort(l.Ready), l.Ready.IsValid(), platform.Readiness(s.health.Ready)},
		{net.TCPAddrFromAddrPort(l.Control), l.Control.IsValid(), platform.NewControl(s.relay, s.opts.Log)},
	}
	s.listenMetrics()
	for _, e := range listeners {
		if !e.valid {
			continue
		}
		ln, err := net.Listen("tcp", e.addr.String())
		if err != nil {
			return errors.Wrapf(err, "listen on %s, see [listen]", e.addr)
		}
		s.serve(ln, e.handler)
	}
	return nil
}

// listenMetrics serves the metrics. A host works without them when their port
// is taken.
func (s *Server) listenMetrics() {
	addr := s.opts.Settings.Listen.Metrics
	if !addr.IsValid() {
		return
	}
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		s.opts.Log.WithError(err).Warn("metrics are not served, see [listen] metrics")
		return
	}
	s.serve(ln, s.health)
}

func (s *Server) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s.servers = append(s.servers, srv)
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.fail(errors.Wrap(err, "batchserver.serve"))
		}
	}()
}

// stop is the graceful stop: no request that was taken is cut.
func (s *Server) stop(ctx context.Context) {
	s.opts.Log.WithField("event", "stop").Info("stopping: readiness is off")
	s.health.Stop("graceful stop")
	if s.control != nil {
		s.control.handOver(ctx)
	}
	if s.opts.Settings.Listen.Entry.IsValid() {
		time.Sleep(noticeTime)
	}
	drain, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, srv := range s.servers {
		wg.Go(func() {
			srv.SetKeepAlivesEnabled(false)
			if err := srv.Shutdown(drain); err != nil {
				s.opts.Log.WithError(err).Warn("requests were still in flight")
			}
		})
	}
	wg.Wait()
	s.opts.Log.WithField("event", "stopped").Info("stopped")
}
