package flood_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// leaderlessCrowd clients send leaderlessRequests requests each.
	leaderlessCrowd    = 1500
	leaderlessRequests = 300
	// ordinaryCallers try one after the other, each up to callerTries times, until they
	// get any answer.
	ordinaryCallers = 5
	callerTries     = 5
)

// attempt sends an ordinary request once and accepts any answer.
func attempt(o ordinary) error {
	req, err := http.NewRequest(o.method, o.url, strings.NewReader(o.body))
	if err != nil {
		return err
	}
	req.Host = o.host
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// unreadBodies sends requests with a body and never reads an answer.
func unreadBodies(path, body string, times int) func(net.Conn) {
	req := bytes.Repeat(append(head(path, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body...), times)
	return func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(1)
		write(c, req)
	}
}

// checkLeaderless connects a crowd whose requests wait for a leader, and checks that
// ordinary callers get an answer, such as a refusal, while it is connected.
func (d *deployment) checkLeaderless(p *process, o ordinary, send func(net.Conn)) {
	d.t.Helper()
	listeners := p.ordinary
	p.ordinary = nil
	d.checkWhile(p, func() {
		addr, _, _ := strings.Cut(strings.TrimPrefix(o.url, "http://"), "/")
		crowd(d.t, addr, leaderlessCrowd, send)
		for i := range ordinaryCallers {
			var errs []error
			for len(errs) < callerTries {
				err := attempt(o)
				if err == nil {
					break
				}
				errs = append(errs, err)
			}
			d.g.Expect(len(errs)).To(BeNumerically("<", callerTries), "caller %d: %v", i, errors.Join(errs...))
		}
	})
	p.ordinary = listeners
}

// Guards against a host all of whose connections hold requests that wait for a leader,
// so that it has none for ordinary callers.
func TestLeaderless(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		d := newDeployment(t)
		control, front := d.batchHosts(manyFiles)
		d.g.Expect(control.cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		d.checkLeaderless(front, front.ordinary[0], unread("GET", "/fit/00000000000000ff", leaderlessRequests))
		d.g.Expect(control.cmd.Process.Signal(syscall.SIGCONT)).To(Succeed())
		d.answers(front)
	})
	t.Run("control", func(t *testing.T) {
		const report = `{"service":"fit","address":"127.0.0.1:1","zone":"belmont","machine":"m-1","state":"ready","labels":["a"],"capacity":{"cpu":1000,"mem_mb":64,"gpu":1},"clock_ms":1,"seq":1,"born":1}`
		d := newDeployment(t)
		ip := d.network.IP(1, 1)
		// The other control hosts of the first start are missing.
		seeds := fmt.Sprintf("%s:%d, %s:%d, %s:%d", ip, port, d.network.IP(1, 2), port, d.network.IP(1, 3), port)
		p := d.start("core", ip, fmt.Sprintf("[host]\nname = core\nzone = belmont\nregion = north\naddresses = %s\n[listen]\npeers = %s:%d\ncontrol = %s:%d\n"+
			"[join]\nseeds = %s\nfirst = true\nlosses = 1\n[control]\ndata = %s\n[limits]\nmemory = %dMB\n[zones]\nbelmont = north\n",
			ip, ip, port+1, ip, port, seeds, filepath.Join(d.dir, "core"), controlMemory), controlMemory, manyFiles)
		o := ordinary{"control", "GET", fmt.Sprintf("http://%s:%d/config/read", ip, port), "", ""}
		d.g.Eventually(func() error { return attempt(o) }, stepTimeout, pollInterval).Should(Succeed())
		d.subtest("reads", func() { d.checkLeaderless(p, o, unread("GET", "/config/read", leaderlessRequests)) })
		d.subtest("reports", func() { d.checkLeaderless(p, o, unreadBodies("/instances/i-1/heartbeat", report, leaderlessRequests)) })
	})
	t.Run("a host that serves requests and jobs", func(t *testing.T) {
		d := newDeployment(t)
		p := d.serveHostWith(manyFiles, fmt.Sprintf("bel1 = laventille, north, %[1]s:8482, %[1]s:8480, voter yes\nsan1 = laventille, north, %[2]s:8482, %[2]s:8480, voter yes\n",
			d.network.IP(1, 2), d.network.IP(1, 3)))
		statement := ordinary{"operators", "POST", "http://" + p.ip + ":8481/v1/statements", "", `{"statement":"show hosts","id":"s1","operator":"night"}`}
		d.g.Eventually(func() error { return attempt(statement) }, stepTimeout, pollInterval).Should(Succeed())
		d.subtest("operators", func() {
			d.checkLeaderless(p, statement, unreadBodies("/v1/statements", `{"statement":"create team carnival guarantee 2x8","id":"s2","operator":"night"}`, leaderlessRequests))
		})
		d.subtest("http", func() {
			d.checkLeaderless(p, ordinary{"http", "POST", "http://" + p.ip + ":8480/r/fitting/x", "", "x"}, unread("GET", "/r/fitting/x", leaderlessRequests))
		})
	})
}
