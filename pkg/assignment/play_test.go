package assignment_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/batch"
	"carawayshift.example/carawayshift/pkg/estimate"
)

// class is a kind of batch in a played load.
type class struct {
	queue    carawayshift.Queue
	perS     float64
	width    float64 // mean number of tasks
	widest   int
	work     time.Duration
	spread   float64 // of run times between batches
	uneven   float64 // and between the tasks of one
	need     carawayshift.Step
	wide     []int // accelerators of a task, one of these
	gang     float64
	oneRack  float64
	resumes  float64
	offBy    float64 // declared run times are off by up to this factor's power
	apart    float64 // share of steps with one task on a runner
	near     float64 // share of steps whose data is on one rack
	worth    float64 // of a batch of mean size in time
	late     float64 // of one that takes up to three times its objective
	sizes    []float64
	earned   []float64
	inAim    int
	total    int
	thrown   float64
	finished time.Duration
}

// fleet is the runners of a played load.
type fleet struct {
	zones, racks, perRack int
	cores, memory         int
	guarantees            map[string]int
	teams                 int
}

// workshop is 48 wide runners in six racks of three zones.
func workshop() fleet {
	return fleet{
		zones: 3, racks: 2, perRack: 8, cores: 128000, memory: 262144, teams: 4,
		guarantees: map[string]int{"t0": 72, "t1": 72, "t2": 48, "t3": 24},
	}
}

// play is a load played against a planner in virtual time.
type play struct {
	planner carawayshift.Dispatcher
	fleet   fleet
	rng     *rand.Rand
	table   *batch.Table
	took    *estimate.Record
	agents  []carawayshift.Agent
	racks   map[string]string // of runners
	classes []*class
	now     time.Time
	events  events
	index   int
	truth   map[carawayshift.TaskName]time.Duration
	running map[carawayshift.TaskName]*playedRun
	batches map[string]*playedBatch
	done    map[string]bool
	stopped int
}

type playedRun struct {
	run     int
	began   time.Time
	work    time.Duration
	runner  string
	stopped bool
}

type playedBatch struct {
	class    *class
	accepted time.Time
	chain    time.Duration
	index    int // in the class's sizes
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	playStep  = 50 * time.Millisecond
	stopTime  = 300 * time.Millisecond
	orderTime = 60 * time.Millisecond
	remote    = 3
)

var playStart = time.Date(2026, 8, 1, 8, 0, 0, 0, time.UTC)

func newPlay(p carawayshift.Dispatcher, f fleet, seed uint64, classes []*class) *play {
	pl := &play{
		planner: p, fleet: f, rng: rand.New(rand.NewPCG(seed, 7)), table: batch.New(), took: estimate.New(),
		classes: classes, now: playStart, truth: map[carawayshift.TaskName]time.Duration{},
		running: map[carawayshift.TaskName]*playedRun{}, batches: map[string]*playedBatch{}, done: map[string]bool{},
	}
	for i := range f.zones * f.racks * f.perRack {
		zone, rack := i/(f.racks*f.perRack), i/f.perRack%f.racks
		name := fmt.Sprintf("r%d-%d", zone, rack)
		pl.agents = append(pl.agents, carawayshift.Agent{
			// The ids say nothing of the rack.
			ID: fmt.Sprintf("i%08x", pl.rng.Uint32()), Incarnation: 1, Service: "fit", Zone: fmt.Sprintf("z%d", zone), Rack: name,
			Labels: []string{"a", name}, MilliCores: f.cores, Memory: f.memory, Accelerators: 8,
		})
	}
	pl.racks = map[string]string{}
	for _, a := range pl.agents {
		pl.racks[a.ID] = a.Rack
	}
	return pl
}

func (p *play) at(t time.Time, do func()) {
	p.index++
	heap.Push(&p.events, event{t, p.index, do})
}

// run plays arrivals for a while and then lets the work drain.
func (p *play) run(arrivals, drain time.Duration) {
	for _, c := range p.classes {
		for t := p.gap(c); t < arrivals; t += p.gap(c) {
			p.at(playStart.Add(t), func() { p.submit(c) })
		}
	}
	for t := time.Duration(0); t < arrivals+drain; t += playStep {
		p.at(playStart.Add(t), p.plan)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
}

func (p *play) gap(c *class) time.Duration {
	return time.Duration(p.rng.ExpFloat64() / c.perS * float64(time.Second))
}

func (p *play) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*p.rng.NormFloat64()-spread*spread/2)
}

func (p *play) submit(c *class) {
	need := c.need
	need.Count = min(max(1, int(p.lognormal(c.width, 0.8)+0.5)), c.widest)
	need.Accelerators = c.wide[p.rng.IntN(len(c.wide))]
	need.Gang = p.rng.Float64() < c.gang
	need.SameRack = need.Gang && p.rng.Float64() < c.oneRack
	need.Checkpoints = p.rng.Float64() < c.resumes
	if p.rng.Float64() < c.apart {
		need.MaxPerRunner = 1
	}
	if p.rng.Float64() < c.near {
		need.DataRack = p.agents[p.rng.IntN(len(p.agents))].Rack
	}
	work := p.lognormal(float64(c.work), c.spread)
	need.Declared = time.Duration(work * math.Exp(c.offBy*p.rng.NormFloat64()))
	id := fmt.Sprintf("%016x", p.index)
	p.index++
	b := &playedBatch{class: c, accepted: p.now}
	for i := range need.Count {
		w := time.Duration(p.lognormal(work, c.uneven))
		p.truth[carawayshift.TaskName{Batch: id, Index: i}] = w
		b.chain = max(b.chain, w)
	}
	b.index = c.total
	c.sizes = append(c.sizes, sizeOfWork(need, time.Duration(need.Count)*c.work))
	c.earned = append(c.earned, 0)
	p.batches[id] = b
	c.total++
	p.apply(&carawayshift.BatchChange{Submit: &carawayshift.Batch{
		ID: id, Team: fmt.Sprintf("t%d", p.rng.IntN(p.fleet.teams)), Queue: c.queue, Steps: []carawayshift.Step{need},
	}})
}

