package balance

import (
	"time"

	"carawayshift.example/carawayshift"
)

// Policy is a way to choose a runner.
type Policy int

// Policies. Random and RoundRobin are baselines for measurements: they ignore
// load, slots and failures.
const (
	TwoChoices Policy = iota
	Random
	RoundRobin
)

func (p Policy) String() string {
	return [...]string{"two choices", "random", "round robin"}[p]
}

// pickBlind chooses by a baseline policy. The caller holds the mutex.
func (b *Balancer) pickBlind(name string, runners []carawayshift.Runner, exclude []string) (carawayshift.Runner, func(error, time.Duration), int, error) {
	var left []carawayshift.Runner
	for _, r := range runners {
		if !contains(exclude, r.Name) {
			left = append(left, r)
		}
	}
	if len(left) == 0 {
		return carawayshift.Runner{}, nil, 0, b.unavailable(name, runners, exclude)
	}
	i := b.rnd.IntN(len(left))
	if b.cfg.Policy == RoundRobin {
		i = b.turn % len(left)
		b.turn++
	}
	return left[i], b.start(name, b.target(left[i])), len(left) - 1, nil
}
