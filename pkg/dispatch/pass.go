package dispatch

import (
	"cmp"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// pass is the state of one decision.
type pass struct {
	cfg   Config
	load  carawayshift.Load
	rooms []*room
	out   carawayshift.Dispatch
}

type agentKey struct {
	id   string
	life int64
}

// gangKey names the open runs of one gang.
type gangKey struct {
	batch            string
	occurrence, step int
}

func newPass(cfg Config, l carawayshift.Load) *pass {
	p := &pass{cfg: cfg, load: l}
	rooms := map[agentKey]*room{}
	for _, a := range l.Agents {
		if a.Leaving || l.Closed[a.Zone] {
			continue
		}
		total := size{a.MilliCores, a.Memory, a.Accelerators}
		r := &room{agent: a, total: total, free: total}
		rooms[agentKey{a.ID, a.Life}] = r
		p.rooms = append(p.rooms, r)
	}
	gangs := map[gangKey]*victim{}
	for _, h := range l.Holdings {
		if r := rooms[agentKey{h.Runner, h.Life}]; r != nil {
			p.occupy(r, h, gangs)
		}
	}
	for _, r := range p.rooms {
		slices.SortStableFunc(r.victims, func(a, b *victim) int { return cmp.Compare(a.lost, b.lost) })
	}
	return p
}

// occupy takes a run's resources off its runner and notes it as a victim.
func (p *pass) occupy(r *room, h carawayshift.Holding, gangs map[gangKey]*victim) {
	r.free = r.free.minus(sizeOf(h.Need))
	switch {
	case h.Stopping || h.Unwanted:
		r.soon = r.soon.plus(sizeOf(h.Need))
		return
	case h.Priority == 0 || h.Need.Lasting:
		return
	}
	v := &victim{}
	if h.Need.Gang {
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

// lost is the work that a stop throws away, in time of one accelerator.
func (p *pass) lost(h carawayshift.Holding) time.Duration {
	if h.Need.Checkpoints {
		return time.Duration(max(h.Need.Accelerators, 1)) * restartCost
	}
	return time.Duration(max(h.Need.Accelerators, 1)) * p.load.Now.Sub(h.Ordered)
}

// restartCost is the work that the stop and resume of a checkpointed run cost.
const restartCost = 500 * time.Millisecond

// serve places a demand as far as there is room.
func (p *pass) serve(d *carawayshift.Demand) {
	if d.Need.Gang {
		p.serveGang(d)
		return
	}
	for i := range d.Indexes {
		if !p.serveTask(d, i) {
			return
		}
	}
}

// serveTask places one task, waits for room that is being freed, or frees
// some. It reports whether the next task of the demand is worth a try.
func (p *pass) serveTask(d *carawayshift.Demand, i int) bool {
	if r, n := p.pick(d, p.rooms, nil); r != nil {
		p.take(r, d)
		p.start(r, d, i, n)
		return true
	}
	if d.Queue.Priority > 0 {
		p.wait(d, RuleRoom)
		return false
	}
	if r := p.pickSoon(d); r != nil {
		p.take(r, d)
		p.wait(d, RuleStops)
		return true
	}
	if r := p.preempt(d); r != nil {
		p.take(r, d)
		p.wait(d, RuleStops)
		return true
	}
	p.wait(d, RuleRoom)
	return false
}

// pick chooses the runner that the task fills best, near its data first, and
// tells how many others would have done.
func (p *pass) pick(d *carawayshift.Demand, rooms []*room, planned map[*room]int) (best *room, others int) {
	need := sizeOf(d.Need)
	remote := d.Need.DataRack == "" || !p.waitsForData(d)
	for _, r := range rooms {
		if !r.free.holds(need) || !r.suits(d) || p.crowded(d, r, planned) {
			continue
		}
		if !r.near(d) && !remote {
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

// fits tells whether a is a better runner for the task than b.
func fits(d *carawayshift.Demand, need size, a, b *room) bool {
	if a.near(d) != b.near(d) {
		return a.near(d)
	}
	left, other := a.free.minus(need), b.free.minus(need)
	c := cmp.Or(
		cmp.Compare(left.accelerators, other.accelerators),
		cmp.Compare(left.cores, other.cores),
		cmp.Compare(a.agent.ID, b.agent.ID),
	)
	return c < 0
}

// waitsForData tells whether waiting for the data's rack still costs less than
// running elsewhere.
func (p *pass) waitsForData(d *carawayshift.Demand) bool {
	near := slices.ContainsFunc(p.rooms, func(r *room) bool {
		return r.near(d) && r.suits(d) && r.total.holds(sizeOf(d.Need))
	})
	patience := time.Duration((p.cfg.Remote - 1) * float64(d.Need.Declared))
	return near && p.load.Now.Sub(d.Accepted) < patience
}

// crowded tells whether a runner has as many tasks of the step as it may.
func (p *pass) crowded(d *carawayshift.Demand, r *room, planned map[*room]int) bool {
	return d.Need.Spread > 0 && d.Present[r.agent.ID]+planned[r] >= d.Need.Spread
}

// pickSoon chooses a runner on which stopping runs make room.
func (p *pass) pickSoon(d *carawayshift.Demand) *room {
	need := sizeOf(d.Need)
	for _, r := range p.rooms {
		if r.free.plus(r.soon).holds(need) && r.suits(d) && !p.crowded(d, r, nil) {
			return r
		}
	}
	return nil
}

// preempt stops the runs whose end loses least so that the task fits.
func (p *pass) preempt(d *carawayshift.Demand) *room {
	var best *room
	var chosen []*victim
	var least time.Duration
	for _, r := range p.rooms {
		if !r.suits(d) || p.crowded(d, r, nil) || !r.total.holds(sizeOf(d.Need)) {
			continue
		}
		list, lost, ok := r.clear(sizeOf(d.Need))
		if ok && (best == nil || lost < least) {
			best, chosen, least = r, list, lost
		}
	}
	for _, v := range chosen {
		p.stop(v, d)
	}
	return best
}

// clear returns the victims that make room for a size.
func (r *room) clear(need size) (list []*victim, lost time.Duration, ok bool) {
	have := r.free.plus(r.soon)
	for _, v := range r.victims {
		if have.holds(need) {
			break
		}
		if v.stopped {
			continue
		}
		for _, h := range v.runs {
			if h.Runner == r.agent.ID && h.Life == r.agent.Life {
				have = have.plus(sizeOf(h.Need))
			}
		}
		list = append(list, v)
		lost += v.lost
	}
	return list, lost, have.holds(need)
}

// stop preempts a run and its gang.
func (p *pass) stop(v *victim, d *carawayshift.Demand) {
	v.stopped = true
	for _, h := range v.runs {
		p.out.Stops = append(p.out.Stops, carawayshift.DispatchStop{Task: h.Task, Run: h.Run, Runner: h.Runner, For: d.Batch})
		for _, r := range p.rooms {
			if r.agent.ID == h.Runner && r.agent.Life == h.Life {
				r.soon = r.soon.plus(sizeOf(h.Need))
			}
		}
	}
}

// take reserves a runner's resources for the demand. They may be free only
// once stopping runs have ended.
func (p *pass) take(r *room, d *carawayshift.Demand) {
	r.free = r.free.minus(sizeOf(d.Need))
	d.Present[r.agent.ID]++
}

func (p *pass) start(r *room, d *carawayshift.Demand, i, others int) {
	p.out.Starts = append(p.out.Starts, carawayshift.DispatchStart{
		RunStart: carawayshift.RunStart{
			Task: d.Task(i), Run: d.Runs[i], Runner: r.agent.ID, Life: r.agent.Life,
		},
		Alternatives: others,
	})
}

func (p *pass) wait(d *carawayshift.Demand, rule string) {
	p.out.Waits = append(p.out.Waits, carawayshift.DispatchWait{Batch: d.Batch, Rule: rule})
}
