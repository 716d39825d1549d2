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

var step = carawayshift.TaskName{Batch: "b"}

// with returns a machine with a run and the given tasks of a step.
func with(name string, available, uncertain int) maintenance.Machine {
	m := up(name, 1)
	m.Tasks = map[carawayshift.TaskName]maintenance.Tasks{step: {Available: available, Uncertain: uncertain}}
	return m
}

func unconfirmed(m maintenance.Machine) maintenance.Machine {
	m.Unconfirmed = true
	return m
}

func TestNext(t *testing.T) {
	tests := []struct {
		name           string
		left           time.Duration
		limit          int
		started, done  []string
		machines       []maintenance.Machine
		request, drain []string
	}{
		{"idle machines come first", time.Minute, 1, nil, nil, []maintenance.Machine{up("m1", 2), up("m2", 0)}, []string{"m2"}, nil},
		{"no more machines than the limit", time.Minute, 1, []string{"m1"}, nil, []maintenance.Machine{up("m1", 0), up("m2", 0)}, nil, nil},
		{"the next machine when one has returned", time.Minute, 1, []string{"m1"}, []string{"m1"}, []maintenance.Machine{up("m1", 0), up("m2", 0)}, []string{"m2"}, nil},
		{"busy machines are drained", time.Minute, 1, nil, nil, []maintenance.Machine{up("m1", 1)}, nil, []string{"m1"}},
		{"busy machines are taken down when the due time is near", 3 * time.Second, 1, nil, nil, []maintenance.Machine{up("m1", 1)}, []string{"m1"}, nil},
		{"no request for a machine that is down", time.Minute, 2, nil, nil, []maintenance.Machine{{Name: "m1"}}, nil, nil},
		{"a request that is not confirmed is repeated beside the limit", time.Minute, 1, []string{"m1"}, nil, []maintenance.Machine{unconfirmed(up("m1", 0)), up("m2", 0)}, []string{"m1"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := NewWithT(t)
			w := carawayshift.Wave{ID: 1, Due: now.Add(tt.left), Limit: tt.limit, Started: tt.started, Done: tt.done}
			request, drain := maintenance.Next(maintenance.Input{Now: now, Wave: w, Machines: tt.machines, Duration: 3 * time.Second})
			o.Expect(request).To(Equal(tt.request))
			o.Expect(drain).To(Equal(tt.drain))
		})
	}
}

// Machines that are taken down together must not have more tasks of a step than may be
// unavailable at once, although each of them alone would be allowed.
func TestNextKeepsTasksAvailable(t *testing.T) {
	tests := []struct {
		name           string
		unavailable    int // of at most one
		machines       []maintenance.Machine
		request, drain []string
	}{
		{"one of two machines with a task each", 0, []maintenance.Machine{with("m1", 1, 0), with("m2", 1, 0)}, []string{"m1"}, []string{"m2"}},
		{"another task is unavailable", 1, []maintenance.Machine{with("m1", 1, 0)}, nil, []string{"m1"}},
		{"two tasks on a machine", 0, []maintenance.Machine{with("m1", 2, 0)}, nil, []string{"m1"}},
		{"the task that may be unavailable is on the machine", 1, []maintenance.Machine{with("m1", 0, 1)}, []string{"m1"}, nil},
		{"a task that may be unavailable is on each machine", 2, []maintenance.Machine{with("m1", 0, 1), with("m2", 0, 1)}, nil, []string{"m1", "m2"}},
		{"tasks that don't work hold up nothing", 3, []maintenance.Machine{with("m1", 0, 0), with("m2", 0, 0)}, []string{"m1", "m2"}, nil},
		{"a repeated request", 1, []maintenance.Machine{unconfirmed(with("m1", 1, 0))}, nil, []string{"m1"}},
		{"a repeated request comes before a new one", 0, []maintenance.Machine{with("m1", 1, 0), unconfirmed(with("m2", 1, 0))}, []string{"m2"}, []string{"m1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := NewWithT(t)
			w := carawayshift.Wave{ID: 1, Due: now, Limit: 2}
			for _, m := range tt.machines {
				if m.Unconfirmed {
					w.Started = append(w.Started, m.Name)
				}
			}
			request, drain := maintenance.Next(maintenance.Input{
				Now: now, Wave: w, Machines: tt.machines, Duration: 3 * time.Second,
				Unavailable: map[carawayshift.TaskName]int{step: tt.unavailable}, MaxUnavailable: map[carawayshift.TaskName]int{step: 1},
			})
			o.Expect(request).To(Equal(tt.request))
			o.Expect(drain).To(Equal(tt.drain))
		})
	}
}
