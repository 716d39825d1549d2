// Package transport joins the hosts of a deployment. A Mesh carries calls between
// them over QUIC with mutual TLS and keeps the list of the zone's live
// members.
//
// # Usage
//
//	m, err := transport.New(transport.Config{Name: "lav1", Peers: peers, Conn: udp, Server: server, Client: client})
//	m.Handle("replica.append", r.handleAppend)
//	go m.Run(ctx)
//	reply, err := m.Call(ctx, "bel1", "replica.append", body)
//
// Each call takes one stream of the connection to the peer; either end's
// connection serves calls in both directions. A connection is dialled by the
// first call and kept. While a peer can't be reached, calls to it fail at once
// with kind NotRun until the next attempt is due.
package transport

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/pki"
)

const (
	handshakeTimeout = 2 * time.Second
	// idleTimeout closes connections to hosts that vanished for good. A dead
	// path is noticed earlier, by a call that times out without any packet
	// from the peer (deadAfter).
	idleTimeout = 90 * time.Second
	// keepAlive is below the 60 s after which common stateful firewalls drop
	// a UDP flow.
	keepAlive = 40 * time.Second
	// maxStreams bounds the calls of one peer that are served at a time.
	maxStreams = 256
	// streamWindow lets one frame travel without waiting for credit.
	streamWindow = maxFrame + headerSize
	connWindow   = 2 * streamWindow
)

// Peer is another host of the deployment.
type Peer struct {
	Name   string
	Zone   string
	Region string
	Addr   net.Addr
}

// Config configures a Mesh. Conn is owned by the Mesh and closed with it.
type Config struct {
	Name string
	Zone string
	// Peers lists all hosts of the deployment; the one called Name is skipped.
	Peers []Peer
	// Resolve returns a host that is not listed, in deployments whose hosts
	// find each other; nil refuses such hosts.
	Resolve func(name string) (Peer, bool)
	// PeerName returns the name of the other end of a connection. Default
	// pki.PeerName.
	PeerName func(tls.ConnectionState) (string, error)
	Conn     net.PacketConn
	// Server and Client are the configurations from pki.Load.
	Server  *tls.Config
	Client  *tls.Config
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Mesh implements carawayshift.Transport.
type Mesh struct {
	cfg      Config
	quic     *quic.Transport
	listener *quic.Listener
	peers    map[string]*peer
	members  *members

	// ctx ends when the mesh closes; handlers and dials run under it.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	handlers map[string]carawayshift.Handler
	// found holds the peers that were resolved.
	found  map[string]*peer
	closed bool
	wg     sync.WaitGroup
}

var _ carawayshift.Transport = (*Mesh)(nil)

// New returns a mesh that listens on cfg.Conn. It serves calls once Run is
// called.
func New(cfg Config) (*Mesh, error) {
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.PeerName == nil {
		cfg.PeerName = pki.PeerName
	}
	key, err := resetKey(cfg.Server)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		cfg:      cfg,
		quic:     &quic.Transport{Conn: cfg.Conn, StatelessResetKey: key},
		peers:    map[string]*peer{},
		handlers: map[string]carawayshift.Handler{},
		found:    map[string]*peer{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for _, p := range cfg.Peers {
		if p.Name != cfg.Name {
			m.peers[p.Name] = &peer{Peer: p}
		}
	}
	m.members = newMembers(m)
	m.Handle(pingMethod, m.members.handlePing)
	m.listener, err = m.quic.Listen(cfg.Server, quicConfig())
	return m, errors.Wrap(err, "transport.New")
}

// resetKey derives the key of stateless resets from the host's private key,
// so that peers learn from the first packet after a crash and restart that
// their connection is gone.
func resetKey(server *tls.Config) (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(server.Certificates[0].PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "transport.resetKey")
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("carawayshift stateless reset"), der...)))
	return &key, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     connWindow,
	}
}

// Handle registers the handler of a method. It panics on a second handler of
// the same method.
func (m *Mesh) Handle(method string, fn carawayshift.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.handlers[method]; ok {
		panic("transport.Handle: second handler of " + method)
	}
	m.handlers[method] = fn
}

func (m *Mesh) handler(method string) carawayshift.Handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handlers[method]
}

// spawn starts a goroutine that Close waits for, unless the mesh is closed.
func (m *Mesh) spawn(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.wg.Go(fn)
	}
}

// Run accepts connections and sends heartbeats until ctx ends, then closes
// the mesh and waits for its goroutines.
func (m *Mesh) Run(ctx context.Context) error {
	m.spawn(m.accept)
	m.members.start()
	<-ctx.Done()
	return m.Close()
}

// Close closes all connections and the packet connection. Calls that are
// being sent or served end with errors.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	for _, p := range m.peers {
		p.closeAll()
	}
	for _, p := range m.resolved() {
		p.closeAll()
	}
	_ = m.listener.Close()
	err := m.quic.Close()
	if e := m.cfg.Conn.Close(); err == nil && !errors.Is(e, net.ErrClosed) {
		err = e
	}
	m.wg.Wait()
	return errors.Wrap(err, "transport.Close")
}

func (m *Mesh) accept() {
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		m.spawn(func() { m.admit(conn) })
	}
}

// admit serves a connection that a peer dialled, when its certificate names a
// host of the deployment.
func (m *Mesh) admit(conn *quic.Conn) {
	name, err := m.cfg.PeerName(conn.ConnectionState().TLS)
	p := m.peer(name)
	if err != nil || p == nil {
		m.count("carawayshift_mesh_peers_refused_total")
		m.cfg.Log.WithFields(logrus.Fields{"peer": name, "address": conn.RemoteAddr()}).Warn("peer refused: its certificate names no host of the deployment")
		_ = conn.CloseWithError(codeUnknownPeer, "not a host of the deployment")
		return
	}
	p.add(conn)
	m.serve(p, conn)
}

// peer returns a host of the deployment, or nil.
func (m *Mesh) peer(name string) *peer {
	if p := m.peers[name]; p != nil || m.cfg.Resolve == nil || name == m.cfg.Name {
		return p
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.found[name]; p != nil {
		return p
	}
	resolved, ok := m.cfg.Resolve(name)
	if !ok {
		return nil
	}
	p := &peer{Peer: resolved}
	m.found[name] = p
	return p
}

// resolved returns the peers that were not listed.
func (m *Mesh) resolved() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.found))
}

// count counts an event. Labels are pairs of name and value.
func (m *Mesh) count(name string, labels ...string) {
	for i := 0; i+1 < len(labels); i += 2 {
		sep := ","
		if i == 0 {
			sep = "{"
		}
		name += fmt.Sprintf("%s%s=%q", sep, labels[i], labels[i+1])
	}
	if len(labels) > 0 {
		name += "}"
	}
	m.cfg.Metrics.GetOrCreateCounter(name).Inc()
}
