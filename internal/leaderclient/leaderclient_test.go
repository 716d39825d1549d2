package leaderclient

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// hosts is a transport on which control hosts answer as the test says.
type hosts struct {
	answer map[string]func(q request) (reply, error)

	mu    sync.Mutex
	calls []string
}

func (h *hosts) Handle(string, carawayshift.Handler) {}

func (h *hosts) Call(ctx context.Context, host, _ string, body []byte) ([]byte, error) {
	h.mu.Lock()
	h.calls = append(h.calls, host)
	h.mu.Unlock()
	var q request
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	fn := h.answer[host]
	if fn == nil {
		return nil, carawayshift.NewError(carawayshift.NotRun, host+" can't be reached", "")
	}
	a, err := fn(q)
	if err == errHangs {
		<-ctx.Done()
		return nil, carawayshift.NewError(carawayshift.OutcomeUnknown, "no answer", "")
	}
	if err != nil {
		return nil, err
	}
	return carawayshift.Encode(a)
}

var errHangs = fmt.Errorf("hangs")

func ok(leader string) func(request) (reply, error) {
	return func(request) (reply, error) {
		return reply{State: carawayshift.BatchRunning, Leader: leader, Members: []string{"c1", "c2", "c3"}}, nil
	}
}

func fails(kind carawayshift.Kind) func(request) (reply, error) {
	return func(request) (reply, error) { return reply{Kind: kind, Text: "no"}, nil }
}

func hangs(request) (reply, error) { return reply{}, errHangs }

func TestCall(t *testing.T) {
	tests := []struct {
		name   string
		answer map[string]func(request) (reply, error)
		kind   carawayshift.Kind
	}{
		{"the first seed answers", map[string]func(request) (reply, error){"c1": ok("c1")}, ""},
		{"only the last seed answers", map[string]func(request) (reply, error){"c3": ok("c3")}, ""},
		{"nobody answers", nil, carawayshift.NotRun},
		{"one hangs, another leads", map[string]func(request) (reply, error){"c1": hangs, "c2": ok("c2")}, ""},
		{"all hang", map[string]func(request) (reply, error){"c1": hangs, "c2": hangs, "c3": hangs}, carawayshift.OutcomeUnknown},
		{"nobody leads", map[string]func(request) (reply, error){"c1": fails(carawayshift.NotRun), "c2": fails(carawayshift.NotRun)}, carawayshift.NotRun},
		{"a definite answer is not asked for again", map[string]func(request) (reply, error){"c1": fails(carawayshift.Gone), "c2": ok("c2")}, carawayshift.Gone},
		{"a refusal is definite", map[string]func(request) (reply, error){"c1": fails(carawayshift.Unauthorized)}, carawayshift.Unauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewWithT(t)
				r := New(Config{Host: "e1", Transport: &hosts{answer: tt.answer}, Seeds: func() []string { return []string{"c1", "c2", "c3"} }})
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				_, err := r.State(ctx, carawayshift.Address{})
				o.Expect(carawayshift.KindOf(err)).To(Equal(tt.kind))
			})
		})
	}
}

func TestLeaderIsAskedFirst(t *testing.T) {
	o := NewWithT(t)
	h := &hosts{answer: map[string]func(request) (reply, error){"c1": ok("c2"), "c2": ok("c2")}}
	r := New(Config{Host: "e1", Transport: h, Seeds: func() []string { return []string{"c1"} }})
	for range 2 {
		_, err := r.State(context.Background(), carawayshift.Address{})
		o.Expect(err).NotTo(HaveOccurred())
	}
	o.Expect(h.calls).To(Equal([]string{"c1", "c2"}))
	o.Expect(r.Known()).To(Equal([]string{"c2", "c1", "c3"}), "members are learned from answers")
}

func TestSeedsMayBeGone(t *testing.T) {
	o := NewWithT(t)
	h := &hosts{answer: map[string]func(request) (reply, error){"c1": ok("c1")}}
	seeds := []string{"c1"}
	r := New(Config{Host: "e1", Transport: h, Seeds: func() []string { return seeds }})
	_, err := r.State(context.Background(), carawayshift.Address{})
	o.Expect(err).NotTo(HaveOccurred())
	seeds = []string{"wrong"}
	h.answer = map[string]func(request) (reply, error){"c3": ok("c3")}
	_, err = r.State(context.Background(), carawayshift.Address{})
	o.Expect(err).NotTo(HaveOccurred())
}
