package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// serveGang places all tasks of a gang or none: on a single rack, those with
// the least room first, and then on any runners, unless the gang is slow on
// more than one rack and some rack could hold it.
func (p *pass) serveGang(d *carawayshift.Demand) {
	racks := p.racks(d)
	if p.startGang(d, racks) {
		return
	}
	if p.oneRackOnly(d, racks) {
		p.secureGang(d, racks)
		return
	}
	if p.rackWorthClearing(d, racks) && p.clearForGang(d, racks, p.mayLose(d, len(d.Indexes))*(p.cfg.Remote-1)) {
		p.wait(d, RuleStops)
		return
	}
	if !p.startGang(d, [][]*room{p.rooms}) {
		p.secureGang(d, append(racks, p.rooms))
	}
}

// startGang starts a gang on the first set of runners that has room.
func (p *pass) startGang(d *carawayshift.Demand, sets [][]*room) bool {
	for _, rooms := range sets {
		if list, ok := p.fill(d, rooms); ok {
			for i, r := range list {
				p.start(r, d, i, len(rooms)-1)
			}
			return true
		}
	}
	return false
}

// oneRackOnly tells whether a gang waits for room on one rack.
func (p *pass) oneRackOnly(d *carawayshift.Demand, racks [][]*room) bool {
	return d.Requirements.SameRack && !p.pressed(d) && p.rackCouldHold(d, racks)
}

// pressed tells whether a guarantee must be given now.
func (p *pass) pressed(d *carawayshift.Demand) bool {
	return p.guaranteed(d) && p.patience(d) <= 0
}

// rackWorthClearing tells whether a gang that must begin, and is slow on more
// than one rack, still has time to preempt on one: half of the reserve is left.
func (p *pass) rackWorthClearing(d *carawayshift.Demand, racks [][]*room) bool {
	left := p.cfg.Reclaim - p.cfg.Stop - p.load.Now.Sub(d.Accepted)
	return d.Requirements.SameRack && p.pressed(d) && left > reclaimReserve/2 && p.rackCouldHold(d, racks)
}

// racks groups the runners that suit a demand.
func (p *pass) racks(d *carawayshift.Demand) [][]*room {
	byRack := map[rack][]*room{}
	var names []rack
	for _, r := range p.rooms {
		if !r.suits(d) || !r.near(d) && p.waitsForData(d) {
			continue
		}
		if byRack[r.rack()] == nil {
			names = append(names, r.rack())
		}
		byRack[r.rack()] = append(byRack[r.rack()], r)
	}
	list := make([][]*room, 0, len(names))
	for _, n := range names {
		list = append(list, byRack[n])
	}
	slices.SortStableFunc(list, func(a, b []*room) int {
		return cmp.Or(
			-cmp.Compare(nearness(d, a), nearness(d, b)),
			cmp.Compare(freeAccelerators(a), freeAccelerators(b)),
		)
	})
	return list
}

func nearness(d *carawayshift.Demand, rooms []*room) int {
	if rooms[0].near(d) {
		return 1
	}
	return 0
}

func freeAccelerators(rooms []*room) int {
	n := 0
	for _, r := range rooms {
		n += r.free.accelerators
	}
	return n
}

// rackCouldHold tells whether an empty rack has room for the whole gang.
func (p *pass) rackCouldHold(d *carawayshift.Demand, racks [][]*room) bool {
	return slices.ContainsFunc(racks, func(rooms []*room) bool {
		n := 0
		for _, r := range rooms {
			n += copies(r.total, sizeOf(d.Requirements), d.Requirements.MaxPerRunner)
		}
		return n >= len(d.Indexes)
	})
}

// copies is how many tasks of a size fit.
func copies(have, need size, most int) int {
	n := 0
	for have.holds(need) && n < maxCopies && (most == 0 || n < most) {
		have = have.minus(need)
		n++
	}
	return n
}

// maxCopies ends the count for tasks that need nothing.
const maxCopies = 1024

// fill takes a runner for each task, or leaves all rooms as they were.
func (p *pass) fill(d *carawayshift.Demand, rooms []*room) ([]*room, bool) {
	need := sizeOf(d.Requirements)
	planned := map[*room]int{}
	var list []*room
	for range d.Indexes {
		r, _ := p.pick(d, rooms, planned)
		if r == nil {
			for _, r := range list {
				r.giveBack(need)
			}
			return nil, false
		}
		r.take(need)
		planned[r]++
		list = append(list, r)
	}
	return list, true
}

// secureGang reserves the set of runners that is expected to have room for the
// whole gang first, or makes room by preemption.
func (p *pass) secureGang(d *carawayshift.Demand, sets [][]*room) {
	set, at := p.soonestSet(d, sets)
	if d.Queue.Priority == 0 && (set == nil || at.Sub(p.load.Now) > p.patience(d)) && p.makeRoom(d, sets) {
		p.wait(d, RuleStops)
		return
	}
	if set != nil {
		p.reserveSet(d, set, at)
	}
	p.wait(d, RuleRoom)
}

