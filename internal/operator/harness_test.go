package operator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/queryclient"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/pkg/placement"
)

// fakeLog is a Log that applies each command immediately.
type fakeLog struct {
	mu      sync.Mutex
	machine *state.Machine
	index   uint64
	// dropNextAnswer loses the next answer after its command was applied;
	// noLeader refuses all calls as if no leader could be reached.
	dropNextAnswer, noLeader bool
	// dropEvery, when not 0, loses the answer at each multiple of this index.
	dropEvery uint64
	// noLeaderFrom, when not 0, refuses the entry at this index and all later
	// ones.
	noLeaderFrom uint64
	latency      time.Duration
}

func (l *fakeLog) Propose(_ context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	time.Sleep(l.latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.noLeader || l.noLeaderFrom > 0 && l.index+1 >= l.noLeaderFrom {
		return carawayshift.Answer{}, carawayshift.NewError(carawayshift.NotRun, "no leader can be reached", "send it again later")
	}
	entry, err := carawayshift.Encode(c)
	if err != nil {
		return carawayshift.Answer{}, err
	}
	l.index++
	var a carawayshift.Answer
	err = carawayshift.Decode(l.machine.Apply(l.index, entry), &a)
	if l.dropNextAnswer || l.dropEvery > 0 && l.index%l.dropEvery == 0 {
		l.dropNextAnswer = false
		return carawayshift.Answer{}, carawayshift.NewError(carawayshift.OutcomeUnknown, "the connection closed", "resend with the same id")
	}
	return a, err
}

func (l *fakeLog) Barrier(ctx context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.noLeader {
		return 0, carawayshift.NewError(carawayshift.Unavailable, "no leader", "")
	}
	return l.index, ctx.Err()
}

func (l *fakeLog) Leader() (string, uint64) { return "e1", 3 }

// session is a state machine with a handler, and records the statements of
// operators and the replies.
type session struct {
	machine *state.Machine
	log     *fakeLog
	handler *Handler
	workers []carawayshift.Worker
	// disconnected holds the last reports of disconnected hosts, disconnectedAt
	// their times.
	disconnected   map[string]HostVersion
	disconnectedAt map[string]time.Time
	statements     int
	id             string
	out            bytes.Buffer
}

// newSession returns a session at 01:00 with two workers in each of two zones.
func newSession() *session {
	time.Sleep(time.Until(time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)))
	s := &session{machine: state.New(placement.New().CheckGuarantees), disconnected: map[string]HostVersion{}, disconnectedAt: map[string]time.Time{}}
	s.log = &fakeLog{machine: s.machine}
	for _, name := range []string{"belmont-w1", "belmont-w2", "laventille-w1", "laventille-w2"} {
		zone, _, _ := bytes.Cut([]byte(name), []byte("-"))
		s.workers = append(s.workers, carawayshift.Worker{Name: name, Zone: string(zone), Rack: "r1", Cores: 30, Memory: 65536, Accelerators: 8, Seen: time.Now()})
	}
	s.handler = New(Config{
		Log: s.log, State: s.machine.State, Wait: s.machine.Wait, Planner: placement.New(),
		Workers: func() []carawayshift.Worker { return s.workers }, Hosts: s.hosts,
	})
	return s
}

func (s *session) hosts(context.Context) []HostVersion {
	hosts := []HostVersion{}
	for _, name := range []string{"e1", "e2", "e3"} {
		host, ok := s.disconnected[name]
		if ok {
			host.Age = time.Since(s.disconnectedAt[name])
		} else {
			host = HostVersion{Name: name, Version: s.machine.Version()}
		}
		hosts = append(hosts, host)
	}
	return hosts
}

func (s *session) disconnect(name string) {
	s.disconnected[name] = HostVersion{Name: name, Version: s.machine.State().Version}
	s.disconnectedAt[name] = time.Now()
	s.printf("%s is cut off", name)
}

func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(&s.out, "-- "+format+"\n", args...)
}

// RoundTrip passes a request to the handler in process.
func (s *session) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// submit sends a statement of an operator under a new id.
func (s *session) submit(operator, text string) {
	s.statements++
	s.id = fmt.Sprintf("%s-%d", operator, s.statements)
	s.resend(operator, text)
}

// resend sends a statement under the id of the last one. The shell knows one
// host and retries there.
func (s *session) resend(operator, text string) {
	fmt.Fprintf(&s.out, "%s> %s\n", operator, text)
	sh := queryclient.Shell{
		Hosts: []string{"http://e1"}, Operator: operator, Out: &s.out,
		Client: &http.Client{Transport: s}, NewID: func() string { return s.id },
	}
	// The error of a refused statement is part of the printed reply.
	_ = sh.Run(context.Background(), text)
}

func (s *session) advance(d time.Duration) {
	time.Sleep(d)
	s.printf("%s", time.Now().UTC().Format("15:04:05"))
}

func (s *session) propose(kind carawayshift.CommandKind, ch carawayshift.JobChange) {
	c := carawayshift.Command{Kind: kind, At: time.Now(), Change: &ch, Workers: s.workers}
	a, err := s.log.Propose(context.Background(), c)
	if err != nil || a.Kind != "" {
		s.printf("scheduler: %s %d refused: %s %v", kind, ch.ID, a.Error, err)
		return
	}
	s.printf("scheduler: %s %d %s", kind, ch.ID, ch.Reason)
}

// executePlan executes one plan as the scheduler and the zones do.
func (s *session) executePlan() {
	now, st := time.Now(), s.machine.State()
	plan := placement.New().Plan(now, state.View(now, st, s.workers))
	for _, k := range plan.Parks {
		s.propose(carawayshift.ParkJob, carawayshift.JobChange{ID: k.Job, Attempt: st.Jobs[k.Job].Attempt, Reason: k.Reason})
	}
	for _, p := range plan.Stops {
		s.propose(carawayshift.StopJob, carawayshift.JobChange{ID: p.Job, Attempt: p.Attempt, Reason: p.Reason})
	}
	for _, p := range plan.Starts {
		attempt := st.Jobs[p.Job].Attempt + 1
		s.propose(carawayshift.PlaceJob, carawayshift.JobChange{ID: p.Job, Attempt: attempt, Zone: p.Zone, Placements: p.Placements, Borrowed: p.Borrowed, Reason: p.Reason})
		s.propose(carawayshift.StartJob, carawayshift.JobChange{ID: p.Job, Attempt: attempt})
	}
}

func (s *session) reportJob(kind carawayshift.CommandKind, id uint64, checkpoint time.Duration) {
	s.propose(kind, carawayshift.JobChange{ID: id, Attempt: s.machine.State().Jobs[id].Attempt, Checkpoint: checkpoint})
}

// prepare creates the configuration that the tests start from, at version 5.
func (s *session) prepare() {
	s.submit("ines", "create zone belmont region north")
	s.submit("ines", "create zone laventille region north")
	s.submit("ines", "create team carnival guarantee 2x8 limit 50")
	s.submit("ines", "create team schools guarantee 1x16")
	s.submit("ines", "set config objective = packing")
	s.out.Reset()
}

// runGolden runs a session with a fake clock and compares its statements and
// replies with testdata/<name>.golden.
func runGolden(t *testing.T, name string, run func(s *session)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession()
		s.prepare()
		run(s)
		goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, name, s.out.Bytes())
	})
}
