package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Need is what a task takes, as its requester said.
type Need struct {
	CPU, MemMB, GPU int
	// Work is how long a run of the task takes; 0 for a task that lasts.
	Work time.Duration
	// Gang is the number of members of the task's gang, 0 for none.
	Gang int
	// TargetMs is that of a serving task, Fills is true for one that fills.
	TargetMs int
	Fills    bool
}

// Pool is the runners of one service with what they have in common.
type Pool struct {
	d       *Deployment
	service string
	guards  bool
	// need returns what a task takes.
	need func(task string) Need
	// late, if set, returns how much later a call is carried out that gets no answer, 0
	// for a call that is answered as usual.
	late func(r *Runner, path, task string, run int, b map[string]any) time.Duration
	// tail, if set, returns the tail in ms of a serving task beside tasks that fill and
	// work at the given shares.
	tail func(r *Runner, fills float64) int

	mu      sync.Mutex
	runners []*Runner
	gangs   map[string]map[string]*Runner // by step and run: the members that are present
	history []Span
}

// Span is one run of a task on one life of a runner.
type Span struct {
	Task, Runner, How string
	Run               int
	Born              int64
	From, To          time.Time // To is zero while it runs
}

// Runner is a stand-in for a runner, as PROTOCOL.md tells. Its address outlives its lives.
type Runner struct {
	p                       *Pool
	id, machine, rack, addr string
	cpu, mem, gpu           int
	srv                     *http.Server

	mu sync.Mutex
	life
}

// life is the state of one life of a runner.
type life struct {
	up        bool
	born      int64
	start     time.Time
	seq       int
	fence     uint64
	deadline  int64
	runs      map[string]*run
	stopped   map[string]int
	ended     []end
	numbers   int
	changed   chan struct{}
	draining  time.Time // when it leaves
	acked     bool      // draining is confirmed
	quit      chan struct{}
	conns     map[net.Conn]bool
	heartbeat string
}

type run struct {
	task    string
	run     int
	began   time.Time
	share   float64 // pace, in percent
	pacedTo float64
	pacedAt time.Time
	stops   bool
	span    int
}

type end struct {
	n    int
	task string
	run  int
	how  string
}

func newPool(d *Deployment, service string, need func(string) Need) *Pool {
	return &Pool{d: d, service: service, guards: true, need: need, gangs: map[string]map[string]*Runner{}}
}

// add starts a runner with 32 cores, 64 GB and 8 GPUs.
func (p *Pool) add(id, rack string, n int) *Runner {
	r := &Runner{p: p, id: id, machine: "m-" + id, rack: rack, cpu: 32000, mem: 65536, gpu: 8, addr: fmt.Sprintf("%s:9201", p.d.ip(2, n))}
	p.mu.Lock()
	p.runners = append(p.runners, r)
	p.mu.Unlock()
	r.begin()
	return r
}

// begin starts a new life at the same address under the same id.
func (r *Runner) begin() {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	now := time.Now()
	r.life = life{up: true, born: now.UnixMilli(), start: now, runs: map[string]*run{}, stopped: map[string]int{}, changed: make(chan struct{}), quit: make(chan struct{})}
	quit := r.quit
	r.p.d.record.add("runner %s: new life, born %d", r.id, r.born)
	r.srv = &http.Server{Handler: r}
	srv := r.srv
	r.mu.Unlock()
	go srv.Serve(l)
	go r.beats(quit)
	go r.watchLease(quit)
}

// crash ends the life without a word: its runs end with it, and its address is dark.
func (r *Runner) crash(why string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	close(r.quit)
	for task, x := range r.runs {
		r.p.close(x.span, "crash")
		delete(r.runs, task)
	}
	srv := r.srv
	r.p.d.record.add("runner %s: %s", r.id, why)
	r.mu.Unlock()
	_ = srv.Close()
}

func (p *Pool) open(r *Runner, x *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.span = len(p.history)
	p.history = append(p.history, Span{Task: x.task, Runner: r.id, Run: x.run, Born: r.born, From: time.Now()})
}

func (p *Pool) close(span int, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history[span].To, p.history[span].How = time.Now(), how
}

