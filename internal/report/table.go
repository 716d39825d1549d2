// Package report renders rows as an aligned text table or as JSON.
//
// # Usage
//
//	t := report.Table{Columns: []string{"id", "due"}, Rows: [][]any{{41, due}}}
//	fmt.Print(t.Text())
//	b, err := json.Marshal(t) // [{"id":41,"due":"2026-12-04T06:00:00Z"}]
//
// Values are string, int, uint64, float64, bool, time.Duration or time.Time.
// Times are in UTC, rounded down to the second. A zero time is "-" in text and
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

// TimeLayout is the layout of times in text.
const TimeLayout = "2006-01-02 15:04:05Z"

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Table holds rows with the same columns.
type Table struct {
	Columns []string
	// TextColumns is the number of leading columns that Text prints; 0 prints
	// all. JSON has all columns.
	TextColumns int
	Rows        [][]any
}

// Text returns the table as aligned text, with a header line.
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

// align pads the first n cells of each line to the width of their column.
// Widths are in characters.
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
			line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c)+columnGap))
		}
		b.WriteString(strings.TrimRight(line.String(), " "))
		b.WriteByte('\n')
	}
	return b.String()
}

// MarshalJSON returns an array with one object for each row, whose keys are in
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
		value, err := json.Marshal(jsonValue(row[i]))
		if err != nil {
			return errors.Wrap(err, "report.MarshalJSON")
		}
		fmt.Fprintf(b, "%q:%s", name, value)
	}
	b.WriteByte('}')
	return nil
}

// jsonValue converts a value for JSON: times to RFC 3339 in UTC, durations to
// the text of FormatCell.
func jsonValue(v any) any {
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

// FormatCell returns the text of a value.
func FormatCell(v any) string {
	switch x := v.(type) {
	case string:
		return singleLine(x)
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
		return formatDuration(x)
	}
	return fmt.Sprint(v)
}

// singleLine replaces line breaks and other control characters, which would
// break the table's layout or send commands to the operator's terminal.
func singleLine(s string) string {
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

// formatDuration omits the zero units that time.Duration prints: 2h0m0s is 2h.
func formatDuration(d time.Duration) string {
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
