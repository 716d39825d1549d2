// Package flood_test starts the system's own processes on loopback addresses and
// connects crowds of clients that hold memory and descriptors: bodies that stop
// short of their end, headers without an end, silence, answers that are never read.
//
// # Usage
//
// Run it apart from other load, since the memory of a process that gets little
// processor time depends on what its collector gets:
//
//	go test -count=1 ./cmd/carawayshift/flood
//
// A test checks that the process lives, that its memory with the queues of its sockets
// and its descriptors stay under the limits of its settings and that each of its listeners answers one
// ordinary request while the crowd is connected. It checks no times and no share of
// served requests.
package flood_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"carawayshift.example/carawayshift/internal/pki"
	"carawayshift.example/carawayshift/internal/standin/loopback"
)

const (
	// stepTimeout bounds one step of a test. It is no performance target.
	stepTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// sendTimeout bounds what one client of a crowd sends. A host may leave a client
	// unread.
	sendTimeout = 4 * time.Second

	mib = 1 << 20
	// entryMemory, controlMemory and serveMemory are the memory limits in the
	// settings of the hosts, in MiB.
	entryMemory   = 80
	controlMemory = 128
	serveMemory   = 128
	// manyFiles is a limit of descriptors that no crowd reaches, fewFiles one that
	// the larger crowds exceed.
	manyFiles = 8192
	fewFiles  = 256

	jobBody     = 256 << 10
	controlBody = 4 << 20
)

// process is one host. Its memory limit is in bytes.
type process struct {
	cmd    *exec.Cmd
	ip     string
	log    string
	memory int
	files  int
	// ordinary holds a request for each listener and is retried until it is answered
	// with status 200 or 204.
	ordinary []ordinary
}

type ordinary struct {
	name, method, url, host, body string
}

type deployment struct {
	g       Gomega
	t       *testing.T
	dir     string
	network *loopback.Network
}

var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "flood")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "carawayshift")
	out, err := exec.Command("go", "build", "-o", bin, "carawayshift.example/carawayshift/cmd/carawayshift").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return bin, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if bin, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(bin))
	}
	os.Exit(code)
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{g: NewWithT(t), t: t, dir: t.TempDir()}
	var err error
	d.network, err = loopback.Reserve()
	d.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = d.network.Close() })
	return d
}

// start runs a host with settings.
func (d *deployment) start(name, ip, settings string, memory, files int, args ...string) *process {
	file := filepath.Join(d.dir, name+".ini")
	d.g.Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	return d.run(name, ip, memory, files, append([]string{"serve", "--settings", file}, args...)...)
}

// run runs the program under a limit of descriptors, which an unprivileged process can
// lower for its child only through the shell.
func (d *deployment) run(name, ip string, memory, files int, args ...string) *process {
	bin, err := binary()
	d.g.Expect(err).NotTo(HaveOccurred())
	p := &process{ip: ip, log: filepath.Join(d.dir, name+".log"), memory: memory * mib, files: files}
	log, err := os.Create(p.log)
	d.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	shell := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, files)
	p.cmd = exec.Command("sh", append([]string{"-c", shell, bin}, args...)...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	d.g.Expect(p.cmd.Start()).To(Succeed())
	d.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if d.t.Failed() {
			b, _ := os.ReadFile(p.log)
			d.t.Logf("end of the log of %s:\n%s", name, b[max(0, len(b)-2000):])
		}
	})
	return p
}

// port is the port of the entry and of the control listener; the next two are those of
// the other hosts and of readiness.
const port = 8526

// batchHosts starts a control host, which leads alone, and an entry host, and puts a
// catalog in force that is as large as one with thousands of routes.
func (d *deployment) batchHosts(files int) (control, front *process) {
	return d.batchHostsOf(entryMemory, files)
}

