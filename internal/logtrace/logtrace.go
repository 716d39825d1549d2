// Package logtrace reads the log files of several processes and tells what
// happened to a request: its events in the order of time, the gaps between
// them, and the most likely cause of a bad end.
//
// # Usage
//
//	var book logtrace.Book
//	err := book.Read(file)  // for each file; ".gz" names are unpacked by Open
//	story, ok := book.Story("5c0e7a21d94b36f8")
//	fmt.Print(story)
//
// Lines that can't be read are counted and passed over. Text before the first
// brace of a line, such as a collector's time and host, is ignored.
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

// maxLine is the longest line that is read whole.
const maxLine = 1 << 20

// Event is one log line.
type Event struct {
	At    time.Time `json:"at"`
	Host  string    `json:"host"`
	Event string    `json:"event"`
	// Batch is the request that the line is about, "" for none.
	Batch string         `json:"batch,omitempty"`
	Text  string         `json:"text"`
	Data  map[string]any `json:"data,omitempty"`
}

// Log holds the events of all files.
type Log struct {
	Events []Event
	// Unreadable counts the lines that could not be read.
	Unreadable int
}

// Open reads a file, which may be compressed.
func (b *Log) Open(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "logtrace.Open")
	}
	defer f.Close()
	if !strings.HasSuffix(path, ".gz") {
		return b.Read(f)
	}
	z, err := gzip.NewReader(f)
	if err != nil {
		return errors.Wrapf(err, "logtrace.Open: %s is not compressed", path)
	}
	return b.Read(z)
}

// Read adds the lines of one process. A file that ends in the middle gives
// what was read of it.
func (b *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		b.add(s.Bytes())
	}
	err := s.Err()
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, bufio.ErrTooLong) {
		b.Unreadable++
		return nil
	}
	return errors.Wrap(err, "logtrace.Read")
}

func (b *Log) add(line []byte) {
	i := bytes.IndexByte(line, '{')
	if i < 0 {
		if len(bytes.TrimSpace(line)) > 0 {
			b.Unreadable++
		}
		return
	}
	var data map[string]any
	if json.Unmarshal(line[i:], &data) != nil {
		b.Unreadable++
		return
	}
	e := Event{Data: data, Host: text(data, "host"), Event: text(data, "event"), Text: text(data, "msg"), Batch: text(data, "batch")}
	if e.Batch == "" {
		e.Batch, _, _ = strings.Cut(text(data, "task"), ".")
	}
	at, err := time.Parse(time.RFC3339Nano, text(data, "time"))
	if err != nil {
		b.Unreadable++
		return
	}
	e.At = at
	for _, k := range []string{"host", "event", "msg", "time", "level", "part", "batch"} {
		delete(e.Data, k)
	}
	b.Events = append(b.Events, e)
}

func text(data map[string]any, key string) string {
	s, _ := data[key].(string)
	return s
}

// sorted returns the events in the order of time.
func (b *Log) sorted() []Event {
	list := slices.Clone(b.Events)
	slices.SortStableFunc(list, func(x, y Event) int { return x.At.Compare(y.At) })
	return list
}

// Timeline returns what is known of a batch.
func (b *Log) Timeline(id string) (Timeline, bool) {
	s := Timeline{ID: id}
	all := b.sorted()
	for _, e := range all {
		if e.Batch == id {
			s.Events = append(s.Events, e)
		}
	}
	if len(s.Events) == 0 {
		return s, false
	}
	s.Cause = s.cause(all)
	return s, true
}

// Slowest returns the batches with the longest time from their acceptance to
// their last recorded end, longest first.
func (b *Log) Slowest(n int) []Timeline {
	return b.worst(n, func(s Timeline) bool { return s.Elapsed() > 0 }, func(x, y Timeline) int { return cmp.Compare(y.Elapsed(), x.Elapsed()) })
}

// Refused returns the batches whose submission was answered with an error,
// oldest first.
func (b *Log) Refused(n int) []Timeline {
	return b.worst(n, func(s Timeline) bool { return s.refusal() != nil }, func(x, y Timeline) int { return x.Events[0].At.Compare(y.Events[0].At) })
}

func (b *Log) worst(n int, keep func(Timeline) bool, order func(x, y Timeline) int) []Timeline {
	all := b.sorted()
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
	for _, s := range byID {
		if keep(*s) {
			list = append(list, *s)
		}
	}
	slices.SortFunc(list, func(x, y Timeline) int { return cmp.Or(order(x, y), cmp.Compare(x.ID, y.ID)) })
	list = list[:min(n, len(list))]
	for i := range list {
		list[i].Cause = list[i].cause(all)
	}
	return list
}
