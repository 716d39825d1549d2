// Package transport connects the hosts of a deployment. A Mesh transmits calls
// between them over QUIC with mutual TLS and detects which hosts are alive.
//
// # Usage
//
//	m, err := transport.New(transport.Config{Name: "lav1", Peers: peers, Conn: udp, Server: server, Client: client})
//	m.Handle("replica.append", r.handleAppend)
//	go m.Run(ctx)
//	reply, err := m.Call(ctx, "bel1", "replica.append", body)
//
// Each call uses one stream of the connection to the peer. A connection serves
// calls in both directions, whichever host dialled it. The first call dials the
// connection, which then stays open. While a peer can't be reached, calls to it
// fail immediately with kind NotRun until the next dial attempt is due.
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
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/pki"
	"carawayshift.example/carawayshift/pkg/bytebudget"
)

const (
	handshakeTimeout = 2 * time.Second
	// idleTimeout closes connections to hosts that are permanently gone. A dead
	// path is detected earlier, by a call that times out without any packet
	// from the peer (deadPathTimeout).
	idleTimeout = 90 * time.Second
	// keepAlivePeriod is shorter than the 60 s after which common stateful
	// firewalls drop a UDP flow.
	keepAlivePeriod = 40 * time.Second
	// maxResolved is the number of names after which those without a connection are
	// forgotten. A peer can claim any name that resolves.
	maxResolved = 4096
	// maxStreams limits the concurrent calls from one peer.
	maxStreams = 256
	// streamWindow allows nearly all frames to be sent without waiting for a flow
	// control update. A connection can make this host hold connWindow bytes beside
	// those of Config.Bytes.
	streamWindow = 1 << 20
	connWindow   = 2 * streamWindow
	// compressedProtocol is the ALPN protocol of hosts that decompress frames.
	// Hosts of earlier releases don't offer it and get no compressed frames.
	compressedProtocol = "carawayshift/1+s2"
)

// Peer is another host of the deployment.
type Peer struct {
	Name   string
	Zone   string
	Region string
	Addr   net.Addr
}

// Config configures a Mesh, which owns Conn and closes it.
type Config struct {
	Name string
	Zone string
	// Peers lists all hosts of the deployment; the entry for Name is ignored.
	Peers []Peer
	// Resolve returns a host that is not in Peers, in deployments with host
	// discovery. If it is nil, such hosts are refused.
	Resolve func(name string) (Peer, bool)
	// PeerName returns the name of the peer of a connection. The default is
	// pki.PeerName.
	PeerName func(tls.ConnectionState) (string, error)
	Conn     net.PacketConn
	// Server and Client are the configurations from pki.Load.
	Server *tls.Config
	Client *tls.Config
	// ResetSecret is what the key for stateless resets is derived from. It must be the
	// same after a restart. The default is the private key of Server; a host that makes
	// a new one at each start must set it.
	ResetSecret []byte
	// Bytes is the memory for frames that other hosts send, and Connections the number
	// of connections that they open. 0 selects the defaults.
	Bytes       int64
	Connections int
	Log         logrus.FieldLogger
	Metrics     *metrics.Set
}

// Mesh implements carawayshift.Transport.
type Mesh struct {
	cfg      Config
	quic     *quic.Transport
	listener *quic.Listener
	peers    map[string]*peer
	members  *members
	frames   *bytebudget.Budget
	// peerBytes is the part of the budget of frames that one host may use.
	peerBytes int64
	inbound   *inbound

	// ctx is cancelled when the mesh closes. It is used for accepting, dialling
	// and pinging.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	handlers map[string]carawayshift.Handler
	// resolvedPeers caches the results of Config.Resolve.
	resolvedPeers map[string]*peer
	closed        bool
	wg            sync.WaitGroup
	// lastLimited is when a limit was logged last, in Unix nanoseconds.
	lastLimited atomic.Int64
}

var _ carawayshift.Transport = (*Mesh)(nil)

// New returns a mesh that listens on cfg.Conn. It accepts connections once Run
// is called.
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
	if cfg.Bytes <= 0 {
		cfg.Bytes = defaultBytes
	}
	if cfg.Connections <= 0 {
		cfg.Connections = defaultConnections
	}
	key, err := resetKey(cfg)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		cfg:           cfg,
		quic:          &quic.Transport{Conn: cfg.Conn, StatelessResetKey: key},
		peers:         map[string]*peer{},
		handlers:      map[string]carawayshift.Handler{},
		resolvedPeers: map[string]*peer{},
		// A frame of the largest size has room in any case.
		frames: bytebudget.New(bytebudget.Config{Capacity: max(cfg.Bytes, 2*frameCopies*maxFrame)}),
	}
	m.peerBytes = m.frames.Stats().Capacity / 2
	m.inbound = newInbound(cfg.Connections, func(reason string) {
		m.incCounter("carawayshift_mesh_limited_total", "reason", reason)
		m.logLimited(reason)
	})
	m.quic.ConnContext = m.inbound.admit
	cfg.Metrics.GetOrCreateGauge("carawayshift_mesh_frame_bytes", func() float64 { return float64(m.frames.Stats().Used) })
	cfg.Metrics.GetOrCreateGauge("carawayshift_mesh_connections", func() float64 { return float64(m.inbound.size()) })
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for _, p := range cfg.Peers {
		if p.Name != cfg.Name {
			m.peers[p.Name] = &peer{Peer: p}
		}
	}
	m.members = newMembers(m)
	m.Handle(pingMethod, m.members.handlePing)
	m.listener, err = m.quic.Listen(withCompression(cfg.Server), quicConfig())
	return m, errors.Wrap(err, "transport.New")
}

