package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// addRunning adds a running job with one task on each of the given workers.
func (w *world) addRunning(j carawayshift.Job, ran, saved time.Duration, workers ...string) uint64 {
	id := w.submit(j)
	r := w.job(id)
	r.State, r.Attempt, r.Started, r.Checkpoint = carawayshift.JobRunning, 1, w.now.Add(-ran), saved
	for i, n := range workers {
		r.Zone = n[:5]
		r.Placements = append(r.Placements, carawayshift.TaskPlacement{Task: i, Worker: n, Incarnation: 1, Accelerators: j.Accelerators})
	}
	return id
}

// fillExcept occupies all workers but the named ones with borrowed jobs of team
// c, one of 8 accelerators on each worker. They have run for 5 hours without a
// checkpoint, so stopping them is expensive.
func (w *world) fillExcept(except ...string) {
	free := map[string]bool{}
	for _, n := range except {
		free[n] = true
	}
	for _, n := range w.view.Workers {
		if !free[n.Name] {
			w.addRunning(carawayshift.Job{Team: "c", Tasks: 1, Accelerators: 8, Borrowed: true}, 5*time.Hour, 0, n.Name)
		}
	}
}

// Guards against a reclaim that stops other victims than the cheapest one, stops
// more than one cell needs, or starts other work on the cell that is being freed.
func TestReclaim(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(carawayshift.ObjectiveCompletion)
	w.fillExcept("zone1-w2")
	cheap := w.addRunning(carawayshift.Job{Team: "c", Tasks: 1, Accelerators: 8, Borrowed: true}, time.Hour, 59*time.Minute, "zone1-w2")
	id := w.submit(carawayshift.Job{Team: "a", Tasks: 1, Accelerators: 8, Urgent: true})
	p := New().Plan(w.now, w.view)
	g.Expect(p.Stops).To(HaveLen(1))
	g.Expect(p.Stops[0].Job).To(Equal(cheap))
	g.Expect(p.Stops[0].For).To(Equal(id))
	g.Expect(p.Waits[id].Rule).To(Equal(ruleReclaim))

	w.job(cheap).State = carawayshift.JobStopping
	p = New().Plan(w.now.Add(time.Second), w.view)
	g.Expect(p.Stops).To(BeEmpty(), "the stopping victim is enough")
	g.Expect(p.Starts).To(BeEmpty(), "a stopping job still occupies its cell")

	// Half of the cell is free already, but a job that would fit there must wait.
	w.job(cheap).Accelerators, w.job(cheap).Placements[0].Accelerators = 4, 4
	other := w.submit(carawayshift.Job{Team: "c", Tasks: 1, Accelerators: 4})
	p = New().Plan(w.now.Add(2*time.Second), w.view)
	g.Expect(p.Starts).To(BeEmpty())
	g.Expect(p.Waits).To(HaveKey(other))
}

// Guards against starts on workers on which the job failed while others are
// free, and against a job that never starts because only such workers are left.
func TestAvoidsWorkersWhereTheJobFailed(t *testing.T) {
	for _, team := range []string{"a", "c"} {
		t.Run(team, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(carawayshift.ObjectiveCompletion)
			w.fillExcept("zone1-w2", "zone2-w3")
			id := w.submit(carawayshift.Job{Team: team, Tasks: 1, Accelerators: 8})
			first := New().Plan(w.now, w.view).Starts[0].Placements[0].Worker
			w.job(id).FailedOn = []string{first}
			g.Expect(New().Plan(w.now, w.view).Starts[0].Placements[0].Worker).NotTo(Equal(first))
			w.job(id).FailedOn = []string{"zone1-w2", "zone2-w3"}
			if team == "c" {
				g.Expect(New().Plan(w.now, w.view).Starts).To(HaveLen(1))
			}
		})
	}
}

