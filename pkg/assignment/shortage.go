package assignment

import (
	"cmp"

	"carawayshift.example/carawayshift"
)

// Rules that make a demand wait for room, with Config.Shortage.
const (
	// RuleLeavesRoom applies to gangs that have time and are less urgent than others.
	RuleLeavesRoom = "it has time, and leaves empty runners to urgent batches"
	// RuleLate applies to demands that have missed their objective.
	RuleLate = "no runner has room, and batches that can be in time come first"
	// RuleLast applies to those that have passed a multiple of it.
	RuleLast = "no runner has room, and it is too late to be of use"
)

// capacityRule returns the rule that makes a demand wait for room.
func (p *pass) capacityRule(d *carawayshift.Demand) string {
	if p.cfg.Shortage == nil {
		return RuleNoCapacity
	}
	switch late, last := p.cfg.Shortage.Late(p.input.Now, *d); {
	case last:
		return RuleLast
	case late:
		return RuleLate
	}
	return RuleNoCapacity
}

// promote determines the demands that have waited for too long. One that fits nowhere would
// keep others of its team from being promoted.
func (p *pass) promote() {
	if p.cfg.Shortage == nil {
		return
	}
	p.promoted = map[stepKey]bool{}
	var fitting []carawayshift.Demand
	for i := range p.input.Demands {
		d := &p.input.Demands[i]
		if p.cfg.Shortage.Overdue(p.input.Now, d.Ready, d.Due.Sub(d.Accepted)) && p.canEverFit(d) {
			fitting = append(fitting, *d)
		}
	}
	for _, i := range p.cfg.Shortage.Promoted(p.input.Now, fitting) {
		p.promoted[demandStep(&fitting[i])] = true
	}
}

// canEverFit reports whether a demand fits on the runners that are known, and under its
// team's cap, if nothing else runs.
func (p *pass) canEverFit(d *carawayshift.Demand) bool {
	least := 1
	if d.Requirements.Gang {
		least = len(d.Indexes)
	}
	return p.caps.CanEverFit(d.Team, d.Requirements, least) && p.fitsOnEmptyRunners(d)
}

// comparePromoted orders a promoted demand before all demands without a guarantee, and
// after those with one.
func (p *pass) comparePromoted(a, b *carawayshift.Demand) int {
	if len(p.promoted) == 0 {
		return 0
	}
	return cmp.Compare(p.promotion(a), p.promotion(b))
}

func (p *pass) promotion(d *carawayshift.Demand) int {
	switch {
	case p.guaranteed(d):
		return 0
	case p.promoted[demandStep(d)]:
		return 1
	}
	return 2
}

// leavesRoom reports whether a gang must not use the runners that are still empty. As in
// avoidsEmptyRunners, it does so for maxIdleWait at most in a service that is mostly idle.
func (p *pass) leavesRoom(d *carawayshift.Demand) bool {
	if p.cfg.Shortage == nil || d.Queue.Priority <= p.highestPriority || d.Requirements.LongRunning || p.promoted[demandStep(d)] {
		return false
	}
	if !p.hasRuns[d.Batch] && p.input.Now.Sub(d.Ready) >= maxIdleWait && p.mostlyIdle(d.Queue.Service) {
		return false
	}
	return p.cfg.Shortage.LeavesRoom(p.input.Now, *d, p.emptyRunners, len(p.runners))
}

// mayStop reports whether runs may be stopped for a demand. The policy has no say in those
// that a guarantee covers.
func (p *pass) mayStop(d *carawayshift.Demand) bool {
	return p.cfg.Shortage == nil || p.guaranteed(d) || p.cfg.Shortage.MayStop(p.input.Now, *d)
}

// overdue reports whether a run belongs to a step that had waited for too long when it
// started: it would be stopped again and again.
func (p *pass) overdue(h carawayshift.OpenRun) bool {
	return p.cfg.Shortage != nil && p.cfg.Shortage.Overdue(h.Ordered, h.Ready, h.Objective)
}

func demandStep(d *carawayshift.Demand) stepKey { return stepKey{d.Batch, d.Occurrence, d.Step} }
