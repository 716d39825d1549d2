package balance

import (
	"time"

	"carawayshift.example/carawayshift"
)

// Policy is an algorithm that chooses a runner.
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

// pickBaseline chooses by one of the baseline policies. The caller holds the
// mutex.
func (b *Balancer) pickBaseline(name string, runners []carawayshift.Runner, exclude []string) (carawayshift.Runner, func(error, time.Duration), int, error) {
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
		i = b.nextRoundRobin % len(left)
		b.nextRoundRobin++
	}
	return left[i], b.startRequest(name, b.target(left[i])), len(left) - 1, nil
}
