package runner

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var errSealed = errors.New("connection belongs to an attempt that has ended")

// track records whether any byte of one attempt may have left this host.
type track struct {
	conn    *conn
	started bool
}

// conn is a connection to a target that ties written bytes to the attempt that
// uses the connection.
type conn struct {
	net.Conn
	mu     sync.Mutex
	cur    *track
	sealed bool
}

func (c *conn) begin(t *track) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.conn = c
	c.cur = t
}

// Write marks the attempt as started before the first byte is handed to the
// kernel, and takes the mark back only if the kernel took no byte.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	t := c.cur
	first := t != nil && !t.started
	if t != nil {
		t.started = true
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if first && err != nil && n == 0 {
		c.mu.Lock()
		t.started = false
		c.mu.Unlock()
	}
	return n, err
}

// seal ends an attempt and reports whether a byte of it may have left. The
// transport's write loop can run after RoundTrip has returned, so a sealed
// connection refuses all later writes.
func (t *track) seal() bool {
	c := t.conn
	if c == nil {
		return t.started
	}
	c.mu.Lock()
	started := t.started
	if c.cur == t {
		c.sealed = true
	}
	c.mu.Unlock()
	_ = c.Close()
	return started
}
