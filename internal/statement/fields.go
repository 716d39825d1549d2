package statement

import (
	"slices"
	"strings"

	"carawayshift.example/carawayshift"
)

// fieldNames lists the fields of a create or set statement.
func fieldNames(s Statement) []string {
	switch s.Object {
	case "team":
		return []string{"guarantee", "limit"}
	case "zone":
		return []string{"region"}
	}
	names := []string{"tasks", "accelerators", "cores", "memory", "run", "due", "urgent", "overnight"}
	if s.Verb == "set" {
		return append(names, "name")
	}
	return append(names, "team")
}

// setFields stores the fields in the statement's Team, Zone or JobFields.
func (b builder) setFields(s *Statement, fields []*field) error {
	switch s.Object {
	case "team":
		s.Team = &carawayshift.Team{Name: s.Name}
	case "zone":
		s.Zone = &carawayshift.Zone{Name: s.Name}
	case "job":
		s.JobFields = &carawayshift.Job{ID: s.JobID}
		if s.Verb == "create" {
			s.JobFields.Name = s.Name
		}
	}
	for _, f := range fields {
		if err := b.setField(s, f); err != nil {
			return err
		}
	}
	return nil
}

func (b builder) setField(s *Statement, f *field) error {
	key := strings.ToLower(f.Key + f.Flag)
	names := fieldNames(*s)
	if !slices.Contains(names, key) || slices.Contains(s.ChangedFields, key) {
		return b.errorAt(f.Pos.Offset, remainingFields(names, s.ChangedFields)...)
	}
	if key == "overnight" {
		s.JobFields.Urgent = false
		key = "urgent"
	} else if key == "urgent" {
		s.JobFields.Urgent = true
	}
	s.ChangedFields = append(s.ChangedFields, key)
	if f.Flag != "" {
		return nil
	}
	if key != "guarantee" && len(f.Values) > 1 {
		return b.errorAt(f.Values[1].Pos.Offset, "one value")
	}
	for i, w := range f.Values {
		if expected := b.setValue(s, key, i, w.Text); expected != "" {
			return b.errorAt(w.Pos.Offset, expected)
		}
	}
	return nil
}

// setValue stores a value of a field; i is its index in the field's list. It
// returns "", or what was expected when the value is invalid.
func (b builder) setValue(s *Statement, key string, i int, text string) string {
	switch key {
	case "guarantee":
		return b.setGuarantee(s, i, text)
	case "region":
		s.Zone.Region = text
	case "team":
		s.JobFields.Team = text
	case "name":
		s.JobFields.Name = text
	case "run":
		return b.setRun(s, text)
	case "due":
		return b.setDue(s, text)
	case "memory":
		return b.setMemory(s, text)
	default:
		return b.setNumber(s, key, text)
	}
	return ""
}

func (b builder) setGuarantee(s *Statement, i int, text string) string {
	if i == 0 && strings.EqualFold(text, "none") {
		return ""
	}
	if len(s.Team.Guarantee) < i {
		return "the end, because none stands alone"
	}
	c, ok := parseCells(text)
	if !ok {
		return "cells such as 2x8: a count and a power of two"
	}
	s.Team.Guarantee = append(s.Team.Guarantee, c)
	return ""
}

func (b builder) setRun(s *Statement, text string) string {
	d, ok := parseDuration(text)
	if !ok || d == 0 {
		return "a duration such as 90m, 2h or 1d"
	}
	s.JobFields.Declared = d
	return ""
}

func (b builder) setDue(s *Statement, text string) string {
	if s.Verb == "set" && strings.EqualFold(text, "none") {
		return ""
	}
	t, ok := parseTime(text, b.now, true)
	if !ok {
		return "a time in UTC such as 06:00, tomorrow or 2026-12-05T06:00"
	}
	s.JobFields.Due = t
	return ""
}

func (b builder) setMemory(s *Statement, text string) string {
	mb, ok := parseMemory(text)
	if !ok {
		return "an amount such as 64GB or 512MB"
	}
	s.JobFields.Memory = mb
	return ""
}

func (b builder) setNumber(s *Statement, key, text string) string {
	n, ok := parseCount(text)
	if !ok {
		return "a whole number"
	}
	switch key {
	case "limit":
		s.Team.RateLimit = n
		return ""
	case "cores":
		s.JobFields.Cores = n
		return ""
	case "tasks":
		s.JobFields.Tasks = n
	case "accelerators":
		s.JobFields.Accelerators = n
	}
	if n == 0 {
		return "1 or more"
	}
	return ""
}

// remainingFields returns the names that are not in used. When none is left, it
// returns the words that can follow the fields.
func remainingFields(names, used []string) []string {
	var rest []string
	for _, w := range names {
		if !slices.Contains(used, w) {
			rest = append(rest, w)
		}
	}
	if len(rest) == 0 {
		return []string{"because", "if", "the end"}
	}
	return rest
}
