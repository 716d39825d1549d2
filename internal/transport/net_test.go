package transport

import (
	"crypto/tls"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/internal/pki"
)

// udpHeader is what IPv4 and UDP add to each packet on the wire.
const udpHeader = 28

// packets is an in-memory packet network inside a synctest bubble.
type packets struct {
	mu    sync.Mutex
	ends  map[string]*end
	delay time.Duration
	loss  float64
	rnd   *rand.Rand
	// cut holds the directions "from>to" that lose every packet.
	cut   map[string]bool
	bytes map[string]int
}

func newPackets(delay time.Duration) *packets {
	return &packets{
		ends: map[string]*end{}, delay: delay, rnd: rand.New(rand.NewPCG(1, 2)),
		cut: map[string]bool{}, bytes: map[string]int{},
	}
}

type addr string

func (a addr) Network() string { return "memory" }
func (a addr) String() string  { return string(a) }

type packet struct {
	from addr
	data []byte
}

type end struct {
	net      *packets
	addr     addr
	in       chan packet
	closed   chan struct{}
	once     sync.Once
	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{}
}

func (n *packets) listen(name string) *end {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &end{net: n, addr: addr(name), in: make(chan packet, 4096), closed: make(chan struct{}), changed: make(chan struct{})}
	n.ends[name] = e
	return e
}

func (n *packets) setCut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[from+">"+to] = on
}

func (n *packets) sent(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[from+">"+to]
}

func (e *end) WriteTo(b []byte, to net.Addr) (int, error) {
	n := e.net
	n.mu.Lock()
	defer n.mu.Unlock()
	way := string(e.addr) + ">" + to.String()
	n.bytes[way] += len(b) + udpHeader
	if n.cut[way] || n.rnd.Float64() < n.loss {
		return len(b), nil
	}
	p := packet{from: e.addr, data: append([]byte(nil), b...)}
	time.AfterFunc(n.delay, func() { n.deliver(to.String(), p) })
	return len(b), nil
}

func (n *packets) deliver(to string, p packet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if dst := n.ends[to]; dst != nil {
		select {
		case dst.in <- p:
		default:
		}
	}
}

// ReadFrom honours deadlines by timers of the bubble.
func (e *end) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		e.mu.Lock()
		deadline, changed := e.deadline, e.changed
		e.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			t := time.NewTimer(time.Until(deadline))
			defer t.Stop()
			expired = t.C
		}
		select {
		case p := <-e.in:
			return copy(b, p.data), p.from, nil
		case <-e.closed:
			return 0, nil, net.ErrClosed
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

func (e *end) SetReadDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deadline = t
	close(e.changed)
	e.changed = make(chan struct{})
	return nil
}

func (e *end) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

func (e *end) LocalAddr() net.Addr              { return e.addr }
func (e *end) SetDeadline(t time.Time) error    { return e.SetReadDeadline(t) }
func (e *end) SetWriteDeadline(time.Time) error { return nil }
func (e *end) SetReadBuffer(int) error          { return nil }
func (e *end) SetWriteBuffer(int) error         { return nil }

// deployment starts meshes on a packet network. Names start with their zone:
// "a1" is in zone "a".
type deployment struct {
	t     *testing.T
	net   *packets
	ca    *pki.Authority
	peers []Peer
	log   *logrus.Logger
}

func newDeployment(t *testing.T, delay time.Duration, names ...string) *deployment {
	ca, err := pki.New()
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{t: t, net: newPackets(delay), ca: ca, log: logrus.New()}
	d.log.SetOutput(t.Output())
	for _, name := range names {
		d.peers = append(d.peers, Peer{Name: name, Zone: name[:1], Addr: addr(name)})
	}
	return d
}

func (d *deployment) mesh(name string, ca *pki.Authority) *Mesh {
	cert, err := ca.Certificate(name, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	return d.meshWith(name, cert)
}

func (d *deployment) meshWith(name string, cert tls.Certificate) *Mesh {
	server, client := pki.Configs(d.ca.Pool(), cert)
	m, err := New(Config{Name: name, Zone: name[:1], Peers: d.peers, Conn: d.net.listen(name), Server: server, Client: client, Log: d.log})
	if err != nil {
		d.t.Fatal(err)
	}
	return m
}
