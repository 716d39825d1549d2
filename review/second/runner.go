package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, those of a small site.
const (
	holdMax     = 6000 * time.Millisecond
	stopTimeout = 400 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	gangTimeout = 3000 * time.Millisecond
)

// runner is a stand-in for a runner. It follows the page on running tasks: leases on
// its own clock, fence numbers, runs that rise, ends that are listed until they are
// acknowledged. The spec of a task says how long it works: "work 2000" is 2 s,
// "lasting" a task that lasts and is at work after a short startup.
type runner struct {
	c       *deployment
	id      string
	zone    string
	rack    string
	machine string
	addr    string
	gpu     int

	mu       sync.Mutex
	born     int64
	start    time.Time
	seq      int
	fence    uint64
	leaseEnd time.Time
	runs     map[string]*task
	floor    map[string]int
	ended    [][]any
	numbers  int
	changed  chan struct{}
	draining bool
	down     bool
	server   *http.Server
	control  string
	// answer, if set, may delay or drop a call. It returns false to give no answer.
	answer func(path string, body map[string]any) bool
	// unguarded runners start whatever they are told to.
	unguarded bool
	// cut is true while nothing reaches the runner.
	cut    bool
	leaves time.Time
	// now makes the runner report at once, first is the control host that it reports to.
	now   chan struct{}
	first int
	// drained is when a report was acknowledged that said that it drains.
	drained time.Time
	// lapses counts the leases that have lapsed.
	lapses int
}

type task struct {
	run      int
	since    time.Time
	work     time.Duration
	lasting  bool
	saved    string
	stopping bool
	gpu      int
	fails    bool
	saves    bool
	savedAt  time.Time
	// members is the number of members of the task's gang, 0 for none. A member works
	// from the moment when all are there.
	members int
	waits   bool
}

func newRunner(c *deployment, id, zone, rack, machine string, n int) *runner {
	r := &runner{c: c, id: id, zone: zone, rack: rack, machine: machine, gpu: 8}
	r.addr = c.address(100+n, 0)
	r.reset()
	return r
}

func (r *runner) reset() {
	r.born, r.start, r.seq, r.fence = time.Now().UnixMilli(), time.Now(), 0, 0
	r.runs, r.floor, r.ended, r.numbers = map[string]*task{}, map[string]int{}, nil, 0
	r.changed, r.leaseEnd, r.down = make(chan struct{}), time.Time{}, false
	r.now = make(chan struct{}, 1)
}

func (r *runner) serve() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	for path, fn := range map[string]func(map[string]any) (int, map[string]any){"/run-start": r.runStart, "/run-stop": r.runStop, "/pace": r.pace} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, q *http.Request) { r.handle(w, q, path, fn) })
	}
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, q *http.Request) { r.handle(w, q, "/hold", r.hold) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {})
	srv := &http.Server{Handler: mux}
	r.mu.Lock()
	r.server = srv
	r.mu.Unlock()
	go srv.Serve(ln)
	go r.beat(srv)
	go r.watch(srv)
	return nil
}

func (r *runner) handle(w http.ResponseWriter, q *http.Request, path string, fn func(map[string]any) (int, map[string]any)) {
	b, _ := io.ReadAll(q.Body)
	var body map[string]any
	if json.Unmarshal(b, &body) != nil {
		w.WriteHeader(400)
		return
	}
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(421)
		return
	}
	r.mu.Lock()
	answer := r.answer
	r.mu.Unlock()
	if answer != nil && !answer(path, body) {
		time.Sleep(time.Second)
		panic(http.ErrAbortHandler)
	}
	status, reply := fn(body)
	if path == "/hold" {
		running, _ := reply["running"].([][]any)
		ended, _ := reply["ended"].([][]any)
		r.c.note("%s /hold deadline %v ack %v fence %v -> %d running %d ended %v %v", r.id, body["deadline_ms"], body["ack_cursor"], body["fencing_token"], status, len(running), ended, reply["reason"])
	} else {
		r.c.note("%s %s %s run %v fence %v -> %d %v", r.id, path, body["task"], body["run"], body["fencing_token"], status, reply["reason"])
	}
	out, _ := json.Marshal(reply)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(out)
}

func (r *runner) clock() int64 { return time.Since(r.start).Milliseconds() }

// fenced reports whether a call carries a lower fence number than an earlier one.
// The caller holds r.mu.
func (r *runner) fenced(b map[string]any) bool {
	f := uint64(number(b["fencing_token"]))
	if f < r.fence {
		return true
	}
	r.fence = f
	return false
}

