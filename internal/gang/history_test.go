package gang_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/gang"
	standin "carawayshift.example/carawayshift/internal/standin/worker"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/internal/worker"
)

const (
	historySeeds   = 60
	historyLength  = 4 * time.Minute
	recoveryLength = 90 * time.Second
	workerCount    = 6
	// maxPartialRun is how long a gang may run incompletely: one task lease.
	maxPartialRun = 15*time.Second + 500*time.Millisecond
	// maxStartDelay is how long tasks may still start after a drain was answered.
	maxStartDelay = 3 * time.Second
)

var hostNames = []string{"h1", "h2", "h3"}

// testZone is one zone of three hosts and its simulated workers.
type testZone struct {
	out    *bytes.Buffer
	n      *network
	leader *fakeLeader
	rnd    *rand.Rand
	ctx    context.Context
	wg     sync.WaitGroup
	drains []drainPeriod
	// commandCount counts the operators' commands and is used for their ids.
	commandCount int
	// excludedWorker is the name of a worker that gets no new placements.
	excludedWorker string
	logger         logrus.FieldLogger
}

// clockFormatter formats log lines with the simulated time of the test.
type clockFormatter struct{ *logrus.TextFormatter }

// drainPeriod is a period during which the zone was drained, from the answer to
// the drain until the command to return the zone. While to is zero, the zone is
// drained.
type drainPeriod struct{ from, to time.Time }

