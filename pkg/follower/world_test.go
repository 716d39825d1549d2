package follower

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

// world is a network of hosts with delays, losses and cuts, and the log of
// its voters. Names start with their zone; the voters are v1 and v2.
type world struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	loss     float64
	cut      map[string]bool
	down     map[string]bool
	handlers map[string]map[string]carawayshift.Handler
	sources  map[string]*source
	voters   map[string]*Follower
	calls    map[string]int
}

func newWorld(seed uint64) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 3)), cut: map[string]bool{}, down: map[string]bool{},
		handlers: map[string]map[string]carawayshift.Handler{}, sources: map[string]*source{}, voters: map[string]*Follower{}, calls: map[string]int{},
	}
	for _, name := range []string{"v1", "v2"} {
		s := &source{changed: make(chan struct{}), leader: "v1"}
		w.sources[name] = s
		s.lead = w.sources["v1"]
		w.voters[name] = New(Config{Host: name, Transport: link{w, name}, Source: s, Log: s, Logger: quiet()})
	}
	return w
}

func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

type link struct {
	w    *world
	host string
}

func (l link) Handle(method string, fn carawayshift.Handler) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if l.w.handlers[l.host] == nil {
		l.w.handlers[l.host] = map[string]carawayshift.Handler{}
	}
	l.w.handlers[l.host][method] = fn
}

func (l link) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	unknown := carawayshift.NewError(carawayshift.OutcomeUnknown, "lost", "")
	fn := l.w.hop(l.host, host, method)
	if fn == nil {
		<-ctx.Done()
		return nil, unknown
	}
	out, err := fn(ctx, l.host, body)
	if l.w.hop(host, l.host, "") == nil || ctx.Err() != nil {
		<-ctx.Done()
		return nil, unknown
	}
	return out, err
}

// hop carries a message and returns the handler at its end, nil if it is lost.
func (w *world) hop(from, to, method string) carawayshift.Handler {
	time.Sleep(20 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[from+">"+to] || w.down[from] || w.down[to] || w.rnd.Float64() < w.loss {
		return nil
	}
	if method == "" {
		return func(context.Context, string, []byte) ([]byte, error) { return nil, nil }
	}
	w.calls[from+">"+to+" "+method]++
	return w.handlers[to][method]
}

func (w *world) set(m map[string]bool, key string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m[key] = on
}

// commit appends an entry on both voters; the second one lags by up to lag.
func (w *world) commit(lag time.Duration) uint64 {
	w.sources["v1"].append()
	time.AfterFunc(lag, w.sources["v2"].append)
	return w.sources["v1"].Commit()
}

// source is a voter's log of which the first entries were compacted away.
type source struct {
	mu     sync.Mutex
	commit uint64
	first  uint64
	leader string
	// lead is the leader's log.
	lead    *source
	changed chan struct{}
}

func (s *source) append() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) Entries(from uint64, limit int) (out [][]byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := from; i <= s.commit && len(out) < limit; i++ {
		out = append(out, binary.BigEndian.AppendUint64(nil, i))
	}
	return out, from >= s.first
}

func (s *source) Snapshot() (uint64, []byte) {
	c := s.Commit()
	return c, append(make([]byte, 3*chunkBytes), binary.BigEndian.AppendUint64(nil, c)...)
}

func (s *source) Wait(ctx context.Context, index uint64) error {
	for {
		s.mu.Lock()
		commit, changed := s.commit, s.changed
		s.mu.Unlock()
		if commit >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *source) Commit() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit
}

func (s *source) Propose(_ context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	return carawayshift.Answer{ID: c.ID, Version: 7, Repeated: true}, nil
}

func (s *source) Barrier(context.Context) (uint64, error) { return s.lead.Commit(), nil }

func (s *source) Leader() (string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader, 1
}

// counter is a state machine that notes every fault in the order of entries.
type counter struct {
	last  uint64
	fault string
}

func (c *counter) Apply(index uint64, entry []byte) []byte {
	if index != c.last+1 || binary.BigEndian.Uint64(entry) != index {
		c.fault = "entry out of order"
	}
	c.last = index
	return nil
}

func (c *counter) Snapshot(w io.Writer) error {
	_, err := w.Write(append(make([]byte, 3*chunkBytes), binary.BigEndian.AppendUint64(nil, c.last)...))
	return err
}

func (c *counter) Restore(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil || len(b) != 3*chunkBytes+8 {
		return io.ErrUnexpectedEOF
	}
	last := binary.BigEndian.Uint64(b[len(b)-8:])
	if last < c.last {
		c.fault = "restored an older state"
	}
	c.last = last
	return nil
}