func number(v any) float64 {
	f, _ := v.(float64)
	return f
}

// extend extends the lease, which never gets shorter. The caller holds r.mu.
func (r *runner) extend(v any) {
	if v == nil {
		return
	}
	end := r.start.Add(time.Duration(number(v)) * time.Millisecond)
	if most := time.Now().Add(holdMax); end.After(most) {
		end = most
	}
	if time.Now().After(r.leaseEnd) {
		r.lapses++
	}
	if end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

func (r *runner) refuse(reason string) (int, map[string]any) {
	return 409, map[string]any{"clock_ms": r.clock(), "reason": reason}
}

func (r *runner) runStart(b map[string]any) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _ := b["task"].(string)
	n := int(number(b["run"]))
	spec, _ := b["spec"].(string)
	if r.fenced(b) {
		return r.refuse("fence")
	}
	if t := r.runs[name]; t != nil && t.run == n {
		return 200, map[string]any{"clock_ms": r.clock()}
	}
	if r.clock() > int64(number(b["deadline_ms"])) {
		return r.refuse("late")
	}
	r.extend(b["deadline_ms"])
	if n <= r.floor[name] || r.runs[name] != nil {
		return r.refuse("old")
	}
	t := &task{run: n, since: time.Now()}
	t.saved, _ = b["last_checkpoint"].(string)
	if r.c.watchStart != nil {
		r.c.watchStart(r, name, n, t.saved)
	}
	f := strings.Fields(spec)
	for i := 0; i+1 < len(f); i += 2 {
		v, _ := strconv.Atoi(f[i+1])
		switch f[i] {
		case "work":
			t.work = time.Duration(v) * time.Millisecond
		case "lasting":
			t.lasting = true
		case "gpu":
			t.gpu = v
		case "fail":
			if n <= v {
				t.fails = true
			}
		case "saves":
			t.saves = true
		}
	}
	used := 0
	for _, o := range r.runs {
		used += o.gpu
	}
	if used+t.gpu > r.gpu && !r.unguarded {
		return r.refuse("room")
	}
	r.runs[name] = t
	r.c.began(name, n, r)
	if r.c.membersOf != nil {
		t.members = r.c.membersOf(name)
	}
	if t.members > 0 {
		t.waits = true
		go r.c.join(r, name, n, t)
	}
	if used+t.gpu > r.gpu {
		r.c.violation("LIMIT: %s has %d gpu in use after the start of %s run %d", r, used+t.gpu, name, n)
	}
	return 200, map[string]any{"clock_ms": r.clock()}
}

func (r *runner) runStop(b map[string]any) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _ := b["task"].(string)
	n := int(number(b["run"]))
	if r.fenced(b) {
		return r.refuse("fence")
	}
	r.floor[name] = max(r.floor[name], n)
	if t := r.runs[name]; t != nil && t.run <= n && !t.stopping {
		t.stopping = true
		time.AfterFunc(stopTimeout/2, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.runs[name] == t {
				r.end(name, "stopped")
			}
		})
	}
	return 200, map[string]any{"clock_ms": r.clock()}
}

func (r *runner) pace(b map[string]any) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(b) {
		return r.refuse("fence")
	}
	return 200, map[string]any{"clock_ms": r.clock()}
}

func (r *runner) hold(b map[string]any) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(b) {
		return r.refuse("fence")
	}
	r.extend(b["deadline_ms"])
	ack := int(number(b["ack_cursor"]))
	for len(r.ended) > 0 && r.ended[0][0].(int) <= ack {
		r.c.noted(r, r.ended[0])
		r.ended = r.ended[1:]
	}
	until := time.Now().Add(time.Duration(min(number(b["wait_ms"]), 2000)) * time.Millisecond)
	for len(r.ended) == 0 && time.Now().Before(until) && !r.down {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		}
		r.mu.Lock()
	}
	running := [][]any{}
	for name, t := range r.runs {
		running = append(running, []any{name, t.run, t.saved, t.percent(), 0})
	}
	ended := r.ended
	if ended == nil {
		ended = [][]any{}
	}
	return 200, map[string]any{"clock_ms": r.clock(), "born": r.born, "running": running, "ended": ended}
}

// startup is how long a task that lasts is not at work after its start.
const startup = 500 * time.Millisecond

