package outlier_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/pkg/outlier"
)

var now = time.Date(2026, 8, 1, 12, 0, 0, 0, time.UTC)

func TestRecord(t *testing.T) {
	tests := []struct {
		name    string
		record  func(r *outlier.Detector)
		ejected bool
	}{
		{"unknown", func(*outlier.Detector) {}, false},
		{"several failures of one batch", func(r *outlier.Detector) {
			r.RecordFailure("i", "b1", false, now)
			r.RecordFailure("i", "b1", false, now)
		}, false},
		{"failures of two batches", func(r *outlier.Detector) {
			r.RecordFailure("i", "b1", false, now)
			r.RecordFailure("i", "b2", false, now)
		}, true},
		{"a task finishes between the failures", func(r *outlier.Detector) {
			r.RecordFailure("i", "b1", false, now)
			r.RecordSuccess("i", now)
			r.RecordFailure("i", "b2", false, now)
		}, false},
		{"a task that started before the failures finishes between them", func(r *outlier.Detector) {
			r.RecordFailure("i", "b1", false, now)
			r.RecordSuccess("i", now.Add(-time.Second))
			r.RecordFailure("i", "b2", false, now)
		}, true},
		{"failures of batches that fail on many runners", func(r *outlier.Detector) {
			for _, b := range []string{"b1", "b2", "b3"} {
				for _, other := range []string{"j", "k", "l", "m"} {
					r.RecordFailure(other, b, false, now)
				}
				r.RecordFailure("i", b, false, now)
			}
		}, false},
		{"a failure long after the others", func(r *outlier.Detector) {
			r.RecordFailure("i", "b1", false, now.Add(-2*time.Minute))
			r.RecordFailure("i", "b2", false, now)
		}, false},
		{"an early failure", func(r *outlier.Detector) { r.RecordFailure("i", "b1", true, now) }, true},
		{"an early failure of a batch that failed early on another runner", func(r *outlier.Detector) {
			r.RecordFailure("j", "b1", true, now)
			r.RecordFailure("i", "b1", true, now)
		}, true},
		{"an early failure of a batch that fails everywhere", func(r *outlier.Detector) {
			r.RecordFailure("j", "b1", true, now)
			r.RecordFailure("k", "b1", true, now)
			r.RecordFailure("i", "b1", true, now)
		}, false},
		{"a task that started before an early failure finishes", func(r *outlier.Detector) {
			r.RecordFailure("i", "b1", true, now)
			r.RecordSuccess("i", now.Add(-time.Second))
		}, true},
		{"a task that started after an early failure finishes", func(r *outlier.Detector) {
			r.RecordFailure("i", "b1", true, now)
			r.RecordSuccess("i", now.Add(time.Second))
		}, false},
		{"a task stalls", func(r *outlier.Detector) { r.RecordStall("i", "b1", now) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := NewWithT(t)
			r := outlier.New()
			tt.record(r)
			o.Expect(r.Ejected("i", now.Add(time.Second))).To(Equal(tt.ejected))
			o.Expect(r.Ejected("other", now)).To(BeFalse())
		})
	}
}

func TestEjectionsGetLonger(t *testing.T) {
	o := NewWithT(t)
	r := outlier.New()
	at := now
	for _, seconds := range []time.Duration{2, 4, 8, 16, 30, 30} {
		r.RecordStall("i", "b", at)
		o.Expect(r.Ejected("i", at.Add(seconds*time.Second-time.Millisecond))).To(BeTrue())
		at = at.Add(seconds * time.Second)
		o.Expect(r.Ejected("i", at)).To(BeFalse())
	}
}

func TestForget(t *testing.T) {
	o := NewWithT(t)
	r := outlier.New()
	r.RecordFailure("i", "b", false, now)
	o.Expect(r.FailedOn("b")).To(HaveKey("i"))
	r.Forget(func(string) bool { return false })
	o.Expect(r.FailedOn("b")).To(BeEmpty())
}
