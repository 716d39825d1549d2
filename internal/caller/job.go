package caller

import (
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/runner"
)

// Headers of the callers' interface and between entry hosts.
const (
	headerKey        = "Idempotency-Key"
	headerIdempotent = "X-Idempotent"
	headerDeadline   = "X-Deadline-Ms"
	headerUrgency    = "X-Urgency"
	headerTeam       = "X-Team"
	headerRequest    = "X-Request-Id"
	// headerHop marks a request that an entry host has forwarded. It is not
	// forwarded again.
	headerHop = "X-Hop"
	// headerKind marks a refusal of an entry host and carries its kind.
	headerKind = "X-Kind"
)

const (
	maxKey = 256
	// maxID bounds callers' request ids, which are logged.
	maxID = 128
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// job is one request of a caller. The caller's id is kept for its own use; id
// is unique in the deployment.
type job struct {
	id         string
	service    string
	team       string
	key        string
	method     string
	path       string
	header     http.Header
	body       []byte
	urgent     bool
	idempotent bool
	hop        bool
	deadline   time.Time
	// left is the time to the deadline when the request arrived.
	left time.Duration
	// attempt is the id that a forwarding entry host expects back.
	attempt string
	sends   int
	// started is the number of sends of which a byte may have left this host, and
	// moves the number of forwards.
	started int
	moves   int
	tried   []string
}

func (h *Handler) parse(w http.ResponseWriter, req *http.Request) (*job, error) {
	j := &job{method: req.Method, path: req.URL.RequestURI(), header: req.Header.Clone()}
	j.id = req.Header.Get(headerRequest)
	if j.id == "" || len(j.id) > maxID {
		j.id = newID()
	}
	j.service = service(req.URL.Path)
	if j.service == "" {
		return j, malformed("the path names no service", "use /r/{service}/...")
	}
	if err := j.parseHeaders(req.Header, h.hopped(req.Header), h.cfg.DefaultDeadline); err != nil {
		return j, err
	}
	if req.Method == http.MethodConnect || req.Method == http.MethodTrace {
		return j, malformed("method "+req.Method+" can't be forwarded", "use another method")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, h.cfg.BodyLimit))
	if err != nil {
		return j, bodyError(err)
	}
	j.body = body
	j.clean()
	return j, nil
}

// stub returns what a refusal before parsing needs: a forwarding host takes a
// refusal without its attempt id for an unclear end.
func (h *Handler) stub(req *http.Request) *job {
	j := &job{id: req.Header.Get(headerRequest)}
	if h.hopped(req.Header) {
		j.attempt = req.Header.Get(runner.AttemptHeader)
	}
	return j
}

// service returns the service part of /r/{service}/....
func service(path string) string {
	rest, ok := strings.CutPrefix(path, "/r/")
	if !ok {
		return ""
	}
	name, _, _ := strings.Cut(rest, "/")
	return name
}

// parseHeaders reads the headers; left is the deadline of requests that name
// none.
func (j *job) parseHeaders(hd http.Header, hop bool, left time.Duration) error {
	j.team = hd.Get(headerTeam)
	j.key = hd.Get(headerKey)
	j.hop = hop
	if hop {
		j.attempt = hd.Get(runner.AttemptHeader)
	}
	j.idempotent = idempotent(j.method) || strings.EqualFold(hd.Get(headerIdempotent), "true")
	if len(j.key) > maxKey {
		return malformed("the idempotency key is too long", "use at most 256 bytes")
	}
	switch hd.Get(headerUrgency) {
	case "", "urgent":
		j.urgent = true
	case "overnight":
	default:
		return malformed("unknown urgency "+hd.Get(headerUrgency), "use X-Urgency: urgent or overnight")
	}
	if v := hd.Get(headerDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return malformed("X-Deadline-Ms is not a positive number", "give the deadline in milliseconds from now")
		}
		left = time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
	}
	j.deadline, j.left = time.Now().Add(left), left
	return nil
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return carawayshift.NewError(carawayshift.TooLarge, "the body is too large",
			"send at most "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return malformed("the body can't be read: "+err.Error(), "send the whole body")
}

// hopped reports whether an entry host has forwarded the request. Its claim, if
// it has a key, is held by that host.
func (h *Handler) hopped(hd http.Header) bool {
	v := hd.Get(headerHop)
	return v != "" && (h.cfg.HopToken == "" || v == h.cfg.HopToken)
}

// clean removes headers that concern only the caller's connection, and those
// whose meaning ends at this host.
func (j *job) clean() {
	for _, f := range strings.Split(strings.Join(j.header.Values("Connection"), ","), ",") {
		if f = strings.TrimSpace(f); f != "" {
			j.header.Del(f)
		}
	}
	for _, f := range hopHeaders {
		j.header.Del(f)
	}
	j.header.Del(headerHop)
	j.header.Del(runner.AttemptHeader)
	j.header.Set(headerRequest, j.id)
}

// fingerprint tells two requests under one key apart.
func (j *job) fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range []string{j.method, j.path, j.team} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.body)
	return d.Sum64()
}

// repeatable reports whether the request may run twice. A keyed request runs
// at most once, whatever its method.
func (j *job) repeatable() bool { return j.idempotent && j.key == "" }

func (j *job) request(attempt string) runner.Request {
	return runner.Request{Attempt: attempt, Method: j.method, Path: j.path, Header: j.header, Body: j.body}
}

func newID() string {
	var b [16]byte
	for i := 0; i < len(b); i += 8 {
		v := rand.Uint64()
		for k := range 8 {
			b[i+k] = byte(v >> (8 * k))
		}
	}
	return hex.EncodeToString(b[:])
}

func malformed(text, remedy string) error {
	return carawayshift.NewError(carawayshift.Malformed, text, remedy)
}

func notRun(text, remedy string) error {
	return carawayshift.NewError(carawayshift.NotRun, text, remedy)
}
