package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// placeGang starts all tasks of a gang or none. It tries each rack, the one with
// the fewest free accelerators first, and then all runners together. A gang that
// is slow on more than one rack waits for a single rack if it fits on an empty one
// and its guarantee is not due.
func (p *pass) placeGang(d *carawayshift.Demand) {
	racks := p.runnersByRack(d)
	if p.hurries(d) && p.startGangBySpeed(d, p.gangSets(d, racks)) || p.startGang(d, racks) {
		return
	}
	if p.waitsForRack(d, racks) {
		p.reserveOrPreemptGang(d, racks)
		return
	}
	if p.canPreemptOnRack(d, racks) && p.preemptWithin(d, racks, p.maxLoss(d, len(d.Indexes))*(p.cfg.RemoteSlowdown-1)) {
		p.wait(d, RulePreempting)
		return
	}
	all := p.candidates(d).runners
	if !p.startGang(d, [][]*runnerState{all}) {
		p.reserveOrPreemptGang(d, append(racks, all))
	}
}

// startGang starts a gang on the first set of runners on which it fits, or makes it wait
// if it leaves that room to others. It returns false if the gang fits on none.
func (p *pass) startGang(d *carawayshift.Demand, runnerSets [][]*runnerState) bool {
	for _, runners := range runnerSets {
		if list, ok := p.allocateGang(d, runners); ok {
			if p.leavesRoom(d) {
				for _, r := range list {
					r.deallocate(resourcesOf(d.Requirements))
				}
				// Less urgent work must not take the room that is left.
				if !p.mostlyIdle(d.Queue.Service) {
					p.reserveForGang(d, runners, p.input.Now)
				}
				p.wait(d, RuleLeavesRoom)
				return true
			}
			for i, r := range list {
				p.start(r, d, i, len(runners)-1)
			}
			return true
		}
	}
	return false
}

// waitsForRack reports whether a gang waits until it fits on a single rack. On several
// ones it would use its runners for longer, and they would be missing elsewhere.
func (p *pass) waitsForRack(d *carawayshift.Demand, racks [][]*runnerState) bool {
	saved := time.Duration((p.cfg.RemoteSlowdown - 1) * float64(d.Expected))
	waited := p.input.Now.Sub(d.Ready)
	return d.Requirements.SameRack && !p.guaranteeDue(d) && waited < maxRackWaits*saved && p.fitsOnEmptyRack(d, racks)
}

// maxRackWaits limits the wait of a gang for a single rack to a multiple of the run time
// that it saves.
const maxRackWaits = 5

// guaranteeDue reports whether a demand is covered by its team's guarantee and
// must start now.
func (p *pass) guaranteeDue(d *carawayshift.Demand) bool {
	return p.guaranteed(d) && p.maxWait(d) <= 0
}

// canPreemptOnRack reports whether a gang that must start now, and is slow on more
// than one rack, still has time to preempt runs on a single rack: more than half of
// reclaimReserve must be left.
func (p *pass) canPreemptOnRack(d *carawayshift.Demand, racks [][]*runnerState) bool {
	left := p.cfg.ReclaimTime - p.cfg.MaxStopTime - p.input.Now.Sub(d.Accepted)
	return d.Requirements.SameRack && p.guaranteeDue(d) && left > reclaimReserve/2 && p.fitsOnEmptyRack(d, racks)
}

// runnersByRack groups the eligible runners by rack: racks with the demand's data
// first, then those with the fewest free accelerators.
func (p *pass) runnersByRack(d *carawayshift.Demand) [][]*runnerState {
	racks := p.candidates(d).racks
	nearOnly := d.Requirements.DataRack != "" && p.waitsForData(d)
	list := make([][]*runnerState, 0, len(racks))
	for _, runners := range racks {
		if !nearOnly || runners[0].nearData(d) {
			list = append(list, runners)
		}
	}
	slices.SortStableFunc(list, func(a, b []*runnerState) int {
		return cmp.Or(
			-cmp.Compare(nearness(d, a), nearness(d, b)),
			cmp.Compare(freeAccelerators(a), freeAccelerators(b)),
		)
	})
	return list
}

func nearness(d *carawayshift.Demand, runners []*runnerState) int {
	if runners[0].nearData(d) {
		return 1
	}
	return 0
}

