package agent

import (
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

// Gangs is where the members of gangs meet.
type Gangs struct {
	mu    sync.Mutex
	gangs map[gangRun]*gang
}

type gangRun struct {
	step carawayshift.TaskName
	run  int
}

type gang struct {
	members []member
	broken  bool
}

type member struct {
	agent *Agent
	task  carawayshift.TaskName
}

// NewGangs returns a meeting place.
func NewGangs() *Gangs { return &Gangs{gangs: map[gangRun]*gang{}} }

func keyOf(task carawayshift.TaskName, run int) gangRun {
	task.Index = 0
	return gangRun{task, run}
}

// join adds a member; the last one makes all of them work.
func (g *Gangs) join(a *Agent, task carawayshift.TaskName, run, size int, takes time.Duration, how carawayshift.RunOutcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := keyOf(task, run)
	if g.gangs[k] == nil {
		g.gangs[k] = &gang{}
	}
	x := g.gangs[k]
	x.members = append(x.members, member{a, task})
	if len(x.members) < size || x.broken {
		return
	}
	for _, m := range x.members {
		go m.agent.work(m.task, run, takes, how)
	}
}

// leave ends the gang when a member ended in any other way than by finishing.
func (g *Gangs) leave(task carawayshift.TaskName, run int, how carawayshift.RunOutcome) {
	if how == carawayshift.RunFinished {
		return
	}
	g.mu.Lock()
	x := g.gangs[keyOf(task, run)]
	if x == nil || x.broken {
		g.mu.Unlock()
		return
	}
	x.broken = true
	list := x.members
	g.mu.Unlock()
	for _, m := range list {
		if m.task != task {
			go m.agent.end(m.task, run, carawayshift.RunGangEnded)
		}
	}
}
