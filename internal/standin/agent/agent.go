// Package agent is a stand-in for a runner that executes tasks of batches: it
// implements leases and fencing tokens, runs gangs, writes checkpoints and
// reports the ends of runs until they are acknowledged.
//
// # Usage
//
//	a := agent.New(agent.Config{Agent: carawayshift.Agent{ID: "i-1", Incarnation: 1}, StopDuration: 400*time.Millisecond})
//	clock, err := a.Start(ctx, call, run)
//	status, err := a.Renew(ctx, call, seen, until, wait)
//	a.Crash() // all state is lost and a new incarnation starts
//
// It implements carawayshift.AgentClient for calls that reach this runner. A
// Gangs value, shared by the runners of one pool, starts and ends the members of
// a gang together.
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
	// Work returns how long a run takes and whether it then fails. With nil, each
	// run finishes after one second.
	Work func(task carawayshift.TaskName, run int) (time.Duration, bool)
	// Lasts reports whether a task is long-running: it reports complete progress once it
	// has run for Startup. With nil, none is.
	Lasts   func(task carawayshift.TaskName) bool
	Startup time.Duration
	// Load returns the load that a run reports. With nil, it is 0.
	Load func(task carawayshift.TaskName) int
	// Gang returns the number of members of a task's gang, 0 for none.
	Gang func(task carawayshift.TaskName) int
	// StopDuration is how long a stop takes, GangTimeout how long a member of a
	// gang waits for the others, MaxLease the maximum length of a lease (0 for
	// none).
	StopDuration, GangTimeout, MaxLease time.Duration
	// MaxEnds is the number of ends that a status lists at a time, 0 for all.
	MaxEnds int
	// ClockRate is the rate of the runner's clock, below 1 for a slow one; 0 stands for 1.
	ClockRate float64
	Gangs     *Gangs
	// OnStart and OnEnd are called when a run starts to occupy the runner, which
	// for the member of a gang is before the gang is complete, and when it ends.
	// No lock is held during the call.
	OnStart func(task carawayshift.TaskName, run int)
	OnEnd   func(task carawayshift.TaskName, run int, outcome carawayshift.RunOutcome)
	// OnAcknowledge is called for each acknowledged end; expired says whether the
	// lease had expired at some time between the end and the acknowledgement. The
	// runner's lock is held during the call.
	OnAcknowledge func(e carawayshift.EndReport, expired bool)
}

// Agent is a simulated runner.
type Agent struct {
	cfg Config

	mu          sync.Mutex
	incarnation int64
	started     time.Time
	fence       uint64
	leaseEnd    time.Time
	runs        map[carawayshift.TaskName]*run
	// lastEnded holds, for each task, the highest number of a run that ended or
	// was stopped.
	lastEnded  map[carawayshift.TaskName]int
	ended      []carawayshift.EndReport
	lastNumber uint64
	// expiries counts the leases that expired and were then extended,
	// expiriesAtEnd holds the count at the time of each reported end.
	expiries      int
	expiriesAtEnd map[uint64]int
	changed       chan struct{}
}

type run struct {
	number   int
	timer    *time.Timer
	started  time.Time
	duration time.Duration
	// percent is the speed to which the run was throttled.
	percent int
}

// New returns a runner in its first incarnation.
func New(cfg Config) *Agent {
	if cfg.Work == nil {
		cfg.Work = func(carawayshift.TaskName, int) (time.Duration, bool) { return time.Second, false }
	}
	if cfg.Gangs == nil {
		cfg.Gangs = NewGangs()
	}
	if cfg.ClockRate == 0 {
		cfg.ClockRate = 1
	}
	a := &Agent{cfg: cfg, incarnation: cfg.Agent.Incarnation}
	a.reset()
	return a
}

func (a *Agent) reset() {
	a.started, a.fence, a.leaseEnd = time.Now(), 0, time.Time{}
	a.runs, a.lastEnded = map[carawayshift.TaskName]*run{}, map[carawayshift.TaskName]int{}
	a.ended, a.lastNumber, a.changed = nil, 0, make(chan struct{})
	a.expiriesAtEnd = map[uint64]int{}
}

// clock returns the reading of the runner's clock.
func (a *Agent) clock() time.Duration {
	return time.Duration(float64(time.Since(a.started)) * a.cfg.ClockRate)
}

// untilClock returns how long the runner's clock takes to advance by d.
func (a *Agent) untilClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / a.cfg.ClockRate)
}

// Report returns the report that the runner sends to control hosts.
func (a *Agent) Report() carawayshift.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.cfg.Agent
	r.Incarnation, r.Clock = a.incarnation, a.clock()
	return r
}

