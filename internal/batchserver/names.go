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

// nameOf returns the transport's name of the host with an address.
func nameOf(a netip.Addr) string {
	return strings.NewReplacer(".", "-", ":", "-").Replace(a.String())
}

// resolve finds a host by its name. The transport's port is the same on all
// hosts.
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
		names = append(names, nameOf(a.Addr()))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = names
}

// reloadEvery is the interval at which the settings file is read again; it may
// change without a signal.
const reloadEvery = 2 * time.Second

// followSettings takes new seeds over while the host runs.
func (s *Server) followSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadEvery)
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
		s.opts.Log.WithError(err).WithField("event", "reload failed").Warn("the settings file has faults, the old settings stay")
		return
	}
	before := s.seedNames()
	s.setSeeds(cfg)
	if now := s.seedNames(); !slices.Equal(before, now) {
		s.opts.Log.WithFields(logrus.Fields{"event": "reload", "seeds": now}).Info("settings reloaded")
	}
}
