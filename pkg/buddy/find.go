package buddy

// Avoid reports whether a search must not use a worker; a nil Avoid allows all
// workers.
type Avoid func(w int) bool

// Find looks for a free cell of a zone that holds a gang of tasks of the given
// units each, and avoids splitting larger cells: one worker for a gang of at
// most 8 units, otherwise whole workers of the rack with the fewest wholly free
// ones, otherwise whole racks. It returns a worker for each task.
func (f *Forest) Find(z, tasks, units int, avoid Avoid) ([]int, bool) {
	total := tasks * units
	if total <= WorkerSize {
		w := f.FindWorker(z, total, avoid)
		if w < 0 {
			return nil, false
		}
		return repeat(w, tasks), true
	}
	perWorker := WorkerSize / units
	need := (tasks + perWorker - 1) / perWorker
	if need<<workerLevel <= RackSize {
		r := f.findRack(z, need, avoid)
		if r < 0 {
			return nil, false
		}
		return f.assignTasks(f.wholeWorkersOf(r, need, avoid), tasks, perWorker), true
	}
	return f.findRacks(z, tasks, perWorker, need, avoid)
}

// FindWorker returns the worker of the zone with the fewest free units that are
// enough, or -1. It uses a wholly free worker only if no other has room, and
// then one of the rack with the fewest wholly free workers.
func (f *Forest) FindWorker(z, units int, avoid Avoid) int {
	for room := units; room < WorkerSize; room++ {
		for _, w := range f.zones[z].buckets[room] {
			if avoid == nil || !avoid(w) {
				return w
			}
		}
	}
	if r := f.findRack(z, 1, avoid); r >= 0 {
		return f.wholeWorkersOf(r, 1, avoid)[0]
	}
	return -1
}

// findRack returns the rack with the fewest wholly free workers among those with
// at least need of them, or -1.
func (f *Forest) findRack(z, need int, avoid Avoid) int {
	best, least := -1, 0
	for _, r := range f.zones[z].racks {
		n := f.WhollyFreeWorkers(r)
		if n < need || (best >= 0 && n >= least) {
			continue
		}
		if avoid != nil && len(f.wholeWorkersOf(r, need, avoid)) < need {
			continue
		}
		best, least = r, n
	}
	return best
}

// wholeWorkersOf returns up to need wholly free workers of a rack.
func (f *Forest) wholeWorkersOf(r, need int, avoid Avoid) []int {
	out := make([]int, 0, need)
	for _, w := range f.racks[r].workers {
		if len(out) == need {
			break
		}
		if f.WhollyFree(w) && (avoid == nil || !avoid(w)) {
			out = append(out, w)
		}
	}
	return out
}

// findRacks collects whole racks for a gang larger than a rack.
func (f *Forest) findRacks(z, tasks, perWorker, need int, avoid Avoid) ([]int, bool) {
	const rackWorkers = RackSize / WorkerSize
	var ws []int
	for _, r := range f.zones[z].racks {
		if f.WhollyFreeWorkers(r) < rackWorkers || len(ws) >= need {
			continue
		}
		if got := f.wholeWorkersOf(r, rackWorkers, avoid); len(got) == rackWorkers {
			ws = append(ws, got...)
		}
	}
	if len(ws) < need {
		return nil, false
	}
	return f.assignTasks(ws[:need], tasks, perWorker), true
}

// FindScattered looks for room for a gang anywhere in a zone: workers with little
// room first, or, when a task takes a whole worker, racks with many free
// workers first so that few racks are used.
func (f *Forest) FindScattered(z, tasks, units int, avoid Avoid) ([]int, bool) {
	if f.FreeCells(z, Level(units)) < tasks {
		return nil, false
	}
	out := make([]int, 0, tasks)
	for room := units; room <= WorkerSize; room++ {
		for _, w := range f.zones[z].buckets[room] {
			if avoid != nil && avoid(w) {
				continue
			}
			for n := room / units; n > 0 && len(out) < tasks; n-- {
				out = append(out, w)
			}
			if len(out) == tasks {
				return out, true
			}
		}
	}
	return nil, false
}

// assignTasks assigns the tasks to the workers in order, perWorker to each.
func (f *Forest) assignTasks(ws []int, tasks, perWorker int) []int {
	out := make([]int, tasks)
	for i := range out {
		out[i] = ws[i/perWorker]
	}
	return out
}

func repeat(w, n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = w
	}
	return out
}
