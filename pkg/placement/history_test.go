package placement

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawayshift.example/carawayshift"
)

// world is an in-memory scheduler state to which plans are applied.
type world struct {
	now            time.Time
	view           carawayshift.View
	removedWorkers []carawayshift.Worker
	lastID         uint64
	// reports holds all reports of ended attempts; any of them may be delivered
	// again later.
	reports []report
	// hardwareLost is true once a zone or worker has been taken away or
	// returned; from then on guarantees may be impossible to pack.
	hardwareLost bool
	// stateAfterStop is the state that jobs enter after a stop by a plan.
	stateAfterStop carawayshift.JobState
}

type report struct {
	job     uint64
	attempt int
	to      carawayshift.JobState
}

func newWorld(objective carawayshift.Objective) *world {
	w := &world{now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), stateAfterStop: carawayshift.JobWaiting}
	w.view.Objective = objective
	for z := range 3 {
		zone := fmt.Sprintf("zone%d", z)
		w.view.Zones = append(w.view.Zones, carawayshift.Zone{Name: zone})
		for i := range 6 {
			w.view.Workers = append(w.view.Workers, carawayshift.Worker{
				Name: fmt.Sprintf("%s-w%d", zone, i), Zone: zone, Rack: fmt.Sprintf("r%d", i/4),
				Cores: 32, Memory: 6400, Accelerators: 8, Incarnation: 1,
			})
		}
	}
	w.view.Teams = []carawayshift.Team{
		{Name: "a", Guarantee: []carawayshift.CellCount{{Count: 1, Size: 32}, {Count: 2, Size: 8}}},
		{Name: "b", Guarantee: []carawayshift.CellCount{{Count: 2, Size: 16}, {Count: 3, Size: 2}}},
		{Name: "c", RunTimeRatio: 2},
	}
	return w
}

func (w *world) job(id uint64) *carawayshift.Job {
	i := slices.IndexFunc(w.view.Jobs, func(j carawayshift.Job) bool { return j.ID == id })
	if i < 0 {
		return nil
	}
	return &w.view.Jobs[i]
}

func (w *world) submit(j carawayshift.Job) uint64 {
	w.lastID++
	j.ID, j.Submitted, j.State = w.lastID, w.now, carawayshift.JobWaiting
	w.view.Jobs = append(w.view.Jobs, j)
	return j.ID
}

// deliver applies a report unless it belongs to an older attempt.
func (w *world) deliver(r report) {
	j := w.job(r.job)
	if j == nil || j.Attempt != r.attempt || !j.Active() {
		return
	}
	if r.to == carawayshift.JobFinished {
		id := j.ID
		w.view.Jobs = slices.DeleteFunc(w.view.Jobs, func(j carawayshift.Job) bool { return j.ID == id })
		return
	}
	j.State, j.Placements, j.Zone, j.Borrowed = r.to, nil, "", false
}

// apply executes a plan and fails the test when the plan violates a rule.
func (w *world) apply(t *rapid.T, p carawayshift.Plan) {
	charged := w.charged()
	for _, s := range p.Stops {
		j := w.job(s.Job)
		if j == nil || j.Attempt != s.Attempt || (j.State != carawayshift.JobRunning && j.State != carawayshift.JobPlaced) {
			t.Fatalf("stop of job %d, attempt %d, which is not running", s.Job, s.Attempt)
		}
		if s.For != 0 && charged[s.Job] {
			t.Fatalf("guaranteed job %d is reclaimed", s.Job)
		}
		j.State, j.StateAfterStop = carawayshift.JobStopping, w.stateAfterStop
	}
	for _, s := range p.Starts {
		w.checkStart(t, s)
		j := w.job(s.Job)
		j.Attempt++
		j.State, j.Zone, j.Placements, j.Borrowed = carawayshift.JobRunning, s.Zone, s.Placements, s.Borrowed
		j.Started = w.now
	}
	for _, k := range p.Parks {
		j := w.job(k.Job)
		if j.State != carawayshift.JobWaiting || k.Reason == "" {
			t.Fatalf("park of job %d in state %s for %q", k.Job, j.State, k.Reason)
		}
		j.State = carawayshift.JobParked
	}
	w.checkCapacity(t)
	w.checkWaits(t, p)
}

