package intake

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// waitingBuffer is the receive buffer of a connection that has not been accepted, and
	// backlog the number of those of one listener.
	waitingBuffer = 2 << 10
	backlog       = 2048
	// receiveBuffer and sendBuffer are the buffers of an accepted connection, in bytes.
	// The kernel queues up to twice as many.
	receiveBuffer = 8 << 10
	sendBuffer    = 4 << 10
	// largeBuffer is the buffer of a connection that receives or sends much.
	largeBuffer = 64 << 10
	// sendPiece is the most that is passed to the kernel at once without a large
	// buffer: it queues a whole write if there is any room.
	sendPiece = 2 * sendBuffer
)

// bufferPool counts the large buffers that the connections of a process may have.
type bufferPool struct{ free atomic.Int64 }

func newBufferPool(bytes int64) *bufferPool {
	p := &bufferPool{}
	p.free.Store(bytes / (2 * largeBuffer))
	return p
}

// take reports whether there was a large buffer, which give returns.
func (p *bufferPool) take() bool {
	if p.free.Add(-1) >= 0 {
		return true
	}
	p.free.Add(1)
	return false
}

func (p *bufferPool) give(n int) { p.free.Add(int64(n)) }

// Listen opens a listener for Serve on an IP:port. Sockets of Multipath TCP, which
// net.Listen prefers, don't take the options that bound their queues.
func Listen(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	return cfg.Listen(context.Background(), "tcp", address)
}

// limitSockets makes the connections of a listener begin with small buffers: their
// queues count toward the memory of the host. Set on the listener, the sizes hold from
// the first packet. Timeout ends connections, also closed ones, whose peer does not take
// what is queued for it, where the system has an option for that.
func limitSockets(ln net.Listener, timeout time.Duration) error {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return nil // a listener of a test
	}
	err := setOptions(socket, append([]option{
		{unix.SOL_SOCKET, unix.SO_RCVBUF, waitingBuffer},
		{unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer},
	}, ackTimeout(timeout)...))
	// On a socket that listens already, this changes the length of the queue.
	return errors.CombineErrors(err, control(socket, func(fd int) error { return unix.Listen(fd, backlog) }))
}

type option struct{ level, name, value int }

// setOptions sets all options, also after one has failed.
func setOptions(socket syscall.Conn, list []option) error {
	return control(socket, func(fd int) (err error) {
		for _, o := range list {
			err = errors.CombineErrors(err, unix.SetsockoptInt(fd, o.level, o.name, o.value))
		}
		return err
	})
}

// control calls f with the descriptor of a socket.
func control(socket syscall.Conn, f func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "intake.control")
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Wrap(errors.CombineErrors(err, failed), "intake.control")
}

// setReceiveBuffer enlarges the receive buffer of a connection. The window is limited to
// what the buffer was when the connection was opened until that is changed, too.
func setReceiveBuffer(socket syscall.Conn, size int) error {
	return setOptions(socket, append([]option{{unix.SOL_SOCKET, unix.SO_RCVBUF, size}}, maxWindow(size)...))
}

// accepted gives a new connection the receive buffer of accepted ones.
func (c *connection) accepted() {
	if socket, ok := c.conn.(syscall.Conn); ok {
		_ = setReceiveBuffer(socket, receiveBuffer) // it fails if the connection is closed
	}
}

// receiveMuch gives the connection a large receive buffer if the process has one left.
func (c *connection) receiveMuch() {
	c.enlarge(&c.receivesMuch, func(s syscall.Conn) error { return setReceiveBuffer(s, largeBuffer) })
}

// sendMuch does the same for the send buffer, and reports whether it is large.
func (c *connection) sendMuch() bool {
	return c.enlarge(&c.sendsMuch, func(s syscall.Conn) error {
		return setOptions(s, []option{{unix.SOL_SOCKET, unix.SO_SNDBUF, largeBuffer}})
	})
}

// enlarge reports whether the buffer is large. The connection keeps it until it is
// closed, since what is queued by then outlasts a request.
func (c *connection) enlarge(large *bool, set func(syscall.Conn) error) bool {
	if c == nil {
		return true // a request without a server, in tests of handlers
	}
	socket, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if *large || c.table.open[c.conn] != c || !c.table.buffers.take() {
		return *large
	}
	if set(socket) != nil {
		c.table.buffers.give(1)
		return false
	}
	*large = true
	return true
}

// releaseBuffers returns the large buffers of a closed connection. The mutex of the
// table is held.
func (c *connection) releaseBuffers() {
	for _, large := range []*bool{&c.receivesMuch, &c.sendsMuch} {
		if *large {
			*large = false
			c.table.buffers.give(1)
		}
	}
}
