package placement

import (
	"slices"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

// rackWorkers is the number of workers in the largest cell of a rack.
const rackWorkers = buddy.RackSize / buddy.WorkerSize

// bound is a guarantee cell that holds running work and therefore has a place.
type bound struct {
	level int
	// rack is the rack of a cell of at most a rack, -1 for larger ones.
	rack int
	// whole is the number of workers of the rack that the cell holds without
	// using them.
	whole int
	// parts are the workers in use with the units that remain to the cell.
	parts []take
}

// guaranteedOrder lists the gangs that were started as guaranteed work, large
// ones first so that they get the large cells. Gangs on workers that take no
// new work come before all others: such a worker is part of a cell only when
// its gang opens the cell. Stopping jobs leave their cell and are charged again
// when they start anew.
func (m *model) guaranteedOrder() []int {
	var out []int
	for i := range m.gangs {
		g := &m.gangs[i]
		g.guaranteed = false
		if !g.Borrowed && g.State != carawayshift.JobStopping && len(g.takes) > 0 {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		x, y := m.gangs[a].takes, m.gangs[b].takes
		if p, q := m.unusable(x), m.unusable(y); p != q {
			return q - p
		}
		return unitsIn(y) - unitsIn(x)
	})
	return out
}

// levelsFor lists the levels of the team's unused cells that hold n units,
// smallest first.
func (m *model) levelsFor(t *team, n int) []int {
	var out []int
	for l := buddy.Level(n); l < buddy.Levels; l++ {
		if t.left[l] > 0 {
			out = append(out, l)
		}
	}
	return out
}

// joinable reports whether the takes lie within what the cell has left.
func (m *model) joinable(b *bound, takes []take) bool {
	if b.whole < len(takes)-len(b.parts) || (b.rack >= 0 && b.rack != m.guard.Rack(takes[0].worker)) {
		return false
	}
	fresh := 0
	for _, t := range takes {
		if p := b.part(t.worker); p >= 0 {
			if b.parts[p].units < t.units {
				return false
			}
			continue
		}
		if m.guard.Rack(t.worker) != b.rack || !m.guard.Whole(t.worker) {
			return false
		}
		fresh++
	}
	return fresh <= b.whole
}

func (b *bound) part(w int) int {
	return slices.IndexFunc(b.parts, func(p take) bool { return p.worker == w })
}

// join puts takes into a cell that is joinable for them.
func (m *model) join(b *bound, takes []take) {
	for _, t := range takes {
		if p := b.part(t.worker); p >= 0 {
			b.parts[p].units -= t.units
			continue
		}
		b.whole--
		m.guard.Hold(b.rack, -1)
		m.guard.Occupy(t.worker, buddy.WorkerSize)
		b.parts = append(b.parts, take{t.worker, buddy.WorkerSize - t.units})
	}
}

// openable reports whether a cell of the level has room around the takes. A
// worker that takes no new work keeps the gang that it has; it counts as part
// of the cell.
func (m *model) openable(level int, takes []take) bool {
	size := 1 << level
	if size <= buddy.WorkerSize {
		return len(takes) == 1 && m.roomInWorker(takes[0].worker, size)
	}
	racks := m.byRack(takes)
	if size <= buddy.RackSize {
		return len(racks) == 1 && m.roomInRack(racks[0], size/buddy.WorkerSize)
	}
	if len(racks) > size/buddy.RackSize {
		return false
	}
	for _, r := range racks {
		if !m.roomInRack(r, rackWorkers) {
			return false
		}
	}
	z := m.guard.Zone(takes[0].worker)
	return m.guard.Free(z, buddy.Level(buddy.RackSize)) >= size/buddy.RackSize-m.unusable(takes)
}

func (m *model) roomInWorker(w, size int) bool {
	if m.guard.Capacity(w) == 0 {
		return true
	}
	if m.guard.Whole(w) && m.guard.WholeWorkers(m.guard.Rack(w)) < 1 {
		return false
	}
	return m.guard.Room(w) >= size
}

func (m *model) roomInRack(takes []take, workers int) bool {
	for _, t := range takes {
		if m.guard.Capacity(t.worker) > 0 && !m.guard.Whole(t.worker) {
			return false
		}
	}
	need := workers - m.unusable(takes)
	return m.guard.WholeWorkers(m.guard.Rack(takes[0].worker)) >= need
}

func (m *model) unusable(takes []take) int {
	n := 0
	for _, t := range takes {
		if m.guard.Capacity(t.worker) == 0 {
			n++
		}
	}
	return n
}

// byRack splits takes by rack, in the order of first appearance.
func (m *model) byRack(takes []take) [][]take {
	var out [][]take
	for _, t := range takes {
		i := slices.IndexFunc(out, func(ts []take) bool {
			return m.guard.Rack(ts[0].worker) == m.guard.Rack(t.worker)
		})
		if i < 0 {
			out = append(out, []take{t})
			continue
		}
		out[i] = append(out[i], t)
	}
	return out
}

// open binds an unused cell of the team around the takes. The cell must be
// openable.
func (m *model) open(t *team, level int, takes []take) *bound {
	t.left[level]--
	m.need[level]--
	size := 1 << level
	b := &bound{level: level, rack: -1}
	t.bounds = append(t.bounds, b)
	if size <= buddy.WorkerSize {
		m.guard.Occupy(takes[0].worker, size)
		b.parts = []take{{takes[0].worker, size - takes[0].units}}
		return b
	}
	racks := m.byRack(takes)
	if size <= buddy.RackSize {
		b.rack = m.guard.Rack(takes[0].worker)
		b.whole = m.openRack(b, takes, size/buddy.WorkerSize)
		return b
	}
	for _, ts := range racks {
		m.openRack(b, ts, rackWorkers)
	}
	m.guard.HoldRacks(m.guard.Zone(takes[0].worker), size/buddy.RackSize-len(racks))
	return b
}

// openRack takes workers of one rack for the cell and returns how many of
// them are held without being used.
func (m *model) openRack(b *bound, takes []take, workers int) int {
	for _, t := range takes {
		m.guard.Occupy(t.worker, buddy.WorkerSize)
		b.parts = append(b.parts, take{t.worker, buddy.WorkerSize - t.units})
	}
	m.guard.Hold(m.guard.Rack(takes[0].worker), workers-len(takes))
	return workers - len(takes)
}

// unjoin undoes a join; before is the cell as it was.
func (m *model) unjoin(b *bound, before bound) {
	if b.rack >= 0 {
		m.guard.Hold(b.rack, before.whole-b.whole)
	}
	for _, p := range b.parts[len(before.parts):] {
		m.guard.Vacate(p.worker, buddy.WorkerSize)
	}
	*b = before
}

// unopen undoes the latest open of the team.
func (m *model) unopen(t *team, takes []take) {
	b := t.bounds[len(t.bounds)-1]
	t.bounds = t.bounds[:len(t.bounds)-1]
	t.left[b.level]++
	m.need[b.level]++
	size := 1 << b.level
	if size <= buddy.WorkerSize {
		m.guard.Vacate(takes[0].worker, size)
		return
	}
	workers := min(size/buddy.WorkerSize, rackWorkers)
	racks := m.byRack(takes)
	for _, ts := range racks {
		m.guard.Hold(m.guard.Rack(ts[0].worker), len(ts)-workers)
		for _, t := range ts {
			m.guard.Vacate(t.worker, buddy.WorkerSize)
		}
	}
	if size > buddy.RackSize {
		m.guard.HoldRacks(m.guard.Zone(takes[0].worker), len(racks)-size/buddy.RackSize)
	}
}
