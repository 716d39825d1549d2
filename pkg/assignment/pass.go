package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/teamcap"
)

// pass is the state of one call of Dispatch.
type pass struct {
	cfg     Config
	input   carawayshift.DispatchInput
	runners []*runnerState
	byID    map[string]*runnerState
	// urgentAccelerators is the number of accelerators that the unfinished tasks
	// of priority 0 need, for each team.
	urgentAccelerators map[string]int
	// highestPriority is the most urgent priority of all runs and demands. 0 is
	// the most urgent one.
	highestPriority int
	// limits holds how many more tasks may become unavailable, by step.
	limits map[stepKey]*stepLimit
	// candidateSets holds the eligible runners of demands without tickets.
	candidateSets map[candidateKey]*candidates
	// emptyRunners is the number of runners on which nothing runs.
	emptyRunners int
	// hasRuns holds the batches with open runs or starts of this pass.
	hasRuns map[string]bool
	// idleServices holds whether the services that were asked for are mostly idle.
	idleServices map[string]bool
	// uneven is true if the speeds of the runners differ; classes holds their speed
	// classes, the slowest first.
	uneven  bool
	classes []int
	// promoted holds the steps that come before all others without a guarantee.
	promoted map[stepKey]bool
	// caps counts what the teams use against their caps.
	caps *teamcap.Account
	out  carawayshift.Dispatch
}

// stepKey identifies a step of an occurrence of a batch.
type stepKey struct {
	batch            string
	occurrence, step int
}

func stepOf(k carawayshift.TaskName) stepKey { return stepKey{k.Batch, k.Occurrence, k.Step} }

// stepLimit is how many more tasks of a step may become unavailable.
type stepLimit struct{ left int }

const (
	// restartCost is the run time that is lost when a run with checkpoints is
	// stopped and resumed.
	restartCost = 500 * time.Millisecond
	// overdueShare is the remaining time of a run that has exceeded its expected
	// run time, as a share of the expected run time.
	overdueShare = 0.3
	// backgroundPriority is the most urgent priority whose tasks avoid empty
	// runners.
	backgroundPriority = 2
	// maxReservations limits the reservations of one demand.
	maxReservations = 4
	// maxIdleWait is how long a batch without runs avoids empty runners while most of
	// its service is idle.
	maxIdleWait = 2 * time.Second
	// idleShare is the share of each resource in use below which a service is mostly
	// idle.
	idleShare = 0.5
)

func newPass(cfg Config, l carawayshift.DispatchInput) *pass {
	if cfg.Shortage != nil && !cfg.Shortage.Applies(l) {
		cfg.Shortage = nil
	}
	p := &pass{
		cfg: cfg, input: l, urgentAccelerators: map[string]int{}, highestPriority: highestPriority(l),
		candidateSets: map[candidateKey]*candidates{}, idleServices: map[string]bool{}, hasRuns: map[string]bool{},
		limits: stepLimits(l.OpenRuns), caps: teamcap.New(l.Caps, l.InUse),
	}
	// Runs are matched to runners by id only, not by incarnation: the request for
	// a run can reach a later incarnation of the runner.
	p.byID = make(map[string]*runnerState, len(l.Agents))
	p.runners = make([]*runnerState, 0, len(l.Agents))
	states := make([]runnerState, len(l.Agents))
	racks := map[rackKey]*rackState{}
	for i := range l.Agents {
		a := &l.Agents[i]
		if a.Leaving || l.ClosedZones[a.Zone] || l.DrainingMachines[a.Machine] {
			continue
		}
		total := resources{a.MilliCores, a.Memory, a.Accelerators}
		key := rackKey{a.Zone, a.Rack}
		rack := racks[key]
		if rack == nil {
			rack = &rackState{}
			racks[key] = rack
		}
		rack.idleAccelerators += total.accelerators
		p.emptyRunners++
		r := &states[i]
		*r = runnerState{agent: a, total: total, free: total, idle: total, rack: rack, emptyRunners: &p.emptyRunners}
		p.byID[a.ID] = r
		p.runners = append(p.runners, r)
	}
	p.sumUrgentAccelerators()
	p.setSpeeds()
	gangs := map[stepKey]*victim{}
	for _, h := range l.OpenRuns {
		p.hasRuns[h.Task.Batch] = true
		if r := p.byID[h.Runner]; r != nil {
			p.addOpenRun(r, h, gangs)
		}
	}
	for _, r := range p.runners {
		r.sort()
	}
	return p
}

