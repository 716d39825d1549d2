package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

	"carawayshift.example/carawayshift/internal/standin/loopback"
)

func TestStations(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "batch deployment of hosts that find each other")
}

// batchDeployment is a deployment of real processes on loopback addresses: three
// control hosts, two entry hosts and stand-in runners. The settings are rendered
// from the template deploy/host.ini.
type batchDeployment struct {
	dir, bin       string
	network        *loopback.Network
	port           int
	processes      map[string]*exec.Cmd
	templateValues map[string]map[string]any
}

// controlHosts is the number of control hosts. Their addresses are 127.N.1.1 and so on.
const controlHosts = 3

func newBatchDeployment() *batchDeployment {
	network, err := loopback.Reserve()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(network.Close)
	d := &batchDeployment{dir: GinkgoT().TempDir(), network: network, processes: map[string]*exec.Cmd{}, templateValues: map[string]map[string]any{}, port: 8526}
	d.bin = filepath.Join(d.dir, "carawayshift")
	out, err := exec.Command("go", "build", "-o", d.bin, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	DeferCleanup(d.stopAll)
	for i := range controlHosts {
		d.addHost(fmt.Sprintf("core-%d", i+1), network.IP(1, i+1), true)
	}
	d.addHost("front-1", network.IP(1, 11), false)
	d.addHost("front-2", network.IP(1, 12), false)
	for i := range 4 {
		d.start(fmt.Sprint("agent-", i), "standin", "agent", "--id", fmt.Sprint("i-", i), "--zone", "belmont", "--rack", "r1", "--service", "fit",
			"--listen", network.Address(1, 101+i, d.port), "--control", d.controlAddress(0), "--control", d.controlAddress(1), "--control", d.controlAddress(2), "--work", "300ms")
	}
	return d
}

func (d *batchDeployment) controlAddress(i int) string {
	return d.network.Address(1, i+1, d.port)
}

func (d *batchDeployment) addHost(name, ip string, control bool) {
	addr := fmt.Sprintf("%s:%d", ip, d.port)
	f := map[string]any{
		"node": name, "zone": "belmont", "region": "north", "ip": ip, "internal_ports": []any{d.port + 1}, "bootstrap": true, "fault_tolerance": map[string]any{"machines": 1},
		"seeds": []any{d.controlAddress(0), d.controlAddress(1), d.controlAddress(2)}, "heartbeat_ms": 500, "zones": map[string]any{"belmont": "north"},
		"limits": map[string]any{"memory_mb": 256}, "cloud_api": map[string]any{"address": ""},
		"bounds": map[string]any{
			"hold_max_ms": 6000, "stop_timeout_ms": 400, "reclaim_ms": 2900, "notice_ms": 5500, "maintenance_s": 2, "spread_factor": 3, "status_s": 120,
		},
	}
	if control {
		f["data_dir"] = filepath.Join(d.dir, name)
		f["listen"] = map[string]any{"control": addr}
	} else {
		f["listen"] = map[string]any{"front": addr, "readiness": fmt.Sprintf("%s:%d", ip, d.port+2)}
	}
	d.templateValues[name] = f
	d.startHost(name)
}

func (d *batchDeployment) startHost(name string) {
	b, err := os.ReadFile("../../deploy/host.ini")
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(d.dir, name+".ini")
	Expect(os.WriteFile(file, []byte(render(string(b), d.templateValues[name])), 0o600)).To(Succeed())
	out, err := exec.Command(d.bin, "check", file).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	d.start(name, "serve", "--settings", file)
}

func (d *batchDeployment) start(name string, args ...string) {
	cmd := exec.Command(d.bin, args...)
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = ownSession()
	Expect(cmd.Start()).To(Succeed())
	_ = log.Close()
	d.processes[name] = cmd
}

func (d *batchDeployment) kill(name string) {
	cmd := d.processes[name]
	Expect(cmd.Process.Kill()).To(Succeed())
	_ = cmd.Wait() // the error only says that the process was killed
	delete(d.processes, name)
}

func (d *batchDeployment) stopAll() {
	for name, cmd := range d.processes {
		_ = cmd.Process.Signal(syscall.SIGKILL) // the process may have ended already
		_ = cmd.Wait()
		if CurrentSpecReport().Failed() {
			b, _ := os.ReadFile(filepath.Join(d.dir, name+".log"))
			GinkgoWriter.Printf("== %s\n%s\n", name, b)
		}
	}
}

// call sends a request and returns the status and the body; the status is 0 when
// there is no response.
func (d *batchDeployment) call(method, addr, host, path, body string) (int, string) {
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

func (d *batchDeployment) entryAddress(n int) string {
	return d.network.Address(1, 10+n, d.port)
}

func (d *batchDeployment) replaceCatalog(version int) func() int {
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
		status, _ := d.call("POST", d.controlAddress(0), "", "/config/replace", string(body))
		return status
	}
}

func (d *batchDeployment) submit(n int, id, body string) func() int {
	return func() int {
		status, _ := d.call("POST", d.entryAddress(n), "shop.example", "/fit/"+id, body)
		return status
	}
}

func (d *batchDeployment) state(n int, id string) func() string {
	return func() string {
		_, body := d.call("GET", d.entryAddress(n), "shop.example", "/fit/"+id, "")
		return strings.TrimSpace(body)
	}
}

var _ = Describe("a deployment without a list of hosts", Ordered, func() {
	var d *batchDeployment
	job := `{"spec":"x","steps":[{"count":3,"cpu":1000,"gpu":1},{"count":2,"cpu":1000,"after":[0]}]}`

	BeforeAll(func() { d = newBatchDeployment() })

	It("accepts a catalog and runs a batch to completion", func() {
		Eventually(d.replaceCatalog(1), stepTimeout, pollInterval).Should(Equal(200))
		Eventually(d.submit(1, "00000000000000a1", job), stepTimeout, pollInterval).Should(Equal(200))
		Eventually(d.state(2, "00000000000000a1"), stepTimeout, pollInterval).Should(Equal(`{"state":"completed"}`))
	})

	It("keeps running batches when a control host is killed, and readmits the host after it lost its disk", func() {
		d.kill("core-1")
		Eventually(d.submit(2, "00000000000000a2", job), stepTimeout, pollInterval).Should(Equal(200))
		Eventually(d.state(1, "00000000000000a2"), stepTimeout, pollInterval).Should(Equal(`{"state":"completed"}`))
		Expect(os.RemoveAll(filepath.Join(d.dir, "core-1"))).To(Succeed())
		d.templateValues["core-1"]["bootstrap"] = false
		d.startHost("core-1")
		Eventually(func() string {
			b, _ := os.ReadFile(filepath.Join(d.dir, "core-2.log"))
			c, _ := os.ReadFile(filepath.Join(d.dir, "core-3.log"))
			return string(b) + string(c)
		}, stepTimeout, pollInterval).Should(MatchRegexp(`"change":"promote".*"member":"` + strings.ReplaceAll(d.network.IP(1, 1), ".", "-") + `"`))
	})

	It("loses neither the catalog nor a batch when all control hosts are killed at once", func() {
		Eventually(d.replaceCatalog(2), stepTimeout, pollInterval).Should(Equal(200))
		Eventually(d.submit(1, "00000000000000a3", job), stepTimeout, pollInterval).Should(Equal(200))
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			d.kill(name)
		}
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			d.startHost(name)
		}
		Eventually(d.state(1, "00000000000000a3"), stepTimeout, pollInterval).Should(Equal(`{"state":"completed"}`))
		Eventually(func() string {
			_, body := d.call("GET", d.controlAddress(1), "", "/config/read", "")
			return body
		}, stepTimeout, pollInterval).Should(ContainSubstring(`"version":2`))
	})

	It("rejects unknown batches, unknown queues and malformed jobs", func() {
		status, _ := d.call("GET", d.entryAddress(1), "shop.example", "/fit/00000000000000ff", "")
		Expect(status).To(Equal(410))
		status, _ = d.call("POST", d.entryAddress(1), "shop.example", "/other/00000000000000ff", job)
		Expect(status).To(Equal(404))
		status, _ = d.call("POST", d.entryAddress(1), "shop.example", "/fit/00000000000000ff", "{")
		Expect(status).To(Equal(400))
	})

	It("stops gracefully", func() {
		cmd := d.processes["front-1"]
		Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(cmd.Wait()).To(Succeed())
		delete(d.processes, "front-1")
	})
})

var (
	section     = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}\n?(.*?)\{\{/(\w+)\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([\w.@]+)\}\}`)
)

// render fills in a settings template like the platform does. It supports only
// what deploy/host.ini uses.
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
	return placeholder.ReplaceAllStringFunc(text, func(m string) string {
		return lookup(fields, strings.Split(strings.Trim(m, "{}"), "."))
	})
}

func lookup(v any, path []string) string {
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
