package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/standin/agent"
	"carawayshift.example/carawayshift/pkg/pause"
	"carawayshift.example/carawayshift/platform"
)

const (
	callers = 6
	// callerWait is how long a caller waits for an answer.
	callerWait = 4 * time.Second
	// attempts bounds how often a caller hands a job in.
	attempts = 8
)

// call sends a request; the status is 0 without an answer.
func call(ctx context.Context, c *http.Client, method, addr, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "shop.example"
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("Deadline-Remaining", "3000")
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// client keeps its connections as long as they last.
func client() *http.Client {
	return &http.Client{Timeout: callerWait, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

func (s *site) entry(rng *rand.Rand) string { return s.http(controlHosts + 1 + rng.IntN(entryHosts)) }

func (s *site) controlHost(rng *rand.Rand) string { return s.http(1 + rng.IntN(controlHosts)) }

// runCaller hands jobs in, asks for their states and cancels some.
func (s *site) runCaller(ctx context.Context, l *ledger, rng *rand.Rand, n int) {
	c := client()
	var mine []string
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%08x%08x", n+1, i)
		if s.submit(ctx, c, l, rng, id) {
			mine = append(mine, id)
		}
		for range 3 {
			if len(mine) > 0 {
				s.ask(ctx, c, l, s.entry(rng), mine[rng.IntN(len(mine))])
			}
		}
		if len(mine) > 0 && rng.Float64() < 0.1 {
			s.cancel(ctx, c, l, rng, mine[rng.IntN(len(mine))])
		}
		pause.For(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
	}
}

// submit hands a job in until the answer is clear; it reports an acceptance.
func (s *site) submit(ctx context.Context, c *http.Client, l *ledger, rng *rand.Rand, id string) bool {
	width, gang := 1+rng.IntN(4), rng.Float64() < 0.3
	steps := []map[string]any{{"count": width, "cpu": 1000, "gpu": 1 + rng.IntN(2), "est_runtime_ms": 300}}
	if gang {
		steps[0]["gang"] = true
	} else if rng.Float64() < 0.5 {
		steps = append(steps, map[string]any{"count": 1, "cpu": 500, "after": []int{0}})
	}
	b, err := json.Marshal(map[string]any{"spec": fmt.Sprint(gang, width), "steps": steps})
	if err != nil {
		s.t.Error(err)
		return false
	}
	l.mu.Lock()
	j := l.job(id)
	j.tasks = width + len(steps) - 1
	if gang {
		j.tasks, j.gang = 1, width // the end of one member stands for the gang
	}
	l.mu.Unlock()
	for range attempts {
		status, _ := call(ctx, c, http.MethodPost, s.entry(rng), "/fit/"+id, string(b))
		l.mu.Lock()
		switch {
		case status == 200:
			j.accepted, j.refused = time.Now(), false
		case status == 429 || status == 503:
			j.refused = !j.unclear
		default:
			j.unclear, j.refused = true, false
		}
		done := !j.accepted.IsZero()
		l.mu.Unlock()
		if done || !pause.For(ctx, 200*time.Millisecond) {
			return done
		}
	}
	return false
}

func (s *site) ask(ctx context.Context, c *http.Client, l *ledger, addr, id string) {
	asked := time.Now()
	status, body := call(ctx, c, http.MethodGet, addr, "/fit/"+id, "")
	l.shown(id, status, body, asked)
}

func (s *site) cancel(ctx context.Context, c *http.Client, l *ledger, rng *rand.Rand, id string) {
	l.mu.Lock()
	l.job(id).cancelled = true
	l.mu.Unlock()
	for range attempts {
		if status, _ := call(ctx, c, http.MethodDelete, s.entry(rng), "/fit/"+id, ""); status == 200 || status == 410 {
			return
		}
		if !pause.For(ctx, 200*time.Millisecond) {
			return
		}
	}
}

func configuration(version int) string {
	b, _ := json.Marshal(map[string]any{ // maps of plain values always encode
		"version":  version,
		"services": []any{map[string]any{"name": "fit", "admission_check": true}},
		"routes": []any{map[string]any{
			"name": "q", "host": "shop.example", "path_prefix": "/fit/", "service": "fit", "timeout_ms": 3000, "max_attempts": 3, "stretch": 3,
		}},
		"tenants": []any{map[string]any{"name": "carnival", "api_keys": []any{"key-1"}}},
	})
	return string(b)
}

// runOperator changes the configuration, each version until it is confirmed,
// and reads it back from any host.
func (s *site) runOperator(ctx context.Context, l *ledger, rng *rand.Rand) {
	c := client()
	for version := 1; ctx.Err() == nil; version++ {
		for ctx.Err() == nil {
			status, _ := call(ctx, c, http.MethodPost, s.controlHost(rng), "/config/replace", configuration(version))
			if status == 200 {
				l.mu.Lock()
				l.acked = version
				l.mu.Unlock()
				break
			}
			pause.For(ctx, 100*time.Millisecond)
		}
		for range 4 {
			s.readBack(ctx, c, l, s.controlHost(rng))
			pause.For(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
		}
	}
}

// readBack reports whether a host shows a configuration.
func (s *site) readBack(ctx context.Context, c *http.Client, l *ledger, addr string) bool {
	l.mu.Lock()
	before := l.acked
	l.mu.Unlock()
	status, body := call(ctx, c, http.MethodGet, addr, "/config/read", "")
	var got struct{ Version int }
	if status != 200 || json.Unmarshal([]byte(body), &got) != nil {
		return false
	}
	l.read(got.Version, before)
	return true
}

// runRunners serves the stand-in runners behind links of their own.
func (s *site) runRunners(ctx context.Context, l *ledger) []*agent.Agent {
	var list []*agent.Agent
	gangs := agent.NewGangs()
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range runners {
		n := 100 + i
		s.link(n)
		a := agent.New(agent.Config{
			Agent: carawayshift.Agent{
				ID: fmt.Sprint("i-", i), Incarnation: time.Now().UnixMilli(), Service: "fit", Zone: zoneOf(i), Rack: zoneOf(i), Address: s.http(n),
				Machine: fmt.Sprint("m-", i), Labels: []string{"a", zoneOf(i)}, MilliCores: 8000, Memory: 8000, Accelerators: 8,
			},
			Work: work, Gang: func(t carawayshift.TaskName) int { return l.gang(t.Batch) }, Gangs: gangs,
			OnStart: l.begun, OnEnd: l.over, OnAcknowledge: l.acknowledged, StopDuration: stopTime, GangTimeout: 3 * time.Second, MaxLease: lease,
		})
		list = append(list, a)
		var controls []string
		for k := range controlHosts {
			controls = append(controls, s.http(1+(k+i)%controlHosts))
		}
		in := platform.NewStandin(a, controls, log)
		srv := &http.Server{Addr: s.at(s.private(n), 0), Handler: in, ReadHeaderTimeout: time.Second}
		s.closers = append(s.closers, func() { _ = srv.Close() })
		go func() {
			if err := srv.ListenAndServe(); err != nil && ctx.Err() == nil {
				s.t.Error(err)
			}
		}()
		go func() { _ = in.Run(ctx) }() // it ends with its context
	}
	return list
}

// work is how long a run takes: most are short, some as long as a lease.
func work(task carawayshift.TaskName, run int) (time.Duration, bool) {
	if (task.Index+run+len(task.Batch)+int(task.Batch[len(task.Batch)-1]))%8 == 0 {
		return lease + time.Second, false
	}
	return time.Duration(200+137*(task.Index+run)%900) * time.Millisecond, false
}
