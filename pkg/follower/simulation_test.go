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

// simulation is a network of hosts with delays, message loss and broken links, and
// the log of its voters. Host names start with the zone; the voters are v1 and
// v2.
type simulation struct {
	mu          sync.Mutex
	rnd         *rand.Rand
	loss        float64
	brokenLinks map[string]bool
	down        map[string]bool
	handlers    map[string]map[string]carawayshift.Handler
	sources     map[string]*voterLog
	voters      map[string]*Follower
	calls       map[string]int
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 3)), brokenLinks: map[string]bool{}, down: map[string]bool{},
		handlers: map[string]map[string]carawayshift.Handler{}, sources: map[string]*voterLog{}, voters: map[string]*Follower{}, calls: map[string]int{},
	}
	for _, name := range []string{"v1", "v2"} {
		s := &voterLog{changed: make(chan struct{}), leader: "v1"}
		w.sources[name] = s
		s.leaderLog = w.sources["v1"]
		w.voters[name] = New(Config{Host: name, Transport: hostTransport{w, name}, Source: s, Log: s, Logger: discardLogger()})
	}
	return w
}

func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

type hostTransport struct {
	w    *simulation
	host string
}

func (l hostTransport) Handle(method string, fn carawayshift.Handler) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if l.w.handlers[l.host] == nil {
		l.w.handlers[l.host] = map[string]carawayshift.Handler{}
	}
	l.w.handlers[l.host][method] = fn
}

func (l hostTransport) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	unknown := carawayshift.NewError(carawayshift.OutcomeUnknown, "lost", "")
	fn := l.w.transmit(l.host, host, method)
	if fn == nil {
		<-ctx.Done()
		return nil, unknown
	}
	out, err := fn(ctx, l.host, body)
	if l.w.transmit(host, l.host, "") == nil || ctx.Err() != nil {
		<-ctx.Done()
		return nil, unknown
	}
	return out, err
}

// transmit delivers a message and returns the receiver's handler, or nil if the
// message is lost.
func (w *simulation) transmit(from, to, method string) carawayshift.Handler {
	time.Sleep(20 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.brokenLinks[from+">"+to] || w.down[from] || w.down[to] || w.rnd.Float64() < w.loss {
		return nil
	}
	if method == "" {
		return func(context.Context, string, []byte) ([]byte, error) { return nil, nil }
	}
	w.calls[from+">"+to+" "+method]++
	return w.handlers[to][method]
}

func (w *simulation) setFlag(m map[string]bool, key string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m[key] = on
}

// commit appends an entry to the logs of both voters, with a delay of lag on the
// second one.
func (w *simulation) commit(lag time.Duration) uint64 {
	w.sources["v1"].append()
	time.AfterFunc(lag, w.sources["v2"].append)
	return w.sources["v1"].Commit()
}

// voterLog is a voter's log without the entries before first, which were
// compacted.
type voterLog struct {
	mu     sync.Mutex
	commit uint64
	first  uint64
	leader string
	// leaderLog is the log of the leader.
	leaderLog *voterLog
	changed   chan struct{}
}

func (s *voterLog) append() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *voterLog) Entries(from uint64, limit int) (out [][]byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := from; i <= s.commit && len(out) < limit; i++ {
		out = append(out, binary.BigEndian.AppendUint64(nil, i))
	}
	return out, from >= s.first
}

func (s *voterLog) Snapshot() (uint64, []byte) {
	c := s.Commit()
	return c, append(make([]byte, 3*chunkBytes), binary.BigEndian.AppendUint64(nil, c)...)
}

func (s *voterLog) Wait(ctx context.Context, index uint64) error {
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

func (s *voterLog) Commit() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit
}

func (s *voterLog) Propose(_ context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	return carawayshift.Answer{ID: c.ID, Version: 7, Repeated: true}, nil
}

func (s *voterLog) Barrier(context.Context) (uint64, error) { return s.leaderLog.Commit(), nil }

func (s *voterLog) Leader() (string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader, 1
}

// orderChecker is a state machine that records violations of the order of
// entries.
type orderChecker struct {
	last      uint64
	violation string
}

func (c *orderChecker) Apply(index uint64, entry []byte) []byte {
	if index != c.last+1 || binary.BigEndian.Uint64(entry) != index {
		c.violation = "entry out of order"
	}
	c.last = index
	return nil
}

func (c *orderChecker) Snapshot(w io.Writer) error {
	_, err := w.Write(append(make([]byte, 3*chunkBytes), binary.BigEndian.AppendUint64(nil, c.last)...))
	return err
}

func (c *orderChecker) Restore(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil || len(b) != 3*chunkBytes+8 {
		return io.ErrUnexpectedEOF
	}
	last := binary.BigEndian.Uint64(b[len(b)-8:])
	if last < c.last {
		c.violation = "restored an older state"
	}
	c.last = last
	return nil
}
