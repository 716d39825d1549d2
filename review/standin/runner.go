package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// fleetConfig describes the runners of one process, and the jobs that they may be told
// to run: as on the platform, a runner learns what a task needs from its image, not from
// the order.
type fleetConfig struct {
	Runners []runnerConfig     `json:"runners"`
	Jobs    map[string]jobSpec `json:"jobs"`
	Control []string           `json:"control"`
	Admin   string             `json:"admin"`
	Events  string             `json:"events"`
	// HoldMaxMs, StopMs, DrainMs and HeartbeatMs are bounds of the deployment.
	HoldMaxMs   int64 `json:"hold_max_ms"`
	StopMs      int64 `json:"stop_ms"`
	DrainMs     int64 `json:"drain_ms"`
	HeartbeatMs int64 `json:"heartbeat_ms"`
}

type runnerConfig struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	// Listen is where the runner listens, Address what it reports: a proxy may lie
	// between.
	Listen  string `json:"listen"`
	Address string `json:"address"`
	// Control holds the addresses that it reports to, if not those of the fleet.
	Control []string `json:"control"`
	CPU     int      `json:"cpu"`
	MemMB   int      `json:"mem_mb"`
	GPU     int      `json:"gpu"`
}

type jobSpec struct {
	Steps []stepSpec `json:"steps"`
}

// stepSpec holds what a runner needs to know of a step, and how long its tasks work:
// WorkMs, plus SpreadMs times the task's index divided by the count.
type stepSpec struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem_mb"`
	GPU        int   `json:"gpu"`
	Gang       bool  `json:"gang"`
	Persistent bool  `json:"persistent"`
	WorkMs     int64 `json:"work_ms"`
	SpreadMs   int64 `json:"spread_ms"`
	// FailMs is after how long each run fails by the task's own fault, 0 for never.
	FailMs int64 `json:"fail_ms"`
}

// fleet is a set of runners that follow PROTOCOL.md.
type fleet struct {
	cfg    fleetConfig
	mu     sync.Mutex
	events *os.File
	byID   map[string]*worker
	// gangs holds the members that are present, by ID.K.STEP and run.
	gangs map[string]map[string]*task
}

type worker struct {
	f     *fleet
	cfg   runnerConfig
	born  int64
	began time.Time

	fence     uint64
	leaseEnd  time.Time
	tasks     map[string]*task
	lastEnded map[string]int
	ended     []endRow
	lastN     int64
	changed   chan struct{}
	draining  bool
	gone      bool
	drainUpTo time.Time
	cpu, mem  int
	gpu       int
	seq       int64
}

type task struct {
	w    *worker
	name string
	run  int
	step stepSpec
	// working is when the task began to work, zero while its gang is not complete.
	working time.Time
	work    time.Duration
	timer   *time.Timer
}

// percent is the share of the work that is done; of a task that lasts, 100 at work.
func (t *task) percent() int {
	switch {
	case t.step.Persistent:
		return 100
	case t.working.IsZero() || t.work <= 0:
		return 0
	}
	return min(99, int(100*time.Since(t.working)/t.work))
}

type endRow struct {
	n    int64
	name string
	run  int
	how  string
}

