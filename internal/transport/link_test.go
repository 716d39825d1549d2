package transport

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/follower"
)

// entryBytes is the size of a large place command: a gang of 64.
const entryBytes = 1500

// voterLog is the committed log of a group with one voter.
type voterLog struct {
	mu      sync.Mutex
	entries [][]byte
	changed chan struct{}
}

func (v *voterLog) commit() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.entries = append(v.entries, make([]byte, entryBytes))
	close(v.changed)
	v.changed = make(chan struct{})
	return uint64(len(v.entries))
}

func (v *voterLog) Entries(from uint64, limit int) ([][]byte, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	rest := v.entries[min(int(from)-1, len(v.entries)):]
	return rest[:min(limit, len(rest))], true
}

func (v *voterLog) Snapshot() (uint64, []byte) { return 0, nil }

func (v *voterLog) Wait(ctx context.Context, index uint64) error {
	for {
		v.mu.Lock()
		n, changed := len(v.entries), v.changed
		v.mu.Unlock()
		if uint64(n) >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (v *voterLog) Commit() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return uint64(len(v.entries))
}

func (v *voterLog) Propose(context.Context, carawayshift.Command) (carawayshift.Answer, error) {
	return carawayshift.Answer{}, nil
}
func (v *voterLog) Barrier(context.Context) (uint64, error) { return v.Commit(), nil }
func (v *voterLog) Leader() (string, uint64)                { return "a1", 1 }

type noopMachine struct{}

func (noopMachine) Apply(uint64, []byte) []byte { return nil }
func (noopMachine) Snapshot(io.Writer) error    { return nil }
func (noopMachine) Restore(io.Reader) error     { return nil }

// An entry must cross the link to another region once per zone, not once per
// host, and must be applied without delay beyond the latency of the link.
func TestLinkCarriesEachEntryOnce(t *testing.T) {
	for _, n := range []int{3, 9} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLinkCost(t, n) })
		})
	}
}

func testLinkCost(t *testing.T, n int) {
	g := NewWithT(t)
	names := []string{"a1"}
	for i := range n {
		names = append(names, fmt.Sprint("b", i+1))
	}
	d := newDeployment(t, 20*time.Millisecond, names...)
	log := &voterLog{changed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var followers []*follower.Follower
	for _, name := range names {
		m := d.mesh(name, d.ca)
		cfg := follower.Config{Host: name, Transport: m, ZonePeers: m.Live, Logger: d.log}
		if name == "a1" {
			cfg.Source, cfg.Log = log, log
		} else {
			cfg.Machine, cfg.Voters = noopMachine{}, func() []string { return []string{"a1"} }
		}
		f := follower.New(cfg)
		wg.Go(func() { f.Run(ctx) })
		defer startMesh(m)()
		followers = append(followers, f)
	}
	defer wg.Wait()
	defer cancel()
	time.Sleep(2 * time.Minute)
	linkBytes := func() (bytes int) {
		for _, b := range names[1:] {
			bytes += d.net.sent("a1", b) + d.net.sent(b, "a1")
		}
		return bytes
	}
	const span = 200 * time.Second
	before := linkBytes()
	time.Sleep(span)
	idle := linkBytes() - before
	t.Logf("idle: %.0f bytes per second on the link", float64(idle)/span.Seconds())

	const changes = 100
	var slowest time.Duration
	before = linkBytes()
	for range changes {
		began := time.Now()
		index := log.commit()
		for _, f := range followers[1:] {
			g.Expect(f.WaitApplied(ctx, index)).To(Succeed())
		}
		slowest = max(slowest, time.Since(began))
		time.Sleep(2*time.Second - time.Since(began))
		for _, name := range names[1:] {
			g.Expect(followers[0].Progress()[name].Index).To(Equal(index), name)
		}
	}
	perChange := (linkBytes() - before - idle) / changes
	t.Logf("%d bytes on the link per change of %d bytes; applied everywhere after at most %v", perChange, entryBytes, slowest)
	g.Expect(perChange).To(BeNumerically("<", 2*entryBytes))
	g.Expect(slowest).To(BeNumerically("<", 500*time.Millisecond))
}
