// Package placement decides on which workers gang jobs run, which running jobs
// are stopped to free accelerators for them, and explains why the others wait.
//
// # Usage
//
//	p := placement.New()
//	if err := p.CheckGuarantees(view); err != nil {
//		// The error names the cells that are short and the room per zone.
//	}
//	plan := p.Plan(time.Now(), view)
//	for _, s := range plan.Starts {
//		// propose PlaceJob
//	}
//
// The caller plans again after each change of the state and about once a
// second. It is safe to execute a plan partly, late or twice, because the next
// plan depends on the next view alone.
//
// # Units and cells
//
// Package buddy describes units and cells. A gang counts as one cell of its
// size rounded up to a power of two. A guarantee cell holds one gang, or
// several smaller gangs of its team side by side.
//
// # Two forests
//
// The physical forest contains every occupant, including jobs in state
// stopping. The guarantee forest contains only guaranteed work. Each of its
// gangs lies within a cell of its team's guarantee, and the whole cell is
// reserved at that place ("bound"). Guarantee cells without running work are
// not bound to a place; only their number per size is stored. The invariant
// "evicting borrowed work alone is enough to satisfy all guarantees at once"
// holds when the unbound cells can be packed into the guarantee forest. A
// guaranteed gang is started only where the invariant still holds afterwards;
// borrowed work is not in the guarantee forest and can't violate it. When a
// gang ends, its units return to the cell that it was charged to, so the
// invariant holds after every end.
//
// The cell that a running gang is charged to is not stored. It is derived again
// from each view, see chargeRunningGangs and bindingSearch.
//
// # Steps of a plan
//
//  1. Charge running guaranteed work to guarantee cells.
//  2. Order the waiting jobs: urgent first, then by latest start, see
//     sortWaiting.
//  3. Park jobs that no kind of worker can run.
//  4. Stop the work of drained zones, in batches.
//  5. Fill zones that were returned to service recently with the largest
//     waiting gangs.
//  6. Place jobs that fit their team's guarantee; where no cell is free, stop
//     the borrowed work that loses the least run time. Large borrowed gangs get
//     free cells before small guaranteed jobs that are not urgent.
//  7. Place borrowed work, teams below their fair share first. Large gangs that
//     don't fit get reservations; small jobs are backfilled on other workers, or
//     on the reserved ones if they are expected to end in time.
//  8. Explain why the other jobs wait.
//
// The planner does not store which victims it chose for a reclaim. In the next
// plan they are in state stopping and cost nothing, so the same workers are the
// cheapest choice, and their free units are reserved again.
package placement
