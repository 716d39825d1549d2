package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

const (
	// maxRunnersPerCall is the maximum number of runners in one call to the
	// advisor.
	maxRunnersPerCall = 30
	// adviseTimeout bounds one call. The advisor processes calls one after the
	// other.
	adviseTimeout = 5 * time.Second
	// ticketMargin is the part of a ticket's validity that is reserved for
	// committing and sending the start.
	ticketMargin = 500 * time.Millisecond
	// adviseInterval is the minimum time between two calls for the same step.
	adviseInterval = 200 * time.Millisecond
)

// advice is what the advisor has returned about the runners that may run a step.
type advice struct {
	// queried holds the runners that were part of a call, tickets those that
	// got a ticket.
	queried  map[string]bool
	tickets  map[string]ticket
	pending  bool
	lastCall time.Time
}

type ticket struct {
	text    string
	expires time.Time
}

// stepOf returns the key of a task's step: the name of its task with index 0.
func stepOf(n carawayshift.TaskName) carawayshift.TaskName {
	n.Index = 0
	return n
}

// runnersWithTicket returns the runners with a valid ticket for a demand, and
// requests more tickets when there are fewer than waiting tasks. The caller
// holds t.mu.
func (t *leaderTerm) runnersWithTicket(d carawayshift.Demand, agents []carawayshift.Agent, now time.Time) map[string]bool {
	step := stepOf(d.Task(0))
	a := t.advice[step]
	if a == nil {
		a = &advice{queried: map[string]bool{}, tickets: map[string]ticket{}}
		t.advice[step] = a
	}
	valid := map[string]bool{}
	for id, k := range a.tickets {
		if k.expires.After(now.Add(ticketMargin)) {
			valid[id] = true
		}
	}
	if len(valid) < len(d.Indexes) && !a.pending && now.Sub(a.lastCall) > adviseInterval {
		t.requestTickets(step, d, a, agents, now)
	}
	return valid
}

// requestTickets calls the advisor first for the runners whose tickets have
// expired, then for those that were not queried yet. The caller holds t.mu.
func (t *leaderTerm) requestTickets(step carawayshift.TaskName, d carawayshift.Demand, a *advice, agents []carawayshift.Agent, now time.Time) {
	var names []string
	for pass := range 2 {
		for _, g := range agents {
			k, found := a.tickets[g.ID]
			expired := found && !k.expires.After(now.Add(ticketMargin))
			due := pass == 0 && expired || pass == 1 && !a.queried[g.ID]
			if due && g.Service == d.Queue.Service && len(names) < maxRunnersPerCall {
				names = append(names, g.ID)
			}
		}
	}
	if len(names) == 0 {
		return
	}
	a.pending, a.lastCall = true, now
	t.spawn(func() { t.fetchTickets(step, a, names) })
}

func (t *leaderTerm) fetchTickets(step carawayshift.TaskName, a *advice, names []string) {
	ctx, cancel := context.WithTimeout(t.ctx, adviseTimeout)
	defer cancel()
	called := time.Now()
	tickets, validity, err := t.d.cfg.Advisor.Advise(ctx, step, names)
	t.mu.Lock()
	defer t.mu.Unlock()
	a.pending = false
	entry := t.log.WithFields(logrus.Fields{"event": "advised", "task": step.String(), "runners": len(names), "good": len(tickets)})
	if err != nil {
		entry.WithError(err).Warn("advisor call failed")
		return
	}
	entry.Info("advisor returned tickets")
	for _, n := range names {
		a.queried[n] = true
		delete(a.tickets, n)
	}
	for _, k := range tickets {
		a.tickets[k.Runner] = ticket{k.Text, called.Add(validity)}
	}
	t.d.Wake()
}

// ticketFor returns the ticket of a step on a runner, or "" if there is none.
// The caller holds t.mu.
func (t *leaderTerm) ticketFor(task carawayshift.TaskName, runner string) string {
	a := t.advice[stepOf(task)]
	if a == nil {
		return ""
	}
	return a.tickets[runner].text
}

// dropTicket removes a ticket that a runner refused, so that the advisor is
// called for that runner again. The caller holds t.mu.
func (t *leaderTerm) dropTicket(task carawayshift.TaskName, runner string) {
	if a := t.advice[stepOf(task)]; a != nil {
		delete(a.tickets, runner)
		delete(a.queried, runner)
	}
}

// pruneAdvice removes the advice for steps that no longer wait. The caller
// holds t.mu.
func (t *leaderTerm) pruneAdvice(demands []carawayshift.Demand) {
	if len(t.advice) == 0 {
		return
	}
	waiting := map[carawayshift.TaskName]bool{}
	for _, d := range demands {
		waiting[stepOf(d.Task(0))] = true
	}
	for step, a := range t.advice {
		if !waiting[step] && !a.pending && time.Since(a.lastCall) > adviseTimeout {
			delete(t.advice, step)
		}
	}
}
