// Package logtrace reads the log files of several processes and reconstructs what
// happened to a batch: its events sorted by time, the time between them, and the
// most likely cause of an error or a delay.
//
// # Usage
//
//	var log logtrace.Log
//	err := log.Open(path)  // for each file; files named ".gz" are decompressed
//	timeline, ok := log.Timeline("5c0e7a21d94b36f8")
//	fmt.Print(timeline)
//
// Lines that can't be parsed are counted and skipped. Text before the first
// brace of a line, such as the time and host that a log collector adds, is
// ignored.
package logtrace

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a line; reading a file stops at a longer
// one.
const maxLineBytes = 1 << 20

// Event is one log line.
type Event struct {
	At    time.Time `json:"at"`
	Host  string    `json:"host"`
	Event string    `json:"event"`
	// Batch is the id of the batch that the line is about, "" for none.
	Batch string         `json:"batch,omitempty"`
	Text  string         `json:"text"`
	Data  map[string]any `json:"data,omitempty"`
}

// Log holds the events of all files that were read.
type Log struct {
	Events []Event
	// Unreadable counts the lines that could not be parsed and the files that
	// could not be read to the end.
	Unreadable int
}

// Open reads a file. One whose name ends in ".gz" is decompressed.
func (l *Log) Open(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "logtrace.Open")
	}
	defer f.Close()
	if !strings.HasSuffix(path, ".gz") {
		return l.Read(f)
	}
	z, err := gzip.NewReader(f)
	if err != nil {
		return errors.Wrapf(err, "logtrace.Open: %s is not a gzip file", path)
	}
	return l.Read(z)
}

// Read adds the lines of one process. A truncated compressed stream is not an
// error: the lines before its end are kept.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l.addLine(s.Bytes())
	}
	err := s.Err()
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, bufio.ErrTooLong) {
		l.Unreadable++
		return nil
	}
	return errors.Wrap(err, "logtrace.Read")
}

func (l *Log) addLine(line []byte) {
	i := bytes.IndexByte(line, '{')
	if i < 0 {
		if len(bytes.TrimSpace(line)) > 0 {
			l.Unreadable++
		}
		return
	}
	var data map[string]any
	if json.Unmarshal(line[i:], &data) != nil {
		l.Unreadable++
		return
	}
	e := Event{Data: data, Host: stringField(data, "host"), Event: stringField(data, "event"), Text: stringField(data, "msg"), Batch: stringField(data, "batch")}
	if e.Batch == "" {
		e.Batch, _, _ = strings.Cut(stringField(data, "task"), ".")
	}
	at, err := time.Parse(time.RFC3339Nano, stringField(data, "time"))
	if err != nil {
		l.Unreadable++
		return
	}
	e.At = at
	for _, k := range []string{"host", "event", "msg", "time", "level", "part", "batch"} {
		delete(e.Data, k)
	}
	l.Events = append(l.Events, e)
}

func stringField(data map[string]any, key string) string {
	s, _ := data[key].(string)
	return s
}

// sorted returns the events sorted by time.
func (l *Log) sorted() []Event {
	list := slices.Clone(l.Events)
	slices.SortStableFunc(list, func(x, y Event) int { return x.At.Compare(y.At) })
	return list
}

// Timeline returns the events of a batch and their likely cause, or false if the
// log has no event of it.
func (l *Log) Timeline(id string) (Timeline, bool) {
	t := Timeline{ID: id}
	all := l.sorted()
	for _, e := range all {
		if e.Batch == id {
			t.Events = append(t.Events, e)
		}
	}
	if len(t.Events) == 0 {
		return t, false
	}
	t.Cause = t.cause(all)
	return t, true
}

// Slowest returns up to n batches with the longest time from acceptance to the
// last recorded end of a run, longest first.
func (l *Log) Slowest(n int) []Timeline {
	return l.selectTimelines(n, func(t Timeline) bool { return t.Elapsed() > 0 }, func(x, y Timeline) int { return cmp.Compare(y.Elapsed(), x.Elapsed()) })
}

// Refused returns up to n batches whose submission was answered with an error,
// oldest first.
func (l *Log) Refused(n int) []Timeline {
	return l.selectTimelines(n, func(t Timeline) bool { return t.refusal() != nil }, func(x, y Timeline) int { return x.Events[0].At.Compare(y.Events[0].At) })
}

// selectTimelines returns up to n matching timelines in the order of compare, with
// their causes.
func (l *Log) selectTimelines(n int, match func(Timeline) bool, compare func(x, y Timeline) int) []Timeline {
	all := l.sorted()
	byID := map[string]*Timeline{}
	var list []Timeline
	for _, e := range all {
		if e.Batch == "" {
			continue
		}
		if byID[e.Batch] == nil {
			byID[e.Batch] = &Timeline{ID: e.Batch}
		}
		byID[e.Batch].Events = append(byID[e.Batch].Events, e)
	}
	for _, t := range byID {
		if match(*t) {
			list = append(list, *t)
		}
	}
	slices.SortFunc(list, func(x, y Timeline) int { return cmp.Or(compare(x, y), cmp.Compare(x.ID, y.ID)) })
	list = list[:min(n, len(list))]
	for i := range list {
		list[i].Cause = list[i].cause(all)
	}
	return list
}
