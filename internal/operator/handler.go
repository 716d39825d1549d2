// Package operator serves the operators' HTTP interface: it turns statements
// into commands of the replicated log and answers queries from the state.
//
// # Usage
//
//	h := operator.New(operator.Config{
//		Log: replica, State: machine.State, Wait: machine.Wait,
//		Workers: workers.Live, Planner: planner, Hosts: mesh.Versions,
//	})
//	mux.Handle("POST /v1/statements", h)
//
// A request is the JSON object {statement, id, operator}. The id identifies a
// command across resends, the operator is required for commands. The answer
// is {text, version, ...}; an answer that is not a success has the fields
// error, kind and remedy.
//
// Queries are answered from the local copy of the state. A read barrier comes
// first, so that they include every command answered before; when no leader
// can be reached, the answer says how old the state is.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/report"
	"carawayshift.example/carawayshift/internal/statement"
)

const (
	// maxBody holds a statement of the greatest length with every byte
	// escaped in JSON, the id and the operator.
	maxBody = 32 << 10
	maxID   = 150
	// barrierTime is how long a query waits for the leader before it is
	// answered from a state of a stated age.
	barrierTime = time.Second
	// proposeTime covers an election of 3 s and the command after it.
	proposeTime = 8 * time.Second
)

// HostVersion is what is known of one entry host.
type HostVersion struct {
	Name string
	// Version is the configuration version in force on the host.
	Version uint64
	// Age is the time since the host reported it.
	Age time.Duration
}

// Config holds what a Handler needs. Runners, Age and Logger may be nil.
type Config struct {
	Log carawayshift.Log
	// State returns the local copy of the state, Wait waits until it has
	// applied an index.
	State   func() carawayshift.State
	Wait    func(ctx context.Context, index uint64) error
	Workers func() []carawayshift.Worker
	Runners func() []carawayshift.Runner
	Planner carawayshift.Planner
	// Ready returns nil when the local copy may be shown: it is not older than
	// one that was shown before. Nil is always ready.
	Ready func() error
	// Hosts returns all entry hosts, this one included.
	Hosts func(ctx context.Context) []HostVersion
	// Age returns the time since the local state was known to be current. By
	// default it is the time since the last successful read barrier.
	Age    func() time.Duration
	Logger logrus.FieldLogger
}

// Handler is the http.Handler of /v1/statements.
type Handler struct {
	cfg Config
	age *ageClock
}

// New returns a handler.
func New(cfg Config) *Handler {
	if cfg.Runners == nil {
		cfg.Runners = func() []carawayshift.Runner { return nil }
	}
	if cfg.Ready == nil {
		cfg.Ready = func() error { return nil }
	}
	if cfg.Logger == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		cfg.Logger = silent
	}
	h := &Handler{cfg: cfg, age: newAgeClock()}
	if h.cfg.Age == nil {
		h.cfg.Age = h.age.since
	}
	return h
}

type request struct {
	Statement string `json:"statement"`
	ID        string `json:"id"`
	Operator  string `json:"operator"`
}

// reply is the answer to one statement.
type reply struct {
	Text    string `json:"text"`
	Version uint64 `json:"version"`
	// Rows holds the rows of a query.
	Rows *report.Table `json:"rows,omitempty"`
	// Age is set when the state could not be confirmed as current.
	AgeSeconds float64 `json:"age_seconds,omitempty"`
	Job        uint64  `json:"job,omitempty"`
	Repeated   bool    `json:"repeated,omitempty"`
	Hosts      int     `json:"hosts,omitempty"`
	InForce    int     `json:"in_force,omitempty"`
	// Missing names the hosts on which the version is not yet in force.
	Missing []string          `json:"missing,omitempty"`
	Error   string            `json:"error,omitempty"`
	Kind    carawayshift.Kind `json:"kind,omitempty"`
	Remedy  string            `json:"remedy,omitempty"`
	Winner  string            `json:"winner,omitempty"`
}

// ServeHTTP answers one statement.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		write(w, http.StatusMethodNotAllowed, failure(malformed("only POST is served", "send POST /v1/statements")))
		return
	}
	if err := h.cfg.Ready(); err != nil {
		write(w, status(carawayshift.KindOf(err)), failure(err))
		return
	}
	q, err := readRequest(w, r)
	if err != nil {
		write(w, status(carawayshift.KindOf(err)), failure(err))
		return
	}
	a := h.answer(r.Context(), q)
	h.cfg.Logger.WithFields(logrus.Fields{
		"operator": q.Operator, "id": q.ID, "kind": a.Kind, "version": a.Version,
	}).Info("statement: " + q.Statement)
	write(w, status(a.Kind), a)
}

func readRequest(w http.ResponseWriter, r *http.Request) (request, error) {
	var q request
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	err := dec.Decode(&q)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return q, carawayshift.NewError(carawayshift.TooLarge, "the body exceeds 32 KB", "send a shorter statement")
	}
	if err != nil || dec.More() {
		return q, malformed("the body is not one JSON object", `send {"statement": "...", "id": "...", "operator": "..."}`)
	}
	if !printable(q.ID) || !printable(q.Operator) {
		return q, malformed("id and operator have at most 150 bytes and no control characters", "send other ones")
	}
	return q, nil
}

// printable keeps out what would change the terminal of another operator.
func printable(s string) bool {
	return len(s) <= maxID && strings.IndexFunc(s, unicode.IsControl) < 0
}

// answer parses and runs one statement.
func (h *Handler) answer(ctx context.Context, q request) reply {
	s, err := statement.Parse(q.Statement, time.Now())
	if err != nil {
		a := failure(err)
		a.Text = faultText(q.Statement, err)
		return a
	}
	if s.Command() {
		return h.command(ctx, q, s)
	}
	return h.query(ctx, s)
}

func malformed(text, remedy string) error {
	return carawayshift.NewError(carawayshift.Malformed, text, remedy)
}

// failure returns the reply for an error.
func failure(err error) reply {
	e := carawayshift.AsError(err, carawayshift.Unavailable, "try another entry host")
	a := reply{Kind: e.Kind, Error: e.Text, Remedy: e.Remedy}
	a.Text = string(e.Kind) + ": " + e.Text + "\n"
	if e.Remedy != "" {
		a.Text += e.Remedy + "\n"
	}
	return a
}

func status(k carawayshift.Kind) int {
	switch k {
	case "":
		return http.StatusOK
	case carawayshift.Malformed:
		return http.StatusBadRequest
	case carawayshift.TooLarge:
		return http.StatusRequestEntityTooLarge
	case carawayshift.Conflict:
		return http.StatusConflict
	case carawayshift.NotFound:
		return http.StatusNotFound
	case carawayshift.Refused:
		return http.StatusUnprocessableEntity
	case carawayshift.Limited:
		return http.StatusTooManyRequests
	case carawayshift.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func write(w http.ResponseWriter, code int, a reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The client may be gone; it resends with the same id.
	_ = json.NewEncoder(w).Encode(a)
}
