// Package report renders rows as an aligned text table or as JSON.
//
// # Usage
//
//	t := report.Table{Columns: []string{"id", "due"}, Rows: [][]any{{41, due}}}
//	fmt.Print(t.Text())
//	b, err := json.Marshal(t) // [{"id":41,"due":"2026-12-04T06:00:00Z"}]
//
// Values are string, int, uint64, float64, bool, time.Duration or time.Time.
// Times are printed in UTC to the second. An absent time is "-" in text and
// null in JSON.
package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// TimeLayout is the form of times in text.
const TimeLayout = "2006-01-02 15:04:05Z"

// gap is the number of blanks between two columns.
const gap = 2

// Table is a list of rows with the same columns.
type Table struct {
	Columns []string
	// TextColumns is the number of leading columns that are printed as text; 0
	// prints all. JSON has all columns.
	TextColumns int
	Rows        [][]any
}

// Text returns the table with one line of headings and one line for each row.
func (t Table) Text() string {
	n := len(t.Columns)
	if t.TextColumns > 0 {
		n = t.TextColumns
	}
	lines := [][]string{t.Columns[:n]}
	for _, row := range t.Rows {
		cells := make([]string, n)
		for i := range cells {
			cells[i] = FormatCell(row[i])
		}
		lines = append(lines, cells)
	}
	return align(lines, n)
}

func align(lines [][]string, n int) string {
	widths := make([]int, n)
	for _, cells := range lines {
		for i, c := range cells {
			widths[i] = max(widths[i], utf8.RuneCountInString(c))
		}
	}
	var b strings.Builder
	for _, cells := range lines {
		var line strings.Builder
		for i, c := range cells {
			line.WriteString(c)
			line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c)+gap))
		}
		b.WriteString(strings.TrimRight(line.String(), " "))
		b.WriteByte('\n')
	}
	return b.String()
}

// MarshalJSON returns an array with one object for each row. The keys have
// the order of the columns.
func (t Table) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('[')
	for i, row := range t.Rows {
		if i > 0 {
			b.WriteByte(',')
		}
		if err := t.writeObject(&b, row); err != nil {
			return nil, err
		}
	}
	b.WriteByte(']')
	return b.Bytes(), nil
}

func (t Table) writeObject(b *bytes.Buffer, row []any) error {
	b.WriteByte('{')
	for i, name := range t.Columns {
		if i > 0 {
			b.WriteByte(',')
		}
		value, err := json.Marshal(plain(row[i]))
		if err != nil {
			return errors.Wrap(err, "report.MarshalJSON")
		}
		fmt.Fprintf(b, "%q:%s", name, value)
	}
	b.WriteByte('}')
	return nil
}

// plain returns the JSON form of a cell: times as RFC 3339 in UTC, durations
// as text.
func plain(v any) any {
	switch x := v.(type) {
	case time.Time:
		if x.IsZero() {
			return nil
		}
		return x.UTC().Format(time.RFC3339)
	case time.Duration:
		return FormatCell(x)
	}
	return v
}

// FormatCell returns the text of one value.
func FormatCell(v any) string {
	switch x := v.(type) {
	case string:
		return oneLine(x)
	case bool:
		if x {
			return "yes"
		}
		return "no"
	case float64:
		return strconv.FormatFloat(x, 'f', 2, 64)
	case time.Time:
		if x.IsZero() {
			return "-"
		}
		return x.UTC().Format(TimeLayout)
	case time.Duration:
		return duration(x)
	}
	return fmt.Sprint(v)
}

// oneLine keeps a text on its line of the table and free of control
// characters, which would change the operator's terminal.
func oneLine(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, s)
}

// duration drops the zero units that time.Duration prints: 2h0m0s is 2h.
func duration(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	if d >= time.Second {
		d = d.Round(time.Second)
	} else {
		d = d.Round(time.Millisecond)
	}
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
