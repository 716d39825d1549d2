package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"carawayshift.example/carawayshift"
)

// Fixed times of the fake workers.
const (
	startTime       = time.Second
	stopTime        = 5 * time.Second
	planEvery       = time.Second
	checkpointEvery = 10 * time.Minute
	// urgentLimit is the time within which urgent guaranteed work starts.
	urgentLimit = 8500 * time.Millisecond
)

// Replay describes a deployment and a trace.
type Replay struct {
	Objective carawayshift.Objective
	Workers   int
	Zones     int
	Teams     int
	// Submit is the time over which jobs arrive, Load their work relative to
	// the accelerators in that time.
	Submit time.Duration
	Load   float64
	// Preload is the number of tasks that are submitted at the start.
	Preload int
	// DrainAt and ReturnAt are when the first zone is taken out and returned;
	// zero values leave it in service.
	DrainAt, ReturnAt time.Duration
	// End stops the replay; zero runs until every job has finished.
	End time.Duration
}

// Small is the size of today's deployments on a busy day: the work that
// arrives in 12 hours is 1.3 times what the accelerators can do in that time,
// and the rest runs overnight.
func Small(o carawayshift.Objective) Replay {
	return Replay{Objective: o, Workers: 50, Zones: 3, Teams: 4, Submit: 12 * time.Hour, Load: 1.3}
}

// Drained is Small with more work than it can do, and a zone that is out from
// the third to the fifth hour.
func Drained(o carawayshift.Objective) Replay {
	r := Small(o)
	r.Load, r.DrainAt, r.ReturnAt, r.End = 1.5, 3*time.Hour, 5*time.Hour, 6*time.Hour
	return r
}

// Large has the given number of workers, with teams and tasks in proportion to
// 80 teams and 9,300 tasks on 2,300 workers. Jobs arrive at about ten times
// the rate of an ordinary day (5,900 jobs), so that some always wait.
func Large(workers int) Replay {
	return Replay{
		Objective: carawayshift.ObjectiveCompletion, Workers: workers, Zones: max(3, 18*workers/2300), Teams: max(4, 80*workers/2300),
		Submit: time.Hour, Load: 0.4, Preload: 9300 * workers / 2300, End: time.Hour,
	}
}

// loop is the state of one run in virtual time.
type loop struct {
	Replay
	planner carawayshift.Planner
	now     time.Time
	view    carawayshift.View
	trace   []generated
	rng     *rand.Rand
	events  events
	// live holds the jobs that have not ended, in the order of their ids.
	live []*running
	byID map[uint64]*running
	figs Result
	// ratios sums up actual to declared run times by team.
	ratios map[string]*mean
}

// running is a job with its progress.
type running struct {
	generated
	// done is the run time kept from earlier attempts.
	done  time.Duration
	first time.Time
	// claimed is true when the first plan gave the job a guarantee cell.
	claimed, planned, ended bool
}

type event struct {
	at      time.Time
	job     *running
	attempt int
	kind    eventKind
}

type eventKind int

const (
	submitEvent eventKind = iota
	startEvent
	endEvent
	stopEvent
	zoneEvent
)

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Run replays the trace of a seed with a planner.
func (r Replay) Run(p carawayshift.Planner, seed uint64) Result {
	l := &loop{
		Replay: r, planner: p, now: start, view: r.view(), trace: r.jobs(seed),
		rng: rand.New(rand.NewPCG(seed, 2)), byID: map[uint64]*running{}, ratios: map[string]*mean{},
	}
	for i := range l.trace {
		heap.Push(&l.events, event{at: l.trace[i].Submitted, job: &running{generated: l.trace[i]}})
	}
	if r.ReturnAt > 0 {
		heap.Push(&l.events, event{at: start.Add(r.DrainAt), kind: zoneEvent})
		heap.Push(&l.events, event{at: start.Add(r.ReturnAt), kind: zoneEvent})
	}
	for len(l.events) > 0 && (r.End == 0 || l.events[0].at.Before(start.Add(r.End))) {
		l.advance(l.events[0].at.Truncate(planEvery).Add(planEvery))
		l.plan()
	}
	l.figs.finish(l)
	return l.figs
}