// highestPriority returns the most urgent priority of all runs and demands.
func highestPriority(l carawayshift.DispatchInput) int {
	most := math.MaxInt
	for _, h := range l.OpenRuns {
		most = min(most, h.Priority)
	}
	for _, d := range l.Demands {
		most = min(most, d.Queue.Priority)
	}
	return most
}

// stepLimits returns the limits of the steps with MaxUnavailable.
func stepLimits(runs []carawayshift.OpenRun) map[stepKey]*stepLimit {
	limits := map[stepKey]*stepLimit{}
	for _, h := range runs {
		if h.Requirements.MaxUnavailable == 0 || h.BatchEnded {
			continue
		}
		k := stepOf(h.Task)
		if limits[k] == nil {
			limits[k] = &stepLimit{h.Requirements.MaxUnavailable - h.Requirements.Count}
		}
		if h.Availability == carawayshift.TaskAvailable {
			limits[k].left++
		}
	}
	return limits
}

func (p *pass) sumUrgentAccelerators() {
	for _, h := range p.input.OpenRuns {
		if h.Priority == 0 && !h.BatchEnded {
			p.urgentAccelerators[h.Team] += h.Requirements.Accelerators
		}
	}
	for _, d := range p.input.Demands {
		if d.Queue.Priority == 0 {
			p.urgentAccelerators[d.Team] += len(d.Indexes) * d.Requirements.Accelerators
		}
	}
}

// guaranteed reports whether a demand must start within Config.ReclaimTime because
// its team's needs do not exceed its guarantee.
func (p *pass) guaranteed(d *carawayshift.Demand) bool {
	return d.Queue.Priority == 0 && d.Requirements.Accelerators > 0 && p.urgentAccelerators[d.Team] <= p.input.Guarantees[d.Team]
}

// addOpenRun allocates the resources of an open run, and records when it is expected
// to end and whether it may be preempted.
func (p *pass) addOpenRun(r *runnerState, h carawayshift.OpenRun, gangs map[stepKey]*victim) {
	n := resourcesOf(h.Requirements)
	r.allocate(n)
	stopping := h.Stopping || h.Obsolete
	if h.Requirements.LongRunning && !stopping {
		r.longRunning = r.longRunning.plus(n)
	}
	if stopping || !h.Requirements.LongRunning {
		r.releases = append(r.releases, release{p.expectedEnd(h, stopping), n, stopping})
	}
	if stopping {
		return
	}
	if h.Priority == 0 && p.urgentAccelerators[h.Team] <= p.input.Guarantees[h.Team] {
		return
	}
	v := &victim{forcedOnly: h.Priority == 0 || h.Requirements.LongRunning || p.overdue(h)}
	if h.Requirements.Gang {
		k := stepOf(h.Task)
		if gangs[k] == nil {
			gangs[k] = v
		}
		v = gangs[k]
	}
	v.runs = append(v.runs, h)
	v.lostWork += p.lostWork(h)
	if h.Availability != carawayshift.TaskUnavailable {
		v.limit = p.limits[stepOf(h.Task)]
	}
	if h.Availability == carawayshift.TaskAvailable {
		v.limitCost++
	}
	if !slices.Contains(r.victims, v) {
		r.victims = append(r.victims, v)
	}
}

