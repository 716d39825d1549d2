package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

// job is what the callers and runners know of one batch.
type job struct {
	id    string
	tasks int
	// gang is the number of its members, 0 for none.
	gang int
	// accepted is when the acceptance arrived; refused says that every attempt
	// was answered with a refusal, unclear that one was not answered clearly.
	accepted           time.Time
	unclear, refused   bool
	cancelled          bool
	shownCompleted     time.Time
	finished, starting map[string]bool
	// done holds when each run finished, last the newest run of each task,
	// acked the tasks with an acknowledged end that counts.
	done  map[runName]time.Time
	last  map[string]start
	acked map[string]bool
}

// runName names a run of a task.
type runName struct {
	task string
	run  int
}

// start is when a run began.
type start struct {
	run int
	at  time.Time
}

// ledger checks the promises by what callers and runners see.
type ledger struct {
	mu      sync.Mutex
	began   time.Time
	jobs    map[string]*job
	running map[string]int
	faults  []string
	acked   int // highest acknowledged version of the configuration
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), jobs: map[string]*job{}, running: map[string]int{}}
}

// broken notes a broken promise. It needs l.mu.
func (l *ledger) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.faults = append(l.faults, fmt.Sprintf("%.3fs %s", time.Since(l.began).Seconds(), text))
}

func (l *ledger) job(id string) *job {
	j := l.jobs[id]
	if j == nil {
		j = &job{id: id, finished: map[string]bool{}, starting: map[string]bool{}, done: map[runName]time.Time{}, last: map[string]start{}, acked: map[string]bool{}}
		l.jobs[id] = j
	}
	return j
}

// gang returns the number of members of a job's gang.
func (l *ledger) gang(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j != nil {
		return j.gang
	}
	return 0
}

// begun is called by a runner for each run.
func (l *ledger) begun(task carawayshift.TaskName, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := task.String()
	j := l.jobs[task.Batch]
	if j == nil {
		l.broken("task %s was never asked for", name)
		return
	}
	j.starting[name] = true
	l.running[name]++
	if l.running[name] > 1 {
		l.broken("task %s runs twice, the second time as run %d", name, run)
	}
	if run > j.last[name].run {
		j.last[name] = start{run, time.Now()}
	}
	if j.acked[name] {
		l.broken("task %s begins as run %d after its end was acknowledged", name, run)
	}
	if !j.shownCompleted.IsZero() {
		l.broken("task %s begins %s after its job was shown as completed", name, time.Since(j.shownCompleted))
	}
}

func (l *ledger) over(task carawayshift.TaskName, run int, how carawayshift.RunOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[task.String()]--
	if j := l.jobs[task.Batch]; j != nil && how == carawayshift.RunFinished {
		j.finished[task.String()] = true
		j.done[runName{task.String(), run}] = time.Now()
	}
}

// acknowledged is called by a runner when an end is taken note of. That stands
// for good, unless the lease was over before.
func (l *ledger) acknowledged(e carawayshift.EndReport, lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j, name := l.jobs[e.Task.Batch], e.Task.String()
	if j == nil || lapsed || e.Outcome != carawayshift.RunFinished {
		return
	}
	j.acked[name] = true
	ended, next := j.done[runName{name, e.Run}], j.last[name]
	if next.run > e.Run && next.at.After(ended) {
		l.broken("task %s began as run %d at %s although its end as run %d at %s is acknowledged now", name, next.run, l.since(next.at), e.Run, l.since(ended))
	}
}

func (l *ledger) since(at time.Time) string { return at.Sub(l.began).Round(time.Millisecond).String() }

// shown is called for each answer about a job's state.
func (l *ledger) shown(id string, status int, body string, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.job(id)
	if status == 410 && !j.accepted.IsZero() && asked.After(j.accepted) {
		l.broken("job %s was accepted and is not known", id)
	}
	if status != 200 {
		return
	}
	completed := strings.Contains(body, `"completed"`)
	switch {
	case completed && len(j.finished) < j.tasks:
		l.broken("job %s is shown as completed, %d of %d tasks have finished", id, len(j.finished), j.tasks)
	case completed:
		if j.shownCompleted.IsZero() {
			j.shownCompleted = time.Now()
		}
	case strings.Contains(body, `"failed"`):
		l.broken("job %s is shown as failed, no task of it has failed", id)
	case strings.Contains(body, `"cancelled"`) && !j.cancelled:
		l.broken("job %s is shown as cancelled, nobody has cancelled it", id)
	case !j.shownCompleted.IsZero() && asked.After(j.shownCompleted):
		l.broken("job %s was shown as completed and now as %s", id, body)
	}
}

// read is called for each configuration that a host shows.
func (l *ledger) read(version, ackedBefore int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < ackedBefore {
		l.broken("version %d of the configuration is shown, %d had been acknowledged", version, ackedBefore)
	}
}

// open returns the accepted jobs that have not been shown as completed.
func (l *ledger) open() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for id, j := range l.jobs {
		if !j.accepted.IsZero() && !j.cancelled && j.shownCompleted.IsZero() {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// settle checks what must hold once everything is calm.
func (l *ledger) settle() {
	for _, id := range l.open() {
		l.mu.Lock()
		l.broken("job %s was accepted and has not been completed", id)
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if j.refused && len(j.starting) > 0 {
			l.broken("job %s was refused each time, and %d of its tasks have begun", j.id, len(j.starting))
		}
		for name := range j.starting {
			if j.cancelled && l.running[name] > 0 {
				l.broken("task %s of a cancelled job still runs", name)
			}
		}
	}
}

func (l *ledger) counts() (accepted, refused, completed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if !j.accepted.IsZero() {
			accepted++
		}
		if j.refused {
			refused++
		}
		if !j.shownCompleted.IsZero() {
			completed++
		}
	}
	return accepted, refused, completed
}
