package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/standin/runner"
)

// outcomeUnknown is the error kind of requests that may have been executed. They
// are not refusals and can take until the deadline.
const outcomeUnknown = string(carawayshift.OutcomeUnknown)

// responseGrace is the time after the deadline for which the generator still waits
// for a response.
const responseGrace = 2 * time.Second

// Request is one request of the trace.
type Request struct {
	ID string
	// At is the intended send time, counted from the start of the run.
	At time.Duration
	// Work is the service time that is requested from the runner.
	Work time.Duration
	// Host is an index into Config.Hosts.
	Host       int
	Urgent     bool
	Idempotent bool
	Keyed      bool
}

// Trace generates the requests of the run. Equal configurations give equal
// traces.
func (g *Generator) Trace() []Request {
	rnd := rand.New(rand.NewPCG(g.cfg.Seed, 2))
	var out []Request
	at := 0.0
	for {
		at += rnd.ExpFloat64() / g.cfg.Rate
		d := time.Duration(at * float64(time.Second))
		if d >= g.cfg.Duration {
			return out
		}
		out = append(out, Request{
			ID: fmt.Sprintf("load-%d-%d", g.cfg.Seed, len(out)), At: d,
			Work:       time.Duration(g.workFactor(rnd) * float64(g.cfg.Work)),
			Host:       rnd.IntN(len(g.cfg.Hosts)),
			Urgent:     rnd.Float64() < g.cfg.Urgent,
			Idempotent: rnd.Float64() < g.cfg.Idempotent,
			Keyed:      rnd.Float64() < g.cfg.Keyed,
		})
	}
}

// maxWorkFactor limits a service time to 100 times the mean.
const maxWorkFactor = 100

// workFactor returns a random service time as a multiple of the mean.
func (g *Generator) workFactor(rnd *rand.Rand) float64 {
	if g.cfg.Shape <= 1 {
		return rnd.ExpFloat64()
	}
	a := g.cfg.Shape
	return min(maxWorkFactor, (a-1)/a*math.Pow(1-rnd.Float64(), -1/a))
}

func (g *Generator) send(ctx context.Context, r Request, intended time.Time) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(g.cfg.Deadline+responseGrace))
	defer cancel()
	body := []byte("body of " + r.ID)
	path := "/r/" + g.cfg.Service + "/load"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.cfg.Hosts[r.Host]+path, bytes.NewReader(body))
	if err != nil {
		g.countError()
		return
	}
	g.setHeaders(req.Header, r, intended)
	resp, err := g.client.Do(req)
	if err != nil {
		g.countError()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		g.countError()
		return
	}
	valid := bytes.Equal(b, runner.Answer(r.ID, path, body, 0))
	g.record(r, resp, valid, time.Since(intended))
}

func (g *Generator) setHeaders(h http.Header, r Request, intended time.Time) {
	h.Set("X-Request-Id", r.ID)
	h.Set("X-Deadline-Ms", strconv.FormatInt(max(1, g.cfg.Deadline.Milliseconds()-time.Since(intended).Milliseconds()), 10))
	h.Set(runner.HeaderWork, strconv.FormatInt(r.Work.Microseconds(), 10))
	h.Set("X-Urgency", "overnight")
	if r.Urgent {
		h.Set("X-Urgency", "urgent")
	}
	if r.Idempotent {
		h.Set("X-Idempotent", "true")
	}
	if r.Keyed {
		h.Set("Idempotency-Key", r.ID)
	}
	if g.cfg.Team != "" {
		h.Set("X-Team", g.cfg.Team)
	}
}

func (g *Generator) record(r Request, resp *http.Response, valid bool, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Sent++
	kind := resp.Header.Get("X-Kind")
	switch {
	case kind != "":
		g.result.Refused[kind]++
		if kind != outcomeUnknown {
			observe(g.refusals, d)
		}
		return
	case resp.StatusCode >= http.StatusBadRequest:
		g.result.Failed++
		return
	case !valid:
		g.result.Wrong++
		return
	case d > g.cfg.Deadline:
		g.result.Late++
	default:
		g.result.Answered++
		if r.At+d <= g.cfg.Duration {
			g.inTime++
		}
	}
	observe(g.latency, d)
	if r.Urgent {
		observe(g.urgent, d)
	}
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func (g *Generator) countError() {
	g.mu.Lock()
	g.result.Sent++
	g.result.Errors++
	g.mu.Unlock()
}

func (g *Generator) countDropped() {
	g.mu.Lock()
	g.result.Dropped++
	g.mu.Unlock()
}
