package dispatcher

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// A runner that is cut off ends more runs than one status lists. The ones that the first
// status after the cut leaves out have finished; they must not be started again, also by
// a leader that was elected during the cut.
func TestUnlistedEndsAreNotLost(t *testing.T) {
	tests := []struct {
		name  string
		elect bool
	}{
		{"same leader", false},
		{"a new leader", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 1, 1, func(ctx context.Context, r *rig) {
				o := NewWithT(t)
				r.takes = func(carawayshift.TaskName) time.Duration { return 2 * time.Second }
				time.Sleep(2 * time.Second)
				r.submit("b", carawayshift.Step{Count: 5*rigMaxEnds + 1, MilliCores: 100, Memory: 100, Declared: 2 * time.Second})
				time.Sleep(time.Second)
				r.net.setCut("i-0", true)
				if tt.elect {
					r.elect(ctx)
				}
				time.Sleep(2 * time.Second)
				r.net.setCut("i-0", false)
				time.Sleep(8 * time.Second)
				o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
				for task, n := range r.starts {
					o.Expect(n).To(Equal(1), task.String())
				}
			})
		})
	}
}
