package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"carawayshift.example/carawayshift"
)

// Fixed times of the simulated workers and of the planning loop.
const (
	startDelay         = time.Second
	stopDelay          = 5 * time.Second
	planInterval       = time.Second
	checkpointInterval = 10 * time.Minute
	// urgentStartLimit is the time within which urgent guaranteed jobs must
	// start.
	urgentStartLimit = 8500 * time.Millisecond
)

// Replay holds the parameters of a deployment and of a trace.
type Replay struct {
	Objective carawayshift.Objective
	Workers   int
	Zones     int
	Teams     int
	// Submit is the period in which jobs arrive. Load is their work divided by
	// the accelerator time available in that period.
	Submit time.Duration
	Load   float64
	// Preload is the number of additional tasks submitted at the start.
	Preload int
	// DrainAt and ReturnAt are the times at which the first zone is drained and
	// returned; zero values leave it in service.
	DrainAt, ReturnAt time.Duration
	// End is when the replay stops; at zero it runs until every job has finished.
	End time.Duration
}

// Small has the size of present deployments on a busy day: the work that arrives
// in 12 hours is 1.3 times the accelerators' capacity in that time, and the rest
// runs overnight.
func Small(o carawayshift.Objective) Replay {
	return Replay{Objective: o, Workers: 50, Zones: 3, Teams: 4, Submit: 12 * time.Hour, Load: 1.3}
}

// Drained is Small with more work than its capacity, and with one zone drained
// from the third to the fifth hour.
func Drained(o carawayshift.Objective) Replay {
	r := Small(o)
	r.Load, r.DrainAt, r.ReturnAt, r.End = 1.5, 3*time.Hour, 5*time.Hour, 6*time.Hour
	return r
}

// Large has the given number of workers, with zones, teams and tasks in
// proportion to 18 zones, 80 teams and 9,300 tasks on 2,300 workers. Jobs arrive
// at about ten times the rate of a normal day (5,900 jobs), so that some are
// always waiting.
func Large(workers int) Replay {
	return Replay{
		Objective: carawayshift.ObjectiveCompletion, Workers: workers, Zones: max(3, 18*workers/2300), Teams: max(4, 80*workers/2300),
		Submit: time.Hour, Load: 0.4, Preload: 9300 * workers / 2300, End: time.Hour,
	}
}

// loop is the event loop of one run in virtual time.
type loop struct {
	Replay
	planner carawayshift.Planner
	now     time.Time
	view    carawayshift.View
	trace   []traceJob
	rng     *rand.Rand
	events  eventHeap
	// live holds the jobs that have not ended, in the order of their ids.
	live   []*simJob
	byID   map[uint64]*simJob
	result Result
	// runTimeRatios averages the ratio of actual to declared run time by team.
	runTimeRatios map[string]*mean
}

// simJob is a job of the trace with its progress.
type simJob struct {
	traceJob
	// progress is the run time that checkpoints of earlier attempts cover.
	progress   time.Duration
	firstStart time.Time
	// guaranteed is true if the first plan placed the job within its team's
	// guarantee, or reclaims accelerators for it.
	guaranteed, planned, ended bool
}

type event struct {
	at      time.Time
	job     *simJob
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

type eventHeap []event

func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e eventHeap) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Run replays the trace of a seed with the planner.
func (r Replay) Run(p carawayshift.Planner, seed uint64) Result {
	l := &loop{
		Replay: r, planner: p, now: simStart, view: r.view(), trace: r.jobs(seed),
		rng: rand.New(rand.NewPCG(seed, 2)), byID: map[uint64]*simJob{}, runTimeRatios: map[string]*mean{},
	}
	for i := range l.trace {
		heap.Push(&l.events, event{at: l.trace[i].Submitted, job: &simJob{traceJob: l.trace[i]}})
	}
	if r.ReturnAt > 0 {
		heap.Push(&l.events, event{at: simStart.Add(r.DrainAt), kind: zoneEvent})
		heap.Push(&l.events, event{at: simStart.Add(r.ReturnAt), kind: zoneEvent})
	}
	for len(l.events) > 0 && (r.End == 0 || l.events[0].at.Before(simStart.Add(r.End))) {
		l.runEvents(l.events[0].at.Truncate(planInterval).Add(planInterval))
		l.plan()
	}
	l.result.summarize(l)
	return l.result
}

