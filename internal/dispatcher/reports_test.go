package dispatcher

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/standin/agent"
)

// An address belongs to the runner that answers there, whichever report comes last.
func TestAddressBelongsToTheRunnerThatAnswers(t *testing.T) {
	older := carawayshift.Agent{ID: "i-a", Incarnation: 1, Sequence: 1, Service: "fit", Zone: "z0", Address: "x"}
	newer := carawayshift.Agent{ID: "i-b", Incarnation: 2, Sequence: 1, Service: "fit", Zone: "z0", Address: "x"}
	moved := older
	moved.Sequence, moved.Address = 2, "y"
	tests := []struct {
		name    string
		up      []carawayshift.Agent
		reports []carawayshift.Agent
		known   []string
	}{
		{"the newer one reports last", []carawayshift.Agent{newer}, []carawayshift.Agent{older, newer}, []string{"i-b"}},
		{"the older one reports last", []carawayshift.Agent{newer}, []carawayshift.Agent{newer, older}, []string{"i-b"}},
		{"the older one has moved", []carawayshift.Agent{newer, moved}, []carawayshift.Agent{older, moved, newer}, []string{"i-a", "i-b"}},
		{"the newer one is not there", []carawayshift.Agent{older}, []carawayshift.Agent{older, newer}, []string{"i-a"}},
		{"the older one is still there", []carawayshift.Agent{older}, []carawayshift.Agent{newer, older}, []string{"i-a"}},
		{"none is there", nil, []carawayshift.Agent{older, newer}, []string{"i-a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 1, 0, func(_ context.Context, r *rig) {
				for _, a := range tt.up {
					r.agents[a.Address] = agent.New(agent.Config{Agent: a})
				}
				time.Sleep(time.Second)
				term := r.leader().current()
				for _, a := range tt.reports {
					term.report(a)
					time.Sleep(100 * time.Millisecond)
				}
				term.mu.Lock()
				defer term.mu.Unlock()
				var known []string
				for id := range term.sessions {
					known = append(known, id)
				}
				NewWithT(t).Expect(known).To(ConsistOf(tt.known))
				NewWithT(t).Expect(term.addresses).To(HaveLen(len(tt.known)))
			})
		})
	}
}

// Another sender's report must not end the session of a runner that works: its runs would
// start elsewhere beside the ones that go on. The runner must also get work afterwards.
func TestReportsOfOthersTakeNoRunnersPlace(t *testing.T) {
	tests := []struct {
		name   string
		change func(a *carawayshift.Agent)
		// first is true if the report is the first one that a new leader gets.
		first bool
	}{
		{"another id, a service that is not in use", func(a *carawayshift.Agent) { a.ID, a.Service = "print-1", "print" }, false},
		{"another id, a newer incarnation", func(a *carawayshift.Agent) { a.ID, a.Incarnation = "i-9", 2 }, false},
		{"another id, an older incarnation", func(a *carawayshift.Agent) { a.ID, a.Incarnation = "i-9", 0 }, false},
		{"a newer incarnation", func(a *carawayshift.Agent) { a.Incarnation = 2 }, false},
		{"another service", func(a *carawayshift.Agent) { a.Service, a.Sequence = "print", 1000 }, false},
		{"another machine", func(a *carawayshift.Agent) { a.Machine, a.Sequence = "m-9", 1000 }, false},
		{"the address of another runner", func(a *carawayshift.Agent) { a.Address, a.Sequence = "i-1", 1000 }, false},
		{"an address without a runner", func(a *carawayshift.Agent) { a.Address, a.Sequence = "i-9", 1000 }, false},
		{"another id, before the runner's own report", func(a *carawayshift.Agent) { a.ID, a.Incarnation = "i-9", 2 }, true},
		{"a service that is not in use, before the runner's own report", func(a *carawayshift.Agent) { a.ID, a.Service = "print-1", "print" }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 1, 2, func(ctx context.Context, r *rig) {
				o := NewWithT(t)
				r.takes = func(carawayshift.TaskName) time.Duration { return 7 * time.Second }
				r.replaceCatalog(carawayshift.Catalog{Number: 1, Services: []carawayshift.Service{{Name: "fit"}}})
				time.Sleep(2 * time.Second)
				r.submit("b", single(8)) // takes all accelerators
				time.Sleep(time.Second)
				foreign := r.agents["i-0"].Report()
				foreign.Sequence = 1
				tt.change(&foreign)
				if tt.first {
					r.recall = func(_ context.Context, handle func(carawayshift.AgentReport)) {
						handle(carawayshift.AgentReport{Agent: foreign, Age: 100 * time.Millisecond})
					}
					r.elect(ctx)
				} else {
					o.Expect(r.leader().Report(foreign)).To(Succeed())
				}
				time.Sleep(9 * time.Second)
				o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
				r.submit("c", single(8))
				time.Sleep(time.Second)
				_, open := r.progress("c")
				o.Expect(open).To(Equal(8))
				time.Sleep(8 * time.Second)
				for task, n := range r.starts {
					o.Expect(n).To(Equal(1), task.String()+r.trace.about(task.String()))
				}
			})
		})
	}
}

// A batch goes on if the catalog no longer names its service, also under a leader that
// has to accept the runners' reports anew.
func TestRunnersOfDroppedServiceFinishTheirBatches(t *testing.T) {
	play(t, 1, 2, func(ctx context.Context, r *rig) {
		o := NewWithT(t)
		r.takes = func(carawayshift.TaskName) time.Duration { return 4 * time.Second }
		r.replaceCatalog(carawayshift.Catalog{Number: 1, Services: []carawayshift.Service{{Name: "fit"}}})
		time.Sleep(2 * time.Second)
		r.submit("b", single(12)) // more than fit at once
		time.Sleep(time.Second)
		r.replaceCatalog(carawayshift.Catalog{Number: 2, Services: []carawayshift.Service{{Name: "print"}}})
		r.elect(ctx)
		time.Sleep(10 * time.Second)
		o.Expect(r.state("b")).To(Equal(carawayshift.BatchFinished))
		for task, n := range r.starts {
			o.Expect(n).To(Equal(1), task.String())
		}
	})
}
