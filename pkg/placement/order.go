package placement

import (
	"cmp"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

const (
	// defaultDeclared is used for jobs without a declared run time.
	defaultDeclared = time.Hour
	// minRemaining is the least run time that is assumed to remain.
	minRemaining = time.Minute
	// The stretch is the allowed wait, as a multiple of the run time, of a job
	// without a due time. A larger value favours short jobs more. With 4, 20
	// and 60 the mean completion was 0.93, 0.83 and 0.82 of first-fit's, the
	// wait of gangs of 16 and more 0.56, 0.53 and 0.66 (replay, seeds 1 to 3).
	completionStretch = 60
	packingStretch    = 20
	// sizeAge is how much older a gang counts for each doubling of its size.
	// A cell that a large gang leaves goes to the next large gang before small
	// jobs break it up. Small jobs fit into other gaps. With 0, large gangs
	// waited 0.96 of first-fit's time, with a day 0.80 (replay at load 1.3,
	// seeds 1 to 3); mean completion fell from 0.90 to 0.84.
	sizeAge = 24 * time.Hour
	// overhead is the work that stopping and restarting a gang costs besides
	// the lost run time. It makes reclaim prefer few victims.
	overhead = 10 * time.Minute
)

// declared returns the run time of the whole job, corrected by the team's
// observed ratio.
func (m *model) declared(g *gang) time.Duration {
	d := g.Declared
	if d <= 0 {
		d = defaultDeclared
	}
	if r := m.teams[g.team].RunTimeRatio; r > 0 {
		d = time.Duration(float64(d) * r)
	}
	return d
}

// remaining estimates the run time that a job still needs. A job that has run
// longer than expected is expected to run as long again: run times are
// heavy-tailed, so a long run says more than the declaration.
func (m *model) remaining(g *gang) time.Duration {
	done := g.Checkpoint
	if g.State == carawayshift.JobRunning {
		done = max(done, m.now.Sub(g.Started))
	}
	left := m.declared(g) - done
	if left < minRemaining {
		left = max(done, minRemaining)
	}
	return left
}

// lost returns the accelerator time that stopping the gang throws away. The
// checkpoint covers run time of all attempts; when it covers more than the
// present attempt, what this attempt has added to it is unknown, and the whole
// attempt counts as lost.
func (m *model) lost(g *gang) time.Duration {
	if g.State == carawayshift.JobStopping || g.stopped {
		return 0
	}
	var d time.Duration
	if g.State == carawayshift.JobRunning {
		d = max(0, m.now.Sub(g.Started))
		if g.Checkpoint <= d {
			d -= g.Checkpoint
		}
	}
	work := (d + overhead) * time.Duration(max(1, g.Size()))
	// A stopped large gang waits long for its next cell. With the factor, gangs
	// of 16 and more waited 0.56 of first-fit's time, without 0.67 (replay with
	// packing, seeds 1 to 3).
	work = work * time.Duration(max(buddy.WorkerSize, g.Size())) / buddy.WorkerSize
	return work
}

// sortWaiting orders the waiting jobs: urgent first, then by the latest start
// that keeps the due time. A job without a due time gets one that is a
// multiple of its run time after its submission, so short jobs go first and
// every job moves to the front as it ages. Large gangs count as older, see
// sizeAge. A due time never makes a job later than it would be without one.
// The key does not depend on the present time, so the order is stable between
// plans.
func (m *model) sortWaiting() {
	for i := range m.waiting {
		g := &m.waiting[i]
		g.key = m.latestStart(g)
	}
	// Gangs are large structs: an index is sorted and they move once.
	order := make([]int, len(m.waiting))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return m.waiting[a].compare(&m.waiting[b]) })
	sorted := make([]gang, len(order))
	for i, k := range order {
		sorted[i] = m.waiting[k]
	}
	m.waiting = sorted
}

func (g *gang) compare(o *gang) int {
	if g.Urgent != o.Urgent {
		if g.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(g.key.Compare(o.key), cmp.Compare(g.ID, o.ID))
}

func (m *model) latestStart(g *gang) time.Time {
	if g.Urgent {
		// A later urgent job must not take the cell that is being reclaimed
		// for an earlier one, which would then miss its 8.5 s.
		return g.Submitted
	}
	size := sizeAge * time.Duration(buddy.Level(g.total()))
	stretch := time.Duration(completionStretch)
	if m.view.Objective == carawayshift.ObjectivePacking {
		stretch = packingStretch
	}
	key := g.Submitted.Add(stretch*g.estimate - size)
	if g.Due.IsZero() {
		return key
	}
	if due := g.Due.Add(-g.estimate); due.Before(key) {
		return due
	}
	return key
}
