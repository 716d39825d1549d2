package placement

import "slices"

// searchSteps bounds the choices that are undone in one search.
const searchSteps = 2000

// search binds running guaranteed gangs to cells such that the unbound cells
// can still be packed. As long as such a binding exists the invariant holds.
type search struct {
	*model
	order []int
	// limit is the deficit that no choice may exceed: 0 unless hardware is
	// missing.
	limit int
	steps int
	// lenient allows a gang to stay without a cell, as last choice. It is
	// needed after a guarantee was lowered below the work in it.
	lenient bool
}

// run binds all gangs of the order; when the search finds no complete binding,
// the gangs that are in the way count as borrowed work.
func (s *search) run() {
	shortage := s.limit
	// A gang that runs on a quarantined worker can make up for a shortage, so
	// a binding without deficit is looked for first even then.
	s.limit = 0
	if s.from(0) {
		return
	}
	s.limit, s.steps = shortage, 0
	if shortage > 0 && s.from(0) {
		return
	}
	s.lenient, s.steps = true, 0
	if s.from(0) {
		return
	}
	for _, i := range s.order {
		g := &s.gangs[i]
		if opts := s.options(g); len(opts) > 0 {
			s.choose(g, opts[0])
			g.guaranteed = true
		}
	}
}

// option is a cell that a gang can be charged to: one in use or, when into is
// nil, an unused one of the level.
type option struct {
	into  *bound
	level int
}

func (s *search) options(g *gang) []option {
	t := &s.teams[g.team]
	var out []option
	for _, b := range t.bounds {
		if s.joinable(b, g.takes) {
			out = append(out, option{into: b})
		}
	}
	for _, l := range s.levelsFor(t, unitsIn(g.takes)) {
		if s.openable(l, g.takes) {
			out = append(out, option{level: l})
		}
	}
	return out
}

// choose charges the gang to the option and returns how to undo it.
func (s *search) choose(g *gang, o option) (undo func()) {
	if o.into != nil {
		before := bound{o.into.level, o.into.rack, o.into.whole, slices.Clone(o.into.parts)}
		s.join(o.into, g.takes)
		return func() { s.unjoin(o.into, before) }
	}
	t := &s.teams[g.team]
	s.open(t, o.level, g.takes)
	return func() { s.unopen(t, g.takes) }
}

// from binds the gangs from position k on and reports success. After a failure
// everything it did is undone.
func (s *search) from(k int) bool {
	if k == len(s.order) {
		return true
	}
	g := &s.gangs[s.order[k]]
	for _, o := range s.options(g) {
		if s.steps > searchSteps {
			return false
		}
		undo := s.choose(g, o)
		g.guaranteed = true
		if s.deficit() <= s.limit && s.from(k+1) {
			return true
		}
		s.steps++
		undo()
		g.guaranteed = false
	}
	return s.lenient && s.steps <= searchSteps && s.from(k+1)
}
