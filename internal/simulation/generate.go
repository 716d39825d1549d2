package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// burstMean is the mean number of jobs in a burst.
	burstMean = 12
	// minRunTime, maxRunTime and paretoShape define the Pareto distribution of run times.
	minRunTime  = 4 * time.Minute
	maxRunTime  = 5 * time.Hour
	paretoShape = 1.1
)

// simStart is the start of the virtual time.
var simStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// jobShape is the size of a gang, with the share of jobs that have it in percent.
type jobShape struct{ share, tasks, accelerators int }

var jobShapes = []jobShape{
	{25, 1, 1},
	{12, 1, 2},
	{10, 2, 1},
	{12, 1, 4},
	{16, 1, 8},
	{8, 2, 4},
	{6, 2, 8},
	{2, 4, 4},
	{5, 4, 8},
	{1, 3, 8},
	{3, 8, 8},
}

// preloadShapes average about 1.5 accelerators per task, so that 9,300 tasks use
// three quarters of 2,300 workers.
var preloadShapes = []jobShape{
	{40, 1, 1}, {20, 4, 2}, {15, 8, 1}, {10, 16, 2}, {5, 2, 8}, {5, 64, 1}, {5, 8, 2},
}

// traceJob is a job of the trace with its actual run time, as opposed to the
// declared one.
type traceJob struct {
	carawayshift.Job
	runTime time.Duration
}

// jobs generates the trace, in the order of submission.
func (r Replay) jobs(seed uint64) []traceJob {
	rng := rand.New(rand.NewPCG(seed, 1))
	teams := r.teams()
	targetWork := r.Load * float64(r.accelerators()) * r.Submit.Hours()
	var out []traceJob
	for work := 0.0; work < targetWork; {
		at := time.Duration(rng.Float64() * float64(r.Submit))
		team := skewedIndex(rng, len(teams))
		for n := 1 + int(rng.ExpFloat64()*burstMean); n > 0; n-- {
			j := r.job(rng, pickShape(rng, jobShapes), teams[team].Name, at)
			work += j.runTime.Hours() * float64(j.Size())
			out = append(out, j)
			at += time.Duration(rng.IntN(2000)) * time.Millisecond
		}
	}
	out = append(out, r.preload(rng, teams)...)
	slices.SortStableFunc(out, func(a, b traceJob) int { return a.Submitted.Compare(b.Submitted) })
	for i := range out {
		out[i].ID = uint64(i + 1)
		out[i].Name = fmt.Sprintf("job-%d", i+1)
	}
	return out
}

// preload generates long jobs with r.Preload tasks in total, submitted at the
// start, so that a large deployment is busy from the beginning.
func (r Replay) preload(rng *rand.Rand, teams []carawayshift.Team) []traceJob {
	var out []traceJob
	for tasks := 0; tasks < r.Preload; {
		j := r.job(rng, pickShape(rng, preloadShapes), teams[skewedIndex(rng, len(teams))].Name, 0)
		j.runTime += time.Duration(rng.Float64() * 2 * float64(r.Submit))
		j.Urgent = false
		tasks += j.Tasks
		out = append(out, j)
	}
	return out
}

func (r Replay) job(rng *rand.Rand, s jobShape, team string, at time.Duration) traceJob {
	actual := time.Duration(float64(minRunTime) * math.Pow(1-rng.Float64(), -1/paretoShape))
	j := traceJob{runTime: min(actual, maxRunTime).Round(time.Second)}
	j.Team, j.Tasks, j.Accelerators = team, s.tasks, s.accelerators
	j.Cores, j.Memory = 3*s.accelerators, 7000*s.accelerators
	j.Submitted = simStart.Add(at)
	j.Declared = time.Duration(float64(j.runTime) * math.Pow(10, 2*rng.Float64()-1)).Round(time.Second)
	j.Urgent = rng.IntN(100) < 8 && s.tasks*s.accelerators <= 8
	if rng.IntN(100) < 30 {
		j.Due = j.Submitted.Add(2*j.runTime + time.Duration(rng.IntN(240))*time.Minute)
	}
	j.State = carawayshift.JobWaiting
	return j
}

func pickShape(rng *rand.Rand, shapes []jobShape) jobShape {
	n := rng.IntN(100)
	for _, s := range shapes {
		if n -= s.share; n < 0 {
			return s
		}
	}
	return shapes[0]
}

// skewedIndex returns a random index below n. Low indexes are more likely, so that
// a few teams submit most of the work.
func skewedIndex(rng *rand.Rand, n int) int {
	return int(float64(n) * math.Pow(rng.Float64(), 2))
}

// teams returns the teams. Their guarantees total about half of the accelerators;
// the first teams have the largest ones.
func (r Replay) teams() []carawayshift.Team {
	out := make([]carawayshift.Team, r.Teams)
	left := r.accelerators() / 2
	for i := range out {
		out[i].Name = fmt.Sprintf("team%02d", i)
		share := max(24, left/3)
		left -= share
		out[i].Guarantee = cells(share)
	}
	return out
}

// cells splits n accelerators into cells of 32, 8 and 2.
func cells(n int) []carawayshift.CellCount {
	large := n / 64
	n -= large * 32
	mid := n * 3 / 4 / 8
	n -= mid * 8
	return []carawayshift.CellCount{{Count: large, Size: 32}, {Count: mid, Size: 8}, {Count: n / 2, Size: 2}}
}

func (r Replay) accelerators() int { return r.Workers * 8 }

// view returns the teams, zones and workers. A rack has 8 workers.
func (r Replay) view() carawayshift.View {
	v := carawayshift.View{Objective: r.Objective, Teams: r.teams()}
	for z := range r.Zones {
		v.Zones = append(v.Zones, carawayshift.Zone{Name: fmt.Sprintf("zone%02d", z)})
	}
	for i := range r.Workers {
		z := i * r.Zones / r.Workers
		first := (z*r.Workers + r.Zones - 1) / r.Zones
		v.Workers = append(v.Workers, carawayshift.Worker{
			Name: fmt.Sprintf("zone%02d-w%03d", z, i-first), Zone: v.Zones[z].Name,
			Rack: fmt.Sprintf("rack%02d", (i-first)/8), Incarnation: 1,
			Cores: 30, Memory: 64000, Accelerators: 8,
		})
	}
	return v
}
