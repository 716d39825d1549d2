package batch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/batch"
)

// repeated returns a batch with occurrences every two seconds, all of which are due at noon.
func repeated(id string, occurrences int) *carawayshift.Batch {
	return &carawayshift.Batch{
		ID: id, Queue: queue(2), Steps: []carawayshift.Step{{Count: 1}}, Repeat: occurrences, Interval: 2 * time.Second,
		First: noon.Add(-time.Duration(occurrences) * 2 * time.Second),
	}
}

// Weeks of occurrences are due at once. A change that opens all of them is too large for the
// log, and nothing else would be planned any more.
func TestDueOccurrencesAreOpenedInParts(t *testing.T) {
	o := NewWithT(t)
	b := batch.New()
	for _, x := range []*carawayshift.Batch{repeated("a", 1_000_000), repeated("b", 1_000_000), repeated("c", 10)} {
		o.Expect(b.Apply(noon, &carawayshift.BatchChange{Submit: x})).To(Succeed())
	}
	due, next := b.DueOccurrences(noon)
	count := map[string]int{}
	for _, d := range due {
		count[d.Batch]++
	}
	o.Expect(count).To(Equal(map[string]int{"a": 64, "b": 64, "c": 10}))
	o.Expect(next.IsZero()).To(BeTrue(), "the open ones must start first")
	o.Expect(b.Apply(noon, &carawayshift.BatchChange{Due: due})).To(Succeed())
	due, _ = b.DueOccurrences(noon)
	o.Expect(due).To(BeEmpty())
	o.Expect(b.Apply(noon, &carawayshift.BatchChange{Starts: start(carawayshift.TaskName{Batch: "a"}, 1)})).To(Succeed())
	due, _ = b.DueOccurrences(noon)
	o.Expect(due).To(Equal([]carawayshift.OccurrenceDue{{Batch: "a", Occurrence: 64}}))
}

// Many batches with many occurrences share a change.
func TestBatchesShareDueOccurrences(t *testing.T) {
	o := NewWithT(t)
	b := batch.New()
	for i := range 10 {
		o.Expect(b.Apply(noon, &carawayshift.BatchChange{Submit: repeated(string(rune('a'+i)), 1000)})).To(Succeed())
	}
	due, next := b.DueOccurrences(noon)
	count := map[string]int{}
	for _, d := range due {
		count[d.Batch]++
	}
	o.Expect(count).To(HaveLen(10))
	o.Expect(count).To(HaveEach(BeNumerically("~", 25, 1)))
	o.Expect(next).To(Equal(noon), "more are due")
}

// All occurrences run once, in order, and what is kept of each is small.
func TestBacklogOfOccurrencesRuns(t *testing.T) {
	const occurrences = 3000
	o := NewWithT(t)
	b := batch.New()
	x := repeated("b", occurrences)
	x.Steps = []carawayshift.Step{{Count: 2}, {Count: 1, After: []int{0}}}
	o.Expect(b.Apply(noon, &carawayshift.BatchChange{Submit: x})).To(Succeed())
	runs, last, kept := 0, 0, 0
	for at := noon; ; at = at.Add(time.Second) {
		if state, _, _ := b.State("b"); state.Ended() {
			o.Expect(state).To(Equal(carawayshift.BatchFinished))
			break
		}
		due, _ := b.DueOccurrences(at)
		for _, d := range due {
			o.Expect(d.Occurrence).To(Equal(last))
			last++
		}
		c := &carawayshift.BatchChange{Due: due}
		o.Expect(b.Apply(at, c)).To(Succeed())
		demands, open := b.OpenWork()
		o.Expect(len(demands)).To(BeNumerically("<=", 2*64))
		c = &carawayshift.BatchChange{}
		for _, r := range open {
			c.Ends = append(c.Ends, carawayshift.RunEnd{Task: r.Task, Run: r.Run, Outcome: carawayshift.RunFinished})
		}
		for _, d := range demands {
			for i := range d.Indexes {
				c.Starts = append(c.Starts, carawayshift.RunStart{Task: d.Task(i), Run: d.Runs[i], Runner: "i"})
				runs++
			}
		}
		if last == occurrences && kept == 0 {
			encoded, err := carawayshift.Encode(b.Snapshot())
			o.Expect(err).NotTo(HaveOccurred())
			kept = len(encoded) / occurrences
		}
		o.Expect(b.Apply(at, c)).To(Succeed())
	}
	o.Expect(runs).To(Equal(3 * occurrences))
	o.Expect(kept).To(BeNumerically("<", 20), "bytes for each occurrence")
}
