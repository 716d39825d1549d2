// Package placement decides where gang jobs run, which running jobs make room,
// and why the others wait.
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
// second. A plan that was carried out partly, late or twice is harmless: the
// next plan depends on the next view alone.
//
// # Units and cells
//
// Package buddy describes units and cells. A gang counts as one cell of its
// size rounded up to a power of two. A guarantee cell holds one gang, or
// several smaller gangs of its team side by side.
//
// # Two forests
//
// The physical forest holds every occupant, also jobs in state stopping. The
// guard forest holds only guaranteed work, each gang within a cell of its
// team's guarantee that is set aside as a whole ("bound"). Guarantee cells
// without running work are not bound to a place; only their number per size is
// kept. The invariant "evicting borrowed work alone is enough to satisfy all
// guarantees at once" holds when the unbound cells can be packed into the
// guard forest. A guaranteed gang is started only where this stays true;
// borrowed work is not in the guard forest and can't break it. A gang that
// ends gives its place back to the cell it was bound in, so the invariant
// survives every end.
//
// Which cell a running gang belongs to is derived again from each view, see
// charge and search.
//
// # Steps of a plan
//
//  1. Charge running guaranteed work to guarantee cells.
//  2. Order the waiting jobs: urgent first, then by latest start, see
//     sortWaiting.
//  3. Park jobs that no kind of worker can run.
//  4. Stop the work of zones that are out, in batches.
//  5. Fill zones that returned lately with the largest waiting gangs.
//  6. Place jobs that fit their team's guarantee; where no cell is free, stop
//     the borrowed work that loses least. Large borrowed gangs get free cells
//     before small guaranteed jobs that are not urgent.
//  7. Place borrowed work, teams below their equal part first. Large gangs
//     that don't fit hold reservations; small jobs pass them on other workers,
//     or on the reserved ones when they end in time.
//  8. Explain the others.
//
// Reclaim keeps no memory of the victims it has chosen. In the next plan they
// are in state stopping and cost nothing, so the same place is the cheapest
// one, and the free part of it is set aside again.
package placement
