package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// Guards against quarantining healthy workers because of a faulty job, parking
// healthy jobs because of a faulty worker, and quarantining too many workers of
// a zone.
func TestJudge(t *testing.T) {
	now := time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)
	var ws []carawayshift.Worker
	for i := range 20 {
		ws = append(ws, carawayshift.Worker{Name: fmt.Sprintf("w%02d", i), Zone: "belmont"})
	}
	type pair struct {
		job    uint64
		worker int
	}
	tests := []struct {
		name             string
		failures         []pair
		successes        []int
		priorQuarantines map[string]int
		quarantined      int
		workers          map[string]time.Duration
		jobs             []uint64
	}{
		{name: "nothing failed"},
		{name: "faulty worker", failures: []pair{{1, 0}, {2, 0}, {3, 0}}, workers: map[string]time.Duration{"w00": 10 * time.Minute}},
		{name: "third quarantine", failures: []pair{{1, 0}, {2, 0}, {3, 0}}, priorQuarantines: map[string]int{"w00": 2}, workers: map[string]time.Duration{"w00": 40 * time.Minute}},
		{name: "one job repeatedly", failures: []pair{{1, 0}, {1, 0}, {1, 0}}},
		{name: "success after the failures", failures: []pair{{1, 0}, {2, 0}, {3, 0}}, successes: []int{0}},
		{name: "faulty job", failures: []pair{{1, 0}, {1, 1}, {1, 2}}, jobs: []uint64{1}},
		{
			name: "faulty jobs on a healthy worker", jobs: []uint64{1, 2, 3},
			failures: []pair{
				{1, 0},
				{2, 0},
				{3, 0},
				{1, 1},
				{1, 2},
				{1, 3},
				{2, 4},
				{2, 5},
				{2, 6},
				{3, 7},
				{3, 8},
				{3, 9},
			},
		},
		{
			name: "limit of the zone", workers: map[string]time.Duration{"w00": 10 * time.Minute, "w01": 10 * time.Minute},
			failures: []pair{{1, 0}, {2, 0}, {3, 0}, {4, 1}, {5, 1}, {6, 1}, {7, 2}, {8, 2}, {9, 2}},
		},
		{name: "limit already reached", quarantined: 2, failures: []pair{{1, 0}, {2, 0}, {3, 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			r := Results{PriorQuarantines: tt.priorQuarantines}
			for _, f := range tt.failures {
				r.AddFailure(f.job, ws[f.worker].Name, now.Add(-time.Hour))
			}
			for _, s := range tt.successes {
				r.AddSuccess(99, ws[s].Name, now.Add(-time.Minute))
			}
			all := append([]carawayshift.Worker{}, ws...)
			for i := range tt.quarantined {
				all[19-i].Quarantined = true
			}
			workers, jobs := r.Evaluate(now, all)
			g.Expect(jobs).To(Equal(tt.jobs))
			g.Expect(workers).To(HaveLen(len(tt.workers)))
			for name, d := range tt.workers {
				g.Expect(workers).To(HaveKeyWithValue(name, now.Add(d)))
			}
		})
	}
}
