// Package intake limits what the clients of a host's HTTP listeners can make it hold:
// the bytes of their heads and bodies, the time that they take, their connections, and
// what waits in the queues of the sockets.
//
// # Usage
//
//	in := intake.New(intake.Config{Limits: intake.Derive(cfg.Limits, maxBody), Metrics: set, Log: log})
//	srv := in.Server(handler, intake.Listener{Name: "entry", Body: 256 << 10, Connections: n, Refuse: refuse})
//	ln, err := intake.Listen("192.0.2.11:8480")
//	err = in.Serve(srv, ln)
//
// A body is read before the handler is called. It must move on, see Limits.Stall and
// Limits.Pace, and its bytes count toward one budget of the process until the handler
// has returned. What doesn't fit is refused with an error of kind NotRun, or its
// connection is closed: the bodies that have been incomplete longest go first. The
// sockets have small buffers, and larger ones while the process has some left.
package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/bytebudget"
)

const (
	// firstPiece is the size of the buffer with which a body begins.
	firstPiece = 4 << 10
	// retryAfter is the time in seconds after which a refused request may be sent again.
	retryAfter = "1"
)

// Config configures an Intake.
type Config struct {
	Limits  Limits
	Metrics *metrics.Set
	Log     logrus.FieldLogger
}

// Intake holds the budget of one process.
type Intake struct {
	cfg     Config
	budget  *bytebudget.Budget
	buffers *bufferPool
	// lastLog is when an event was logged last, in Unix nanoseconds.
	lastLog  atomic.Int64
	unlogged atomic.Int64

	mu sync.Mutex
	// tables holds the connections of the listeners that accept bodies.
	tables   []*table
	pressure pressure
}

// Listener describes one listener of a host.
type Listener struct {
	// Name is its key in the section [listen] of the settings.
	Name string
	// Body is the size of the largest body in bytes. A chunked body that is longer
	// reaches the handler cut off after one more byte. If it is 0, bodies are not read.
	Body int64
	// Opaque reports that the body of a request is not decoded; nil means that all are.
	Opaque func(*http.Request) bool
	// Connections is the largest number of open connections. Requests are handled on
	// three quarters of them.
	Connections int
	// IdleTimeout closes connections between two requests, and HeaderTimeout those that
	// don't complete the headers of a request.
	IdleTimeout   time.Duration
	HeaderTimeout time.Duration
	// Refuse writes the response to a request that was not read.
	Refuse func(w http.ResponseWriter, r *http.Request, err error)
}

// New returns an intake whose budget is unused.
func New(cfg Config) *Intake {
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	in := &Intake{cfg: cfg, budget: bytebudget.New(bytebudget.Config{Capacity: cfg.Limits.Bodies}), buffers: newBufferPool(cfg.Limits.Buffers)}
	cfg.Metrics.GetOrCreateGauge("carawayshift_intake_bytes", func() float64 { return float64(in.budget.Stats().Used) })
	return in
}

// Limits returns the limits of the process.
func (in *Intake) Limits() Limits { return in.cfg.Limits }

// Server returns a server for one listener.
func (in *Intake) Server(h http.Handler, l Listener) *http.Server {
	t := newTable(l.Connections, in.buffers, func(reason string) { in.count("closed", l.Name, reason) })
	t.heads = in.budget
	t.refused = func(reason string) { in.count("refused", l.Name, reason) }
	if l.Body > 0 {
		in.mu.Lock()
		in.tables = append(in.tables, t)
		in.mu.Unlock()
	}
	in.cfg.Metrics.GetOrCreateGauge(`carawayshift_intake_connections{listener="`+l.Name+`"}`, func() float64 { return float64(t.size()) })
	return &http.Server{
		Handler:           &handler{in: in, listener: l, next: h},
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    in.cfg.Limits.Headers,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			ctx, cancel := context.WithCancel(ctx)
			c := t.add(conn, cancel)
			c.ctx = ctx
			if s, ok := conn.(*socket); ok {
				s.c = c
			}
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: t.setState,
	}
}

// Serve serves the connections of ln, which Listen has opened, until it is closed, like
// srv.Serve.
func (in *Intake) Serve(srv *http.Server, ln net.Listener) error {
	if err := limitSockets(ln, in.cfg.Limits.pieceTime()); err != nil {
		in.cfg.Log.WithError(err).Warn("the buffers of connections can't be limited; the kernel's settings bound them")
	}
	return srv.Serve(listener{ln})
}

// count counts a client that was not served, and logs it at most once a second.
func (in *Intake) count(result, listener, reason string) {
	in.cfg.Metrics.GetOrCreateCounter(`carawayshift_intake_` + result + `_total{listener="` + listener + `",reason="` + reason + `"}`).Inc()
	in.unlogged.Add(1)
	now, last := time.Now().UnixNano(), in.lastLog.Load()
	if now-last < int64(time.Second) || !in.lastLog.CompareAndSwap(last, now) {
		return
	}
	s := in.budget.Stats()
	in.cfg.Log.WithFields(logrus.Fields{
		"event": "intake limited", "listener": listener, "reason": reason, "result": result, "clients": in.unlogged.Swap(0),
		"used": s.Used, "capacity": s.Capacity,
	}).Warn("clients were refused or their connections closed, see [limits]")
}

