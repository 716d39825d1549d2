package main

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/internal/batchserver"
	"carawayshift.example/carawayshift/internal/intake"
	"carawayshift.example/carawayshift/internal/logwriter"
	"carawayshift.example/carawayshift/internal/pki"
	"carawayshift.example/carawayshift/internal/server"
	"carawayshift.example/carawayshift/internal/settings"
)

type serveCmd struct {
	Settings   string `help:"Settings file." required:"" type:"path"`
	FirstStart bool   `help:"The deployment starts for the first time: serve requests with idempotency keys immediately. Never set it on a restart."`
}

// Run serves until ctx ends. With an invalid settings file, it returns an error
// before anything is started.
func (c *serveCmd) Run(ctx context.Context) error {
	cfg, err := settings.Load(c.Settings)
	if err != nil {
		return errors.Wrapf(err, "%s, run \"carawayshift check %s\"", c.Settings, c.Settings)
	}
	if cfg.Limits.Memory > 0 {
		debug.SetMemoryLimit(intake.RuntimeMemory(cfg.Limits.Memory))
	}
	if cfg.UsesDiscovery() {
		return c.serveBatches(ctx, cfg)
	}
	o := server.Options{Settings: cfg, Log: newLog(cfg.Log, cfg.Host.Name, os.Stderr), FirstStart: c.FirstStart}
	if o.ServerTLS, o.ClientTLS, err = pki.Load(cfg.TLS.CA, cfg.TLS.Cert, cfg.TLS.Key); err != nil {
		return err
	}
	if err := listen(&o); err != nil {
		return err
	}
	s, err := server.New(o)
	if err != nil {
		return err
	}
	o.Log.WithField("http", cfg.Listen.HTTP).Info("serving")
	return s.Run(ctx)
}

// serveBatches runs a host of a batch deployment, whose hosts find each other
// from the seeds in the settings.
func (c *serveCmd) serveBatches(ctx context.Context, cfg settings.Settings) error {
	// SIGHUP says that the settings file has changed; the host detects the
	// change itself, and the signal must not end the process.
	signal.Ignore(syscall.SIGHUP)
	logWriter := logwriter.New(os.Stdout, logwriter.Config{Dropped: metrics.GetOrCreateCounter("carawayshift_log_dropped_lines_total")})
	defer logWriter.Close()
	s, err := batchserver.New(ctx, batchserver.Options{
		Settings: cfg, Log: newLog(cfg.Log, cfg.Host.Name, logWriter),
		Reload: func() (settings.Settings, error) { return settings.Load(c.Settings) },
	})
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

func listen(o *server.Options) error {
	var err error
	if o.HTTP, err = intake.Listen(o.Settings.Listen.HTTP.String()); err != nil {
		return errors.Wrap(err, "listen for callers and targets, see [listen] http")
	}
	if o.Operators, err = intake.Listen(o.Settings.Listen.Operators.String()); err != nil {
		return errors.Wrap(err, "listen for operators, see [listen] operators")
	}
	o.Peers, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Settings.Listen.Peers))
	return errors.Wrap(err, "listen for other hosts, see [listen] peers")
}

func newLog(cfg settings.Log, host string, out io.Writer) logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(out)
	if level, err := logrus.ParseLevel(cfg.Level); err == nil {
		l.SetLevel(level)
	}
	if cfg.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	return l.WithField("host", host)
}
