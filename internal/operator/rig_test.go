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

// fakeLog applies commands at once.
type fakeLog struct {
	mu      sync.Mutex
	machine *state.Machine
	index   uint64
	// lose drops the next answer after the command was applied, cut refuses
	// everything as if no leader could be reached.
	lose, cut bool
	loseEvery uint64
	// cutAt, when not 0, refuses the entry at this index and all after it.
	cutAt   uint64
	latency time.Duration
}

func (l *fakeLog) Propose(_ context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	time.Sleep(l.latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.cutAt > 0 && l.index+1 >= l.cutAt {
		return carawayshift.Answer{}, carawayshift.NewError(carawayshift.NotRun, "no leader can be reached", "send it again later")
	}
	entry, err := carawayshift.Encode(c)
	if err != nil {
		return carawayshift.Answer{}, err
	}
	l.index++
	var a carawayshift.Answer
	err = carawayshift.Decode(l.machine.Apply(l.index, entry), &a)
	if l.lose || l.loseEvery > 0 && l.index%l.loseEvery == 0 {
		l.lose = false
		return carawayshift.Answer{}, carawayshift.NewError(carawayshift.OutcomeUnknown, "the connection closed", "resend with the same id")
	}
	return a, err
}

func (l *fakeLog) Barrier(ctx context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return 0, carawayshift.NewError(carawayshift.Unavailable, "no leader", "")
	}
	return l.index, ctx.Err()
}

func (l *fakeLog) Leader() (string, uint64) { return "e1", 3 }

// session is one night: a machine, a handler and operators who type.
type session struct {
	machine *state.Machine
	log     *fakeLog
	handler *Handler
	workers []carawayshift.Worker
	// frozen holds the hosts that hear nothing since a time.
	frozen map[string]HostVersion
	since  map[string]time.Time
	typed  int
	id     string
	out    bytes.Buffer
}

// newSession starts at 01:00 with two zones of two workers and two teams.
func newSession() *session {
	time.Sleep(time.Until(time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)))
	s := &session{machine: state.New(placement.New().CheckGuarantees), frozen: map[string]HostVersion{}, since: map[string]time.Time{}}
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
		host, ok := s.frozen[name]
		if ok {
			host.Age = time.Since(s.since[name])
		} else {
			host = HostVersion{Name: name, Version: s.machine.Version()}
		}
		hosts = append(hosts, host)
	}
	return hosts
}

func (s *session) freeze(name string) {
	s.frozen[name] = HostVersion{Name: name, Version: s.machine.State().Version}
	s.since[name] = time.Now()
	s.say("%s is cut off", name)
}

func (s *session) say(format string, args ...any) {
	fmt.Fprintf(&s.out, "-- "+format+"\n", args...)
}

// RoundTrip serves a request in process.
func (s *session) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// as types a statement for an operator. The shell tries once for each host.
func (s *session) as(operator, text string) {
	s.typed++
	s.id = fmt.Sprintf("%s-%d", operator, s.typed)
	s.resend(operator, text)
}

func (s *session) resend(operator, text string) {
	fmt.Fprintf(&s.out, "%s> %s\n", operator, text)
	sh := queryclient.Shell{
		Hosts: []string{"http://e1"}, Operator: operator, Out: &s.out,
		Client: &http.Client{Transport: s}, NewID: func() string { return s.id },
	}
	// A refusal is part of the printed reply.
	_ = sh.Run(context.Background(), text)
}

func (s *session) pass(d time.Duration) {
	time.Sleep(d)
	s.say("%s", time.Now().UTC().Format("15:04:05"))
}

func (s *session) propose(kind carawayshift.CommandKind, ch carawayshift.JobChange) {
	c := carawayshift.Command{Kind: kind, At: time.Now(), Change: &ch, Workers: s.workers}
	a, err := s.log.Propose(context.Background(), c)
	if err != nil || a.Kind != "" {
		s.say("scheduler: %s %d refused: %s %v", kind, ch.ID, a.Error, err)
		return
	}
	s.say("scheduler: %s %d %s", kind, ch.ID, ch.Reason)
}

// schedule carries out one plan as the scheduler and the zones do.
func (s *session) schedule() {
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

func (s *session) report(kind carawayshift.CommandKind, id uint64, checkpoint time.Duration) {
	s.propose(kind, carawayshift.JobChange{ID: id, Attempt: s.machine.State().Jobs[id].Attempt, Checkpoint: checkpoint})
}

// prepared is the configuration that most nights start from, at version 5.
func (s *session) prepare() {
	s.as("ines", "create zone belmont region north")
	s.as("ines", "create zone laventille region north")
	s.as("ines", "create team carnival guarantee 2x8 limit 50")
	s.as("ines", "create team schools guarantee 1x16")
	s.as("ines", "set config objective = packing")
	s.out.Reset()
}

// golden runs a session in paused time and compares what was typed and
// answered with testdata/<name>.golden.
func golden(t *testing.T, name string, run func(s *session)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession()
		s.prepare()
		run(s)
		goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, name, s.out.Bytes())
	})
}
