package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carawayshift.example/carawayshift"
)

// world is a deployment with a true leader and a true state of the zone, over
// a network that delays, drops and repeats messages. A frozen host sends and
// handles nothing until it wakes.
type world struct {
	mu     sync.Mutex
	rnd    *rand.Rand
	loss   float64
	delay  time.Duration
	cut    map[string]bool
	frozen map[string]chan struct{}
	hosts  map[string]map[string]carawayshift.Handler
	leader string
	term   uint64
	out    bool
	index  uint64
	// seen is the leadership that each host believes in.
	seen map[string]view
}

// view is the state that a host has applied up to an index.
type view struct {
	index  uint64
	leader string
	term   uint64
	out    bool
}

func newWorld(seed uint64) *world {
	return &world{
		rnd: rand.New(rand.NewPCG(seed, 7)), delay: 20 * time.Millisecond, cut: map[string]bool{},
		frozen: map[string]chan struct{}{}, hosts: map[string]map[string]carawayshift.Handler{}, seen: map[string]view{},
	}
}

// link is the transport of one host.
type link struct {
	w    *world
	host string
}

func (l link) Handle(method string, fn carawayshift.Handler) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if l.w.hosts[l.host] == nil {
		l.w.hosts[l.host] = map[string]carawayshift.Handler{}
	}
	l.w.hosts[l.host][method] = fn
}

type outcome struct {
	body []byte
	err  error
}

func (l link) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	done := make(chan outcome, 2)
	go l.w.carry(l.host, host, method, body, done)
	if l.w.chance(l.w.loss) {
		time.AfterFunc(l.w.upTo(5*time.Second), func() { l.w.carry(l.host, host, method, body, done) })
	}
	select {
	case o := <-done:
		return o.body, o.err
	case <-ctx.Done():
		return nil, carawayshift.NewError(carawayshift.OutcomeUnknown, "lost", "")
	}
}

// carry brings one copy of a message to its handler, however late, and the
// answer back.
func (w *world) carry(from, to, method string, body []byte, done chan outcome) {
	if !w.hop(from, to) {
		return
	}
	w.mu.Lock()
	fn := w.hosts[to][method]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out, err := fn(ctx, from, body)
	if !w.hop(to, from) {
		return
	}
	select {
	case done <- outcome{out, err}:
	default:
	}
}

func (w *world) hop(from, to string) bool {
	w.awake(from)
	w.mu.Lock()
	lost := w.cut[from+">"+to] || w.rnd.Float64() < w.loss
	late := w.rnd.Float64() < w.loss
	w.mu.Unlock()
	if lost {
		return false
	}
	d := w.delay + w.upTo(w.delay)
	if late {
		d += w.upTo(3 * time.Second)
	}
	time.Sleep(d)
	w.awake(to)
	return true
}

func (w *world) awake(host string) {
	w.mu.Lock()
	c := w.frozen[host]
	w.mu.Unlock()
	if c != nil {
		<-c
	}
}

func (w *world) freeze(host string, d time.Duration) {
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

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Float64() < p
}

func (w *world) upTo(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rnd.Int64N(int64(d) + 1))
}

// elect changes the leader; the other hosts learn it up to lag later, the
// deposed leader among them.
func (w *world) elect(host string, lag time.Duration) {
	w.mu.Lock()
	w.leader, w.term, w.index = host, w.term+1, w.index+1
	w.mu.Unlock()
	w.spread(lag)
}

// drain takes the zone out or back in; it is applied at the leader at once.
func (w *world) drain(out bool, lag time.Duration) {
	w.mu.Lock()
	w.out, w.index = out, w.index+1
	w.mu.Unlock()
	w.spread(lag)
}

func (w *world) spread(lag time.Duration) {
	w.mu.Lock()
	v := view{w.index, w.leader, w.term, w.out}
	w.seen[v.leader] = v
	w.mu.Unlock()
	for _, host := range hostNames {
		time.AfterFunc(w.upTo(lag), func() { w.learn(host, v) })
	}
}

func (w *world) learn(host string, v view) {
	w.awake(host)
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.index > w.seen[host].index {
		w.seen[host] = v
	}
}

func (w *world) view(host string) view {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen[host]
}

// confirm takes one round trip to the voters; the host must lead at the
// moment in its middle.
func (w *world) confirm(host string) (uint64, error) {
	w.awake(host)
	time.Sleep(w.upTo(2 * w.delay))
	w.mu.Lock()
	leads, v := w.leader == host, view{w.index, w.leader, w.term, w.out}
	if leads {
		w.seen[host] = v
	}
	w.mu.Unlock()
	time.Sleep(w.upTo(2 * w.delay))
	w.awake(host)
	if !leads {
		return 0, carawayshift.NewError(carawayshift.Unavailable, "not the leader", "")
	}
	return v.term, nil
}
