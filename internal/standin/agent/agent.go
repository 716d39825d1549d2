// Package agent is a stand-in for a runner that executes tasks of batches: it
// keeps leases and fencing tokens, runs gangs, writes checkpoints and lists
// ends until they are acknowledged.
//
// # Usage
//
//	a := agent.New(agent.Config{Agent: carawayshift.Agent{ID: "i-1", Life: 1}, Stop: 400*time.Millisecond})
//	clock, err := a.Start(ctx, order, run)
//	status, err := a.Hold(ctx, order, seen, until, wait)
//	a.Crash() // everything is forgotten, a new life begins
//
// It implements carawayshift.AgentClient for calls that reach this runner. A
// gang's members meet in a Gangs value that the runners of one pool share.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// Config configures an Agent.
type Config struct {
	Agent carawayshift.Agent
	// Work returns how long a run takes and whether it then fails. Nil is one
	// second and no failure.
	Work func(task carawayshift.TaskName, run int) (time.Duration, bool)
	// Gang returns the number of members of a task's gang, 0 for none.
	Gang func(task carawayshift.TaskName) int
	// Stop is how long a stop takes, Alone how long a member of a gang waits
	// for the others, Lease the longest lease.
	Stop, Alone, Lease time.Duration
	Gangs              *Gangs
	// Begun and Over are told of each run that begins to occupy the runner and
	// of its end. They are called without locks.
	Begun func(task carawayshift.TaskName, run int)
	Over  func(task carawayshift.TaskName, run int, how carawayshift.RunOutcome)
	// Acked is told of each end that is acknowledged, and whether the lease was
	// over at some time between the two. It is called with the runner's lock.
	Acked func(e carawayshift.EndReport, lapsed bool)
}

// Agent is one runner.
type Agent struct {
	cfg Config

	mu    sync.Mutex
	life  int64
	born  time.Time
	fence uint64
	until time.Time
	runs  map[carawayshift.TaskName]*run
	// past holds the highest run of each task that ended or was stopped.
	past   map[carawayshift.TaskName]int
	ended  []carawayshift.EndReport
	number uint64
	// lapses counts the leases that ended, lapsesAt the count at each end.
	lapses   int
	lapsesAt map[uint64]int
	changed  chan struct{}
}

type run struct {
	number int
	timer  *time.Timer
	began  time.Time
	takes  time.Duration
}

// New returns a runner in its first life.
func New(cfg Config) *Agent {
	if cfg.Work == nil {
		cfg.Work = func(carawayshift.TaskName, int) (time.Duration, bool) { return time.Second, false }
	}
	if cfg.Gangs == nil {
		cfg.Gangs = NewGangs()
	}
	a := &Agent{cfg: cfg, life: cfg.Agent.Incarnation}
	a.reset()
	return a
}

func (a *Agent) reset() {
	a.born, a.fence, a.until = time.Now(), 0, time.Time{}
	a.runs, a.past = map[carawayshift.TaskName]*run{}, map[carawayshift.TaskName]int{}
	a.ended, a.number, a.changed = nil, 0, make(chan struct{})
	a.lapsesAt = map[uint64]int{}
}

// Report returns what the runner says of itself.
func (a *Agent) Report() carawayshift.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.cfg.Agent
	r.Incarnation, r.Clock = a.life, time.Since(a.born)
	return r
}

// Crash ends everything at once and begins a new life under the same id.
func (a *Agent) Crash() {
	a.mu.Lock()
	list := a.runs
	close(a.changed)
	a.life++
	a.reset()
	a.mu.Unlock()
	for task, r := range list {
		r.timer.Stop()
		a.over(task, r.number, carawayshift.RunLost)
	}
}

// refuse returns why an order is not carried out, and takes its token. It
// needs a.mu.
func (a *Agent) refuse(o carawayshift.AgentCall) error {
	switch {
	case o.Agent.ID != a.cfg.Agent.ID:
		return &carawayshift.RefusalError{Reason: carawayshift.RefusedIncarnation}
	case o.Fence < a.fence:
		return &carawayshift.RefusalError{Reason: carawayshift.RefusedFence}
	}
	a.fence = o.Fence
	return nil
}

// extend takes a lease, which never shortens. It needs a.mu.
func (a *Agent) extend(until time.Duration) {
	if time.Now().After(a.until) {
		a.lapses++
	}
	at := a.born.Add(until)
	if most := time.Now().Add(a.cfg.Lease); a.cfg.Lease > 0 && at.After(most) {
		at = most
	}
	if at.After(a.until) {
		a.until = at
	}
}

// Start implements carawayshift.AgentClient.
func (a *Agent) Start(_ context.Context, o carawayshift.AgentCall, s carawayshift.RunRequest) (time.Duration, error) {
	a.mu.Lock()
	if err := a.refuse(o); err != nil {
		a.mu.Unlock()
		return 0, err
	}
	clock := time.Since(a.born)
	if r := a.runs[s.Task]; r != nil && r.number == s.Run {
		a.mu.Unlock()
		return clock, nil
	}
	if clock > s.Until {
		a.mu.Unlock()
		return clock, &carawayshift.RefusalError{Reason: carawayshift.RefusedLeaseExpired}
	}
	a.extend(s.Until)
	if s.Run <= a.past[s.Task] || a.runs[s.Task] != nil {
		a.mu.Unlock()
		return clock, &carawayshift.RefusalError{Reason: carawayshift.RefusedStaleRun}
	}
	a.begin(s)
	a.mu.Unlock()
	if a.cfg.Begun != nil {
		a.cfg.Begun(s.Task, s.Run)
	}
	return clock, nil
}

