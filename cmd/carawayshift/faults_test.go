package main_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// freezeTime is longer than an election, so that the frozen leader has a
	// successor when it goes on.
	freezeTime = 20 * time.Second
	// readyPoll is how often the test's load balancer asks for readiness,
	// below the time that a stopping host gives it to notice.
	readyPoll    = 200 * time.Millisecond
	notesAfter   = 5
	loadClients  = 8
	requestPause = 10 * time.Millisecond
)

func threeControlHosts() []*hostProcess {
	return []*hostProcess{
		{name: "lav1", zone: "laventille", region: "north", voter: true},
		{name: "bel1", zone: "belmont", region: "north", voter: true},
		{name: "san1", zone: "san-fernando", region: "south", voter: true},
	}
}

// stream sends notes one after the other until stopped and keeps the texts of
// those that were accepted.
type stream struct {
	d        *deployment
	mu       sync.Mutex
	accepted []string
	stop     chan struct{}
	done     chan struct{}
}

func (d *deployment) startStream() *stream {
	s := &stream{d: d, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for i := 0; ; i++ {
			select {
			case <-s.stop:
				return
			default:
			}
			text := fmt.Sprintf("note number %d.", i)
			if _, err := d.query(fmt.Sprintf("note %q", text)); err == nil {
				s.mu.Lock()
				s.accepted = append(s.accepted, text)
				s.mu.Unlock()
			}
		}
	}()
	return s
}

func (s *stream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}

// more waits until further notes were accepted.
func (s *stream) more() {
	have := s.count()
	s.d.g.Eventually(s.count, patience, poll).Should(BeNumerically(">=", have+notesAfter))
}

func (s *stream) end() []string {
	close(s.stop)
	<-s.done
	return s.accepted
}

var hostRow = regexp.MustCompile(`(?m)^(\w+)\s+(\d+)\s+current`)

// versions reads the version in force on each host that is current.
func (d *deployment) versions() map[string]int {
	text, err := d.query("show hosts")
	d.g.Expect(err).NotTo(HaveOccurred(), text)
	out := map[string]int{}
	for _, m := range hostRow.FindAllStringSubmatch(text, -1) {
		out[m[1]], _ = strconv.Atoi(m[2])
	}
	return out
}

// Guards against an accepted command that is lost, or a version that goes
// back, when a control host is killed, frozen or loses its data folder while
// operators send commands. Every host is hit in turn, so the leader is too.
func TestAcceptedCommandsSurvive(t *testing.T) {
	tests := []struct {
		name  string
		fault func(d *deployment, s *stream, h *hostProcess)
	}{
		{"kill and restart", func(d *deployment, s *stream, h *hostProcess) {
			d.kill(h)
			s.more()
			d.start(h)
		}},
		{"freeze", func(d *deployment, s *stream, h *hostProcess) {
			d.g.Expect(h.cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed())
			time.Sleep(freezeTime)
			d.g.Expect(h.cmd.Process.Signal(syscall.SIGCONT)).To(Succeed())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, threeControlHosts())
			d.accept("create zone belmont region north")
			s := d.startStream()
			last := map[string]int{}
			for _, h := range d.hosts {
				s.more()
				tt.fault(d, s, h)
				s.more()
				d.g.Eventually(func() map[string]int { return d.versions() }, patience, poll).Should(HaveLen(len(d.hosts)))
				for name, v := range d.versions() {
					d.g.Expect(v).To(BeNumerically(">=", last[name]), "version of %s went back", name)
					last[name] = v
				}
			}
			d.checkNotes(s.end())
		})
	}
}

// checkNotes expects every accepted note exactly once.
func (d *deployment) checkNotes(accepted []string) {
	d.g.Expect(len(accepted)).To(BeNumerically(">", 0))
	text, err := d.query("show notes limit 2000")
	d.g.Expect(err).NotTo(HaveOccurred(), text)
	for _, n := range accepted {
		d.g.Expect(regexp.MustCompile(regexp.QuoteMeta(n)).FindAllString(text, -1)).To(HaveLen(1), n)
	}
	d.t.Logf("%d accepted commands are all there", len(accepted))
}

