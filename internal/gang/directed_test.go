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

// inTestZone runs a test in simulated time on a zone without random faults.
func inTestZone(t *testing.T, fn func(g Gomega, z *testZone)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		z := newTestZone(ctx, 1)
		defer z.wg.Wait()
		defer cancel()
		time.Sleep(3 * time.Second)
		fn(NewWithT(t), z)
	})
}

// submit creates a job of some tasks and places it.
func (z *testZone) submit(tasks int, run time.Duration) uint64 {
	a := z.applyOperator(carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{
		Name: "render", Team: "carnival", Tasks: tasks, Accelerators: 8, Declared: run,
	}})
	z.place()
	return a.Job
}

// freezeOn freezes a host when it sends its first message with the text in the
// path: after the host's last check and before the message is on the network.
func (z *testZone) freezeOn(host, text string, d time.Duration) {
	z.n.mu.Lock()
	defer z.n.mu.Unlock()
	z.n.onSend = func(from, path string) {
		if from == host && strings.Contains(path, text) && z.n.frozen[from].IsZero() {
			z.n.frozen[from] = time.Now().Add(d)
			// The host can't catch up with the log when it resumes.
			z.n.cut[[2]string{host, "leader"}], z.n.cut[[2]string{"leader", host}] = true, true
		}
	}
}

func (z *testZone) fault(worker, body string) {
	r := httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(body))
	z.n.nodes[worker].ServeHTTP(httptest.NewRecorder(), r)
}

func (z *testZone) cutLink(a, c string) {
	z.n.mu.Lock()
	defer z.n.mu.Unlock()
	z.n.cut[[2]string{a, c}], z.n.cut[[2]string{c, a}] = true, true
}

// Guards against a start that a holder sends after it was frozen, long after it
// checked the zone lease, when the zone has been drained meanwhile.
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
			inTestZone(t, func(g Gomega, z *testZone) {
				z.freezeOn(z.leader.leaseHolder(), "/tasks/start", tt.freeze)
				z.submit(3, time.Minute)
				time.Sleep(300 * time.Millisecond)
				z.applyOperator(carawayshift.Command{Kind: carawayshift.DrainZone, Zone: &carawayshift.Zone{Name: "belmont"}})
				z.drains = append(z.drains, drainPeriod{from: time.Now()})
				time.Sleep(time.Minute)
				checkStarts(g, z.drains, z.history())
			})
		})
	}
}

// Guards against a renewal that a former holder sends after it was frozen, and
// that extends the lease of a task which the new holder considers expired: the
// job would run in two attempts.
func TestDelayedRenewalExtendsNothing(t *testing.T) {
	inTestZone(t, func(g Gomega, z *testZone) {
		z.submit(1, 10*time.Minute)
		z.excludedWorker = "w0"
		time.Sleep(time.Second)
		first := z.leader.leaseHolder()
		for _, h := range hostNames {
			if h != first {
				z.cutLink(h, "w0")
			}
		}
		// The former holder's calls to stop the task fail as well.
		z.fault("w0", `{"deaf":true}`)
		// The renewal is due 5 s after the start. The former holder sends it
		// just before the task's lease of 15 s would have expired.
		z.freezeOn(first, "/tasks/renew", 9500*time.Millisecond)
		time.Sleep(9 * time.Second)
		g.Expect(z.leader.leaseHolder()).NotTo(Equal(first), "the zone lease should have moved")
		z.stopRunningJobs()
		for range 90 {
			time.Sleep(time.Second)
			z.place()
		}
		g.Expect(z.leader.machine.State().Jobs[1].Attempt).To(Equal(2))
		checkAttempts(g, z.leader.machine.State(), z.history())
	})
}

// Guards against a former holder that no longer has the zone lease and continues
// to renew an attempt that a new holder ends.
func TestFormerHolderStopsRenewing(t *testing.T) {
	inTestZone(t, func(g Gomega, z *testZone) {
		// The gang has one task: a larger one would end as soon as the new holder
		// stops the members that it reaches.
		z.submit(1, 10*time.Minute)
		z.excludedWorker = "w0"
		time.Sleep(time.Second)
		first := z.leader.leaseHolder()
		z.cutLink(first, "leader")
		for _, h := range hostNames {
			if h != first {
				z.cutLink(h, "w0")
				z.cutLink(h, first)
			}
		}
		for range 90 {
			time.Sleep(time.Second)
			z.place()
		}
		g.Expect(z.leader.leaseHolder()).NotTo(Equal(first))
		g.Expect(z.leader.machine.State().Jobs[1].Attempt).To(Equal(2))
		checkAttempts(g, z.leader.machine.State(), z.history())
	})
}

// Guards against the loss of running gangs in a zone that is partitioned from
// the leader, although its hosts and workers work.
func TestCutOffZoneKeepsRunning(t *testing.T) {
	inTestZone(t, func(g Gomega, z *testZone) {
		z.submit(3, 10*time.Minute)
		time.Sleep(time.Second)
		for _, h := range hostNames {
			z.cutLink(h, "leader")
		}
		time.Sleep(3 * time.Minute)
		running := 0
		for _, e := range z.history() {
			if e.What == "start" {
				running++
			} else {
				running--
			}
		}
		g.Expect(running).To(Equal(3), "tasks that still run: %+v", z.history())
	})
}
