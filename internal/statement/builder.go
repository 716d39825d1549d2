package statement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"carawayshift.example/carawayshift"
)

// builder turns a syntax tree into a Statement and checks the words that the
// grammar leaves open.
type builder struct {
	text string
	now  time.Time
	// end is the offset behind the statement's fields.
	end int
}

func (b builder) statement(t *tree) (Statement, error) {
	b.end = len(b.text)
	if len(t.Tail) > 0 {
		b.end = t.Tail[0].Pos.Offset
	}
	s, err := b.body(t)
	if err != nil {
		return s, err
	}
	for _, part := range t.Tail {
		if !s.Command() {
			return s, b.fault(part.Pos.Offset, "the end")
		}
		if err := b.tail(&s, part); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (b builder) body(t *tree) (Statement, error) {
	switch {
	case t.Show != nil:
		return b.show(t.Show)
	case t.Why != nil:
		id, err := b.number(t.Why.Job, "a job number")
		return Statement{Verb: "why", Object: "job", Job: id}, err
	case t.Note != nil:
		return b.note(t.Note)
	case t.Create != nil:
		return b.assign("create", t.Create)
	case t.Set != nil:
		return b.assign("set", t.Set)
	case t.Cancel != nil:
		return b.cancel(t.Cancel)
	case t.Switch != nil:
		return b.switched(t.Switch)
	}
	return helpOn(t.Help), nil
}

func helpOn(h *help) Statement {
	s := Statement{Verb: "help"}
	if h != nil && len(h.Topic) > 0 {
		s.Text = strings.ToLower(h.Topic[0].Text)
	}
	return s
}

func (b builder) fault(offset int, expected ...string) error {
	return faultAt(b.text, offset, expected)
}

func (b builder) number(w *word, what string) (uint64, error) {
	n, err := strconv.ParseUint(w.Text, 10, 64)
	if err != nil || n == 0 {
		return 0, b.fault(w.Pos.Offset, what)
	}
	return n, nil
}

func (b builder) tail(s *Statement, t *tail) error {
	if t.Because != nil {
		if s.Because != "" {
			return b.fault(t.Pos.Offset, "if", "the end")
		}
		s.Because = t.Because.Text
		return nil
	}
	if s.IfVersion != 0 {
		return b.fault(t.Pos.Offset, "because", "the end")
	}
	n, err := b.number(t.Version, "a version number")
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
		return s, b.fault(n.Kind.Pos.Offset, kinds...)
	}
	if s.Object != "job" {
		return s, nil
	}
	id, err := b.number(n.Name, "a job number")
	s.Job = id
	return s, err
}

func (b builder) cancel(c *cancel) (Statement, error) {
	if c.Job != nil {
		id, err := b.number(c.Job, "a job number")
		return Statement{Verb: "cancel", Object: "job", Job: id}, err
	}
	t, _ := tableByName("jobs")
	s := Statement{Verb: "cancel", Object: "jobs", where: c.Where}
	return s, b.resolve(t, c.Where)
}

// switched builds hold, release, drain and return.
func (b builder) switched(w *switched) (Statement, error) {
	s := Statement{Verb: strings.ToLower(w.Verb), Object: strings.ToLower(w.Kind.Text), Name: w.Name.Text}
	kinds := []string{"job", "worker"}
	if s.Verb == "drain" || s.Verb == "return" {
		kinds = []string{"zone"}
	}
	if !slices.Contains(kinds, s.Object) {
		return s, b.fault(w.Kind.Pos.Offset, kinds...)
	}
	if s.Object == "zone" {
		s.Zone = &carawayshift.Zone{Name: s.Name}
	}
	if s.Object != "job" {
		return s, nil
	}
	id, err := b.number(w.Name, "a job number")
	s.Job = id
	return s, err
}

func (b builder) assign(verb string, a *assign) (Statement, error) {
	s := Statement{Verb: verb, Object: strings.ToLower(a.Kind.Text), Name: a.Name.Text}
	if !slices.Contains(objects(verb), s.Object) {
		return s, b.fault(a.Kind.Pos.Offset, objects(verb)...)
	}
	if s.Object == "config" {
		return b.config(s, a)
	}
	if a.Value != nil {
		return s, b.fault(a.Value.Pos.Offset, "a field and its value")
	}
	if s.Object == "job" && verb == "set" {
		id, err := b.number(a.Name, "a job number")
		if err != nil {
			return s, err
		}
		s.Job = id
	}
	if err := b.fields(&s, a.Fields); err != nil {
		return s, err
	}
	return s, b.complete(s, a)
}

func (b builder) config(s Statement, a *assign) (Statement, error) {
	if a.Value == nil {
		return s, b.fault(a.Name.Pos.Offset+len(a.Name.Text), "=")
	}
	if len(a.Fields) > 0 {
		return s, b.fault(a.Fields[0].Pos.Offset, "because", "if", "the end")
	}
	s.Value = a.Value.Text
	return s, nil
}

// complete refuses a statement without the fields that its verb needs.
func (b builder) complete(s Statement, a *assign) error {
	var need []string
	switch {
	case s.Verb == "set":
		if len(s.Changed) == 0 {
			return b.fault(b.end, fieldNames(s)...)
		}
	case s.Object == "zone":
		need = []string{"region"}
	case s.Object == "job":
		need = []string{"team", "tasks", "accelerators"}
	}
	for _, field := range need {
		if !slices.Contains(s.Changed, field) {
			return b.fault(b.end, field+" and its value")
		}
	}
	return nil
}
