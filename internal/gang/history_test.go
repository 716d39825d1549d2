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
	historySeeds  = 60
	historyLength = 4 * time.Minute
	quietLength   = 90 * time.Second
	workerCount   = 6
	// partialBound is how long a gang may run partly: one task lease.
	partialBound = 15*time.Second + 500*time.Millisecond
	// startBound is the time after a drain's answer after which no task
	// may start.
	startBound = 3 * time.Second
)

var hostNames = []string{"h1", "h2", "h3"}

// bench is one zone of three hosts and its stand-in workers.
type bench struct {
	out    *bytes.Buffer
	n      *network
	l      *leader
	rnd    *rand.Rand
	ctx    context.Context
	wg     sync.WaitGroup
	drains []window
	// commands counts the operators' commands, for their ids.
	commands int
	// avoid names a worker that gets no new placements.
	avoid  string
	logger logrus.FieldLogger
}

// clockFormatter formats log lines; entries carry the bubble's time.
type clockFormatter struct{ *logrus.TextFormatter }

// window is a time during which the zone was out, as operators were told.
type window struct{ from, to time.Time }

func newBench(ctx context.Context, seed uint64) *bench {
	logger := logrus.New()
	var out bytes.Buffer
	logger.SetOutput(&out)
	logger.SetFormatter(clockFormatter{&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"}})
	b := &bench{out: &out, n: newNetwork(seed), rnd: rand.New(rand.NewPCG(seed, 2)), ctx: ctx, logger: logger}
	b.l = &leader{n: b.n, machine: state.New(func(carawayshift.View) error { return nil })}
	b.operator(carawayshift.Command{Kind: carawayshift.CreateZone, Zone: &carawayshift.Zone{Name: "belmont", Region: "north"}})
	b.operator(carawayshift.Command{Kind: carawayshift.CreateTeam, Team: &carawayshift.Team{Name: "carnival"}})
	for i := range workerCount {
		b.addWorker(fmt.Sprintf("w%d", i))
	}
	for _, h := range hostNames {
		b.addHost(h)
	}
	return b
}

func (b *bench) operator(c carawayshift.Command) carawayshift.Answer {
	b.commands++
	c.ID, c.By, c.At = fmt.Sprint("op", b.commands), "night", time.Now()
	return b.l.apply(c)
}

func (b *bench) spawn(fn func()) {
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		fn()
	}()
}

func (b *bench) addWorker(name string) {
	entries := []string{"http://h1", "http://h2", "http://h3"}
	w := standin.New(standin.Options{
		Name: name, Zone: "belmont", Rack: "r1", Address: name, Entries: entries, Cores: 30, Memory: 64 << 10,
		Accelerators: 8, HTTP: &http.Client{Transport: link{b.n, name}, Timeout: time.Second}, Log: b.logger,
	})
	b.n.nodes[name] = w
	b.spawn(func() { _ = w.Run(b.ctx) })
}

func (b *bench) addHost(name string) {
	lk := link{b.n, name}
	h := &holder{log: hostLog{b.l, name}}
	var peers []string
	for _, p := range hostNames {
		if p != name {
			peers = append(peers, p)
		}
	}
	workers := worker.New(worker.Options{
		Zone: "belmont", Transport: lk, Peers: func() []string { return peers },
		Leader: func() string { return "" }, Holder: func() bool { return false },
		HTTP: &http.Client{Transport: lk}, Log: b.logger,
	})
	agent := gang.New(gang.Options{
		Host: name, Zone: "belmont", Hosts: hostNames, Log: h.log, State: h.State, Lease: h.lease,
		Workers: workers, Transport: lk, Logger: b.logger,
	})
	b.n.nodes[name] = workers
	b.spawn(func() { h.run(b.ctx) })
	b.spawn(func() { _ = workers.Run(b.ctx) })
	b.spawn(func() { _ = agent.Run(b.ctx) })
}

// place gives each waiting job the first workers that no active job occupies.
func (b *bench) place() {
	st := b.l.machine.State()
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
			if !busy[name] && name != b.avoid && len(ch.Placements) < j.Tasks {
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
		b.l.apply(carawayshift.Command{Kind: carawayshift.PlaceJob, At: time.Now(), Change: &ch})
	}
}

// bubbleStart is the time at which every synctest bubble starts, and so the
// incarnation of the stand-in workers.
var bubbleStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func sortedJobs(st carawayshift.State) []uint64 {
	var ids []uint64
	for id := range st.Jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// disturb causes one random event.
func (b *bench) disturb() {
	host := hostNames[b.rnd.IntN(len(hostNames))]
	other := []string{"leader", "h1", "h2", "h3", "w0", "w1", "w2", "w3"}[b.rnd.IntN(8)]
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	switch b.rnd.IntN(8) {
	case 0:
		b.n.frozen[host] = time.Now().Add(time.Duration(1+b.rnd.IntN(25)) * time.Second)
	case 1:
		b.n.frozen[fmt.Sprintf("w%d", b.rnd.IntN(workerCount))] = time.Now().Add(time.Duration(1+b.rnd.IntN(20)) * time.Second)
	case 2:
		b.n.cut[[2]string{host, other}] = true
	case 3:
		b.n.cut[[2]string{other, host}] = true
	case 4, 5:
		b.n.cut = map[[2]string]bool{}
	case 6:
		b.n.drop = b.rnd.Float64() * 0.2
	case 7:
		b.n.drop = 0
	}
}

func (b *bench) operate() {
	st := b.l.machine.State()
	switch b.rnd.IntN(6) {
	case 0, 1:
		tasks := 1 + b.rnd.IntN(4)
		b.operator(carawayshift.Command{Kind: carawayshift.CreateJob, Job: &carawayshift.Job{
			Name: "render", Team: "carnival", Tasks: tasks, Accelerators: 8,
			Declared: time.Duration(2+b.rnd.IntN(40)) * time.Second,
		}})
	case 2:
		for _, id := range sortedJobs(st) {
			if !st.Jobs[id].State.Ended() && b.rnd.IntN(3) == 0 {
				b.operator(carawayshift.Command{Kind: carawayshift.CancelJob, Change: &carawayshift.JobChange{ID: id}})
			}
		}
	case 3:
		if !st.Zones["belmont"].Drained {
			b.operator(carawayshift.Command{Kind: carawayshift.DrainZone, Zone: &carawayshift.Zone{Name: "belmont"}})
			b.drains = append(b.drains, window{from: time.Now()})
			b.stopAll()
		}
	default:
		b.returnZone()
	}
}

// stopAll does what the scheduler does after a drain.
func (b *bench) stopAll() {
	for id, j := range b.l.machine.State().Jobs {
		if j.State == carawayshift.JobRunning {
			b.l.apply(carawayshift.Command{Kind: carawayshift.StopJob, At: time.Now(), Change: &carawayshift.JobChange{
				ID: id, Attempt: j.Attempt, Reason: "zone out", StateAfterStop: carawayshift.JobWaiting,
			}})
		}
	}
}

func (b *bench) returnZone() {
	if b.l.machine.State().Zones["belmont"].Drained {
		b.drains[len(b.drains)-1].to = time.Now()
		b.operator(carawayshift.Command{Kind: carawayshift.ReturnZone, Zone: &carawayshift.Zone{Name: "belmont"}})
	}
}

// run disturbs the zone for a while, then heals it and waits for quiet.
func (b *bench) run() {
	end := time.Now().Add(historyLength)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+b.rnd.IntN(2000)) * time.Millisecond)
		b.place()
		if b.rnd.IntN(2) == 0 {
			b.operate()
		}
		if b.rnd.IntN(3) == 0 {
			b.disturb()
		}
	}
	b.n.mu.Lock()
	b.n.cut, b.n.drop = map[[2]string]bool{}, 0
	b.n.mu.Unlock()
	b.returnZone()
	for end = time.Now().Add(quietLength); time.Now().Before(end); time.Sleep(time.Second) {
		b.place()
	}
}

