package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// pass is the state of one decision.
type pass struct {
	cfg   Config
	load  carawayshift.DispatchInput
	rooms []*room
	// needs is the accelerators that each team's unfinished tasks of priority
	// 0 want.
	needs map[string]int
	// urgent is the most urgent priority of any run or demand.
	urgent int
	out    carawayshift.Dispatch
}

// gangKey names the open runs of one gang.
type gangKey struct {
	batch            string
	occurrence, step int
}

const (
	// restartCost is the run time that the stop and resume of a checkpointed
	// run cost.
	restartCost = 500 * time.Millisecond
	// overdue is how much longer a run is expected to take once it has taken
	// as long as expected, as a share of that.
	overdue = 0.3
	// lastingTime stands for the end of tasks that run until they are cancelled.
	lastingTime = time.Hour
	// yieldingPriority is the first one whose tasks leave runners whole.
	yieldingPriority = 2
	// maxReserved bounds the tasks of one demand that hold reservations.
	maxReserved = 4
)

func newPass(cfg Config, l carawayshift.DispatchInput) *pass {
	p := &pass{cfg: cfg, load: l, needs: map[string]int{}, urgent: mostUrgent(l)}
	// A run is on the runner with its id, whichever life that is: an order can
	// reach the next one.
	rooms := map[string]*room{}
	shelves := map[rack]*shelf{}
	for _, a := range l.Agents {
		if a.Leaving || l.ClosedZones[a.Zone] || l.DrainingMachines[a.Machine] {
			continue
		}
		total := size{a.MilliCores, a.Memory, a.Accelerators}
		r := &room{agent: a, total: total, free: total, idle: total}
		if shelves[r.rack()] == nil {
			shelves[r.rack()] = &shelf{}
		}
		r.shelf = shelves[r.rack()]
		r.shelf.accelerators += total.accelerators
		rooms[a.ID] = r
		p.rooms = append(p.rooms, r)
	}
	p.sumNeeds()
	gangs := map[gangKey]*victim{}
	for _, h := range l.OpenRuns {
		if r := rooms[h.Runner]; r != nil {
			p.occupy(r, h, gangs)
		}
	}
	for _, r := range p.rooms {
		r.sort()
	}
	return p
}

// mostUrgent returns the priority of the most urgent work; 0 comes first.
func mostUrgent(l carawayshift.DispatchInput) int {
	most := math.MaxInt
	for _, h := range l.OpenRuns {
		most = min(most, h.Priority)
	}
	for _, d := range l.Demands {
		most = min(most, d.Queue.Priority)
	}
	return most
}

func (p *pass) sumNeeds() {
	for _, h := range p.load.OpenRuns {
		if h.Priority == 0 && !h.BatchEnded {
			p.needs[h.Team] += h.Requirements.Accelerators
		}
	}
	for _, d := range p.load.Demands {
		if d.Queue.Priority == 0 {
			p.needs[d.Team] += len(d.Indexes) * d.Requirements.Accelerators
		}
	}
}

// guaranteed tells whether a demand must begin in time, because its team
// wants no more than its guarantee.
func (p *pass) guaranteed(d *carawayshift.Demand) bool {
	return d.Queue.Priority == 0 && d.Requirements.Accelerators > 0 && p.needs[d.Team] <= p.load.Guarantees[d.Team]
}

// occupy takes a run's resources off its runner and notes when it ends and
// whether it may be preempted.
func (p *pass) occupy(r *room, h carawayshift.OpenRun, gangs map[gangKey]*victim) {
	n := sizeOf(h.Requirements)
	r.take(n)
	stopping := h.Stopping || h.Obsolete
	r.releases = append(r.releases, release{p.endOf(h, stopping), n, stopping})
	if stopping || h.Requirements.LongRunning {
		return
	}
	if h.Priority == 0 && p.needs[h.Team] <= p.load.Guarantees[h.Team] {
		return
	}
	v := &victim{urgent: h.Priority == 0}
	if h.Requirements.Gang {
		k := gangKey{h.Task.Batch, h.Task.Occurrence, h.Task.Step}
		if gangs[k] == nil {
			gangs[k] = v
		}
		v = gangs[k]
	}
	v.runs = append(v.runs, h)
	v.lost += p.lost(h)
	if !slices.Contains(r.victims, v) {
		r.victims = append(r.victims, v)
	}
}