func runFleet(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var cfg fleetConfig
	if err := json.Unmarshal(b, &cfg); err != nil {
		return err
	}
	f := &fleet{cfg: cfg, byID: map[string]*worker{}, gangs: map[string]map[string]*task{}}
	if f.events, err = os.OpenFile(cfg.Events, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	for _, rc := range cfg.Runners {
		w := &worker{
			f: f, cfg: rc, born: time.Now().UnixMilli(), began: time.Now(), tasks: map[string]*task{},
			lastEnded: map[string]int{}, changed: make(chan struct{}),
		}
		f.byID[rc.ID] = w
		l, err := net.Listen("tcp", rc.Listen)
		if err != nil {
			return err
		}
		go func() {
			_ = (&http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}).Serve(&limited{Listener: l, w: w})
		}()
		go w.report()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /drain/{id}", func(_ http.ResponseWriter, r *http.Request) { f.byID[r.PathValue("id")].drain() })
	return (&http.Server{Addr: cfg.Admin, Handler: mux, ReadHeaderTimeout: 5 * time.Second}).ListenAndServe()
}

// maxChannels is the number of channels that a runner takes.
const maxChannels = 64

// limited closes channels beyond maxChannels.
type limited struct {
	net.Listener
	w    *worker
	open atomic.Int64
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= maxChannels {
			return &counted{Conn: c, l: l}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
		l.w.f.mu.Lock()
		l.w.f.log(event{Kind: "channel refused", Runner: l.w.cfg.ID})
		l.w.f.mu.Unlock()
	}
}

type counted struct {
	net.Conn
	l    *limited
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}

// event is one line of the record: what a runner saw.
type event struct {
	At     int64  `json:"at_ms"`
	Kind   string `json:"kind"`
	Runner string `json:"runner"`
	Task   string `json:"task,omitempty"`
	Run    int    `json:"run,omitempty"`
	How    string `json:"how,omitempty"`
	N      int64  `json:"n,omitempty"`
}

// log writes an event. The caller holds f.mu.
func (f *fleet) log(e event) {
	e.At = time.Now().UnixMilli()
	b, _ := json.Marshal(e)
	_, _ = f.events.Write(append(b, '\n'))
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() }

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var q struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline *int64 `json:"deadline_ms"`
		Fence    uint64 `json:"fencing_token"`
		Cursor   int64  `json:"ack_cursor"`
		WaitMs   int64  `json:"wait_ms"`
	}
	if json.Unmarshal(b, &q) != nil {
		w.answer(rw, 400, nil)
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.cfg.ID {
		w.answer(rw, 421, nil)
		return
	}
	w.f.mu.Lock()
	if w.gone {
		w.f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if q.Fence < w.fence {
		w.f.mu.Unlock()
		w.answer(rw, 409, map[string]any{"reason": "fence"})
		return
	}
	w.fence = q.Fence
	switch r.URL.Path {
	case "/run-start":
		status, reason := w.start(q.Task, q.Run, *q.Deadline)
		w.f.mu.Unlock()
		if reason != "" {
			w.answer(rw, status, map[string]any{"reason": reason})
			return
		}
		w.answer(rw, status, map[string]any{})
	case "/run-stop":
		w.stop(q.Task, q.Run)
		w.f.mu.Unlock()
		w.answer(rw, 200, map[string]any{})
	case "/hold":
		if q.Deadline != nil {
			w.extend(*q.Deadline)
		}
		w.acknowledge(q.Cursor)
		w.f.mu.Unlock()
		w.hold(rw, r, time.Duration(min(q.WaitMs, 2000))*time.Millisecond)
	case "/pace":
		w.f.mu.Unlock()
		w.answer(rw, 200, map[string]any{})
	default:
		w.f.mu.Unlock()
		w.answer(rw, 404, nil)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		rw.WriteHeader(status)
		return
	}
	body["clock_ms"] = w.clock()
	b, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

// extend extends the lease; it never shortens it. The caller holds f.mu.
func (w *worker) extend(deadline int64) {
	end := w.began.Add(time.Duration(deadline) * time.Millisecond)
	if most := time.Now().Add(time.Duration(w.f.cfg.HoldMaxMs) * time.Millisecond); end.After(most) {
		end = most
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
		time.AfterFunc(time.Until(end), w.lapse)
	}
}

// lapse ends everything once the lease has expired.
func (w *worker) lapse() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if time.Now().Before(w.leaseEnd) {
		return
	}
	w.f.log(event{Kind: "lease expired", Runner: w.cfg.ID})
	for _, t := range w.tasks {
		w.end(t, "lapsed")
	}
}

func (w *worker) acknowledge(cursor int64) {
	for len(w.ended) > 0 && w.ended[0].n <= cursor {
		e := w.ended[0]
		w.ended = w.ended[1:]
		w.f.log(event{Kind: "end acknowledged", Runner: w.cfg.ID, Task: e.name, Run: e.run, How: e.how, N: e.n})
	}
}

// splitTask splits ID.K.STEP.INDEX.
func splitTask(name string) (id string, occurrence, step, index int) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return "", 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], occurrence, step, index
}

