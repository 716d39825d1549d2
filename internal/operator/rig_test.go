package operator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/internal/terminal"
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
}

func (l *fakeLog) Propose(_ context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
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

// fakePlanner places each gang on the first workers of a zone that have room,
// and takes borrowed work back for a team that is below its guarantee.
type fakePlanner struct{}

func (fakePlanner) CheckGuarantees(v carawayshift.View) error {
	have, need := 0, 0
	for _, w := range v.Workers {
		have += w.Accelerators
	}
	for _, t := range v.Teams {
		need += t.Accelerators()
	}
	if need <= have {
		return nil
	}
	return carawayshift.NewError(carawayshift.Refused, fmt.Sprintf("%d of %d guaranteed accelerators are short", need-have, need), "lower a guarantee or add workers")
}

func (p fakePlanner) Plan(now time.Time, v carawayshift.View) carawayshift.Plan {
	plan := carawayshift.Plan{Waits: map[uint64]carawayshift.Wait{}}
	for _, j := range v.Jobs {
		if j.State == carawayshift.JobWaiting {
			p.planJob(now, v, j, &plan)
		}
	}
	return plan
}

func (p fakePlanner) planJob(now time.Time, v carawayshift.View, j carawayshift.Job, plan *carawayshift.Plan) {
	ever := slices.ContainsFunc(v.Workers, func(w carawayshift.Worker) bool { return w.Accelerators >= j.Accelerators })
	if !ever {
		reason := fmt.Sprintf("a task needs %d accelerators on one worker; the largest worker has 8", j.Accelerators)
		plan.Parks = append(plan.Parks, carawayshift.Park{Job: j.ID, Reason: reason})
		return
	}
	used, below := p.use(v, j)
	for _, z := range v.Zones {
		if ps := p.fit(v, z, j, used); ps != nil {
			plan.Starts = append(plan.Starts, carawayshift.Start{Job: j.ID, Zone: z.Name, Placements: ps, Borrowed: !below, Reason: "first cell that fits"})
			return
		}
	}
	w := carawayshift.Wait{Rule: "no free cell", Frees: "a job of 16 accelerators that ends", Next: "show jobs where state = running", Expected: now.Add(time.Hour)}
	victim := slices.IndexFunc(v.Jobs, func(o carawayshift.Job) bool { return o.Borrowed && o.State == carawayshift.JobRunning })
	if below && victim >= 0 {
		o := v.Jobs[victim]
		plan.Stops = append(plan.Stops, carawayshift.Stop{Job: o.ID, Attempt: o.Attempt, For: j.ID, Reason: fmt.Sprintf("reclaimed for job %d", j.ID)})
		w = carawayshift.Wait{Rule: "reclaim", Frees: fmt.Sprintf("the stop of job %d", o.ID), Next: fmt.Sprintf("why job %d", o.ID)}
	}
	plan.Waits[j.ID] = w
}

// use returns the occupied accelerators by worker, and whether the team stays
// within its guarantee with the job.
func (fakePlanner) use(v carawayshift.View, j carawayshift.Job) (map[string]int, bool) {
	used, team := map[string]int{}, j.Size()
	for _, o := range v.Jobs {
		for _, p := range o.Placements {
			used[p.Worker] += p.Accelerators
		}
		if o.Active() && o.Team == j.Team {
			team += o.Size()
		}
	}
	i := slices.IndexFunc(v.Teams, func(t carawayshift.Team) bool { return t.Name == j.Team })
	return used, team <= v.Teams[i].Accelerators()
}

func (fakePlanner) fit(v carawayshift.View, z carawayshift.Zone, j carawayshift.Job, used map[string]int) []carawayshift.TaskPlacement {
	var ps []carawayshift.TaskPlacement
	for _, w := range v.Workers {
		free := w.Accelerators - used[w.Name]
		for ; w.Zone == z.Name && !z.Out && !w.Quarantined && free >= j.Accelerators && len(ps) < j.Tasks; free -= j.Accelerators {
			ps = append(ps, carawayshift.TaskPlacement{Task: len(ps), Worker: w.Name, Accelerators: j.Accelerators})
		}
	}
	if len(ps) < j.Tasks {
		return nil
	}
	return ps
}

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
	s := &session{machine: state.New(fakePlanner{}.CheckGuarantees), frozen: map[string]HostVersion{}, since: map[string]time.Time{}}
	s.log = &fakeLog{machine: s.machine}
	for _, name := range []string{"belmont-w1", "belmont-w2", "laventille-w1", "laventille-w2"} {
		zone, _, _ := bytes.Cut([]byte(name), []byte("-"))
		s.workers = append(s.workers, carawayshift.Worker{Name: name, Zone: string(zone), Rack: "r1", Cores: 30, Memory: 65536, Accelerators: 8, Seen: time.Now()})
	}
	s.handler = New(Config{
		Log: s.log, State: s.machine.State, Wait: s.machine.Wait, Planner: fakePlanner{},
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
	sh := terminal.Shell{
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
	plan := fakePlanner{}.Plan(now, state.View(now, st, s.workers))
	for _, k := range plan.Parks {
		s.propose(carawayshift.ParkJob, carawayshift.JobChange{ID: k.Job, Attempt: st.Jobs[k.Job].Attempt, Reason: k.Reason})
	}
	for _, p := range plan.Stops {
		s.propose(carawayshift.StopJob, carawayshift.JobChange{ID: p.Job, Attempt: p.Attempt, Reason: p.Reason})
	}
	for _, p := range plan.Starts[:min(len(plan.Starts), 1)] {
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