func (p *play) apply(c *carawayshift.BatchChange) {
	if err := p.table.Apply(p.now, c); err != nil {
		panic(err)
	}
}

func (p *play) plan() {
	demands, holdings := p.table.Survey()
	for i := range demands {
		demands[i].Expected = p.took.Expect(demands[i].Queue.Name, demands[i].Requirements.Declared)
	}
	for i, h := range holdings {
		holdings[i].Expected = p.took.Expect(h.Queue, h.Requirements.Declared)
		holdings[i].Stopping = p.running[h.Task] != nil && p.running[h.Task].stopped
	}
	out := p.planner.Dispatch(carawayshift.DispatchInput{
		Now: p.now, Agents: p.agents, OpenRuns: holdings, Demands: demands,
		Guarantees: p.fleet.guarantees,
	})
	for _, s := range out.Stops {
		p.stop(s.Task, s.Run)
	}
	c := &carawayshift.BatchChange{}
	for _, s := range out.Starts {
		c.Starts = append(c.Starts, s.RunStart)
	}
	p.apply(c)
	for _, s := range out.Starts {
		if p.table.Accepted(s.RunStart) {
			p.begin(s.RunStart, out.Starts)
		}
	}
}

func (p *play) begin(s carawayshift.RunStart, all []carawayshift.DispatchStart) {
	need := p.table.Need(s.Task)
	work := p.truth[s.Task]
	if need.Gang {
		work = p.batches[s.Task.Batch].chain
	}
	if need.SameRack && p.spreads(s, all) || need.DataRack != "" && p.rackOf(s.Runner) != need.DataRack {
		work *= remote
	}
	began := p.now.Add(orderTime)
	p.running[s.Task] = &playedRun{run: s.Run, began: began, work: work, runner: s.Runner}
	p.at(began.Add(work), func() { p.end(s.Task, s.Run, carawayshift.RunFinished) })
}

// spreads tells whether a gang's members are on more than one rack.
func (p *play) spreads(s carawayshift.RunStart, all []carawayshift.DispatchStart) bool {
	racks := map[string]bool{}
	for _, o := range all {
		if o.Task.Batch == s.Task.Batch {
			racks[p.rackOf(o.Runner)] = true
		}
	}
	return len(racks) > 1
}

func (p *play) rackOf(runner string) string { return p.racks[runner] }

func (p *play) stop(task carawayshift.TaskName, run int) {
	r := p.running[task]
	if r == nil || r.run != run || r.stopped {
		return
	}
	r.stopped = true
	p.at(p.now.Add(stopTime), func() { p.end(task, run, carawayshift.RunStopped) })
}

func (p *play) end(task carawayshift.TaskName, run int, how carawayshift.RunOutcome) {
	r := p.running[task]
	if r == nil || r.run != run || r.stopped && how == carawayshift.RunFinished {
		return
	}
	delete(p.running, task)
	b := p.batches[task.Batch]
	need := p.table.Need(task)
	if how == carawayshift.RunStopped {
		p.stopped++
		worked := p.now.Sub(r.began)
		if need.Checkpoints {
			p.truth[task] = max(0, p.truth[task]-worked)
		} else {
			b.class.thrown += sizeOfWork(need, worked)
		}
	} else {
		if task.Index == 0 {
			p.took.Observe(b.class.queue.Name, need.Declared, p.now.Sub(r.began))
		}
	}
	p.apply(&carawayshift.BatchChange{Ends: []carawayshift.RunEnd{{Task: task, Run: run, Outcome: how}}})
	state, _, _ := p.table.State(task.Batch)
	if state == carawayshift.BatchFinished && !p.done[task.Batch] {
		p.done[task.Batch] = true
		took := p.now.Sub(b.accepted)
		b.class.finished += took
		objective := time.Duration(b.class.queue.Stretch*float64(b.chain)) + b.class.queue.Latency
		switch {
		case took <= objective:
			b.class.inAim++
			b.class.earned[b.index] = b.class.worth
		case took <= 3*objective:
			b.class.earned[b.index] = b.class.late
		}
	}
}

// sizeOfWork is in core-seconds; an accelerator counts as eight cores.
func sizeOfWork(need carawayshift.Step, d time.Duration) float64 {
	return (float64(need.MilliCores)/1000 + 8*float64(need.Accelerators)) * d.Seconds()
}

// value returns what the batches of a class earned and could have earned. A
// batch counts by its share of the mean size, up to four times its worth.
func (c *class) value() (earned, owed float64) {
	mean := 0.0
	for _, n := range c.sizes {
		mean += n / float64(len(c.sizes))
	}
	for i, n := range c.sizes {
		w := min(4, 0.3+0.7*n/mean)
		earned += w * c.earned[i]
		owed += w * c.worth
	}
	return earned, owed
}
