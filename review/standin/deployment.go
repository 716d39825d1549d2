package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// errUnable is the cause of a case that could not run.
var errUnable = errors.New("the case could not run")

// deployment is a small deployment of the project's own programs on loopback: three
// control hosts and two entry hosts in three zones, with the bounds of kmw-shift.
type deployment struct {
	root, dir, bin, self string
	net                  int
	rec                  *record

	mu     sync.Mutex
	cmds   map[string]*exec.Cmd
	closed bool
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

var zones = []string{"kigali-a", "huye-a", "kigali-b"}

const (
	controlPort = 8526
	entryPort   = 8521
	readyPort   = 8523
	peerPort    = 7000
)

func newDeployment(caseDir string) (*deployment, error) {
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, bin: filepath.Join(root, "target", "carawayshift"), self: self, cmds: map[string]*exec.Cmd{}}
	if _, err := os.Stat(d.bin); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnable, err)
	}
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	d.rec = &record{f: f, began: time.Now()}
	if d.net, err = freeNetwork(); err != nil {
		return nil, err
	}
	return d, nil
}

// freeNetwork returns an N such that nothing listens on the first addresses of 127.N.
func freeNetwork() (int, error) {
	for n := 20 + os.Getpid()%200; n < 254; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", n, controlPort))
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return 0, fmt.Errorf("%w: no free loopback network", errUnable)
}

func (d *deployment) ip(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.net, group, host)
}

func (d *deployment) control(i int) string { return fmt.Sprintf("%s:%d", d.ip(1, i+1), controlPort) }

func (d *deployment) controls() []string { return []string{d.control(0), d.control(1), d.control(2)} }

func (d *deployment) entry(i int) string { return fmt.Sprintf("%s:%d", d.ip(1, i+11), entryPort) }

// startHosts starts the control and entry hosts with the settings that the platform makes
// from deploy/host.ini.
func (d *deployment) startHosts() error {
	for i := range 3 {
		fields := d.fields(fmt.Sprint("core-", zones[i], "-1"), i, d.ip(1, i+1))
		fields["data_dir"] = filepath.Join(d.dir, fmt.Sprint("core", i))
		fields["listen"] = map[string]any{"control": d.control(i)}
		if err := d.startHost(fmt.Sprint("core-", i), fields); err != nil {
			return err
		}
	}
	for i := range 2 {
		ip := d.ip(1, i+11)
		fields := d.fields(fmt.Sprint("front-", zones[i], "-1"), i, ip)
		fields["listen"] = map[string]any{"front": d.entry(i), "readiness": fmt.Sprintf("%s:%d", ip, readyPort)}
		if err := d.startHost(fmt.Sprint("front-", i), fields); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) fields(node string, zone int, ip string) map[string]any {
	seeds := []any{}
	for _, a := range d.controls() {
		seeds = append(seeds, a)
	}
	return map[string]any{
		"node": node, "zone": zones[zone], "region": strings.Split(zones[zone], "-")[0], "ip": ip,
		"internal_ports": []any{peerPort, peerPort + 15}, "bootstrap": true, "seeds": seeds, "heartbeat_ms": 1500,
		"fault_tolerance": map[string]any{"machines": 1}, "limits": map[string]any{"memory_mb": 280},
		"cloud_api": map[string]any{"address": ""}, "advice": "",
		"zones": map[string]any{"kigali-a": "kigali", "kigali-b": "kigali", "huye-a": "huye"},
		"bounds": map[string]any{
			"hold_max_ms": 6000, "stop_timeout_ms": 400, "reclaim_ms": 2900, "notice_ms": 5500, "maintenance_s": 2,
			"spread_factor": 3, "status_s": 120,
		},
	}
}

func (d *deployment) startHost(name string, fields map[string]any) error {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", "host.ini"))
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, name+".ini")
	if err := os.WriteFile(file, []byte(render(string(text), fields)), 0o600); err != nil {
		return err
	}
	return d.start(name, d.bin, "serve", "--settings", file)
}

// start starts a process; its output goes to a file in the temporary folder.
func (d *deployment) start(name, program string, args ...string) error {
	cmd := exec.Command(program, args...)
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return unable("the script was ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmds[name] = cmd
	d.rec.printf("process %s started", name)
	return nil
}

// startFleet starts the process of the runners.
func (d *deployment) startFleet(c fleetConfig) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, "fleet.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	return d.start("runners", d.self, "runners", file)
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, cmd := range d.cmds {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") != "" {
		d.rec.printf("logs are kept in %s", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}\n?(.*?)\{\{/(\w+)\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([\w.@]+)\}\}`)
)

// render fills in a template as DEPLOY.md says, as far as deploy/host.ini needs it.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(m string) string {
		parts := section.FindStringSubmatch(m)
		switch v := fields[parts[1]].(type) {
		case nil:
			return ""
		case map[string]any:
			var out strings.Builder
			for k, x := range v {
				out.WriteString(strings.NewReplacer("{{@}}", k, "{{.}}", fmt.Sprint(x)).Replace(parts[2]))
			}
			return out.String()
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(m string) string {
		return value(fields, strings.Split(strings.Trim(m, "{}"), "."))
	})
}

func value(v any, path []string) string {
	for _, p := range path {
		switch x := v.(type) {
		case map[string]any:
			v = x[p]
		case []any:
			v = x[0]
		}
	}
	switch x := v.(type) {
	case nil:
		return ""
	case []any:
		list := make([]string, len(x))
		for i, e := range x {
			list[i] = fmt.Sprint(e)
		}
		return strings.Join(list, ",")
	}
	return fmt.Sprint(v)
}