// resetKey derives the key for stateless resets from a secret that survives a restart:
// the first packet that a peer sends on a connection from before a crash is answered
// with a reset.
func resetKey(cfg Config) (*quic.StatelessResetKey, error) {
	secret := cfg.ResetSecret
	if secret == nil {
		der, err := x509.MarshalPKCS8PrivateKey(cfg.Server.Certificates[0].PrivateKey)
		if err != nil {
			return nil, errors.Wrap(err, "transport.resetKey")
		}
		secret = der
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("carawayshift stateless reset"), secret...)))
	return &key, nil
}

// withCompression returns a configuration that prefers compressedProtocol.
func withCompression(cfg *tls.Config) *tls.Config {
	cfg = cfg.Clone()
	cfg.NextProtos = append([]string{compressedProtocol}, cfg.NextProtos...)
	return cfg
}

// compresses reports whether the peer of a connection decompresses frames.
func compresses(conn *quic.Conn) bool {
	return conn.ConnectionState().TLS.NegotiatedProtocol == compressedProtocol
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     connWindow,
	}
}

// Handle registers the handler of a method. It panics if the method already has
// one.
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

// spawn starts a goroutine that Close waits for. It does nothing if the mesh is
// closed.
func (m *Mesh) spawn(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.wg.Go(fn)
	}
}

// Run accepts connections and sends heartbeats until ctx is cancelled, then
// closes the mesh and waits for its goroutines.
func (m *Mesh) Run(ctx context.Context) error {
	m.spawn(m.accept)
	m.members.start()
	<-ctx.Done()
	return m.Close()
}

// Close closes all connections and the packet connection. Calls in progress
// fail.
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
		m.spawn(func() { m.servePeer(conn) })
	}
}

// servePeer serves an incoming connection if the peer's certificate names a host
// of the deployment.
func (m *Mesh) servePeer(conn *quic.Conn) {
	name, err := m.cfg.PeerName(conn.ConnectionState().TLS)
	p := m.peer(name)
	if err != nil || p == nil {
		m.incCounter("carawayshift_mesh_peers_refused_total")
		m.cfg.Log.WithFields(logrus.Fields{"peer": name, "address": conn.RemoteAddr()}).Warn("connection refused: the peer's certificate does not name a host of the deployment")
		_ = conn.CloseWithError(codeUnknownPeer, "not a host of the deployment")
		return
	}
	m.inbound.add(conn)
	defer m.inbound.remove(conn)
	p.add(conn)
	defer p.remove(conn)
	m.serve(p, conn)
}

// logLimited logs at most once a second that other hosts reached a limit.
func (m *Mesh) logLimited(reason string) {
	now, last := time.Now().UnixNano(), m.lastLimited.Load()
	if now-last < int64(time.Second) || !m.lastLimited.CompareAndSwap(last, now) {
		return
	}
	s := m.frames.Stats()
	m.cfg.Log.WithFields(logrus.Fields{
		"event": "peers limited", "reason": reason, "connections": m.inbound.size(), "used": s.Used, "capacity": s.Capacity,
	}).Warn("calls or connections of other hosts were refused; check who sends to [listen] peers")
}

// peer returns the peer with the given name, or nil if it is unknown.
func (m *Mesh) peer(name string) *peer {
	if p := m.peers[name]; p != nil || m.cfg.Resolve == nil || name == m.cfg.Name {
		return p
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.resolvedPeers[name]; p != nil {
		return p
	}
	resolved, ok := m.cfg.Resolve(name)
	if !ok {
		return nil
	}
	if len(m.resolvedPeers) >= maxResolved {
		maps.DeleteFunc(m.resolvedPeers, func(_ string, p *peer) bool { return p.unused() })
	}
	p := &peer{Peer: resolved}
	m.resolvedPeers[name] = p
	return p
}

// resolved returns the peers that Config.Resolve returned.
func (m *Mesh) resolved() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.resolvedPeers))
}

// incCounter increments a counter. Labels are pairs of name and value.
func (m *Mesh) incCounter(name string, labels ...string) {
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
