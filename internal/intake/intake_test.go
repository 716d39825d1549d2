package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/internal/settings"
)

// source gives a body in pieces with a pause before each. It fails like a connection
// whose deadline has passed.
type source struct {
	pieces int
	piece  []byte
	pause  time.Duration
	due    time.Time
}

func (s *source) Read(b []byte) (int, error) {
	if s.pieces == 0 {
		return 0, io.EOF
	}
	if at := time.Now().Add(s.pause); at.After(s.due) {
		time.Sleep(time.Until(s.due))
		return 0, timeoutError{}
	}
	time.Sleep(s.pause)
	s.pieces--
	return copy(b, s.piece), nil
}

type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

// Guards against bodies that stand still or trickle and are held for good, and against
// the refusal of a body that moves on slowly.
func TestBodyMustMoveOn(t *testing.T) {
	kib := bytes.Repeat([]byte{'x'}, 1<<10)
	for _, c := range []struct {
		name   string
		source source
		took   time.Duration
		err    error
	}{
		{"at the rate of a slow link", source{pieces: 256, piece: kib, pause: 125 * time.Millisecond}, 32 * time.Second, nil},
		{"one long pause", source{pieces: 2, piece: kib, pause: 5 * time.Second}, 10 * time.Second, nil},
		{"standing still", source{pieces: 1, piece: kib, pause: time.Hour}, 10 * time.Second, errSlow},
		{"a byte a second", source{pieces: 1 << 18, piece: kib[:1], pause: time.Second}, 10 * time.Second, errSlow},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				start := time.Now()
				_, err := readAll(&c.source, bodyReader{
					length: -1, limit: 1 << 20, stall: 10 * time.Second, pace: 8 << 10,
					reserve: func(int64) error { return nil }, deadline: func(d time.Time) { c.source.due = d },
				})
				if c.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(c.err))
				}
				g.Expect(time.Since(start)).To(BeNumerically("~", c.took, time.Second))
			})
		})
	}
}

// Guards against memory that a declared length takes before its bytes have arrived, and
// against a body that takes more memory than it has reserved.
func TestMemoryFollowsTheBytes(t *testing.T) {
	g := NewWithT(t)
	var reserved []int64
	o := bodyReader{
		length: 256 << 10, limit: 1 << 20, stall: time.Second, pace: 1 << 10, deadline: func(time.Time) {},
		reserve: func(n int64) error { reserved = append(reserved, n); return nil },
	}
	_, err := readAll(io.MultiReader(strings.NewReader("begun"), iotest.ErrReader(io.ErrUnexpectedEOF)), o)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(reserved).To(Equal([]int64{8 << 10}))
	reserved = nil
	b, err := readAll(iotest.HalfReader(strings.NewReader(strings.Repeat("x", 256<<10))), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b).To(HaveLen(256 << 10))
	g.Expect(reserved).To(Equal([]int64{8 << 10, 32 << 10, 128 << 10, 512 << 10}))
	full := errors.New("full")
	o.reserve = func(n int64) error { return full }
	_, err = readAll(strings.NewReader("x"), o)
	g.Expect(err).To(MatchError(full))
}

// Guards against short texts that take much memory once they are decoded, and against
// the refusal of a catalog of ordinary size.
func TestDecodedSize(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		text string
		want int64
	}{
		{``, 0},
		{`"[,{"`, 0},
		{`"\"[,"`, 0},
		{`{"a":1,"b":2}`, elementSize + memberSize},
		{`[0,0,0]`, 3 * elementSize},
		{`{"a":[{},{}],"b":1}`, 5*elementSize + memberSize},
		{`]}],,`, 2 * memberSize},
	} {
		g.Expect(decodedSize([]byte(c.text))).To(Equal(c.want), c.text)
	}
	queue := `{"name":"q-` + strings.Repeat("x", 200) + `"` + strings.Repeat(`,"key":0`, 10) + `}`
	catalog := []byte("[" + strings.Repeat(queue+",", 5000) + queue + "]")
	held := decodedSize(catalog) + heldCopies*int64(len(catalog))
	g.Expect(held).To(BeNumerically("<", Derive(settings.Limits{Memory: 144 << 20}, 4<<20).Bodies))
}

// Guards against the end of ordinary connections while there are others that wait,
// send or receive for long, and against a connection that is closed while its request
// is handled.
func TestWhichConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newTable(4, newBufferPool(0), func(string) {})
		names := map[net.Conn]string{}
		add := func(name string) *connection {
			a, b := net.Pipe()
			t.Cleanup(func() { _ = b.Close() })
			names[a] = name
			time.Sleep(time.Millisecond)
			return table.add(a, func() {})
		}
		open := func() (list []string) {
			for conn := range table.open {
				list = append(list, names[conn])
			}
			return list
		}
		add("handled").handling()
		idle := add("idle")
		table.setState(idle.conn, http.StateIdle)
		time.Sleep(time.Minute)
		add("body").reading()
		time.Sleep(2 * time.Second)
		add("silent")
		add("new 1") // the one with the body has been incomplete for long
		g.Expect(open()).To(ConsistOf("handled", "idle", "silent", "new 1"))
		add("new 2") // no other has waited for long, so the idle one goes
		g.Expect(open()).To(ConsistOf("handled", "silent", "new 1", "new 2"))
		time.Sleep(2 * time.Second)
		add("new 3").handling()
		g.Expect(open()).To(ConsistOf("handled", "new 1", "new 2", "new 3"))
		want := []string{"new 4"} // takes the place of the one that may not be handled
		for conn, c := range table.open {
			if c.handling() {
				want = append(want, names[conn])
			}
		}
		g.Expect(want).To(HaveLen(4))
		add("new 4")
		g.Expect(open()).To(ConsistOf(want))
		g.Expect(table.size()).To(Equal(4))
		table = newTable(1, newBufferPool(0), func(string) {})
		g.Expect(add("only").handling()).To(BeTrue())
		add("new 5") // all others are being handled
		g.Expect(open()).To(ConsistOf("only"))
	})
}

