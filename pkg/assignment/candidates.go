package assignment

import "carawayshift.example/carawayshift"

// candidateKey identifies the demands that have the same eligible runners, unless
// they need tickets.
type candidateKey struct{ service, label string }

// candidates holds the runners that may run tasks of a demand, regardless of their
// free resources.
type candidates struct {
	runners []*runnerState
	// racks groups the runners by zone and rack.
	racks [][]*runnerState
	// byRackName groups them by the rack's name, by which steps name the rack of
	// their data.
	byRackName map[string][]*runnerState
}

// candidates returns the eligible runners of a demand. The caller must not change
// the slices.
func (p *pass) candidates(d *carawayshift.Demand) *candidates {
	key := candidateKey{d.Queue.Service, d.Requirements.Label}
	if c := p.candidateSets[key]; c != nil && d.Allowed == nil {
		return c
	}
	c := &candidates{byRackName: map[string][]*runnerState{}}
	positions := map[*rackState]int{}
	for _, r := range p.runners {
		if !r.eligible(d) {
			continue
		}
		c.runners = append(c.runners, r)
		i, ok := positions[r.rack]
		if !ok {
			i = len(c.racks)
			positions[r.rack] = i
			c.racks = append(c.racks, nil)
		}
		c.racks[i] = append(c.racks[i], r)
		c.byRackName[r.agent.Rack] = append(c.byRackName[r.agent.Rack], r)
	}
	if d.Allowed == nil {
		p.candidateSets[key] = c
	}
	return c
}
