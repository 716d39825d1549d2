package statement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"carawayshift.example/carawayshift"
)

// builder converts a syntax tree to a Statement and checks the words that the
// grammar does not check.
type builder struct {
	text string
	now  time.Time
	// end is the offset at which the modifiers start, or the length of the
	// text.
	end int
}

// build returns the statement with its modifiers.
func (b builder) build(t *syntaxTree) (Statement, error) {
	b.end = len(b.text)
	if len(t.Modifiers) > 0 {
		b.end = t.Modifiers[0].Pos.Offset
	}
	s, err := b.buildVerb(t)
	if err != nil {
		return s, err
	}
	for _, part := range t.Modifiers {
		if !s.IsCommand() {
			return s, b.errorAt(part.Pos.Offset, "the end")
		}
		if err := b.modifier(&s, part); err != nil {
			return s, err
		}
	}
	return s, nil
}

// buildVerb returns the statement without its modifiers.
func (b builder) buildVerb(t *syntaxTree) (Statement, error) {
	switch {
	case t.Show != nil:
		return b.show(t.Show)
	case t.Why != nil:
		id, err := b.positiveNumber(t.Why.Job, "a job number")
		return Statement{Verb: "why", Object: "job", JobID: id}, err
	case t.Note != nil:
		return b.note(t.Note)
	case t.Create != nil:
		return b.assign("create", t.Create)
	case t.Set != nil:
		return b.assign("set", t.Set)
	case t.Cancel != nil:
		return b.cancel(t.Cancel)
	case t.Action != nil:
		return b.action(t.Action)
	}
	return helpStatement(t.Help), nil
}

func helpStatement(h *help) Statement {
	s := Statement{Verb: "help"}
	if h != nil && len(h.Topic) > 0 {
		s.Text = strings.ToLower(h.Topic[0].Text)
	}
	return s
}

func (b builder) errorAt(offset int, expected ...string) error {
	return newErrorAt(b.text, offset, expected)
}

func (b builder) positiveNumber(w *word, expected string) (uint64, error) {
	n, err := strconv.ParseUint(w.Text, 10, 64)
	if err != nil || n == 0 {
		return 0, b.errorAt(w.Pos.Offset, expected)
	}
	return n, nil
}

func (b builder) modifier(s *Statement, m *modifier) error {
	if m.Because != nil {
		if s.Reason != "" {
			return b.errorAt(m.Pos.Offset, "if", "the end")
		}
		s.Reason = m.Because.Text
		return nil
	}
	if s.IfVersion != 0 {
		return b.errorAt(m.Pos.Offset, "because", "the end")
	}
	n, err := b.positiveNumber(m.Version, "a version number")
	s.IfVersion = n
	return err
}

func (b builder) note(n *note) (Statement, error) {
	s := Statement{Verb: "note", Text: n.Text.Text}
	if n.Kind == nil {
		return s, nil
	}
	kinds := []string{"job", "team", "zone", "worker", "runner", "host"}
	s.Object, s.Name = strings.ToLower(n.Kind.Text), n.Name.Text
	if !slices.Contains(kinds, s.Object) {
		return s, b.errorAt(n.Kind.Pos.Offset, kinds...)
	}
	if s.Object != "job" {
		return s, nil
	}
	id, err := b.positiveNumber(n.Name, "a job number")
	s.JobID = id
	return s, err
}

func (b builder) cancel(c *cancel) (Statement, error) {
	if c.Job != nil {
		id, err := b.positiveNumber(c.Job, "a job number")
		return Statement{Verb: "cancel", Object: "job", JobID: id}, err
	}
	t, _ := tableByName("jobs")
	s := Statement{Verb: "cancel", Object: "jobs", where: c.Where}
	return s, b.resolveFilter(t, c.Where)
}

// action builds a hold, release, drain or return statement.
func (b builder) action(a *action) (Statement, error) {
	s := Statement{Verb: strings.ToLower(a.Verb), Object: strings.ToLower(a.Kind.Text), Name: a.Name.Text}
	kinds := []string{"job", "worker"}
	if s.Verb == "drain" || s.Verb == "return" {
		kinds = []string{"zone"}
	}
	if !slices.Contains(kinds, s.Object) {
		return s, b.errorAt(a.Kind.Pos.Offset, kinds...)
	}
	if s.Object == "zone" {
		s.Zone = &carawayshift.Zone{Name: s.Name}
	}
	if s.Object != "job" {
		return s, nil
	}
	id, err := b.positiveNumber(a.Name, "a job number")
	s.JobID = id
	return s, err
}

// assign builds a create or set statement.
func (b builder) assign(verb string, a *assignment) (Statement, error) {
	s := Statement{Verb: verb, Object: strings.ToLower(a.Kind.Text), Name: a.Name.Text}
	if !slices.Contains(objects(verb), s.Object) {
		return s, b.errorAt(a.Kind.Pos.Offset, objects(verb)...)
	}
	if s.Object == "config" {
		return b.config(s, a)
	}
	if a.Value != nil {
		return s, b.errorAt(a.Value.Pos.Offset, "a field and its value")
	}
	if s.Object == "job" && verb == "set" {
		id, err := b.positiveNumber(a.Name, "a job number")
		if err != nil {
			return s, err
		}
		s.JobID = id
	}
	if err := b.setFields(&s, a.Fields); err != nil {
		return s, err
	}
	return s, b.checkRequired(s, a)
}

// config builds a set config statement.
func (b builder) config(s Statement, a *assignment) (Statement, error) {
	if a.Value == nil {
		return s, b.errorAt(a.Name.Pos.Offset+len(a.Name.Text), "=")
	}
	if len(a.Fields) > 0 {
		return s, b.errorAt(a.Fields[0].Pos.Offset, "because", "if", "the end")
	}
	s.Value = a.Value.Text
	return s, nil
}

// checkRequired returns an error for a statement that lacks a required field.
func (b builder) checkRequired(s Statement, a *assignment) error {
	var required []string
	switch {
	case s.Verb == "set":
		if len(s.ChangedFields) == 0 {
			return b.errorAt(b.end, fieldNames(s)...)
		}
	case s.Object == "zone":
		required = []string{"region"}
	case s.Object == "job":
		required = []string{"team", "tasks", "accelerators"}
	}
	for _, field := range required {
		if !slices.Contains(s.ChangedFields, field) {
			return b.errorAt(b.end, field+" and its value")
		}
	}
	return nil
}