// charged returns, by job id, whether the job is charged to its team's
// guarantee. A job that was started as guaranteed work may not be after the
// guarantee was lowered.
func (w *world) charged() map[uint64]bool {
	m := newModel(w.now, &w.view)
	out := map[uint64]bool{}
	for i := range m.gangs {
		out[m.gangs[i].ID] = m.gangs[i].guaranteed
	}
	return out
}

func (w *world) checkStart(t *rapid.T, s carawayshift.Start) {
	j := w.job(s.Job)
	if j == nil || j.State != carawayshift.JobWaiting {
		t.Fatalf("start of job %d, which is not waiting", s.Job)
	}
	if len(s.Placements) != j.Tasks {
		t.Fatalf("job %d: %d placements for %d tasks", j.ID, len(s.Placements), j.Tasks)
	}
	for i, p := range s.Placements {
		k := slices.IndexFunc(w.view.Workers, func(n carawayshift.Worker) bool { return n.Name == p.Worker })
		if k < 0 || p.Task != i || p.Accelerators != j.Accelerators {
			t.Fatalf("job %d: invalid placement %+v", j.ID, p)
		}
		n := w.view.Workers[k]
		z := w.view.Zones[slices.IndexFunc(w.view.Zones, func(z carawayshift.Zone) bool { return z.Name == n.Zone })]
		if n.Leaving || n.Quarantined || n.Zone != s.Zone || z.Drained || p.Incarnation != n.Incarnation {
			t.Fatalf("job %d: placed on %+v, zone drained: %v", j.ID, n, z.Drained)
		}
	}
}

func (w *world) checkCapacity(t *rapid.T) {
	type use struct{ accelerators, cores, memory int }
	used := map[string]use{}
	for _, j := range w.view.Jobs {
		for _, p := range j.Placements {
			u := used[p.Worker]
			used[p.Worker] = use{u.accelerators + p.Accelerators, u.cores + j.Cores, u.memory + j.Memory}
		}
	}
	for _, n := range w.view.Workers {
		if u := used[n.Name]; u.accelerators > n.Accelerators || u.cores > n.Cores || u.memory > n.Memory {
			t.Fatalf("worker %s is over its capacity: %+v", n.Name, u)
		}
	}
}

func (w *world) checkWaits(t *rapid.T, p carawayshift.Plan) {
	for _, j := range w.view.Jobs {
		wait, ok := p.Waits[j.ID]
		if ok != (j.State == carawayshift.JobWaiting) {
			t.Fatalf("job %d in state %s: explained %v", j.ID, j.State, ok)
		}
		if ok && (wait.Rule == "" || wait.UnblockedBy == "" || wait.Statement == "") {
			t.Fatalf("job %d: incomplete explanation %+v", j.ID, wait)
		}
	}
}

// plan makes one plan, applies it and checks the invariant.
func (w *world) plan(t *rapid.T) carawayshift.Plan {
	before := newModel(w.now, &w.view).deficit()
	jobs := len(w.view.Jobs)
	p := New().Plan(w.now, w.view)
	if again := New().Plan(w.now, w.view); !reflect.DeepEqual(p, again) {
		t.Fatalf("two plans of one view differ: %+v, %+v", p, again)
	}
	w.apply(t, p)
	if len(w.view.Jobs) != jobs {
		t.Fatalf("a plan changed the number of jobs from %d to %d", jobs, len(w.view.Jobs))
	}
	after := newModel(w.now, &w.view).deficit()
	// Stops of guaranteed work in a drained zone are due to the loss of its
	// hardware, so the deficit may grow.
	drained := slices.ContainsFunc(p.Stops, func(s carawayshift.Stop) bool { return s.For == 0 })
	if before == 0 && after > 0 && !drained {
		t.Fatalf("a plan broke the invariant: deficit %d after %+v", after, p.Starts)
	}
	if !w.hardwareLost && (before > 0 || len(p.Shortfalls) > 0) {
		t.Fatalf("invariant broken without loss of hardware: deficit %d, %+v", before, p.Shortfalls)
	}
	return p
}

