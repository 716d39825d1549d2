package statement

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

var now = time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)

// Guards against a documented form of statement that is parsed wrongly.
func TestParse(t *testing.T) {
	six := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	tests := []struct {
		give string
		want Statement
	}{
		{"why job 41", Statement{Verb: "why", Object: "job", JobID: 41}},
		{"WHY 41", Statement{Verb: "why", Object: "job", JobID: 41}},
		{`note "a \"b\""`, Statement{Verb: "note", Text: `a "b"`}},
		{`note on job 41 "x"`, Statement{Verb: "note", Object: "job", Name: "41", JobID: 41, Text: "x"}},
		{`note on worker w7 "x"`, Statement{Verb: "note", Object: "worker", Name: "w7", Text: "x"}},
		{"create team carnival guarantee 2x8, 1x32", Statement{
			Verb: "create", Object: "team", Name: "carnival", ChangedFields: []string{"guarantee"},
			Team: &carawayshift.Team{Name: "carnival", Guarantee: []carawayshift.CellCount{{Count: 2, Size: 8}, {Count: 1, Size: 32}}},
		}},
		{"create zone belmont region north", Statement{
			Verb: "create", Object: "zone", Name: "belmont", ChangedFields: []string{"region"},
			Zone: &carawayshift.Zone{Name: "belmont", Region: "north"},
		}},
		{"create job mask-render team carnival tasks 4 accelerators 8 cores 8 memory 64GB run 2h due 06:00 urgent", Statement{
			Verb: "create", Object: "job", Name: "mask-render",
			ChangedFields: []string{"team", "tasks", "accelerators", "cores", "memory", "run", "due", "urgent"},
			JobFields: &carawayshift.Job{
				Name: "mask-render", Team: "carnival", Tasks: 4, Accelerators: 8, Cores: 8, Memory: 65536,
				Declared: 2 * time.Hour, Due: six, Urgent: true,
			},
		}},
		{"set team carnival limit 0", Statement{
			Verb: "set", Object: "team", Name: "carnival", ChangedFields: []string{"limit"}, Team: &carawayshift.Team{Name: "carnival"},
		}},
		{"set job 41 due none overnight", Statement{
			Verb: "set", Object: "job", Name: "41", JobID: 41, ChangedFields: []string{"due", "urgent"}, JobFields: &carawayshift.Job{ID: 41},
		}},
		{"set job 41 due 00:30", Statement{
			Verb: "set", Object: "job", Name: "41", JobID: 41, ChangedFields: []string{"due"},
			JobFields: &carawayshift.Job{ID: 41, Due: time.Date(2026, 12, 5, 0, 30, 0, 0, time.UTC)},
		}},
		{"set config objective = packing if version 7", Statement{
			Verb: "set", Object: "config", Name: "objective", Value: "packing", IfVersion: 7,
		}},
		{`drain zone belmont because "switch swap at 02:00"`, Statement{
			Verb: "drain", Object: "zone", Name: "belmont", Zone: &carawayshift.Zone{Name: "belmont"}, Reason: "switch swap at 02:00",
		}},
		{`hold job 3 if version 2 because "x"`, Statement{Verb: "hold", Object: "job", Name: "3", JobID: 3, IfVersion: 2, Reason: "x"}},
		{"release worker w7", Statement{Verb: "release", Object: "worker", Name: "w7"}},
		{"explain drain zone x", Statement{Verb: "explain", Text: "drain zone x"}},
		{"help drain", Statement{Verb: "help", Text: "drain"}},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			g := NewWithT(t)
			got, err := Parse(tt.give, now)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(tt.want))
		})
	}
}

