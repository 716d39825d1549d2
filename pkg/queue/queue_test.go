package queue

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

// slotPool is a number of free slots.
type slotPool struct{ free int }

func (p *slotPool) acquire() bool {
	if p.free == 0 {
		return false
	}
	p.free--
	return true
}

// Checks the order: urgent requests first, then by arrival.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Config{})
		p := &slotPool{}
		var mu sync.Mutex
		var got []string
		for i := range 6 {
			urgent := i%2 == 1
			go func() {
				err := q.Wait(t.Context(), Entry{Service: "fit", Urgent: urgent, Deadline: time.Now().Add(time.Minute), Acquire: p.acquire})
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					got = append(got, fmt.Sprint(i))
				}
			}()
			synctest.Wait()
		}
		for range 6 {
			p.free++
			q.Wake("fit")
			synctest.Wait()
		}
		NewWithT(t).Expect(got).To(Equal([]string{"1", "3", "5", "0", "2", "4"}))
	})
}

// Checks when requests are refused: immediately if the queue is too long, at
// half of the time to the deadline if no slot becomes free, and immediately if
// the caller disconnects.
func TestSheds(t *testing.T) {
	tests := []struct {
		name     string
		mean     time.Duration
		deadline time.Duration
		gone     time.Duration
		after    time.Duration
		kind     carawayshift.Kind
	}{
		{"queue too long", time.Second, 900 * time.Millisecond, time.Hour, 0, carawayshift.NotRun},
		{"queue does not move", 0, time.Second, time.Hour, 500 * time.Millisecond, carawayshift.NotRun},
		{"caller disconnects", 0, time.Second, 100 * time.Millisecond, 100 * time.Millisecond, ""},
		{"deadline has passed", 0, -time.Second, time.Hour, 0, carawayshift.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				q := New(Config{Estimate: func(string) (time.Duration, float64) { return tt.mean, 1 }})
				ctx, cancel := context.WithTimeout(t.Context(), tt.gone)
				defer cancel()
				start := time.Now()
				err := q.Wait(ctx, Entry{Service: "fit", Deadline: start.Add(tt.deadline), Acquire: (&slotPool{}).acquire})
				g.Expect(err).To(HaveOccurred())
				g.Expect(carawayshift.KindOf(err)).To(Equal(tt.kind))
				g.Expect(time.Since(start)).To(Equal(tt.after))
				g.Expect(q.Len()).To(BeZero())
			})
		})
	}
}

// Checks the limit: a full queue refuses a request, but an urgent request
// replaces the newest one that is not urgent.
func TestFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := New(Config{Limit: 2})
		ends := make(chan string, 4)
		wait := func(name string, urgent bool) {
			go func() {
				err := q.Wait(t.Context(), Entry{Service: "fit", Urgent: urgent, Deadline: time.Now().Add(time.Minute), Acquire: (&slotPool{}).acquire})
				ends <- fmt.Sprint(name, " ", carawayshift.KindOf(err))
			}()
			synctest.Wait()
		}
		wait("first", false)
		wait("second", false)
		wait("third", false)
		g.Expect(<-ends).To(Equal("third not run"))
		wait("urgent", true)
		g.Expect(<-ends).To(Equal("second not run"))
		time.Sleep(time.Minute)
		g.Expect(q.Len()).To(BeZero())
	})
}
