package loadgen

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against traces that are not reproducible from the seed, and against a
// wrong mean service time.
func TestTraceIsSeeded(t *testing.T) {
	g := NewWithT(t)
	cfg := Config{
		Hosts: []string{"http://h0", "http://h1"}, Service: "fit", Rate: 1000, Duration: 10 * time.Second,
		Work: 100 * time.Millisecond, Shape: 1.8, Urgent: 0.3, Seed: 1,
	}
	a, err := New(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := New(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	trace := a.Trace()
	g.Expect(b.Trace()).To(Equal(trace))
	g.Expect(len(trace)).To(BeNumerically("~", 10_000, 500))
	var sum time.Duration
	for _, r := range trace {
		sum += r.Work
	}
	g.Expect(sum / time.Duration(len(trace))).To(BeNumerically("~", 100*time.Millisecond, 15*time.Millisecond))
}

// Guards against runs without a limit on requests or without hosts.
func TestNewRejectsInvalidConfig(t *testing.T) {
	g := NewWithT(t)
	_, err := New(Config{Hosts: []string{"http://h0"}, Service: "fit", Rate: 1e6, Duration: time.Hour})
	g.Expect(err).To(HaveOccurred())
	_, err = New(Config{Service: "fit", Rate: 1, Duration: time.Second})
	g.Expect(err).To(HaveOccurred())
}