// advance handles all events up to the time of the next plan.
func (l *loop) advance(to time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(to) {
		e := heap.Pop(&l.events).(event)
		l.account(e.at)
		l.handle(e)
	}
	l.account(to)
}

func (l *loop) handle(e event) {
	j := e.job
	if e.kind != submitEvent && e.kind != zoneEvent && (j.ended || j.Attempt != e.attempt) {
		return
	}
	switch e.kind {
	case submitEvent:
		l.live = append(l.live, j)
		l.byID[j.ID] = j
	case startEvent:
		l.begin(j)
	case endEvent:
		if j.State == carawayshift.JobRunning {
			l.finish(j)
		}
	case stopEvent:
		j.State, j.Placements, j.Zone, j.Borrowed = carawayshift.JobWaiting, nil, "", false
	case zoneEvent:
		z := &l.view.Zones[0]
		z.Drained, z.Changed = !z.Drained, l.now
	}
}

func (l *loop) begin(j *running) {
	if j.State != carawayshift.JobPlaced {
		return
	}
	j.State, j.Started = carawayshift.JobRunning, l.now
	if j.first.IsZero() {
		j.first = l.now
		l.figs.started(j)
	}
	heap.Push(&l.events, event{l.now.Add(j.actual - j.done), j, j.Attempt, endEvent})
}

func (l *loop) finish(j *running) {
	j.ended = true
	l.figs.finished(j, l.now)
	delete(l.byID, j.ID)
	m := l.ratios[j.Team]
	if m == nil {
		m = &mean{}
		l.ratios[j.Team] = m
	}
	m.add(j.actual.Seconds() / max(1, j.Declared.Seconds()))
}

// plan calls the planner and carries its plan out.
func (l *loop) plan() {
	l.buildView()
	begin := time.Now()
	p := l.planner.Plan(l.now, l.view)
	l.figs.planned(time.Since(begin))
	l.figs.checked(l, &p)
	for _, s := range p.Stops {
		l.stop(l.byID[s.Job])
	}
	for _, s := range p.Starts {
		j := l.byID[s.Job]
		j.Attempt++
		j.State, j.Zone, j.Placements, j.Borrowed = carawayshift.JobPlaced, s.Zone, s.Placements, s.Borrowed
		heap.Push(&l.events, event{l.now.Add(startTime), j, j.Attempt, startEvent})
	}
	for _, k := range p.Parks {
		l.byID[k.Job].State = carawayshift.JobParked
	}
}

// buildView copies the live jobs, with the checkpoints they have reached.
func (l *loop) buildView() {
	kept := l.live[:0]
	l.view.Jobs = make([]carawayshift.Job, 0, len(l.live))
	for _, j := range l.live {
		if j.ended {
			continue
		}
		kept = append(kept, j)
		l.view.Jobs = append(l.view.Jobs, j.Job)
		l.view.Jobs[len(l.view.Jobs)-1].Checkpoint = j.saved(l.now)
	}
	l.live = kept
	for i := range l.view.Teams {
		if m := l.ratios[l.view.Teams[i].Name]; m != nil {
			l.view.Teams[i].RunTimeRatio = m.value()
		}
	}
}

// saved returns the run time that the latest regular checkpoint covers.
func (j *running) saved(now time.Time) time.Duration {
	if j.State != carawayshift.JobRunning {
		return j.done
	}
	return j.done + now.Sub(j.Started).Truncate(checkpointEvery)
}

// stop takes a checkpoint and stops the gang. One checkpoint in ten fails.
func (l *loop) stop(j *running) {
	if j.State == carawayshift.JobRunning {
		saved := j.done + l.now.Sub(j.Started)
		if l.rng.IntN(10) == 0 {
			saved = j.saved(l.now)
		}
		l.figs.lose(j, l.now, saved)
		j.done = saved
	}
	j.State, j.StateAfterStop = carawayshift.JobStopping, carawayshift.JobWaiting
	heap.Push(&l.events, event{l.now.Add(stopTime), j, j.Attempt, stopEvent})
}
