// Package balance chooses the runner of a request: of two random candidates
// with a free slot, the one with the lower expected wait. It divides each
// runner's slots among the zone's hosts, lets a host use the idle slots of
// others, ejects runners by success rate and probes them before they return.
//
// # Usage
//
//	b := balance.New(balance.Config{Runners: pool.Runners, PeerInFlight: pool.PeerInFlight, Rank: pool.Rank})
//	r, done, alternatives, err := b.Pick("fitting", nil)
//	answer, err := pool.Send(ctx, r, q)
//	done(err, time.Since(start))
//
// Call done with nil after a success. A context.Canceled error means that the
// caller has disconnected and nothing is known about the runner.
package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// Config holds the settings of a Balancer. Zero values select the defaults.
type Config struct {
	// Runners returns the runners of a service that accept requests.
	Runners func(service string) []carawayshift.Runner
	// PeerInFlight returns the number of requests that other hosts have in
	// flight at a runner.
	PeerInFlight func(name string) int
	// Rank returns this host's rank among the zone's hosts and their number.
	Rank func() (rank, hosts int)
	// MinInUse is the fraction of a service's runners that is never ejected.
	MinInUse float64
	// Cooldown is the time from the first ejection to the first probe.
	Cooldown time.Duration
	Policy   Policy
	// Seed makes the choices reproducible; 0 means a random seed.
	Seed uint64
}

const (
	defaultMinInUse = 0.5
	defaultCooldown = 5 * time.Second
)

// Balancer chooses among the runners of all services.
type Balancer struct {
	cfg    Config
	onFree func(service string)

	mu             sync.Mutex
	rnd            *rand.Rand
	targets        map[string]*target
	services       map[string]*service
	nextRoundRobin int
	// own and full are buffers that candidates reuses.
	own, full []candidate
}

// service holds the state shared by the runners of one service.
type service struct {
	mean mean
}