// handler reads the body of each request before the next handler is called.
type handler struct {
	in       *Intake
	listener Listener
	next     http.Handler
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	rw := &responseWriter{ResponseWriter: w, conn: c, limits: h.in.cfg.Limits, control: http.NewResponseController(w)}
	held, err := c.headComplete(r.Context())
	if err != nil {
		h.refuse(rw, r, err)
		return
	}
	defer held.Close()
	empty := r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
	if !empty && h.listener.Body == 0 {
		rw.closeAfterwards()
		r.Body = http.NoBody
		empty = true
	}
	if empty {
		h.handle(rw, r, c, held)
		return
	}
	if c.busy() {
		h.refuse(rw, r, errBusy)
		return
	}
	if r.ContentLength > h.listener.Body {
		h.refuse(rw, r, errTooLong)
		return
	}
	arrived := time.Now()
	account := h.in.budget.Open(c.close)
	defer account.Close()
	c.reading()
	body, err := h.read(r, c, rw.control, account)
	if err != nil {
		h.refuse(rw, r, err)
		return
	}
	if int64(len(body)) > h.listener.Body {
		rw.closeAfterwards()
	}
	r.Body = &received{Reader: bytes.NewReader(body), body: body, arrived: arrived}
	h.handle(rw, r, c, held, account)
}

// handle calls the next handler unless too many requests are being handled: new
// connections could not be accepted while all are. The accounts hold the memory of the
// request.
func (h *handler) handle(w *responseWriter, r *http.Request, c *connection, accounts ...*bytebudget.Account) {
	if !c.handling() {
		h.refuse(w, r, errBusy)
		return
	}
	for _, a := range accounts {
		if !a.Keep() {
			// The connection is being closed. Without a panic the server would answer
			// with status 200 if it is faster.
			panic(http.ErrAbortHandler)
		}
	}
	h.next.ServeHTTP(w, r)
	w.finish()
}

// read returns the body, or its beginning if it is longer than the listener accepts.
func (h *handler) read(r *http.Request, c *connection, control *http.ResponseController, account *bytebudget.Account) ([]byte, error) {
	limits := h.in.cfg.Limits
	if r.Header.Get("Expect") != "" {
		_ = control.SetWriteDeadline(time.Now().Add(limits.Stall))
	}
	body, err := readAll(r.Body, bodyReader{
		length: r.ContentLength, limit: h.listener.Body + 1,
		reserve: func(n int64) error {
			// n is twice the size of the buffer.
			if n > 2*receiveBuffer {
				c.receiveMuch()
			}
			return account.Resize(r.Context(), n)
		},
		// A connection without deadlines is one of a test.
		deadline: func(t time.Time) { _ = control.SetReadDeadline(t) },
		stall:    limits.Stall, pace: limits.Pace,
	})
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > h.listener.Body {
		return body, nil
	}
	_ = control.SetReadDeadline(time.Time{})
	held := int64(len(body)) * heldCopies
	if h.listener.Opaque == nil || !h.listener.Opaque(r) {
		held += decodedSize(body)
	}
	return body, account.Resize(r.Context(), held)
}

// refuse answers a request that is not handled. The connection is closed: its next bytes
// belong to the body, or to requests that would be refused as well.
func (h *handler) refuse(w *responseWriter, r *http.Request, err error) {
	w.closeAfterwards()
	reason := "body"
	switch {
	case errors.Is(err, errBusy):
		reason = "handling"
		err = carawayshift.NewError(carawayshift.NotRun, "this host handles as many requests as its connections allow", "send it again later")
	case errors.Is(err, bytebudget.ErrFull):
		reason = "budget"
		err = carawayshift.NewError(carawayshift.NotRun, "this host holds as many requests as its memory allows", "send it again later")
	case errors.Is(err, bytebudget.ErrTooLarge):
		reason = "size"
		err = carawayshift.NewError(carawayshift.TooLarge, "the body would take more memory than this host has for bodies", "send it in parts, or raise [limits] memory")
	case errors.Is(err, errTooLong):
		reason = "size"
		err = carawayshift.NewError(carawayshift.TooLarge, "the body is too large", "send at most "+strconv.FormatInt(h.listener.Body, 10)+" bytes")
	case errors.Is(err, errSlow):
		reason = "slow"
		err = carawayshift.NewError(carawayshift.NotRun, "the body did not arrive in time", "send the whole body, at the rate of [limits] pace")
	default:
		err = carawayshift.NewError(carawayshift.Malformed, "the request body can't be read: "+err.Error(), "send the whole body")
	}
	if carawayshift.KindOf(err) == carawayshift.NotRun {
		w.Header().Set("Retry-After", retryAfter)
	}
	h.in.count("refused", h.listener.Name, reason)
	h.listener.Refuse(w, r, err)
	w.finish()
}