// Crash ends all runs immediately, drops all state and starts a new incarnation
// under the same id.
func (a *Agent) Crash() {
	a.mu.Lock()
	runs := a.runs
	close(a.changed)
	a.incarnation++
	a.reset()
	a.mu.Unlock()
	for task, r := range runs {
		r.timer.Stop()
		a.notifyEnd(task, r.number, carawayshift.RunLost)
	}
}

// checkCall returns the reason to refuse a call, or stores its fencing token. The
// caller holds a.mu.
func (a *Agent) checkCall(call carawayshift.AgentCall) error {
	switch {
	case call.Agent.ID != a.cfg.Agent.ID:
		return &carawayshift.RefusalError{Reason: carawayshift.RefusedIncarnation}
	case call.Fence < a.fence:
		return &carawayshift.RefusalError{Reason: carawayshift.RefusedFence}
	}
	a.fence = call.Fence
	return nil
}

// extendLease extends the lease to until, but never shortens it and never beyond
// the maximum. The caller holds a.mu.
func (a *Agent) extendLease(until time.Duration) {
	if time.Now().After(a.leaseEnd) {
		a.expiries++
	}
	end := a.started.Add(a.untilClock(until))
	if latest := time.Now().Add(a.untilClock(a.cfg.MaxLease)); a.cfg.MaxLease > 0 && end.After(latest) {
		end = latest
	}
	if end.After(a.leaseEnd) {
		a.leaseEnd = end
	}
}

// Start implements carawayshift.AgentClient.
func (a *Agent) Start(_ context.Context, call carawayshift.AgentCall, req carawayshift.RunRequest) (time.Duration, error) {
	a.mu.Lock()
	if err := a.checkCall(call); err != nil {
		a.mu.Unlock()
		return 0, err
	}
	clock := a.clock()
	if r := a.runs[req.Task]; r != nil && r.number == req.Run {
		a.mu.Unlock()
		return clock, nil
	}
	if clock > req.Until {
		a.mu.Unlock()
		return clock, &carawayshift.RefusalError{Reason: carawayshift.RefusedLeaseExpired}
	}
	a.extendLease(req.Until)
	if req.Run <= a.lastEnded[req.Task] || a.runs[req.Task] != nil {
		a.mu.Unlock()
		return clock, &carawayshift.RefusalError{Reason: carawayshift.RefusedStaleRun}
	}
	a.startRun(req)
	a.mu.Unlock()
	if a.cfg.OnStart != nil {
		a.cfg.OnStart(req.Task, req.Run)
	}
	return clock, nil
}

// startRun starts a run; the member of a gang first waits for the other members.
// The caller holds a.mu.
func (a *Agent) startRun(req carawayshift.RunRequest) {
	duration, fails := a.cfg.Work(req.Task, req.Run)
	outcome := carawayshift.RunFinished
	if fails {
		outcome = carawayshift.RunFailed
	}
	r := &run{number: req.Run, started: time.Now(), duration: duration, percent: fullSpeed}
	a.runs[req.Task] = r
	time.AfterFunc(time.Until(a.leaseEnd), a.expireLease)
	members := 0
	if a.cfg.Gang != nil {
		members = a.cfg.Gang(req.Task)
	}
	if members == 0 {
		r.timer = time.AfterFunc(duration, func() { a.endRun(req.Task, req.Run, outcome) })
		return
	}
	r.timer = time.AfterFunc(a.cfg.GangTimeout, func() { a.endRun(req.Task, req.Run, carawayshift.RunGangTimeout) })
	a.cfg.Gangs.join(a, req.Task, req.Run, members, duration, outcome)
}

// startMember starts the run of a gang member once the gang is complete. Its own work takes
// duration, that of the gang slowest.
func (a *Agent) startMember(task carawayshift.TaskName, n int, duration, slowest time.Duration, outcome carawayshift.RunOutcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[task]
	if r == nil || r.number != n {
		return
	}
	r.timer.Stop()
	r.started, r.duration = time.Now(), duration
	r.timer = time.AfterFunc(slowest, func() { a.endRun(task, n, outcome) })
}

// expireLease ends all runs if the lease has expired; otherwise it schedules
// itself for the end of the lease.
func (a *Agent) expireLease() {
	a.mu.Lock()
	left := time.Until(a.leaseEnd)
	if left > 0 {
		time.AfterFunc(left, a.expireLease)
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
		a.endRun(task, numbers[i], carawayshift.RunLeaseExpired)
	}
}

