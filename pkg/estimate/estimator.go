// Package estimate corrects declared run times, based on the measured run times
// of earlier tasks of the same queue.
//
// # Usage
//
//	e := estimate.New()
//	e.Observe("restyle", declared, 2*time.Second)
//	d := e.Estimate("restyle", declared)
//
// All computations use logarithms, because run times differ from each other and
// from their declarations by factors. An estimate combines the queue's mean run
// time with the corrected declaration, each weighted by how well it predicted
// earlier run times of the queue.
package estimate

import (
	"math"
	"sync"
	"time"
)

const (
	// weight is the weight of a new observation in the moving averages.
	weight = 0.1
	// minObservations is the number of observations from which a mean is used.
	minObservations = 3
	// minVariance is a lower bound for the variance of a logarithm; smaller
	// observed variances are not trusted.
	minVariance = 1e-4
)

// Estimator estimates run times from those observed in each queue. Its methods
// may be called from any goroutine.
type Estimator struct {
	mu     sync.Mutex
	queues map[string]history
}

// history holds the logarithms of a queue's run times, and of the factors by
// which they differed from the declarations.
type history struct {
	runTimes, factors average
}

// average is an exponentially weighted mean and variance.
type average struct {
	n              int
	mean, variance float64
}

// New returns an Estimator without observations.
func New() *Estimator { return &Estimator{queues: map[string]history{}} }

// Observe records the run time of a task that finished. Tasks that resumed from
// a checkpoint must be left out.
func (e *Estimator) Observe(queue string, declared, took time.Duration) {
	if took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.queues[queue]
	t := math.Log(took.Seconds())
	h.runTimes.add(t)
	if declared > 0 {
		h.factors.add(t - math.Log(declared.Seconds()))
	}
	e.queues[queue] = h
}

func (s *average) add(x float64) {
	s.n++
	// Until 1/n falls below weight, all observations have equal weight.
	w := max(weight, 1/float64(s.n))
	d := x - s.mean
	s.mean += w * d
	s.variance = (1 - w) * (s.variance + w*d*d)
}

// Estimate returns the expected run time of a task. Until the queue has enough
// observations, that is the declared run time.
func (e *Estimator) Estimate(queue string, declared time.Duration) time.Duration {
	e.mu.Lock()
	h := e.queues[queue]
	e.mu.Unlock()
	switch {
	case h.runTimes.n < minObservations:
		return declared
	case declared <= 0 || h.factors.n < minObservations:
		return fromLog(h.runTimes.mean + h.runTimes.variance/2)
	}
	byQueue, byTask := max(h.runTimes.variance, minVariance), max(h.factors.variance, minVariance)
	share := byQueue / (byQueue + byTask)
	// The mean of a lognormal distribution exceeds its median by half of the
	// variance, as a logarithm.
	left := byQueue * byTask / (byQueue + byTask)
	return fromLog(share*(math.Log(declared.Seconds())+h.factors.mean) + (1-share)*h.runTimes.mean + left/2)
}

func fromLog(x float64) time.Duration { return time.Duration(math.Exp(x) * float64(time.Second)) }
