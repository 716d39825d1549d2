package statement

import (
	"slices"

	"carawayshift.example/carawayshift"
)

// columnKind determines how a value of a filter is parsed and compared.
type columnKind int

const (
	textColumn columnKind = iota
	numberColumn
	durationColumn
	timeColumn
	// futureTimeColumn holds times that are usually in the future, so the time
	// of day 06:00 means the next one.
	futureTimeColumn
	boolColumn
)

type column struct {
	name string
	kind columnKind
	// hidden columns can be used in filters and are in JSON, but not in text.
	hidden bool
	// values lists the valid values of a text column; empty allows any.
	values []string
}

type table struct {
	name     string
	singular string
	// keyColumn is the column by which "show job 41" selects; sinceColumn is
	// the time column that "since" compares. Either may be empty.
	keyColumn   string
	sinceColumn string
	columns     []column
}

var jobStates = []string{
	string(carawayshift.JobWaiting), string(carawayshift.JobPlaced), string(carawayshift.JobRunning),
	string(carawayshift.JobStopping), string(carawayshift.JobFinished), string(carawayshift.JobCancelled),
	string(carawayshift.JobHeld), string(carawayshift.JobParked),
}

var tables = []table{
	{name: "jobs", singular: "job", keyColumn: "id", sinceColumn: "submitted", columns: []column{
		{name: "id", kind: numberColumn},
		{name: "name"},
		{name: "team"},
		{name: "state", values: jobStates},
		{name: "tasks", kind: numberColumn},
		{name: "accelerators", kind: numberColumn},
		{name: "urgent", kind: boolColumn},
		{name: "due", kind: futureTimeColumn},
		{name: "run", kind: durationColumn},
		{name: "zone"},
		{name: "started", kind: timeColumn},
		{name: "notes", kind: numberColumn},
		{name: "reason"},
		{name: "size", kind: numberColumn, hidden: true},
		{name: "cores", kind: numberColumn, hidden: true},
		{name: "memory", kind: numberColumn, hidden: true},
		{name: "attempt", kind: numberColumn, hidden: true},
		{name: "failures", kind: numberColumn, hidden: true},
		{name: "borrowed", kind: boolColumn, hidden: true},
		{name: "checkpoint", kind: durationColumn, hidden: true},
		{name: "submitted", kind: timeColumn, hidden: true},
		{name: "ended", kind: timeColumn, hidden: true},
		{name: "by", hidden: true},
	}},
	{name: "teams", singular: "team", keyColumn: "name", columns: []column{
		{name: "name"},
		{name: "guarantee"},
		{name: "accelerators", kind: numberColumn},
		{name: "used", kind: numberColumn},
		{name: "borrowed", kind: numberColumn},
		{name: "waiting", kind: numberColumn},
		{name: "limit", kind: numberColumn},
		{name: "ratio", kind: numberColumn},
		{name: "notes", kind: numberColumn},
	}},
	{name: "guarantees", singular: "guarantee", keyColumn: "team", columns: []column{
		{name: "team"},
		{name: "size", kind: numberColumn},
		{name: "count", kind: numberColumn},
		{name: "missing", kind: numberColumn},
		{name: "state", values: []string{"met", "short"}},
	}},
	{name: "zones", singular: "zone", keyColumn: "name", sinceColumn: "changed", columns: []column{
		{name: "name"},
		{name: "region"},
		{name: "state", values: []string{"in", "out"}},
		{name: "changed", kind: timeColumn},
		{name: "by"},
		{name: "because"},
		{name: "workers", kind: numberColumn},
		{name: "accelerators", kind: numberColumn},
		{name: "free", kind: numberColumn},
		{name: "jobs", kind: numberColumn},
		{name: "notes", kind: numberColumn},
	}},
	{name: "workers", singular: "worker", keyColumn: "name", sinceColumn: "seen", columns: []column{
		{name: "name"},
		{name: "zone"},
		{name: "rack"},
		{name: "state", values: []string{"ready", "leaving", "quarantined"}},
		{name: "accelerators", kind: numberColumn},
		{name: "free", kind: numberColumn},
		{name: "cores", kind: numberColumn},
		{name: "memory", kind: numberColumn},
		{name: "tasks", kind: numberColumn},
		{name: "seen", kind: timeColumn},
		{name: "notes", kind: numberColumn},
		{name: "address", hidden: true},
	}},
	{name: "runners", singular: "runner", keyColumn: "name", sinceColumn: "seen", columns: []column{
		{name: "name"},
		{name: "zone"},
		{name: "service"},
		{name: "state", values: []string{"ready", "leaving"}},
		{name: "slots", kind: numberColumn},
		{name: "connections", kind: numberColumn},
		{name: "seen", kind: timeColumn},
		{name: "notes", kind: numberColumn},
		{name: "address", hidden: true},
	}},
	{name: "hosts", singular: "host", keyColumn: "name", columns: []column{
		{name: "name"},
		{name: "version", kind: numberColumn},
		{name: "state", values: []string{"current", "behind"}},
		{name: "age", kind: durationColumn},
		{name: "notes", kind: numberColumn},
	}},
	{name: "notes", singular: "note", keyColumn: "id", sinceColumn: "at", columns: []column{
		{name: "id", kind: numberColumn},
		{name: "at", kind: timeColumn},
		{name: "by"},
		{name: "on"},
		{name: "text"},
	}},
	{name: "quarantine", keyColumn: "worker", columns: []column{
		{name: "worker"},
		{name: "until", kind: futureTimeColumn},
		{name: "state", values: []string{"active", "ended"}},
		{name: "notes", kind: numberColumn},
	}},
	{name: "config", keyColumn: "key", columns: []column{
		{name: "key"},
		{name: "value"},
	}},
	{name: "version", columns: []column{
		{name: "version", kind: numberColumn},
		{name: "index", kind: numberColumn},
		{name: "leader"},
		{name: "term", kind: numberColumn},
	}},
}

// Columns returns the names of a table's columns in the order of its rows. The
// first textColumns of them are printed as text.
func Columns(name string) (names []string, textColumns int) {
	t, ok := tableByName(name)
	if !ok {
		return nil, 0
	}
	for _, c := range t.columns {
		names = append(names, c.name)
		if !c.hidden {
			textColumns++
		}
	}
	return names, textColumns
}

func tableByName(name string) (table, bool) {
	i := slices.IndexFunc(tables, func(t table) bool { return t.name == name || t.singular == name })
	if i < 0 {
		return table{}, false
	}
	return tables[i], true
}

func (t table) columnIndex(name string) int {
	return slices.IndexFunc(t.columns, func(c column) bool { return c.name == name })
}

func tableNames() []string {
	var names []string
	for _, t := range tables {
		names = append(names, t.name)
	}
	return names
}

func (t table) columnNames() []string {
	names, _ := Columns(t.name)
	return names
}