// New returns a balancer without history.
func New(cfg Config) *Balancer {
	if cfg.PeerInFlight == nil {
		cfg.PeerInFlight = func(string) int { return 0 }
	}
	if cfg.Rank == nil {
		cfg.Rank = func() (int, int) { return 0, 1 }
	}
	if cfg.MinInUse <= 0 {
		cfg.MinInUse = defaultMinInUse
	}
	if cfg.Cooldown <= 0 {
		cfg.Cooldown = defaultCooldown
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	return &Balancer{
		cfg:      cfg,
		onFree:   func(string) {},
		rnd:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		targets:  map[string]*target{},
		services: map[string]*service{},
	}
}

// OnFree sets a function that is called, without locks held, when a slot of a
// service may have become free. Call it before the first Pick.
func (b *Balancer) OnFree(fn func(service string)) { b.onFree = fn }

// Pick implements carawayshift.Balancer. It never chooses an ejected runner.
func (b *Balancer) Pick(name string, exclude []string) (carawayshift.Runner, func(error, time.Duration), int, error) {
	runners := b.cfg.Runners(name)
	now := time.Now()
	rank, hosts := b.cfg.Rank()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cfg.Policy != TwoChoices {
		return b.pickBaseline(name, runners, exclude)
	}
	free := b.candidates(runners, exclude, now, rank, hosts)
	if len(free) == 0 {
		return carawayshift.Runner{}, nil, 0, b.unavailable(name, runners, exclude)
	}
	c := b.pickOfTwo(name, free)
	return *c.runner, b.startRequest(name, c.target), len(free) - 1, nil
}

// Probe chooses an ejected runner whose cooldown has passed and that has no
// probe in flight. Send it only requests that may be executed twice.
func (b *Balancer) Probe(name string, exclude []string) (carawayshift.Runner, func(error, time.Duration), bool) {
	runners := b.cfg.Runners(name)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range runners {
		t := b.target(r)
		if t.ejected && now.After(t.probeAfter) && r.Seen.After(t.lastUnreachable) && t.inflight == 0 && !contains(exclude, r.Name) {
			return r, b.startRequest(name, t), true
		}
	}
	return carawayshift.Runner{}, nil, false
}

// Usable returns the number of runners that a request may wait for.
func (b *Balancer) Usable(name string, exclude []string) int {
	runners := b.cfg.Runners(name)
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range runners {
		if b.target(r).usable(r) && !contains(exclude, r.Name) {
			n++
		}
	}
	return n
}

// candidate is a runner with a free slot.
type candidate struct {
	runner   *carawayshift.Runner
	target   *target
	inFlight int
}

// candidates lists the runners with an idle slot in this host's share. If there
// are none, it lists those that have an idle slot according to the counts of
// the other hosts. These counts are up to 500 ms old, so if hosts used each
// other's slots first, all of them would send to the runner that last looked
// idle.
func (b *Balancer) candidates(runners []carawayshift.Runner, exclude []string, now time.Time, rank, hosts int) []candidate {
	b.own, b.full = b.own[:0], b.full[:0]
	for i := range runners {
		r := &runners[i]
		t := b.target(*r)
		if !t.usable(*r) || contains(exclude, r.Name) {
			continue
		}
		c := candidate{r, t, t.inflight + t.penalties(now)}
		if c.inFlight < slotShare(*r, rank, hosts) {
			b.own = append(b.own, c)
		} else if c.inFlight < r.Slots {
			b.full = append(b.full, c)
		}
	}
	if len(b.own) > 0 {
		return b.own
	}
	borrowable := b.full[:0]
	for _, c := range b.full {
		if b.total(c) < c.runner.Slots {
			borrowable = append(borrowable, c)
		}
	}
	return borrowable
}

// total returns the number of requests that all hosts have in flight at a
// candidate.
func (b *Balancer) total(c candidate) int {
	return c.inFlight + b.cfg.PeerInFlight(c.runner.Name)
}

// pickOfTwo chooses two random candidates and returns the one with the lower
// expected time to a response.
func (b *Balancer) pickOfTwo(name string, free []candidate) candidate {
	i := b.rnd.IntN(len(free))
	if len(free) == 1 {
		return free[i]
	}
	j := b.rnd.IntN(len(free) - 1)
	if j >= i {
		j++
	}
	mean := b.service(name).mean.value()
	if b.expectedTime(free[j], mean) < b.expectedTime(free[i], mean) {
		return free[j]
	}
	return free[i]
}

// expectedTime is the expected time to a response in seconds: the runner's mean
// time, scaled up by its load and by the number of attempts that its success
// rate requires.
func (b *Balancer) expectedTime(c candidate, mean float64) float64 {
	m := c.target.mean.valueOr(mean)
	if m == 0 {
		m = 1
	}
	load := float64(b.total(c)+1) / float64(c.runner.Slots)
	return m * (1 + load) / max(c.target.successRate(), minSuccessRate)
}

// slotShare returns the number of a runner's slots that this host uses first.
// The remainder of the division goes to different hosts for different runners.
func slotShare(r carawayshift.Runner, rank, hosts int) int {
	if hosts <= 1 {
		return r.Slots
	}
	n := r.Slots / hosts
	if (rank+int(hash(r.Name)%uint64(hosts)))%hosts < r.Slots%hosts {
		n++
	}
	return n
}

// startRequest counts a request as in flight. The caller holds the mutex.
func (b *Balancer) startRequest(name string, t *target) func(error, time.Duration) {
	t.inflight++
	var once sync.Once
	return func(err error, elapsed time.Duration) {
		once.Do(func() {
			b.finishRequest(name, t, err, elapsed)
			b.onFree(name)
		})
	}
}

// finishRequest records the result in the history of the runner's incarnation
// that got the request. A newer incarnation may have a history of its own by
// then.
func (b *Balancer) finishRequest(name string, t *target, err error, elapsed time.Duration) {
	runners := b.cfg.Runners(name)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	t.inflight--
	if errors.Is(err, context.Canceled) {
		return
	}
	s := b.service(name)
	if err == nil {
		t.mean.add(elapsed)
		s.mean.add(elapsed)
	}
	t.record(err == nil)
	if carawayshift.KindOf(err) == carawayshift.NotRun {
		t.lastUnreachable = now
	}
	if err != nil {
		t.addPenalty(now, time.Duration(s.mean.value()*float64(time.Second)))
	}
	if b.cfg.Policy == TwoChoices {
		b.updateEjection(t, runners, now, err == nil)
	}
}

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// target returns the history of a runner, a new one for a new incarnation.
func (b *Balancer) target(r carawayshift.Runner) *target {
	t := b.targets[r.Name]
	if t == nil || t.incarnation != r.Incarnation {
		t = &target{incarnation: r.Incarnation}
		b.targets[r.Name] = t
	}
	return t
}

func (b *Balancer) unavailable(name string, runners []carawayshift.Runner, exclude []string) error {
	text := "all slots of service " + name + " are taken"
	if len(runners) <= len(exclude) {
		text = "no runner of service " + name + " is left to try"
	}
	return carawayshift.NewError(carawayshift.Unavailable, text, "start runners of the service or send the request later")
}

// Estimate returns the mean time of a request of the service, 0 if unknown, and
// the number of requests that this host can expect to run at once.
func (b *Balancer) Estimate(name string) (time.Duration, float64) {
	runners := b.cfg.Runners(name)
	_, hosts := b.cfg.Rank()
	b.mu.Lock()
	defer b.mu.Unlock()
	slots := 0
	for _, r := range runners {
		if !b.target(r).ejected {
			slots += r.Slots
		}
	}
	mean := time.Duration(b.service(name).mean.value() * float64(time.Second))
	return mean, float64(slots) / float64(hosts)
}

// InFlight returns this host's in-flight counts by runner name, without zeros.
func (b *Balancer) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for name, t := range b.targets {
		if t.inflight > 0 {
			out[name] = t.inflight
		}
	}
	return out
}

// Forget removes the history of runners that are not in the given list. Call it
// periodically with all known runners.
func (b *Balancer) Forget(known []carawayshift.Runner) {
	names := map[string]bool{}
	for _, r := range known {
		names[r.Name] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, t := range b.targets {
		if !names[name] && t.inflight == 0 {
			delete(b.targets, name)
		}
	}
}

// Ejected returns the names of the ejected runners of a service.
func (b *Balancer) Ejected(name string) []string {
	runners := b.cfg.Runners(name)
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, r := range runners {
		if b.target(r).ejected {
			out = append(out, r.Name)
		}
	}
	return out
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
