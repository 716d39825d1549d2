package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

// simulation is a deployment with an actual leader and zone state, and a network
// that delays, drops and repeats messages. A frozen host sends and handles
// nothing until it resumes.
type simulation struct {
	mu          sync.Mutex
	rnd         *rand.Rand
	loss        float64
	delay       time.Duration
	brokenLinks map[string]bool
	frozen      map[string]chan struct{}
	hosts       map[string]map[string]carawayshift.Handler
	leader      string
	term        uint64
	out         bool
	index       uint64
	// views holds the state that each host has applied.
	views map[string]appliedState
}

// appliedState is the leadership and zone state that a host has applied up to an
// index.
type appliedState struct {
	index  uint64
	leader string
	term   uint64
	out    bool
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		rnd: rand.New(rand.NewPCG(seed, 7)), delay: 20 * time.Millisecond, brokenLinks: map[string]bool{},
		frozen: map[string]chan struct{}{}, hosts: map[string]map[string]carawayshift.Handler{}, views: map[string]appliedState{},
	}
}

type hostTransport struct {
	w    *simulation
	host string
}

func (l hostTransport) Handle(method string, fn carawayshift.Handler) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if l.w.hosts[l.host] == nil {
		l.w.hosts[l.host] = map[string]carawayshift.Handler{}
	}
	l.w.hosts[l.host][method] = fn
}

type callResult struct {
	body []byte
	err  error
}

func (l hostTransport) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	done := make(chan callResult, 2)
	go l.w.deliver(l.host, host, method, body, done)
	if l.w.chance(l.w.loss) {
		time.AfterFunc(l.w.randDuration(5*time.Second), func() { l.w.deliver(l.host, host, method, body, done) })
	}
	select {
	case o := <-done:
		return o.body, o.err
	case <-ctx.Done():
		return nil, carawayshift.NewError(carawayshift.OutcomeUnknown, "lost", "")
	}
}

// deliver passes one copy of a message to its handler, however late, and returns
// the response.
func (w *simulation) deliver(from, to, method string, body []byte, done chan callResult) {
	if !w.transmit(from, to) {
		return
	}
	w.mu.Lock()
	fn := w.hosts[to][method]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out, err := fn(ctx, from, body)
	if !w.transmit(to, from) {
		return
	}
	select {
	case done <- callResult{out, err}:
	default:
	}
}

func (w *simulation) transmit(from, to string) bool {
	w.waitWhileFrozen(from)
	w.mu.Lock()
	lost := w.brokenLinks[from+">"+to] || w.rnd.Float64() < w.loss
	late := w.rnd.Float64() < w.loss
	w.mu.Unlock()
	if lost {
		return false
	}
	d := w.delay + w.randDuration(w.delay)
	if late {
		d += w.randDuration(3 * time.Second)
	}
	time.Sleep(d)
	w.waitWhileFrozen(to)
	return true
}

func (w *simulation) waitWhileFrozen(host string) {
	w.mu.Lock()
	c := w.frozen[host]
	w.mu.Unlock()
	if c != nil {
		<-c
	}
}

func (w *simulation) freeze(host string, d time.Duration) {
	c := make(chan struct{})
	w.mu.Lock()
	w.frozen[host] = c
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	delete(w.frozen, host)
	w.mu.Unlock()
	close(c)
}

func (w *simulation) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Float64() < p
}

func (w *simulation) randDuration(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rnd.Int64N(int64(d) + 1))
}

// elect changes the leader. The other hosts, including the previous leader,
// learn of it up to lag later.
func (w *simulation) elect(host string, lag time.Duration) {
	w.mu.Lock()
	w.leader, w.term, w.index = host, w.term+1, w.index+1
	w.mu.Unlock()
	w.propagate(lag)
}

// drain takes the zone out of service or back in. The leader applies it
// immediately, the other hosts up to lag later.
func (w *simulation) drain(out bool, lag time.Duration) {
	w.mu.Lock()
	w.out, w.index = out, w.index+1
	w.mu.Unlock()
	w.propagate(lag)
}

func (w *simulation) propagate(lag time.Duration) {
	w.mu.Lock()
	v := appliedState{w.index, w.leader, w.term, w.out}
	w.views[v.leader] = v
	w.mu.Unlock()
	for _, host := range hostNames {
		time.AfterFunc(w.randDuration(lag), func() { w.applyView(host, v) })
	}
}

func (w *simulation) applyView(host string, v appliedState) {
	w.waitWhileFrozen(host)
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.index > w.views[host].index {
		w.views[host] = v
	}
}

func (w *simulation) view(host string) appliedState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.views[host]
}

// confirm takes one round trip to the voters. The host must be the leader in the
// middle of it.
func (w *simulation) confirm(host string) (uint64, error) {
	w.waitWhileFrozen(host)
	time.Sleep(w.randDuration(2 * w.delay))
	w.mu.Lock()
	leads, v := w.leader == host, appliedState{w.index, w.leader, w.term, w.out}
	if leads {
		w.views[host] = v
	}
	w.mu.Unlock()
	time.Sleep(w.randDuration(2 * w.delay))
	w.waitWhileFrozen(host)
	if !leads {
		return 0, carawayshift.NewError(carawayshift.Unavailable, "not the leader", "")
	}
	return v.term, nil
}
