package agent

import (
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

// Gangs starts and ends the members of each gang together. All runners on which
// members of a gang may run share one value.
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
	failed  bool
}

type member struct {
	agent    *Agent
	task     carawayshift.TaskName
	duration time.Duration
}

// NewGangs returns a value without gangs.
func NewGangs() *Gangs { return &Gangs{gangs: map[gangRun]*gang{}} }

func gangRunOf(task carawayshift.TaskName, run int) gangRun {
	task.Index = 0
	return gangRun{task, run}
}

// join adds a member to its gang and starts all members once the gang is
// complete. It ends with its slowest member.
func (g *Gangs) join(a *Agent, task carawayshift.TaskName, run, size int, duration time.Duration, outcome carawayshift.RunOutcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := gangRunOf(task, run)
	if g.gangs[k] == nil {
		g.gangs[k] = &gang{}
	}
	current := g.gangs[k]
	current.members = append(current.members, member{a, task, duration})
	if len(current.members) < size || current.failed {
		return
	}
	slowest := time.Duration(0)
	for _, m := range current.members {
		slowest = max(slowest, m.duration)
	}
	for _, m := range current.members {
		go m.agent.startMember(m.task, run, m.duration, slowest, outcome)
	}
}

// leave ends the other members of the gang when a member ended without finishing.
func (g *Gangs) leave(task carawayshift.TaskName, run int, outcome carawayshift.RunOutcome) {
	if outcome == carawayshift.RunFinished {
		return
	}
	g.mu.Lock()
	current := g.gangs[gangRunOf(task, run)]
	if current == nil || current.failed {
		g.mu.Unlock()
		return
	}
	current.failed = true
	members := current.members
	g.mu.Unlock()
	for _, m := range members {
		if m.task != task {
			go m.agent.endRun(m.task, run, carawayshift.RunGangEnded)
		}
	}
}