// batchHostsOf does the same with an entry host of the given memory in MiB.
func (d *deployment) batchHostsOf(memory, files int) (control, front *process) {
	common := func(name, ip string, memory int) string {
		return fmt.Sprintf("[host]\nname = %s\nzone = belmont\nregion = north\naddresses = %s\n[listen]\npeers = %s:%d\nmetrics = %s:7010\n%%s\n"+
			"[join]\nseeds = %s\nfirst = true\nlosses = 0\n[limits]\nmemory = %dMB\n[log]\nformat = json\n[zones]\nbelmont = north\n",
			name, ip, ip, port+1, ip, d.network.IP(1, 1), memory)
	}
	cip, fip := d.network.IP(1, 1), d.network.IP(1, 11)
	control = d.start("core", cip, fmt.Sprintf(common("core", cip, controlMemory), fmt.Sprintf("control = %s:%d\n[control]\ndata = %s", cip, port, filepath.Join(d.dir, "core"))), controlMemory, files)
	front = d.start("front", fip, fmt.Sprintf(common("front", fip, memory), fmt.Sprintf("entry = %s:%d\nready = %s:%d", fip, port, fip, port+2)), memory, files)
	control.ordinary = []ordinary{
		{"control", "GET", fmt.Sprintf("http://%s:%d/config/read", cip, port), "", ""},
		{"metrics", "GET", "http://" + cip + ":7010/metrics", "", ""},
	}
	front.ordinary = []ordinary{
		{"entry", "POST", fmt.Sprintf("http://%s:%d/fit/00000000000000a1", fip, port), "shop.example", `{"spec":"x","steps":[{"count":1,"cpu":1000}]}`},
		{"ready", "GET", fmt.Sprintf("http://%s:%d/ready", fip, port+2), "", ""},
		{"metrics", "GET", "http://" + fip + ":7010/metrics", "", ""},
	}
	var routes []any
	for i := range 3000 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("q", i), "host": "shop.example", "path_prefix": fmt.Sprintf("/fit%d/", i), "service": "fit", "timeout_ms": 3000, "max_attempts": 2, "stretch": 3,
		})
	}
	routes[0].(map[string]any)["path_prefix"] = "/fit/"
	body, err := json.Marshal(map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "fit"}}, "routes": routes,
		"tenants": []any{map[string]any{"name": "carnival", "api_keys": []any{"key-1"}}},
	})
	d.g.Expect(err).NotTo(HaveOccurred())
	d.g.Eventually(func() error {
		return ask(ordinary{"catalog", "POST", fmt.Sprintf("http://%s:%d/config/replace", cip, port), "", string(body)})
	}, stepTimeout, pollInterval).Should(Succeed())
	d.answers(control)
	d.answers(front)
	return control, front
}

// serveHost starts a host that serves requests and jobs, alone.
func (d *deployment) serveHost(files int) *process {
	p := d.serveHostWith(files, "")
	d.answers(p)
	return p
}

// serveHostWith starts a host that serves requests and jobs, with more lines of the
// section [peers], and does not wait until it answers.
func (d *deployment) serveHostWith(files int, peers string) *process {
	bin, err := binary()
	d.g.Expect(err).NotTo(HaveOccurred())
	ip := d.network.IP(1, 1)
	keys := filepath.Join(d.dir, "keys")
	out, err := exec.Command(bin, "keys", "--dir", keys, "--host", "lav1="+ip).CombinedOutput()
	d.g.Expect(err).NotTo(HaveOccurred(), string(out))
	p := d.start("lav1", ip, fmt.Sprintf("[host]\nname = lav1\nzone = laventille\nregion = north\naddresses = %[1]s\n[listen]\nhttp = %[1]s:8480\noperators = %[1]s:8481\npeers = %[1]s:8482\n"+
		"[tls]\nca = %[2]s/ca.pem\ncert = %[2]s/lav1.pem\nkey = %[2]s/lav1.key\n[control]\ndata = %[3]s\n[limits]\nmemory = %[4]dMB\n[zones]\nlaventille = north\n"+
		"[peers]\nlav1 = laventille, north, %[1]s:8482, %[1]s:8480, voter yes\n%[5]s", ip, keys, filepath.Join(d.dir, "lav1"), serveMemory, peers), serveMemory, files, "--first-start")
	p.ordinary = []ordinary{
		{"http", "GET", "http://" + ip + ":8480/readyz", "", ""},
		{"announcements", "POST", "http://" + ip + ":8480/v1/runners", "", `{"name":"r1","zone":"laventille","service":"fitting","address":"127.0.0.1:1"}`},
		{"operators", "POST", "http://" + ip + ":8481/v1/statements", "", `{"statement":"show hosts","id":"s1","operator":"night"}`},
	}
	return p
}

