package runner

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// scriptedServer answers each request with the next text of its script. An
// empty text closes the connection; "hang" sends no response.
type scriptedServer struct {
	mu     sync.Mutex
	script []string
	seen   []string
	conns  []net.Conn
}

func (s *scriptedServer) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	s.mu.Lock()
	s.conns = append(s.conns, serverEnd)
	s.mu.Unlock()
	go s.serve(serverEnd)
	return clientEnd, nil
}

func (s *scriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		text := s.next(req)
		if text == "" {
			return
		}
		if text == "hang" {
			continue
		}
		_, _ = c.Write([]byte(strings.ReplaceAll(text, "ID", req.Header.Get(AttemptHeader))))
		if strings.Contains(text, "cut") {
			return
		}
	}
}

func (s *scriptedServer) next(req *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, req.Header.Get(AttemptHeader))
	text := ""
	if len(s.script) > 0 {
		text, s.script = s.script[0], s.script[1:]
	}
	return text
}

func (s *scriptedServer) close() {
	for _, c := range s.conns {
		_ = c.Close()
	}
}

var target = carawayshift.Runner{Name: "r1", Address: "r1:80", Connections: 4}

const ok = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok"

// Guards against a wrong classification of outcomes: a partial response or one
// of another attempt must never be a success, and an attempt of which bytes
// have left the host must never be "not run".
func TestSendClassifiesEnds(t *testing.T) {
	tests := []struct {
		name, answer string
		kind         carawayshift.Kind
	}{
		{"whole answer", ok, ""},
		{"whole chunked answer", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"no echo", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", carawayshift.OutcomeUnknown},
		{"another echo", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nok", carawayshift.OutcomeUnknown},
		{"two echoes", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nok", carawayshift.OutcomeUnknown},
		{"short of its length", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 9\r\n\r\ncut", carawayshift.OutcomeUnknown},
		{"no final chunk", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n", carawayshift.OutcomeUnknown},
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\ncut", carawayshift.OutcomeUnknown},
		{"larger than the limit", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 20\r\n\r\n01234567890123456789", carawayshift.OutcomeUnknown},
		{"closed without an answer", "", carawayshift.OutcomeUnknown},
		{"no answer in time", "hang", carawayshift.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedServer{script: []string{tt.answer}}
				defer s.close()
				p := New(Config{Dial: s.dial, BodyLimit: 16})
				defer p.closeClients()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				a, err := p.Send(ctx, target, Request{Attempt: "a1", Method: http.MethodPost, Path: "/r/fit", Body: []byte("x")})
				NewWithT(t).Expect(carawayshift.KindOf(err)).To(Equal(tt.kind))
				if tt.kind == "" {
					NewWithT(t).Expect(string(a.Body)).To(Equal("ok"))
				}
			})
		})
	}
}

// Guards against a retry by net/http itself when a kept-alive connection
// closes, which would run one attempt twice.
func TestSendNeverRepeats(t *testing.T) {
	tests := []struct {
		name, method string
		header       http.Header
		body         string
	}{
		{"GET", http.MethodGet, nil, ""},
		{"HEAD", http.MethodHead, nil, ""},
		{"POST with a key and a body", http.MethodPost, http.Header{"Idempotency-Key": {"k"}}, "x"},
		{"POST with a key and no body", http.MethodPost, http.Header{"Idempotency-Key": {"k"}}, ""},
		{"OPTIONS", http.MethodOptions, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &scriptedServer{script: []string{ok, "", ok}}
				defer s.close()
				p := New(Config{Dial: s.dial})
				defer p.closeClients()
				q := Request{Attempt: "a1", Method: http.MethodPost, Path: "/r/fit"}
				_, err := p.Send(t.Context(), target, q)
				g.Expect(err).NotTo(HaveOccurred())
				synctest.Wait()
				q = Request{Attempt: "a2", Method: tt.method, Path: "/r/fit", Header: tt.header, Body: []byte(tt.body)}
				_, err = p.Send(t.Context(), target, q)
				g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.OutcomeUnknown))
				g.Expect(s.seen).To(Equal([]string{"a1", "a2"}))
			})
		})
	}
}

// Guards against a wrong outcome of attempts that were not sent: a failed dial
// is "not run", and no bytes of a cancelled attempt are sent later.
func TestSendNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := New(Config{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }})
		_, err := p.Send(t.Context(), target, Request{Attempt: "a1", Method: http.MethodPost, Path: "/r/fit"})
		g.Expect(carawayshift.KindOf(err)).To(Equal(carawayshift.NotRun))

		clientEnd, serverEnd := net.Pipe()
		c := &conn{Conn: clientEnd}
		var tr writeTracker
		c.begin(&tr)
		g.Expect(tr.finish()).To(BeFalse())
		_, err = c.Write([]byte("late"))
		g.Expect(errors.Is(err, errAttemptEnded)).To(BeTrue())
		_ = serverEnd.Close()
	})
}