// soonestSet returns the set in which the gang is expected to fit first.
func (p *pass) soonestSet(d *carawayshift.Demand, sets [][]*room) (best []*room, at time.Time) {
	for _, rooms := range sets {
		t, ok := p.gangOpenAt(d, rooms)
		if ok && (best == nil || t.Before(at)) {
			best, at = rooms, t
		}
	}
	return best, at
}

// gangOpenAt returns when all tasks are expected to fit on a set of runners.
func (p *pass) gangOpenAt(d *carawayshift.Demand, rooms []*room) (time.Time, bool) {
	times := []time.Time{p.load.Now}
	for _, r := range rooms {
		for _, e := range r.releases {
			times = append(times, e.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	i, _ := slices.BinarySearchFunc(times, true, func(t time.Time, _ bool) int {
		if p.gangFits(d, rooms, t) {
			return 1
		}
		return -1
	})
	if i == len(times) {
		return time.Time{}, false
	}
	return times[i], true
}

func (p *pass) gangFits(d *carawayshift.Demand, rooms []*room, at time.Time) bool {
	n := 0
	for _, r := range rooms {
		if r.suits(d) {
			n += copies(r.free.plus(r.ending(at, false)), sizeOf(d.Requirements), d.Requirements.MaxPerRunner)
		}
	}
	return n >= len(d.Indexes)
}

func (p *pass) reserveSet(d *carawayshift.Demand, rooms []*room, at time.Time) {
	need, left := sizeOf(d.Requirements), len(d.Indexes)
	for _, r := range rooms {
		if !r.suits(d) {
			continue
		}
		n := min(left, copies(r.free.plus(r.ending(at, false)), need, d.Requirements.MaxPerRunner))
		for range n {
			r.reserve(need, at)
		}
		left -= n
	}
}

// makeRoom preempts for a gang of priority 0. What a guarantee must give begins
// in time rather than on one rack.
func (p *pass) makeRoom(d *carawayshift.Demand, sets [][]*room) bool {
	most := p.mayLose(d, len(d.Indexes))
	if p.guaranteed(d) {
		most = math.Inf(1)
	}
	if p.clearForGang(d, sets, most) {
		return true
	}
	return p.guaranteed(d) && p.clearForGang(d, [][]*room{p.rooms}, most)
}

// clearForGang preempts where that makes room for the whole gang at the least
// loss, if that is at most so many core-seconds, and reserves the room.
func (p *pass) clearForGang(d *carawayshift.Demand, sets [][]*room, most float64) bool {
	forced := p.guaranteed(d)
	by := p.load.Now.Add(p.cfg.Stop)
	var best []clearing
	var least float64
	for _, rooms := range sets {
		list, lost, ok := p.clearSet(d, rooms, by, forced)
		if ok && (best == nil || lost < least) {
			best, least = list, lost
		}
	}
	if best == nil || least > most {
		return false
	}
	for _, c := range best {
		for _, v := range c.victims {
			if !v.stopped {
				p.stop(v, d)
			}
		}
		for range c.tasks {
			c.room.reserve(sizeOf(d.Requirements), by)
		}
	}
	return true
}

// clearing is the room for some tasks on one runner.
type clearing struct {
	room    *room
	tasks   int
	victims []*victim
}

// clearSet finds room for all tasks on a set of runners, those first that lose
// the least for each task. What is preempted for one of them costs nothing more
// on the runners that a gang shares.
func (p *pass) clearSet(d *carawayshift.Demand, rooms []*room, by time.Time, forced bool) (list []clearing, lost float64, ok bool) {
	left := len(d.Indexes)
	doomed := map[*victim]bool{}
	options := map[*room][]option{}
	for _, r := range rooms {
		if r.suits(d) {
			options[r] = r.options(d, left, by, forced, doomed)
		}
	}
	for left > 0 {
		best, ok := cheapest(rooms, options, left)
		if !ok {
			return nil, 0, false
		}
		left -= best.tasks
		lost += best.lost
		list = append(list, best.clearing)
		delete(options, best.room)
		touched := map[string]bool{}
		for _, v := range best.victims {
			if doomed[v] {
				continue
			}
			doomed[v] = true
			for _, h := range v.runs {
				touched[h.Runner] = true
			}
		}
		for _, r := range rooms {
			if options[r] != nil && touched[r.agent.ID] {
				options[r] = r.options(d, left, by, forced, doomed)
			}
		}
	}
	return list, lost, true
}

// option is a clearing and the work that it throws away.
type option struct {
	clearing
	lost float64
}

// options returns the ways to make room for one task and more on a runner.
func (r *room) options(d *carawayshift.Demand, most int, by time.Time, forced bool, doomed map[*victim]bool) (list []option) {
	need := sizeOf(d.Requirements)
	most = min(most, copies(r.total, need, d.Requirements.MaxPerRunner))
	for n := 1; n <= most; n++ {
		victims, lost, ok := r.clear(need.times(n), by, forced, doomed)
		if !ok {
			break
		}
		list = append(list, option{clearing{r, n, victims}, lost})
	}
	return list
}

// cheapest returns the option that loses least for each task, and of equal ones
// that for most tasks.
func cheapest(rooms []*room, options map[*room][]option, most int) (best option, ok bool) {
	for _, r := range rooms {
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

func (a size) times(n int) size { return size{a.cores * n, a.memory * n, a.accelerators * n} }
