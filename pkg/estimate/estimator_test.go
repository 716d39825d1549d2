package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/pkg/estimate"
)

func TestEstimate(t *testing.T) {
	o := NewWithT(t)
	r := estimate.New()
	o.Expect(r.Estimate("q", time.Minute)).To(Equal(time.Minute), "the declared run time without observations")
	for range 3 {
		r.Observe("q", time.Minute, 2*time.Second)
	}
	o.Expect(r.Estimate("q", time.Minute)).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
	o.Expect(r.Estimate("other", time.Minute)).To(Equal(time.Minute))
	for range 100 {
		r.Observe("q", time.Minute, 4*time.Second)
	}
	o.Expect(r.Estimate("q", time.Minute)).To(BeNumerically("~", 4*time.Second, 10*time.Millisecond), "the mean follows new observations")
}

// The declaration and the queue's mean are weighted by how well each predicted
// earlier run times.
func TestEstimateWeighsDeclarations(t *testing.T) {
	tests := []struct {
		name                            string
		runTimeSpread, declarationError float64
		atLeast, atMost                 float64
	}{
		{"accurate declarations of tasks with different run times", 0.8, 0.1, 7, 9},
		{"inaccurate declarations of tasks with similar run times", 0.1, 0.9, 1.5, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := NewWithT(t)
			r := estimate.New()
			rng := rand.New(rand.NewPCG(1, 2))
			for range 300 {
				took := 2 * math.Exp(tt.runTimeSpread*rng.NormFloat64())
				declared := took * math.Exp(tt.declarationError*rng.NormFloat64())
				r.Observe("q", seconds(declared), seconds(took))
			}
			got := r.Estimate("q", 8*time.Second).Seconds()
			o.Expect(got).To(And(BeNumerically(">", tt.atLeast), BeNumerically("<", tt.atMost)))
		})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
