package batchserver

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/internal/settings"
	"carawayshift.example/carawayshift/internal/transport"
)

// hostName returns the transport name of the host with address a.
func hostName(a netip.Addr) string {
	return strings.NewReplacer(".", "-", ":", "-").Replace(a.String())
}

// resolve returns the peer with the given transport name. The transport uses
// the same port on all hosts.
func (s *Server) resolve(name string) (transport.Peer, bool) {
	a, err := netip.ParseAddr(strings.ReplaceAll(name, "-", "."))
	if err != nil || !a.Is4() {
		return transport.Peer{}, false
	}
	addr := netip.AddrPortFrom(a, s.opts.Settings.Listen.Peers.Port())
	return transport.Peer{Name: name, Addr: net.UDPAddrFromAddrPort(addr)}, true
}

func (s *Server) seedNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.seeds)
}

func (s *Server) setSeeds(cfg settings.Settings) {
	var names []string
	for _, a := range cfg.Join.Seeds {
		names = append(names, hostName(a.Addr()))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = names
}

// reloadInterval is the interval at which the settings file is read again: a
// change of the file is not signalled to the process.
const reloadInterval = 2 * time.Second

// watchSettings updates the seeds when the settings change.
func (s *Server) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.reload()
	}
}

func (s *Server) reload() {
	if s.opts.Reload == nil {
		return
	}
	cfg, err := s.opts.Reload()
	if err != nil {
		s.opts.Log.WithError(err).WithField("event", "reload failed").Warn("reading the settings failed; keeping the previous ones")
		return
	}
	before := s.seedNames()
	s.setSeeds(cfg)
	if now := s.seedNames(); !slices.Equal(before, now) {
		s.opts.Log.WithFields(logrus.Fields{"event": "reload", "seeds": now}).Info("settings reloaded")
	}
}
