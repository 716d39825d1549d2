package batch

import (
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// OpenWork returns the waiting tasks in the order of acceptance, and all open
// runs.
func (t *Table) OpenWork() (demands []carawayshift.Demand, runs []carawayshift.OpenRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs = make([]carawayshift.OpenRun, 0, t.lastOpenRuns)
	defer func() { t.lastOpenRuns = len(runs) }()
	for _, id := range t.order {
		if !t.active[id] {
			continue
		}
		b := t.batches[id]
		for n := t.firstOpen(b); n < len(b.Occurrences); n++ {
			runs = appendOpenRuns(runs, b, n)
			if !b.State.Ended() {
				demands = appendDemands(demands, b, n)
			}
		}
	}
	return demands, runs
}

// HasWaitingTasks reports whether OpenWork would return any demands.
func (t *Table) HasWaitingTasks() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.active {
		b := t.batches[id]
		if b.State.Ended() {
			continue
		}
		for _, o := range b.Occurrences[t.firstOpen(b):] {
			for s, need := range b.Steps {
				if isWaiting(o, s, need) {
					return true
				}
			}
		}
	}
	return false
}

// isWaiting reports whether tasks of a step can start. A gang waits until the runs
// of all its members have ended.
func isWaiting(o carawayshift.Occurrence, s int, need carawayshift.Step) bool {
	step := o.Steps[s]
	if step.Finished == len(step.Tasks) || !ready(o, need) || need.Gang && anyOpen(step) {
		return false
	}
	return slices.ContainsFunc(step.Tasks, func(k carawayshift.Task) bool { return !k.Open && !k.Finished })
}

func appendOpenRuns(list []carawayshift.OpenRun, b *carawayshift.Batch, occurrence int) []carawayshift.OpenRun {
	for s, step := range b.Occurrences[occurrence].Steps {
		within := objective(b)
		since := readySince(b, occurrence, s, startOf(b, occurrence))
		for i, k := range step.Tasks {
			if !k.Open {
				continue
			}
			checkpoint := k.Checkpoint
			if b.Steps[s].Gang {
				checkpoint = step.Checkpoint
			}
			list = append(list, carawayshift.OpenRun{
				Task: carawayshift.TaskName{Batch: b.ID, Occurrence: occurrence, Step: s, Index: i},
				Run:  k.Run, Runner: k.Runner, Incarnation: k.Incarnation, Team: b.Team, Priority: b.Queue.Priority, Queue: b.Queue.Name,
				Requirements: b.Steps[s], Ordered: k.Ordered, Checkpoint: checkpoint, Ready: since, Objective: within,
				BatchEnded: b.State.Ended(), Obsolete: b.State.Ended() && b.State != carawayshift.BatchFinished,
			})
		}
	}
	return list
}

func appendDemands(list []carawayshift.Demand, b *carawayshift.Batch, occurrence int) []carawayshift.Demand {
	o := b.Occurrences[occurrence]
	for s, need := range b.Steps {
		if !isWaiting(o, s, need) {
			continue
		}
		step := o.Steps[s]
		d := demand(b, occurrence, s)
		for i, k := range step.Tasks {
			switch {
			case k.Open:
				d.OpenRuns[k.Runner]++
			case !k.Finished:
				d.Indexes = append(d.Indexes, i)
				d.Runs = append(d.Runs, k.Run+1)
			}
		}
		if need.Gang {
			alignRuns(d.Runs)
		}
		list = append(list, d)
	}
	return list
}

// FirstDemand returns the demand of a batch's first step, as if the batch were accepted at
// a time.
func FirstDemand(b carawayshift.Batch, at time.Time) carawayshift.Demand {
	b.Accepted = at
	b.Occurrences = nil
	d := demand(&b, 0, 0)
	for i := range b.Steps[0].Count {
		d.Indexes = append(d.Indexes, i)
		d.Runs = append(d.Runs, 1)
	}
	return d
}

func demand(b *carawayshift.Batch, occurrence, step int) carawayshift.Demand {
	start := startOf(b, occurrence)
	return carawayshift.Demand{
		Batch: b.ID, Occurrence: occurrence, Step: step, Team: b.Team, Queue: b.Queue, Requirements: b.Steps[step],
		Accepted: start, Ready: readySince(b, occurrence, step, start), Due: start.Add(objective(b)), OpenRuns: map[string]int{},
		Excess: b.Excess,
	}
}

// startOf returns when an occurrence was due, or when a batch that runs once was
// accepted.
func startOf(b *carawayshift.Batch, occurrence int) time.Time {
	if b.Repeat > 0 {
		return occurrenceTime(b, occurrence)
	}
	return b.Accepted
}

// readySince returns when the steps that a step depends on had finished, or start if it
// depends on none.
func readySince(b *carawayshift.Batch, occurrence, step int, start time.Time) time.Time {
	for _, a := range b.Steps[step].After {
		if ended := b.Occurrences[occurrence].Steps[a].Ended; ended.After(start) {
			start = ended
		}
	}
	return start
}

// ready reports whether all steps in a step's After have finished.
func ready(o carawayshift.Occurrence, need carawayshift.Step) bool {
	for _, a := range need.After {
		if a < 0 || a >= len(o.Steps) || o.Steps[a].Finished < len(o.Steps[a].Tasks) {
			return false
		}
	}
	return true
}

func anyOpen(s carawayshift.StepRun) bool {
	for _, k := range s.Tasks {
		if k.Open {
			return true
		}
	}
	return false
}

// alignRuns sets the run numbers of a gang's members to the highest of them.
func alignRuns(runs []int) {
	highest := 0
	for _, n := range runs {
		highest = max(highest, n)
	}
	for i := range runs {
		runs[i] = highest
	}
}

// objective returns the time within which the batch is to end. It is based on
// the declared run times of the longest chain of dependent steps.
func objective(b *carawayshift.Batch) time.Duration {
	ends := make([]time.Duration, len(b.Steps))
	longest := time.Duration(0)
	for i, s := range b.Steps {
		for _, a := range s.After {
			if a >= 0 && a < i {
				ends[i] = max(ends[i], ends[a])
			}
		}
		ends[i] += s.Declared
		longest = max(longest, ends[i])
	}
	return time.Duration(b.Queue.Stretch*float64(longest)) + b.Queue.Latency
}
