// Package operator serves the operators' HTTP interface: it turns statements
// into commands of the replicated log and answers queries from the local copy
// of the state.
//
// # Usage
//
//	h := operator.New(operator.Config{
//		Log: replica, State: machine.State, Wait: machine.Wait,
//		Workers: listWorkers, Planner: placement.New(), Hosts: listHostVersions,
//	})
//	mux.Handle("POST /v1/statements", h)
//
// A request is the JSON object {statement, id, operator}. The id identifies a
// command across retries; commands require an id and an operator. The response
// is {text, version, ...}; the response to a failed statement also has the
// fields error, kind and remedy.
//
// A query runs after a read barrier, so that its result includes every command
// answered before. When no leader can be reached, the response contains the
// age of the local state.
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
	// MaxBody fits a statement of the maximum length with every byte
	// escaped in JSON, the id and the operator.
	MaxBody    = 32 << 10
	maxIDBytes = 150
	// barrierTimeout is how long a query waits for the leader before it is
	// answered from unconfirmed state, with its age.
	barrierTimeout = time.Second
	// proposeTimeout covers a leader election of 3 s and the command after it.
	proposeTimeout = 8 * time.Second
)

// HostVersion is the last version that an entry host reported.
type HostVersion struct {
	Name string
	// Version is the configuration version in force on the host.
	Version uint64
	// Age is the time since the host reported it.
	Age time.Duration
}

// Config holds the dependencies of a Handler. Runners, Ready, Age and Logger
// may be nil.
type Config struct {
	Log carawayshift.Log
	// State returns the local copy of the state; Wait blocks until it has
	// applied an index.
	State   func() carawayshift.State
	Wait    func(ctx context.Context, index uint64) error
	Workers func() []carawayshift.Worker
	Runners func() []carawayshift.Runner
	Planner carawayshift.Planner
	// Ready returns an error while the local copy may be older than one that
	// was shown before. If Ready is nil, the copy is always shown.
	Ready func() error
	// Hosts returns all entry hosts, this one included.
	Hosts func(ctx context.Context) []HostVersion
	// Age returns the time since the local state was last known to be current.
	// It defaults to the time since the last successful read barrier.
	Age    func() time.Duration
	Logger logrus.FieldLogger
}

// Handler is the http.Handler of /v1/statements.
type Handler struct {
	cfg           Config
	lastConfirmed *confirmationTime
}

// New returns a Handler.
func New(cfg Config) *Handler {
	if cfg.Runners == nil {
		cfg.Runners = func() []carawayshift.Runner { return nil }
	}
	if cfg.Ready == nil {
		cfg.Ready = func() error { return nil }
	}
	if cfg.Logger == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		cfg.Logger = discard
	}
	h := &Handler{cfg: cfg, lastConfirmed: newConfirmationTime()}
	if h.cfg.Age == nil {
		h.cfg.Age = h.lastConfirmed.age
	}
	return h
}

type request struct {
	Statement string `json:"statement"`
	ID        string `json:"id"`
	Operator  string `json:"operator"`
}

// reply is the response to one statement.
type reply struct {
	Text    string `json:"text"`
	Version uint64 `json:"version"`
	// Rows holds the rows of a query.
	Rows *report.Table `json:"rows,omitempty"`
	// AgeSeconds is set when the state could not be confirmed as current.
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

// ServeHTTP executes one statement.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		writeReply(w, http.StatusMethodNotAllowed, errorReply(malformed("only POST is served", "send POST /v1/statements")))
		return
	}
	if err := h.cfg.Ready(); err != nil {
		writeReply(w, statusCode(carawayshift.KindOf(err)), errorReply(err))
		return
	}
	q, err := readRequest(w, r)
	if err != nil {
		writeReply(w, statusCode(carawayshift.KindOf(err)), errorReply(err))
		return
	}
	a := h.execute(r.Context(), q)
	h.cfg.Logger.WithFields(logrus.Fields{
		"operator": q.Operator, "id": q.ID, "kind": a.Kind, "version": a.Version,
	}).Info("statement: " + q.Statement)
	writeReply(w, statusCode(a.Kind), a)
}

func readRequest(w http.ResponseWriter, r *http.Request) (request, error) {
	var q request
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	dec.DisallowUnknownFields()
	err := dec.Decode(&q)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return q, carawayshift.NewError(carawayshift.TooLarge, "the body exceeds 32 KB", "send a shorter statement")
	}
	if _, end := dec.Token(); err != nil || end != io.EOF {
		return q, malformed("the body is not one JSON object", `send {"statement": "...", "id": "...", "operator": "..."}`)
	}
	if !validIdentifier(q.ID) || !validIdentifier(q.Operator) {
		return q, malformed("id and operator have at most 150 bytes and no control characters", "send other ones")
	}
	return q, nil
}

// validIdentifier limits the length of ids and operator names and excludes
// control characters, which could send commands to another operator's terminal.
func validIdentifier(s string) bool {
	return len(s) <= maxIDBytes && strings.IndexFunc(s, unicode.IsControl) < 0
}

// execute parses a statement and runs it.
func (h *Handler) execute(ctx context.Context, q request) reply {
	s, err := statement.Parse(q.Statement, time.Now())
	if err != nil {
		a := errorReply(err)
		a.Text = formatParseError(q.Statement, err)
		return a
	}
	if s.IsCommand() {
		return h.runCommand(ctx, q, s)
	}
	return h.runQuery(ctx, s)
}

func malformed(text, remedy string) error {
	return carawayshift.NewError(carawayshift.Malformed, text, remedy)
}

// errorReply returns the reply for an error.
func errorReply(err error) reply {
	e := carawayshift.AsError(err, carawayshift.Unavailable, "try another entry host")
	a := reply{Kind: e.Kind, Error: e.Text, Remedy: e.Remedy}
	a.Text = string(e.Kind) + ": " + e.Text + "\n"
	if e.Remedy != "" {
		a.Text += e.Remedy + "\n"
	}
	return a
}

func statusCode(k carawayshift.Kind) int {
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

func writeReply(w http.ResponseWriter, code int, a reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A write fails when the client has disconnected; it retries with the same
	// id.
	_ = json.NewEncoder(w).Encode(a)
}
