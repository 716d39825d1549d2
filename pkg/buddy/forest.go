package buddy

import (
	"math/bits"
	"slices"

	"carawayshift.example/carawayshift"
)

// Sizes of the levels, in accelerators.
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
	workers []worker
	racks   []rack
	zones   []zone
	byName  map[string]int
	byZone  map[string]int
}

type worker struct {
	carawayshift.Worker
	zone, rack int
	// units is the capacity, 0 when the worker takes no work.
	units, used int
	// pos is the index in the zone's bucket of workers with as much room.
	pos int
}

type rack struct {
	zone    int
	workers []int
	// free counts wholly free workers, held those of them set aside.
	free, held int
}

type zone struct {
	carawayshift.Zone
	racks []int
	// cells counts free cells of the levels up to rackLevel.
	cells [rackLevel + 1]int
	// held counts rack-sized blocks set aside.
	held int
	// buckets lists the workers by free units.
	buckets [WorkerSize + 1][]int
}

// New returns a forest without occupants. Workers that are leaving or
// quarantined, and workers of zones that are out or unknown, have no cells.
func New(zones []carawayshift.Zone, workers []carawayshift.Worker) *Forest {
	f := &Forest{
		workers: make([]worker, 0, len(workers)),
		zones:   make([]zone, len(zones)),
		byName:  make(map[string]int, len(workers)),
		byZone:  make(map[string]int, len(zones)),
	}
	for i, z := range zones {
		f.zones[i].Zone = z
		f.byZone[z.Name] = i
	}
	racks := make(map[[2]string]int)
	for _, w := range workers {
		f.add(w, racks)
	}
	return f
}

func (f *Forest) add(w carawayshift.Worker, racks map[[2]string]int) {
	z, ok := f.byZone[w.Zone]
	if !ok {
		z = len(f.zones)
		f.zones = append(f.zones, zone{Zone: carawayshift.Zone{Name: w.Zone, Drained: true}})
		f.byZone[w.Zone] = z
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
		n.units = min(w.Accelerators, WorkerSize)
	}
	f.byName[w.Name] = i
	f.workers = append(f.workers, n)
	f.racks[r].workers = append(f.racks[r].workers, i)
	f.count(i, 1)
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
	if i, ok := f.byName[name]; ok {
		return i
	}
	return -1
}

// ZoneIndex returns the index of a zone, or -1.
func (f *Forest) ZoneIndex(name string) int {
	if i, ok := f.byZone[name]; ok {
		return i
	}
	return -1
}

// Worker returns the worker at index w.
func (f *Forest) Worker(w int) carawayshift.Worker { return f.workers[w].Worker }

// Workers, Racks and Zones return the number of each.
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

// Room returns the free units of a worker.
func (f *Forest) Room(w int) int { return max(0, f.workers[w].units-f.workers[w].used) }

// Capacity returns the units of a worker, 0 when it takes no work.
func (f *Forest) Capacity(w int) int { return f.workers[w].units }

// Whole reports whether a worker is wholly free and of the full size.
func (f *Forest) Whole(w int) bool { return f.Room(w) == WorkerSize }

// WholeWorkers returns the number of wholly free workers of a rack that are
// not held.
func (f *Forest) WholeWorkers(r int) int { return f.racks[r].free - f.racks[r].held }

// Units returns the units that one task of the job takes on worker w, 0 when
// the worker is too small for the task.
func (f *Forest) Units(w int, j *carawayshift.Job) int {
	return Units(f.workers[w].Worker, j)
}

// Units returns the units that one task of the job takes on the worker, 0
// when the worker is too small for the task.
func Units(w carawayshift.Worker, j *carawayshift.Job) int {
	limit := min(w.Accelerators, WorkerSize)
	n := max(j.Accelerators, share(j.Cores, w.Cores, limit), share(j.Memory, w.Memory, limit), 1)
	if n > limit {
		return 0
	}
	return min(1<<Level(n), limit)
}

// share returns the units whose part of the whole covers the need.
func share(need, whole, units int) int {
	if need <= 0 {
		return 0
	}
	if need > whole {
		return WorkerSize + 1
	}
	return (need*units + whole - 1) / whole
}

// Occupy takes units of a worker. More than the worker has may be taken, which
// sets cells aside that are still in use; Vacate gives the same number back.
func (f *Forest) Occupy(w, units int) {
	f.count(w, -1)
	f.workers[w].used += units
	f.count(w, 1)
}

// Vacate is the opposite of Occupy.
func (f *Forest) Vacate(w, units int) { f.Occupy(w, -units) }