func ask(o ordinary) error {
	req, err := http.NewRequest(o.method, o.url, strings.NewReader(o.body))
	if err != nil {
		return err
	}
	if o.host != "" {
		req.Host = o.host
	}
	req.Header.Set("Authorization", "Bearer key-1")
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return err
	case http.StatusMisdirectedRequest:
		return err // a stand-in's answer to a call that names no incarnation
	}
	if err == nil {
		err = fmt.Errorf("%s: %s: %s", o.name, resp.Status, b[:min(len(b), 200)])
	}
	return err
}

// answers checks that each listener of a host answers an ordinary request.
func (d *deployment) answers(p *process) {
	d.t.Helper()
	for _, o := range p.ordinary {
		d.g.Eventually(func() error { return ask(o) }, stepTimeout, pollInterval).Should(Succeed(), "listener "+o.name)
	}
}

// peakMemory returns the peak of the resident memory in bytes, or 0 if the process has
// ended.
func (p *process) peakMemory() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	return 0
}

func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// crowd sends what one client sends on each of n connections, and keeps them open
// until the test ends. Of a client whose connection the host closes, nothing more is
// expected.
func crowd(t *testing.T, addr string, n int, send func(net.Conn)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		for _, c := range conns {
			_ = c.Close()
		}
	})
	// The sends run at the same time, and the dials a few at a time.
	dials := make(chan struct{}, 32)
	for range n {
		wg.Go(func() {
			dials <- struct{}{}
			c, err := net.DialTimeout("tcp", addr, sendTimeout)
			<-dials
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(c)
		})
	}
	wg.Wait()
}

// write sends the parts until the first error.
func write(c net.Conn, parts ...[]byte) {
	for _, p := range parts {
		if _, err := c.Write(p); err != nil {
			return
		}
	}
}

func head(path, fields string) []byte {
	return []byte("POST " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + fields + "\r\n")
}

// wholeBody sends a body without its last byte at once.
func wholeBody(path string, size int) func(net.Conn) {
	body := bytes.Repeat([]byte{' '}, size-1)
	return func(c net.Conn) { write(c, head(path, fmt.Sprintf("Content-Length: %d\r\n", size)), body) }
}

// pieces sends a body without its last byte in 32 pieces.
func pieces(path string, size int) func(net.Conn) {
	piece := bytes.Repeat([]byte{' '}, size/32)
	return func(c net.Conn) {
		write(c, head(path, fmt.Sprintf("Content-Length: %d\r\n", size)))
		for range 31 {
			write(c, piece)
			time.Sleep(10 * time.Millisecond)
		}
		write(c, piece[1:])
	}
}

// largeChunks sends chunks of 32 KiB up to a total size, the last one without its end.
func largeChunks(path string, size int) func(net.Conn) {
	chunk := append([]byte("8000\r\n"), bytes.Repeat([]byte{' '}, 32<<10)...)
	chunk = append(chunk, "\r\n"...)
	return func(c net.Conn) {
		write(c, head(path, "Transfer-Encoding: chunked\r\n"))
		for range size/(32<<10) - 1 {
			write(c, chunk)
		}
		write(c, chunk[:len(chunk)-3])
	}
}

