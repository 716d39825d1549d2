package simulation

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/placement"
)

// Guards against a replay that loses jobs, urgent guaranteed jobs that start too
// late, and plans that violate the guarantees.
func TestReplayKeepsPromises(t *testing.T) {
	for _, o := range []carawayshift.Objective{carawayshift.ObjectiveCompletion, carawayshift.ObjectivePacking} {
		t.Run(string(o), func(t *testing.T) {
			g := NewWithT(t)
			r := Small(o)
			g.Expect(placement.New().CheckGuarantees(r.view())).To(Succeed())
			result := r.Run(placement.New(), 1)
			g.Expect(result.Finished).To(Equal(result.Jobs))
			g.Expect(result.Urgent).To(BeNumerically(">", 0))
			g.Expect(result.Late).To(BeZero())
			g.Expect(result.ShortfallPlans).To(BeZero())
		})
	}
}

// BenchmarkTables prints the result tables: go test -run '^$' -bench Tables
// -benchtime 1x ./internal/simulation
func BenchmarkTables(b *testing.B) {
	seeds := []uint64{11, 12, 13, 14, 15}
	for range b.N {
		for _, o := range []carawayshift.Objective{carawayshift.ObjectiveCompletion, carawayshift.ObjectivePacking} {
			fmt.Println(Small(o).Table(placement.New(), seeds))
			fmt.Println("zone drained and returned")
			fmt.Println(Drained(o).Table(placement.New(), seeds))
		}
	}
}

// BenchmarkPlan measures the duration of Plan by the number of workers.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 200, 800, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				result := Large(n).Run(placement.New(), 11)
				b.ReportMetric(float64(result.PlanP50.Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(result.PlanP99.Microseconds())/1000, "p99-ms")
				b.ReportMetric(float64(result.PlanMax.Microseconds())/1000, "max-ms")
				b.ReportMetric(float64(result.MaxRunningTasks), "tasks")
				b.ReportMetric(float64(result.Plans), "plans")
			}
		})
	}
}
