package buddy

import (
	"math/bits"
	"slices"

	"carawayshift.example/carawayshift"
)

// WorkerSize and RackSize are the sizes of the largest cell of a worker and of a
// rack, in accelerators.
const (
	WorkerSize = 8
	RackSize   = 64
	// Levels is the number of cell sizes: 1 (level 0) to 4096 (level 12).
	Levels = 13

	workerLevel = 3
	rackLevel   = 6
)

// Forest counts the free cells of a set of workers. Workers, racks and zones
// are addressed by their index in the order of the slices given to New.
type Forest struct {
	workers       []worker
	racks         []rack
	zones         []zone
	workerIndexes map[string]int
	zoneIndexes   map[string]int
}

type worker struct {
	carawayshift.Worker
	zone, rack int
	// capacity and used are in units; capacity is 0 when the worker takes no
	// work.
	capacity, used int
	// bucketIndex is the worker's index in its bucket of the zone.
	bucketIndex int
}

type rack struct {
	zone    int
	workers []int
	// wholeWorkers counts the wholly free workers, reservedWorkers those of
	// them that are reserved.
	wholeWorkers, reservedWorkers int
}

type zone struct {
	carawayshift.Zone
	racks []int
	// freeCells counts the free cells of the levels up to rackLevel.
	freeCells [rackLevel + 1]int
	// reservedRacks counts the reserved rack-sized blocks.
	reservedRacks int
	// buckets lists the workers by free units.
	buckets [WorkerSize + 1][]int
}

// New returns a forest without occupants. Workers that are leaving or
// quarantined, and workers of drained or unknown zones, have no cells.
func New(zones []carawayshift.Zone, workers []carawayshift.Worker) *Forest {
	f := &Forest{
		workers:       make([]worker, 0, len(workers)),
		zones:         make([]zone, len(zones)),
		workerIndexes: make(map[string]int, len(workers)),
		zoneIndexes:   make(map[string]int, len(zones)),
	}
	for i, z := range zones {
		f.zones[i].Zone = z
		f.zoneIndexes[z.Name] = i
	}
	racks := make(map[[2]string]int)
	for _, w := range workers {
		f.add(w, racks)
	}
	return f
}

func (f *Forest) add(w carawayshift.Worker, racks map[[2]string]int) {
	z, ok := f.zoneIndexes[w.Zone]
	if !ok {
		z = len(f.zones)
		f.zones = append(f.zones, zone{Zone: carawayshift.Zone{Name: w.Zone, Drained: true}})
		f.zoneIndexes[w.Zone] = z
	}
	key := [2]string{w.Zone, w.Rack}
	r, ok := racks[key]
	if !ok {
		r = len(f.racks)
		racks[key] = r
		f.racks = append(f.racks, rack{zone: z})
		f.zones[z].racks = append(f.zones[z].racks, r)
	}
	i := len(f.workers)
	n := worker{Worker: w, zone: z, rack: r}
	if !w.Leaving && !w.Quarantined && !f.zones[z].Drained {
		n.capacity = min(w.Accelerators, WorkerSize)
	}
	f.workerIndexes[w.Name] = i
	f.workers = append(f.workers, n)
	f.racks[r].workers = append(f.racks[r].workers, i)
	f.addWorkerCells(i, 1)
}

// Level returns the level of the smallest cell that holds n accelerators.
func Level(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}

// Index returns the index of a worker, or -1.
func (f *Forest) Index(name string) int {
	if i, ok := f.workerIndexes[name]; ok {
		return i
	}
	return -1
}

// ZoneIndex returns the index of a zone, or -1.
func (f *Forest) ZoneIndex(name string) int {
	if i, ok := f.zoneIndexes[name]; ok {
		return i
	}
	return -1
}

// Worker returns the worker at index w.
func (f *Forest) Worker(w int) carawayshift.Worker { return f.workers[w].Worker }

// Workers returns the number of workers, including those without cells.
func (f *Forest) Workers() int { return len(f.workers) }

// Racks returns the number of racks.
func (f *Forest) Racks() int { return len(f.racks) }