// Guards against closed connections whose requests go on waiting for room, and hold
// their memory beside that of the connections that took their place.
func TestClosedConnectionStopsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := New(Config{Limits: newLimits(8 << 10)})
		full := in.budget.Open(func() {})
		g.Expect(full.Resize(t.Context(), 7<<10)).To(Succeed())
		full.Keep()
		table := newTable(1, newBufferPool(0), func(string) {})
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		ctx, cancel := context.WithCancel(t.Context())
		table.add(server, cancel).reading()
		start := time.Now()
		time.AfterFunc(20*time.Millisecond, func() {
			_, next := net.Pipe()
			table.add(next, func() {})
		})
		g.Expect(in.budget.Open(func() {}).Resize(ctx, 7<<10)).To(MatchError(context.Canceled))
		g.Expect(time.Since(start)).To(Equal(20 * time.Millisecond))
	})
}

// Guards against readiness that changes with each request near the limit.
func TestReadinessDoesNotFlap(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var p pressure
	var seen []bool
	for _, load := range []float64{0.79, 0.95, 0.6, 0.95, 0.4, 0.6, 0.4, 0.4, 0.4, 0.7, 0.79} {
		p = p.next(now, load)
		seen = append(seen, p.full)
		now = now.Add(time.Second)
	}
	g.Expect(seen).To(Equal([]bool{false, true, true, true, true, true, true, true, false, false, false}))
}

// Guards against a host that reports itself full because of clients that only hold
// connections and incomplete bodies.
func TestOnlyHandledRequestsFillAHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := New(Config{Limits: newLimits(8 << 10)})
		table := newTable(1, newBufferPool(0), func(string) {})
		in.tables = append(in.tables, table)
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		c := table.add(server, func() {})
		a := in.budget.Open(func() {})
		g.Expect(a.Resize(t.Context(), 7<<10)).To(Succeed())
		g.Expect(in.Ready()).To(Succeed())
		c.handling()
		g.Expect(in.Ready()).To(MatchError(ContainSubstring("[limits]")))
		c.writing()
		time.Sleep(relaxTime)
		g.Expect(in.Ready()).NotTo(Succeed())
		time.Sleep(relaxTime)
		g.Expect(in.Ready()).To(Succeed())
		a.Keep()
		g.Expect(a.Resize(t.Context(), 7<<10)).To(Succeed())
		g.Expect(in.Ready()).NotTo(Succeed())
	})
}

// Guards against limits that a client inside the platform's limits meets, on the
// smallest host, and against listeners that use up all descriptors.
func TestDerivedLimits(t *testing.T) {
	g := NewWithT(t)
	l := Derive(settings.Limits{Memory: 144 << 20, Files: 3075}, 256<<10)
	g.Expect(l.Bodies).To(BeEquivalentTo(18 << 20))
	g.Expect(l.Connections).To(Equal(768))
	g.Expect(l.Platform).To(Equal(64))
	few := Derive(settings.Limits{Memory: 1 << 30, Files: 256}, 256<<10)
	g.Expect(few.Connections + 3*few.Platform).To(BeNumerically("<", 200))
	set := Derive(settings.Limits{Memory: 144 << 20, Files: 3075, Bodies: 5 << 20, Connections: 100}, 256<<10)
	g.Expect([]int64{set.Bodies, int64(set.Connections)}).To(Equal([]int64{5 << 20, 100}))
}

// Guards against large buffers of sockets without a bound, and against those that a
// closed connection does not return.
func TestLargeBuffers(t *testing.T) {
	g := NewWithT(t)
	ln, err := Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	g.Expect(limitSockets(ln, time.Second)).To(Succeed())
	table := newTable(3, newBufferPool(2*2*largeBuffer), func(string) {})
	var open []*connection
	for range 3 {
		client, err := net.Dial("tcp", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = client.Close() }()
		c, err := ln.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		open = append(open, table.add(c, func() {}))
	}
	large := func(c *connection) bool { c.receiveMuch(); return c.receivesMuch }
	g.Expect([]bool{large(open[0]), large(open[0]), open[0].sendMuch()}).To(Equal([]bool{true, true, true}))
	g.Expect([]bool{large(open[1]), open[1].sendMuch()}).To(Equal([]bool{false, false}))
	table.remove(open[0].conn)
	g.Expect([]bool{large(open[0]), open[0].sendMuch()}).To(Equal([]bool{false, false}), "after the connection was closed")
	g.Expect([]bool{large(open[1]), open[2].sendMuch(), open[1].sendMuch()}).To(Equal([]bool{true, true, false}))
}