// Guards against an explanation that gives the wrong rule or suggests a
// statement that doesn't help.
func TestExplanations(t *testing.T) {
	tests := []struct {
		name   string
		job    carawayshift.Job
		change func(*world)
		rule   string
		next   string
	}{
		{"zone out", carawayshift.Job{Team: "c", Tasks: 6, Accelerators: 8}, func(w *world) {
			for i := range w.view.Zones {
				w.view.Zones[i].Drained = i != 1
			}
			w.view.Workers = w.view.Workers[:10]
		}, ruleZoneOut, "return zone zone0"},
		{"no zone", carawayshift.Job{Team: "c", Tasks: 7, Accelerators: 8}, func(*world) {}, ruleNoZone, "set job 1 tasks 6"},
		{"quarantine", carawayshift.Job{Team: "c", Tasks: 6, Accelerators: 8}, func(w *world) {
			for _, i := range []int{0, 6, 12} {
				w.view.Workers[i].Quarantined = true
			}
		}, ruleUnusableWorkers, "release worker zone0-w0"},
		{"no workers", carawayshift.Job{Team: "c", Tasks: 1, Accelerators: 1}, func(w *world) { w.view.Workers = nil }, ruleNoWorkers, "show workers"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(carawayshift.ObjectivePacking)
			id := w.submit(tt.job)
			tt.change(w)
			wait := New().Plan(w.now, w.view).Waits[id]
			g.Expect(wait.Rule).To(Equal(tt.rule))
			g.Expect(wait.Statement).To(Equal(tt.next))
		})
	}
}

// Guards against small jobs that use the workers reserved for a large gang, and
// against delaying small jobs that are expected to end before the reservation
// begins.
func TestReservation(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(carawayshift.ObjectiveCompletion)
	w.fillExcept("zone0-w0", "zone0-w1")
	w.addRunning(carawayshift.Job{Team: "c", Tasks: 1, Accelerators: 8, Borrowed: true, Declared: 3 * time.Hour}, time.Hour, 0, "zone0-w1")
	large := w.submit(carawayshift.Job{Team: "c", Tasks: 2, Accelerators: 8})
	w.job(large).Submitted = w.now.Add(-reservationDelay)
	long := w.submit(carawayshift.Job{Team: "c", Tasks: 1, Accelerators: 8, Declared: 20 * time.Hour})
	p := New().Plan(w.now, w.view)
	g.Expect(p.Waits[large].Rule).To(Equal(ruleReservation))
	g.Expect(p.Waits[large].Expected).To(Equal(w.now.Add(5 * time.Hour)))
	g.Expect(p.Waits[long].Rule).To(Equal(ruleBehindReservation))
	g.Expect(p.Starts).To(BeEmpty())
	short := w.submit(carawayshift.Job{Team: "c", Tasks: 1, Accelerators: 8, Declared: time.Hour})
	p = New().Plan(w.now, w.view)
	g.Expect(p.Starts).To(HaveLen(1))
	g.Expect(p.Starts[0].Job).To(Equal(short))
}

// Guards against a drain that stops all work at once, starts work in the drained
// zone, or begins with the work that loses most; and against a returned zone
// that is filled with small jobs first.
func TestZoneOutAndBack(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(carawayshift.ObjectivePacking)
	for z := range w.view.Zones {
		w.view.Zones[z].Drained = z != 1
	}
	w.view.Zones[0].Changed = w.now
	for i, n := range []string{"zone0-w0", "zone0-w1", "zone0-w2", "zone0-w3"} {
		w.addRunning(carawayshift.Job{Team: "c", Tasks: 8, Accelerators: 1, Borrowed: true}, time.Hour, time.Duration(i)*10*time.Minute, n, n, n, n, n, n, n, n)
	}
	p := New().Plan(w.now, w.view)
	g.Expect(p.Stops).NotTo(BeEmpty())
	g.Expect(p.Stops[0].Job).To(BeNumerically("==", 4), "the latest checkpoint goes first")

	w.view.Jobs, w.view.Objective = nil, carawayshift.ObjectiveCompletion
	w.view.Zones[0].Drained = false
	w.view.Workers = w.view.Workers[:6]
	for range 3 {
		w.submit(carawayshift.Job{Team: "c", Tasks: 1, Accelerators: 8, Urgent: true})
	}
	large := w.submit(carawayshift.Job{Team: "c", Tasks: 6, Accelerators: 8})
	g.Expect(New().Plan(w.now, w.view).Starts[0].Job).To(Equal(large))
}

