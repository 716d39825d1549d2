package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStations(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hosts that find each other")
}

// site is a deployment of real processes on loopback addresses: three control
// hosts, two entry hosts and stand-in runners, with the settings that the
// template of the deploy file renders.
type site struct {
	dir, bin  string
	port      int
	processes map[string]*exec.Cmd
	fields    map[string]map[string]any
}

var controls = []string{"127.0.71.1", "127.0.71.2", "127.0.71.3"}

func newSite() *site {
	s := &site{dir: GinkgoT().TempDir(), processes: map[string]*exec.Cmd{}, fields: map[string]map[string]any{}, port: freeOn(controls[0])}
	s.bin = filepath.Join(s.dir, "carawayshift")
	out, err := exec.Command("go", "build", "-o", s.bin, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	DeferCleanup(s.stopAll)
	for i, ip := range controls {
		s.host(fmt.Sprintf("core-%d", i+1), ip, true)
	}
	s.host("front-1", "127.0.71.11", false)
	s.host("front-2", "127.0.71.12", false)
	for i := range 4 {
		addr := fmt.Sprintf("127.0.71.%d", 101+i)
		s.start(fmt.Sprint("agent-", i), "standin", "agent", "--id", fmt.Sprint("i-", i), "--zone", "belmont", "--rack", "r1", "--service", "fit",
			"--listen", fmt.Sprintf("%s:%d", addr, s.port), "--control", s.control(0), "--control", s.control(1), "--control", s.control(2), "--work", "300ms")
	}
	return s
}

// freeOn returns a port that was free on an address a moment ago.
func freeOn(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (s *site) control(i int) string { return fmt.Sprintf("%s:%d", controls[i], s.port) }

func (s *site) host(name, ip string, control bool) {
	addr := fmt.Sprintf("%s:%d", ip, s.port)
	f := map[string]any{
		"node": name, "zone": "belmont", "region": "north", "ip": ip, "internal_ports": []any{s.port + 1}, "bootstrap": true, "fault_tolerance": map[string]any{"machines": 1},
		"seeds": []any{s.control(0), s.control(1), s.control(2)}, "heartbeat_ms": 500, "zones": map[string]any{"belmont": "north"},
		"limits": map[string]any{"memory_mb": 256}, "cloud_api": map[string]any{"address": ""},
		"bounds": map[string]any{
			"hold_max_ms": 6000, "stop_timeout_ms": 400, "reclaim_ms": 2900, "notice_ms": 5500, "maintenance_s": 2, "spread_factor": 3, "status_s": 120,
		},
	}
	if control {
		f["data_dir"] = filepath.Join(s.dir, name)
		f["listen"] = map[string]any{"control": addr}
	} else {
		f["listen"] = map[string]any{"front": addr, "readiness": fmt.Sprintf("%s:%d", ip, s.port+2)}
	}
	s.fields[name] = f
	s.startHost(name)
}

func (s *site) startHost(name string) {
	b, err := os.ReadFile("../../deploy/host.ini")
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(s.dir, name+".ini")
	Expect(os.WriteFile(file, []byte(render(string(b), s.fields[name])), 0o600)).To(Succeed())
	out, err := exec.Command(s.bin, "check", file).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	s.start(name, "serve", "--settings", file)
}

func (s *site) start(name string, args ...string) {
	cmd := exec.Command(s.bin, args...)
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	cmd.Stdout, cmd.Stderr = log, log
	Expect(cmd.Start()).To(Succeed())
	_ = log.Close()
	s.processes[name] = cmd
}

func (s *site) kill(name string) {
	cmd := s.processes[name]
	Expect(cmd.Process.Kill()).To(Succeed())
	_ = cmd.Wait() // the exit code of a killed process says nothing
	delete(s.processes, name)
}

func (s *site) stopAll() {
	for name, cmd := range s.processes {
		_ = cmd.Process.Signal(syscall.SIGKILL) // a process that has ended already needs none
		_ = cmd.Wait()
		if CurrentSpecReport().Failed() {
			b, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
			GinkgoWriter.Printf("== %s\n%s\n", name, b)
		}
	}
}

// call sends a request and returns the status and body; 0 without an answer.
func (s *site) call(method, addr, host, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = host
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("Deadline-Remaining", "3000")
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

func (s *site) entry(n int) string { return fmt.Sprintf("127.0.71.%d:%d", 10+n, s.port) }

func (s *site) configure(version int) func() int {
	body, err := json.Marshal(map[string]any{
		"version":  version,
		"services": []any{map[string]any{"name": "fit", "admission_check": true}},
		"routes": []any{map[string]any{
			"name": "q", "host": "shop.example", "path_prefix": "/fit/", "service": "fit", "timeout_ms": 3000, "max_attempts": 2, "stretch": 3,
		}},
		"tenants": []any{map[string]any{"name": "carnival", "api_keys": []any{"key-1"}}},
	})
	Expect(err).NotTo(HaveOccurred())
	return func() int {
		status, _ := s.call("POST", s.control(0), "", "/config/replace", string(body))
		return status
	}
}

func (s *site) submit(n int, id, body string) func() int {
	return func() int {
		status, _ := s.call("POST", s.entry(n), "shop.example", "/fit/"+id, body)
		return status
	}
}

func (s *site) state(n int, id string) func() string {
	return func() string {
		_, body := s.call("GET", s.entry(n), "shop.example", "/fit/"+id, "")
		return strings.TrimSpace(body)
	}
}

var _ = Describe("a deployment without a list of hosts", Ordered, func() {
	var s *site
	job := `{"spec":"x","steps":[{"count":3,"cpu":1000,"gpu":1},{"count":2,"cpu":1000,"after":[0]}]}`

	BeforeAll(func() { s = newSite() })

	It("takes a configuration and runs a batch from end to end", func() {
		Eventually(s.configure(1), patience, poll).Should(Equal(200))
		Eventually(s.submit(1, "00000000000000a1", job), patience, poll).Should(Equal(200))
		Eventually(s.state(2, "00000000000000a1"), patience, poll).Should(Equal(`{"state":"completed"}`))
	})

	It("goes on when a control host is killed, and takes it back with its disk gone", func() {
		s.kill("core-1")
		Eventually(s.submit(2, "00000000000000a2", job), patience, poll).Should(Equal(200))
		Eventually(s.state(1, "00000000000000a2"), patience, poll).Should(Equal(`{"state":"completed"}`))
		Expect(os.RemoveAll(filepath.Join(s.dir, "core-1"))).To(Succeed())
		s.fields["core-1"]["bootstrap"] = false
		s.startHost("core-1")
		Eventually(func() string {
			b, _ := os.ReadFile(filepath.Join(s.dir, "core-2.log"))
			c, _ := os.ReadFile(filepath.Join(s.dir, "core-3.log"))
			return string(b) + string(c)
		}, patience, poll).Should(MatchRegexp(`"change":"promote".*"member":"127-0-71-1"`))
	})

	It("keeps everything when all control hosts are killed at once", func() {
		Eventually(s.configure(2), patience, poll).Should(Equal(200))
		Eventually(s.submit(1, "00000000000000a3", job), patience, poll).Should(Equal(200))
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			s.kill(name)
		}
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			s.startHost(name)
		}
		Eventually(s.state(1, "00000000000000a3"), patience, poll).Should(Equal(`{"state":"completed"}`))
		Eventually(func() string {
			_, body := s.call("GET", s.control(1), "", "/config/read", "")
			return body
		}, patience, poll).Should(ContainSubstring(`"version":2`))
	})

	It("answers what it can't serve", func() {
		status, _ := s.call("GET", s.entry(1), "shop.example", "/fit/00000000000000ff", "")
		Expect(status).To(Equal(410))
		status, _ = s.call("POST", s.entry(1), "shop.example", "/other/00000000000000ff", job)
		Expect(status).To(Equal(404))
		status, _ = s.call("POST", s.entry(1), "shop.example", "/fit/00000000000000ff", "{")
		Expect(status).To(Equal(400))
	})

	It("stops gracefully", func() {
		cmd := s.processes["front-1"]
		Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(cmd.Wait()).To(Succeed())
		delete(s.processes, "front-1")
	})
})

var (
	section = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}\n?(.*?)\{\{/(\w+)\}\}\n?`)
	place   = regexp.MustCompile(`\{\{([\w.@]+)\}\}`)
)

// render fills in a settings template the way the platform does, as far as the
// deploy file uses it.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(m string) string {
		parts := section.FindStringSubmatch(m)
		switch v := fields[parts[1]].(type) {
		case nil:
			return ""
		case map[string]any:
			var out bytes.Buffer
			for k, x := range v {
				out.WriteString(strings.NewReplacer("{{@}}", k, "{{.}}", fmt.Sprint(x)).Replace(parts[2]))
			}
			return out.String()
		}
		return parts[2]
	})
	return place.ReplaceAllStringFunc(text, func(m string) string {
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
		var list []string
		for _, e := range x {
			list = append(list, fmt.Sprint(e))
		}
		return strings.Join(list, ",")
	}
	return fmt.Sprint(v)
}