// spans returns the runs of all tasks whose name begins so.
func (p *Pool) spans(prefix string) (list []Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.history {
		if strings.HasPrefix(s.Task, prefix) {
			list = append(list, s)
		}
	}
	return list
}

func (r *Runner) clock() int64 { return time.Since(r.start).Milliseconds() }

// beats sends a status report every heartbeat_ms, to the next control host if one does not
// answer within a second.
func (r *Runner) beats(quit chan struct{}) {
	hosts := r.p.d.controls()
	c := &http.Client{Timeout: time.Second}
	at := int(r.born) % len(hosts)
	for {
		for range hosts {
			b, leaving := r.report()
			resp, err := c.Post("http://"+hosts[at]+"/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader(b))
			if err != nil {
				r.p.d.record.add("runner %s: report %s not answered by %s", r.id, b, hosts[at])
			} else {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				r.p.d.record.add("runner %s: report %s answered %d by %s", r.id, b, resp.StatusCode, hosts[at])
				if resp.StatusCode/100 == 2 {
					if leaving {
						r.mu.Lock()
						if !r.acked {
							r.acked = true
							r.p.d.record.add("runner %s: draining confirmed by %s", r.id, hosts[at])
						}
						r.mu.Unlock()
					}
					break
				}
			}
			at = (at + 1) % len(hosts)
		}
		select {
		case <-quit:
			return
		case <-time.After(time.Duration(r.p.d.bounds.HeartbeatMs) * time.Millisecond):
		}
	}
}

func (r *Runner) report() ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	m := map[string]any{
		"service": r.p.service, "address": r.addr, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": r.cpu, "mem_mb": r.mem, "gpu": r.gpu}, "labels": []string{"a", r.rack},
		"clock_ms": r.clock(), "seq": r.seq, "born": r.born, "machine": r.machine,
	}
	leaving := !r.draining.IsZero()
	if leaving {
		m["state"], m["remaining_ms"] = "draining", max(time.Until(r.draining).Milliseconds(), 0)
	}
	b, _ := json.Marshal(m)
	return b, leaving
}

// drainAndLeave drains for a time, deregisters and ends.
func (r *Runner) drainAndLeave(after time.Duration) {
	r.mu.Lock()
	r.draining = time.Now().Add(after)
	r.mu.Unlock()
	r.p.d.record.add("runner %s: reports that it drains, %v left", r.id, after)
	b, _ := r.report()
	c := &http.Client{Timeout: time.Second}
	for _, h := range r.p.d.controls() {
		resp, err := c.Post("http://"+h+"/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader(b))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				r.p.d.record.add("runner %s: draining confirmed by %s", r.id, h)
				break
			}
		}
	}
	time.Sleep(after)
	body := fmt.Sprintf(`{"born":%d}`, r.born)
	for _, h := range r.p.d.controls() {
		resp, err := c.Post("http://"+h+"/instances/"+r.id+"/deregister", "application/json", strings.NewReader(body))
		if err == nil {
			resp.Body.Close()
			r.p.d.record.add("runner %s: deregistration answered %d by %s", r.id, resp.StatusCode, h)
			if resp.StatusCode/100 == 2 {
				break
			}
		}
	}
	r.crash("has left")
}