// begin starts a run, or its wait for the other members of the gang. It needs
// a.mu.
func (a *Agent) begin(s carawayshift.RunRequest) {
	takes, fails := a.cfg.Work(s.Task, s.Run)
	how := carawayshift.RunFinished
	if fails {
		how = carawayshift.RunFailed
	}
	r := &run{number: s.Run, began: time.Now(), takes: takes}
	a.runs[s.Task] = r
	time.AfterFunc(time.Until(a.until), a.lapse)
	members := 0
	if a.cfg.Gang != nil {
		members = a.cfg.Gang(s.Task)
	}
	if members == 0 {
		r.timer = time.AfterFunc(takes, func() { a.end(s.Task, s.Run, how) })
		return
	}
	r.timer = time.AfterFunc(a.cfg.Alone, func() { a.end(s.Task, s.Run, carawayshift.RunGangTimeout) })
	a.cfg.Gangs.join(a, s.Task, s.Run, members, takes, how)
}

// work lets a member of a gang that is complete run.
func (a *Agent) work(task carawayshift.TaskName, n int, takes time.Duration, how carawayshift.RunOutcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[task]
	if r == nil || r.number != n {
		return
	}
	r.timer.Stop()
	r.began, r.takes = time.Now(), takes
	r.timer = time.AfterFunc(takes, func() { a.end(task, n, how) })
}

// lapse ends everything once the lease is over.
func (a *Agent) lapse() {
	a.mu.Lock()
	left := time.Until(a.until)
	if left > 0 {
		time.AfterFunc(left, a.lapse)
		a.mu.Unlock()
		return
	}
	var tasks []carawayshift.TaskName
	var numbers []int
	for task, r := range a.runs {
		tasks, numbers = append(tasks, task), append(numbers, r.number)
	}
	a.mu.Unlock()
	for i, task := range tasks {
		a.end(task, numbers[i], carawayshift.RunLeaseExpired)
	}
}

// end lists a run's end.
func (a *Agent) end(task carawayshift.TaskName, n int, how carawayshift.RunOutcome) {
	a.mu.Lock()
	r := a.runs[task]
	if r == nil || r.number != n {
		a.mu.Unlock()
		return
	}
	delete(a.runs, task)
	a.past[task] = max(a.past[task], n)
	r.timer.Stop()
	a.number++
	a.ended = append(a.ended, carawayshift.EndReport{
		Number: a.number, RunEnd: carawayshift.RunEnd{Task: task, Run: n, Outcome: how},
	})
	a.lapsesAt[a.number] = a.lapses
	close(a.changed)
	a.changed = make(chan struct{})
	a.mu.Unlock()
	a.over(task, n, how)
}

func (a *Agent) over(task carawayshift.TaskName, n int, how carawayshift.RunOutcome) {
	if a.cfg.Over != nil {
		a.cfg.Over(task, n, how)
	}
	a.cfg.Gangs.leave(task, n, how)
}

// Stop implements carawayshift.AgentClient.
func (a *Agent) Stop(_ context.Context, o carawayshift.AgentCall, task carawayshift.TaskName, n int) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.refuse(o); err != nil {
		return 0, err
	}
	if r := a.runs[task]; r != nil && r.number == n {
		time.AfterFunc(a.cfg.Stop, func() { a.end(task, n, carawayshift.RunStopped) })
	} else {
		a.past[task] = max(a.past[task], n)
	}
	return time.Since(a.born), nil
}

// Renew implements carawayshift.AgentClient.
func (a *Agent) Renew(ctx context.Context, o carawayshift.AgentCall, seen uint64, until, wait time.Duration) (carawayshift.AgentStatus, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	a.mu.Lock()
	if err := a.refuse(o); err != nil {
		a.mu.Unlock()
		return carawayshift.AgentStatus{}, err
	}
	a.extend(until)
	a.acknowledge(seen)
	life := a.life
	a.mu.Unlock()
	for {
		a.mu.Lock()
		changed := a.changed
		st := a.status()
		a.mu.Unlock()
		if st.Incarnation != life {
			return carawayshift.AgentStatus{}, errCrashed
		}
		if len(st.Ended) > 0 {
			return st, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return st, nil
		case <-ctx.Done():
			return st, ctx.Err()
		}
	}
}

// errCrashed stands for the connection that goes down with a runner.
var errCrashed = errors.New("agent.Hold: the runner crashed")

func (a *Agent) acknowledge(seen uint64) {
	for len(a.ended) > 0 && a.ended[0].Number <= seen {
		e := a.ended[0]
		if a.cfg.Acked != nil {
			a.cfg.Acked(e, a.lapses != a.lapsesAt[e.Number])
		}
		delete(a.lapsesAt, e.Number)
		a.ended = a.ended[1:]
	}
}

func (a *Agent) status() carawayshift.AgentStatus {
	st := carawayshift.AgentStatus{Clock: time.Since(a.born), Incarnation: a.life}
	for task, r := range a.runs {
		percent := 0
		if r.takes > 0 {
			percent = min(100, int(100*time.Since(r.began)/r.takes))
		}
		st.Running = append(st.Running, carawayshift.RunReport{Task: task, Run: r.number, Percent: percent})
	}
	st.Ended = append(st.Ended, a.ended...)
	return st
}

// Throttle implements carawayshift.AgentClient; the stand-in works at one speed.
func (a *Agent) Throttle(_ context.Context, o carawayshift.AgentCall, _ carawayshift.TaskName, _, _ int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refuse(o)
}

var _ carawayshift.AgentClient = (*Agent)(nil)
