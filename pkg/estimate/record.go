// Package estimate corrects declared run times by what tasks of the same queue
// really took.
//
// # Usage
//
//	r := estimate.New()
//	r.Observe("restyle", 2*time.Second)
//	d := r.Expect("restyle", declared)
package estimate

import (
	"sync"
	"time"
)

const (
	// weight is the share of a new observation in a queue's mean.
	weight = 0.1
	// enough is the number of observations from which the mean counts.
	enough = 3
)

// Record keeps the mean run time of each queue's tasks.
type Record struct {
	mu    sync.Mutex
	means map[string]mean
}

type mean struct {
	n     int
	value float64
}

// New returns an empty record.
func New() *Record { return &Record{means: map[string]mean{}} }

// Observe takes the run time of a task that finished without a resume.
func (r *Record) Observe(queue string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.means[queue]
	m.n++
	// The first observations weigh the same.
	w := max(weight, 1/float64(m.n))
	m.value += w * (took.Seconds() - m.value)
	r.means[queue] = m
}

// Expect returns the mean of the queue, or the declared run time as long as
// too little is known.
func (r *Record) Expect(queue string, declared time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.means[queue]
	if m.n < enough {
		return declared
	}
	return time.Duration(m.value * float64(time.Second))
}
