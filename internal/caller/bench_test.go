package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/caller"
	"carawayshift.example/carawayshift/internal/runner"
	"carawayshift.example/carawayshift/pkg/balance"
	"carawayshift.example/carawayshift/pkg/queue"
	"carawayshift.example/carawayshift/pkg/retrybudget"
)

// echoServer starts the runner with the least overhead: it returns the attempt
// id and the body.
func echoServer(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		w.Header().Set("X-Attempt-Id", req.Header.Get("X-Attempt-Id"))
		_, _ = w.Write(body)
	})}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// entryServer starts one entry host in front of a runner. Its log lines are
// formatted and discarded.
func entryServer(b *testing.B, target string, level logrus.Level) string {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(level)
	p := runner.New(runner.Config{Host: "a1", Zone: "a", Log: log})
	bal := balance.New(balance.Config{Runners: p.Runners, PeerInFlight: p.PeerInFlight, Rank: p.Rank})
	h := caller.New(caller.Config{
		Host: "a1", Zone: "a", Pool: p, Balancer: bal, Log: log,
		Queue: queue.New(queue.Config{Estimate: bal.Estimate}), Budget: retrybudget.New(retrybudget.Config{}),
	})
	for i := range 50 {
		p.Announce(carawayshift.Runner{
			Name: fmt.Sprint("r", i), Zone: "a", Service: "fit", Address: target, Slots: 8, Connections: 60, Expiry: 1 << 40,
		})
	}
	s := httptest.NewServer(h)
	b.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func call(b *testing.B, c *http.Client, address string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/r/fit/preview", bytes.NewReader(make([]byte, 256)))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("X-Attempt-Id", "direct")
	resp, err := c.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("status %d", resp.StatusCode)
	}
}

// BenchmarkEntryHost compares requests sent directly to a runner with requests
// through an entry host, one at a time (added latency) and 16 at once. With
// -cpu 1 the difference of the parallel times is the host's time per request.
func BenchmarkEntryHost(b *testing.B) {
	target := echoServer(b)
	ways := []struct{ name, address string }{
		{"direct", target},
		{"through", entryServer(b, target, logrus.InfoLevel)},
		{"through-unlogged", entryServer(b, target, logrus.WarnLevel)},
	}
	for _, way := range ways {
		c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		b.Run("single/"+way.name, func(b *testing.B) {
			for b.Loop() {
				call(b, c, way.address)
			}
		})
		b.Run("parallel/"+way.name, func(b *testing.B) {
			var n atomic.Int64
			b.SetParallelism(16)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					call(b, c, way.address)
					n.Add(1)
				}
			})
			b.ReportMetric(float64(n.Load())/b.Elapsed().Seconds(), "req/s")
		})
	}
}