// endOf is when a run is expected to end.
func (p *pass) endOf(h carawayshift.OpenRun, stopping bool) time.Time {
	switch {
	case stopping:
		return p.load.Now.Add(p.cfg.Stop)
	case h.Requirements.LongRunning:
		return p.load.Now.Add(lastingTime)
	case !h.Ends.IsZero():
		return h.Ends
	}
	expected := h.Ordered.Add(h.Expected)
	least := p.load.Now.Add(time.Duration(overdue * float64(h.Expected)))
	if expected.Before(least) && p.load.Now.After(expected) {
		return least
	}
	return expected
}

// lost is the work in core-seconds that a stop throws away.
func (p *pass) lost(h carawayshift.OpenRun) float64 {
	if h.Requirements.Checkpoints {
		return sizeOf(h.Requirements).work(restartCost)
	}
	return sizeOf(h.Requirements).work(p.load.Now.Sub(h.Ordered))
}

// serve places a demand as far as there is room.
func (p *pass) serve(d *carawayshift.Demand) {
	if d.Requirements.Gang {
		p.serveGang(d)
		return
	}
	reserved := 0
	for i := range d.Indexes {
		if r, others := p.pick(d, p.rooms, nil); r != nil {
			r.take(sizeOf(d.Requirements))
			d.OpenRuns[r.agent.ID]++
			p.start(r, d, i, others)
			continue
		}
		if reserved == maxReserved && d.Queue.Priority > 0 || !p.secure(d) {
			break
		}
		reserved++
	}
	if reserved > 0 {
		p.wait(d, RuleRoom)
	}
}

// secure reserves the first room for a task that finds none, or makes some.
// It reports whether a task of the demand has any prospect.
func (p *pass) secure(d *carawayshift.Demand) bool {
	r, at := p.soonest(d)
	if d.Queue.Priority == 0 && (r == nil || at.Sub(p.load.Now) > p.patience(d)) {
		if v := p.preempt(d); v != nil {
			v.reserve(sizeOf(d.Requirements), p.load.Now.Add(p.cfg.Stop))
			d.OpenRuns[v.agent.ID]++
			return true
		}
	}
	if r == nil {
		p.wait(d, RuleRoom)
		return false
	}
	r.reserve(sizeOf(d.Requirements), at)
	d.OpenRuns[r.agent.ID]++
	return true
}

// patience is how long a demand may still wait without being late.
func (p *pass) patience(d *carawayshift.Demand) time.Duration {
	age := p.load.Now.Sub(d.Accepted)
	slack := time.Duration((d.Queue.Stretch-1)*float64(d.Expected)) + d.Queue.Latency
	left := time.Duration(slackShare*float64(slack)) - age
	if p.guaranteed(d) {
		left = min(left, p.cfg.Reclaim-p.cfg.Stop-reclaimReserve-age)
	}
	return left
}

// soonest returns the runner that is expected to have room first.
func (p *pass) soonest(d *carawayshift.Demand) (best *room, at time.Time) {
	need := sizeOf(d.Requirements)
	for _, r := range p.rooms {
		if !r.suits(d) || p.crowded(d, r, nil) || !r.total.holds(need) {
			continue
		}
		t, ok := r.openAt(need, p.load.Now)
		if ok && (best == nil || t.Before(at)) {
			best, at = r, t
		}
	}
	return best, at
}

// pick chooses the runner that the task fills best, near its data first, and
// tells how many others would have done.
func (p *pass) pick(d *carawayshift.Demand, rooms []*room, planned map[*room]int) (best *room, others int) {
	need := sizeOf(d.Requirements)
	remote := d.Requirements.DataRack == "" || !p.waitsForData(d)
	spares := p.sparesWhole(d)
	for _, r := range rooms {
		if !r.suits(d) || !r.open(need, p.load.Now, d.Expected) || p.crowded(d, r, planned) {
			continue
		}
		if !r.near(d) && !remote {
			continue
		}
		if spares && r.whole() {
			continue
		}
		if best != nil {
			others++
		}
		if best == nil || fits(d, need, r, best) {
			best = r
		}
	}
	return best, others
}

// sparesWhole tells whether a task leaves whole runners to gangs: one of the
// least urgent queues does, as long as more urgent work is about and it has
// time for another run of its length.
func (p *pass) sparesWhole(d *carawayshift.Demand) bool {
	yields := d.Queue.Priority >= yieldingPriority && d.Queue.Priority > p.urgent
	if !yields || d.Requirements.Gang || d.Requirements.LongRunning || p.due(d).Sub(p.load.Now) < 2*d.Expected {
		return false
	}
	n := 0
	for _, r := range p.rooms {
		if r.whole() {
			n++
		}
	}
	return float64(n) < p.cfg.Whole*float64(len(p.rooms))
}