func freeAccelerators(runners []*runnerState) int {
	n := 0
	for _, r := range runners {
		n += r.free.accelerators
	}
	return n
}

// fitsOnEmptyRack reports whether the whole gang would fit on one of the racks if
// nothing else ran there but long-running tasks, which don't end.
func (p *pass) fitsOnEmptyRack(d *carawayshift.Demand, racks [][]*runnerState) bool {
	return slices.ContainsFunc(racks, func(runners []*runnerState) bool {
		n := 0
		for _, r := range runners {
			n += copies(r.total.minus(r.longRunning), resourcesOf(d.Requirements), d.Requirements.MaxPerRunner)
		}
		return n >= len(d.Indexes)
	})
}

// copies returns how many tasks with the given need fit into have, up to a
// maximum of most unless that is 0.
func copies(have, need resources, most int) int {
	n := 0
	for have.covers(need) && n < maxCopies && (most == 0 || n < most) {
		have = have.minus(need)
		n++
	}
	return n
}

// maxCopies bounds the result of copies for tasks that need no resources.
const maxCopies = 1024

// allocateGang allocates a runner for each task of a gang. If one task doesn't fit,
// it undoes the allocations and returns false.
func (p *pass) allocateGang(d *carawayshift.Demand, runners []*runnerState) ([]*runnerState, bool) {
	need := resourcesOf(d.Requirements)
	planned := map[*runnerState]int{}
	var list []*runnerState
	for range d.Indexes {
		r, _ := p.pickRunner(d, runners, planned)
		if r == nil {
			for _, r := range list {
				r.deallocate(need)
			}
			return nil, false
		}
		r.allocate(need)
		planned[r]++
		list = append(list, r)
	}
	return list, true
}

// reserveOrPreemptGang reserves the set of runners on which the whole gang is
// expected to fit first. For a gang of priority 0 that would be late it preempts
// runs instead, if possible.
func (p *pass) reserveOrPreemptGang(d *carawayshift.Demand, sets [][]*runnerState) {
	set, at := p.earliestSet(d, sets)
	if d.Queue.Priority == 0 && (set == nil || at.Sub(p.input.Now) > p.maxWait(d)) && p.preemptForGang(d, sets) {
		p.wait(d, RulePreempting)
		return
	}
	if set != nil {
		p.reserveForGang(d, set, at)
	}
	p.wait(d, RuleNoCapacity)
}

// earliestSet returns the set of runners on which the gang is expected to fit
// first, and when.
func (p *pass) earliestSet(d *carawayshift.Demand, sets [][]*runnerState) (best []*runnerState, at time.Time) {
	for _, runners := range sets {
		t, ok := p.gangFitsAt(d, runners)
		if ok && (best == nil || t.Before(at)) {
			best, at = runners, t
		}
	}
	return best, at
}