// endRun ends a run and adds it to the reported ends.
func (a *Agent) endRun(task carawayshift.TaskName, n int, outcome carawayshift.RunOutcome) {
	a.mu.Lock()
	r := a.runs[task]
	if r == nil || r.number != n {
		a.mu.Unlock()
		return
	}
	delete(a.runs, task)
	a.lastEnded[task] = max(a.lastEnded[task], n)
	r.timer.Stop()
	a.lastNumber++
	a.ended = append(a.ended, carawayshift.EndReport{
		Number: a.lastNumber, RunEnd: carawayshift.RunEnd{Task: task, Run: n, Outcome: outcome},
	})
	a.expiriesAtEnd[a.lastNumber] = a.expiries
	close(a.changed)
	a.changed = make(chan struct{})
	a.mu.Unlock()
	a.notifyEnd(task, n, outcome)
}

func (a *Agent) notifyEnd(task carawayshift.TaskName, n int, outcome carawayshift.RunOutcome) {
	if a.cfg.OnEnd != nil {
		a.cfg.OnEnd(task, n, outcome)
	}
	a.cfg.Gangs.leave(task, n, outcome)
}

// Stop implements carawayshift.AgentClient.
func (a *Agent) Stop(_ context.Context, call carawayshift.AgentCall, task carawayshift.TaskName, n int) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkCall(call); err != nil {
		return 0, err
	}
	if r := a.runs[task]; r != nil && r.number == n {
		time.AfterFunc(a.cfg.StopDuration, func() { a.endRun(task, n, carawayshift.RunStopped) })
	} else {
		a.lastEnded[task] = max(a.lastEnded[task], n)
	}
	return a.clock(), nil
}

// Renew implements carawayshift.AgentClient.
func (a *Agent) Renew(ctx context.Context, call carawayshift.AgentCall, seen uint64, until, wait time.Duration) (carawayshift.AgentStatus, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	a.mu.Lock()
	if err := a.checkCall(call); err != nil {
		a.mu.Unlock()
		return carawayshift.AgentStatus{}, err
	}
	a.extendLease(until)
	a.acknowledge(seen)
	incarnation := a.incarnation
	a.mu.Unlock()
	for {
		a.mu.Lock()
		changed := a.changed
		st := a.status()
		a.mu.Unlock()
		if st.Incarnation != incarnation {
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

// errCrashed simulates the connection that breaks when the runner crashes.
var errCrashed = errors.New("agent.Renew: the runner crashed")

func (a *Agent) acknowledge(seen uint64) {
	for len(a.ended) > 0 && a.ended[0].Number <= seen {
		e := a.ended[0]
		if a.cfg.OnAcknowledge != nil {
			a.cfg.OnAcknowledge(e, a.expiries != a.expiriesAtEnd[e.Number])
		}
		delete(a.expiriesAtEnd, e.Number)
		a.ended = a.ended[1:]
	}
}

// Called reports whether the incarnation has executed a call.
func (a *Agent) Called() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fence > 0
}

// Status returns the runner's status without a call.
func (a *Agent) Status() carawayshift.AgentStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status()
}

func (a *Agent) status() carawayshift.AgentStatus {
	st := carawayshift.AgentStatus{Clock: a.clock(), Incarnation: a.incarnation}
	for task, r := range a.runs {
		percent, duration := 0, r.duration
		if a.cfg.Lasts != nil && a.cfg.Lasts(task) {
			duration = a.cfg.Startup
		}
		if duration > 0 {
			percent = min(100, int(100*time.Since(r.started)/duration))
		}
		load := 0
		if a.cfg.Load != nil {
			load = a.cfg.Load(task)
		}
		st.Running = append(st.Running, carawayshift.RunReport{Task: task, Run: r.number, Percent: percent, Load: load})
	}
	n := len(a.ended)
	if a.cfg.MaxEnds > 0 {
		n = min(n, a.cfg.MaxEnds)
	}
	st.Ended = append(st.Ended, a.ended[:n]...)
	st.MoreEnds = a.cfg.MaxEnds > 0 && n == a.cfg.MaxEnds
	return st
}

// Throttle implements carawayshift.AgentClient. It records the speed: the stand-in always
// runs at full speed.
func (a *Agent) Throttle(_ context.Context, call carawayshift.AgentCall, task carawayshift.TaskName, n, percent int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkCall(call); err != nil {
		return err
	}
	if r := a.runs[task]; r != nil && r.number == n {
		r.percent = percent
	}
	return nil
}

// Speed returns the percentage to which a run was throttled, -1 if there is none.
func (a *Agent) Speed(task carawayshift.TaskName) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.runs[task]; r != nil {
		return r.percent
	}
	return -1
}

// fullSpeed is the speed of a run at its start, in percent.
const fullSpeed = 100

var _ carawayshift.AgentClient = (*Agent)(nil)
