package logtrace_test

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/internal/logtrace"
)

// Lines in the format of the processes; some have a log collector's prefix.
const (
	refusedLog = `{"batch":"00000000000000a1","error":"unauthorized: the key belongs to no team; send a key of the team","event":"answered","host":"front-1","level":"info","method":"POST","ms":4,"msg":"request answered","part":"entry","status":401,"time":"2026-06-21T11:49:20.1Z"}
`
	unknownOutcomeLog = `   9.1 core-2 {"host":"10-1-0-30","level":"info","msg":"elected leader","term":2,"time":"2026-06-21T11:49:21.2Z"}
   9.6 front-1 {"batch":"00000000000000b2","error":"outcome unknown: the leader did not answer in time; ask again with the same id","event":"answered","host":"front-1","level":"info","method":"POST","ms":2900,"msg":"request answered","part":"entry","status":504,"time":"2026-06-21T11:49:21.6Z"}
`
	slowBatchLog = `{"batch":"00000000000000c3","event":"accepted","host":"core-1","level":"info","msg":"batch accepted","priority":0,"tasks":2,"team":"kago403","time":"2026-06-21T11:49:30.0Z"}
{"alternatives":0,"batch":"00000000000000c3","event":"ordered","host":"core-1","level":"info","msg":"task ordered","run":1,"runner":"i-1","task":"00000000000000c3.0.0.0","time":"2026-06-21T11:49:32.5Z"}
{"event":"order failed","host":"core-1","level":"warning","msg":"start not confirmed","run":1,"runner":"i-1","task":"00000000000000c3.0.0.0","time":"2026-06-21T11:49:33.2Z"}
{"batch":"00000000000000c3","event":"ended","host":"core-1","level":"info","msg":"end recorded","outcome":"lost","run":1,"task":"00000000000000c3.0.0.0","time":"2026-06-21T11:49:34.0Z"}
{"batch":"00000000000000c3","event":"ended","host":"core-1","level":"info","msg":"end recorded","outcome":"finished","run":2,"task":"00000000000000c3.0.0.0","time":"2026-06-21T11:49:39.0Z"}
`
)

func readLog(t *testing.T, texts ...string) *logtrace.Log {
	b := &logtrace.Log{}
	for _, s := range texts {
		NewWithT(t).Expect(b.Read(strings.NewReader(s))).To(Succeed())
	}
	return b
}

func TestCauses(t *testing.T) {
	tests := []struct {
		name, id, want string
	}{
		{"refused", "00000000000000a1", "refused with 401: unauthorized: the key belongs to no team; send a key of the team"},
		{"without a clear answer", "00000000000000b2", "ended without a clear answer: the leader changed (elected leader on 10-1-0-30 at 11:49:21.200): outcome unknown: the leader did not answer in time; ask again with the same id"},
		{"late", "00000000000000c3", "2.5s to the first order, 9s in all; 1 orders without an answer, 1 runs lost"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := NewWithT(t)
			s, ok := readLog(t, slowBatchLog, refusedLog, unknownOutcomeLog).Timeline(tt.id)
			o.Expect(ok).To(BeTrue())
			o.Expect(s.Cause).To(Equal(tt.want))
		})
	}
}

func TestTimelineIsSortedByTime(t *testing.T) {
	o := NewWithT(t)
	lines := strings.SplitAfter(slowBatchLog, "\n")
	s, ok := readLog(t, lines[3], lines[0], lines[4], lines[1], lines[2]).Timeline("00000000000000c3")
	o.Expect(ok).To(BeTrue())
	var events []string
	for _, e := range s.Events {
		events = append(events, e.Event)
	}
	o.Expect(events).To(Equal([]string{"accepted", "ordered", "order failed", "ended", "ended"}))
}

func TestSlowestAndRefused(t *testing.T) {
	o := NewWithT(t)
	b := readLog(t, slowBatchLog, refusedLog, unknownOutcomeLog)
	o.Expect(b.Slowest(5)).To(HaveLen(1))
	refused := b.Refused(5)
	o.Expect(refused).To(HaveLen(2))
	o.Expect(refused[0].ID).To(Equal("00000000000000a1"))
	_, ok := b.Timeline("ffffffffffffffff")
	o.Expect(ok).To(BeFalse())
}

func TestUnreadableLinesAreCounted(t *testing.T) {
	o := NewWithT(t)
	b := readLog(t, "no json\n{\"cut\":\n\n{\"event\":\"x\",\"time\":\"never\"}\n"+refusedLog)
	o.Expect(b.Unreadable).To(Equal(3))
	o.Expect(b.Events).To(HaveLen(1))
}

func TestTruncatedGzipFile(t *testing.T) {
	o := NewWithT(t)
	var z bytes.Buffer
	w := gzip.NewWriter(&z)
	_, _ = w.Write([]byte(strings.Repeat(slowBatchLog, 50)))
	o.Expect(w.Close()).To(Succeed())
	path := filepath.Join(t.TempDir(), "core.log.gz")
	o.Expect(os.WriteFile(path, z.Bytes()[:z.Len()-10], 0o600)).To(Succeed())
	var b logtrace.Log
	o.Expect(b.Open(path)).To(Succeed())
	o.Expect(b.Events).NotTo(BeEmpty())
	o.Expect(b.Unreadable).To(BeNumerically(">=", 1))
}
