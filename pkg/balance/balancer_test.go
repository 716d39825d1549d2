package balance

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

func newRunners(n int) []carawayshift.Runner {
	var out []carawayshift.Runner
	for i := range n {
		out = append(out, carawayshift.Runner{Name: fmt.Sprintf("r%02d", i), Service: "fit", Slots: 8, Seen: time.Now()})
	}
	return out
}

func runnersOf(runners *[]carawayshift.Runner) func(string) []carawayshift.Runner {
	return func(string) []carawayshift.Runner { return *runners }
}

var errFailed = errors.New("failed")

// Checks that the shares of all hosts add up to the slots of a runner.
func TestSlotSharesAddUp(t *testing.T) {
	g := NewWithT(t)
	for hosts := 1; hosts <= 12; hosts++ {
		for _, r := range newRunners(20) {
			sum := 0
			for rank := range hosts {
				sum += slotShare(r, rank, hosts)
			}
			g.Expect(sum).To(Equal(r.Slots), "%s among %d hosts", r.Name, hosts)
		}
	}
}

// Checks that a host uses the idle slots of other hosts' shares, but not the
// busy ones.
func TestLendsIdleSlots(t *testing.T) {
	tests := []struct {
		name   string
		shared int
		picks  int
	}{
		{"others are idle", 0, 8},
		{"others use 3", 3, 5},
		{"others use all", 8, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rs := newRunners(1)
			b := New(Config{
				Runners: runnersOf(&rs), Seed: 1,
				PeerInFlight: func(string) int { return tt.shared }, Rank: func() (int, int) { return 0, 4 },
			})
			n := 0
			for {
				_, _, _, err := b.Pick("fit", nil)
				if err != nil {
					NewWithT(t).Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.Unavailable))
					break
				}
				n++
			}
			NewWithT(t).Expect(n).To(Equal(tt.picks))
		})
	}
}

// Guards against a runner that attracts load because it fails immediately and
// therefore looks idle, even when the other runners are full and it is the only
// one with free slots.
func TestFailingFastAttractsNoLoad(t *testing.T) {
	tests := []struct {
		name     string
		every    time.Duration
		maxShare float64
	}{
		{"low load", 2 * time.Millisecond, 0.05},
		{"the others are full", 250 * time.Microsecond, 0.06},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				share := failingShare(tt.every)
				t.Logf("the failing runner got %.4f of the requests, its even share is 0.1", share)
				NewWithT(t).Expect(share).To(BeNumerically("<", tt.maxShare))
			})
		})
	}
}

// failingShare returns the fraction of the requests that one of ten runners
// gets when it fails immediately and is never ejected.
func failingShare(every time.Duration) float64 {
	rs := newRunners(10)
	b := New(Config{Runners: runnersOf(&rs), Seed: 1, MinInUse: 1})
	picks := 0
	const total = 8000
	for range total {
		time.Sleep(every)
		r, done, _, err := b.Pick("fit", nil)
		if err != nil {
			continue
		}
		if r.Name == "r00" {
			picks++
			done(errFailed, 0)
			continue
		}
		go func() {
			time.Sleep(20 * time.Millisecond)
			done(nil, 20*time.Millisecond)
		}()
	}
	time.Sleep(time.Second)
	return float64(picks) / total
}

// Checks ejection, the minimum number of runners in use, and that an ejected
// runner returns only after successful probes.
func TestEjectsAndProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rs := newRunners(4)
		b := New(Config{Runners: runnersOf(&rs), Seed: 1})
		bad := map[string]bool{"r00": true, "r01": true, "r02": true}
		drive := func(n int) {
			for i := range n {
				// Every second pick excludes the good runner, because the
				// bad ones get too few requests otherwise.
				r, done, _, err := b.Pick("fit", []string{"r03"}[:i%2])
				if err == nil && bad[r.Name] {
					done(errFailed, 0)
				} else if err == nil {
					done(nil, 20*time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		drive(150)
		g.Expect(b.Ejected("fit")).To(HaveLen(2), "half of the runners stay in use")
		_, _, ok := b.Probe("fit", nil)
		g.Expect(ok).To(BeFalse(), "no probe within the cooldown")
		time.Sleep(time.Minute)
		for range 2 * requiredProbes {
			_, done, ok := b.Probe("fit", nil)
			g.Expect(ok).To(BeTrue())
			done(nil, 20*time.Millisecond)
		}
		g.Expect(b.Ejected("fit")).To(BeEmpty())
	})
}

// Checks that a new incarnation starts without history, that a request whose
// caller has disconnected is no failure, and that an unreachable runner gets no
// requests until its next announcement.
func TestHistoryOfRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rs := newRunners(1)
		b := New(Config{Runners: runnersOf(&rs), Seed: 1})
		_, late, _, err := b.Pick("fit", nil)
		g.Expect(err).NotTo(HaveOccurred())
		rs[0].Incarnation = 2
		_, done, _, err := b.Pick("fit", nil)
		g.Expect(err).NotTo(HaveOccurred())
		late(errFailed, 0)
		g.Expect(b.InFlight()).To(Equal(map[string]int{"r00": 1}))
		done(context.Canceled, 0)
		g.Expect(b.targets["r00"].outcomeCount).To(BeZero())

		_, done, _, _ = b.Pick("fit", nil)
		time.Sleep(time.Second)
		done(carawayshift.NewError(carawayshift.NotRun, "refused", ""), 0)
		g.Expect(b.Usable("fit", nil)).To(BeZero())
		rs[0].Seen = time.Now().Add(time.Millisecond)
		g.Expect(b.Usable("fit", nil)).To(Equal(1))
	})
}