// runEvents handles all events up to the time of the next planning round.
func (l *loop) runEvents(to time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(to) {
		e := heap.Pop(&l.events).(event)
		l.advanceClock(e.at)
		l.handle(e)
	}
	l.advanceClock(to)
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
		l.startJob(j)
	case endEvent:
		if j.State == carawayshift.JobRunning {
			l.finishJob(j)
		}
	case stopEvent:
		j.State, j.Placements, j.Zone, j.Borrowed = carawayshift.JobWaiting, nil, "", false
	case zoneEvent:
		z := &l.view.Zones[0]
		z.Drained, z.Changed = !z.Drained, l.now
	}
}

func (l *loop) startJob(j *simJob) {
	if j.State != carawayshift.JobPlaced {
		return
	}
	j.State, j.Started = carawayshift.JobRunning, l.now
	if j.firstStart.IsZero() {
		j.firstStart = l.now
		l.result.recordStart(j)
	}
	heap.Push(&l.events, event{l.now.Add(j.runTime - j.progress), j, j.Attempt, endEvent})
}

func (l *loop) finishJob(j *simJob) {
	j.ended = true
	l.result.recordFinish(j, l.now)
	delete(l.byID, j.ID)
	m := l.runTimeRatios[j.Team]
	if m == nil {
		m = &mean{}
		l.runTimeRatios[j.Team] = m
	}
	m.add(j.runTime.Seconds() / max(1, j.Declared.Seconds()))
}

// plan calls the planner and executes its plan.
func (l *loop) plan() {
	l.buildView()
	begin := time.Now()
	p := l.planner.Plan(l.now, l.view)
	l.result.recordPlanTime(time.Since(begin))
	l.result.recordPlan(l, &p)
	for _, s := range p.Stops {
		l.stopJob(l.byID[s.Job])
	}
	for _, s := range p.Starts {
		j := l.byID[s.Job]
		j.Attempt++
		j.State, j.Zone, j.Placements, j.Borrowed = carawayshift.JobPlaced, s.Zone, s.Placements, s.Borrowed
		heap.Push(&l.events, event{l.now.Add(startDelay), j, j.Attempt, startEvent})
	}
	for _, k := range p.Parks {
		l.byID[k.Job].State = carawayshift.JobParked
	}
}

// buildView updates the planner's input: the jobs that have not ended, with their
// latest checkpoints, and the teams' run time ratios.
func (l *loop) buildView() {
	live := l.live[:0]
	l.view.Jobs = make([]carawayshift.Job, 0, len(l.live))
	for _, j := range l.live {
		if j.ended {
			continue
		}
		live = append(live, j)
		l.view.Jobs = append(l.view.Jobs, j.Job)
		l.view.Jobs[len(l.view.Jobs)-1].Checkpoint = j.checkpointed(l.now)
	}
	l.live = live
	for i := range l.view.Teams {
		if m := l.runTimeRatios[l.view.Teams[i].Name]; m != nil {
			l.view.Teams[i].RunTimeRatio = m.value()
		}
	}
}

// checkpointed returns the run time that the latest periodic checkpoint covers.
func (j *simJob) checkpointed(now time.Time) time.Duration {
	if j.State != carawayshift.JobRunning {
		return j.progress
	}
	return j.progress + now.Sub(j.Started).Truncate(checkpointInterval)
}

// stopJob takes a checkpoint and stops the gang. One in ten checkpoints fails.
func (l *loop) stopJob(j *simJob) {
	if j.State == carawayshift.JobRunning {
		saved := j.progress + l.now.Sub(j.Started)
		if l.rng.IntN(10) == 0 {
			saved = j.checkpointed(l.now)
		}
		l.result.recordStop(j, l.now, saved)
		j.progress = saved
	}
	j.State, j.StateAfterStop = carawayshift.JobStopping, carawayshift.JobWaiting
	heap.Push(&l.events, event{l.now.Add(stopDelay), j, j.Attempt, stopEvent})
}
