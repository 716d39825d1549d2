package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
)

// A snapshot that can be written but not read keeps a host from starting. The sizes are
// around the limit of the decoder for messages.
func TestSnapshotOfAnySizeCanBeRead(t *testing.T) {
	const limit = 1 << 18
	for _, occurrences := range []int{0, 1, limit - 1, limit, limit + 1, 2 * limit} {
		t.Run(fmt.Sprint(occurrences), func(t *testing.T) {
			o := NewWithT(t)
			m := New(nil)
			at := time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)
			b := carawayshift.Batch{ID: "b", Steps: []carawayshift.Step{{Count: 1}}, Repeat: 3 * limit, First: at, Interval: time.Second}
			o.Expect(m.batches.Apply(at, &carawayshift.BatchChange{Submit: &b})).To(Succeed())
			c := carawayshift.BatchChange{}
			for k := range occurrences {
				c.Due = append(c.Due, carawayshift.OccurrenceDue{Batch: "b", Occurrence: k})
			}
			o.Expect(m.batches.Apply(at, &c)).To(Succeed())
			var written, again bytes.Buffer
			o.Expect(m.Snapshot(&written)).To(Succeed())
			restored := New(nil)
			o.Expect(restored.Restore(bytes.NewReader(written.Bytes()))).To(Succeed())
			o.Expect(restored.Snapshot(&again)).To(Succeed())
			o.Expect(bytes.Equal(again.Bytes(), written.Bytes())).To(BeTrue())
		})
	}
}