// Zones returns the number of zones.
func (f *Forest) Zones() int { return len(f.zones) }

// Rack returns the index of a worker's rack.
func (f *Forest) Rack(w int) int { return f.workers[w].rack }

// Zone returns the index of a worker's zone.
func (f *Forest) Zone(w int) int { return f.workers[w].zone }

// RackWorkers returns the workers of a rack. The caller must not change it.
func (f *Forest) RackWorkers(r int) []int { return f.racks[r].workers }

// RackZone returns the zone of a rack.
func (f *Forest) RackZone(r int) int { return f.racks[r].zone }

// ZoneRacks returns the racks of a zone. The caller must not change it.
func (f *Forest) ZoneRacks(z int) []int { return f.zones[z].racks }

// FreeUnits returns the number of free units of a worker.
func (f *Forest) FreeUnits(w int) int { return max(0, f.workers[w].capacity-f.workers[w].used) }

// Capacity returns the units of a worker, 0 when it takes no work.
func (f *Forest) Capacity(w int) int { return f.workers[w].capacity }

// WhollyFree reports whether a worker has WorkerSize free units.
func (f *Forest) WhollyFree(w int) bool { return f.FreeUnits(w) == WorkerSize }

// WhollyFreeWorkers returns the number of wholly free workers of a rack that are
// not reserved.
func (f *Forest) WhollyFreeWorkers(r int) int {
	return f.racks[r].wholeWorkers - f.racks[r].reservedWorkers
}

// Units returns the units that one task of the job takes on worker w, 0 when
// the worker is too small for the task.
func (f *Forest) Units(w int, j *carawayshift.Job) int {
	return Units(f.workers[w].Worker, j)
}

// Units returns the units that one task of the job takes on the worker, 0
// when the worker is too small for the task.
func Units(w carawayshift.Worker, j *carawayshift.Job) int {
	limit := min(w.Accelerators, WorkerSize)
	n := max(j.Accelerators, unitsFor(j.Cores, w.Cores, limit), unitsFor(j.Memory, w.Memory, limit), 1)
	if n > limit {
		return 0
	}
	return min(1<<Level(n), limit)
}

// unitsFor returns the least number of units whose part of the whole covers the
// need, or more than WorkerSize when the need exceeds the whole.
func unitsFor(need, whole, units int) int {
	if need <= 0 {
		return 0
	}
	if need > whole {
		return WorkerSize + 1
	}
	return (need*units + whole - 1) / whole
}

// Occupy marks units of a worker as used. The sum may exceed the worker's
// capacity, which reserves cells that are still in use; Vacate returns the same
// number of units.
func (f *Forest) Occupy(w, units int) {
	f.addWorkerCells(w, -1)
	f.workers[w].used += units
	f.addWorkerCells(w, 1)
}

// Vacate is the opposite of Occupy.
func (f *Forest) Vacate(w, units int) { f.Occupy(w, -units) }

// ReserveWorkers reserves n wholly free workers of a rack without choosing them;
// a negative n releases them.
func (f *Forest) ReserveWorkers(r, n int) {
	f.addRackCells(r, -1)
	f.racks[r].reservedWorkers += n
	f.addRackCells(r, 1)
	z := &f.zones[f.racks[r].zone]
	for l := 0; l <= workerLevel; l++ {
		z.freeCells[l] -= n * WorkerSize >> l
	}
}

// ReserveRacks reserves n rack-sized blocks of a zone without choosing them; a
// negative n releases them.
func (f *Forest) ReserveRacks(z, n int) {
	f.zones[z].reservedRacks += n
	for l := 0; l <= rackLevel; l++ {
		f.zones[z].freeCells[l] -= n * RackSize >> l
	}
}

// addWorkerCells adds the free cells of one worker to the counts if sign is 1,
// and subtracts them if it is -1.
func (f *Forest) addWorkerCells(w, sign int) {
	n := &f.workers[w]
	if n.capacity == 0 {
		return
	}
	room := f.FreeUnits(w)
	z := &f.zones[n.zone]
	for l := 0; l <= workerLevel; l++ {
		z.freeCells[l] += sign * (room >> l)
	}
	f.updateBucket(w, room, sign)
	if room == WorkerSize {
		f.addRackCells(n.rack, -1)
		f.racks[n.rack].wholeWorkers += sign
		f.addRackCells(n.rack, 1)
	}
}