// fits tells whether a is a better runner for the task than b.
func fits(d *carawayshift.Demand, need size, a, b *room) bool {
	if d.Excluded[a.agent.ID] != d.Excluded[b.agent.ID] {
		return d.Excluded[b.agent.ID]
	}
	if a.near(d) != b.near(d) {
		return a.near(d)
	}
	left, other := a.idle.minus(need), b.idle.minus(need)
	c := cmp.Or(
		cmp.Compare(left.accelerators, other.accelerators),
		// The fullest rack first, so that others keep room for gangs.
		cmp.Compare(a.shelf.accelerators, b.shelf.accelerators),
		cmp.Compare(left.cores, other.cores),
		cmp.Compare(a.agent.ID, b.agent.ID),
	)
	return c < 0
}

// waitsForData tells whether waiting for the data's rack still costs less than
// running elsewhere.
func (p *pass) waitsForData(d *carawayshift.Demand) bool {
	near := slices.ContainsFunc(p.rooms, func(r *room) bool {
		return r.near(d) && r.suits(d) && r.total.holds(sizeOf(d.Requirements))
	})
	patience := time.Duration((p.cfg.Remote - 1) * float64(d.Expected))
	return near && p.load.Now.Sub(d.Accepted) < patience
}

// crowded tells whether a runner has as many tasks of the step as it may.
func (p *pass) crowded(d *carawayshift.Demand, r *room, planned map[*room]int) bool {
	return d.Requirements.MaxPerRunner > 0 && d.OpenRuns[r.agent.ID]+planned[r] >= d.Requirements.MaxPerRunner
}

// preempt stops the runs whose end loses least so that the task fits, unless
// they lose too much.
func (p *pass) preempt(d *carawayshift.Demand) *room {
	forced := p.guaranteed(d)
	by := p.load.Now.Add(p.cfg.Stop)
	var best *room
	var chosen []*victim
	var least float64
	for _, r := range p.rooms {
		if !r.suits(d) || p.crowded(d, r, nil) || !r.total.holds(sizeOf(d.Requirements)) {
			continue
		}
		list, lost, ok := r.clear(sizeOf(d.Requirements), by, forced, nil)
		if ok && (best == nil || lost < least) {
			best, chosen, least = r, list, lost
		}
	}
	if best == nil || !forced && least > p.mayLose(d, 1) {
		return nil
	}
	for _, v := range chosen {
		p.stop(v, d)
	}
	return best
}

// due is when a demand misses its objective, by the expected run times instead
// of the declared ones.
func (p *pass) due(d *carawayshift.Demand) time.Time {
	if d.Requirements.Declared <= 0 {
		return d.Due
	}
	chain := d.Due.Sub(d.Accepted) - d.Queue.Latency
	return d.Accepted.Add(time.Duration(float64(chain)*float64(d.Expected)/float64(d.Requirements.Declared)) + d.Queue.Latency)
}

// mayLose is the work that may be thrown away for a number of tasks.
func (p *pass) mayLose(d *carawayshift.Demand, tasks int) float64 {
	if p.load.Now.After(p.due(d)) {
		return 0
	}
	return p.cfg.MaxLoss * float64(tasks) * sizeOf(d.Requirements).work(d.Expected)
}

// stop preempts a run and its gang.
func (p *pass) stop(v *victim, d *carawayshift.Demand) {
	v.stopped = true
	by := p.load.Now.Add(p.cfg.Stop)
	for _, h := range v.runs {
		p.out.Stops = append(p.out.Stops, carawayshift.DispatchStop{Task: h.Task, Run: h.Run, Runner: h.Runner, For: d.Batch})
		for _, r := range p.rooms {
			if r.agent.ID == h.Runner {
				r.releaseBy(by, h, p)
			}
		}
	}
}

// releaseBy brings the release of a stopped run forward.
func (r *room) releaseBy(by time.Time, h carawayshift.OpenRun, p *pass) {
	was := release{p.endOf(h, false), sizeOf(h.Requirements), false}
	if i := slices.Index(r.releases, was); i >= 0 {
		r.releases[i].at, r.releases[i].told = by, true
		r.sort()
	}
}

func (p *pass) start(r *room, d *carawayshift.Demand, i, others int) {
	p.out.Starts = append(p.out.Starts, carawayshift.DispatchStart{
		RunStart: carawayshift.RunStart{
			Task: d.Task(i), Run: d.Runs[i], Runner: r.agent.ID, Incarnation: r.agent.Incarnation,
		},
		Alternatives: others,
	})
}

func (p *pass) wait(d *carawayshift.Demand, rule string) {
	p.out.Waits = append(p.out.Waits, carawayshift.DispatchWait{Batch: d.Batch, Rule: rule})
}
