package main

import (
	"errors"
	"fmt"
	"io"
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

// Bounds of the small deployment whose sheet a case follows, see SYSTEM.md.
type Bounds struct {
	HoldMaxMs, StopMs, ReclaimMs, NoticeMs, HeartbeatMs int
}

// mokojumbie has the bounds of mokojumbie-shift.
var mokojumbie = Bounds{HoldMaxMs: 10000, StopMs: 900, ReclaimMs: 3400, NoticeMs: 5500, HeartbeatMs: 1500}

// kmw has the bounds of kmw-shift.
var kmw = Bounds{HoldMaxMs: 6000, StopMs: 400, ReclaimMs: 2900, NoticeMs: 5500, HeartbeatMs: 1500}

const port = 8526

// Deployment is one of the project's own processes on loopback addresses.
type Deployment struct {
	root, dir string
	bounds    Bounds
	number    int
	lock      net.Listener
	record    *Record
	trouble   bool

	mu    sync.Mutex
	procs map[string]*exec.Cmd
	// values are what the template of each host is filled with.
	values map[string]map[string]any
	// cloud is the address of the stand-in of the platform's own service.
	cloud string
}

// newDeployment reserves a loopback network 127.N.0.0/16 and a temporary folder.
func newDeployment(root string, b Bounds, rec *Record, trouble bool) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{root: root, dir: dir, bounds: b, record: rec, trouble: trouble, procs: map[string]*exec.Cmd{}, values: map[string]map[string]any{}}
	start := os.Getpid()
	for i := range 200 {
		d.number = 20 + (start+i)%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:20999", d.number))
		if err == nil {
			d.lock = l
			return d, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, errors.New("no free loopback network")
}

func (d *Deployment) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.number, third, fourth)
}

func (d *Deployment) control(i int) string { return fmt.Sprintf("%s:%d", d.ip(1, i+1), port) }
func (d *Deployment) entry(i int) string   { return fmt.Sprintf("%s:%d", d.ip(1, i+11), port) }

func (d *Deployment) controls() []string {
	return []string{d.control(0), d.control(1), d.control(2)}
}

// startHosts starts three control hosts and some entry hosts.
func (d *Deployment) startHosts(entries int) error {
	for i := range 3 {
		if err := d.addHost(fmt.Sprintf("core-%d", i+1), d.ip(1, i+1), true); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := d.addHost(fmt.Sprintf("front-%d", i+1), d.ip(1, i+11), false); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) addHost(name, ip string, control bool) error {
	addr := fmt.Sprintf("%s:%d", ip, port)
	v := map[string]any{
		"node": name, "zone": "zone-a", "region": "region-a", "ip": ip, "internal_ports": []any{port + 1, port + 9}, "bootstrap": true,
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"seeds":           []any{d.control(0), d.control(1), d.control(2)}, "heartbeat_ms": d.bounds.HeartbeatMs,
		"zones":     map[string]any{"zone-a": "region-a"},
		"limits":    map[string]any{"memory_mb": 284, "max_fds": 4100},
		"cloud_api": map[string]any{"address": d.cloud},
		"bounds": map[string]any{
			"hold_max_ms": d.bounds.HoldMaxMs, "stop_timeout_ms": d.bounds.StopMs, "reclaim_ms": d.bounds.ReclaimMs, "notice_ms": d.bounds.NoticeMs,
			"maintenance_s": 2, "spread_factor": 3, "status_s": 120,
		},
	}
	if control {
		v["data_dir"] = filepath.Join(d.dir, name)
		v["listen"] = map[string]any{"control": addr}
		if err := os.MkdirAll(filepath.Join(d.dir, name), 0o700); err != nil {
			return err
		}
	} else {
		v["listen"] = map[string]any{"front": addr, "readiness": fmt.Sprintf("%s:%d", ip, port+2)}
	}
	d.values[name] = v
	return d.startHost(name)
}

// startHost starts a process as the deploy file does, with the rendered template.
func (d *Deployment) startHost(name string) error {
	b, err := os.ReadFile(filepath.Join(d.root, "deploy", "host.ini"))
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, name+".ini")
	if err := os.WriteFile(file, []byte(render(string(b), d.values[name])), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(d.root, "target", "carawayshift"), "serve", "--settings", file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.procs[name] = cmd
	d.mu.Unlock()
	d.record.add("start of process %s, pid %d", name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to a process of this deployment.
func (d *Deployment) signal(name string, s syscall.Signal) {
	d.mu.Lock()
	cmd := d.procs[name]
	d.mu.Unlock()
	d.record.add("signal %v to %s", s, name)
	_ = cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		_ = cmd.Wait()
		d.mu.Lock()
		delete(d.procs, name)
		d.mu.Unlock()
	}
}

// close ends all processes that were started.
func (d *Deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, cmd := range d.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = d.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// logLines returns the lines of a host's log that contain all words.
func (d *Deployment) logLines(name string, words ...string) (list []string) {
	b, _ := os.ReadFile(filepath.Join(d.dir, name+".log"))
next:
	for _, l := range strings.Split(string(b), "\n") {
		for _, w := range words {
			if !strings.Contains(l, w) {
				continue next
			}
		}
		list = append(list, l)
	}
	return list
}

// call sends a request and returns the status and the body; 0 without an answer.
func call(method, addr, host, key, path, body string, timeout time.Duration) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Deadline-Remaining", fmt.Sprint(timeout.Milliseconds()))
	}
	req.Header.Set("Content-Type", "application/json")
	c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// operate sends an operator's order to the control hosts in turn until one confirms it.
func (d *Deployment) operate(method, path, body string, limit time.Duration) error {
	var status int
	var text string
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, a := range d.controls() {
			status, text = call(method, a, "", "", path, body, time.Second)
			if status/100 == 2 {
				d.record.add("operator: %s %s answered %d by %s", method, path, status, a)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s %s: %d %s", method, path, status, text)
}

// submit sends a job until it has a clear answer.
func (d *Deployment) submit(key, prefix, id, body string) error {
	var status int
	var text string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		status, text = call("POST", d.entry(0), "jobs.example", key, prefix+id, body, 3*time.Second)
		d.record.add("requester: POST %s%s answered %d %s", prefix, id, status, text)
		if status == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("POST %s%s: %d %s", prefix, id, status, text)
}

func (d *Deployment) get(key, path string) (int, string) {
	return call("GET", d.entry(0), "jobs.example", key, path, "", 3*time.Second)
}

// Record is the file record.txt.
type Record struct {
	mu    sync.Mutex
	start time.Time
	w     io.Writer
}

func (r *Record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
