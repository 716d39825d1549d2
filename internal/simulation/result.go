package simulation

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"carawayshift.example/carawayshift"
)

// Result are the results of one run. Shares are between 0 and 1.
type Result struct {
	Jobs, Finished int
	// Completion is the time from submission to end.
	CompletionMean, CompletionP95 time.Duration
	// LargeWait is the mean wait of gangs of 16 accelerators and more.
	LargeWait time.Duration
	// Utilization is the share of accelerator time in use while jobs arrived.
	Utilization float64
	// Fragmentation is the share of free accelerator time that the largest
	// waiting gang could not have used.
	Fragmentation float64
	// UsefulWork is the useful accelerator time from the drain to the end, relative
	// to the accelerators in service.
	UsefulWork float64
	// Urgent is the number of urgent guaranteed jobs, Late those of them that
	// started too late, ShortfallPlans the plans that report a shortfall with all
	// hardware present.
	Urgent, Late, ShortfallPlans int
	Stops                        int
	Plans                        int
	PlanP50, PlanP99             time.Duration
	PlanMax                      time.Duration
	// MaxRunningTasks is the largest number of running tasks.
	MaxRunningTasks int

	completions, plans             []time.Duration
	large                          mean
	busy, capacity, free, unusable float64
	useful, serviceable            float64
}

type mean struct {
	sum float64
	n   int
}

func (m *mean) add(x float64) {
	m.sum += x
	m.n++
}

func (m *mean) value() float64 { return m.sum / float64(max(1, m.n)) }

// account adds the accelerator time up to the given time.
func (l *loop) account(to time.Time) {
	dt := to.Sub(l.now).Seconds()
	l.now = to
	if dt <= 0 {
		return
	}
	busy, tasks := 0, 0
	for _, j := range l.live {
		if !j.ended && j.State == carawayshift.JobRunning {
			busy += j.Size()
			tasks += j.Tasks
		}
	}
	f := &l.figs
	f.MaxRunningTasks = max(f.MaxRunningTasks, tasks)
	if to.Before(start.Add(l.Submit)) {
		f.busy += dt * float64(busy)
		f.capacity += dt * float64(l.accelerators())
		l.fragments(dt)
	}
	if l.ReturnAt > 0 && to.After(start.Add(l.DrainAt)) {
		f.useful += dt * float64(busy)
		f.serviceable += dt * float64(l.inService())
	}
}

func (l *loop) inService() int {
	n := 0
	for _, w := range l.view.Workers {
		if w.Zone != l.view.Zones[0].Name || !l.view.Zones[0].Drained {
			n += w.Accelerators
		}
	}
	return n
}

// fragments adds the free accelerator time that the largest waiting gang can't
// use. A gang of whole workers can use a rack's wholly free workers, if they
// are enough for it; a smaller one can use any worker with room for it.
func (l *loop) fragments(dt float64) {
	size := 0
	for _, j := range l.live {
		if !j.ended && j.State == carawayshift.JobWaiting {
			size = max(size, j.Size())
		}
	}
	if size == 0 {
		return
	}
	free, usable := l.freeFor(size)
	l.figs.free += dt * float64(free)
	l.figs.unusable += dt * float64(free-usable)
}

func (l *loop) freeFor(size int) (free, usable int) {
	used := map[string]int{}
	for _, j := range l.live {
		if !j.ended {
			for _, p := range j.Placements {
				used[p.Worker] += p.Accelerators
			}
		}
	}
	racks := map[[2]string]int{}
	for _, w := range l.view.Workers {
		n := w.Accelerators - used[w.Name]
		free += n
		if size <= w.Accelerators {
			usable += n / size * size
		} else if n == w.Accelerators {
			racks[[2]string{w.Zone, w.Rack}] += n
		}
	}
	for _, n := range racks {
		usable += n / size * size
	}
	return free, usable
}

func (f *Result) started(j *running) {
	wait := j.first.Sub(j.Submitted)
	if j.Size() >= 16 {
		f.large.add(wait.Seconds())
	}
	if j.Urgent && j.claimed {
		f.Urgent++
		if wait > urgentLimit {
			f.Late++
		}
	}
}

