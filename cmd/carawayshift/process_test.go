package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/internal/standin/loopback"
)

const (
	// stepTimeout bounds one step of a test. It is generous, because the
	// processes run in real time and the machine may be busy; it is not a
	// performance target.
	stepTimeout  = time.Minute
	pollInterval = 100 * time.Millisecond
	// dumpTime is how long a process takes to write the stacks of its goroutines.
	dumpTime = 500 * time.Millisecond
)

// deployment is a set of hosts, each a process of the built binary, on loopback.
type deployment struct {
	t     testing.TB
	g     Gomega
	dir   string
	bin   string
	hosts []*hostProcess
	// network holds the addresses of the hosts, 127.N.1.x, and of the stand-ins.
	network  *loopback.Network
	standins int
}

type hostProcess struct {
	name, zone, region, ip string
	http, operators, peers string
	voter                  bool
	cmd                    *exec.Cmd
	settings               string
}

func newDeployment(t testing.TB, hosts []*hostProcess) *deployment {
	d := &deployment{t: t, g: NewWithT(t), dir: t.TempDir(), hosts: hosts}
	var err error
	d.network, err = loopback.Reserve()
	d.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = d.network.Close() })
	d.bin = filepath.Join(d.dir, "carawayshift")
	out, err := exec.Command("go", "build", "-o", d.bin, ".").CombinedOutput()
	d.g.Expect(err).NotTo(HaveOccurred(), string(out))
	args := []string{"keys", "--dir", d.path("keys")}
	for i, h := range hosts {
		h.ip = d.network.IP(1, i+1)
		h.http, h.operators, h.peers = h.ip+":8480", h.ip+":8481", h.ip+":8482"
		args = append(args, "--host", h.name+"="+h.ip)
	}
	d.run(args...)
	for _, h := range hosts {
		d.writeSettings(h)
		d.start(h)
	}
	return d
}

func (d *deployment) path(name string) string { return filepath.Join(d.dir, name) }

// standinAddress returns the address of the next stand-in.
func (d *deployment) standinAddress() string {
	d.standins++
	return d.network.Address(2, d.standins, 9000)
}

func (d *deployment) writeSettings(h *hostProcess) {
	var b strings.Builder
	fmt.Fprintf(&b, "[host]\nname = %s\nzone = %s\nregion = %s\naddresses = %s\n", h.name, h.zone, h.region, h.ip)
	fmt.Fprintf(&b, "[listen]\nhttp = %s\noperators = %s\npeers = %s\n", h.http, h.operators, h.peers)
	fmt.Fprintf(&b, "[tls]\nca = %s\ncert = %s\nkey = %s\n", d.path("keys/ca.pem"), d.path("keys/"+h.name+".pem"), d.path("keys/"+h.name+".key"))
	if h.voter {
		fmt.Fprintf(&b, "[control]\ndata = %s\n", d.path(h.name))
	}
	b.WriteString("[zones]\nlaventille = north\nbelmont = north\nsan-fernando = south\n[peers]\n")
	for _, p := range d.hosts {
		voter := "no"
		if p.voter {
			voter = "yes"
		}
		fmt.Fprintf(&b, "%s = %s, %s, %s, %s, voter %s\n", p.name, p.zone, p.region, p.peers, p.http, voter)
	}
	h.settings = d.path(h.name + ".ini")
	d.g.Expect(os.WriteFile(h.settings, []byte(b.String()), 0o600)).To(Succeed())
}