// expectedEnd returns when a run that is not long-running, or is stopping, is expected to
// end.
func (p *pass) expectedEnd(h carawayshift.OpenRun, stopping bool) time.Time {
	switch {
	case stopping:
		return p.input.Now.Add(p.cfg.MaxStopTime)
	case !h.Ends.IsZero():
		return h.Ends
	}
	took := h.Expected
	if r := p.byID[h.Runner]; r != nil {
		took = atSpeed(took, r.speed)
	}
	expected := h.Ordered.Add(took)
	least := p.input.Now.Add(time.Duration(overdueShare * float64(h.Expected)))
	if expected.Before(least) && p.input.Now.After(expected) {
		return least
	}
	return expected
}

// lostWork returns the work in core-seconds that is lost when a run is stopped.
func (p *pass) lostWork(h carawayshift.OpenRun) float64 {
	if h.Requirements.Checkpoints {
		return resourcesOf(h.Requirements).coreSeconds(restartCost)
	}
	return resourcesOf(h.Requirements).coreSeconds(p.input.Now.Sub(h.Ordered))
}

// placeDemand starts the tasks of a demand that fit now. For the others it reserves
// resources or preempts runs.
func (p *pass) placeDemand(d *carawayshift.Demand) {
	if d.Requirements.Gang {
		p.placeGang(d)
		return
	}
	reserved := 0
	runners := p.candidates(d).runners
	for i := range d.Indexes {
		if r, others := p.pickRunner(d, runners, nil); r != nil {
			r.allocate(resourcesOf(d.Requirements))
			d.OpenRuns[r.agent.ID]++
			p.start(r, d, i, others)
			continue
		}
		if reserved == maxReservations && d.Queue.Priority > 0 || !p.reserveOrPreempt(d) {
			break
		}
		reserved++
	}
	if reserved > 0 {
		p.wait(d, RuleNoCapacity)
	}
}

// reserveOrPreempt reserves resources for a task that fits nowhere now, or preempts
// runs for it. It returns false if the task is not expected to fit anywhere.
func (p *pass) reserveOrPreempt(d *carawayshift.Demand) bool {
	r, at := p.earliestRunner(d)
	if d.Queue.Priority == 0 && (r == nil || at.Sub(p.input.Now) > p.maxWait(d)) {
		if v := p.preempt(d); v != nil {
			v.reserve(resourcesOf(d.Requirements), p.input.Now.Add(p.cfg.MaxStopTime))
			d.OpenRuns[v.agent.ID]++
			return true
		}
	}
	if r == nil {
		p.wait(d, RuleNoCapacity)
		return false
	}
	r.reserve(resourcesOf(d.Requirements), at)
	d.OpenRuns[r.agent.ID]++
	return true
}

// maxWait returns how much longer a demand may wait without being late.
func (p *pass) maxWait(d *carawayshift.Demand) time.Duration {
	age := p.input.Now.Sub(d.Accepted)
	slack := time.Duration((d.Queue.Stretch-1)*float64(d.Expected)) + d.Queue.Latency
	left := time.Duration(slackShare*float64(slack)) - age
	if p.guaranteed(d) {
		left = min(left, p.cfg.ReclaimTime-p.cfg.MaxStopTime-reclaimReserve-age)
	}
	return left
}

// earliestRunner returns the runner on which a task is expected to end first, and when
// it fits there.
func (p *pass) earliestRunner(d *carawayshift.Demand) (best *runnerState, at time.Time) {
	need := resourcesOf(d.Requirements)
	for _, r := range p.candidates(d).runners {
		if p.atRunnerLimit(d, r, nil) || !r.total.covers(need) {
			continue
		}
		t, ok := r.fitsAt(need, p.input.Now)
		if ok && (best == nil || t.Add(p.runTime(d, r)).Before(at.Add(p.runTime(d, best)))) {
			best, at = r, t
		}
	}
	return best, at
}

