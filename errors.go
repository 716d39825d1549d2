package carawayshift

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error for callers and operators. The text is part of the
// external interfaces: error bodies carry it in the field "kind".
type Kind string

// Kinds of errors.
const (
	// NotRun means that nothing was executed, so a retry is safe.
	NotRun Kind = "not run"
	// OutcomeUnknown means that the work may have been executed.
	OutcomeUnknown Kind = "outcome unknown"
	// Malformed means that the input can't be read.
	Malformed Kind = "malformed"
	// TooLarge means that the input exceeds a size limit.
	TooLarge Kind = "too large"
	// Conflict means that another command was applied first, or that an id was
	// reused.
	Conflict Kind = "conflict"
	// Limited means that a limit was reached, or that there is too little room.
	Limited Kind = "limited"
	// Unavailable means that the component that must answer can't be reached.
	Unavailable Kind = "unavailable"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not found"
	// Refused means that a rule of the scheduler forbids the change.
	Refused Kind = "refused"
	// Gone means that a batch is not known, or was removed after its end.
	Gone Kind = "gone"
	// Unauthorized means that the key belongs to no team.
	Unauthorized Kind = "unauthorized"
)

// Error is an error with a kind and a remedy. Error() prints both, so that
// every message that reaches a person says what to do next.
type Error struct {
	Kind   Kind
	Text   string
	Remedy string
	// RetryAfter is when a caller may send a refused request again; 0 if unknown.
	RetryAfter time.Duration
}

// NewError returns an error of the given kind. The remedy is a full sentence
// or statement that the reader can act on.
func NewError(kind Kind, text, remedy string) *Error {
	return &Error{Kind: kind, Text: text, Remedy: remedy}
}

func (e *Error) Error() string {
	if e.Remedy == "" {
		return string(e.Kind) + ": " + e.Text
	}
	return string(e.Kind) + ": " + e.Text + "; " + e.Remedy
}

// AsError returns the first Error in err's chain. Any other error becomes one of
// the given kind and remedy, so that an interface can always say both.
func AsError(err error, kind Kind, remedy string) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewError(kind, err.Error(), remedy)
}

// KindOf returns the kind of the first Error in err's chain, or an empty kind.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