// deliverStops completes all stops and plans again, three times.
func (w *world) deliverStops(t *rapid.T) {
	for range 3 {
		w.now = w.now.Add(stopDuration)
		for _, j := range slices.Clone(w.view.Jobs) {
			if j.State == carawayshift.JobStopping {
				w.deliver(report{j.ID, j.Attempt, j.StateAfterStop})
			}
		}
		w.plan(t)
	}
}

// Guards against plans that break the invariant, place a gang partly, exceed a
// worker's capacity, lose or duplicate a job, or leave a waiting job without an
// explanation.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.SampledFrom([]carawayshift.Objective{
			carawayshift.ObjectiveCompletion, carawayshift.ObjectivePacking,
		}).Draw(t, "objective"))
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
			w.step(t)
			w.plan(t)
		}
	})
}

func (w *world) step(t *rapid.T) {
	steps := map[string]func(*rapid.T){
		"a submit": w.submitAny, "b submit": w.submitAny, "c submit": w.submitAny, "d finish": w.finishAny, "e finish": w.finishAny,
		"f stopped": w.stopAny, "g stopped": w.stopAny, "h cancel": w.cancelAny, "i late": w.deliverEarlierReport,
		"j zone": w.toggleZone, "k worker": w.changeWorker, "l guarantee": w.changeGuarantee,
	}
	steps[rapid.SampledFrom(slices.Sorted(maps.Keys(steps))).Draw(t, "step")](t)
}

func (w *world) submitAny(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "burst") {
		w.submit(carawayshift.Job{
			Team:         rapid.SampledFrom([]string{"a", "b", "c", "unknown"}).Draw(t, "team"),
			Tasks:        rapid.IntRange(1, 5).Draw(t, "tasks"),
			Accelerators: rapid.SampledFrom([]int{1, 2, 3, 8, 8, 9}).Draw(t, "accelerators"),
			Cores:        rapid.SampledFrom([]int{0, 4, 12}).Draw(t, "cores"),
			Declared:     time.Duration(rapid.IntRange(0, 90).Draw(t, "minutes")) * time.Minute,
			Urgent:       rapid.IntRange(0, 3).Draw(t, "urgent") == 0,
		})
	}
}