// pickRunner returns the best of the eligible runners on which a task fits now, and
// the number of others on which it would fit.
func (p *pass) pickRunner(d *carawayshift.Demand, runners []*runnerState, planned map[*runnerState]int) (best *runnerState, others int) {
	need := resourcesOf(d.Requirements)
	anyRack := d.Requirements.DataRack == "" || !p.waitsForData(d)
	avoidEmpty, bySpeed := p.avoidsEmptyRunners(d), p.hurries(d)
	for _, r := range runners {
		fits := r.fitsNow(need, p.input.Now, p.runTime(d, r)) || d.Requirements.LongRunning && r.free.plus(r.kept).covers(need)
		if !fits || p.atRunnerLimit(d, r, planned) {
			continue
		}
		if !r.nearData(d) && !anyRack {
			continue
		}
		if avoidEmpty && r.empty() {
			continue
		}
		if best != nil {
			others++
		}
		if best == nil || betterFit(d, need, r, best, bySpeed) {
			best = r
		}
	}
	return best, others
}

// avoidsEmptyRunners reports whether a task leaves empty runners to gangs. Tasks of
// the least urgent queues do so while there is more urgent work, a smaller share of
// the runners than Config.EmptyShare is empty, and the time until they are late is
// at least twice their expected run time. In a service that is mostly idle, a batch
// without runs does so for maxIdleWait at most.
func (p *pass) avoidsEmptyRunners(d *carawayshift.Demand) bool {
	background := d.Queue.Priority >= backgroundPriority && d.Queue.Priority > p.highestPriority
	if !background || d.Requirements.Gang || d.Requirements.LongRunning || p.due(d).Sub(p.input.Now) < 2*d.Expected {
		return false
	}
	if !p.hasRuns[d.Batch] && p.input.Now.Sub(d.Ready) >= maxIdleWait && p.mostlyIdle(d.Queue.Service) {
		return false
	}
	return float64(p.emptyRunners) < p.cfg.EmptyShare*float64(len(p.runners))
}

// mostlyIdle reports whether the runs that were open at the first call use less than
// idleShare of each resource of a service.
func (p *pass) mostlyIdle(service string) bool {
	idle, known := p.idleServices[service]
	if known {
		return idle
	}
	var total, free resources
	for _, r := range p.runners {
		if r.agent.Service == service {
			total, free = total.plus(r.total), free.plus(r.idle)
		}
	}
	below := func(total, free int) bool { return float64(total-free) < idleShare*float64(max(total, 1)) }
	idle = below(total.cores, free.cores) && below(total.memory, free.memory) && below(total.accelerators, free.accelerators)
	p.idleServices[service] = idle
	return idle
}

// betterFit reports whether a is a better runner for the task than b: one on which
// no task of the batch has failed, then one near the data, then, with bySpeed, the one
// whose speed suits the task, then the one with the fewest resources left.
func betterFit(d *carawayshift.Demand, need resources, a, b *runnerState, bySpeed bool) bool {
	if d.Excluded[a.agent.ID] != d.Excluded[b.agent.ID] {
		return d.Excluded[b.agent.ID]
	}
	if a.nearData(d) != b.nearData(d) {
		return a.nearData(d)
	}
	if c := compareSpeeds(d, a, b); bySpeed && c != 0 {
		return c < 0
	}
	left, other := a.idle.minus(need), b.idle.minus(need)
	c := cmp.Or(
		cmp.Compare(left.accelerators, other.accelerators),
		// The rack with the fewest idle accelerators comes first, so that the
		// others keep space for gangs.
		cmp.Compare(a.rack.idleAccelerators, b.rack.idleAccelerators),
		cmp.Compare(left.cores, other.cores),
		cmp.Compare(a.agent.ID, b.agent.ID),
	)
	return c < 0
}

// waitsForData reports whether waiting for a runner on the data's rack still costs
// less time than running elsewhere, and no guarantee is due.
func (p *pass) waitsForData(d *carawayshift.Demand) bool {
	near := slices.ContainsFunc(p.candidates(d).byRackName[d.Requirements.DataRack], func(r *runnerState) bool {
		return r.total.covers(resourcesOf(d.Requirements))
	})
	limit := time.Duration((p.cfg.RemoteSlowdown - 1) * float64(d.Expected))
	return near && !p.guaranteeDue(d) && p.input.Now.Sub(d.Accepted) < limit
}

