package report

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var trinidad = time.FixedZone("AST", -4*60*60)

func sample() Table {
	at := time.Date(2026, 12, 4, 2, 0, 0, 999, trinidad)
	return Table{
		Columns:     []string{"id", "name", "due", "run", "by"},
		TextColumns: 4,
		Rows: [][]any{
			{41, "café crème brûlée", at, 2 * time.Hour, "ines"},
			{uint64(7), "two\nlines\x1b[2J", time.Time{}, 90 * time.Second, ""},
		},
	}
}

// Guards against misaligned columns, local times, and text that breaks a line
// or sends commands to the operator's terminal.
func TestText(t *testing.T) {
	NewWithT(t).Expect(sample().Text()).To(Equal(
		"id  name               due                   run\n" +
			"41  café crème brûlée  2026-12-04 06:00:00Z  2h\n" +
			"7   two lines [2J      -                     1m30s\n",
	))
}

// Guards against JSON that lacks rows or columns, or whose keys are not in the
// order of the columns.
func TestJSON(t *testing.T) {
	g := NewWithT(t)
	b, err := json.Marshal(sample())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(b)).To(Equal(`[{"id":41,"name":"café crème brûlée","due":"2026-12-04T06:00:00Z","run":"2h","by":"ines"},` +
		`{"id":7,"name":"two\nlines\u001b[2J","due":null,"run":"1m30s","by":""}]`))
	_, err = json.Marshal(Table{Columns: []string{"ratio"}, Rows: [][]any{{math.NaN()}}})
	g.Expect(err).To(HaveOccurred())
	b, err = json.Marshal(Table{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(b)).To(Equal("[]"))
}

// Guards against a value that is printed like a different one.
func TestCell(t *testing.T) {
	tests := []struct {
		give any
		want string
	}{
		{true, "yes"},
		{false, "no"},
		{1.5, "1.50"},
		{time.Duration(0), "-"},
		{30 * time.Minute, "30m"},
		{10 * time.Second, "10s"},
		{100 * time.Hour, "100h"},
		{time.Hour + time.Second, "1h0m1s"},
		{250 * time.Millisecond, "250ms"},
		{"", "-"},
	}
	for _, tt := range tests {
		NewWithT(t).Expect(FormatCell(tt.give)).To(Equal(tt.want))
	}
}