// spawn starts a process, which is killed at the end of the test. If the test has failed,
// the log shows what the goroutines of the process wait for.
func (d *deployment) spawn(log string, args ...string) *exec.Cmd {
	f, err := os.OpenFile(d.path(log+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.g.Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(d.bin, args...)
	cmd.Stdout, cmd.Stderr = f, f
	cmd.SysProcAttr = ownSession()
	d.g.Expect(cmd.Start()).To(Succeed())
	d.t.Cleanup(func() {
		if d.t.Failed() && cmd.Process.Signal(syscall.SIGQUIT) == nil {
			time.Sleep(dumpTime)
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = f.Close()
		if d.t.Failed() {
			b, _ := os.ReadFile(d.path(log + ".log"))
			d.t.Logf("log of %s:\n%s", log, b)
		}
	})
	return cmd
}

// ownSession starts a process in a session of its own. In that of the test the kernel sends
// SIGHUP to stopped processes when the shell that started the test ends.
func ownSession() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setsid: true} }

func (d *deployment) start(h *hostProcess) {
	h.cmd = d.spawn(h.name, "serve", "--settings", h.settings)
}

func (d *deployment) kill(h *hostProcess) {
	d.g.Expect(h.cmd.Process.Signal(syscall.SIGKILL)).To(Succeed())
	_ = h.cmd.Wait()
}

func (d *deployment) run(args ...string) string {
	out, err := exec.Command(d.bin, args...).CombinedOutput()
	d.g.Expect(err).NotTo(HaveOccurred(), "%v: %s", args, out)
	return string(out)
}

// query sends a statement to the first host that answers.
func (d *deployment) query(statement string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	args := []string{"query", "--operator", "night"}
	for _, h := range d.hosts {
		args = append(args, "--entry", "http://"+h.operators)
	}
	out, err := exec.CommandContext(ctx, d.bin, append(args, statement)...).CombinedOutput()
	return string(out), err
}

// runUntilAccepted retries a statement until it is accepted. A retry is safe
// after a refusal as not run, or because the workers that the statement needs
// have not announced themselves yet.
func (d *deployment) runUntilAccepted(statement string) {
	d.g.Eventually(func() (string, error) { return d.query(statement) }, stepTimeout, pollInterval).Should(ContainSubstring("accepted"), statement)
}

func (d *deployment) queryFunc(statement string) func() (string, error) {
	return func() (string, error) { return d.query(statement) }
}

func get(url string) (string, error) {
	resp, err := (&http.Client{Timeout: stepTimeout}).Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, b)
	}
	return string(b), err
}

// Guards against components that work in one process but not as separate
// processes: the wiring, the settings and the keys are real, and the deployment
// must keep serving after hosts are killed.
func TestDeploymentSurvivesKills(t *testing.T) {
	lav1 := &hostProcess{name: "lav1", zone: "laventille", region: "north", voter: true}
	bel1 := &hostProcess{name: "bel1", zone: "belmont", region: "north", voter: true}
	bel2 := &hostProcess{name: "bel2", zone: "belmont", region: "north"}
	san1 := &hostProcess{name: "san1", zone: "san-fernando", region: "south", voter: true}
	d := newDeployment(t, []*hostProcess{lav1, bel1, bel2, san1})
	for i, h := range []*hostProcess{lav1, bel1, san1} {
		entries := []string{"--entry", "http://" + h.http}
		if h == bel1 {
			entries = append(entries, "--entry", "http://"+bel2.http)
		}
		d.spawn("r"+h.name, append([]string{"standin", "runner", "--name", "r" + h.name, "--zone", h.zone, "--service", "fitting", "--listen", d.standinAddress()}, entries...)...)
		for k := range 2 {
			name := fmt.Sprintf("w%d%d", i, k)
			d.spawn(name, append([]string{"standin", "worker", "--name", name, "--zone", h.zone, "--rack", "rack-" + h.name, "--listen", d.standinAddress()}, entries...)...)
		}
	}
	for _, s := range []string{
		"create zone laventille region north", "create zone belmont region north", "create zone san-fernando region south",
		"create team carnival guarantee 1x8", "create team wigs",
		"create job mask team carnival tasks 2 accelerators 8 run 2s",
	} {
		d.runUntilAccepted(s)
	}
	for _, h := range d.hosts {
		d.g.Eventually(func() (string, error) { return get("http://" + h.http + "/r/fitting/stilts") }, stepTimeout, pollInterval).Should(ContainSubstring("/r/fitting/stilts"))
	}
	d.g.Eventually(d.queryFunc("why job 1"), stepTimeout, pollInterval).Should(ContainSubstring("finished"))

	d.kill(bel2)
	d.kill(lav1)
	d.hosts = []*hostProcess{bel1, san1}
	d.runUntilAccepted("create job wig team wigs tasks 2 accelerators 8 run 2s")
	d.g.Eventually(d.queryFunc("why job 2"), stepTimeout, pollInterval).Should(ContainSubstring("finished"))
	d.g.Eventually(func() (string, error) { return get("http://" + bel1.http + "/r/fitting/after") }, stepTimeout, pollInterval).Should(ContainSubstring("/r/fitting/after"))

	d.start(lav1)
	d.g.Eventually(func() (string, error) { return d.query("show hosts") }, stepTimeout, pollInterval).Should(MatchRegexp(`lav1 +7 +current`))
}
