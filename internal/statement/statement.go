// Package statement parses the operators' query and command language.
//
// # Usage
//
//	s, err := statement.Parse(`show jobs where state = waiting limit 20`, time.Now())
//	rows = s.Select(rows) // filter, order and limit
//
// An error is a *ParseError, which has the position, what was found and
// expected, a similar word, and the nearest valid form. Times of day are in
// UTC. A time of day after "due" is the next one, after "since" the last one.
//
// Statements are UTF-8 text of at most 4,096 bytes. Words outside quotes
// consist of letters and digits, and . _ : - after the first character.
// Keywords are case-insensitive, names of objects are case-sensitive.
package statement

import (
	"errors"
	"strings"
	"time"

	"carawayshift.example/carawayshift"
)

// MaxLength is the maximum length of a statement in bytes.
const MaxLength = 4096

// Statement is a parsed statement. Fields that its verb does not use are zero.
type Statement struct {
	// Verb is show, why, explain, note, create, set, cancel, hold, release,
	// drain, return or help.
	Verb string
	// Object is the table of show, and the kind of object of other verbs:
	// job, jobs, team, zone, config, worker.
	Object string
	// Name is the object's name, or the key of a setting.
	Name string
	// JobID is the id of the job that the statement is about.
	JobID uint64
	// Text is the text of a note, the subject of explain, or the topic of
	// help.
	Text string
	// Team, Zone and JobFields hold the fields of create and set.
	Team      *carawayshift.Team
	Zone      *carawayshift.Zone
	JobFields *carawayshift.Job
	// ChangedFields lists the fields that a create or set statement sets, in the
	// order of the text.
	ChangedFields []string
	// Value is the value of a setting.
	Value string
	// Reason is the operator's reason. IfVersion, when not 0, is the only
	// version at which the command is accepted.
	Reason    string
	IfVersion uint64

	where *disjunction
	order []sortKey
	limit int
	since time.Time
}

// IsCommand reports whether the statement changes the state.
func (s Statement) IsCommand() bool {
	switch s.Verb {
	case "show", "why", "explain", "help":
		return false
	}
	return true
}

// HasLimit reports whether the statement limits the number of rows.
func (s Statement) HasLimit() bool { return s.limit > 0 }

// Parse parses one statement. Relative times refer to now.
func Parse(text string, now time.Time) (Statement, error) {
	if e := checkText(text); e != nil {
		return Statement{}, e
	}
	if subject, ok := cutExplain(text); ok {
		if subject == "" {
			return Statement{}, newErrorAt(text, len(text), []string{"a statement or the name of a rule"})
		}
		return Statement{Verb: "explain", Text: subject}, nil
	}
	tree, err := parser.ParseString("", text)
	if err != nil {
		return Statement{}, newSyntaxError(text, err)
	}
	b := builder{text: text, now: now.UTC()}
	s, err := b.build(tree)
	if err != nil {
		return Statement{}, err
	}
	return s, nil
}

// cutExplain returns the subject of an explain statement, which can be any
// text, and whether the text is such a statement.
func cutExplain(text string) (string, bool) {
	fields := strings.Fields(text)
	if !strings.EqualFold(fields[0], "explain") {
		return "", false
	}
	_, subject, _ := strings.Cut(strings.TrimSpace(text), fields[0])
	return strings.TrimSpace(subject), true
}

// AsParseError returns the ParseError in err's chain, or nil.
func AsParseError(err error) *ParseError {
	var e *ParseError
	if errors.As(err, &e) {
		return e
	}
	return nil
}