// Hold sets n wholly free workers of a rack aside without choosing them; a
// negative n gives them back.
func (f *Forest) Hold(r, n int) {
	f.countRack(r, -1)
	f.racks[r].held += n
	f.countRack(r, 1)
	z := &f.zones[f.racks[r].zone]
	for l := 0; l <= workerLevel; l++ {
		z.cells[l] -= n * WorkerSize >> l
	}
}

// HoldRacks sets n rack-sized blocks of a zone aside without choosing them; a
// negative n gives them back.
func (f *Forest) HoldRacks(z, n int) {
	f.zones[z].held += n
	for l := 0; l <= rackLevel; l++ {
		f.zones[z].cells[l] -= n * RackSize >> l
	}
}

// count adds or takes away the cells of one worker.
func (f *Forest) count(w, sign int) {
	n := &f.workers[w]
	if n.units == 0 {
		return
	}
	room := f.Room(w)
	z := &f.zones[n.zone]
	for l := 0; l <= workerLevel; l++ {
		z.cells[l] += sign * (room >> l)
	}
	f.bucket(w, room, sign)
	if room == WorkerSize {
		f.countRack(n.rack, -1)
		f.racks[n.rack].free += sign
		f.countRack(n.rack, 1)
	}
}

// bucket adds a worker to the list of its room, or removes it.
func (f *Forest) bucket(w, room, sign int) {
	b := &f.zones[f.workers[w].zone].buckets[room]
	if sign > 0 {
		f.workers[w].pos = len(*b)
		*b = append(*b, w)
		return
	}
	last := (*b)[len(*b)-1]
	(*b)[f.workers[w].pos] = last
	f.workers[last].pos = f.workers[w].pos
	*b = (*b)[:len(*b)-1]
}

// countRack adds or takes away the cells of whole workers of one rack.
func (f *Forest) countRack(r, sign int) {
	n := f.WholeWorkers(r)
	z := &f.zones[f.racks[r].zone]
	for l := workerLevel + 1; l <= rackLevel; l++ {
		z.cells[l] += sign * (n >> (l - workerLevel))
	}
}

// Free returns the number of free cells of a level in a zone.
func (f *Forest) Free(z, level int) int {
	if level <= rackLevel {
		return f.zones[z].cells[level]
	}
	return f.zones[z].cells[rackLevel] >> (level - rackLevel)
}

// FreeAll returns the number of free cells of a level in all zones.
func (f *Forest) FreeAll(level int) int {
	n := 0
	for z := range f.zones {
		n += f.Free(z, level)
	}
	return n
}

// Fits reports whether cells, counted by level, can be packed together around
// the occupants.
func (f *Forest) Fits(cells *[Levels]int) bool {
	_, short := f.ShortAt(cells)
	return short == 0
}

// ShortAt returns the largest level at which the cells, counted by level,
// can't be packed, and the number of cells of that level that are short.
func (f *Forest) ShortAt(cells *[Levels]int) (level, short int) {
	need := 0
	for l := Levels - 1; l >= 0; l-- {
		need += cells[l] << l
		if need == 0 {
			continue
		}
		if free := f.FreeAll(l) << l; free < need {
			return l, (need - free + 1<<l - 1) >> l
		}
	}
	return 0, 0
}

// Short returns the cells that can't be packed together with the others around
// the occupants, largest first; none when all fit.
func (f *Forest) Short(cells []carawayshift.CellCount) []carawayshift.CellCount {
	var need [Levels]int
	for _, c := range cells {
		need[Level(c.Size)] += c.Count
	}
	var out []carawayshift.CellCount
	for {
		l, n := f.ShortAt(&need)
		if n == 0 {
			return out
		}
		// The missing space may be due to larger cells: the smallest cells
		// that make the sum too large are the ones reported.
		for need[l] == 0 {
			l++
		}
		n = min(n, need[l])
		need[l] -= n
		out = append(out, carawayshift.CellCount{Count: n, Size: 1 << l})
	}
}

// Used returns the units of a worker that are taken; it exceeds the capacity
// when cells in use were set aside.
func (f *Forest) Used(w int) int { return f.workers[w].used }

// ZoneName returns the name of a zone.
func (f *Forest) ZoneName(z int) string { return f.zones[z].Name }

// Clone returns a copy with the same occupants.
func (f *Forest) Clone() *Forest {
	c := &Forest{
		workers: slices.Clone(f.workers), racks: slices.Clone(f.racks), zones: slices.Clone(f.zones),
		byName: f.byName, byZone: f.byZone,
	}
	for z := range c.zones {
		for i, b := range f.zones[z].buckets {
			c.zones[z].buckets[i] = slices.Clone(b)
		}
	}
	return c
}
