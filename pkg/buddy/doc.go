// Package buddy counts the free buddy cells of accelerators. Cells have 1, 2, 4
// or 8 accelerators of a worker; 2, 4 or 8 whole workers of a rack (16, 32 or 64
// accelerators); or 2, 4, 8 and so on whole racks of a zone (128, 256, ...).
//
// # Positions
//
// All accelerators of a rack are adjacent, and a placement names a worker and
// a count, not the accelerators. A cell is therefore any block of its size
// within one parent, and the free cells of a size follow from counts alone: a
// worker with f free units has f/s free cells of size s <= 8, a rack with w
// wholly free workers has w/2, w/4 and w/8 free cells of 16, 32 and 64. A
// missing worker doesn't change the positions of the others.
//
// # Packing
//
// Sizes are powers of two, so a set of cells can be packed around the
// occupants exactly when, for every size s, the free cells of size s hold at
// least the sum of all cells of size s and above: taking a cell of size s uses
// up s accelerators of the free cells of every smaller size, wherever it is
// taken. Missing evaluates this condition in time proportional to the number of
// sizes, independent of the number of workers.
//
// # Cores and memory
//
// A unit is one accelerator with its share of the worker's cores and memory.
// The number of units of a task is that of its largest requirement, rounded up
// to a power of two. Tasks that fit by units therefore fit by cores and memory.
// Only the first 8 accelerators of a worker are used.
//
// # Usage
//
//	f := buddy.New(view.Zones, view.Workers)
//	for _, p := range job.Placements {
//		f.Occupy(f.Index(p.Worker), units)
//	}
//	if gang, ok := f.Find(zone, tasks, units, nil); ok {
//		// gang[i] is the index of the worker of task i.
//	}
//	missing := f.Missing([]carawayshift.CellCount{{Count: 2, Size: 8}})
//
// A Forest is not safe for concurrent use.
package buddy
