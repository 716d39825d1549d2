package runner

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// AttemptHeader carries the attempt id; the target echoes it.
const AttemptHeader = "X-Attempt-Id"

const (
	dialTimeout = time.Second
	// idleTimeout is below the 60 s after which common servers close idle
	// connections.
	idleTimeout     = 30 * time.Second
	maxAnswerHeader = 64 << 10
)

// Request is one attempt's request. Path includes the query.
type Request struct {
	Attempt string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
}

// Response is a whole answer of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// sendError is an end of an attempt without an answer.
type sendError struct {
	end   *carawayshift.Error
	cause error
}

func (e *sendError) Error() string { return e.end.Error() }

func (e *sendError) Unwrap() []error { return []error{e.end, e.cause} }

// client is the connection pool of one target.
type client struct {
	transport   *http.Transport
	incarnation uint64
}

func (p *Pool) newClient(connections, idle int, incarnation uint64) *client {
	dial := p.cfg.Dial
	return &client{
		incarnation: incarnation,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTimeout)
				defer cancel()
				c, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &conn{Conn: c}, nil
			},
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    idle,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxAnswerHeader,
			DisableCompression:     true,
		},
	}
}

// Send sends one attempt to r and reads the whole answer. The kinds of the
// error are listed in the package comment.
func (p *Pool) Send(ctx context.Context, r carawayshift.Runner, q Request) (*Response, error) {
	c := p.client(r)
	req, err := newRequest(r.Address, q)
	if err != nil {
		return nil, ended(carawayshift.NotRun, "the request can't be encoded", err)
	}
	var t track
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*conn)
		if !ok {
			// Bytes of a connection that was not dialled here can't be tracked.
			t.started = true
			return
		}
		c.begin(&t)
	}}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, t.end("no answer from "+r.Address, cause(ctx, err))
	}
	defer func() { _ = resp.Body.Close() }()
	a, err := p.read(resp, q)
	if err != nil {
		return nil, t.end("bad answer from "+r.Address, cause(ctx, err))
	}
	return a, nil
}

// newRequest builds a request that http.Transport never sends twice. The
// transport repeats a request on its own when the body can be rewound, or is
// absent, and the method or an Idempotency-Key header says that it is
// idempotent; it would repeat one attempt id without the retry budget.
func newRequest(address string, q Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(q.Path)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host = "http", address
	h := q.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if v, ok := h["Idempotency-Key"]; ok {
		delete(h, "Idempotency-Key")
		h["idempotency-key"] = v
	}
	h.Set(AttemptHeader, q.Attempt)
	req := &http.Request{Method: q.Method, URL: u, Host: address, Header: h}
	req.Body, req.ContentLength = body(q)
	return req, nil
}

func body(q Request) (io.ReadCloser, int64) {
	if len(q.Body) > 0 {
		return io.NopCloser(bytes.NewReader(q.Body)), int64(len(q.Body))
	}
	switch q.Method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		// Present but empty: nothing is sent, and the request counts as one
		// that can't be replayed.
		return io.NopCloser(bytes.NewReader(nil)), 0
	}
	return http.NoBody, 0
}

// read checks the echo and reads the answer up to its length or final chunk.
func (p *Pool) read(resp *http.Response, q Request) (*Response, error) {
	if v := resp.Header.Values(AttemptHeader); len(v) != 1 || v[0] != q.Attempt {
		p.mismatches.Inc()
		return nil, errors.Newf("the answer belongs to attempt %q", v)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("the target switched protocols")
	}
	if q.Method != http.MethodHead && !bounded(resp) {
		return nil, errors.New("the answer has neither a length nor chunks, so its end can't be told from a cut")
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, p.cfg.BodyLimit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > p.cfg.BodyLimit {
		return nil, errors.Newf("the answer exceeds %d bytes", p.cfg.BodyLimit)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: b}, nil
}

func bounded(resp *http.Response) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return true
	}
	return resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

func (t *track) end(text string, err error) error {
	if t.seal() {
		return ended(carawayshift.OutcomeUnknown, text, err)
	}
	return ended(carawayshift.NotRun, text, err)
}

func ended(kind carawayshift.Kind, text string, err error) error {
	remedy := "send it again"
	if kind == carawayshift.OutcomeUnknown {
		remedy = "check the outcome before sending it again"
	}
	return &sendError{carawayshift.NewError(kind, text+": "+err.Error(), remedy), err}
}

// cause prefers the context's own error, because net/http reports some
// cancelled requests as connection errors.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
