package caller_test

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// network is an in-memory network of listeners by address.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[string][]net.Conn
	frozen    map[string]chan struct{}
	resets    map[string]int
}

func newNetwork() *network {
	return &network{
		listeners: map[string]*listener{}, conns: map[string][]net.Conn{},
		frozen: map[string]chan struct{}{}, resets: map[string]int{},
	}
}

type listener struct {
	n       *network
	address string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (n *network) listen(address string) (net.Listener, error) {
	l := &listener{n: n, address: address, accept: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Newf("connection to %s refused", address)
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.accept <- &serverConn{Conn: serverEnd, n: n, address: address}:
	case <-l.done:
		return nil, errors.Newf("connection to %s refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[address] = append(n.conns[address], clientEnd, serverEnd)
	n.mu.Unlock()
	return clientEnd, nil
}

// cut closes all connections to an address.
func (n *network) cut(address string) {
	n.mu.Lock()
	conns := n.conns[address]
	n.conns[address] = nil
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// freeze blocks the reads and writes of the process at an address until
// unfreeze.
func (n *network) freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[address] == nil {
		n.frozen[address] = make(chan struct{})
	}
}

func (n *network) unfreeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if g := n.frozen[address]; g != nil {
		close(g)
		delete(n.frozen, address)
	}
}

// reset makes each of the next reads at an address take one byte and close the
// connection.
func (n *network) reset(address string, times int) {
	n.mu.Lock()
	n.resets[address] = times
	n.mu.Unlock()
}

// serverConn is the server's end of a connection.
type serverConn struct {
	net.Conn
	n       *network
	address string
}

func (c *serverConn) wait() {
	for {
		c.n.mu.Lock()
		g := c.n.frozen[c.address]
		c.n.mu.Unlock()
		if g == nil {
			return
		}
		<-g
	}
}

func (c *serverConn) Read(b []byte) (int, error) {
	c.wait()
	n, err := c.Conn.Read(b)
	c.wait()
	if n > 0 && c.takeReset() {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *serverConn) Write(b []byte) (int, error) {
	c.wait()
	return c.Conn.Write(b)
}

func (c *serverConn) takeReset() bool {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.n.resets[c.address] <= 0 {
		return false
	}
	c.n.resets[c.address]--
	return true
}
