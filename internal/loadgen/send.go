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

// outcomeUnknown marks ends of requests that were sent. They are no refusals and
// can take until the deadline.
const outcomeUnknown = string(carawayshift.OutcomeUnknown)

// answerGrace is added to the deadline before the generator gives up waiting.
const answerGrace = 2 * time.Second

// Request is one request of the trace.
type Request struct {
	ID         string
	At         time.Duration
	Work       time.Duration
	Host       int
	Urgent     bool
	Idempotent bool
	Keyed      bool
}

// Trace returns the requests of the run. Equal configurations give equal
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
			Work:       time.Duration(g.draw(rnd) * float64(g.cfg.Work)),
			Host:       rnd.IntN(len(g.cfg.Hosts)),
			Urgent:     rnd.Float64() < g.cfg.Urgent,
			Idempotent: rnd.Float64() < g.cfg.Idempotent,
			Keyed:      rnd.Float64() < g.cfg.Keyed,
		})
	}
}

// maxDraw bounds one service time at 100 times the mean.
const maxDraw = 100

// draw returns a service time in units of the mean.
func (g *Generator) draw(rnd *rand.Rand) float64 {
	if g.cfg.Shape <= 1 {
		return rnd.ExpFloat64()
	}
	a := g.cfg.Shape
	return min(maxDraw, (a-1)/a*math.Pow(1-rnd.Float64(), -1/a))
}

func (g *Generator) send(ctx context.Context, s Request, intended time.Time) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(g.cfg.Deadline+answerGrace))
	defer cancel()
	body := []byte("body of " + s.ID)
	path := "/r/" + g.cfg.Service + "/load"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.cfg.Hosts[s.Host]+path, bytes.NewReader(body))
	if err != nil {
		g.failed()
		return
	}
	g.header(req.Header, s, intended)
	resp, err := g.client.Do(req)
	if err != nil {
		g.failed()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		g.failed()
		return
	}
	right := bytes.Equal(b, runner.Answer(s.ID, path, body, 0))
	g.record(s, resp, right, time.Since(intended))
}

func (g *Generator) header(h http.Header, s Request, intended time.Time) {
	h.Set("X-Request-Id", s.ID)
	h.Set("X-Deadline-Ms", strconv.FormatInt(max(1, g.cfg.Deadline.Milliseconds()-time.Since(intended).Milliseconds()), 10))
	h.Set(runner.HeaderWork, strconv.FormatInt(s.Work.Microseconds(), 10))
	h.Set("X-Urgency", "overnight")
	if s.Urgent {
		h.Set("X-Urgency", "urgent")
	}
	if s.Idempotent {
		h.Set("X-Idempotent", "true")
	}
	if s.Keyed {
		h.Set("Idempotency-Key", s.ID)
	}
	if g.cfg.Team != "" {
		h.Set("X-Team", g.cfg.Team)
	}
}

func (g *Generator) record(s Request, resp *http.Response, right bool, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Sent++
	kind := resp.Header.Get("X-Kind")
	switch {
	case kind != "":
		g.result.Refused[kind]++
		if kind != outcomeUnknown {
			add(g.refusals, d)
		}
		return
	case resp.StatusCode >= http.StatusBadRequest:
		g.result.Failed++
		return
	case !right:
		g.result.Wrong++
		return
	case d > g.cfg.Deadline:
		g.result.Late++
	default:
		g.result.Answered++
		if s.At+d <= g.cfg.Duration {
			g.inside++
		}
	}
	add(g.latency, d)
	if s.Urgent {
		add(g.urgent, d)
	}
}

func add(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func (g *Generator) failed() {
	g.mu.Lock()
	g.result.Sent++
	g.result.Errors++
	g.mu.Unlock()
}

func (g *Generator) dropped() {
	g.mu.Lock()
	g.result.Dropped++
	g.mu.Unlock()
}
