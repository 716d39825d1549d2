package flood_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	headCrowd = 500
	// headBytes is what a client sends of a head without end.
	headBytes = 800 << 10
	// slowPause is the pause between the empty lines of a slow client.
	slowPause = time.Second
)

// kind is one way to misbehave. Send gets the path of an ordinary request.
type kind struct {
	name string
	send func(path string) func(net.Conn)
}

// headKinds are the heads that are too long, in each part of a request that has lines.
var headKinds = []kind{
	{"empty lines without end", func(string) func(net.Conn) {
		return repeat(nil, "\r\n", headBytes)
	}},
	{"empty lines without end after a request", func(path string) func(net.Conn) {
		return repeat(head(path, "Content-Length: 0\r\n"), "\r\n", headBytes)
	}},
	{"an empty line every second", func(path string) func(net.Conn) {
		begin := [][]byte{nil, head(path, "Content-Length: 0\r\n")}
		var n atomic.Int32
		return func(c net.Conn) { slowly(c, begin[n.Add(1)%2]) }
	}},
	{"a request line without end", func(string) func(net.Conn) {
		return repeat([]byte("GET /"), "xxxxxxxxxxxxxxxx", headBytes)
	}},
	{"one header without end", func(path string) func(net.Conn) {
		return repeat([]byte("POST "+path+" HTTP/1.1\r\nHost: shop.example\r\nX-Filler: "), "xxxxxxxxxxxxxxxx", headBytes)
	}},
	{"small headers without end", func(path string) func(net.Conn) {
		return func(c net.Conn) { write(c, unfinishedHead(path), []byte(smallHeaders(15<<10))) }
	}},
	{"small headers before a body without end", func(path string) func(net.Conn) {
		return func(c net.Conn) { write(c, head(path, "Content-Length: 1000\r\n"+smallHeaders(15<<10))) }
	}},
	{"one chunk extension without end", func(path string) func(net.Conn) {
		return repeat(append(head(path, "Transfer-Encoding: chunked\r\n"), "1;"...), "xxxxxxxxxxxxxxxx", headBytes)
	}},
	{"one trailer without end", func(path string) func(net.Conn) {
		return repeat(append(head(path, "Transfer-Encoding: chunked\r\n"), "1\r\n \r\n0\r\nX-Filler: "...), "xxxxxxxxxxxxxxxx", headBytes)
	}},
	{"trailers without end", func(path string) func(net.Conn) {
		return repeat(append(head(path, "Transfer-Encoding: chunked\r\n"), "1\r\n \r\n0\r\n"...), "X-Filler: xxxx\r\n", headBytes)
	}},
}

func unfinishedHead(path string) []byte {
	return []byte("POST " + path + " HTTP/1.1\r\nHost: shop.example\r\n")
}

// smallHeaders returns headers with different short names, which take much more memory
// once they are parsed.
func smallHeaders(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// repeat sends the beginning and then a text again and again, up to a total size.
func repeat(begin []byte, text string, size int) func(net.Conn) {
	piece := bytes.Repeat([]byte(text), (8<<10)/len(text))
	return func(c net.Conn) {
		if _, err := c.Write(begin); err != nil {
			return
		}
		for sent := 0; sent < size; sent += len(piece) {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}
}

// slowly sends the beginning and then one empty line at a time.
func slowly(c net.Conn, begin []byte) {
	write(c, begin)
	for range 3 {
		time.Sleep(slowPause)
		write(c, []byte("\r\n"))
	}
}

// resetPeak makes the peak of the resident memory that of the memory now.
func (p *process) resetPeak() error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.cmd.Process.Pid), []byte("5"), 0)
}

// checkKinds connects a crowd of each kind in turn to a listener.
func (d *deployment) checkKinds(p *process, listener, path string, crowd int, kinds []kind) {
	for _, k := range kinds {
		d.subtest(k.name, func() {
			d.g.Expect(p.resetPeak()).To(Succeed())
			d.check(p, flood{name: k.name, listener: listener, crowd: crowd, send: k.send(path)})
		})
	}
}

// Guards against a host that holds heads, empty lines or trailers without end.
func TestHeads(t *testing.T) {
	t.Run("batch hosts", func(t *testing.T) {
		d := newDeployment(t)
		control, front := d.batchHosts(manyFiles)
		for _, l := range []struct {
			p              *process
			listener, path string
		}{
			{front, "entry", "/fit/00000000000000ff"},
			{front, "ready", "/ready"},
			{front, "metrics", "/metrics"},
			{control, "control", "/wave-start"},
		} {
			d.subtest(l.listener, func() { d.checkKinds(l.p, l.listener, l.path, headCrowd, headKinds) })
		}
	})
	t.Run("a host that serves requests and jobs", func(t *testing.T) {
		d := newDeployment(t)
		p := d.serveHost(manyFiles)
		d.subtest("http", func() { d.checkKinds(p, "http", "/r/fitting/x", headCrowd, headKinds) })
		d.subtest("operators", func() { d.checkKinds(p, "operators", "/v1/statements", headCrowd, headKinds) })
	})
}