// watchLease ends everything when the lease has ended.
func (r *Runner) watchLease(quit chan struct{}) {
	for {
		select {
		case <-quit:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r.mu.Lock()
		if r.up && len(r.runs) > 0 && r.clock() > r.deadline {
			for _, x := range r.sorted() {
				r.finish(x, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

func (r *Runner) sorted() (list []*run) {
	for _, x := range r.runs {
		list = append(list, x)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task < list[j].task })
	return list
}

// finish ends a run. r.mu is held.
func (r *Runner) finish(x *run, how string) {
	if r.runs[x.task] != x {
		return
	}
	delete(r.runs, x.task)
	r.stopped[x.task] = max(r.stopped[x.task], x.run)
	r.numbers++
	r.ended = append(r.ended, end{r.numbers, x.task, x.run, how})
	r.p.close(x.span, how)
	r.p.d.record.add("runner %s: %s run %d ended %s", r.id, x.task, x.run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// ServeHTTP reads a call whole and carries it out, late if the pool says so.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == "GET" {
		w.WriteHeader(200)
		return
	}
	text, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	var b map[string]any
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if dec.Decode(&b) != nil {
		w.WriteHeader(400)
		return
	}
	task, _ := b["task"].(string)
	if r.p.late != nil {
		if delay := r.p.late(r, req.URL.Path, task, int(number(b["run"])), b); delay > 0 {
			instance := req.Header.Get("Expect-Instance")
			r.p.d.record.add("runner %s: %s %s gets no answer and is carried out %v later", r.id, req.URL.Path, text, delay)
			time.AfterFunc(delay, func() {
				status, reply := r.execute(req.URL.Path, instance, b, nil)
				r.p.d.record.add("runner %s (born %d): carries out the late %s %s: %d %s", r.id, r.born, req.URL.Path, text, status, reply)
			})
			<-req.Context().Done() // no answer until the caller has gone
			return
		}
	}
	status, reply := r.execute(req.URL.Path, req.Header.Get("Expect-Instance"), b, req.Context().Done())
	r.p.d.record.add("runner %s: %s %s answered %d %s", r.id, req.URL.Path, text, status, reply)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(reply)
}

func number(v any) int64 {
	n, _ := v.(json.Number)
	i, _ := n.Int64()
	return i
}

func (r *Runner) answer(status int, m map[string]any) (int, []byte) {
	m["clock_ms"], m["born"] = r.clock(), r.born
	b, _ := json.Marshal(m)
	return status, b
}

func (r *Runner) execute(path, instance string, b map[string]any, gone <-chan struct{}) (int, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return 0, nil
	}
	if instance != "" && instance != r.id {
		return 421, []byte("{}")
	}
	fence := uint64(number(b["fencing_token"]))
	if fence < r.fence {
		return r.answer(409, map[string]any{"reason": "fence"})
	}
	r.fence = fence
	task, _ := b["task"].(string)
	n := int(number(b["run"]))
	switch path {
	case "/run-start":
		return r.runStart(task, n, number(b["deadline_ms"]))
	case "/run-stop":
		r.runStop(task, n)
		return r.answer(200, map[string]any{})
	case "/pace":
		if x := r.runs[task]; x != nil && x.run == n {
			percent := float64(number(b["percent"]))
			r.p.d.record.add("runner %s: pace of %s run %d is %v percent", r.id, task, n, percent)
			x.share = percent
		}
		return r.answer(200, map[string]any{})
	case "/hold":
		return r.hold(b, gone)
	}
	return 404, []byte("{}")
}

func (r *Runner) extend(until int64) {
	until = min(until, r.clock()+int64(r.p.d.bounds.HoldMaxMs))
	r.deadline = max(r.deadline, until)
}

func (r *Runner) runStart(task string, n int, deadline int64) (int, []byte) {
	if x := r.runs[task]; x != nil && x.run == n {
		return r.answer(200, map[string]any{})
	}
	if deadline <= r.clock() {
		return r.answer(409, map[string]any{"reason": "late"})
	}
	r.extend(deadline)
	if r.runs[task] != nil || n <= r.stopped[task] {
		return r.answer(409, map[string]any{"reason": "old"})
	}
	need := r.p.need(task)
	if r.p.guards && !r.fits(need) {
		return r.answer(409, map[string]any{"reason": "room"})
	}
	x := &run{task: task, run: n, began: time.Now(), share: 100}
	r.runs[task] = x
	r.p.open(r, x)
	r.p.d.record.add("runner %s (born %d): starts %s run %d", r.id, r.born, task, n)
	switch {
	case need.Gang > 0:
		r.p.join(r, x, need)
	case need.Work > 0:
		time.AfterFunc(need.Work, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(x, "done")
		})
	}
	return r.answer(200, map[string]any{})
}

// fits reports whether a task fits beside what runs. r.mu is held.
func (r *Runner) fits(n Need) bool {
	cpu, mem, gpu := r.cpu, r.mem, r.gpu
	for _, x := range r.runs {
		u := r.p.need(x.task)
		if !u.Fills {
			cpu -= u.CPU
		}
		mem, gpu = mem-u.MemMB, gpu-u.GPU
	}
	return (n.Fills || n.CPU <= cpu) && n.MemMB <= mem && n.GPU <= gpu
}

func (r *Runner) runStop(task string, n int) {
	x := r.runs[task]
	if x == nil || x.run != n {
		r.stopped[task] = max(r.stopped[task], n)
		return
	}
	if x.stops {
		return
	}
	x.stops = true
	time.AfterFunc(time.Duration(r.p.d.bounds.StopMs)*time.Millisecond/3, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[task] == x {
			r.finish(x, "stopped")
			if need := r.p.need(task); need.Gang > 0 {
				go r.p.breakGang(x, need)
			}
		}
	})
}

func (r *Runner) hold(b map[string]any, gone <-chan struct{}) (int, []byte) {
	cursor := int(number(b["ack_cursor"]))
	for len(r.ended) > 0 && r.ended[0].n <= cursor {
		r.ended = r.ended[1:]
	}
	if until := number(b["deadline_ms"]); until > 0 {
		r.extend(until)
	}
	timer := time.NewTimer(time.Duration(min(number(b["wait_ms"]), 2000)) * time.Millisecond)
	defer timer.Stop()
	born := r.born
	for len(r.ended) == 0 {
		changed, quit := r.changed, r.quit
		r.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-gone:
			over = true
		case <-quit:
			over = true
		}
		r.mu.Lock()
		if over || r.born != born {
			break
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.sorted() {
		percent, figure := r.percent(x), 0
		need := r.p.need(x.task)
		if need.TargetMs > 0 && r.p.tail != nil {
			figure = r.p.tail(r, r.fillShare())
		}
		running = append(running, []any{x.task, x.run, "", percent, figure})
	}
	for _, e := range r.ended {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return r.answer(200, map[string]any{"running": running, "ended": ended})
}

// percent is the progress of a run; one that lasts is at work after half a second.
func (r *Runner) percent(x *run) int {
	work := r.p.need(x.task).Work
	if work == 0 {
		work = 500 * time.Millisecond
	}
	return int(min(100, 100*time.Since(x.began)/work))
}

// fillShare returns the highest share at which tasks that fill work here. r.mu is held.
func (r *Runner) fillShare() (share float64) {
	for _, x := range r.runs {
		if r.p.need(x.task).Fills {
			share = max(share, x.share)
		}
	}
	return share
}

func step(task string) string { return task[:strings.LastIndex(task, ".")] }

// join adds a member to its gang, which works from when all members are present.
func (p *Pool) join(r *Runner, x *run, need Need) {
	key := fmt.Sprint(step(x.task), "#", x.run)
	p.mu.Lock()
	if p.gangs[key] == nil {
		p.gangs[key] = map[string]*Runner{}
	}
	p.gangs[key][x.task] = r
	full := len(p.gangs[key]) == need.Gang
	p.mu.Unlock()
	if !full {
		time.AfterFunc(3*time.Second, func() {
			p.mu.Lock()
			alone := len(p.gangs[key]) < need.Gang
			p.mu.Unlock()
			r.mu.Lock()
			defer r.mu.Unlock()
			if alone && r.runs[x.task] == x {
				r.finish(x, "alone")
			}
		})
		return
	}
	time.AfterFunc(need.Work, func() { p.endGang(key, x.run, "done") })
}

func (p *Pool) breakGang(x *run, need Need) {
	p.endGang(fmt.Sprint(step(x.task), "#", x.run), x.run, "broken")
}

func (p *Pool) endGang(key string, n int, how string) {
	p.mu.Lock()
	members := p.gangs[key]
	p.gangs[key] = map[string]*Runner{}
	p.mu.Unlock()
	for task, r := range members {
		r.mu.Lock()
		if x := r.runs[task]; x != nil && x.run == n {
			r.finish(x, how)
		}
		r.mu.Unlock()
	}
}