func (f *Result) finished(j *running, now time.Time) {
	f.Finished++
	f.completions = append(f.completions, now.Sub(j.Submitted))
}

func (f *Result) planned(d time.Duration) { f.plans = append(f.plans, d) }

// lose takes the work that a stop throws away off the useful work.
func (f *Result) lose(j *running, now time.Time, saved time.Duration) {
	f.Stops++
	f.useful -= (j.done + now.Sub(j.Started) - saved).Seconds() * float64(j.Size())
}

// checked notes which urgent jobs have a guarantee cell at their first plan,
// and counts broken invariants.
func (f *Result) checked(l *loop, p *carawayshift.Plan) {
	if len(p.Shortfalls) > 0 && !l.view.Zones[0].Drained {
		f.ShortfallPlans++
	}
	guaranteed := map[uint64]bool{}
	for _, s := range p.Starts {
		guaranteed[s.Job] = !s.Borrowed
	}
	for _, j := range l.live {
		if !j.ended && !j.planned {
			j.planned = true
			j.claimed = guaranteed[j.ID] || p.Waits[j.ID].Rule == "reclaim"
		}
	}
}

func (f *Result) finish(l *loop) {
	f.Jobs = len(l.trace)
	f.Plans = len(f.plans)
	slices.Sort(f.plans)
	slices.Sort(f.completions)
	f.PlanP50, f.PlanP99, f.PlanMax = quantile(f.plans, 0.5), quantile(f.plans, 0.99), quantile(f.plans, 1)
	f.CompletionP95 = quantile(f.completions, 0.95)
	var m mean
	for _, d := range f.completions {
		m.add(d.Seconds())
	}
	f.CompletionMean = seconds(m.value())
	f.LargeWait = seconds(f.large.value())
	f.Utilization = f.busy / max(1, f.capacity)
	f.Fragmentation = f.unusable / max(1, f.free)
	if f.serviceable > 0 {
		f.UsefulWork = f.useful / f.serviceable
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Second)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Table replays the seeds with the planner and with first-fit, and returns the
// figures as text, with the quotient of both where targets are relative.
func (r Replay) Table(p carawayshift.Planner, seeds []uint64) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %d workers\tjobs\tmean\tp95\twait 16+\tuse\tfragm.\twork\turgent\tlate\tbroken\tstops\tplan p50\tp99\tmax\n", r.Objective, r.Workers)
	var sums [4]float64
	for _, s := range seeds {
		a, f := r.Run(p, s), r.Run(firstFit{}, s)
		a.row(w, fmt.Sprintf("seed %d", s))
		f.row(w, "  first-fit")
		q := a.relative(f)
		fmt.Fprintf(w, "  quotient\t\t%.2f\t%.2f\t%.2f\t%.2f\n", q[0], q[1], q[2], q[3])
		for i := range sums {
			sums[i] += q[i] / float64(len(seeds))
		}
	}
	fmt.Fprintf(w, "mean quotient\t\t%.2f\t%.2f\t%.2f\t%.2f\n", sums[0], sums[1], sums[2], sums[3])
	w.Flush()
	return b.String()
}

func (f *Result) row(w *tabwriter.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d/%d\t%v\t%v\t%v\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%v\t%v\t%v\n", name, f.Finished, f.Jobs,
		f.CompletionMean, f.CompletionP95.Round(time.Second), f.LargeWait, f.Utilization, f.Fragmentation, f.UsefulWork,
		f.Urgent, f.Late, f.ShortfallPlans, f.Stops, f.PlanP50.Round(time.Microsecond), f.PlanP99.Round(time.Microsecond), f.PlanMax.Round(time.Microsecond))
}

// relative returns mean and p95 completion, wait of large gangs and use as
// quotients of the baseline's.
func (f *Result) relative(o Result) [4]float64 {
	div := func(a, b time.Duration) float64 { return a.Seconds() / max(1, b.Seconds()) }
	return [4]float64{
		div(f.CompletionMean, o.CompletionMean), div(f.CompletionP95, o.CompletionP95),
		div(f.LargeWait, o.LargeWait), f.Utilization / max(1e-9, o.Utilization),
	}
}
