package leaderclient

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// sightingLife is how long a report is kept; leaders take none that is older
// than a few heartbeats.
const sightingLife = 10 * time.Second

// sightings keeps the last report of each runner that this host has brought to
// a leader.
type sightings struct {
	mu   sync.Mutex
	last map[string]sighting
}

type sighting struct {
	agent carawayshift.Agent
	at    time.Time
}

func newSightings() *sightings { return &sightings{last: map[string]sighting{}} }

// note keeps a report unless a later one of the same life is known.
func (s *sightings) note(a carawayshift.Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.last[a.ID]
	if known && before.agent.Incarnation == a.Incarnation && before.agent.Sequence > a.Sequence {
		return
	}
	s.last[a.ID] = sighting{a, time.Now()}
}

func (s *sightings) drop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.last, id)
}

// prune forgets what is too old.
func (s *sightings) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.last, func(_ string, x sighting) bool { return time.Since(x.at) > sightingLife })
}

// list returns what is not too old.
func (s *sightings) list() []carawayshift.AgentReport {
	s.prune()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]carawayshift.AgentReport, 0, len(s.last))
	for _, x := range s.last {
		list = append(list, carawayshift.AgentReport{Agent: x.agent, Age: time.Since(x.at)})
	}
	return list
}

// Recall asks all control hosts for the reports that they have passed on
// lately, so that a new leader knows the runners before they report again. It
// calls take for each, from several goroutines, and returns when all hosts
// have answered or ctx has ended.
func (r *Relay) Recall(ctx context.Context, take func(carawayshift.AgentReport)) {
	for _, x := range r.sightings.list() {
		take(x)
	}
	var wg sync.WaitGroup
	for _, host := range r.Known() {
		wg.Go(func() {
			asked := time.Now()
			a, err := r.ask(ctx, host, request{Op: opRecall})
			if err == nil {
				err = a.err()
			}
			if err != nil {
				r.cfg.Logger.WithError(err).WithFields(logrus.Fields{"event": "reports not recalled", "peer": host}).Info("its runners are known once they report again")
				return
			}
			for _, x := range a.Sightings {
				x.Age += time.Since(asked)
				take(x)
			}
		})
	}
	wg.Wait()
}
