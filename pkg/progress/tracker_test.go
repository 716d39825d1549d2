package progress_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/pkg/progress"
)

var start = time.Date(2026, 8, 1, 12, 0, 0, 0, time.UTC)

type reading struct {
	after   time.Duration
	percent int
}

func TestTracker(t *testing.T) {
	tests := []struct {
		name     string
		readings []reading
		// end is counted from the start, 0 if unknown.
		end     time.Duration
		stalled bool
	}{
		{"no reports", nil, 0, false},
		{"too little progress", []reading{{0, 0}, {time.Second, 3}}, 0, false},
		{"steady", []reading{{0, 0}, {2 * time.Second, 20}}, 10 * time.Second, false},
		{"a gang that waits for its last member", []reading{{0, 0}, {2 * time.Second, 0}, {4 * time.Second, 20}}, 12 * time.Second, false},
		{"stalled", []reading{{0, 0}, {time.Second, 20}, {3 * time.Second, 20}, {5 * time.Second, 20}}, 5 * time.Second, true},
		{"done", []reading{{0, 0}, {time.Second, 100}, {9 * time.Second, 100}}, 9 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := NewWithT(t)
			var track progress.Tracker
			now := start
			for _, r := range tt.readings {
				now = start.Add(r.after)
				track.Update(r.percent, now)
			}
			end, ok := track.EstimatedEnd(now)
			o.Expect(ok).To(Equal(tt.end != 0))
			if ok {
				o.Expect(end.Sub(start)).To(Equal(tt.end))
			}
			o.Expect(track.Stalled(5 * time.Second)).To(Equal(tt.stalled))
		})
	}
}