type taskEvent struct {
	At      time.Time `json:"at"`
	Job     uint64    `json:"job"`
	Attempt int       `json:"attempt"`
	Task    int       `json:"task"`
	What    string    `json:"what"`
}

// history returns the starts and ends of all tasks in order of time.
func (b *bench) history() []taskEvent {
	var all []taskEvent
	for i := range workerCount {
		rec := httptest.NewRecorder()
		b.n.nodes[fmt.Sprintf("w%d", i)].ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/history", nil))
		var events []taskEvent
		if err := json.NewDecoder(rec.Body).Decode(&events); err != nil {
			panic(err)
		}
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

// Guards against a gang that runs partly for longer than one lease, a job that
// runs in two attempts at once, a start after a zone was taken out, and a job
// that is lost, over random histories of freezes, cuts, losses, drains and
// cancellations.
func TestGangHistories(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newBench(ctx, seed)
				b.run()
				events := b.history()
				st := b.l.machine.State()
				cancel()
				b.wg.Wait()
				defer func() {
					if t.Failed() {
						t.Log(b.out.String())
						for _, e := range events {
							t.Log(e.At.Format("15:04:05.000"), e.Job, e.Attempt, e.Task, e.What)
						}
					}
				}()
				checkStarts(NewWithT(t), b.drains, events)
				checkAttempts(NewWithT(t), st, events)
				checkEnds(NewWithT(t), st)
			})
		})
	}
}

func checkStarts(g Gomega, drains []window, events []taskEvent) {
	for _, e := range events {
		for _, d := range drains {
			late := e.What == "start" && e.At.After(d.from.Add(startBound)) && (d.to.IsZero() || e.At.Before(d.to))
			g.Expect(late).To(BeFalse(), "task %+v started %s after the zone was taken out", e, e.At.Sub(d.from))
		}
	}
}

// checkAttempts follows the running tasks of each job through the history.
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
		// A finished task still counts as a member of its gang.
		members := len(r)
		for f, ok := range finished[e.Job] {
			if ok && f.attempt == e.Attempt {
				members++
			}
		}
		whole := members == st.Jobs[e.Job].Tasks || len(r) == 0
		since, was := partial[e.Job]
		if was {
			g.Expect(e.At.Sub(since)).To(BeNumerically("<", partialBound), "job %d ran partly since %s", e.Job, since)
		}
		switch {
		case whole:
			delete(partial, e.Job)
		case !was:
			partial[e.Job] = e.At
		}
	}
	g.Expect(partial).To(BeEmpty(), "gangs that still run partly")
}

func checkEnds(g Gomega, st carawayshift.State) {
	for id, j := range st.Jobs {
		g.Expect(j.State.Ended() || j.Active() || j.State == carawayshift.JobWaiting).To(BeTrue(), "job %d is %s: %s", id, j.State, j.Reason)
		g.Expect(j.State).NotTo(Equal(carawayshift.JobStopping), "job %d never stopped", id)
		g.Expect(j.State).NotTo(Equal(carawayshift.JobPlaced), "job %d never started", id)
	}
}
