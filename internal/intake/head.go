package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/pkg/bytebudget"
)

const (
	// freeHead is the memory of a head that is counted as part of the connection.
	freeHead = 8 << 10
	// headerSize is the memory of one parsed header beside its text.
	headerSize = 128
	// headNotRun and headTooLarge are the responses to a request whose head finds no room
	// now, or never.
	headNotRun   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + headEnd
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large" + headEnd
	headEnd      = "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// head counts the memory of the request head that a connection receives: many small
// headers take much more than their text, and an unfinished head has no handler yet.
type head struct {
	budget *bytebudget.Budget
	evict  func()

	mu sync.Mutex
	// received reports that the rest of the request is not part of its head.
	received bool
	size     int64
	// last is the memory of what was read last, which may belong to the next head.
	last    int64
	account *bytebudget.Account
}

// add counts bytes that were read from the connection. It returns an error if there is
// no room for them.
func (h *head) add(ctx context.Context, b []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := headMemory(b)
	if len(b) > 1 {
		h.last = 0 // a single byte may be read ahead while a request is handled
	}
	h.last += n
	if h.received {
		return nil
	}
	h.size += n
	return h.reserve(ctx)
}

// reserve takes the memory of the head from the budget. The mutex is held.
func (h *head) reserve(ctx context.Context) error {
	if h.size <= freeHead {
		return nil
	}
	if h.account == nil {
		h.account = h.budget.Open(h.evict)
	}
	return h.account.Resize(ctx, h.size)
}

// finish is called when the head is complete. The caller has to close the account that
// it returns, which may be nil, when the request has ended.
func (h *head) finish(ctx context.Context) (*bytebudget.Account, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = true
	err := h.reserve(ctx)
	account := h.account
	h.account = nil
	if err != nil {
		account.Close()
		return nil, err
	}
	return account, nil
}

// headComplete is finish for the head of the connection.
func (c *connection) headComplete(ctx context.Context) (*bytebudget.Account, error) {
	if c == nil {
		return nil, nil // a request without a server, in tests of handlers
	}
	return c.head.finish(ctx)
}

// next is called when the connection is ready for the next request.
func (h *head) next() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received, h.size = false, h.last
}

// close returns the memory of an unfinished head.
func (h *head) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.account != nil {
		h.account.Close()
		h.account = nil
	}
}

// headMemory estimates the memory of a part of a head: its text is copied once.
func headMemory(b []byte) int64 {
	return int64(2*len(b) + headerSize*bytes.Count(b, []byte{'\n'}))
}

// socket is a connection whose reads are counted.
type socket struct {
	*net.TCPConn
	c *connection
}

func (s *socket) Read(b []byte) (int, error) {
	n, err := s.TCPConn.Read(b)
	if n == 0 || s.c == nil {
		return n, err
	}
	if full := s.c.head.add(s.c.ctx, b[:n]); full != nil {
		s.refuse(full)
		// The server answers other errors itself, with status 400.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errors.Wrap(full, "intake.Read")}
	}
	return n, err
}

// refuse answers a request whose head is not complete.
func (s *socket) refuse(err error) {
	response := headNotRun
	if errors.Is(err, bytebudget.ErrTooLarge) {
		response = headTooLarge
	}
	s.c.table.refused("head")
	_ = s.SetWriteDeadline(time.Now().Add(settleTime))
	_, _ = io.WriteString(s.TCPConn, response) // the client may have gone
}

// listener wraps the connections that it accepts.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &socket{TCPConn: tcp}, err
	}
	return c, err
}
