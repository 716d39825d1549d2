package assignment

import (
	"cmp"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
)

// size is an amount of a runner's resources.
type size struct {
	cores, memory, accelerators int
}

func sizeOf(s carawayshift.Step) size {
	n := size{cores: s.MilliCores, memory: s.Memory, accelerators: s.Accelerators}
	if s.BestEffort {
		n.cores = 0
	}
	return n
}

func (a size) plus(b size) size {
	return size{a.cores + b.cores, a.memory + b.memory, a.accelerators + b.accelerators}
}

func (a size) minus(b size) size {
	return size{a.cores - b.cores, a.memory - b.memory, a.accelerators - b.accelerators}
}

func (a size) holds(b size) bool {
	return a.cores >= b.cores && a.memory >= b.memory && a.accelerators >= b.accelerators
}

// work is the work of a run of a size in core-seconds.
func (a size) work(d time.Duration) float64 {
	return (float64(a.cores)/1000 + acceleratorCores*float64(a.accelerators)) * d.Seconds()
}

// room is one runner's resources in the course of a pass.
type room struct {
	agent carawayshift.Agent
	total size
	// free is what neither runs nor reservations take; it is below zero while
	// a reservation waits for runs to end. idle leaves reservations out.
	free, idle size
	// reserved is when the first reservation is expected to begin.
	reserved time.Time
	// releases are the open runs by their expected end.
	releases []release
	// victims are the runs that may be preempted, least loss first.
	victims []*victim
	shelf   *shelf
}

// shelf is what the runners of one rack have idle.
type shelf struct {
	accelerators int
}

// release is an open run whose end frees resources.
type release struct {
	at    time.Time
	frees size
	// told runs were told to stop; the ends of others are only expected.
	told bool
}

// victim is a run with its gang, which ends as a whole.
type victim struct {
	runs []carawayshift.OpenRun
	// lost is the work in core-seconds that its end throws away.
	lost float64
	// urgent runs give way to guarantees only.
	urgent bool
	// stopped says that this pass preempted it.
	stopped bool
}

func (r *room) suits(d *carawayshift.Demand) bool {
	return r.agent.Service == d.Queue.Service && (d.Allowed == nil || d.Allowed[r.agent.ID]) &&
		(d.Requirements.Label == "" || slices.Contains(r.agent.Labels, d.Requirements.Label))
}

// whole tells whether nothing runs on the runner.
func (r *room) whole() bool { return r.idle == r.total }

func (r *room) near(d *carawayshift.Demand) bool {
	return d.Requirements.DataRack == "" || r.agent.Rack == d.Requirements.DataRack
}

// take uses resources now.
func (r *room) take(n size) {
	r.free = r.free.minus(n)
	r.idle = r.idle.minus(n)
	r.shelf.accelerators -= n.accelerators
}

func (r *room) giveBack(n size) {
	r.free = r.free.plus(n)
	r.idle = r.idle.plus(n)
	r.shelf.accelerators += n.accelerators
}

// reserve takes resources from a time on.
func (r *room) reserve(n size, at time.Time) {
	r.free = r.free.minus(n)
	if r.reserved.IsZero() || at.Before(r.reserved) {
		r.reserved = at
	}
}

// open tells whether a task fits now: beside the reservations, or so that it
// ends before they begin.
func (r *room) open(n size, now time.Time, expected time.Duration) bool {
	if r.free.holds(n) {
		return true
	}
	return !r.reserved.IsZero() && r.idle.holds(n) && now.Add(expected).Before(r.reserved)
}

// openAt returns when a size is expected to fit.
func (r *room) openAt(n size, now time.Time) (time.Time, bool) {
	have := r.free
	if have.holds(n) {
		return now, true
	}
	for _, e := range r.releases {
		have = have.plus(e.frees)
		if have.holds(n) {
			return e.at, true
		}
	}
	return time.Time{}, false
}

func (r *room) sort() {
	slices.SortStableFunc(r.releases, func(a, b release) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(r.victims, func(a, b *victim) int { return cmp.Compare(a.lost, b.lost) })
}

// ending returns what runs free that are about to end; with told, only those
// that were told to.
func (r *room) ending(by time.Time, told bool) size {
	var n size
	for _, e := range r.releases {
		if !e.at.After(by) && (e.told || !told) {
			n = n.plus(e.frees)
		}
	}
	return n
}

// clear returns the victims that make room for a size, least loss first. A
// forced one relies on no expected end: a run may take longer again and again.
// Doomed victims end in any case.
func (r *room) clear(need size, by time.Time, forced bool, doomed map[*victim]bool) (list []*victim, lost float64, ok bool) {
	have := r.free.plus(r.ending(by, forced))
	for _, v := range r.victims {
		if doomed[v] {
			have = have.plus(r.share(v))
		}
	}
	for _, v := range r.victims {
		if have.holds(need) {
			break
		}
		if v.stopped || doomed[v] || v.urgent && !forced {
			continue
		}
		have = have.plus(r.share(v))
		list = append(list, v)
	}
	if !have.holds(need) {
		return nil, 0, false
	}
	list = r.spare(list, have, need)
	for _, v := range list {
		lost += v.lost
	}
	return list, lost, true
}

// spare drops the victims without which a size fits all the same, those first
// that would lose most.
func (r *room) spare(list []*victim, have, need size) []*victim {
	kept := make([]*victim, 0, len(list))
	for _, v := range slices.Backward(list) {
		if less := have.minus(r.share(v)); less.holds(need) {
			have = less
			continue
		}
		kept = append(kept, v)
	}
	return kept
}

// share is what a victim's end frees on this runner.
func (r *room) share(v *victim) size {
	var n size
	for _, h := range v.runs {
		if h.Runner == r.agent.ID {
			n = n.plus(sizeOf(h.Requirements))
		}
	}
	return n
}

// rack names a rack of a zone.
type rack struct{ zone, name string }

func (r *room) rack() rack { return rack{r.agent.Zone, r.agent.Rack} }
