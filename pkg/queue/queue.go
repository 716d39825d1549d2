// Package queue holds requests that wait for a slot, ordered by urgency and
// arrival, and sheds those that can't meet their deadline.
//
// # Usage
//
//	q := queue.New(queue.Config{Expect: balancer.Expect})
//	balancer.OnFree(q.Wake)
//	err := q.Wait(ctx, queue.Entry{Service: "fit", Urgent: true, Deadline: d, Try: pick})
//
// Try is called with the queue's lock held, when the entry is first in line. It
// takes a slot and returns true, or returns false. It must not block or call
// the queue.
package queue

import (
	"context"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// defaultLimit bounds the memory of waiting requests at one host.
	defaultLimit = 4096
	// refusalShare is the part of the time to the deadline after which a
	// waiting request is refused, so that its caller can still turn elsewhere.
	refusalShare = 0.5
	// lookahead is how many entries behind a blocked head are tried. A retry
	// that excludes runners can be blocked while others are not.
	lookahead = 4
)

// Config holds the settings of a Queue. Zero values take the defaults.
type Config struct {
	// Limit is the largest number of waiting entries.
	Limit int
	// Estimate returns the mean time of a request of the service, or 0 if
	// unknown, and the number of requests that can run at once.
	Estimate func(service string) (mean time.Duration, slots float64)
}

// Entry is one waiting request.
type Entry struct {
	Service  string
	Urgent   bool
	Deadline time.Time
	Acquire  func() bool
}

// Queue holds the waiting requests of one host.
type Queue struct {
	cfg Config

	mu    sync.Mutex
	lines map[string]*line
	size  int
}

// line holds the waiting requests of one service, urgent ones first.
type line struct {
	classes [2][]*waiter
}

type waiter struct {
	Entry
	end chan error
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Limit <= 0 {
		cfg.Limit = defaultLimit
	}
	if cfg.Estimate == nil {
		cfg.Estimate = func(string) (time.Duration, float64) { return 0, 0 }
	}
	return &Queue{cfg: cfg, lines: map[string]*line{}}
}

// Wait returns nil when Try has succeeded. An error of kind NotRun says that
// the entry was shed; the context's error that the caller has gone.
func (q *Queue) Wait(ctx context.Context, e Entry) error {
	w, err := q.enter(e)
	if w == nil {
		return err
	}
	timer := time.NewTimer(time.Until(q.latest(e)))
	defer timer.Stop()
	select {
	case err := <-w.end:
		return err
	case <-ctx.Done():
		return q.leave(w, ctx.Err())
	case <-timer.C:
		return q.leave(w, shed("the queue did not move in time"))
	}
}

// enter tries to take a slot at once and otherwise appends a waiter. It
// returns no waiter if the end is known.
func (q *Queue) enter(e Entry) (*waiter, error) {
	mean, slots := q.cfg.Estimate(e.Service)
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.line(e.Service)
	ahead := l.ahead(e.Urgent)
	if ahead < lookahead && e.Acquire() {
		return nil, nil
	}
	if !meets(e, ahead, mean, slots) {
		return nil, shed("the queue is longer than the deadline allows")
	}
	if q.size >= q.cfg.Limit && !q.evict(l, e) {
		return nil, shed("the queue is full")
	}
	w := &waiter{Entry: e, end: make(chan error, 1)}
	c := class(e.Urgent)
	l.classes[c] = append(l.classes[c], w)
	q.size++
	return w, nil
}

func (q *Queue) line(service string) *line {
	l := q.lines[service]
	if l == nil {
		l = &line{}
		q.lines[service] = l
	}
	return l
}

func class(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

func (l *line) ahead(urgent bool) int {
	n := len(l.classes[0])
	if !urgent {
		n += len(l.classes[1])
	}
	return n
}

// meets reports whether an entry behind ahead others is expected to get its
// slot before it would be refused.
func meets(e Entry, ahead int, mean time.Duration, slots float64) bool {
	left := time.Until(e.Deadline)
	if left <= 0 {
		return false
	}
	if mean <= 0 || slots <= 0 {
		return true
	}
	wait := time.Duration(float64(ahead+1) * float64(mean) / slots)
	return wait <= time.Duration(refusalShare*float64(left)) && wait+mean <= left
}

// latest returns the time at which a waiting entry is refused.
func (q *Queue) latest(e Entry) time.Time {
	now := time.Now()
	left := e.Deadline.Sub(now)
	return now.Add(time.Duration(refusalShare * float64(left)))
}

// evict makes room for an urgent entry by shedding the newest overnight one.
func (q *Queue) evict(l *line, e Entry) bool {
	c := l.classes[1]
	if !e.Urgent || len(c) == 0 {
		return false
	}
	w := c[len(c)-1]
	l.classes[1] = c[:len(c)-1]
	q.size--
	w.end <- shed("an urgent request took the place")
	return true
}

// leave removes w. If w got its slot at the same moment, the slot counts.
func (q *Queue) leave(w *waiter, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := &q.line(w.Service).classes[class(w.Urgent)]
	for i, x := range *c {
		if x == w {
			*c = append((*c)[:i], (*c)[i+1:]...)
			q.size--
			return err
		}
	}
	return <-w.end
}

// Wake lets waiting entries of a service try to take slots.
func (q *Queue) Wake(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.lines[service]; l != nil {
		q.serve(l)
	}
}

// WakeAll lets the waiting entries of all services try to take slots.
func (q *Queue) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lines {
		q.serve(l)
	}
}

func (q *Queue) serve(l *line) {
	for i := range l.classes {
		blocked := 0
		for blocked < lookahead && blocked < len(l.classes[i]) {
			w := l.classes[i][blocked]
			if !w.Acquire() {
				blocked++
				continue
			}
			l.classes[i] = append(l.classes[i][:blocked], l.classes[i][blocked+1:]...)
			q.size--
			w.end <- nil
		}
		if blocked > 0 {
			return
		}
	}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size
}

func shed(text string) error {
	return carawayshift.NewError(carawayshift.NotRun, text, "send it again later or with a longer deadline")
}
