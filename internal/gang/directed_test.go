package gang_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// inBench runs a test in paused time on a zone without random faults.
func inBench(t *testing.T, fn func(g Gomega, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newBench(ctx, 1)
		defer b.wg.Wait()
		defer cancel()
		time.Sleep(3 * time.Second)
		fn(NewWithT(t), b)
	})
}

// submit creates a job of some tasks and places it.
func (b *bench) submit(tasks int, run time.Duration) uint64 {
	a := b.operator(carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{
		Name: "render", Team: "carnival", Tasks: tasks, Accelerators: 8, Declared: run,
	}})
	b.place()
	return a.Job
}

// freezeOn freezes a host at its first message that has the text in its path,
// after the host's last check and before the message leaves.
func (b *bench) freezeOn(host, text string, d time.Duration) {
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	b.n.trap = func(from, path string) {
		if from == host && strings.Contains(path, text) && b.n.frozen[from].IsZero() {
			b.n.frozen[from] = time.Now().Add(d)
			// The host does not catch up with the log when it goes on.
			b.n.cut[[2]string{host, "leader"}], b.n.cut[[2]string{"leader", host}] = true, true
		}
	}
}

func (b *bench) fault(worker, body string) {
	r := httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(body))
	b.n.nodes[worker].ServeHTTP(httptest.NewRecorder(), r)
}

func (b *bench) cutLink(a, c string) {
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	b.n.cut[[2]string{a, c}], b.n.cut[[2]string{c, a}] = true, true
}

// Guards against a start that a holder sends after a freeze, when its check of
// the zone lease is long past and the zone has been taken out.
func TestFrozenHolderStartsNothing(t *testing.T) {
	tests := []struct {
		name   string
		freeze time.Duration
	}{
		{"within the zone lease", 500 * time.Millisecond},
		{"beyond the zone lease", 4 * time.Second},
		{"long", 30 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBench(t, func(g Gomega, b *bench) {
				b.freezeOn(b.l.current(), "/tasks/start", tt.freeze)
				b.submit(3, time.Minute)
				time.Sleep(300 * time.Millisecond)
				b.operator(carawayshift.Command{Kind: carawayshift.DrainZone, Zone: &carawayshift.Zone{Name: "belmont"}})
				b.drains = append(b.drains, window{from: time.Now()})
				time.Sleep(time.Minute)
				checkStarts(g, b.drains, b.history())
			})
		})
	}
}

// Guards against a renewal that a former holder sends after a freeze and that
// extends a task which the new holder has counted as expired: the job would
// run in two attempts.
func TestDelayedRenewalExtendsNothing(t *testing.T) {
	inBench(t, func(g Gomega, b *bench) {
		b.submit(1, 10*time.Minute)
		b.avoid = "w0"
		time.Sleep(time.Second)
		first := b.l.current()
		for _, h := range hostNames {
			if h != first {
				b.cutLink(h, "w0")
			}
		}
		// The former holder can't stop the task by itself either.
		b.fault("w0", `{"deaf":true}`)
		// The renewal is due 5 s after the start. It leaves the former holder
		// just before the task's lease of 15 s would have expired.
		b.freezeOn(first, "/tasks/renew", 9500*time.Millisecond)
		time.Sleep(9 * time.Second)
		g.Expect(b.l.current()).NotTo(Equal(first), "the zone lease should have moved")
		b.stopAll()
		for range 90 {
			time.Sleep(time.Second)
			b.place()
		}
		g.Expect(b.l.machine.State().Jobs[1].Attempt).To(Equal(2))
		checkAttempts(g, b.l.machine.State(), b.history())
	})
}

// Guards against a former holder without the zone lease that goes on renewing
// while a new holder takes the attempt to its end.
func TestFormerHolderStopsRenewing(t *testing.T) {
	inBench(t, func(g Gomega, b *bench) {
		// A gang of one task: a larger one ends when the new holder stops the
		// members that it reaches.
		b.submit(1, 10*time.Minute)
		b.avoid = "w0"
		time.Sleep(time.Second)
		first := b.l.current()
		b.cutLink(first, "leader")
		for _, h := range hostNames {
			if h != first {
				b.cutLink(h, "w0")
				b.cutLink(h, first)
			}
		}
		for range 90 {
			time.Sleep(time.Second)
			b.place()
		}
		g.Expect(b.l.current()).NotTo(Equal(first))
		g.Expect(b.l.machine.State().Jobs[1].Attempt).To(Equal(2))
		checkAttempts(g, b.l.machine.State(), b.history())
	})
}

// Guards against a zone that is cut off from the leader and loses its running
// gangs although its hosts and workers are well.
func TestCutOffZoneKeepsRunning(t *testing.T) {
	inBench(t, func(g Gomega, b *bench) {
		b.submit(3, 10*time.Minute)
		time.Sleep(time.Second)
		for _, h := range hostNames {
			b.cutLink(h, "leader")
		}
		time.Sleep(3 * time.Minute)
		running := 0
		for _, e := range b.history() {
			if e.What == "start" {
				running++
			} else {
				running--
			}
		}
		g.Expect(running).To(Equal(3), "tasks that still run: %+v", b.history())
	})
}
