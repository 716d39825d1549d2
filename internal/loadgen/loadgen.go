// Package loadgen generates a bounded open-loop load. Arrival and service times
// are derived from a seed, and latency is measured from the intended send time, so
// that a slow system doesn't reduce the load or hide its own delays.
//
// # Usage
//
//	g, err := loadgen.New(loadgen.Config{Hosts: []string{"http://127.0.0.1:7001"}, Service: "fit", Rate: 200, Duration: 10 * time.Second, Seed: 1, Output: os.Stdout})
//	err = g.Run(ctx)
//
// Run writes the result as one JSON object. Its times are in ms.
package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	defaultDeadline = 2 * time.Second
	defaultWork     = 10 * time.Millisecond
	defaultInFlight = 4096
	// maxRequests is the maximum number of requests of one run.
	maxRequests = 5_000_000
	// maxLatency is the largest value of the histograms.
	maxLatency        = 5 * time.Minute
	significantDigits = 3
)

// Config holds the settings of a Generator. Zero values of Deadline, Work and
// InFlight select the defaults.
type Config struct {
	// Hosts are the base URLs of entry hosts. Each request is sent to a random
	// one, as a load balancer does.
	Hosts   []string
	Service string
	Team    string
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	// Work is the mean service time. Shape is the shape parameter of its Pareto
	// distribution; at 1 or less the distribution is exponential.
	Work  time.Duration
	Shape float64
	// Urgent, Idempotent and Keyed are the shares of requests, from 0 to 1, that
	// are urgent, are marked as idempotent and have an idempotency key.
	Urgent     float64
	Idempotent float64
	Keyed      float64
	// InFlight is the maximum number of requests in flight. Requests beyond it
	// are not sent and are counted as dropped.
	InFlight int
	Seed     uint64
	Output   io.Writer
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
}

// Quantiles are latencies in ms.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Result is the result of a run.
type Result struct {
	Seed    uint64 `json:"seed"`
	Sent    int    `json:"sent"`
	Dropped int    `json:"dropped"`
	// Answered counts complete and correct responses within the deadline, Late
	// those after it, Wrong responses whose body is not the expected one, for
	// example because it belongs to another request.
	Answered int `json:"answered"`
	Late     int `json:"late"`
	Wrong    int `json:"wrong"`
	// Failed counts responses of runners with a status of 400 or more.
	Failed int `json:"failed"`
	// Refused counts responses with an error kind, by kind. Errors counts
	// transport errors.
	Refused map[string]int `json:"refused"`
	Errors  int            `json:"errors"`
	// Goodput is the number of requests per second that were answered within
	// their deadline and before the load ended. Later responses come from a queue
	// that drains without new load; counting them would overstate the capacity.
	Goodput float64   `json:"goodput"`
	Latency Quantiles `json:"latency"`
	Urgent  Quantiles `json:"urgent"`
	// Refusals covers all error kinds except OutcomeUnknown.
	Refusals Quantiles `json:"refusals"`
}

// Generator generates the load of one run.
type Generator struct {
	cfg    Config
	client *http.Client

	mu       sync.Mutex
	result   Result
	latency  *hdrhistogram.Histogram
	urgent   *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
	// inTime counts the responses within the deadline and before the load ended.
	inTime int
}

// New returns a generator, or an error if the configuration is invalid.
func New(cfg Config) (*Generator, error) {
	if len(cfg.Hosts) == 0 || cfg.Service == "" {
		return nil, errors.New("loadgen.New: no hosts or no service given")
	}
	if cfg.Rate <= 0 || cfg.Duration <= 0 || cfg.Rate*cfg.Duration.Seconds() > maxRequests {
		return nil, errors.Newf("loadgen.New: rate and duration must be positive and give at most %d requests", maxRequests)
	}
	cfg = withDefaults(cfg)
	t := &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: cfg.InFlight, DisableCompression: true}
	return &Generator{
		cfg:      cfg,
		client:   &http.Client{Transport: t},
		result:   Result{Seed: cfg.Seed, Refused: map[string]int{}},
		latency:  newHistogram(),
		urgent:   newHistogram(),
		refusals: newHistogram(),
	}, nil
}

func withDefaults(cfg Config) Config {
	if cfg.Deadline <= 0 {
		cfg.Deadline = defaultDeadline
	}
	if cfg.Work <= 0 {
		cfg.Work = defaultWork
	}
	if cfg.InFlight <= 0 {
		cfg.InFlight = defaultInFlight
	}
	if cfg.Output == nil {
		cfg.Output = io.Discard
	}
	return cfg
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// Run sends the requests, waits for the responses and writes the result.
func (g *Generator) Run(ctx context.Context) error {
	defer g.client.CloseIdleConnections()
	start := time.Now()
	slots := make(chan struct{}, g.cfg.InFlight)
	var wg sync.WaitGroup
	for _, req := range g.Trace() {
		if !sleepUntil(ctx, start.Add(req.At)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			g.countDropped()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			g.send(ctx, req, start.Add(req.At))
		})
	}
	wg.Wait()
	r := g.Result()
	return errors.Wrap(json.NewEncoder(g.cfg.Output).Encode(r), "loadgen.Run")
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Result returns the result so far.
func (g *Generator) Result() Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.result
	r.Goodput = float64(g.inTime) / g.cfg.Duration.Seconds()
	r.Latency = quantiles(g.latency)
	r.Urgent = quantiles(g.urgent)
	r.Refusals = quantiles(g.refusals)
	return r
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9),
		Max: float64(h.Max()) / 1000,
	}
}