// start carries out an order to start. The caller holds f.mu.
func (w *worker) start(name string, run int, deadline int64) (status int, reason string) {
	if t := w.tasks[name]; t != nil && t.run == run {
		w.extend(deadline)
		return 200, ""
	}
	if deadline <= w.clock() {
		return 409, "late"
	}
	w.extend(deadline)
	if run <= w.lastEnded[name] || w.tasks[name] != nil {
		return 409, "old"
	}
	id, _, n, index := splitTask(name)
	job, ok := w.f.cfg.Jobs[id]
	if !ok || n >= len(job.Steps) {
		w.f.log(event{Kind: "unknown task", Runner: w.cfg.ID, Task: name, Run: run})
		return 400, "unknown"
	}
	s := job.Steps[n]
	if w.cpu+s.CPU > w.cfg.CPU || w.mem+s.MemMB > w.cfg.MemMB || w.gpu+s.GPU > w.cfg.GPU {
		return 409, "room"
	}
	w.cpu, w.mem, w.gpu = w.cpu+s.CPU, w.mem+s.MemMB, w.gpu+s.GPU
	work := time.Duration(s.WorkMs+s.SpreadMs*int64(index)/int64(max(s.Count, 1))) * time.Millisecond
	t := &task{w: w, name: name, run: run, step: s, work: work}
	w.tasks[name] = t
	w.f.log(event{Kind: "started", Runner: w.cfg.ID, Task: name, Run: run})
	switch {
	case s.FailMs > 0:
		t.timer = time.AfterFunc(time.Duration(s.FailMs+s.SpreadMs*int64(index)/int64(max(s.Count, 1)))*time.Millisecond, func() {
			w.f.mu.Lock()
			defer w.f.mu.Unlock()
			w.end(t, "failed")
		})
	case s.Persistent:
	case s.Gang:
		key := fmt.Sprint(name[:strings.LastIndex(name, ".")], " ", run)
		if w.f.gangs[key] == nil {
			w.f.gangs[key] = map[string]*task{}
		}
		g := w.f.gangs[key]
		g[name] = t
		t.timer = time.AfterFunc(gangTimeout, func() {
			w.f.mu.Lock()
			defer w.f.mu.Unlock()
			if t.working.IsZero() {
				w.end(t, "alone")
			}
		})
		if len(g) == s.Count {
			for _, member := range g {
				member.working = time.Now()
			}
			time.AfterFunc(work, func() { w.f.endGang(key) })
		}
	default:
		t.working = time.Now()
		t.timer = time.AfterFunc(work, func() {
			w.f.mu.Lock()
			defer w.f.mu.Unlock()
			w.end(t, "done")
		})
	}
	return 200, ""
}

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// breakGang ends the other members of a gang that is at work. The caller holds f.mu.
func (f *fleet) breakGang(t *task) {
	key := fmt.Sprint(t.name[:strings.LastIndex(t.name, ".")], " ", t.run)
	for _, member := range f.gangs[key] {
		if member != t && !member.working.IsZero() {
			member.w.end(member, "broken")
		}
	}
}

func (f *fleet) endGang(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangs[key]
	for _, t := range g {
		if t.w.tasks[t.name] != t {
			return // a member is missing
		}
	}
	for _, t := range g {
		t.w.end(t, "done")
	}
}

// end ends a task. The caller holds f.mu.
func (w *worker) end(t *task, how string) {
	if w.tasks[t.name] != t {
		return
	}
	delete(w.tasks, t.name)
	if t.timer != nil {
		t.timer.Stop()
	}
	w.cpu, w.mem, w.gpu = w.cpu-t.step.CPU, w.mem-t.step.MemMB, w.gpu-t.step.GPU
	w.lastEnded[t.name] = max(w.lastEnded[t.name], t.run)
	w.lastN++
	w.ended = append(w.ended, endRow{w.lastN, t.name, t.run, how})
	w.f.log(event{Kind: "ended", Runner: w.cfg.ID, Task: t.name, Run: t.run, How: how, N: w.lastN})
	close(w.changed)
	w.changed = make(chan struct{})
	if t.step.Gang && !t.working.IsZero() && how != "done" && how != "broken" {
		w.f.breakGang(t)
	}
}

