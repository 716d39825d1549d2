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

// maxRows limits the rows of a reply when the statement sets no limit.
const maxRows = 2000

// confirmationTime records when the local state was last confirmed to be
// current.
type confirmationTime struct {
	mu        sync.Mutex
	confirmed time.Time
}

func newConfirmationTime() *confirmationTime { return &confirmationTime{confirmed: time.Now()} }

func (c *confirmationTime) setNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = time.Now()
}

func (c *confirmationTime) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.confirmed)
}

// readState returns the state after a read barrier and true. When no leader
// confirms the state in time, it returns the local state and false.
func (h *Handler) readState(ctx context.Context) (carawayshift.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	index, err := h.cfg.Log.Barrier(ctx)
	if err == nil {
		err = h.cfg.Wait(ctx, index)
	}
	if err != nil {
		return h.cfg.State(), false
	}
	h.lastConfirmed.setNow()
	return h.cfg.State(), true
}

func (h *Handler) runQuery(ctx context.Context, s statement.Statement) reply {
	if s.Verb == "help" {
		return reply{Text: statement.Help(s.Text), Version: h.cfg.State().Version}
	}
	state, current := h.readState(ctx)
	v := view{State: state, now: time.Now(), handler: h, ctx: ctx}
	var a reply
	switch s.Verb {
	case "show":
		a = v.show(s)
	case "why":
		a = v.why(s.JobID)
	default:
		a = v.explain(s.Text)
	}
	a.Version = state.Version
	if !current {
		a.addAge(h.cfg.Age())
	}
	return a
}

// addAge adds the age of the state to a reply, for a state that no leader
// confirmed.
func (r *reply) addAge(age time.Duration) {
	r.AgeSeconds = age.Seconds()
	r.Text = fmt.Sprintf("No leader confirms this state; it was last confirmed %s ago.\n", age.Round(time.Second)) + r.Text
}

// view holds the state and the other input of one query.
type view struct {
	carawayshift.State
	now        time.Time
	handler    *Handler
	ctx        context.Context
	noteCounts map[string]int
}

func (v *view) show(s statement.Statement) reply {
	rows := s.Select(v.rows(s.Object))
	total := len(rows)
	if total > maxRows && !s.HasLimit() {
		rows = rows[:maxRows]
	}
	columns, textColumns := statement.Columns(s.Object)
	t := &report.Table{Columns: columns, TextColumns: textColumns, Rows: rows}
	a := reply{Rows: t, Text: t.Text()}
	if total == 0 {
		a.Text = "no " + s.Object + "\n"
	}
	if len(rows) < total {
		a.Text += fmt.Sprintf("%d of %d rows; add: limit %d\n", len(rows), total, total)
	}
	if s.Name != "" {
		a.Text += v.formatNotes(noteObject(s))
	}
	return a
}

// noteObject returns the name under which notes on the shown object are stored.
func noteObject(s statement.Statement) string {
	return strings.TrimSuffix(s.Object, "s") + " " + s.Name
}

// formatNotes lists the notes on the objects, oldest first.
func (v *view) formatNotes(objects ...string) string {
	var b strings.Builder
	for _, n := range v.Notes {
		for _, object := range objects {
			if n.Object == object {
				fmt.Fprintf(&b, "note on %s by %s at %s: %s\n", n.Object, report.FormatCell(n.By), report.FormatCell(n.At), report.FormatCell(n.Text))
			}
		}
	}
	return b.String()
}

// noteCount returns the number of notes on an object.
func (v *view) noteCount(object string) int {
	if v.noteCounts == nil {
		v.noteCounts = make(map[string]int)
		for _, n := range v.Notes {
			v.noteCounts[n.Object]++
		}
	}
	return v.noteCounts[object]
}

// formatParseError prints the statement with a caret under the position of the
// error, then what was expected.
func formatParseError(text string, err error) string {
	parseErr := statement.AsParseError(err)
	line := strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
	if parseErr == nil || len(text) > statement.MaxLength {
		return err.Error() + "\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "  %s\n  %s^\n", line, strings.Repeat(" ", parseErr.Position-1))
	fmt.Fprintf(&b, "character %d: found %s, expected %s\n", parseErr.Position, parseErr.Found, strings.Join(parseErr.Expected, ", "))
	if parseErr.Suggestion != "" {
		fmt.Fprintf(&b, "did you mean: %s\n", parseErr.Suggestion)
	}
	fmt.Fprintf(&b, "nearest form: %s\n", parseErr.NearestForm)
	return b.String()
}
