package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

// pass collects the decisions of one plan.
type pass struct {
	*model
	plan carawayshift.Plan
	// reservations are the cells kept for large gangs, in order.
	reservations []reservation
	// ends lists the active gangs of each zone by expected end, once needed.
	ends              [][]int
	taskCapacityCache map[taskNeeds][2]int
	explanationCache  map[explanationKey]carawayshift.Wait
	// noGuaranteeCell marks the shapes for which a team has no guarantee cell
	// left. It can be cached because the free part of a guarantee only shrinks
	// during a plan.
	noGuaranteeCell map[guaranteeKey]bool
}

// park parks the jobs that no present kind of worker can run. The kinds include
// workers that are leaving, quarantined or in a drained zone, because they may
// return. Without any worker the kinds are unknown and no job is parked.
func (p *pass) park() {
	if len(p.workerKinds) == 0 {
		return
	}
	for i := range p.waiting {
		g := &p.waiting[i]
		if g.units > 0 && g.Tasks > 0 {
			continue
		}
		p.plan.Parks = append(p.plan.Parks, carawayshift.Park{Job: g.ID, Reason: p.unrunnableReason(g)})
		g.decided = true
	}
}

// start adds a start with the given worker for each task to the plan and
// occupies the units.
func (p *pass) start(g *gang, ws []int, borrowed bool, reason string, alternatives int) {
	s := carawayshift.Start{Job: g.ID, Borrowed: borrowed, Reason: reason, Alternatives: alternatives}
	s.Placements = make([]carawayshift.TaskPlacement, len(ws))
	for i, w := range ws {
		n := p.physicalForest.Worker(w)
		s.Zone = n.Zone
		s.Placements[i] = carawayshift.TaskPlacement{
			Task: i, Worker: n.Name, Incarnation: n.Incarnation, Accelerators: g.Accelerators,
		}
		p.physicalForest.Occupy(w, p.physicalForest.Units(w, g.Job))
	}
	if borrowed {
		p.teams[g.team].borrowedUnits += g.total()
	}
	p.plan.Starts = append(p.plan.Starts, s)
	g.decided = true
}

// stop adds a stop of a running gang to the plan, unless it is being stopped
// already.
func (p *pass) stop(i int, forJob uint64, reason string) {
	g := &p.gangs[i]
	if g.stopped || g.State == carawayshift.JobStopping {
		return
	}
	g.stopped = true
	p.plan.Stops = append(p.plan.Stops, carawayshift.Stop{Job: g.ID, Attempt: g.Attempt, Reason: reason, For: forJob})
}

// drain stops the work of drained zones, least lost work first. It stops one
// part of a zone at a time, so that each batch can start elsewhere before the
// next one stops.
func (p *pass) drain() {
	for z := range p.view.Zones {
		if p.view.Zones[z].Drained {
			p.drainZone(z)
		}
	}
}

func (p *pass) drainZone(z int) {
	var running []int
	stopping, total := 0, 0
	for i := range p.gangs {
		g := &p.gangs[i]
		if g.zone != z {
			continue
		}
		total += g.Size()
		if g.State == carawayshift.JobStopping {
			stopping += g.Size()
			continue
		}
		running = append(running, i)
	}
	slices.SortStableFunc(running, func(a, b int) int {
		return cmp.Compare(p.lostWork(&p.gangs[a]), p.lostWork(&p.gangs[b]))
	})
	batch := max(total/drainBatches, minDrainBatch)
	for _, i := range running {
		if stopping >= batch {
			return
		}
		stopping += p.gangs[i].Size()
		p.stop(i, 0, fmt.Sprintf("zone %s is out", p.view.Zones[z].Name))
	}
}

const (
	// drainBatches is the number of batches in which a full zone is emptied.
	drainBatches = 4
	// minDrainBatch is the least number of accelerators that stop at a time.
	minDrainBatch = 64
	// refillWindow is the time after the return of a zone during which it is
	// filled with the largest waiting gangs first. Stopping and restarting the
	// jobs that were moved to other zones, reports included, takes less than
	// half of it.
	refillWindow = 30 * time.Second
)

// refill places the largest waiting gangs in zones that have just returned to
// service. They are started as borrowed work unless their team has a guarantee
// cell for them, so guaranteed work can still reclaim the accelerators.
func (p *pass) refill() {
	for z := range p.view.Zones {
		n := &p.view.Zones[z]
		if n.Drained || n.Changed.IsZero() || p.now.Sub(n.Changed) > refillWindow || p.now.Before(n.Changed) {
			continue
		}
		p.refillZone(z)
	}
}

func (p *pass) refillZone(z int) {
	order := make([]int, 0, len(p.waiting))
	for i := range p.waiting {
		if !p.waiting[i].decided && p.waiting[i].total() > buddy.WorkerSize {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return p.waiting[b].total() - p.waiting[a].total() })
	for _, i := range order {
		g := &p.waiting[i]
		if c, ok := p.bestCell(g); ok && c.free() {
			p.chargeTo(g, c, "largest waiting gang for a zone that returned")
			continue
		}
		if ws := p.findInZone(z, g, p.avoidWorkers(g, false)); ws != nil {
			p.start(g, ws, true, "largest waiting gang for a zone that returned", p.alternatives(g))
		}
	}
}

// alternatives estimates how many other cells could have held the gang.
func (p *pass) alternatives(g *gang) int {
	return max(0, p.physicalForest.TotalFreeCells(buddy.Level(g.total())))
}