// smallChunks sends 2,000 chunks of one byte and no end.
func smallChunks(path string) func(net.Conn) {
	chunks := bytes.Repeat([]byte("1\r\n \r\n"), 100)
	return func(c net.Conn) {
		write(c, head(path, "Transfer-Encoding: chunked\r\n"))
		for range 20 {
			write(c, chunks)
		}
	}
}

// complete sends a whole body, most of which is a text, and waits for the answer.
func complete(path string, size int) func(net.Conn) {
	body := []byte(`{"spec":"` + strings.Repeat("x", size-100) + `","steps":[{"count":1,"cpu":1000}]}`)
	return func(c net.Conn) { sendWhole(c, path, body) }
}

func sendWhole(c net.Conn, path string, body []byte) {
	write(c, head(path, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body)
	_ = c.SetReadDeadline(time.Now().Add(sendTimeout))
	_, _ = c.Read(make([]byte, 1)) // the host may close the connection instead
}

// smallValues sends a whole body that is a list of empty objects, which takes much more
// memory once it is decoded.
func smallValues(path, field string, size int) func(net.Conn) {
	body := []byte(`{"` + field + `":[{}` + strings.Repeat(",{}", size/3-20) + `]}`)
	return func(c net.Conn) { sendWhole(c, path, body) }
}

func silence(net.Conn) {}

// endlessHeaders sends 800 KiB of headers without their end.
func endlessHeaders(path string) func(net.Conn) {
	field := append([]byte("X-Filler: "), bytes.Repeat([]byte{'x'}, 8<<10)...)
	field = append(field, "\r\n"...)
	return func(c net.Conn) {
		write(c, []byte("POST "+path+" HTTP/1.1\r\nHost: shop.example\r\n"))
		for range 100 {
			write(c, field)
		}
	}
}

// unread sends requests and never reads an answer. The small receive buffer makes the
// host wait after few answers.
func unread(method, path string, times int) func(net.Conn) {
	req := bytes.Repeat([]byte(method+" "+path+" HTTP/1.1\r\nHost: shop.example\r\n\r\n"), times)
	return func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(1)
		write(c, req)
	}
}

// address returns the host and port of the ordinary request of a listener.
func (p *process) address(listener string) string {
	for _, o := range p.ordinary {
		if o.name == listener {
			addr, _, _ := strings.Cut(strings.TrimPrefix(o.url, "http://"), "/")
			return addr
		}
	}
	return ""
}