func (w *world) drawJob(t *rapid.T, fits func(carawayshift.Job) bool) *carawayshift.Job {
	var ids []uint64
	for _, j := range w.view.Jobs {
		if fits(j) {
			ids = append(ids, j.ID)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return w.job(rapid.SampledFrom(ids).Draw(t, "job"))
}

func (w *world) finishAny(t *rapid.T) {
	if j := w.drawJob(t, carawayshift.Job.Active); j != nil {
		r := report{j.ID, j.Attempt, carawayshift.JobFinished}
		w.reports = append(w.reports, r)
		w.deliver(r)
	}
}

func (w *world) stopAny(t *rapid.T) {
	j := w.drawJob(t, func(j carawayshift.Job) bool { return j.State == carawayshift.JobStopping })
	if j != nil {
		r := report{j.ID, j.Attempt, j.StateAfterStop}
		w.reports = append(w.reports, r)
		w.deliver(r)
	}
}

func (w *world) deliverEarlierReport(t *rapid.T) {
	if len(w.reports) > 0 {
		w.deliver(rapid.SampledFrom(w.reports).Draw(t, "report"))
	}
}

func (w *world) cancelAny(t *rapid.T) {
	j := w.drawJob(t, func(carawayshift.Job) bool { return true })
	if j == nil {
		return
	}
	if j.Active() {
		j.State, j.StateAfterStop = carawayshift.JobStopping, carawayshift.JobFinished
		return
	}
	id := j.ID
	w.view.Jobs = slices.DeleteFunc(w.view.Jobs, func(j carawayshift.Job) bool { return j.ID == id })
}

func (w *world) toggleZone(t *rapid.T) {
	z := &w.view.Zones[rapid.IntRange(0, 2).Draw(t, "zone")]
	z.Drained = !z.Drained
	z.Changed = w.now
	w.hardwareLost = true
}

// changeWorker removes a worker, returns one with a new incarnation, or starts
// or ends the quarantine of one.
func (w *world) changeWorker(t *rapid.T) {
	w.hardwareLost = true
	if len(w.removedWorkers) > 0 && rapid.Bool().Draw(t, "back") {
		n := w.removedWorkers[0]
		n.Incarnation++
		w.removedWorkers = w.removedWorkers[1:]
		w.view.Workers = append(w.view.Workers, n)
		slices.SortFunc(w.view.Workers, func(a, b carawayshift.Worker) int {
			return int(int64(a.Name[4])-int64(b.Name[4]))*10 + int(int64(a.Name[7])-int64(b.Name[7]))
		})
		return
	}
	i := rapid.IntRange(0, len(w.view.Workers)-1).Draw(t, "worker")
	n := &w.view.Workers[i]
	if rapid.Bool().Draw(t, "quarantine") || len(w.view.Workers) < 4 {
		n.Quarantined = !n.Quarantined
		return
	}
	for k := range w.view.Jobs {
		j := &w.view.Jobs[k]
		if slices.ContainsFunc(j.Placements, func(p carawayshift.TaskPlacement) bool { return p.Worker == n.Name }) {
			j.State, j.StateAfterStop = carawayshift.JobStopping, carawayshift.JobWaiting
		}
	}
	w.removedWorkers = append(w.removedWorkers, *n)
	w.view.Workers = slices.Delete(w.view.Workers, i, i+1)
}

// changeGuarantee changes a team's guarantee if the planner accepts the change.
func (w *world) changeGuarantee(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "team")
	old := w.view.Teams[i].Guarantee
	w.view.Teams[i].Guarantee = []carawayshift.CellCount{
		{Count: rapid.IntRange(0, 1).Draw(t, "32"), Size: 32},
		{Count: rapid.IntRange(0, 3).Draw(t, "8"), Size: 8},
		{Count: rapid.IntRange(0, 3).Draw(t, "4"), Size: 4},
	}
	if New().CheckGuarantees(w.view) != nil {
		w.view.Teams[i].Guarantee = old
	}
}

// Guards against guarantees that pass the packing check but can't be reclaimed:
// after any history without loss of hardware, teams without guaranteed work
// submit jobs for all their cells at once, and these jobs must run after the
// stops.
func TestGuaranteesAreReclaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(carawayshift.ObjectiveCompletion)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			w.now = w.now.Add(time.Minute)
			rapid.SampledFrom([]func(*rapid.T){w.submitAny, w.submitAny, w.finishAny, w.stopAny, w.changeGuarantee}).Draw(t, "step")(t)
			w.plan(t)
		}
		keep := rapid.SampledFrom([]string{"a", "b", "c", "none"}).Draw(t, "keep")
		// Stopped jobs must not wait again, or they would compete for the same
		// cells.
		w.stateAfterStop = carawayshift.JobFinished
		for i := range w.view.Jobs {
			w.view.Jobs[i].StateAfterStop = w.stateAfterStop
		}
		for _, j := range slices.Clone(w.view.Jobs) {
			if (j.Active() && !j.Borrowed && j.Team != keep) || j.State == carawayshift.JobWaiting {
				w.view.Jobs = slices.DeleteFunc(w.view.Jobs, func(o carawayshift.Job) bool { return o.ID == j.ID })
			}
		}
		var asked []uint64
		for _, team := range w.view.Teams {
			for _, c := range team.Guarantee {
				for range c.Count {
					if team.Name != keep {
						j := carawayshift.Job{Team: team.Name, Tasks: 1, Accelerators: c.Size}
						if c.Size > 8 {
							j.Tasks, j.Accelerators = c.Size/8, 8
						}
						asked = append(asked, w.submit(j))
					}
				}
			}
		}
		w.plan(t)
		w.deliverStops(t)
		for _, id := range asked {
			if j := w.job(id); j.State != carawayshift.JobRunning || j.Borrowed {
				t.Fatalf("job %d of team %s, %dx%d, is not running in its guarantee cell: state %s", id, j.Team, j.Tasks, j.Accelerators, j.State)
			}
		}
	})
}
