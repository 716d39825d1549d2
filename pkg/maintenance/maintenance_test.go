package maintenance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/maintenance"
)

var now = time.Date(2026, 8, 1, 12, 0, 0, 0, time.UTC)

func up(name string, runs int) maintenance.Machine {
	return maintenance.Machine{Name: name, Up: true, Runs: runs}
}

func TestNext(t *testing.T) {
	blocked := up("m1", 1)
	blocked.Blocked = true
	tests := []struct {
		name          string
		left          time.Duration
		limit         int
		started, done []string
		machines      []maintenance.Machine
		start, drain  []string
	}{
		{"idle machines come first", time.Minute, 1, nil, nil, []maintenance.Machine{up("m1", 2), up("m2", 0)}, []string{"m2"}, nil},
		{"no more machines than the limit", time.Minute, 1, []string{"m1"}, nil, []maintenance.Machine{up("m1", 0), up("m2", 0)}, nil, nil},
		{"the next machine when one has returned", time.Minute, 1, []string{"m1"}, []string{"m1"}, []maintenance.Machine{up("m1", 0), up("m2", 0)}, []string{"m2"}, nil},
		{"busy machines are drained", time.Minute, 1, nil, nil, []maintenance.Machine{up("m1", 1)}, nil, []string{"m1"}},
		{"busy machines are taken down when the due time is near", 3 * time.Second, 1, nil, nil, []maintenance.Machine{up("m1", 1)}, []string{"m1"}, nil},
		{"blocked machines wait even then", 3 * time.Second, 1, nil, nil, []maintenance.Machine{blocked}, nil, []string{"m1"}},
		{"no request for a machine that is down", time.Minute, 2, nil, nil, []maintenance.Machine{{Name: "m1"}}, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := NewWithT(t)
			w := carawayshift.Wave{ID: 1, Due: now.Add(tt.left), Limit: tt.limit, Started: tt.started, Done: tt.done}
			start, drain := maintenance.Next(maintenance.Input{Now: now, Wave: w, Machines: tt.machines, Duration: 3 * time.Second})
			o.Expect(start).To(Equal(tt.start))
			o.Expect(drain).To(Equal(tt.drain))
		})
	}
}
