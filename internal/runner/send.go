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

// AttemptHeader carries the attempt id. The target must echo it in its
// response.
const AttemptHeader = "X-Attempt-Id"

const (
	dialTimeout = time.Second
	// idleTimeout is below the 60 s after which common servers close idle
	// connections.
	idleTimeout       = 30 * time.Second
	maxResponseHeader = 64 << 10
)

// Request is the request of one attempt. Path includes the query.
type Request struct {
	Attempt string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
}

// Response is a complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// sendError is the error of an attempt without a response.
type sendError struct {
	outcome *carawayshift.Error
	cause   error
}

func (e *sendError) Error() string { return e.outcome.Error() }

func (e *sendError) Unwrap() []error { return []error{e.outcome, e.cause} }

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
			MaxResponseHeaderBytes: maxResponseHeader,
			DisableCompression:     true,
		},
	}
}

// Send sends one attempt to r and reads the complete response. The kinds of the
// error are listed in the package comment.
func (p *Pool) Send(ctx context.Context, r carawayshift.Runner, q Request) (*Response, error) {
	c := p.client(r)
	req, err := newRequest(r.Address, q)
	if err != nil {
		return nil, newSendError(carawayshift.NotRun, "the request can't be encoded", err)
	}
	var t writeTracker
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*conn)
		if !ok {
			// Writes to a connection that was not dialled here are not tracked.
			t.maybeSent = true
			return
		}
		c.begin(&t)
	}}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, t.fail("no answer from "+r.Address, cause(ctx, err))
	}
	defer func() { _ = resp.Body.Close() }()
	a, err := p.readResponse(resp, q)
	if err != nil {
		return nil, t.fail("bad answer from "+r.Address, cause(ctx, err))
	}
	return a, nil
}

// newRequest builds a request that http.Transport never sends twice. The
// transport itself retries a request if its body can be rewound or is absent,
// and the method or an Idempotency-Key header says that it is idempotent. Such
// a retry would reuse the attempt id and bypass the retry budget.
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
	req.Body, req.ContentLength = requestBody(q)
	return req, nil
}

func requestBody(q Request) (io.ReadCloser, int64) {
	if len(q.Body) > 0 {
		return io.NopCloser(bytes.NewReader(q.Body)), int64(len(q.Body))
	}
	switch q.Method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		// The transport doesn't retry a request with a body that can't be
		// rewound, even if the body is empty. Nothing is sent.
		return io.NopCloser(bytes.NewReader(nil)), 0
	}
	return http.NoBody, 0
}

// readResponse checks the echoed attempt id and reads the response up to its
// length or final chunk.
func (p *Pool) readResponse(resp *http.Response, q Request) (*Response, error) {
	if v := resp.Header.Values(AttemptHeader); len(v) != 1 || v[0] != q.Attempt {
		p.mismatches.Inc()
		return nil, errors.Newf("the answer belongs to attempt %q", v)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("the target switched protocols")
	}
	if q.Method != http.MethodHead && !hasKnownEnd(resp) {
		return nil, errors.New("the answer has neither a length nor chunks, so a truncated one can't be detected")
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

func hasKnownEnd(resp *http.Response) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return true
	}
	return resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

func (t *writeTracker) fail(text string, err error) error {
	if t.finish() {
		return newSendError(carawayshift.OutcomeUnknown, text, err)
	}
	return newSendError(carawayshift.NotRun, text, err)
}

func newSendError(kind carawayshift.Kind, text string, err error) error {
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