// stop carries out an order to stop. The caller holds f.mu.
func (w *worker) stop(name string, run int) {
	w.f.log(event{Kind: "stop ordered", Runner: w.cfg.ID, Task: name, Run: run})
	t := w.tasks[name]
	if t == nil || t.run != run {
		w.lastEnded[name] = max(w.lastEnded[name], run)
		return
	}
	time.AfterFunc(time.Duration(w.f.cfg.StopMs)*time.Millisecond/2, func() {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		w.end(t, "stopped")
	})
}

// maxEndRows is how many ends a response lists.
const maxEndRows = 500

// hold answers with both lists; with ends at once, otherwise after wait at the latest.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		w.f.mu.Lock()
		changed := w.changed
		if over || len(w.ended) > 0 || wait == 0 {
			running, ended := [][]any{}, [][]any{}
			for _, t := range w.tasks {
				running = append(running, []any{t.name, t.run, "", t.percent(), 0})
			}
			for _, e := range w.ended[:min(len(w.ended), maxEndRows)] {
				ended = append(ended, []any{e.n, e.name, e.run, e.how, ""})
			}
			w.f.mu.Unlock()
			w.answer(rw, 200, map[string]any{"born": w.born, "running": running, "ended": ended})
			return
		}
		w.f.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// report sends the status reports, to the next control address after one that does not
// confirm within a second.
func (w *worker) report() {
	client := &http.Client{Timeout: time.Second}
	control, node := w.f.cfg.Control, 0
	if w.cfg.Control != nil {
		control = w.cfg.Control
	}
	for {
		w.f.mu.Lock()
		w.seq++
		state := "ready"
		body := map[string]any{
			"service": w.cfg.Service, "address": w.cfg.Address, "zone": w.cfg.Zone, "version": "v1", "slots": 8,
			"machine": "m-" + w.cfg.ID, "cold_remaining_ms": 0, "clock_ms": w.clock(), "seq": w.seq, "born": w.born,
			"capacity": map[string]any{"cpu": w.cfg.CPU, "mem_mb": w.cfg.MemMB, "gpu": w.cfg.GPU}, "labels": []string{"a", w.cfg.Rack},
		}
		draining := w.draining
		if draining {
			state = "draining"
			left := time.Duration(w.f.cfg.DrainMs) * time.Millisecond
			if !w.drainUpTo.IsZero() {
				left = time.Until(w.drainUpTo)
			}
			body["remaining_ms"] = max(0, left.Milliseconds())
		}
		body["state"] = state
		last := draining && !w.drainUpTo.IsZero() && time.Now().After(w.drainUpTo)
		w.f.mu.Unlock()
		path := "/heartbeat"
		if last {
			path, body = "/deregister", map[string]any{"born": w.born}
		}
		confirmed := false
		for try := 0; try < len(control) && !confirmed; try++ {
			if confirmed = post(client, control[node%len(control)], "/instances/"+w.cfg.ID+path, body); !confirmed {
				node++
			}
		}
		w.f.mu.Lock()
		if last {
			w.gone = true
			for _, t := range w.tasks {
				w.end(t, "left")
			}
			w.f.log(event{Kind: "left", Runner: w.cfg.ID})
			w.f.mu.Unlock()
			return
		}
		if confirmed && draining && w.drainUpTo.IsZero() {
			w.drainUpTo = time.Now().Add(time.Duration(w.f.cfg.DrainMs) * time.Millisecond)
			w.f.log(event{Kind: "draining confirmed", Runner: w.cfg.ID})
		}
		w.f.mu.Unlock()
		time.Sleep(time.Duration(w.f.cfg.HeartbeatMs) * time.Millisecond)
	}
}

func post(client *http.Client, addr, path string, body any) bool {
	b, _ := json.Marshal(body)
	resp, err := client.Post("http://"+addr+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// drain makes the runner announce that it leaves.
func (w *worker) drain() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.draining = true
	w.f.log(event{Kind: "told to leave", Runner: w.cfg.ID})
}
