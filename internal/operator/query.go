package operator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
	"unicode"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/report"
	"carawayshift.example/carawayshift/internal/statement"
)

// maxRows bounds a reply whose statement sets no limit.
const maxRows = 2000

// ageClock remembers when the local state was last known to be current.
type ageClock struct {
	mu sync.Mutex
	at time.Time
}

func newAgeClock() *ageClock { return &ageClock{at: time.Now()} }

func (c *ageClock) confirm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = time.Now()
}

func (c *ageClock) since() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.at)
}

// fresh returns the state after a read barrier. When no leader confirms it
// in time, it returns the local state and false.
func (h *Handler) fresh(ctx context.Context) (carawayshift.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, barrierTime)
	defer cancel()
	index, err := h.cfg.Log.Barrier(ctx)
	if err == nil {
		err = h.cfg.Wait(ctx, index)
	}
	if err != nil {
		return h.cfg.State(), false
	}
	h.age.confirm()
	return h.cfg.State(), true
}

func (h *Handler) query(ctx context.Context, s statement.Statement) reply {
	if s.Verb == "help" {
		return reply{Text: statement.Help(s.Text), Version: h.cfg.State().Version}
	}
	state, current := h.fresh(ctx)
	v := view{State: state, now: time.Now(), handler: h, ctx: ctx}
	var a reply
	switch s.Verb {
	case "show":
		a = v.show(s)
	case "why":
		a = v.why(s.Job)
	default:
		a = v.explain(s.Text)
	}
	a.Version = state.Version
	if !current {
		a.markAge(h.cfg.Age())
	}
	return a
}

// markAge says that the leader did not confirm the state.
func (a *reply) markAge(age time.Duration) {
	a.AgeSeconds = age.Seconds()
	a.Text = fmt.Sprintf("No leader confirms this state; it was last confirmed %s ago.\n", age.Round(time.Second)) + a.Text
}

// view is the state and the surroundings that one query reads.
type view struct {
	carawayshift.State
	now     time.Time
	handler *Handler
	ctx     context.Context
	noted   map[string]int
}

func (v *view) show(s statement.Statement) reply {
	rows := s.Arrange(v.rows(s.Object))
	total := len(rows)
	if total > maxRows && !s.Limited() {
		rows = rows[:maxRows]
	}
	columns, shown := statement.Columns(s.Object)
	t := &report.Table{Columns: columns, Shown: shown, Rows: rows}
	a := reply{Rows: t, Text: t.Text()}
	if total == 0 {
		a.Text = "no " + s.Object + "\n"
	}
	if len(rows) < total {
		a.Text += fmt.Sprintf("%d of %d rows; add: limit %d\n", len(rows), total, total)
	}
	if s.Name != "" {
		a.Text += v.notesOn(objectOf(s))
	}
	return a
}

// objectOf returns the name under which notes on a shown object are kept.
func objectOf(s statement.Statement) string {
	return strings.TrimSuffix(s.Object, "s") + " " + s.Name
}

// notesOn lists the notes on the objects, oldest first.
func (v *view) notesOn(objects ...string) string {
	var b strings.Builder
	for _, n := range v.Notes {
		for _, on := range objects {
			if n.Object == on {
				fmt.Fprintf(&b, "note on %s by %s at %s: %s\n", n.Object, report.Cell(n.By), report.Cell(n.At), report.Cell(n.Text))
			}
		}
	}
	return b.String()
}

// notes returns the number of notes on an object.
func (v *view) notes(on string) int {
	if v.noted == nil {
		v.noted = make(map[string]int)
		for _, n := range v.Notes {
			v.noted[n.Object]++
		}
	}
	return v.noted[on]
}

// faultText shows the statement with a mark under the fault.
func faultText(text string, err error) string {
	f := statement.AsFault(err)
	line := strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
	if f == nil || len(text) > statement.MaxLength {
		return err.Error() + "\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "  %s\n  %s^\n", line, strings.Repeat(" ", f.Position-1))
	fmt.Fprintf(&b, "character %d: found %s, expected %s\n", f.Position, f.Found, strings.Join(f.Expected, ", "))
	if f.Near != "" {
		fmt.Fprintf(&b, "did you mean: %s\n", f.Near)
	}
	fmt.Fprintf(&b, "nearest form: %s\n", f.Form)
	return b.String()
}
