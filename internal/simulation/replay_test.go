package simulation

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/placement"
)

// Guards against a replay that loses jobs, against urgent guaranteed work that
// starts late, and against plans that break the guarantees.
func TestReplayKeepsPromises(t *testing.T) {
	for _, o := range []carawayshift.Objective{carawayshift.ObjectiveCompletion, carawayshift.ObjectivePacking} {
		t.Run(string(o), func(t *testing.T) {
			g := NewWithT(t)
			r := Small(o)
			g.Expect(placement.New().CheckGuarantees(r.view())).To(Succeed())
			f := r.Run(placement.New(), 1)
			g.Expect(f.Finished).To(Equal(f.Jobs))
			g.Expect(f.Urgent).To(BeNumerically(">", 0))
			g.Expect(f.Late).To(BeZero())
			g.Expect(f.ShortfallPlans).To(BeZero())
		})
	}
}

// BenchmarkTables prints the tables for the report: go test -run '^$' -bench
// Tables -benchtime 1x ./internal/simulation
func BenchmarkTables(b *testing.B) {
	seeds := []uint64{11, 12, 13, 14, 15}
	for range b.N {
		for _, o := range []carawayshift.Objective{carawayshift.ObjectiveCompletion, carawayshift.ObjectivePacking} {
			fmt.Println(Small(o).Table(placement.New(), seeds))
			fmt.Println("zone out and back")
			fmt.Println(Drained(o).Table(placement.New(), seeds))
		}
	}
}

// BenchmarkPlan measures one call of Plan by the number of workers.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 200, 800, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := Large(n).Run(placement.New(), 11)
				b.ReportMetric(float64(f.PlanP50.Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(f.PlanP99.Microseconds())/1000, "p99-ms")
				b.ReportMetric(float64(f.PlanMax.Microseconds())/1000, "max-ms")
				b.ReportMetric(float64(f.MaxRunningTasks), "tasks")
				b.ReportMetric(float64(f.Plans), "plans")
			}
		})
	}
}
