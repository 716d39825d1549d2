package caller

import (
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/intake"
	"carawayshift.example/carawayshift/internal/runner"
)

// Headers of requests from callers and between entry hosts.
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
	// headerKind marks a refusal by an entry host and carries its kind.
	headerKind = "X-Kind"
	// headerNoRunner marks the refusal of a forwarded request by an entry host that
	// knows no runner of the service.
	headerNoRunner = "X-No-Runner"
)

const (
	maxKey = 256
	// maxID bounds the request ids of callers, which are logged.
	maxID = 128
)

// hopHeaders apply to a single connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// request is one request of a caller. The caller's id is kept for its own use;
// id is unique in the deployment.
type request struct {
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
	forwarded  bool
	deadline   time.Time
	// timeLeft is the time to the deadline when the request arrived.
	timeLeft time.Duration
	// attemptID is the id that a forwarding entry host expects in the response.
	attemptID string
	sends     int
	// maybeSent is the number of sends of which a byte may have left this host, except
	// to zones without runners, and forwards the number of sends to other zones.
	maybeSent int
	forwards  int
	tried     []string
}

func (h *Handler) parseRequest(w http.ResponseWriter, req *http.Request) (*request, error) {
	r := &request{method: req.Method, path: req.URL.RequestURI(), header: req.Header.Clone()}
	r.id = req.Header.Get(headerRequest)
	if r.id == "" || len(r.id) > maxID {
		r.id = newID()
	}
	r.service = serviceOf(req.URL.Path)
	if r.service == "" {
		return r, malformed("the path names no service", "use /r/{service}/...")
	}
	if err := r.parseHeaders(req.Header, h.isForwarded(req.Header), h.cfg.DefaultDeadline, intake.Arrival(req)); err != nil {
		return r, err
	}
	if req.Method == http.MethodConnect || req.Method == http.MethodTrace {
		return r, malformed("method "+req.Method+" can't be forwarded", "use another method")
	}
	body, err := intake.ReadAll(req.Body, h.cfg.BodyLimit+1)
	if err != nil {
		return r, malformed("the body can't be read: "+err.Error(), "send the whole body")
	}
	if int64(len(body)) > h.cfg.BodyLimit {
		w.Header().Set("Connection", "close")
		return r, carawayshift.NewError(carawayshift.TooLarge, "the body is too large",
			"send at most "+strconv.FormatInt(h.cfg.BodyLimit, 10)+" bytes")
	}
	r.body = body
	r.removeHopHeaders()
	return r, nil
}

// parseIDs reads what a refusal before parsing needs: a forwarding host treats
// a refusal without its attempt id as OutcomeUnknown.
func (h *Handler) parseIDs(req *http.Request) *request {
	r := &request{id: req.Header.Get(headerRequest)}
	if h.isForwarded(req.Header) {
		r.attemptID = req.Header.Get(runner.AttemptHeader)
	}
	return r
}

// serviceOf returns the service of a path /r/{service}/....
func serviceOf(path string) string {
	rest, ok := strings.CutPrefix(path, "/r/")
	if !ok {
		return ""
	}
	name, _, _ := strings.Cut(rest, "/")
	return name
}

// parseHeaders reads the headers; left is the time to the deadline of requests
// without an X-Deadline-Ms header, counted from their arrival.
func (r *request) parseHeaders(hd http.Header, hop bool, left time.Duration, arrived time.Time) error {
	r.team = hd.Get(headerTeam)
	r.key = hd.Get(headerKey)
	r.forwarded = hop
	if hop {
		r.attemptID = hd.Get(runner.AttemptHeader)
	}
	r.idempotent = idempotent(r.method) || strings.EqualFold(hd.Get(headerIdempotent), "true")
	if len(r.key) > maxKey {
		return malformed("the idempotency key is too long", "use at most 256 bytes")
	}
	switch hd.Get(headerUrgency) {
	case "", "urgent":
		r.urgent = true
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
	r.deadline, r.timeLeft = arrived.Add(left), left
	return nil
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// isForwarded reports whether an entry host has forwarded the request. If the
// request has an idempotency key, that host has claimed it.
func (h *Handler) isForwarded(hd http.Header) bool {
	v := hd.Get(headerHop)
	return v != "" && (h.cfg.HopToken == "" || v == h.cfg.HopToken)
}

// removeHopHeaders removes the headers that apply only to the caller's
// connection or only to this host.
func (r *request) removeHopHeaders() {
	for _, f := range strings.Split(strings.Join(r.header.Values("Connection"), ","), ",") {
		if f = strings.TrimSpace(f); f != "" {
			r.header.Del(f)
		}
	}
	for _, f := range hopHeaders {
		r.header.Del(f)
	}
	r.header.Del(headerHop)
	r.header.Del(runner.AttemptHeader)
	r.header.Set(headerRequest, r.id)
}

// fingerprint returns a hash by which two different requests with the same
// idempotency key are told apart.
func (r *request) fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range []string{r.method, r.path, r.team} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.body)
	return d.Sum64()
}

// repeatable reports whether the request may be executed twice. A request with
// an idempotency key is executed at most once, whatever its method.
func (r *request) repeatable() bool { return r.idempotent && r.key == "" }

func (r *request) runnerRequest(attempt string) runner.Request {
	return runner.Request{Attempt: attempt, Method: r.method, Path: r.path, Header: r.header, Body: r.body}
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
