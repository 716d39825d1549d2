package assignment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/speed"
)

const (
	// classWidth is the width of a speed class, as a logarithm: runners of one class are
	// alike.
	classWidth = 0.25
	// maxSpeedWait limits how long after it became ready a gang waits for faster runners
	// although it fits on others.
	maxSpeedWait = time.Second
	// waitGain is the share of its run time that such a wait must save, since the ends of
	// runs are only estimates.
	waitGain = 0.2
	// timeReserve is how many times the time that a step needs on the slowest runners must
	// be left until it is late, for it not to choose by speed.
	timeReserve = 1.5
)

// setSpeeds sets the speeds of the runners, and whether they differ. They count as alike
// without known speeds, or if few differ by much.
func (p *pass) setSpeeds() {
	p.uneven = speed.Uneven(p.input.Speeds, p.input.Agents)
	classes := map[int]bool{}
	for _, r := range p.runners {
		r.speed = 1
		if s := p.input.Speeds[r.agent.ID]; s > 0 && p.uneven {
			r.speed = s
		}
		r.class = int(math.Round(math.Log(r.speed) / classWidth))
		classes[r.class] = true
	}
	p.classes = slices.Sorted(maps.Keys(classes))
}

// runTime returns the expected run time of a task of a demand on a runner.
func (p *pass) runTime(d *carawayshift.Demand, r *runnerState) time.Duration {
	return atSpeed(d.Expected, r.speed)
}

func atSpeed(d time.Duration, speed float64) time.Duration {
	return time.Duration(float64(d) / speed)
}

// hurries reports whether a demand is among the most urgent ones, or would be late on slow
// runners and in time on fast ones. Only such demands choose by speed; where all runners are alike, none does.
func (p *pass) hurries(d *carawayshift.Demand) bool {
	if !p.uneven {
		return false
	}
	if d.Queue.Priority <= p.highestPriority {
		return true
	}
	left := p.due(d).Sub(p.input.Now)
	slowest, fastest := classSpeed(p.classes[0]), classSpeed(p.classes[len(p.classes)-1])
	return left >= atSpeed(d.Expected, fastest) && left < time.Duration(timeReserve*float64(atSpeed(d.Expected, slowest)))
}

// classSpeed returns the middle speed of a class.
func classSpeed(class int) float64 { return math.Exp(float64(class) * classWidth) }

// compareSpeeds orders runners for a demand that chooses by speed: for a single task the
// fastest come first. A gang takes the slowest of the runners that were selected for it, as
// it ends with its slowest member.
func compareSpeeds(d *carawayshift.Demand, a, b *runnerState) int {
	if d.Requirements.Gang {
		return cmp.Compare(a.class, b.class)
	}
	return cmp.Compare(b.class, a.class)
}

// classRange is a range of speed classes.
type classRange struct{ from, to int }

// classRanges returns the ranges from which a gang takes its runners, in the order in which
// they are tried: from the fastest class down, each class alone before it is joined with the
// faster ones, as fast members wait for slow ones.
func (p *pass) classRanges() []classRange {
	top := p.classes[len(p.classes)-1]
	list := []classRange{{top, top}}
	for _, c := range slices.Backward(p.classes[:len(p.classes)-1]) {
		list = append(list, classRange{c, c}, classRange{c, top})
	}
	return list
}

// of returns the runners of the sets that are in the range, without empty sets.
func (r classRange) of(sets [][]*runnerState) [][]*runnerState {
	list := make([][]*runnerState, 0, len(sets))
	for _, runners := range sets {
		in := make([]*runnerState, 0, len(runners))
		for _, x := range runners {
			if x.class >= r.from && x.class <= r.to {
				in = append(in, x)
			}
		}
		if len(in) > 0 {
			list = append(list, in)
		}
	}
	return list
}

// gangSets returns the sets of runners among which a gang chooses by speed: the racks with
// its data if it has any, else all racks, and all runners together unless it waits for a
// single rack.
func (p *pass) gangSets(d *carawayshift.Demand, racks [][]*runnerState) [][]*runnerState {
	if d.Requirements.DataRack != "" {
		return slices.DeleteFunc(slices.Clone(racks), func(runners []*runnerState) bool { return !runners[0].nearData(d) })
	}
	if d.Requirements.SameRack {
		return racks
	}
	return append(slices.Clip(racks), p.candidates(d).runners)
}

// startGangBySpeed starts a gang on runners of like speed if possible. If it would
// end sooner on the fastest ones by waiting for them, it reserves them instead; it is
// handled in both cases.
func (p *pass) startGangBySpeed(d *carawayshift.Demand, sets [][]*runnerState) (handled bool) {
	ranges := p.classRanges()
	for i, c := range ranges {
		if i == 1 && p.waitForSpeed(d, ranges[0].of(sets), classSpeed(ranges[0].from)/classSpeed(c.from)) {
			return true
		}
		if p.startGang(d, c.of(sets)) {
			return true
		}
	}
	return false
}

// waitForSpeed reserves runners that are faster by a factor if a gang would end sooner there
// than on others now, and reports whether it did.
func (p *pass) waitForSpeed(d *carawayshift.Demand, sets [][]*runnerState, factor float64) bool {
	left := min(maxSpeedWait-p.input.Now.Sub(d.Ready), p.maxWait(d), time.Duration((1-1/factor-waitGain)*float64(d.Expected)))
	if left <= 0 {
		return false
	}
	set, at := p.earliestSet(d, sets)
	if set == nil || at.Sub(p.input.Now) > left {
		return false
	}
	p.reserveForGang(d, set, at)
	p.wait(d, RuleFaster)
	return true
}