// watch records the largest number of descriptors that a host has open, and of bytes in
// the queues of its sockets, until the returned function is called, which returns both.
func (p *process) watch() func() (files, queued int) {
	stop, done := make(chan struct{}), make(chan struct{})
	var files, queued int
	go func() {
		defer close(done)
		for {
			q, held := queuedBytes(p.ip)
			files = max(files, p.descriptors())
			// A reading takes a while on a busy machine. One that lists more sockets than
			// the process ever held is not of one moment.
			if held <= files {
				queued = max(queued, q)
			}
			select {
			case <-stop:
				files = max(files, p.descriptors())
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return func() (int, int) { close(stop); <-done; return files, queued }
}

// check connects the crowd to a host and checks the host while it is connected.
func (d *deployment) check(p *process, f flood) {
	d.t.Helper()
	d.checkWhile(p, func() { crowd(d.t, p.address(f.listener), f.crowd, f.send) })
}

func (d *deployment) checkWhile(p *process, connect func()) {
	d.t.Helper()
	stop := p.watch()
	var peak, files, queued int
	figures := sync.OnceFunc(func() {
		peak = p.peakMemory()
		files, queued = stop()
		d.t.Logf("peak of the memory %.1f MB of %d MB and %.1f MB in queues of sockets, %d descriptors of %d",
			float64(peak)/mib, p.memory/mib, float64(queued)/mib, files, p.files)
	})
	defer figures()
	connect()
	d.answers(p)
	figures()
	d.g.Expect(p.cmd.Process.Signal(syscall.Signal(0))).To(Succeed(), "the process has ended")
	d.g.Expect(peak).To(And(BeNumerically(">", 0), BeNumerically("<=", p.memory)), "the peak of the memory")
	d.g.Expect(peak+queued).To(BeNumerically("<=", p.memory), "the peaks of the memory and of the queues of sockets")
	d.g.Expect(files).To(And(BeNumerically(">", 0), BeNumerically("<=", p.files*7/8)), "open descriptors")
}

// subtest runs a part of a test on the deployment that the test has started.
func (d *deployment) subtest(name string, run func()) {
	t, g := d.t, d.g
	defer func() { d.t, d.g = t, g }()
	t.Run(name, func(t *testing.T) {
		d.t, d.g = t, NewWithT(t)
		run()
	})
}

type flood struct {
	name     string
	listener string
	crowd    int
	files    int
	send     func(net.Conn)
}

// Guards against a host that runs out of memory or descriptors because callers stop
// short of the end of what they send, or don't read what they asked for.
func TestEntryHost(t *testing.T) {
	const path = "/fit/00000000000000ff"
	for _, f := range []flood{
		{"whole bodies", "entry", 600, manyFiles, wholeBody(path, jobBody)},
		{"bodies in pieces", "entry", 600, manyFiles, pieces(path, jobBody)},
		{"large chunks", "entry", 600, manyFiles, largeChunks(path, jobBody)},
		{"chunks of one byte", "entry", 4000, manyFiles, smallChunks(path)},
		{"complete bodies", "entry", 2500, manyFiles, complete(path, jobBody)},
		{"complete bodies of small values", "entry", 300, manyFiles, smallValues(path, "steps", jobBody)},
		{"silence", "entry", 400, fewFiles, silence},
		{"headers without end", "entry", 200, manyFiles, endlessHeaders(path)},
		{"answers not read", "entry", 400, fewFiles, unread("PUT", "/", 3000)},
		{"bodies sent to the readiness listener", "ready", 400, fewFiles, wholeBody("/ready", jobBody)},
		{"metrics not read", "metrics", 400, fewFiles, unread("GET", "/metrics", 60)},
	} {
		t.Run(f.name, func(t *testing.T) {
			d := newDeployment(t)
			control, front := d.batchHosts(f.files)
			d.check(front, f)
			// The leader has to hold what the entry host forwards.
			d.checkWhile(control, func() {})
		})
	}
}

// Guards against the same on the listener for operators and runners, whose bodies
// are larger.
func TestControlHost(t *testing.T) {
	for _, f := range []flood{
		{"whole bodies", "control", 60, manyFiles, wholeBody("/wave-start", controlBody)},
		{"bodies of reports in pieces", "control", 60, manyFiles, pieces("/instances/i-1/heartbeat", controlBody)},
		{"large chunks", "control", 60, manyFiles, largeChunks("/config/replace", controlBody)},
		{"chunks of one byte", "control", 6000, manyFiles, smallChunks("/wave-start")},
		{"complete bodies of small values", "control", 10, manyFiles, smallValues("/config/replace", "routes", controlBody)},
		{"silence", "control", 400, fewFiles, silence},
		{"headers without end", "control", 400, manyFiles, endlessHeaders("/wave-start")},
		{"catalogs not read", "control", 400, fewFiles, unread("GET", "/config/read", 8)},
	} {
		t.Run(f.name, func(t *testing.T) {
			d := newDeployment(t)
			control, front := d.batchHosts(f.files)
			d.check(control, f)
			d.answers(front)
		})
	}
}

// peerCrowd connects senders that claim the names of hosts to the port for other
// hosts. Each sends a frame of the largest size on each of its streams, without its end.
func peerCrowd(d *deployment, addr string, senders, streams, size int) {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(d.network.IP(3, 1))})
	d.g.Expect(err).NotTo(HaveOccurred())
	transport := &quic.Transport{Conn: udp}
	d.t.Cleanup(func() { _ = transport.Close(); _ = udp.Close() })
	target, err := net.ResolveUDPAddr("udp", addr)
	d.g.Expect(err).NotTo(HaveOccurred())
	frame := make([]byte, size)
	copy(frame, []byte{0, 5 << 4, 0, 0, 1}) // 5 MiB, version 1
	ctx, cancel := context.WithTimeout(d.t.Context(), stepTimeout/2)
	defer cancel()
	var wg sync.WaitGroup
	dials := make(chan struct{}, 32)
	for i := range senders {
		wg.Go(func() {
			dials <- struct{}{}
			_, client, err := pki.Unverified(fmt.Sprintf("127-0-%d-%d", i/250, i%250+1))
			if err != nil {
				<-dials
				return
			}
			client.VerifyConnection = nil
			conn, err := transport.Dial(ctx, target, client, &quic.Config{KeepAlivePeriod: time.Second})
			<-dials
			if err != nil {
				return
			}
			var sends sync.WaitGroup
			for range streams {
				sends.Go(func() {
					s, err := conn.OpenStreamSync(ctx)
					if err != nil {
						return
					}
					_ = s.SetWriteDeadline(time.Now().Add(sendTimeout))
					_, _ = s.Write(frame) // a host may refuse it
				})
			}
			sends.Wait()
		})
	}
	wg.Wait()
}

// Guards against senders on the port for other hosts, which anyone who reaches it can
// fill: with frames that never end, and with connections alone.
func TestPeers(t *testing.T) {
	for _, f := range []struct {
		name                   string
		senders, streams, size int
	}{
		{"frames without end", 8, 48, mib},
		{"connections", 4000, 1, 100},
	} {
		t.Run("control host, "+f.name, func(t *testing.T) {
			d := newDeployment(t)
			control, front := d.batchHosts(manyFiles)
			d.checkWhile(control, func() {
				peerCrowd(d, fmt.Sprintf("%s:%d", d.network.IP(1, 1), port+1), f.senders, f.streams, f.size)
			})
			d.answers(front)
		})
		t.Run("entry host, "+f.name, func(t *testing.T) {
			d := newDeployment(t)
			_, front := d.batchHosts(manyFiles)
			d.checkWhile(front, func() {
				peerCrowd(d, fmt.Sprintf("%s:%d", d.network.IP(1, 11), port+1), f.senders, f.streams, f.size)
			})
		})
	}
}

// Guards against the same on the listeners of a host that serves requests and jobs.
func TestServe(t *testing.T) {
	for _, f := range []flood{
		{"whole bodies", "http", 60, manyFiles, wholeBody("/r/fitting/x", controlBody)},
		{"bodies in pieces", "http", 60, manyFiles, pieces("/r/fitting/x", controlBody)},
		{"large chunks", "http", 60, manyFiles, largeChunks("/r/fitting/x", controlBody)},
		{"chunks of one byte", "http", 6000, manyFiles, smallChunks("/r/fitting/x")},
		{"announcements of workers", "http", 200, manyFiles, wholeBody("/v1/workers", mib)},
		{"silence", "http", 400, fewFiles, silence},
		{"headers without end", "http", 200, manyFiles, endlessHeaders("/r/fitting/x")},
		{"metrics not read", "http", 400, fewFiles, unread("GET", "/metrics", 60)},
		{"statements", "operators", 400, fewFiles, wholeBody("/v1/statements", 32<<10)},
	} {
		t.Run(f.name, func(t *testing.T) {
			d := newDeployment(t)
			p := d.serveHost(f.files)
			d.check(p, f)
		})
	}
}
