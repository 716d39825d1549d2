package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment on loopback addresses: three control hosts and two
// entry hosts as processes, with the command of the deploy file, and stand-ins.
type deployment struct {
	dir, bin string
	net      int
	port     int
	controls []string
	entries  []string
	machines string
	runners  []*runner
	client   *http.Client

	mu     sync.Mutex
	began0 time.Time
	record *os.File
	hosts  map[string]*process
	// work holds what runners have begun and ended.
	work []span
	// violations are the broken rules that a watch has seen.
	violations []string
	watchStart func(r *runner, task string, run int, saved string)
	watchEnd   func(r *runner, task string, run int, how string)
	watchNoted func(r *runner, e []any)
	// spread makes runners report to different control hosts.
	spread    bool
	membersOf func(task string) int
	gangs     map[string]map[string]member
}

// member is a run of a gang that is on a runner.
type member struct {
	r *runner
	t *task
}

type process struct {
	file string
	cmd  *exec.Cmd
}

// span is one run on a runner.
type span struct {
	task   string
	run    int
	runner *runner
	from   time.Time
	to     time.Time
	how    string
}

// couldNotRun ends the program with status 2.
type couldNotRun struct{ text string }

func fail(format string, args ...any) { panic(couldNotRun{fmt.Sprintf(format, args...)}) }

func newDeployment() *deployment {
	bin := os.Getenv("CARAWAYSHIFT")
	if _, err := os.Stat(bin); err != nil {
		fail("the program is not built: %v", err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail("%v", err)
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fail("%v", err)
	}
	d := &deployment{
		dir: dir, bin: bin, began0: time.Now(), record: record, hosts: map[string]*process{},
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	d.reserve()
	for i := range 3 {
		d.controls = append(d.controls, d.address(i+1, 0))
	}
	d.entries = []string{d.address(11, 0), d.address(12, 0)}
	d.machines = d.address(50, 0)
	return d
}

// reserve finds a loopback network and ports that nobody uses.
func (d *deployment) reserve() {
	for range 200 {
		d.net, d.port = 20+rand.IntN(200), 20000+rand.IntN(20000)
		free := true
		for _, n := range []int{1, 2, 3, 11, 12, 50, 101, 102, 103, 104, 105, 106} {
			for off := range 4 {
				ln, err := net.Listen("tcp", d.address(n, off))
				if err != nil {
					free = false
					continue
				}
				ln.Close()
			}
		}
		if free {
			return
		}
	}
	fail("no free loopback addresses")
}

func (d *deployment) ip(n int) string { return fmt.Sprintf("127.%d.1.%d", d.net, n) }

func (d *deployment) address(n, offset int) string {
	return fmt.Sprintf("%s:%d", d.ip(n), d.port+offset)
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.began0).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) began(task string, run int, r *runner) {
	d.mu.Lock()
	d.work = append(d.work, span{task: task, run: run, runner: r, from: time.Now()})
	d.mu.Unlock()
	d.note("BEGAN %s run %d on %s", task, run, r)
}

func (d *deployment) over(task string, run int, r *runner, how string) {
	d.mu.Lock()
	for i := range d.work {
		if s := &d.work[i]; s.task == task && s.run == run && s.runner == r && s.to.IsZero() {
			s.to, s.how = time.Now(), how
		}
	}
	d.mu.Unlock()
	d.note("ENDED %s run %d on %s: %s", task, run, r, how)
}

func (d *deployment) noted(r *runner, e []any) {
	d.note("end taken note of: %v", e)
	if d.watchNoted != nil {
		d.watchNoted(r, e)
	}
}

func (d *deployment) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.mu.Lock()
	d.violations = append(d.violations, text)
	d.mu.Unlock()
	d.note("VIOLATION %s", text)
}

// open returns the runs of a job that are on a runner now.
func (d *deployment) open(job string) (list []span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.work {
		if (s.task == job || strings.HasPrefix(s.task, job+".")) && s.to.IsZero() {
			list = append(list, s)
		}
	}
	return list
}

// starts returns all runs of a job that ever began.
func (d *deployment) starts(job string) (list []span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.work {
		if s.task == job || strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

var zoneNames = []string{"a", "b", "c"}

// settings writes the settings of a host, with the values of a small deployment.
func (d *deployment) settings(name string, n int, control, first bool) string {
	var b strings.Builder
	zone := zoneNames[(n-1)%3]
	fmt.Fprintf(&b, "[host]\nname = %s\nzone = %s\nregion = north\naddresses = %s\n\n[listen]\npeers = %s\nmetrics = %s\n", name, zone, d.ip(n), d.address(n, 1), d.address(n, 3))
	if control {
		fmt.Fprintf(&b, "control = %s\n\n[control]\ndata = %s\n", d.address(n, 0), filepath.Join(d.dir, name))
	} else {
		fmt.Fprintf(&b, "entry = %s\nready = %s\n", d.address(n, 0), d.address(n, 2))
	}
	fmt.Fprintf(&b, "\n[join]\nseeds = %s\nfirst = %t\nlosses = 1\n", strings.Join(d.controls, ","), first)
	fmt.Fprintf(&b, "\n[runners]\nlease = %s\nheartbeat = %s\nstop = %s\nreclaim = 2900ms\nnotice = 5500ms\nupkeep = 2s\nremote = 3\n", holdMax, heartbeat, stopTimeout)
	fmt.Fprintf(&b, "\n[services]\nmachines = %s\n", d.machines)
	b.WriteString("\n[batches]\nkeep = 120s\n\n[limits]\nmemory = 280MB\n\n[log]\nlevel = info\nformat = json\n\n[zones]\na = north\nb = north\nc = north\n")
	file := filepath.Join(d.dir, name+".ini")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		fail("%v", err)
	}
	return file
}

func (d *deployment) startHosts() {
	for i := range 3 {
		d.startHost(fmt.Sprintf("core-%d", i+1), i+1, true, true)
	}
	for i := range 2 {
		d.startHost(fmt.Sprintf("front-%d", i+1), 11+i, false, true)
	}
}

func (d *deployment) startHost(name string, n int, control, first bool) {
	p := &process{file: d.settings(name, n, control, first)}
	d.hosts[name] = p
	d.launch(name)
}

func (d *deployment) launch(name string) {
	p := d.hosts[name]
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer log.Close()
	p.cmd = exec.Command(d.bin, "serve", "--settings", p.file)
	p.cmd.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		fail("%v", err)
	}
	d.note("process %s started", name)
}

