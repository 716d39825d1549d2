package assignment

import (
	"cmp"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/teamcap"
)

// Rules that make a demand wait because of its team's cap.
const (
	// RuleTeamCap applies when the team's runs leave no room under its cap.
	RuleTeamCap = "team is at its cap"
	// RuleAboveCap applies when a task, or a gang as a whole, needs more than the cap,
	// which was lowered after the batch was accepted.
	RuleAboveCap = "the step needs more than its team's cap"
)

const (
	// maxExcessWait is how long a batch beyond its team's weight comes after the other
	// batches of its priority.
	maxExcessWait = 30 * time.Second
	// drainAfter is how long a gang waits for room under its team's cap before nothing
	// else of the team starts. A gang that needs more than half of the cap could
	// otherwise wait for good.
	drainAfter = 15 * time.Second
)

// yields reports whether a demand comes after the others of its priority.
func (p *pass) yields(d *carawayshift.Demand) bool {
	return d.Excess && p.input.Now.Sub(d.Accepted) < maxExcessWait
}

// placeUnderCap places the tasks of a demand that fit under its team's cap. It starts
// nothing, reserves nothing and preempts no other team's runs for the others.
func (p *pass) placeUnderCap(d *carawayshift.Demand) {
	if !p.caps.Limited(d.Team) {
		p.placeDemand(d)
		return
	}
	n := p.fittingUnderCap(d)
	held := len(d.Indexes) - n
	if held > 0 {
		p.holdBack(d, held)
	}
	if n == 0 {
		return
	}
	d.Indexes, d.Runs = d.Indexes[:n], d.Runs[:n]
	before := len(p.out.Starts)
	p.placeDemand(d)
	started := len(p.out.Starts) - before
	p.caps.Add(d.Team, d.Requirements, started)
	if started < n && p.fitsOnEmptyRunners(d) {
		p.claim(d, n-started, false)
	}
}

// fittingUnderCap returns how many tasks of a demand fit under its team's cap; of a gang,
// all or none.
func (p *pass) fittingUnderCap(d *carawayshift.Demand) int {
	n := p.caps.Room(d.Team, d.Requirements, len(d.Indexes))
	if d.Requirements.Gang && n < len(d.Indexes) {
		return 0
	}
	return n
}

// holdBack makes tasks wait for room under their team's cap.
func (p *pass) holdBack(d *carawayshift.Demand, tasks int) {
	least := 1
	if d.Requirements.Gang {
		least = tasks
	}
	if !p.caps.CanEverFit(d.Team, d.Requirements, least) {
		p.wait(d, RuleAboveCap)
		return
	}
	p.wait(d, RuleTeamCap)
	if !p.fitsOnEmptyRunners(d) {
		return
	}
	if d.Queue.Priority == 0 {
		p.preemptOwnRuns(d, tasks)
	}
	p.claim(d, tasks, d.Requirements.Gang && p.input.Now.Sub(d.Ready) >= drainAfter)
}

// claim keeps room under the team's cap for tasks that can't start yet, as many as get
// reservations. Otherwise later demands of the team would take the room.
func (p *pass) claim(d *carawayshift.Demand, tasks int, strict bool) {
	if !d.Requirements.Gang {
		tasks = min(tasks, maxReservations)
	}
	p.caps.Claim(d.Team, d.Requirements, tasks, strict)
}

// fitsOnEmptyRunners reports whether a task, or the whole gang, would fit if nothing else
// ran. A demand that fits nowhere claims nothing.
func (p *pass) fitsOnEmptyRunners(d *carawayshift.Demand) bool {
	need, left := resourcesOf(d.Requirements), 1
	if d.Requirements.Gang {
		left = len(d.Indexes)
	}
	for _, r := range p.candidates(d).runners {
		if left -= copies(r.total, need, d.Requirements.MaxPerRunner); left <= 0 {
			return true
		}
	}
	return false
}

