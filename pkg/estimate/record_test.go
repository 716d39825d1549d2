package estimate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/pkg/estimate"
)

func TestRecord(t *testing.T) {
	o := NewWithT(t)
	r := estimate.New()
	o.Expect(r.Expect("q", time.Minute)).To(Equal(time.Minute), "the declared time until something is known")
	for range 3 {
		r.Observe("q", 2*time.Second)
	}
	o.Expect(r.Expect("q", time.Minute)).To(BeNumerically("~", 2*time.Second, time.Millisecond))
	o.Expect(r.Expect("other", time.Minute)).To(Equal(time.Minute))
	for range 100 {
		r.Observe("q", 4*time.Second)
	}
	o.Expect(r.Expect("q", time.Minute)).To(BeNumerically("~", 4*time.Second, 10*time.Millisecond), "the mean follows")
}
