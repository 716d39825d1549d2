package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/internal/pki"
	"carawayshift.example/carawayshift/internal/server"
	"carawayshift.example/carawayshift/internal/settings"
	"carawayshift.example/carawayshift/internal/standin/runner"
	"carawayshift.example/carawayshift/internal/standin/worker"
)

const (
	loopback       = "127.0.0.1"
	anyPort        = loopback + ":0"
	belmontWorkers = 4
	otherWorkers   = 2
	workerCores    = 30
	workerMemory   = 64 << 10
	accelerators   = 8
	maxBody        = 4 << 20
	queueLength    = 256
	deadline       = 10 * time.Second
)

// entryHost is one entry host. Its listeners are opened before any host starts,
// so that the settings of the other hosts can name its ports.
type entryHost struct {
	name, zone, region string
	voter              bool
	http, operators    net.Listener
	peers              net.PacketConn
}

// standinWorker is a stand-in worker with its name and zone.
type standinWorker struct {
	name, zone string
	*worker.Worker
}

func (d *Demo) deploy(ctx context.Context) (remove func(), err error) {
	dir, err := os.MkdirTemp("", "carawayshift-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "demo.deploy")
	}
	remove = func() { _ = os.RemoveAll(dir) }
	d.hosts = []*entryHost{
		{name: "lav1", zone: "laventille", region: "north", voter: true},
		{name: "bel1", zone: "belmont", region: "north", voter: true},
		{name: "bel2", zone: "belmont", region: "north"},
		{name: "san1", zone: "san-fernando", region: "south", voter: true},
	}
	for _, step := range []func() error{
		d.listen, func() error { return d.startHosts(ctx, dir) },
		func() error { return d.startRunners(ctx) }, func() error { return d.startWorkers(ctx) },
	} {
		if err := step(); err != nil {
			d.cancel()
			d.wg.Wait()
			remove()
			return nil, err
		}
	}
	return remove, nil
}

func (d *Demo) listen() error {
	for _, h := range d.hosts {
		var err error
		if h.http, err = net.Listen("tcp", anyPort); err != nil {
			return errors.Wrap(err, "demo.listen")
		}
		if h.operators, err = net.Listen("tcp", anyPort); err != nil {
			return errors.Wrap(err, "demo.listen")
		}
		if h.peers, err = net.ListenPacket("udp", anyPort); err != nil {
			return errors.Wrap(err, "demo.listen")
		}
	}
	return nil
}

func (d *Demo) startHosts(ctx context.Context, dir string) error {
	authority, err := pki.New()
	if err != nil {
		return err
	}
	for _, h := range d.hosts {
		o := server.Options{
			Settings: d.settings(h, dir), HTTP: h.http, Operators: h.operators, Peers: h.peers,
			Log: d.log.WithField("host", h.name), FirstStart: true,
		}
		cert, err := authority.Certificate(h.name, []netip.Addr{netip.MustParseAddr(loopback)})
		if err != nil {
			return err
		}
		o.ServerTLS, o.ClientTLS = pki.Configs(authority.Pool(), cert)
		s, err := server.New(o)
		if err != nil {
			return err
		}
		d.spawn("host "+h.name, func() error { return s.Run(ctx) })
	}
	return nil
}

func (d *Demo) spawn(name string, run func() error) {
	d.wg.Go(func() {
		if err := run(); err != nil {
			d.log.WithError(err).Error(name + " ended")
		}
	})
}

func (d *Demo) settings(h *entryHost, dir string) settings.Settings {
	s := settings.Settings{
		Host:     settings.Host{Name: h.name, Zone: h.zone, Region: h.region},
		Requests: settings.Requests{Body: maxBody, Queue: queueLength, Deadline: deadline},
		Zones:    map[string]string{},
	}
	for _, p := range d.hosts {
		s.Zones[p.zone] = p.region
		s.Peers = append(s.Peers, settings.Peer{
			Name: p.name, Zone: p.zone, Region: p.region, Voter: p.voter,
			Peers: p.peers.LocalAddr().(*net.UDPAddr).AddrPort(), HTTP: p.http.Addr().(*net.TCPAddr).AddrPort(),
		})
		if p.voter && h.voter {
			s.Control.Voters = append(s.Control.Voters, p.name)
		}
	}
	if h.voter {
		s.Control.Data = filepath.Join(dir, h.name)
	}
	return s
}

// entryURLs returns the base URLs of the entry hosts in a zone.
func (d *Demo) entryURLs(zone string) []string {
	var list []string
	for _, h := range d.hosts {
		if h.zone == zone {
			list = append(list, "http://"+h.http.Addr().String())
		}
	}
	return list
}

func (d *Demo) zones() []string { return []string{"laventille", "belmont", "san-fernando"} }

func (d *Demo) startRunners(ctx context.Context) error {
	for _, zone := range d.zones() {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			return errors.Wrap(err, "demo.startRunners")
		}
		r := runner.New(runner.Config{
			Name: "runner-" + zone, Zone: zone, Service: "fitting", Address: l.Addr().String(), Hosts: d.entryURLs(zone),
			Listen: func(string) (net.Listener, error) { return l, nil },
		})
		d.spawn("runner "+zone, func() error { return r.Run(ctx) })
	}
	return nil
}

func (d *Demo) startWorkers(ctx context.Context) error {
	for _, zone := range d.zones() {
		n := otherWorkers
		if zone == "belmont" {
			n = belmontWorkers
		}
		for i := range n {
			if err := d.startWorker(ctx, zone, fmt.Sprintf("%s-%d", zone, i+1)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Demo) startWorker(ctx context.Context, zone, name string) error {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return errors.Wrap(err, "demo.startWorker")
	}
	w := worker.New(worker.Options{
		Name: name, Zone: zone, Rack: zone + "-rack", Address: l.Addr().String(), Entries: d.entryURLs(zone),
		Cores: workerCores, Memory: workerMemory, Accelerators: accelerators, Log: d.log,
	})
	srv := &http.Server{Handler: w, ReadHeaderTimeout: stepTimeout}
	go func() { _ = srv.Serve(l) }()
	d.workers = append(d.workers, &standinWorker{name: name, zone: zone, Worker: w})
	d.spawn("worker "+name, func() error {
		defer srv.Close()
		return w.Run(ctx)
	})
	return nil
}

// startsAfter returns the number of tasks that started in a zone after t.
func (d *Demo) startsAfter(zone string, t time.Time) int {
	n := 0
	for _, m := range d.workers {
		if m.zone == zone {
			n += m.StartsAfter(t)
		}
	}
	return n
}