// updateBucket adds a worker to the bucket of its free units if sign is 1, and
// removes it if it is -1.
func (f *Forest) updateBucket(w, room, sign int) {
	b := &f.zones[f.workers[w].zone].buckets[room]
	if sign > 0 {
		f.workers[w].bucketIndex = len(*b)
		*b = append(*b, w)
		return
	}
	last := (*b)[len(*b)-1]
	(*b)[f.workers[w].bucketIndex] = last
	f.workers[last].bucketIndex = f.workers[w].bucketIndex
	*b = (*b)[:len(*b)-1]
}

// addRackCells adds the free cells of several workers of one rack to the counts
// if sign is 1, and subtracts them if it is -1.
func (f *Forest) addRackCells(r, sign int) {
	n := f.WhollyFreeWorkers(r)
	z := &f.zones[f.racks[r].zone]
	for l := workerLevel + 1; l <= rackLevel; l++ {
		z.freeCells[l] += sign * (n >> (l - workerLevel))
	}
}

// FreeCells returns the number of free cells of a level in a zone.
func (f *Forest) FreeCells(z, level int) int {
	if level <= rackLevel {
		return f.zones[z].freeCells[level]
	}
	return f.zones[z].freeCells[rackLevel] >> (level - rackLevel)
}

// TotalFreeCells returns the number of free cells of a level in all zones.
func (f *Forest) TotalFreeCells(level int) int {
	n := 0
	for z := range f.zones {
		n += f.FreeCells(z, level)
	}
	return n
}

// Fits reports whether cells, counted by level, can be packed together around
// the occupants.
func (f *Forest) Fits(cells *[Levels]int) bool {
	_, short := f.MissingAt(cells)
	return short == 0
}

// MissingAt returns the highest level at which the cells, counted by level, can't
// be packed, and the number of cells of that level that are missing.
func (f *Forest) MissingAt(cells *[Levels]int) (level, short int) {
	need := 0
	for l := Levels - 1; l >= 0; l-- {
		need += cells[l] << l
		if need == 0 {
			continue
		}
		if free := f.TotalFreeCells(l) << l; free < need {
			return l, (need - free + 1<<l - 1) >> l
		}
	}
	return 0, 0
}

// Missing returns the cells that can't be packed together with the others around
// the occupants, largest first, or none when all fit.
func (f *Forest) Missing(cells []carawayshift.CellCount) []carawayshift.CellCount {
	var need [Levels]int
	for _, c := range cells {
		need[Level(c.Size)] += c.Count
	}
	var out []carawayshift.CellCount
	for {
		l, n := f.MissingAt(&need)
		if n == 0 {
			return out
		}
		// The missing room may be due to larger cells. The smallest requested
		// cells that make the sum too large are the ones reported.
		for need[l] == 0 {
			l++
		}
		n = min(n, need[l])
		need[l] -= n
		out = append(out, carawayshift.CellCount{Count: n, Size: 1 << l})
	}
}

// Used returns the number of units of a worker that are used; it exceeds the
// capacity when cells in use were reserved.
func (f *Forest) Used(w int) int { return f.workers[w].used }

// ZoneName returns the name of a zone.
func (f *Forest) ZoneName(z int) string { return f.zones[z].Name }

// Clone returns a copy with the same occupants.
func (f *Forest) Clone() *Forest {
	c := &Forest{
		workers: slices.Clone(f.workers), racks: slices.Clone(f.racks), zones: slices.Clone(f.zones),
		workerIndexes: f.workerIndexes, zoneIndexes: f.zoneIndexes,
	}
	for z := range c.zones {
		for i, b := range f.zones[z].buckets {
			c.zones[z].buckets[i] = slices.Clone(b)
		}
	}
	return c
}
