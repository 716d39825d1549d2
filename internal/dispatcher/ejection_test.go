package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// Long-running tasks fail again and again by their own fault, on sound runners. They must be
// started again soon each time, and a sound batch must find a runner.
func TestFailingTasksEjectNotAllRunners(t *testing.T) {
	play(t, 1, 6, func(_ context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(n carawayshift.TaskName) time.Duration {
			return 3*time.Second + time.Duration(n.Index)*time.Second
		}
		r.fails = func(n carawayshift.TaskName) bool { return strings.HasPrefix(n.Batch, "lasting") }
		time.Sleep(2 * time.Second)
		step := carawayshift.Step{Count: 2, MilliCores: 500, Memory: 100, Accelerators: 2, LongRunning: true}
		for i := range 3 {
			r.submit(fmt.Sprint("lasting", i), step)
			time.Sleep(700 * time.Millisecond)
		}
		down := map[string]time.Duration{}
		longest := time.Duration(0)
		const check = 100 * time.Millisecond
		for at := time.Duration(0); at < 90*time.Second; at += check {
			if at == 60*time.Second {
				r.submit("sound", single(1))
			}
			time.Sleep(check)
			for i := range 3 {
				b := fmt.Sprint("lasting", i)
				_, open := r.progress(b)
				if open == 2 {
					down[b] = 0
					continue
				}
				down[b] += check
				longest = max(longest, down[b])
			}
		}
		o.Expect(longest).To(BeNumerically("<", 6*time.Second))
		o.Expect(r.state("sound")).To(Equal(carawayshift.BatchFinished))
		for i := range 3 {
			r.cancel(fmt.Sprint("lasting", i))
		}
		time.Sleep(2 * time.Second)
	})
}