func newTestZone(ctx context.Context, seed uint64) *testZone {
	logger := logrus.New()
	var out bytes.Buffer
	logger.SetOutput(&out)
	logger.SetFormatter(clockFormatter{&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"}})
	z := &testZone{out: &out, n: newNetwork(seed), rnd: rand.New(rand.NewPCG(seed, 2)), ctx: ctx, logger: logger}
	z.leader = &fakeLeader{n: z.n, machine: state.New(func(carawayshift.View) error { return nil })}
	z.applyOperator(carawayshift.Command{Kind: carawayshift.CreateZone, Zone: &carawayshift.Zone{Name: "belmont", Region: "north"}})
	z.applyOperator(carawayshift.Command{Kind: carawayshift.CreateTeam, Team: &carawayshift.Team{Name: "carnival"}})
	for i := range workerCount {
		z.addWorker(fmt.Sprintf("w%d", i))
	}
	for _, h := range hostNames {
		z.addHost(h)
	}
	return z
}

func (z *testZone) applyOperator(c carawayshift.Command) carawayshift.Answer {
	z.commandCount++
	c.ID, c.By, c.At = fmt.Sprint("op", z.commandCount), "night", time.Now()
	return z.leader.apply(c)
}

func (z *testZone) spawn(fn func()) {
	z.wg.Add(1)
	go func() {
		defer z.wg.Done()
		fn()
	}()
}

func (z *testZone) addWorker(name string) {
	entries := []string{"http://h1", "http://h2", "http://h3"}
	w := standin.New(standin.Options{
		Name: name, Zone: "belmont", Rack: "r1", Address: name, Entries: entries, Cores: 30, Memory: 64 << 10,
		Accelerators: 8, HTTP: &http.Client{Transport: link{z.n, name}, Timeout: time.Second}, Log: z.logger,
	})
	z.n.nodes[name] = w
	z.spawn(func() { _ = w.Run(z.ctx) })
}

func (z *testZone) addHost(name string) {
	lk := link{z.n, name}
	h := &fakeHost{log: hostLog{z.leader, name}}
	var peers []string
	for _, p := range hostNames {
		if p != name {
			peers = append(peers, p)
		}
	}
	workers := worker.New(worker.Options{
		Zone: "belmont", Transport: lk, Peers: func() []string { return peers },
		Leader: func() string { return "" }, HoldsZoneLease: func() bool { return false },
		HTTP: &http.Client{Transport: lk}, Logger: z.logger,
	})
	manager := gang.New(gang.Options{
		Host: name, Zone: "belmont", Hosts: hostNames, Log: h.log, State: h.State, Lease: h.lease,
		Workers: workers, Transport: lk, Logger: z.logger,
	})
	z.n.nodes[name] = workers
	z.spawn(func() { h.run(z.ctx) })
	z.spawn(func() { _ = workers.Run(z.ctx) })
	z.spawn(func() { _ = manager.Run(z.ctx) })
}

// place places each waiting job on the first workers that no active job
// occupies.
func (z *testZone) place() {
	st := z.leader.machine.State()
	busy := map[string]bool{}
	for _, j := range st.Jobs {
		for _, p := range j.Placements {
			if j.Active() {
				busy[p.Worker] = true
			}
		}
	}
	for _, id := range sortedJobs(st) {
		j := st.Jobs[id]
		if j.State != carawayshift.JobWaiting {
			continue
		}
		ch := carawayshift.JobChange{ID: id, Attempt: j.Attempt + 1, Zone: "belmont"}
		for i := range workerCount {
			name := fmt.Sprintf("w%d", i)
			if !busy[name] && name != z.excludedWorker && len(ch.Placements) < j.Tasks {
				ch.Placements = append(ch.Placements, carawayshift.TaskPlacement{
					Task: len(ch.Placements), Worker: name, Incarnation: uint64(bubbleStart.UnixMilli()), Accelerators: 8,
				})
			}
		}
		if len(ch.Placements) < j.Tasks {
			return
		}
		for _, p := range ch.Placements {
			busy[p.Worker] = true
		}
		z.leader.apply(carawayshift.Command{Kind: carawayshift.PlaceJob, At: time.Now(), Change: &ch})
	}
}

// bubbleStart is the time at which every synctest bubble starts, and therefore
// the incarnation of the simulated workers.
var bubbleStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func sortedJobs(st carawayshift.State) []uint64 {
	var ids []uint64
	for id := range st.Jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// injectFault changes one random property of the network: a frozen node, a cut
// link or the rate of dropped messages.
func (z *testZone) injectFault() {
	host := hostNames[z.rnd.IntN(len(hostNames))]
	other := []string{"leader", "h1", "h2", "h3", "w0", "w1", "w2", "w3"}[z.rnd.IntN(8)]
	z.n.mu.Lock()
	defer z.n.mu.Unlock()
	switch z.rnd.IntN(8) {
	case 0:
		z.n.frozen[host] = time.Now().Add(time.Duration(1+z.rnd.IntN(25)) * time.Second)
	case 1:
		z.n.frozen[fmt.Sprintf("w%d", z.rnd.IntN(workerCount))] = time.Now().Add(time.Duration(1+z.rnd.IntN(20)) * time.Second)
	case 2:
		z.n.cut[[2]string{host, other}] = true
	case 3:
		z.n.cut[[2]string{other, host}] = true
	case 4, 5:
		z.n.cut = map[[2]string]bool{}
	case 6:
		z.n.drop = z.rnd.Float64() * 0.2
	case 7:
		z.n.drop = 0
	}
}

func (z *testZone) sendRandomCommand() {
	st := z.leader.machine.State()
	switch z.rnd.IntN(6) {
	case 0, 1:
		tasks := 1 + z.rnd.IntN(4)
		z.applyOperator(carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{
			Name: "render", Team: "carnival", Tasks: tasks, Accelerators: 8,
			Declared: time.Duration(2+z.rnd.IntN(40)) * time.Second,
		}})
	case 2:
		for _, id := range sortedJobs(st) {
			if !st.Jobs[id].State.Ended() && z.rnd.IntN(3) == 0 {
				z.applyOperator(carawayshift.Command{Kind: carawayshift.CancelJob, Change: &carawayshift.JobChange{ID: id}})
			}
		}
	case 3:
		if !st.Zones["belmont"].Drained {
			z.applyOperator(carawayshift.Command{Kind: carawayshift.DrainZone, Zone: &carawayshift.Zone{Name: "belmont"}})
			z.drains = append(z.drains, drainPeriod{from: time.Now()})
			z.stopRunningJobs()
		}
	default:
		z.returnZone()
	}
}

// stopRunningJobs stops all running jobs, as the scheduler does after a drain.
func (z *testZone) stopRunningJobs() {
	for id, j := range z.leader.machine.State().Jobs {
		if j.State == carawayshift.JobRunning {
			z.leader.apply(carawayshift.Command{Kind: carawayshift.StopJob, At: time.Now(), Change: &carawayshift.JobChange{
				ID: id, Attempt: j.Attempt, Reason: "zone out", StateAfterStop: carawayshift.JobWaiting,
			}})
		}
	}
}

func (z *testZone) returnZone() {
	if z.leader.machine.State().Zones["belmont"].Drained {
		z.drains[len(z.drains)-1].to = time.Now()
		z.applyOperator(carawayshift.Command{Kind: carawayshift.ReturnZone, Zone: &carawayshift.Zone{Name: "belmont"}})
	}
}

// run injects faults and commands for historyLength, then removes cuts and
// losses, returns the zone and waits for recoveryLength.
func (z *testZone) run() {
	end := time.Now().Add(historyLength)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+z.rnd.IntN(2000)) * time.Millisecond)
		z.place()
		if z.rnd.IntN(2) == 0 {
			z.sendRandomCommand()
		}
		if z.rnd.IntN(3) == 0 {
			z.injectFault()
		}
	}
	z.n.mu.Lock()
	z.n.cut, z.n.drop = map[[2]string]bool{}, 0
	z.n.mu.Unlock()
	z.returnZone()
	for end = time.Now().Add(recoveryLength); time.Now().Before(end); time.Sleep(time.Second) {
		z.place()
	}
}

