package simulation

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"carawayshift.example/carawayshift"
)

// Result holds the results of one run. Shares are between 0 and 1.
type Result struct {
	Jobs, Finished int
	// CompletionMean and CompletionP95 describe the time from submission to end.
	CompletionMean, CompletionP95 time.Duration
	// LargeWait is the mean waiting time of gangs of at least 16 accelerators.
	LargeWait time.Duration
	// Utilization is the share of accelerator time in use while jobs arrive.
	Utilization float64
	// Fragmentation is the share of free accelerator time that the largest
	// waiting gang can't use.
	Fragmentation float64
	// UsefulWork is the useful accelerator time from the drain to the end,
	// relative to that of the accelerators in service.
	UsefulWork float64
	// Urgent is the number of urgent guaranteed jobs, Late the number of those
	// that started after urgentStartLimit, ShortfallPlans the number of plans that
	// report a shortfall although all workers are present.
	Urgent, Late, ShortfallPlans int
	Stops                        int
	Plans                        int
	PlanP50, PlanP99             time.Duration
	PlanMax                      time.Duration
	// MaxRunningTasks is the maximum number of tasks running at the same time.
	MaxRunningTasks int

	completions, planTimes                                     []time.Duration
	largeWaits                                                 mean
	busySeconds, capacitySeconds, freeSeconds, unusableSeconds float64
	usefulSeconds, inServiceSeconds                            float64
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

// advanceClock moves the virtual time forward and adds the accelerator time in
// between to the result.
func (l *loop) advanceClock(to time.Time) {
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
	r := &l.result
	r.MaxRunningTasks = max(r.MaxRunningTasks, tasks)
	if to.Before(simStart.Add(l.Submit)) {
		r.busySeconds += dt * float64(busy)
		r.capacitySeconds += dt * float64(l.accelerators())
		l.addFragmentation(dt)
	}
	if l.ReturnAt > 0 && to.After(simStart.Add(l.DrainAt)) {
		r.usefulSeconds += dt * float64(busy)
		r.inServiceSeconds += dt * float64(l.acceleratorsInService())
	}
}

func (l *loop) acceleratorsInService() int {
	n := 0
	for _, w := range l.view.Workers {
		if w.Zone != l.view.Zones[0].Name || !l.view.Zones[0].Drained {
			n += w.Accelerators
		}
	}
	return n
}

// addFragmentation adds the free accelerator time that the largest waiting gang
// can't use. A gang larger than one worker can use the completely free workers of
// a rack that has enough of them; a smaller one can use any worker with enough
// free accelerators.
func (l *loop) addFragmentation(dt float64) {
	size := 0
	for _, j := range l.live {
		if !j.ended && j.State == carawayshift.JobWaiting {
			size = max(size, j.Size())
		}
	}
	if size == 0 {
		return
	}
	free, usable := l.freeAccelerators(size)
	l.result.freeSeconds += dt * float64(free)
	l.result.unusableSeconds += dt * float64(free-usable)
}

// freeAccelerators returns the free accelerators, and how many of them gangs of the
// given size can use.
func (l *loop) freeAccelerators(size int) (free, usable int) {
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

func (r *Result) recordStart(j *simJob) {
	wait := j.firstStart.Sub(j.Submitted)
	if j.Size() >= 16 {
		r.largeWaits.add(wait.Seconds())
	}
	if j.Urgent && j.guaranteed {
		r.Urgent++
		if wait > urgentStartLimit {
			r.Late++
		}
	}
}

func (r *Result) recordFinish(j *simJob, now time.Time) {
	r.Finished++
	r.completions = append(r.completions, now.Sub(j.Submitted))
}

func (r *Result) recordPlanTime(d time.Duration) { r.planTimes = append(r.planTimes, d) }

// recordStop counts a stop and subtracts the work that it loses from the useful
// work.
func (r *Result) recordStop(j *simJob, now time.Time, saved time.Duration) {
	r.Stops++
	r.usefulSeconds -= (j.progress + now.Sub(j.Started) - saved).Seconds() * float64(j.Size())
}

// recordPlan records for each job whether its first plan covers it by a guarantee,
// and counts the plan if it reports a shortfall although no zone is drained.
func (r *Result) recordPlan(l *loop, p *carawayshift.Plan) {
	if len(p.Shortfalls) > 0 && !l.view.Zones[0].Drained {
		r.ShortfallPlans++
	}
	guaranteed := map[uint64]bool{}
	for _, s := range p.Starts {
		guaranteed[s.Job] = !s.Borrowed
	}
	for _, j := range l.live {
		if !j.ended && !j.planned {
			j.planned = true
			j.guaranteed = guaranteed[j.ID] || p.Waits[j.ID].Rule == "reclaim"
		}
	}
}

func (r *Result) summarize(l *loop) {
	r.Jobs = len(l.trace)
	r.Plans = len(r.planTimes)
	slices.Sort(r.planTimes)
	slices.Sort(r.completions)
	r.PlanP50, r.PlanP99, r.PlanMax = quantile(r.planTimes, 0.5), quantile(r.planTimes, 0.99), quantile(r.planTimes, 1)
	r.CompletionP95 = quantile(r.completions, 0.95)
	var m mean
	for _, d := range r.completions {
		m.add(d.Seconds())
	}
	r.CompletionMean = seconds(m.value())
	r.LargeWait = seconds(r.largeWaits.value())
	r.Utilization = r.busySeconds / max(1, r.capacitySeconds)
	r.Fragmentation = r.unusableSeconds / max(1, r.freeSeconds)
	if r.inServiceSeconds > 0 {
		r.UsefulWork = r.usefulSeconds / r.inServiceSeconds
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

// Table replays the seeds with the planner and with first-fit. It returns the
// results as text, with the quotients of the two for the measures whose targets
// are relative.
func (r Replay) Table(p carawayshift.Planner, seeds []uint64) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %d workers\tjobs\tmean\tp95\twait 16+\tuse\tfragm.\twork\turgent\tlate\tshortfalls\tstops\tplan p50\tp99\tmax\n", r.Objective, r.Workers)
	var sums [4]float64
	for _, s := range seeds {
		planned, baseline := r.Run(p, s), r.Run(firstFit{}, s)
		planned.writeRow(w, fmt.Sprintf("seed %d", s))
		baseline.writeRow(w, "  first-fit")
		q := planned.ratios(baseline)
		fmt.Fprintf(w, "  quotient\t\t%.2f\t%.2f\t%.2f\t%.2f\n", q[0], q[1], q[2], q[3])
		for i := range sums {
			sums[i] += q[i] / float64(len(seeds))
		}
	}
	fmt.Fprintf(w, "mean quotient\t\t%.2f\t%.2f\t%.2f\t%.2f\n", sums[0], sums[1], sums[2], sums[3])
	w.Flush()
	return b.String()
}

func (r *Result) writeRow(w *tabwriter.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d/%d\t%v\t%v\t%v\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%v\t%v\t%v\n", name, r.Finished, r.Jobs,
		r.CompletionMean, r.CompletionP95.Round(time.Second), r.LargeWait, r.Utilization, r.Fragmentation, r.UsefulWork,
		r.Urgent, r.Late, r.ShortfallPlans, r.Stops, r.PlanP50.Round(time.Microsecond), r.PlanP99.Round(time.Microsecond), r.PlanMax.Round(time.Microsecond))
}

// ratios returns the mean and p95 completion time, the waiting time of large gangs
// and the utilization, each divided by the baseline's.
func (r *Result) ratios(baseline Result) [4]float64 {
	div := func(a, b time.Duration) float64 { return a.Seconds() / max(1, b.Seconds()) }
	return [4]float64{
		div(r.CompletionMean, baseline.CompletionMean), div(r.CompletionP95, baseline.CompletionP95),
		div(r.LargeWait, baseline.LargeWait), r.Utilization / max(1e-9, baseline.Utilization),
	}
}
