package shortage

import (
	"time"

	"carawayshift.example/carawayshift"
)

const (
	// minRetryAfter and maxRetryAfter bound the time that a rejection names. A backlog
	// can't be foretold for longer.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// backlogShare is the share of the backlog that a batch waits for at least. Tasks
	// use the gaps that gangs with precedence leave.
	backlogShare = 0.5
)

// amount is an amount of resource-seconds, or of resources.
type amount struct{ cores, memory, accelerators float64 }

// add adds what a number of tasks use in a time; 1 s for the resources themselves.
func (a *amount) add(s carawayshift.Step, tasks int, d time.Duration) {
	n := float64(tasks) * max(0, d.Seconds())
	if !s.BestEffort {
		a.cores += n * float64(s.MilliCores)
	}
	a.memory += n * float64(s.Memory)
	a.accelerators += n * float64(s.Accelerators)
}

// over returns how long a capacity takes for resource-seconds.
func (a amount) over(capacity amount) time.Duration {
	longest := 0.0
	for _, f := range [][2]float64{{a.cores, capacity.cores}, {a.memory, capacity.memory}, {a.accelerators, capacity.accelerators}} {
		if f[0] > 0 {
			longest = max(longest, f[0]/max(f[1], 1))
		}
	}
	return time.Duration(min(longest, maxBacklog.Seconds()) * float64(time.Second))
}

// maxBacklog bounds an expected backlog.
const maxBacklog = time.Hour

// Admit decides on a batch at its submission, given the state of the last plan and the
// batch's first demand. It rejects a batch that would end later than lateFactor times
// its objective even if backlogShare of the work that comes before it were enough of a
// wait: accepting it would be of no use to its caller and would cost others room. After
// the time retryAfter it could meet its objective, if no more work arrives that comes
// before it.
//
// Batches that are covered by a guarantee, whose queue has no objective, that run
// repeatedly or whose tasks are long-running are always admitted.
func (p *Policy) Admit(in carawayshift.DispatchInput, d carawayshift.Demand) (retryAfter time.Duration, ok bool) {
	o := objective(d)
	if d.Queue.Stretch <= 0 || o <= 0 || d.Requirements.LongRunning || in.Guarantees[d.Team] > 0 && d.Queue.Priority == 0 {
		return 0, true
	}
	backlog, ok := p.backlog(in, d)
	if !ok {
		return 0, true
	}
	chain := time.Duration(float64(o-d.Queue.Latency) / d.Queue.Stretch)
	if time.Duration(backlogShare*float64(backlog))+chain <= lateFactor*o {
		return 0, true
	}
	after := (backlog + chain - o + time.Second - 1).Truncate(time.Second)
	return min(max(after, minRetryAfter), maxRetryAfter), false
}

// backlog returns how long the runners of a demand's service need for the work that comes
// before it if it is packed without gaps. It is unknown, and ok is false, while no runner is known.
func (p *Policy) backlog(in carawayshift.DispatchInput, d carawayshift.Demand) (wait time.Duration, ok bool) {
	var capacity, work, longRunning amount
	served := map[string]bool{}
	for _, a := range in.Agents {
		if a.Service != d.Queue.Service || a.Leaving || in.ClosedZones[a.Zone] || in.DrainingMachines[a.Machine] {
			continue
		}
		served[a.ID] = true
		capacity.add(carawayshift.Step{MilliCores: a.MilliCores, Memory: a.Memory, Accelerators: a.Accelerators}, 1, time.Second)
	}
	for _, h := range in.OpenRuns {
		switch {
		case !served[h.Runner] || h.Priority > d.Queue.Priority || h.Obsolete || h.Stopping:
		case h.Requirements.LongRunning:
			longRunning.add(h.Requirements, 1, time.Second)
		default:
			work.add(h.Requirements, 1, endOf(h).Sub(in.Now))
		}
	}
	for _, o := range in.Demands {
		if o.Queue.Service == d.Queue.Service && p.comesBefore(in.Now, o, d) {
			work.add(o.Requirements, len(o.Indexes), o.Expected)
		}
	}
	capacity.cores -= longRunning.cores
	capacity.memory -= longRunning.memory
	capacity.accelerators -= longRunning.accelerators
	return work.over(capacity), len(served) > 0
}

// comesBefore reports whether a demand is served before another one that is not waiting
// yet. Long-running tasks do not end, and don't count.
func (p *Policy) comesBefore(now time.Time, a, b carawayshift.Demand) bool {
	if a.Requirements.LongRunning {
		return false
	}
	if a.Queue.Priority != b.Queue.Priority {
		return a.Queue.Priority < b.Queue.Priority
	}
	return p.Compare(now, a, b) < 0
}

func endOf(h carawayshift.OpenRun) time.Time {
	if !h.Ends.IsZero() {
		return h.Ends
	}
	return h.Ordered.Add(h.Expected)
}
