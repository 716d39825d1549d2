package runner

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var errAttemptEnded = errors.New("the attempt that used this connection has ended")

// writeTracker records whether any byte of one attempt may have left this host.
type writeTracker struct {
	conn      *conn
	maybeSent bool
}

// conn is a connection to a target. It reports written bytes to the tracker of
// the attempt that uses the connection.
type conn struct {
	net.Conn
	mu           sync.Mutex
	current      *writeTracker
	attemptEnded bool
}

func (c *conn) begin(t *writeTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.conn = c
	c.current = t
}

// Write sets maybeSent before it passes the first byte to the kernel, and
// clears it only if the kernel accepted no byte.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.attemptEnded {
		c.mu.Unlock()
		return 0, errAttemptEnded
	}
	t := c.current
	first := t != nil && !t.maybeSent
	if t != nil {
		t.maybeSent = true
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if first && err != nil && n == 0 {
		c.mu.Lock()
		t.maybeSent = false
		c.mu.Unlock()
	}
	return n, err
}

// finish ends an attempt and reports whether a byte of it may have left this
// host. The transport's write loop can run after RoundTrip has returned, so the
// connection refuses all later writes.
func (t *writeTracker) finish() bool {
	c := t.conn
	if c == nil {
		return t.maybeSent
	}
	c.mu.Lock()
	maybeSent := t.maybeSent
	if c.current == t {
		c.attemptEnded = true
	}
	c.mu.Unlock()
	_ = c.Close()
	return maybeSent
}
