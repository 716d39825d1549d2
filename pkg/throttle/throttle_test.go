package throttle_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/pkg/throttle"
)

func TestNext(t *testing.T) {
	tests := []struct {
		percent int
		worst   float64
		want    int
	}{
		{100, 0.3, 100},
		{100, 0.95, 50},
		{50, 0.95, 25},
		{100, 1.2, 0},
		{0, 1.2, 0},
		{0, 0.7, 0},
		{0, 0.3, 20},
		{90, 0.3, 100},
	}
	for _, tt := range tests {
		NewWithT(t).Expect(throttle.Next(tt.percent, tt.worst)).To(Equal(tt.want), "%d percent, worst %.2f", tt.percent, tt.worst)
	}
}
