package dispatcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

const (
	// adviseAtOnce is the number of runners in one call for advice.
	adviseAtOnce = 30
	// adviseTimeout bounds one call; the service answers in turn.
	adviseTimeout = 5 * time.Second
	// ticketReserve is kept of a ticket's validity for the commit and start.
	ticketReserve = 500 * time.Millisecond
	// advisePause keeps calls for one step apart.
	advisePause = 200 * time.Millisecond
)

// advice is what is known of the runners that may run a step.
type advice struct {
	// asked holds the runners that were named, good those with a ticket.
	asked map[string]bool
	good  map[string]ticket
	busy  bool
	last  time.Time
}

type ticket struct {
	text  string
	until time.Time
}

// stepOf names a step: the task with index 0.
func stepOf(n carawayshift.TaskName) carawayshift.TaskName {
	n.Index = 0
	return n
}

// allowed returns the runners with a valid ticket for a demand, and asks for
// more when they are too few. It needs t.mu.
func (t *tenure) allowed(d carawayshift.Demand, agents []carawayshift.Agent, now time.Time) map[string]bool {
	step := stepOf(d.Task(0))
	a := t.advice[step]
	if a == nil {
		a = &advice{asked: map[string]bool{}, good: map[string]ticket{}}
		t.advice[step] = a
	}
	list := map[string]bool{}
	for id, k := range a.good {
		if k.until.After(now.Add(ticketReserve)) {
			list[id] = true
		}
	}
	if len(list) < len(d.Indexes) && !a.busy && now.Sub(a.last) > advisePause {
		t.ask(step, d, a, agents, now)
	}
	return list
}

// ask names runners whose tickets have expired, and then ones that were not
// named yet. It needs t.mu.
func (t *tenure) ask(step carawayshift.TaskName, d carawayshift.Demand, a *advice, agents []carawayshift.Agent, now time.Time) {
	var names []string
	for pass := range 2 {
		for _, g := range agents {
			k, good := a.good[g.ID]
			expired := good && !k.until.After(now.Add(ticketReserve))
			wanted := pass == 0 && expired || pass == 1 && !a.asked[g.ID]
			if wanted && g.Service == d.Queue.Service && len(names) < adviseAtOnce {
				names = append(names, g.ID)
			}
		}
	}
	if len(names) == 0 {
		return
	}
	a.busy, a.last = true, now
	t.spawn(func() { t.advise(step, a, names) })
}

func (t *tenure) advise(step carawayshift.TaskName, a *advice, names []string) {
	ctx, cancel := context.WithTimeout(t.ctx, adviseTimeout)
	defer cancel()
	asked := time.Now()
	tickets, valid, err := t.d.cfg.Advisor.Advise(ctx, step, names)
	t.mu.Lock()
	defer t.mu.Unlock()
	a.busy = false
	entry := t.log.WithFields(logrus.Fields{"event": "advised", "task": step.String(), "runners": len(names), "good": len(tickets)})
	if err != nil {
		entry.WithError(err).Warn("no advice")
		return
	}
	entry.Info("advice taken")
	for _, n := range names {
		a.asked[n] = true
		delete(a.good, n)
	}
	for _, k := range tickets {
		a.good[k.Runner] = ticket{k.Text, asked.Add(valid)}
	}
	t.d.Wake()
}

// ticketFor returns the ticket of a step on a runner, "" without one. It needs
// t.mu.
func (t *tenure) ticketFor(task carawayshift.TaskName, runner string) string {
	a := t.advice[stepOf(task)]
	if a == nil {
		return ""
	}
	return a.good[runner].text
}

// dropTicket forgets a ticket that a runner refused. It needs t.mu.
func (t *tenure) dropTicket(task carawayshift.TaskName, runner string) {
	if a := t.advice[stepOf(task)]; a != nil {
		delete(a.good, runner)
		delete(a.asked, runner)
	}
}

// forgetAdvice drops what is known of steps that no longer wait. It needs
// t.mu.
func (t *tenure) forgetAdvice(demands []carawayshift.Demand) {
	if len(t.advice) == 0 {
		return
	}
	waiting := map[carawayshift.TaskName]bool{}
	for _, d := range demands {
		waiting[stepOf(d.Task(0))] = true
	}
	for step, a := range t.advice {
		if !waiting[step] && !a.busy && time.Since(a.last) > adviseTimeout {
			delete(t.advice, step)
		}
	}
}