func (t *task) percent() int {
	if t.waits {
		return 0
	}
	if t.lasting {
		if time.Since(t.since) < startup {
			return 0
		}
		return 100
	}
	return min(99, int(100*time.Since(t.since)/t.work))
}

// end ends a run and lists its end. The caller holds r.mu.
func (r *runner) end(name, how string) {
	t := r.runs[name]
	delete(r.runs, name)
	r.floor[name] = max(r.floor[name], t.run)
	r.numbers++
	if t.saves && how == "stopped" && !t.waits {
		t.save(r, name)
	}
	if t.members > 0 && how != "done" {
		go r.c.breakGang(name, t.run)
	}
	r.ended = append(r.ended, []any{r.numbers, name, t.run, how, t.saved})
	if r.c.watchEnd != nil {
		r.c.watchEnd(r, name, t.run, how)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.c.over(name, t.run, r, how)
}

// save writes a checkpoint. The caller holds r.mu.
func (t *task) save(r *runner, name string) {
	t.savedAt = time.Now()
	t.saved = fmt.Sprintf("%s/%d/%d", name, t.run, time.Now().UnixNano())
}

// watch ends runs that are done and those whose lease has lapsed.
func (r *runner) watch(srv *http.Server) {
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		if r.server != srv {
			r.mu.Unlock()
			return
		}
		for name, t := range r.runs {
			switch {
			case time.Now().After(r.leaseEnd):
				r.end(name, "lapsed")
			case t.waits:
				if time.Since(t.since) > gangTimeout && !t.stopping {
					r.end(name, "alone")
				}
			case !t.lasting && !t.stopping && time.Since(t.since) >= t.work:
				if t.fails {
					r.end(name, "failed")
				} else {
					r.end(name, "done")
				}
			case t.saves && time.Since(t.savedAt) > 500*time.Millisecond:
				t.save(r, name)
			}
		}
		r.mu.Unlock()
	}
}

// halt takes the runner down: all that runs ends, nothing is listed any more.
func (r *runner) halt(why string) {
	r.mu.Lock()
	srv := r.server
	r.server, r.down = nil, true
	for name, t := range r.runs {
		r.c.over(name, t.run, r, why)
		if t.members > 0 {
			go r.c.breakGang(name, t.run)
		}
	}
	r.runs = map[string]*task{}
	r.ended = nil
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// beat reports the runner to control hosts, the last one that answered first.
func (r *runner) beat(srv *http.Server) {
	client := &http.Client{Timeout: time.Second}
	next := r.first
	// Runners don't report at the same moments.
	time.Sleep(rand.N(heartbeat))
	for {
		r.mu.Lock()
		if r.server != srv {
			r.mu.Unlock()
			return
		}
		r.seq++
		state, left := "ready", int64(0)
		if r.draining {
			state, left = "draining", max(0, time.Until(r.leaves).Milliseconds())
		}
		b, _ := json.Marshal(map[string]any{
			"remaining_ms": left,
			"service":      "fit", "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": 128000, "mem_mb": 262144, "gpu": r.gpu}, "labels": []string{"a", r.rack},
			"machine": r.machine, "clock_ms": r.clock(), "seq": r.seq, "born": r.born,
		})
		cut := r.cut
		r.mu.Unlock()
		for range r.c.controls {
			if cut {
				break
			}
			addr := r.c.controls[next%len(r.c.controls)]
			resp, err := client.Post("http://"+addr+"/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader(b))
			if err != nil {
				r.c.note("%s heartbeat %s to %s -> no answer", r.id, state, addr)
			}
			if err == nil {
				r.c.note("%s heartbeat %s to %s -> %d", r.id, state, addr, resp.StatusCode)
				resp.Body.Close()
				if resp.StatusCode/100 == 2 {
					if state == "draining" {
						r.mu.Lock()
						if r.drained.IsZero() {
							r.drained = time.Now()
						}
						r.mu.Unlock()
					}
					break
				}
			}
			next++
		}
		select {
		case <-r.now:
		case <-time.After(heartbeat):
		}
	}
}

// leave announces that the runner leaves after a time.
func (r *runner) leave(after time.Duration) {
	r.mu.Lock()
	r.draining, r.leaves, r.drained = true, time.Now().Add(after), time.Time{}
	r.mu.Unlock()
	r.now <- struct{}{}
}

// confirmed returns when the announcement was acknowledged, or zero.
func (r *runner) confirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drained
}

func (r *runner) String() string { return fmt.Sprintf("%s on %s", r.id, r.machine) }