// atRunnerLimit reports whether a runner has the step's maximum number of tasks for
// one runner.
func (p *pass) atRunnerLimit(d *carawayshift.Demand, r *runnerState, planned map[*runnerState]int) bool {
	return d.Requirements.MaxPerRunner > 0 && d.OpenRuns[r.agent.ID]+planned[r] >= d.Requirements.MaxPerRunner
}

// preempt stops the runs with the least lost work such that a task fits, and returns
// their runner. It returns nil if too much work would be lost.
func (p *pass) preempt(d *carawayshift.Demand) *runnerState {
	forced := p.guaranteed(d)
	by := p.input.Now.Add(p.cfg.MaxStopTime)
	var best *runnerState
	var chosen []*victim
	var least float64
	for _, r := range p.candidates(d).runners {
		if p.atRunnerLimit(d, r, nil) || !r.total.covers(resourcesOf(d.Requirements)) {
			continue
		}
		list, lost, ok := r.selectVictims(resourcesOf(d.Requirements), by, forced, nil)
		if ok && (best == nil || lost < least) {
			best, chosen, least = r, list, lost
		}
	}
	if best == nil || !forced && least > p.maxLoss(d, 1) {
		return nil
	}
	for _, v := range chosen {
		p.stop(v, d)
	}
	return best
}

// due returns when a demand misses its objective, based on the expected run times
// instead of the declared ones.
func (p *pass) due(d *carawayshift.Demand) time.Time {
	if d.Requirements.Declared <= 0 {
		return d.Due
	}
	chain := d.Due.Sub(d.Accepted) - d.Queue.Latency
	return d.Accepted.Add(time.Duration(float64(chain)*float64(d.Expected)/float64(d.Requirements.Declared)) + d.Queue.Latency)
}

// maxLoss returns the work in core-seconds that may be lost for a number of tasks.
func (p *pass) maxLoss(d *carawayshift.Demand, tasks int) float64 {
	if p.input.Now.After(p.due(d)) || p.yields(d) || !p.mayStop(d) {
		return 0
	}
	return p.cfg.MaxLoss * float64(tasks) * resourcesOf(d.Requirements).coreSeconds(d.Expected)
}

// stop preempts a run and the other members of its gang.
func (p *pass) stop(v *victim, d *carawayshift.Demand) {
	v.preempted = true
	if v.limit != nil {
		v.limit.left -= v.limitCost
	}
	by := p.input.Now.Add(p.cfg.MaxStopTime)
	for _, h := range v.runs {
		p.out.Stops = append(p.out.Stops, carawayshift.DispatchStop{Task: h.Task, Run: h.Run, Runner: h.Runner, For: d.Batch})
		p.byID[h.Runner].advanceRelease(by, h, p)
	}
}

// advanceRelease moves the expected release of a stopped run to the time by. Long-running
// tasks have none before, as they don't end.
func (r *runnerState) advanceRelease(by time.Time, h carawayshift.OpenRun, p *pass) {
	if h.Requirements.LongRunning {
		r.releases = append(r.releases, release{by, resourcesOf(h.Requirements), true})
		r.sort()
		return
	}
	was := release{p.expectedEnd(h, false), resourcesOf(h.Requirements), false}
	if i := slices.Index(r.releases, was); i >= 0 {
		r.releases[i].at, r.releases[i].stopping = by, true
		r.sort()
	}
}

func (p *pass) start(r *runnerState, d *carawayshift.Demand, i, others int) {
	p.hasRuns[d.Batch] = true
	p.out.Starts = append(p.out.Starts, carawayshift.DispatchStart{
		RunStart: carawayshift.RunStart{
			Task: d.Task(i), Run: d.Runs[i], Runner: r.agent.ID, Incarnation: r.agent.Incarnation,
		},
		Alternatives: others,
	})
}

func (p *pass) wait(d *carawayshift.Demand, rule string) {
	if rule == RuleNoCapacity {
		rule = p.capacityRule(d)
	}
	p.out.Waits = append(p.out.Waits, carawayshift.DispatchWait{Batch: d.Batch, Rule: rule})
}
