package placement

import (
	"slices"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

// workersPerRack is the number of workers in the largest cell of a rack.
const workersPerRack = buddy.RackSize / buddy.WorkerSize

// boundCell is a guarantee cell that is bound to workers because running
// gangs are charged to it.
type boundCell struct {
	level int
	// rack is the rack of a cell of 2 to 8 whole workers, -1 for other sizes.
	rack int
	// unusedWorkers is the number of workers of the rack that are reserved for
	// the cell and run none of its gangs.
	unusedWorkers int
	// usedWorkers lists the workers that run gangs of the cell, with the units
	// of the cell that are still free on each.
	usedWorkers []allocation
}

// guaranteedOrder lists the gangs that were started as guaranteed work, largest
// first so that they get the large cells. Gangs on workers that take no new
// work come before all others: such a worker is part of a cell only when its
// gang is the one that the cell is bound around. Stopping jobs are not charged
// to a cell; they are charged again when they restart.
func (m *model) guaranteedOrder() []int {
	var out []int
	for i := range m.gangs {
		g := &m.gangs[i]
		g.guaranteed = false
		if !g.Borrowed && g.State != carawayshift.JobStopping && len(g.allocations) > 0 {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		x, y := m.gangs[a].allocations, m.gangs[b].allocations
		if p, q := m.countUnusable(x), m.countUnusable(y); p != q {
			return q - p
		}
		return totalUnits(y) - totalUnits(x)
	})
	return out
}

// unusedLevels lists the levels of the team's unused cells that hold n units,
// smallest first.
func (m *model) unusedLevels(t *team, n int) []int {
	var out []int
	for l := buddy.Level(n); l < buddy.Levels; l++ {
		if t.unusedCells[l] > 0 {
			out = append(out, l)
		}
	}
	return out
}

// canJoin reports whether the allocations fit into the free part of the cell.
func (m *model) canJoin(b *boundCell, allocs []allocation) bool {
	if b.unusedWorkers < len(allocs)-len(b.usedWorkers) || (b.rack >= 0 && b.rack != m.guaranteeForest.Rack(allocs[0].worker)) {
		return false
	}
	added := 0
	for _, t := range allocs {
		if p := b.usedIndex(t.worker); p >= 0 {
			if b.usedWorkers[p].units < t.units {
				return false
			}
			continue
		}
		if m.guaranteeForest.Rack(t.worker) != b.rack || !m.guaranteeForest.WhollyFree(t.worker) {
			return false
		}
		added++
	}
	return added <= b.unusedWorkers
}

func (b *boundCell) usedIndex(w int) int {
	return slices.IndexFunc(b.usedWorkers, func(p allocation) bool { return p.worker == w })
}

// join charges allocations to a bound cell for which canJoin is true.
func (m *model) join(b *boundCell, allocs []allocation) {
	for _, t := range allocs {
		if p := b.usedIndex(t.worker); p >= 0 {
			b.usedWorkers[p].units -= t.units
			continue
		}
		b.unusedWorkers--
		m.guaranteeForest.ReserveWorkers(b.rack, -1)
		m.guaranteeForest.Occupy(t.worker, buddy.WorkerSize)
		b.usedWorkers = append(b.usedWorkers, allocation{t.worker, buddy.WorkerSize - t.units})
	}
}

// canBind reports whether an unused cell of the level can be bound around the
// allocations. A worker that takes no new work keeps the gang that it has; it
// counts as part of the cell.
func (m *model) canBind(level int, allocs []allocation) bool {
	size := 1 << level
	if size <= buddy.WorkerSize {
		return len(allocs) == 1 && m.workerHasRoom(allocs[0].worker, size)
	}
	racks := m.groupByRack(allocs)
	if size <= buddy.RackSize {
		return len(racks) == 1 && m.rackHasRoom(racks[0], size/buddy.WorkerSize)
	}
	if len(racks) > size/buddy.RackSize {
		return false
	}
	for _, r := range racks {
		if !m.rackHasRoom(r, workersPerRack) {
			return false
		}
	}
	z := m.guaranteeForest.Zone(allocs[0].worker)
	return m.guaranteeForest.FreeCells(z, buddy.Level(buddy.RackSize)) >= size/buddy.RackSize-m.countUnusable(allocs)
}

func (m *model) workerHasRoom(w, size int) bool {
	if m.guaranteeForest.Capacity(w) == 0 {
		return true
	}
	if m.guaranteeForest.WhollyFree(w) && m.guaranteeForest.WhollyFreeWorkers(m.guaranteeForest.Rack(w)) < 1 {
		return false
	}
	return m.guaranteeForest.FreeUnits(w) >= size
}

func (m *model) rackHasRoom(allocs []allocation, workers int) bool {
	for _, t := range allocs {
		if m.guaranteeForest.Capacity(t.worker) > 0 && !m.guaranteeForest.WhollyFree(t.worker) {
			return false
		}
	}
	need := workers - m.countUnusable(allocs)
	return m.guaranteeForest.WhollyFreeWorkers(m.guaranteeForest.Rack(allocs[0].worker)) >= need
}

func (m *model) countUnusable(allocs []allocation) int {
	n := 0
	for _, t := range allocs {
		if m.guaranteeForest.Capacity(t.worker) == 0 {
			n++
		}
	}
	return n
}

// groupByRack groups allocations by rack, in the order of first appearance.
func (m *model) groupByRack(allocs []allocation) [][]allocation {
	var out [][]allocation
	for _, t := range allocs {
		i := slices.IndexFunc(out, func(ts []allocation) bool {
			return m.guaranteeForest.Rack(ts[0].worker) == m.guaranteeForest.Rack(t.worker)
		})
		if i < 0 {
			out = append(out, []allocation{t})
			continue
		}
		out[i] = append(out[i], t)
	}
	return out
}

// bind binds an unused cell of the team around the allocations. It requires
// that canBind is true.
func (m *model) bind(t *team, level int, allocs []allocation) *boundCell {
	t.unusedCells[level]--
	m.unboundCells[level]--
	size := 1 << level
	b := &boundCell{level: level, rack: -1}
	t.boundCells = append(t.boundCells, b)
	if size <= buddy.WorkerSize {
		m.guaranteeForest.Occupy(allocs[0].worker, size)
		b.usedWorkers = []allocation{{allocs[0].worker, size - allocs[0].units}}
		return b
	}
	racks := m.groupByRack(allocs)
	if size <= buddy.RackSize {
		b.rack = m.guaranteeForest.Rack(allocs[0].worker)
		b.unusedWorkers = m.bindInRack(b, allocs, size/buddy.WorkerSize)
		return b
	}
	for _, ts := range racks {
		m.bindInRack(b, ts, workersPerRack)
	}
	m.guaranteeForest.ReserveRacks(m.guaranteeForest.Zone(allocs[0].worker), size/buddy.RackSize-len(racks))
	return b
}

// bindInRack reserves workers of one rack for the cell and returns how many of
// them it leaves unused.
func (m *model) bindInRack(b *boundCell, allocs []allocation, workers int) int {
	for _, t := range allocs {
		m.guaranteeForest.Occupy(t.worker, buddy.WorkerSize)
		b.usedWorkers = append(b.usedWorkers, allocation{t.worker, buddy.WorkerSize - t.units})
	}
	m.guaranteeForest.ReserveWorkers(m.guaranteeForest.Rack(allocs[0].worker), workers-len(allocs))
	return workers - len(allocs)
}

// undoJoin undoes a join; before is the cell as it was.
func (m *model) undoJoin(b *boundCell, before boundCell) {
	if b.rack >= 0 {
		m.guaranteeForest.ReserveWorkers(b.rack, before.unusedWorkers-b.unusedWorkers)
	}
	for _, p := range b.usedWorkers[len(before.usedWorkers):] {
		m.guaranteeForest.Vacate(p.worker, buddy.WorkerSize)
	}
	*b = before
}

// undoBind undoes the team's latest bind, which had the same allocations.
func (m *model) undoBind(t *team, allocs []allocation) {
	b := t.boundCells[len(t.boundCells)-1]
	t.boundCells = t.boundCells[:len(t.boundCells)-1]
	t.unusedCells[b.level]++
	m.unboundCells[b.level]++
	size := 1 << b.level
	if size <= buddy.WorkerSize {
		m.guaranteeForest.Vacate(allocs[0].worker, size)
		return
	}
	workers := min(size/buddy.WorkerSize, workersPerRack)
	racks := m.groupByRack(allocs)
	for _, ts := range racks {
		m.guaranteeForest.ReserveWorkers(m.guaranteeForest.Rack(ts[0].worker), len(ts)-workers)
		for _, t := range ts {
			m.guaranteeForest.Vacate(t.worker, buddy.WorkerSize)
		}
	}
	if size > buddy.RackSize {
		m.guaranteeForest.ReserveRacks(m.guaranteeForest.Zone(allocs[0].worker), len(racks)-size/buddy.RackSize)
	}
}
