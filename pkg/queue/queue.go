// Package queue holds requests that wait for a slot, ordered by urgency and
// arrival, and sheds those that can't meet their deadline.
//
// # Usage
//
//	q := queue.New(queue.Config{Estimate: balancer.Estimate})
//	balancer.OnFree(q.Wake)
//	err := q.Wait(ctx, queue.Entry{Service: "fit", Urgent: true, Deadline: d, Acquire: pick})
//
// Acquire is called with the queue's lock held, when the entry is at the head of
// the queue. It takes a slot and returns true, or returns false if none is
// free. It must not block or call the queue.
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
	// maxWaitShare is the fraction of the time to the deadline after which a
	// waiting request is refused, so that its caller still has time to try
	// elsewhere.
	maxWaitShare = 0.5
	// lookahead is how many entries are tried when those at the head are
	// blocked. A retry that excludes runners can be blocked while others are
	// not.
	lookahead = 4
)

// Config holds the settings of a Queue. Zero values select the defaults.
type Config struct {
	// Limit is the maximum number of waiting entries.
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

	mu       sync.Mutex
	services map[string]*serviceQueue
	size     int
}

// serviceQueue holds the waiting requests of one service, urgent ones first.
type serviceQueue struct {
	classes [2][]*waiter
}

type waiter struct {
	Entry
	result chan error
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Limit <= 0 {
		cfg.Limit = defaultLimit
	}
	if cfg.Estimate == nil {
		cfg.Estimate = func(string) (time.Duration, float64) { return 0, 0 }
	}
	return &Queue{cfg: cfg, services: map[string]*serviceQueue{}}
}

// Wait returns nil when Acquire has succeeded. An error of kind NotRun means
// that the entry was refused; the context's error means that the caller has
// disconnected.
func (q *Queue) Wait(ctx context.Context, e Entry) error {
	w, err := q.enqueue(e)
	if w == nil {
		return err
	}
	timer := time.NewTimer(time.Until(q.refusalTime(e)))
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return q.remove(w, ctx.Err())
	case <-timer.C:
		return q.remove(w, shedError("no slot became free within half of the time to the deadline"))
	}
}

// enqueue tries to take a slot immediately and otherwise appends a waiter. It
// returns no waiter if the entry got a slot or was refused.
func (q *Queue) enqueue(e Entry) (*waiter, error) {
	mean, slots := q.cfg.Estimate(e.Service)
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.queueOf(e.Service)
	ahead := s.ahead(e.Urgent)
	if ahead < lookahead && e.Acquire() {
		return nil, nil
	}
	if !canMeetDeadline(e, ahead, mean, slots) {
		return nil, shedError("the expected wait in the queue exceeds the deadline")
	}
	if q.size >= q.cfg.Limit && !q.evict(s, e) {
		return nil, shedError("the queue is full")
	}
	w := &waiter{Entry: e, result: make(chan error, 1)}
	c := class(e.Urgent)
	s.classes[c] = append(s.classes[c], w)
	q.size++
	return w, nil
}

func (q *Queue) queueOf(service string) *serviceQueue {
	s := q.services[service]
	if s == nil {
		s = &serviceQueue{}
		q.services[service] = s
	}
	return s
}

func class(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

func (s *serviceQueue) ahead(urgent bool) int {
	n := len(s.classes[0])
	if !urgent {
		n += len(s.classes[1])
	}
	return n
}

// canMeetDeadline reports whether an entry with the given number of entries
// ahead is expected to get a slot before it would be refused.
func canMeetDeadline(e Entry, ahead int, mean time.Duration, slots float64) bool {
	left := time.Until(e.Deadline)
	if left <= 0 {
		return false
	}
	if mean <= 0 || slots <= 0 {
		return true
	}
	wait := time.Duration(float64(ahead+1) * float64(mean) / slots)
	return wait <= time.Duration(maxWaitShare*float64(left)) && wait+mean <= left
}

// refusalTime returns when a waiting entry is refused.
func (q *Queue) refusalTime(e Entry) time.Time {
	now := time.Now()
	left := e.Deadline.Sub(now)
	return now.Add(time.Duration(maxWaitShare * float64(left)))
}

// evict makes room for an urgent entry: it refuses the newest entry of the
// same service that is not urgent.
func (q *Queue) evict(s *serviceQueue, e Entry) bool {
	c := s.classes[1]
	if !e.Urgent || len(c) == 0 {
		return false
	}
	w := c[len(c)-1]
	s.classes[1] = c[:len(c)-1]
	q.size--
	w.result <- shedError("the queue is full and an urgent request arrived")
	return true
}

// remove removes w and returns err. If w has a result already, such as a slot
// that it got at the same moment, remove returns that result.
func (q *Queue) remove(w *waiter, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := &q.queueOf(w.Service).classes[class(w.Urgent)]
	for i, x := range *c {
		if x == w {
			*c = append((*c)[:i], (*c)[i+1:]...)
			q.size--
			return err
		}
	}
	return <-w.result
}

// Wake lets the waiting entries of a service try to take slots.
func (q *Queue) Wake(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.services[service]; s != nil {
		q.wakeWaiters(s)
	}
}

// WakeAll lets the waiting entries of all services try to take slots.
func (q *Queue) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.services {
		q.wakeWaiters(s)
	}
}

func (q *Queue) wakeWaiters(s *serviceQueue) {
	for i := range s.classes {
		blocked := 0
		for blocked < lookahead && blocked < len(s.classes[i]) {
			w := s.classes[i][blocked]
			if !w.Acquire() {
				blocked++
				continue
			}
			s.classes[i] = append(s.classes[i][:blocked], s.classes[i][blocked+1:]...)
			q.size--
			w.result <- nil
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

func shedError(text string) error {
	return carawayshift.NewError(carawayshift.NotRun, text, "send it again later or with a longer deadline")
}
