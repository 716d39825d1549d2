package dispatch

import (
	"cmp"
	"slices"

	"carawayshift.example/carawayshift"
)

// serveGang places all tasks of a gang or none.
func (p *pass) serveGang(d *carawayshift.Demand) {
	for _, rooms := range p.gangRooms(d) {
		if list, ok := p.fill(d, rooms); ok {
			for i, r := range list {
				p.start(r, d, i, len(rooms)-1)
			}
			return
		}
	}
	if d.Queue.Priority > 0 {
		p.wait(d, RuleRoom)
		return
	}
	p.clearForGang(d)
}

// gangRooms returns the sets of runners to try in turn: single racks, those
// with the least room first, and then all runners, unless the gang is slow on
// more than one rack and some rack could hold it.
func (p *pass) gangRooms(d *carawayshift.Demand) [][]*room {
	racks := p.racks(d)
	if !d.Need.OneRack || !p.rackCouldHold(d, racks) {
		racks = append(racks, p.rooms)
	}
	return racks
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
			n += copies(r.total, sizeOf(d.Need), d.Need.Spread)
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
	need := sizeOf(d.Need)
	planned := map[*room]int{}
	var list []*room
	for range d.Indexes {
		r, _ := p.pick(d, rooms, planned)
		if r == nil {
			for _, r := range list {
				r.free = r.free.plus(need)
			}
			return nil, false
		}
		r.free = r.free.minus(need)
		planned[r]++
		list = append(list, r)
	}
	return list, true
}

// clearForGang preempts for a gang of priority 0, when that makes room for all
// of it, and reserves the room.
func (p *pass) clearForGang(d *carawayshift.Demand) {
	sets := p.gangRooms(d)
	slices.SortStableFunc(sets, func(a, b []*room) int { return -cmp.Compare(p.reach(d, a), p.reach(d, b)) })
	for _, rooms := range sets {
		if p.reach(d, rooms) < len(d.Indexes) {
			continue
		}
		p.reserve(d, rooms)
		p.wait(d, RuleStops)
		return
	}
	p.wait(d, RuleRoom)
}

// reach is how many tasks of the gang fit once everything that may be
// preempted has ended.
func (p *pass) reach(d *carawayshift.Demand, rooms []*room) int {
	n := 0
	for _, r := range rooms {
		if !r.suits(d) {
			continue
		}
		have := r.free.plus(r.soon)
		for _, v := range r.victims {
			for _, h := range v.runs {
				if !v.stopped && h.Runner == r.agent.ID {
					have = have.plus(sizeOf(h.Need))
				}
			}
		}
		n += copies(have, sizeOf(d.Need), d.Need.Spread)
	}
	return n
}

// reserve takes room for the tasks one by one, where the least work is lost.
func (p *pass) reserve(d *carawayshift.Demand, rooms []*room) {
	need := sizeOf(d.Need)
	planned := map[*room]int{}
	for range d.Indexes {
		r := cheapest(p, d, rooms, planned, need)
		if r == nil {
			return
		}
		list, _, _ := r.clear(need)
		for _, v := range list {
			p.stop(v, d)
		}
		r.free = r.free.minus(need)
		planned[r]++
	}
}

func cheapest(p *pass, d *carawayshift.Demand, rooms []*room, planned map[*room]int, need size) *room {
	var best *room
	least := int64(0)
	for _, r := range rooms {
		if !r.suits(d) || p.crowded(d, r, planned) {
			continue
		}
		_, lost, ok := r.clear(need)
		if ok && (best == nil || int64(lost) < least) {
			best, least = r, int64(lost)
		}
	}
	return best
}