// gangFitsAt returns when the whole gang is expected to fit on a set of runners.
func (p *pass) gangFitsAt(d *carawayshift.Demand, runners []*runnerState) (time.Time, bool) {
	times := []time.Time{p.input.Now}
	for _, r := range runners {
		for _, e := range r.releases {
			times = append(times, e.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	i, _ := slices.BinarySearchFunc(times, true, func(t time.Time, _ bool) int {
		if p.gangFits(d, runners, t) {
			return 1
		}
		return -1
	})
	if i == len(times) {
		return time.Time{}, false
	}
	return times[i], true
}

func (p *pass) gangFits(d *carawayshift.Demand, runners []*runnerState, at time.Time) bool {
	n := 0
	for _, r := range runners {
		n += copies(r.free.plus(r.freedBy(at, false)), resourcesOf(d.Requirements), d.Requirements.MaxPerRunner)
		if n >= len(d.Indexes) {
			return true
		}
	}
	return n >= len(d.Indexes)
}

func (p *pass) reserveForGang(d *carawayshift.Demand, runners []*runnerState, at time.Time) {
	need, left := resourcesOf(d.Requirements), len(d.Indexes)
	for _, r := range runners {
		n := min(left, copies(r.free.plus(r.freedBy(at, false)), need, d.Requirements.MaxPerRunner))
		for range n {
			r.reserve(need, at)
		}
		left -= n
	}
}

// preemptForGang preempts runs for a gang of priority 0. A gang that is covered by
// a guarantee may get runners on several racks: it is more important that it starts
// in time.
func (p *pass) preemptForGang(d *carawayshift.Demand, sets [][]*runnerState) bool {
	most := p.maxLoss(d, len(d.Indexes))
	if p.guaranteed(d) {
		most = math.Inf(1)
	}
	if p.preemptWithin(d, sets, most) {
		return true
	}
	return p.guaranteed(d) && p.preemptWithin(d, [][]*runnerState{p.candidates(d).runners}, most)
}

// preemptWithin preempts runs on the set of runners where that loses the least work
// and makes the whole gang fit, and reserves the resources. It does nothing if more
// than most core-seconds would be lost.
func (p *pass) preemptWithin(d *carawayshift.Demand, sets [][]*runnerState, most float64) bool {
	forced := p.guaranteed(d)
	by := p.input.Now.Add(p.cfg.MaxStopTime)
	var best []preemption
	var least float64
	for _, runners := range sets {
		list, lost, ok := p.planPreemption(d, runners, by, forced)
		if ok && (best == nil || lost < least) {
			best, least = list, lost
		}
	}
	if best == nil || least > most {
		return false
	}
	for _, c := range best {
		for _, v := range c.victims {
			if !v.preempted {
				p.stop(v, d)
			}
		}
		for range c.tasks {
			c.runner.reserve(resourcesOf(d.Requirements), by)
		}
	}
	return true
}

// preemption holds the runs to preempt on one runner so that a number of tasks fits
// there.
type preemption struct {
	runner  *runnerState
	tasks   int
	victims []*victim
}

// planPreemption selects runs to preempt so that all tasks fit on a set of runners.
// It takes the runner with the least lost work for each task first. A preempted gang
// frees resources on all of its runners, so its loss is counted only once.
func (p *pass) planPreemption(d *carawayshift.Demand, runners []*runnerState, by time.Time, forced bool) (list []preemption, lost float64, ok bool) {
	left := len(d.Indexes)
	chosen := map[*victim]bool{}
	options := map[*runnerState][]preemptionOption{}
	for _, r := range runners {
		options[r] = r.preemptionOptions(d, left, by, forced, chosen)
	}
	for left > 0 {
		best, ok := cheapestOption(runners, options, left)
		if !ok {
			return nil, 0, false
		}
		left -= best.tasks
		lost += best.lost
		list = append(list, best.preemption)
		delete(options, best.runner)
		affectedRunners, limited := map[string]bool{}, false
		for _, v := range best.victims {
			if chosen[v] {
				continue
			}
			chosen[v] = true
			limited = limited || v.limit != nil
			for _, h := range v.runs {
				affectedRunners[h.Runner] = true
			}
		}
		for _, r := range runners {
			if options[r] != nil && (limited || affectedRunners[r.agent.ID]) {
				options[r] = r.preemptionOptions(d, left, by, forced, chosen)
			}
		}
	}
	return list, lost, true
}

// preemptionOption is a possible preemption and the work in core-seconds that it
// loses.
type preemptionOption struct {
	preemption
	lost float64
}

// preemptionOptions returns the least lossy preemption on a runner for each number
// of tasks from 1 up to most.
func (r *runnerState) preemptionOptions(d *carawayshift.Demand, most int, by time.Time, forced bool, chosen map[*victim]bool) (list []preemptionOption) {
	need := resourcesOf(d.Requirements)
	most = min(most, copies(r.total, need, d.Requirements.MaxPerRunner))
	for n := 1; n <= most; n++ {
		victims, lost, ok := r.selectVictims(need.times(n), by, forced, chosen)
		if !ok {
			break
		}
		list = append(list, preemptionOption{preemption{r, n, victims}, lost})
	}
	return list
}

// cheapestOption returns the option with the least lost work for each task. Of equal
// options, it returns the one for the most tasks.
func cheapestOption(runners []*runnerState, options map[*runnerState][]preemptionOption, most int) (best preemptionOption, ok bool) {
	for _, r := range runners {
		for _, o := range options[r] {
			if o.tasks > most {
				break
			}
			c := cmp.Or(cmp.Compare(o.lost/float64(o.tasks), best.lost/float64(max(best.tasks, 1))), -cmp.Compare(o.tasks, best.tasks))
			if !ok || c < 0 {
				best, ok = o, true
			}
		}
	}
	return best, ok
}

func (a resources) times(n int) resources {
	return resources{a.cores * n, a.memory * n, a.accelerators * n}
}
