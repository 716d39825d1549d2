package intake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// newHandler returns the handler of a listener for bodies of up to 1,000 bytes, and
// counts the requests that reach the next one.
func newHandler(limits Limits, body int64) (h *handler, reached *int) {
	reached = new(int)
	in := New(Config{Limits: limits})
	return &handler{in: in, next: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		*reached++
		_, _ = io.Copy(io.Discard, r.Body)
	}), listener: Listener{Name: "entry", Body: body, Refuse: func(w http.ResponseWriter, _ *http.Request, err error) {
		status := http.StatusServiceUnavailable
		if carawayshift.KindOf(err) != carawayshift.NotRun {
			status = http.StatusRequestEntityTooLarge
		}
		w.WriteHeader(status)
	}}}, reached
}

func newLimits(bodies int64) Limits {
	return Limits{Bodies: bodies, Stall: time.Second, Pace: 1 << 10}
}

// Guards against a refusal that does not say that the request was not run, and against
// a request that reaches its handler without the memory that it needs.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name       string
		body       string
		limit      int64
		held       int64
		status     int
		retryAfter string
	}{
		{"within the limits", "[0]", 1000, 0, 200, ""},
		{"no room", strings.Repeat("x", 600), 1000, 7 << 10, 503, "1"},
		{"too long", strings.Repeat("x", 1001), 1000, 0, 413, ""},
		{"too much once it is decoded", "[" + strings.Repeat("0,", 400) + "0]", 1000, 0, 413, ""},
		{"a listener without bodies", "xxx", 0, 0, 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h, reached := newHandler(newLimits(8<<10), c.limit)
				other := h.in.budget.Open(func() {})
				g.Expect(other.Resize(t.Context(), c.held)).To(Succeed())
				other.Keep()
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(c.body)))
				g.Expect(w.Code).To(Equal(c.status))
				g.Expect(w.Header().Get("Retry-After")).To(Equal(c.retryAfter))
				g.Expect(*reached == 1).To(Equal(c.status == http.StatusOK))
				g.Expect(h.in.budget.Stats().Used).To(Equal(c.held))
			})
		})
	}
}

// Guards against status 200 for a request that was not handled: its body became
// complete just when its connection was chosen to be closed.
func TestEvictedRequestIsNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, reached := newHandler(newLimits(8<<10), 4<<10)
		body, sender := io.Pipe()
		ended := make(chan any, 1)
		go func() {
			defer func() { ended <- recover() }()
			r := httptest.NewRequest(http.MethodPost, "/", body)
			r.ContentLength = 2 << 10
			h.ServeHTTP(httptest.NewRecorder(), r)
		}()
		_, err := sender.Write(make([]byte, 1<<10))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		g.Expect(h.in.budget.Open(func() {}).Resize(ctx, 7<<10)).To(MatchError(context.DeadlineExceeded))
		_, err = sender.Write(make([]byte, 1<<10))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(<-ended).To(Equal(http.ErrAbortHandler))
		g.Expect(*reached).To(BeZero())
	})
}

// Guards against a deadline that begins only once a slow body has arrived.
func TestArrivalIsThatOfTheHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		var arrival time.Time
		h := &handler{in: New(Config{Limits: newLimits(64 << 10)}), listener: Listener{Body: 1 << 10}, next: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			arrival = Arrival(r)
		})}
		slow := &source{pieces: 2, piece: []byte("[]"), pause: 500 * time.Millisecond, due: start.Add(time.Minute)}
		r := httptest.NewRequest(http.MethodPost, "/", slow)
		h.ServeHTTP(httptest.NewRecorder(), r)
		g.Expect(time.Since(start)).To(Equal(time.Second))
		g.Expect(arrival).To(Equal(start))
	})
}

// Guards against requests that hold all connections of a listener, so that new ones are
// closed without an answer, and against a count that does not fall again.
func TestBusyListenerRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := newHandler(newLimits(8<<10), 1000)
		var reached atomic.Int32
		table := newTable(4, newBufferPool(0), func(string) {})
		release := make(chan struct{})
		h.next = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1); <-release })
		serve := func(body string) *httptest.ResponseRecorder {
			client, server := net.Pipe()
			defer func() { _ = client.Close() }()
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), connectionKey{}, table.add(server, func() {}))))
			table.setState(server, http.StateClosed)
			return w
		}
		for range 3 {
			go serve("")
		}
		synctest.Wait()
		for _, body := range []string{"", "[0]"} {
			start := time.Now()
			w := serve(body)
			g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
			g.Expect(w.Header().Get("Retry-After")).To(Equal("1"))
			g.Expect(w.Header().Get("Connection")).To(Equal("close"))
			g.Expect(time.Since(start)).To(BeZero())
		}
		g.Expect(reached.Load()).To(BeEquivalentTo(3))
		close(release)
		synctest.Wait()
		g.Expect(table.load()).To(BeZero())
		g.Expect(serve("[0]").Code).To(Equal(http.StatusOK))
	})
}

// Guards against heads whose memory is not counted, or not returned.
func TestHeadMemory(t *testing.T) {
	g := NewWithT(t)
	in := New(Config{Limits: newLimits(1 << 20)})
	used := func() int64 { return in.budget.Stats().Used }
	h := &head{budget: in.budget, evict: func() {}}
	fields := []byte(strings.Repeat("a:\r\n", 500))
	g.Expect(h.add(t.Context(), []byte("GET / HTTP/1.1\r\nHost: shop.example\r\n"))).To(Succeed())
	g.Expect(used()).To(BeZero(), "an ordinary head")
	g.Expect(h.add(t.Context(), fields)).To(Succeed())
	g.Expect(used()).To(BeNumerically(">", 500*headerSize))
	account, err := h.finish(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.add(t.Context(), fields)).To(Succeed()) // the end of a body and the next head
	g.Expect(h.add(t.Context(), []byte("x"))).To(Succeed())
	before := used()
	account.Close()
	g.Expect(used()).To(BeZero())
	h.next()
	account, err = h.finish(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(used()).To(BeNumerically("~", before, 1<<10), "the head that was read with the body")
	account.Close()
	h.next()
	g.Expect(h.add(t.Context(), fields)).To(Succeed())
	g.Expect(used()).NotTo(BeZero())
	h.close()
	g.Expect(used()).To(BeZero(), "after the connection was closed")
}

// Guards against heads that are turned away without an answer, and against status 400,
// after which callers give up.
func TestHeadsThatFindNoRoom(t *testing.T) {
	for _, c := range []struct {
		name        string
		used, lines int
		want        string
	}{
		{"room", 0, 500, "200 OK"},
		{"no room", 800 << 10, 1000, "503 Service Unavailable"},
		{"never room", 0, 7000, "431 Request Header Fields Too Large"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			limits := newLimits(1 << 20)
			limits.Headers = 64 << 10
			in := New(Config{Limits: limits})
			other := in.budget.Open(func() {})
			g.Expect(other.Resize(t.Context(), int64(c.used))).To(Succeed())
			other.Keep()
			ln, err := Listen("127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			srv := in.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Listener{Name: "entry", Connections: 4})
			go func() { _ = in.Serve(srv, ln) }()
			defer func() { _ = srv.Close() }()
			conn, err := net.Dial("tcp", ln.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", c.lines)+"\r\n")
			line, _ := bufio.NewReader(conn).ReadString('\n')
			g.Expect(line).To(Equal("HTTP/1.1 " + c.want + "\r\n"))
		})
	}
}