func (d *deployment) signal(name string, s syscall.Signal) {
	p := d.hosts[name]
	if p == nil || p.cmd == nil {
		return
	}
	p.cmd.Process.Signal(s)
	d.note("process %s got %s", name, s)
}

func (d *deployment) wait(name string) {
	if p := d.hosts[name]; p != nil && p.cmd != nil {
		p.cmd.Wait()
	}
}

func (d *deployment) stop() {
	for _, r := range d.runners {
		r.halt("end of the test")
	}
	for name, p := range d.hosts {
		if p.cmd == nil {
			continue
		}
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		d.wait(name)
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", d.dir)
		return
	}
	os.RemoveAll(d.dir)
}

// call sends one request and returns the status, 0 without an answer, and the body.
func (d *deployment) call(method, addr, path, key string, body any) (int, string) {
	var rd io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, rd)
	if err != nil {
		fail("%v", err)
	}
	req.Host = "fit.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Remaining", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// order sends an order of the operator, to each control host in turn, until one
// confirms it.
func (d *deployment) order(path string, body any, limit time.Duration) time.Time {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		status, text := d.call("POST", d.controls[i%len(d.controls)], path, "", body)
		d.note("operator: POST %s -> %d %.80s", path, status, text)
		if status/100 == 2 {
			return time.Now()
		}
		if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			fail("order %s refused: %d %s", path, status, text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	fail("order %s was not confirmed", path)
	return time.Time{}
}

// submit hands a job in until it is accepted, and returns the time of the confirmation.
func (d *deployment) submit(queue, id, key, spec string, steps ...map[string]any) time.Time {
	end := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		status, text := d.call("POST", d.entries[i%len(d.entries)], "/"+queue+"/"+id, key, map[string]any{"spec": spec, "steps": steps})
		d.note("requester: POST /%s/%s -> %d %.80s", queue, id, status, text)
		if status/100 == 2 {
			return time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	fail("job %s was not accepted", id)
	return time.Time{}
}

// cancel cancels a job, at both entry hosts, and returns the time of the first
// confirmation.
func (d *deployment) cancel(queue, id, key string, limit time.Duration) (time.Time, bool) {
	end := time.Now().Add(limit)
	confirmed := make(chan time.Time, len(d.entries))
	for _, e := range d.entries {
		go func() {
			for time.Now().Before(end) {
				status, text := d.call("DELETE", e, "/"+queue+"/"+id, key, nil)
				d.note("requester: DELETE /%s/%s at %s -> %d %.80s", queue, id, e, status, text)
				if status/100 == 2 || status == 410 {
					confirmed <- time.Now()
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	select {
	case at := <-confirmed:
		return at, true
	case <-time.After(time.Until(end)):
		return time.Time{}, false
	}
}

func (d *deployment) state(queue, id, key string) (int, string) {
	status, text := d.call("GET", d.entries[0], "/"+queue+"/"+id, key, nil)
	d.note("requester: GET /%s/%s -> %d %.80s", queue, id, status, text)
	return status, text
}

// until waits for a condition and reports whether it came true.
func until(limit time.Duration, ok func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if ok() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ok()
}

func route(name string, priority int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": "fit.example", "path_prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 500,
		"priority": priority, "service": "fit", "max_attempts": 3, "stretch": 1.5, "public": false, "allowed_regions": []string{},
	}
}

func tenant(name string, gpu int) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{"key-" + name}, "priority": 1, "guaranteed": map[string]any{"gpu": gpu}, "allowed_regions": []string{}}
}

// desired is a desired state with the queues "urgent" (priority 0) and "batch"
// (priority 2) and two tenants.
func desired(version int) map[string]any {
	return map[string]any{
		"version": version, "routes": []any{route("urgent", 0), route("batch", 2)},
		"services": []any{map[string]any{
			"name": "fit", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0, "admission_check": true, "standby": false,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{tenant("ann", 16), tenant("bob", 8)},
	}
}

// bring starts hosts and n runners, one in each zone in turn, and puts the desired
// state in force.
func (d *deployment) bring(n int) {
	for i := range n {
		r := newRunner(d, fmt.Sprintf("i-%d", i+1), zoneNames[i%3], fmt.Sprintf("r%d-%d", i%3, i/24), fmt.Sprintf("m-%d", i+1), i+1)
		d.runners = append(d.runners, r)
		if d.spread {
			r.first = i % 3
		}
		if err := r.serve(); err != nil {
			fail("%v", err)
		}
	}
	d.startHosts()
	d.order("/config/replace", desired(7), 30*time.Second)
	ready := until(20*time.Second, func() bool {
		for _, e := range d.entries {
			if status, _ := d.call("GET", e, "/urgent/", "key-ann", nil); status != 200 {
				return false
			}
		}
		return true
	})
	if !ready {
		fail("the entry hosts don't answer")
	}
	time.Sleep(2 * heartbeat)
}
