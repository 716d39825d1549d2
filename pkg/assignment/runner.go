package assignment

import (
	"cmp"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// resources is an amount of a runner's resources.
type resources struct {
	cores, memory, accelerators int
}

// resourcesOf returns the resources that are reserved for one task of a step.
func resourcesOf(s carawayshift.Step) resources {
	n := resources{cores: s.MilliCores, memory: s.Memory, accelerators: s.Accelerators}
	if s.BestEffort {
		n.cores = 0
	}
	return n
}

func (a resources) plus(b resources) resources {
	return resources{a.cores + b.cores, a.memory + b.memory, a.accelerators + b.accelerators}
}

func (a resources) minus(b resources) resources {
	return resources{a.cores - b.cores, a.memory - b.memory, a.accelerators - b.accelerators}
}

func (a resources) covers(b resources) bool {
	return a.cores >= b.cores && a.memory >= b.memory && a.accelerators >= b.accelerators
}

// coreSeconds returns the work of a run that uses the resources for a time.
func (a resources) coreSeconds(d time.Duration) float64 {
	return (float64(a.cores)/1000 + acceleratorCores*float64(a.accelerators)) * d.Seconds()
}

// runnerState holds the resources of one runner during a pass.
type runnerState struct {
	agent *carawayshift.Agent
	total resources
	// speed is relative to the nominal one, class its speed class.
	speed float64
	class int
	// free is what is neither used by runs nor reserved. It is negative while a
	// reservation waits for runs to end. idle ignores reservations.
	free, idle resources
	// longRunning is what the long-running tasks use.
	longRunning resources
	// reservedFrom is when the first reservation is expected to start.
	reservedFrom time.Time
	// releases lists the open runs by expected end.
	releases []release
	// victims lists the runs that may be preempted, those with the least lost
	// work first.
	victims []*victim
	rack    *rackState
	// emptyRunners counts the runners on which nothing runs.
	emptyRunners *int
}

// rackState holds the idle resources of all runners of one rack.
type rackState struct {
	idleAccelerators int
}

// release is the expected end of an open run, which frees its resources.
type release struct {
	at    time.Time
	freed resources
	// stopping is true for a run that was requested to stop, so that it ends at
	// that time at the latest; the ends of other runs are only estimates.
	stopping bool
}

// victim is a run that may be preempted, with all other runs of its gang, which
// stops as a whole.
type victim struct {
	runs []carawayshift.OpenRun
	// lostWork is the work in core-seconds that preemption discards.
	lostWork float64
	// forcedOnly runs have priority 0 or are long-running, and are preempted only for
	// guarantees.
	forcedOnly bool
	// limit is the limit of the step; nil if there is none or the task does not work.
	// limitCost is how many more tasks preemption makes unavailable.
	limit     *stepLimit
	limitCost int
	// preempted is true once this pass has preempted the runs.
	preempted bool
}

// eligible reports whether the runner may run tasks of a demand, regardless of its
// free resources.
func (r *runnerState) eligible(d *carawayshift.Demand) bool {
	return r.agent.Service == d.Queue.Service && (d.Allowed == nil || d.Allowed[r.agent.ID]) &&
		(d.Requirements.Label == "" || slices.Contains(r.agent.Labels, d.Requirements.Label))
}

// empty reports whether nothing runs on the runner.
func (r *runnerState) empty() bool { return r.idle == r.total }

// nearData reports whether the runner is on the rack of the demand's data.
func (r *runnerState) nearData(d *carawayshift.Demand) bool {
	return d.Requirements.DataRack == "" || r.agent.Rack == d.Requirements.DataRack
}

// allocate marks resources as used now.
func (r *runnerState) allocate(n resources) {
	r.free = r.free.minus(n)
	r.setIdle(r.idle.minus(n))
}

// setIdle sets the resources that no run uses, and what is derived from them.
func (r *runnerState) setIdle(n resources) {
	if r.empty() {
		*r.emptyRunners--
	}
	r.rack.idleAccelerators += n.accelerators - r.idle.accelerators
	r.idle = n
	if r.empty() {
		*r.emptyRunners++
	}
}

// deallocate undoes allocate.
func (r *runnerState) deallocate(n resources) {
	r.free = r.free.plus(n)
	r.setIdle(r.idle.plus(n))
}

// reserve reserves resources from a time on.
func (r *runnerState) reserve(n resources, at time.Time) {
	r.free = r.free.minus(n)
	if r.reservedFrom.IsZero() || at.Before(r.reservedFrom) {
		r.reservedFrom = at
	}
}

// fitsNow reports whether a task fits now: either beside the reservations, or because
// it is expected to end before they start.
func (r *runnerState) fitsNow(n resources, now time.Time, expected time.Duration) bool {
	if r.free.covers(n) {
		return true
	}
	return !r.reservedFrom.IsZero() && r.idle.covers(n) && now.Add(expected).Before(r.reservedFrom)
}

// fitsAt returns when a task is expected to fit.
func (r *runnerState) fitsAt(n resources, now time.Time) (time.Time, bool) {
	have := r.free
	if have.covers(n) {
		return now, true
	}
	for _, e := range r.releases {
		have = have.plus(e.freed)
		if have.covers(n) {
			return e.at, true
		}
	}
	return time.Time{}, false
}

func (r *runnerState) sort() {
	slices.SortStableFunc(r.releases, func(a, b release) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(r.victims, func(a, b *victim) int { return cmp.Compare(a.lostWork, b.lostWork) })
}

// freedBy returns the resources of the runs that end by a time. With stoppingOnly,
// it counts only those that were requested to stop.
func (r *runnerState) freedBy(by time.Time, stoppingOnly bool) resources {
	var n resources
	for _, e := range r.releases {
		if !e.at.After(by) && (e.stopping || !stoppingOnly) {
			n = n.plus(e.freed)
		}
	}
	return n
}

// selectVictims returns the victims to preempt so that need fits, those with the
// least lost work first. If forced, it does not rely on the expected ends of other
// runs, because a run may exceed its estimate repeatedly. The resources of chosen
// victims count as free already, because those are preempted in any case. No more tasks
// of a step become unavailable than its limit allows.
func (r *runnerState) selectVictims(need resources, by time.Time, forced bool, chosen map[*victim]bool) (list []*victim, lost float64, ok bool) {
	have := r.free.plus(r.freedBy(by, forced))
	used := map[*stepLimit]int{}
	for v := range chosen {
		used[v.limit] += v.limitCost
	}
	for _, v := range r.victims {
		if chosen[v] {
			have = have.plus(r.victimResources(v))
		}
	}
	for _, v := range r.victims {
		if have.covers(need) {
			break
		}
		if v.preempted || chosen[v] || v.forcedOnly && !forced {
			continue
		}
		if v.limit != nil && used[v.limit]+v.limitCost > v.limit.left {
			continue
		}
		used[v.limit] += v.limitCost
		have = have.plus(r.victimResources(v))
		list = append(list, v)
	}
	if !have.covers(need) {
		return nil, 0, false
	}
	list = r.dropUnneeded(list, have, need)
	for _, v := range list {
		lost += v.lostWork
	}
	return list, lost, true
}

// dropUnneeded removes the victims without which need still fits, starting with
// those that lose the most work.
func (r *runnerState) dropUnneeded(list []*victim, have, need resources) []*victim {
	kept := make([]*victim, 0, len(list))
	for _, v := range slices.Backward(list) {
		if less := have.minus(r.victimResources(v)); less.covers(need) {
			have = less
			continue
		}
		kept = append(kept, v)
	}
	return kept
}

// victimResources returns what the preemption of a victim frees on this runner.
func (r *runnerState) victimResources(v *victim) resources {
	var n resources
	for _, h := range v.runs {
		if h.Runner == r.agent.ID {
			n = n.plus(resourcesOf(h.Requirements))
		}
	}
	return n
}

// rackKey identifies a rack.
type rackKey struct{ zone, name string }
