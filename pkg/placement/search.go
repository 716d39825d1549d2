package placement

import "slices"

// maxBacktracks limits the number of choices that one search undoes.
const maxBacktracks = 2000

// bindingSearch is a backtracking search that binds running guaranteed gangs to
// cells such that the unbound cells can still be packed. The invariant holds as
// long as such a binding exists.
type bindingSearch struct {
	*model
	order []int
	// maxDeficit is the deficit that no choice may exceed: 0 unless hardware is
	// missing.
	maxDeficit int
	backtracks int
	// allowUnbound allows the search, as a last choice, to leave a gang without
	// a cell. It is needed after a guarantee was lowered below the running work.
	allowUnbound bool
}

// run binds all gangs in the given order. If the search finds no complete
// binding, the gangs that can't be bound count as borrowed work.
func (s *bindingSearch) run() {
	shortage := s.maxDeficit
	// A cell that is bound around a gang on a quarantined worker includes that
	// worker, which can compensate for missing hardware. So the first search is
	// for a binding without deficit, even if there is a shortage now.
	s.maxDeficit = 0
	if s.bindFrom(0) {
		return
	}
	s.maxDeficit, s.backtracks = shortage, 0
	if shortage > 0 && s.bindFrom(0) {
		return
	}
	s.allowUnbound, s.backtracks = true, 0
	if s.bindFrom(0) {
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

// option is a cell that a gang can be charged to: a bound cell or, when cell is
// nil, an unused one of the level.
type option struct {
	cell  *boundCell
	level int
}

func (s *bindingSearch) options(g *gang) []option {
	t := &s.teams[g.team]
	var out []option
	for _, b := range t.boundCells {
		if s.canJoin(b, g.allocations) {
			out = append(out, option{cell: b})
		}
	}
	for _, l := range s.unusedLevels(t, totalUnits(g.allocations)) {
		if s.canBind(l, g.allocations) {
			out = append(out, option{level: l})
		}
	}
	return out
}

// choose charges the gang to the option and returns a function that undoes it.
func (s *bindingSearch) choose(g *gang, o option) (undo func()) {
	if o.cell != nil {
		before := boundCell{o.cell.level, o.cell.rack, o.cell.unusedWorkers, slices.Clone(o.cell.usedWorkers)}
		s.join(o.cell, g.allocations)
		return func() { s.undoJoin(o.cell, before) }
	}
	t := &s.teams[g.team]
	s.bind(t, o.level, g.allocations)
	return func() { s.undoBind(t, g.allocations) }
}

// bindFrom binds the gangs from position k on and reports whether it succeeded.
// After a failure it has undone all of its choices.
func (s *bindingSearch) bindFrom(k int) bool {
	if k == len(s.order) {
		return true
	}
	g := &s.gangs[s.order[k]]
	for _, o := range s.options(g) {
		if s.backtracks > maxBacktracks {
			return false
		}
		undo := s.choose(g, o)
		g.guaranteed = true
		if s.deficit() <= s.maxDeficit && s.bindFrom(k+1) {
			return true
		}
		s.backtracks++
		undo()
		g.guaranteed = false
	}
	return s.allowUnbound && s.backtracks <= maxBacktracks && s.bindFrom(k+1)
}
