package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"carawayshift.example/carawayshift/pkg/bytebudget"
)

// settleTime is how long a connection may wait, send or receive before it is closed in
// favour of a new one ahead of the connections between two requests.
const settleTime = time.Second

// sparePart is the part of the connections of a listener on which no request is handled,
// so that there is always one that can be closed for a new one.
const sparePart = 4

type connectionKey struct{}

// phase is what a connection is doing.
type phase int

const (
	// headersPhase is also that of a connection that has sent nothing yet.
	headersPhase phase = iota
	bodyPhase
	handlingPhase
	writingPhase
	idlePhase
)

// connection is one open connection of a listener.
type connection struct {
	conn  net.Conn
	table *table
	// ctx is that of the connection, and cancel ends what waits for its request.
	ctx    context.Context
	cancel context.CancelFunc
	head   *head

	// The fields below are guarded by the mutex of the table.
	phase phase
	since time.Time
	// receivesMuch and sendsMuch report that the buffers of the socket are large.
	receivesMuch, sendsMuch bool
}

func (c *connection) reading() { c.enter(bodyPhase) }
func (c *connection) writing() { c.enter(writingPhase) }

// handling reports whether the request may be handled. If not, too many others are.
func (c *connection) handling() bool {
	if c == nil {
		return true // a request without a server, in tests of handlers
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.phase == handlingPhase {
		return true
	}
	if c.table.handled >= c.table.maxHandled() {
		return false
	}
	c.table.setPhase(c, handlingPhase)
	return true
}

// busy reports whether as many requests of the listener are handled as may be.
func (c *connection) busy() bool {
	return c != nil && c.table.load() >= 1
}

func (c *connection) enter(p phase) {
	if c == nil {
		return // a request without a server, in tests of handlers
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.phase != p {
		c.table.setPhase(c, p)
	}
}

// close closes the connection, which ends the reading of its request.
func (c *connection) close() {
	if c == nil {
		return
	}
	c.table.remove(c.conn)
	c.end(true)
	c.table.closed("budget")
}

// end closes the connection. A request that waits for room in the budget does not read
// and so would not see that. Reset drops what the client has not taken yet, which the
// kernel would keep otherwise.
func (c *connection) end(reset bool) {
	c.cancel()
	if l, ok := c.conn.(interface{ SetLinger(sec int) error }); ok && reset {
		_ = l.SetLinger(0)
	}
	_ = c.conn.Close()
}

// table holds the open connections of one listener.
type table struct {
	limit   int
	buffers *bufferPool
	// heads is the budget for the heads of requests.
	heads *bytebudget.Budget
	// closed is called after a connection was closed by this package, refused after a
	// request was refused before its head was complete.
	closed, refused func(reason string)

	mu   sync.Mutex
	open map[net.Conn]*connection
	// handled is the number of open connections whose requests are being handled.
	handled int
}

func newTable(limit int, buffers *bufferPool, closed func(reason string)) *table {
	return &table{limit: max(limit, 1), buffers: buffers, closed: closed, open: map[net.Conn]*connection{}}
}

// maxHandled is the number of requests that may be handled at the same time.
func (t *table) maxHandled() int { return max(t.limit-t.limit/sparePart, 1) }

// setPhase changes the phase of a connection. The mutex is held.
func (t *table) setPhase(c *connection, p phase) {
	if t.open[c.conn] == c {
		t.handled += handledCount(p) - handledCount(c.phase)
	}
	c.phase, c.since = p, time.Now()
}

func handledCount(p phase) int {
	if p == handlingPhase {
		return 1
	}
	return 0
}

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// load returns the number of requests that are being handled as a part of those that may
// be.
func (t *table) load() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.handled) / float64(t.maxHandled())
}

// add records a new connection. If there are too many, it closes another one, or the
// new one if all others are being handled. It calls cancel for one that it closes.
func (t *table) add(conn net.Conn, cancel context.CancelFunc) *connection {
	c := &connection{conn: conn, table: t, cancel: cancel, since: time.Now()}
	c.head = &head{budget: t.heads, evict: c.close}
	t.mu.Lock()
	var victim *connection
	reset := true
	if len(t.open) >= t.limit {
		victim = t.victim(c.since)
		if victim == nil {
			victim = c
		}
		reset = victim.phase != idlePhase
		t.delete(victim.conn)
	}
	if victim != c {
		t.open[conn] = c
	}
	t.mu.Unlock()
	if victim != c {
		c.accepted()
	}
	if victim != nil {
		victim.end(reset)
		t.closed("connections")
	}
	return c
}

func (t *table) remove(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delete(conn)
}

// delete is remove while the mutex is held.
func (t *table) delete(conn net.Conn) {
	if c := t.open[conn]; c != nil {
		c.releaseBuffers()
		t.handled -= handledCount(c.phase)
		delete(t.open, conn)
	}
}

// setState is the hook of the server.
func (t *table) setState(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateIdle:
		t.mu.Lock()
		defer t.mu.Unlock()
		if c := t.open[conn]; c != nil {
			t.setPhase(c, idlePhase)
			c.head.next()
		}
	case http.StateActive:
		t.mu.Lock()
		defer t.mu.Unlock()
		if c := t.open[conn]; c != nil && c.phase == idlePhase {
			t.setPhase(c, headersPhase)
		}
	case http.StateClosed, http.StateHijacked:
		t.remove(conn)
		if s, ok := conn.(*socket); ok && s.c != nil {
			s.c.head.close()
		}
	case http.StateNew:
	}
}

// victim returns the connection that is closed for a new one, or nil if all are being
// handled. Connections that have waited, sent or received for longer than settleTime
// go first, then those between two requests, then the others; among them the oldest.
func (t *table) victim(now time.Time) (worst *connection) {
	for _, c := range t.open {
		if c.phase != handlingPhase && (worst == nil || c.before(worst, now)) {
			worst = c
		}
	}
	return worst
}

// before reports whether c is closed rather than other.
func (c *connection) before(other *connection, now time.Time) bool {
	if a, b := c.rank(now), other.rank(now); a != b {
		return a < b
	}
	return c.since.Before(other.since)
}

func (c *connection) rank(now time.Time) int {
	switch {
	case c.phase == idlePhase:
		return 1
	case now.Sub(c.since) >= settleTime:
		return 0
	}
	return 2
}