type taskEvent struct {
	At      time.Time `json:"at"`
	Job     uint64    `json:"job"`
	Attempt int       `json:"attempt"`
	Task    int       `json:"task"`
	What    string    `json:"what"`
}

// history returns the starts and ends of all tasks in chronological order.
func (z *testZone) history() []taskEvent {
	var all []taskEvent
	for i := range workerCount {
		rec := httptest.NewRecorder()
		z.n.nodes[fmt.Sprintf("w%d", i)].ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/history", nil))
		var events []taskEvent
		if err := json.NewDecoder(rec.Body).Decode(&events); err != nil {
			panic(err)
		}
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

// Guards against a gang that runs incompletely for longer than one lease, a job
// that runs in two attempts at the same time, a start after a zone was drained,
// and a job that is lost. The histories have random frozen nodes, cut links,
// dropped messages, drains and cancellations.
func TestGangHistories(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				z := newTestZone(ctx, seed)
				z.run()
				events := z.history()
				st := z.leader.machine.State()
				cancel()
				z.wg.Wait()
				defer func() {
					if t.Failed() {
						t.Log(z.out.String())
						for _, e := range events {
							t.Log(e.At.Format("15:04:05.000"), e.Job, e.Attempt, e.Task, e.What)
						}
					}
				}()
				checkStarts(NewWithT(t), z.drains, events)
				checkAttempts(NewWithT(t), st, events)
				checkEnds(NewWithT(t), st)
			})
		})
	}
}

func checkStarts(g Gomega, drains []drainPeriod, events []taskEvent) {
	for _, e := range events {
		for _, d := range drains {
			late := e.What == "start" && e.At.After(d.from.Add(maxStartDelay)) && (d.to.IsZero() || e.At.Before(d.to))
			g.Expect(late).To(BeFalse(), "task %+v started %s after the zone was drained", e, e.At.Sub(d.from))
		}
	}
}

// checkAttempts checks that no job runs in two attempts at the same time or
// incompletely for longer than maxPartialRun.
func checkAttempts(g Gomega, st carawayshift.State, events []taskEvent) {
	type taskKey struct{ attempt, task int }
	running := map[uint64]map[taskKey]bool{}
	finished := map[uint64]map[taskKey]bool{}
	partial := map[uint64]time.Time{}
	for _, e := range events {
		if running[e.Job] == nil {
			running[e.Job], finished[e.Job] = map[taskKey]bool{}, map[taskKey]bool{}
		}
		r, k := running[e.Job], taskKey{e.Attempt, e.Task}
		if e.What == "start" {
			for other := range r {
				g.Expect(other.attempt).To(Equal(e.Attempt), "job %d runs in two attempts at %s", e.Job, e.At)
			}
			r[k] = true
		} else {
			delete(r, k)
			finished[e.Job][k] = e.What == "finished"
		}
		// A finished task still counts as a running member of its gang.
		members := len(r)
		for f, ok := range finished[e.Job] {
			if ok && f.attempt == e.Attempt {
				members++
			}
		}
		whole := members == st.Jobs[e.Job].Tasks || len(r) == 0
		since, was := partial[e.Job]
		if was {
			g.Expect(e.At.Sub(since)).To(BeNumerically("<", maxPartialRun), "job %d runs incompletely since %s", e.Job, since)
		}
		switch {
		case whole:
			delete(partial, e.Job)
		case !was:
			partial[e.Job] = e.At
		}
	}
	g.Expect(partial).To(BeEmpty(), "gangs that still run incompletely")
}

func checkEnds(g Gomega, st carawayshift.State) {
	for id, j := range st.Jobs {
		g.Expect(j.State.Ended() || j.Active() || j.State == carawayshift.JobWaiting).To(BeTrue(), "job %d is %s: %s", id, j.State, j.Reason)
		g.Expect(j.State).NotTo(Equal(carawayshift.JobStopping), "job %d never stopped", id)
		g.Expect(j.State).NotTo(Equal(carawayshift.JobPlaced), "job %d never started", id)
	}
}