// preemptOwnRuns stops less urgent runs of a demand's own team, so that tasks of priority
// 0 fit under the team's cap in time, all of a gang or as many as possible: whenever the
// team's guarantee covers them, and otherwise if little work is lost. It does nothing if
// the runs that end by themselves in time leave enough room.
func (p *pass) preemptOwnRuns(d *carawayshift.Demand, tasks int) {
	forced := p.guaranteed(d)
	by := p.input.Now.Add(max(p.maxWait(d), p.cfg.MaxStopTime))
	victims := p.ownVictims(d.Team)
	room := p.roomOnceEnded(d.Team, victims, func(h carawayshift.OpenRun) bool {
		return !h.Requirements.LongRunning && !p.expectedEnd(h, false).After(by)
	})
	if room.tasks(d, tasks) == tasks {
		return
	}
	if forced {
		// A run may exceed its estimate repeatedly.
		room = p.roomOnceEnded(d.Team, victims, func(carawayshift.OpenRun) bool { return false })
	}
	victims = stoppable(victims, forced)
	ended := make([][]carawayshift.OpenRun, len(victims))
	for i, v := range victims {
		ended[i] = room.end(v.runs...)
	}
	most := room.tasks(d, tasks)
	if most == 0 || d.Requirements.Gang && most < tasks {
		return
	}
	var chosen []*victim
	lost := 0.0
	// Those that lose the most go on if the tasks fit without them.
	for i, v := range slices.Backward(victims) {
		room.undo(ended[i])
		if room.tasks(d, most) == most {
			continue
		}
		room.end(ended[i]...)
		chosen = append(chosen, v)
		lost += v.lostWork
	}
	if !forced && lost > p.maxLoss(d, most) {
		return
	}
	for _, v := range chosen {
		p.stop(v, d)
	}
}

// stoppable returns the victims that may be preempted, no more of a step than its limit
// allows.
func stoppable(victims []*victim, forced bool) (list []*victim) {
	used := map[*stepLimit]int{}
	for _, v := range victims {
		if v.preempted || v.forcedOnly && !forced || v.limit != nil && used[v.limit]+v.limitCost > v.limit.left {
			continue
		}
		used[v.limit] += v.limitCost
		list = append(list, v)
	}
	return list
}

// ownVictims returns the runs of a team that may be preempted, those with the least lost
// work for each accelerator first.
func (p *pass) ownVictims(team string) (list []*victim) {
	for _, r := range p.runners {
		for _, v := range r.victims {
			if v.runs[0].Team == team && v.runs[0].Runner == r.agent.ID {
				list = append(list, v)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *victim) int { return cmp.Compare(a.lossPerAccelerator(), b.lossPerAccelerator()) })
	return list
}

// lossPerAccelerator returns the work that is lost for each accelerator that is freed.
func (v *victim) lossPerAccelerator() float64 {
	n := 0
	for _, h := range v.runs {
		n += h.Requirements.Accelerators
	}
	return v.lostWork / float64(max(n, 1))
}

// laterRoom is the room under a team's cap once some of its runs have ended.
type laterRoom struct {
	account *teamcap.Account
	ended   map[carawayshift.TaskName]bool
}

// roomOnceEnded returns the room under a team's cap once the runs that are being stopped,
// were preempted in this pass or end by themselves have ended.
func (p *pass) roomOnceEnded(team string, victims []*victim, ends func(carawayshift.OpenRun) bool) laterRoom {
	l := laterRoom{
		teamcap.New(p.input.Caps, map[string]carawayshift.Resources{team: p.caps.InUse(team)}),
		map[carawayshift.TaskName]bool{},
	}
	for _, h := range p.input.OpenRuns {
		if h.Team == team && (h.Stopping || h.Obsolete || ends(h)) {
			l.end(h)
		}
	}
	for _, v := range victims {
		if v.preempted {
			l.end(v.runs...)
		}
	}
	return l
}

// end counts runs as ended, and returns those that were not before.
func (l laterRoom) end(runs ...carawayshift.OpenRun) (added []carawayshift.OpenRun) {
	for _, h := range runs {
		if !l.ended[h.Task] {
			l.ended[h.Task] = true
			l.account.Add(h.Team, h.Requirements, -1)
			added = append(added, h)
		}
	}
	return added
}

// undo counts runs that were counted as ended as running.
func (l laterRoom) undo(runs []carawayshift.OpenRun) {
	for _, h := range runs {
		delete(l.ended, h.Task)
		l.account.Add(h.Team, h.Requirements, 1)
	}
}

// tasks returns how many tasks of a demand fit, most at most.
func (l laterRoom) tasks(d *carawayshift.Demand, most int) int {
	return l.account.Room(d.Team, d.Requirements, most)
}
