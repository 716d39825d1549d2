package placement

import (
	"cmp"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/buddy"
)

const (
	// defaultRunTime is used for jobs without a declared run time.
	defaultRunTime = time.Hour
	// minRemainingRunTime is the least run time that is assumed to remain.
	minRemainingRunTime = time.Minute
	// The stretch is the target wait, as a multiple of the run time, of a job
	// without a due time. A larger value favours short jobs more. Relative to
	// first-fit, stretches of 4, 20 and 60 gave a mean completion time of 0.93,
	// 0.83 and 0.82, and a wait of gangs of 16 and more accelerators of 0.56,
	// 0.53 and 0.66 (replay, seeds 1 to 3).
	completionStretch = 60
	packingStretch    = 20
	// ageBonusPerDoubling is the age that is added to a gang for each doubling
	// of its size, so that a cell that a large gang leaves goes to the next
	// large gang before small jobs fragment it. Small jobs fit into smaller free
	// cells. Relative to first-fit, large gangs waited 0.96 of the time with a
	// bonus of 0 and 0.80 with a day, and the mean completion time fell from
	// 0.90 to 0.84 (replay at load 1.3, seeds 1 to 3).
	ageBonusPerDoubling = 24 * time.Hour
	// restartOverhead is the run time that stopping and restarting a gang costs
	// in addition to the lost work. It makes reclaim prefer few victims.
	restartOverhead = 10 * time.Minute
)

// correctedRunTime returns the declared run time of the whole job, multiplied by
// the team's observed ratio of actual to declared run time.
func (m *model) correctedRunTime(g *gang) time.Duration {
	d := g.Declared
	if d <= 0 {
		d = defaultRunTime
	}
	if r := m.teams[g.team].RunTimeRatio; r > 0 {
		d = time.Duration(float64(d) * r)
	}
	return d
}

// remainingRunTime estimates the run time that a job still needs. A job that has
// run longer than expected is expected to run as long again: run times are
// heavy-tailed, so the time that it has run predicts the rest better than the
// declaration.
func (m *model) remainingRunTime(g *gang) time.Duration {
	done := g.Checkpoint
	if g.State == carawayshift.JobRunning {
		done = max(done, m.now.Sub(g.Started))
	}
	remaining := m.correctedRunTime(g) - done
	if remaining < minRemainingRunTime {
		remaining = max(done, minRemainingRunTime)
	}
	return remaining
}

// lostWork returns the accelerator time that is lost when the gang is stopped,
// including restartOverhead and weighted by size for gangs larger than a worker.
// The checkpoint covers run time of all attempts; when it covers more than the
// present attempt, the part that this attempt added is unknown, and the whole
// attempt counts as lost.
func (m *model) lostWork(g *gang) time.Duration {
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
	work := (d + restartOverhead) * time.Duration(max(1, g.Size()))
	// The factor takes into account that a stopped large gang waits long for
	// its next cell. Gangs of 16 and more accelerators waited 0.56 of
	// first-fit's time with it and 0.67 without it (replay with packing, seeds
	// 1 to 3).
	work = work * time.Duration(max(buddy.WorkerSize, g.Size())) / buddy.WorkerSize
	return work
}

// sortWaiting orders the waiting jobs: urgent first, then by the latest start
// that keeps the due time. A job without a due time gets one that is a
// multiple of its run time after its submission, so short jobs go first and
// every job moves to the front as it ages. Large gangs count as older, see
// ageBonusPerDoubling. A due time never moves a job behind the position that it
// would have without one. The key does not depend on the present time, so the
// order is stable between plans.
func (m *model) sortWaiting() {
	for i := range m.waiting {
		g := &m.waiting[i]
		g.sortKey = m.latestStart(g)
	}
	// Sorting indexes copies each gang, which is a large struct, only once.
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
	return cmp.Or(g.sortKey.Compare(o.sortKey), cmp.Compare(g.ID, o.ID))
}

func (m *model) latestStart(g *gang) time.Time {
	if g.Urgent {
		// A later urgent job must not take the cell that is being reclaimed
		// for an earlier one, which would then miss its start deadline of 8.5 s.
		return g.Submitted
	}
	size := ageBonusPerDoubling * time.Duration(buddy.Level(g.total()))
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