// Guards against an error at the wrong position or without a suggestion.
func TestParseError(t *testing.T) {
	tests := []struct {
		give     string
		position int
		want     string // the suggestion, or else a part of what is expected
	}{
		{"", 1, "show"},
		{"shwo jobs", 1, "show"},
		{"show jbos", 6, "jobs"},
		{"show jobs whre state = waiting", 11, "where"},
		{"show jobs where stat = waiting", 17, "state"},
		{"show jobs where state = wating", 25, "waiting"},
		{"show jobs where state", 22, "!="},
		{"show jobs where due < soon", 23, "06:00"},
		{"show jobs where (id = 1", 24, ")"},
		{"show jobs limit 0", 17, "1 or more"},
		{"show teams since today", 18, "no time"},
		{`show jobs because "x"`, 11, "the end"},
		{"why job forty", 9, "a job number"},
		{"create team a guarantee 2x8, 1x33", 30, "power of two"},
		{"set team a guarantee none, 2x8", 28, "none stands alone"},
		{"create job a team b tsks 4", 21, "tasks"},
		{"create job a team b tasks 4", 28, "accelerators"},
		{"create job a team b tasks 4 tasks 4", 29, "accelerators"},
		{"create zon belmont", 8, "zone"},
		{"set config objective", 21, "="},
		{"cancel jobs", 12, "where"},
		{"drain zone “belmont”", 12, "straight"},
		{`note "unfinished`, 6, "closing"},
		{"hold job 1 if version x", 23, "a version number"},
		{"explain", 8, "rule"},
		{"show \x00jobs", 6, "printable"},
		{strings.Repeat("show jobs ", 500), MaxLength, "4,096"},
	}
	for _, tt := range tests {
		t.Run(tt.give[:min(len(tt.give), 40)], func(t *testing.T) {
			g := NewWithT(t)
			_, err := Parse(tt.give, now)
			parseErr := AsParseError(err)
			g.Expect(parseErr).NotTo(BeNil())
			g.Expect(parseErr.Position).To(Equal(tt.position))
			g.Expect(parseErr.Suggestion + " " + strings.Join(parseErr.Expected, " ")).To(ContainSubstring(tt.want))
			g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.Malformed))
		})
	}
}

// Guards against examples in help and in remedies that do not parse.
func TestFormsParse(t *testing.T) {
	for _, f := range forms {
		_, err := Parse(f.example, now)
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), f.example)
	}
}

func quarantineRow(worker string, hours int, state string, notes int) []any {
	until := time.Time{}
	if hours != 0 {
		until = now.Add(time.Duration(hours) * time.Hour)
	}
	return []any{worker, until, state, notes}
}

// Guards against a filter or an order that uses the wrong column or type, or
// the wrong precedence of "and" and "or".
func TestSelect(t *testing.T) {
	rows := [][]any{
		quarantineRow("w10", 3, "active", 10), quarantineRow("w2", -3, "ended", 9),
		quarantineRow("w3", 6, "active", 0), quarantineRow("w4", 0, "ended", 2),
	}
	tests := []struct {
		give string
		want string
	}{
		{"", "w10 w2 w3 w4"},
		{"w3", "w3"},
		{"where notes > 9", "w10"},
		{"where notes >= 9 order by notes", "w2 w10"},
		{"order by notes desc limit 2", "w10 w2"},
		{"where state = active and notes = 0 or worker = w2", "w2 w3"},
		{"where state = active and (notes = 0 or worker = w2)", "w3"},
		{"where until < 05:00", "w10 w2"},
		{"where until = none", "w4"},
		{"where state != ACTIVE", "w2 w4"},
		{"order by state desc, worker", "w2 w4 w10 w3"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			g := NewWithT(t)
			s, err := Parse("show quarantine "+tt.give, now)
			g.Expect(err).NotTo(HaveOccurred())
			var names []string
			for _, row := range s.Select(rows) {
				names = append(names, row[0].(string))
			}
			g.Expect(strings.Join(names, " ")).To(Equal(tt.want))
		})
	}
}

// Guards against a relative time that is resolved in the wrong direction.
func TestRelativeTimes(t *testing.T) {
	g := NewWithT(t)
	yesterday := []any{1, now.Add(-20 * time.Hour), "ines", "", "x"}
	before := []any{2, now.Add(-30 * time.Hour), "ines", "", "x"}
	for give, want := range map[string]int{"yesterday": 1, "2d": 2, "30m": 0, "05:00": 1, "2026-12-02": 2} {
		s, err := Parse("show notes since "+give, now)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Select([][]any{yesterday, before})).To(HaveLen(want), give)
	}
}

// Guards against text that crashes the parser, and against an error that has
// its position outside the text, or no expectation or form.
func FuzzParse(f *testing.F) {
	for _, form := range forms {
		f.Add(form.example)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text, now)
		if err == nil {
			s.Select(nil)
			return
		}
		parseErr := AsParseError(err)
		if parseErr == nil || parseErr.Position < 1 || parseErr.Position > len(text)+1 || len(parseErr.Expected) == 0 || parseErr.NearestForm == "" {
			t.Fatalf("%q: %v", text, err)
		}
	})
}
