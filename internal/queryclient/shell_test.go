package queryclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// fakeHosts answers each request with the next of the replies for its host: a
// body, from which the status follows, "lost" for a connection that breaks or
// "down" for one that is refused. The last reply is repeated.
type fakeHosts struct {
	replies map[string][]string
	tried   []string
	ids     map[string]bool
}

func (f *fakeHosts) RoundTrip(r *http.Request) (*http.Response, error) {
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		return nil, err
	}
	f.tried = append(f.tried, r.URL.Host)
	f.ids[q.ID] = true
	next := f.replies[r.URL.Host][0]
	if len(f.replies[r.URL.Host]) > 1 {
		f.replies[r.URL.Host] = f.replies[r.URL.Host][1:]
	}
	if next == "lost" {
		return nil, io.ErrUnexpectedEOF
	}
	if next == "down" {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	w := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(next))}
	switch {
	case strings.Contains(next, "not run"):
		w.StatusCode = http.StatusServiceUnavailable
	case strings.Contains(next, "outcome unknown"):
		w.StatusCode = http.StatusGatewayTimeout
	case strings.Contains(next, "malformed"):
		w.StatusCode = http.StatusBadRequest
	}
	return w, nil
}

const (
	accepted  = `{"text":"accepted at version 6\n","version":6}`
	notRun    = `{"text":"not run: no leader\n","kind":"not run","error":"no leader"}`
	unknown   = `{"text":"outcome unknown\n","kind":"outcome unknown","error":"no answer"}`
	malformed = `{"text":"malformed\n","kind":"malformed","error":"no verb"}`
)

func newShell(a, b []string) (*Shell, *fakeHosts, *bytes.Buffer) {
	f := &fakeHosts{replies: map[string][]string{"a": a, "b": b}, ids: map[string]bool{}}
	var out bytes.Buffer
	return &Shell{Hosts: []string{"http://a/", "http://b"}, Operator: "ines", Out: &out, Client: &http.Client{Transport: f}}, f, &out
}

// Guards against a retry under another id, a host that is not tried, and a wrong
// "not run" after an earlier attempt that may have been accepted.
func TestRun(t *testing.T) {
	tests := []struct {
		name  string
		a, b  []string
		tried string
		kind  carawayshift.Kind
	}{
		{"first host", []string{accepted}, nil, "a", ""},
		{"next host when one is down", []string{"down"}, []string{accepted}, "a b", ""},
		{"next host when the answer is lost", []string{"lost"}, []string{accepted}, "a b", ""},
		{"next host when the outcome is unknown", []string{unknown}, []string{accepted}, "a b", ""},
		{"second round after an election", []string{notRun, accepted}, []string{notRun}, "a b a", ""},
		{"a refusal is final", []string{malformed}, []string{accepted}, "a", carawayshift.Malformed},
		{"not run everywhere", []string{notRun}, []string{"down"}, "a b a b a b", carawayshift.NotRun},
		{"all down", []string{"down"}, []string{"down"}, "a b a b a b", carawayshift.NotRun},
		{"lost, then not run", []string{"lost", notRun}, []string{notRun}, "a b a b a b", carawayshift.OutcomeUnknown},
		{"unknown, then down", []string{unknown, "down"}, []string{"down"}, "a b a b a b", carawayshift.OutcomeUnknown},
		{"no valid answer", []string{"<html>"}, []string{"<html>"}, "a b a b a b", carawayshift.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sh, f, out := newShell(tt.a, tt.b)
				err := sh.Run(t.Context(), "drain zone belmont")
				g.Expect(carawayshift.KindOf(err)).To(Equal(tt.kind))
				g.Expect(strings.Join(f.tried, " ")).To(Equal(tt.tried))
				g.Expect(f.ids).To(HaveLen(1))
				g.Expect(out.String()).NotTo(BeEmpty())
			})
		})
	}
}

// Guards against trying an unreachable host first for every statement, and
// against using the same id for two statements.
func TestHostThatAnsweredIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sh, f, _ := newShell([]string{"down"}, []string{accepted})
		g.Expect(sh.Run(t.Context(), "drain zone belmont")).To(Succeed())
		g.Expect(sh.Run(t.Context(), "return zone belmont")).To(Succeed())
		g.Expect(f.tried).To(Equal([]string{"a", "b", "b"}))
		g.Expect(f.ids).To(HaveLen(2))
	})
}

// Guards against a script that continues after a statement has failed.
func TestRunFileStopsAtTheFirstFailure(t *testing.T) {
	g := NewWithT(t)
	sh, f, out := newShell([]string{accepted, malformed, accepted}, nil)
	err := sh.RunFile(t.Context(), strings.NewReader("# night\n\ndrain zone belmont\nshwo jobs\nreturn zone belmont\n"))
	g.Expect(err).To(MatchError(ContainSubstring("line 4")))
	g.Expect(f.tried).To(HaveLen(2))
	g.Expect(out.String()).To(Equal("accepted at version 6\nmalformed\n"))
}

// Guards against an interactive shell that ends after a failed statement, or that
// does not end at all.
func TestInteract(t *testing.T) {
	g := NewWithT(t)
	sh, f, out := newShell([]string{malformed, accepted}, nil)
	g.Expect(sh.Interact(t.Context(), strings.NewReader("shwo jobs\n\ndrain zone belmont\nquit\nhelp\n"))).To(Succeed())
	g.Expect(f.tried).To(HaveLen(2))
	g.Expect(out.String()).To(Equal("> malformed\n> > accepted at version 6\n> "))
	sh.JSON = true
	out.Reset()
	g.Expect(sh.Interact(t.Context(), strings.NewReader("drain zone belmont"))).To(Succeed())
	g.Expect(out.String()).To(Equal("> " + accepted + "\n> \n"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(sh.Interact(ctx, strings.NewReader("a\nb\nc\n"))).To(MatchError(context.Canceled))
}