// Guards against a control host with an empty data folder that votes as the
// old one: an accepted command could be lost with the next failure.
func TestEmptyDataFolderDoesNotVote(t *testing.T) {
	d := newDeployment(t, threeControlHosts())
	d.accept("create zone belmont region north")
	s := d.startStream()
	s.more()
	lost := d.hosts[0]
	d.kill(lost)
	d.g.Expect(os.RemoveAll(d.path(lost.name))).To(Succeed())
	d.start(lost)
	s.more()
	accepted := s.end()
	// With one of the two remaining members gone there is no majority: the
	// empty one must not complete it.
	d.kill(d.hosts[1])
	text, err := d.query(`note "without a majority"`)
	d.g.Expect(err).To(HaveOccurred(), text)
	d.start(d.hosts[1])
	d.accept(`note "with a majority again"`)
	d.checkNotes(accepted)

	// The repair: the host comes back as a voter with a new disk, and then
	// completes a majority.
	for _, op := range []string{"remove", "add", "promote"} {
		d.member(op, lost, d.hosts[1])
	}
	d.kill(d.hosts[2])
	d.hosts = d.hosts[:2]
	d.accept(`note "a majority with the new disk"`)
	d.checkNotes(accepted)
}

// member repeats a change of the group until a control host has made it.
func (d *deployment) member(op string, h, at *hostProcess) {
	d.g.Eventually(func() (string, error) {
		out, err := exec.Command(d.bin, "member", op, h.name, "--entry", "http://"+at.operators).CombinedOutput()
		return string(out), err
	}, patience, poll).Should(ContainSubstring("voter"), op)
}

// balancer stands in for the platform's load balancer: it sends to hosts whose
// readiness is on.
type balancer struct {
	mu    sync.Mutex
	ready []string
	next  int
}

func (b *balancer) run(ctx context.Context, hosts []*hostProcess) {
	for ctx.Err() == nil {
		var ready []string
		for _, h := range hosts {
			if _, err := get("http://" + h.http + "/readyz"); err == nil {
				ready = append(ready, h.http)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(readyPoll)
	}
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// Guards against a planned stop that cuts requests: every host of the
// deployment is stopped and started again under load.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	d := newDeployment(t, threeControlHosts())
	for _, h := range d.hosts {
		d.spawn("r"+h.name, "standin", "runner", "--name", "r"+h.name, "--zone", h.zone, "--service", "fitting", "--listen", freePort(t, "tcp"), "--entry", "http://"+h.http)
	}
	for _, h := range d.hosts {
		d.g.Eventually(func() (string, error) { return get("http://" + h.http + "/r/fitting/warm") }, patience, poll).Should(ContainSubstring("warm"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := &balancer{}
	go b.run(ctx, d.hosts)
	d.g.Eventually(b.pick, patience, poll).ShouldNot(BeEmpty())
	var wg sync.WaitGroup
	var sent atomic.Int64
	failures := make(chan string, 1000)
	for range loadClients {
		wg.Go(func() {
			for ctx.Err() == nil {
				if host := b.pick(); host != "" {
					sent.Add(1)
					if err := post("http://" + host + "/r/fitting/order"); err != nil {
						failures <- err.Error()
					}
				}
				time.Sleep(requestPause)
			}
		})
	}
	for _, h := range d.hosts {
		d.g.Expect(h.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		d.g.Expect(h.cmd.Wait()).To(Succeed(), "exit of %s", h.name)
		d.start(h)
		d.g.Eventually(func() (string, error) { return get("http://" + h.http + "/r/fitting/back") }, patience, poll).Should(ContainSubstring("back"))
	}
	cancel()
	wg.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	t.Logf("%d requests during three restarts", sent.Load())
}

// post sends a request that must not be repeated, so that a cut one shows.
func post(url string) error {
	resp, err := (&http.Client{Timeout: patience}).Post(url, "text/plain", nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}
