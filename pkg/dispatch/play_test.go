package dispatch_test

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
	spread   float64
	need     carawayshift.Step
	wide     []int // accelerators of a task, one of these
	gang     float64
	oneRack  float64
	resumes  float64
	offBy    float64 // declared run times are off by up to this factor's power
	inAim    int
	total    int
	thrown   float64
	finished time.Duration
}

// play is a load played against a planner in virtual time.
type play struct {
	planner carawayshift.Dispatcher
	rng     *rand.Rand
	table   *batch.Table
	took    *estimate.Record
	agents  []carawayshift.Agent
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

// newPlay sets up 48 runners in six racks of three zones.
func newPlay(p carawayshift.Dispatcher, seed uint64, classes []*class) *play {
	pl := &play{
		planner: p, rng: rand.New(rand.NewPCG(seed, 7)), table: batch.New(), took: estimate.New(),
		classes: classes, now: playStart, truth: map[carawayshift.TaskName]time.Duration{},
		running: map[carawayshift.TaskName]*playedRun{}, batches: map[string]*playedBatch{}, done: map[string]bool{},
	}
	for i := range 48 {
		rack := fmt.Sprintf("r%d-%d", i/16, i/8%2)
		pl.agents = append(pl.agents, carawayshift.Agent{
			ID: fmt.Sprintf("i%02d", i), Life: 1, Service: "fit", Zone: fmt.Sprintf("z%d", i/16), Rack: rack,
			Labels: []string{"a", rack}, MilliCores: 128000, Memory: 262144, Accelerators: 8,
		})
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
	need.OneRack = need.Gang && p.rng.Float64() < c.oneRack
	need.Checkpoints = p.rng.Float64() < c.resumes
	need.Declared = time.Duration(float64(c.work) * math.Exp(c.offBy*p.rng.NormFloat64()))
	id := fmt.Sprintf("%016x", p.index)
	p.index++
	b := &playedBatch{class: c, accepted: p.now}
	for i := range need.Count {
		w := time.Duration(p.lognormal(float64(c.work), c.spread))
		p.truth[carawayshift.TaskName{Batch: id, Index: i}] = w
		b.chain = max(b.chain, w)
	}
	p.batches[id] = b
	c.total++
	p.apply(&carawayshift.BatchChange{Submit: &carawayshift.Batch{
		ID: id, Team: fmt.Sprintf("t%d", p.rng.IntN(4)), Queue: c.queue, Steps: []carawayshift.Step{need},
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
		demands[i].Expected = p.took.Expect(demands[i].Queue.Name, demands[i].Need.Declared)
	}
	for i, h := range holdings {
		holdings[i].Expected = p.took.Expect(h.Queue, h.Need.Declared)
		holdings[i].Stopping = p.running[h.Task] != nil && p.running[h.Task].stopped
	}
	out := p.planner.Dispatch(carawayshift.Load{
		Now: p.now, Agents: p.agents, Holdings: holdings, Demands: demands,
		Guarantees: map[string]int{"t0": 72, "t1": 72, "t2": 48, "t3": 24},
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
		if need.OneRack && p.spreads(s, all) {
			work *= remote
		}
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
			for _, a := range p.agents {
				if a.ID == o.Runner {
					racks[a.Rack] = true
				}
			}
		}
	}
	return len(racks) > 1
}

func (p *play) stop(task carawayshift.TaskName, run int) {
	r := p.running[task]
	if r == nil || r.run != run || r.stopped {
		return
	}
	r.stopped = true
	p.at(p.now.Add(stopTime), func() { p.end(task, run, carawayshift.RunStopped) })
}

func (p *play) end(task carawayshift.TaskName, run int, how carawayshift.RunEnding) {
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
			b.class.thrown += (float64(need.MilliCores)/1000 + 8*float64(need.Accelerators)) * worked.Seconds()
		}
	} else {
		p.took.Observe(b.class.queue.Name, p.now.Sub(r.began))
	}
	p.apply(&carawayshift.BatchChange{Ends: []carawayshift.RunEnd{{Task: task, Run: run, Ending: how}}})
	state, _, _ := p.table.State(task.Batch)
	if state == carawayshift.BatchFinished && !p.done[task.Batch] {
		p.done[task.Batch] = true
		took := p.now.Sub(b.accepted)
		b.class.finished += took
		if took <= time.Duration(b.class.queue.Stretch*float64(b.chain))+b.class.queue.Latency {
			b.class.inAim++
		}
	}
}