// Guards against a drain that stops all work of a large zone at once, so that
// the other zones have no room for it.
func TestDrainsInBatches(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(carawayshift.ObjectivePacking)
	for i := range w.view.Workers {
		w.view.Workers[i].Zone = "zone0"
	}
	w.fillExcept()
	for i := range w.view.Jobs {
		w.view.Jobs[i].Zone = "zone0"
	}
	w.view.Zones[0].Drained = true
	p := New().Plan(w.now, w.view)
	g.Expect(len(p.Stops) * 8).To(Equal(minDrainBatch))
	w.apply(nil, carawayshift.Plan{Stops: p.Stops, Waits: p.Waits})
	g.Expect(New().Plan(w.now, w.view).Stops).To(BeEmpty(), "the batch is still stopping")
}

// Guards against accepting a guarantee that could only be met by stopping
// guaranteed work: with a job in the first rack of each zone, no rack has four
// free workers.
func TestCheckGuaranteesAroundRunningWork(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(carawayshift.ObjectiveCompletion)
	for _, z := range []string{"zone0", "zone1", "zone2"} {
		w.addRunning(carawayshift.Job{Team: "b", Tasks: 1, Accelerators: 8}, time.Hour, 0, z+"-w0")
	}
	w.view.Teams[0].Guarantee = nil
	w.view.Teams[1].Guarantee = []carawayshift.CellCount{{Count: 3, Size: 8}}
	g.Expect(New().CheckGuarantees(w.view)).To(Succeed())
	w.view.Teams[0].Guarantee = []carawayshift.CellCount{{Count: 1, Size: 32}}
	g.Expect(New().CheckGuarantees(w.view)).To(MatchError(ContainSubstring("running guaranteed job")))
}

// Guards against accepting guarantees that can't be packed, and against a
// refusal that doesn't name the missing cells and the room of each zone.
func TestCheckGuarantees(t *testing.T) {
	tests := []struct {
		name string
		give []carawayshift.CellCount
		want string
	}{
		{"fits", []carawayshift.CellCount{{Count: 1, Size: 32}, {Count: 2, Size: 8}}, ""},
		{"too many", []carawayshift.CellCount{{Count: 4, Size: 32}}, "need 2x32, 3x2 more than there is room for: zone zone0 has room for 1x32"},
		{"too large", []carawayshift.CellCount{{Count: 1, Size: 64}}, "need 1x64"},
		{"no power of two", []carawayshift.CellCount{{Count: 1, Size: 6}}, "1x6 is not a count of cells"},
		{"negative", []carawayshift.CellCount{{Count: -1, Size: 8}}, "-1x8 is not"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(carawayshift.ObjectiveCompletion)
			w.view.Teams[2].Guarantee = tt.give
			err := New().CheckGuarantees(w.view)
			if tt.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(ContainSubstring(tt.want)))
			g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.Refused))
		})
	}
}

// Guards against a search that finds no binding for a cell with a quarantined
// worker: the cell has to be bound around the gang on that worker first.
func TestChargesCellsWithQuarantinedWorkers(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(carawayshift.ObjectiveCompletion)
	w.view.Teams[0].Guarantee = []carawayshift.CellCount{{Count: 1, Size: 32}}
	w.addRunning(carawayshift.Job{Team: "a", Tasks: 2, Accelerators: 8}, time.Hour, 0, "zone0-w2", "zone0-w3")
	w.addRunning(carawayshift.Job{Team: "a", Tasks: 1, Accelerators: 8}, time.Hour, 0, "zone0-w1")
	w.view.Workers[1].Quarantined = true
	g.Expect(w.charged()).To(Equal(map[uint64]bool{1: true, 2: true}))
}
