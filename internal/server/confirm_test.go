package server

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A confirmation older than the call that it answers would let two hosts hold a
// zone lease. A confirmation for each renewal would cost the leader 30 rounds a
// second with 18 zones.
func TestConfirmerSharesRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		rounds := 0
		var began time.Time
		c := &confirmer{confirmOnce: func(context.Context) (uint64, error) {
			mu.Lock()
			rounds++
			began = time.Now()
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			return 7, nil
		}}
		var wg sync.WaitGroup
		for zone := range 18 {
			wg.Go(func() {
				time.Sleep(time.Duration(zone) * 33 * time.Millisecond)
				for range 10 {
					asked := time.Now()
					term, err := c.confirm(t.Context())
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(term).To(BeEquivalentTo(7))
					mu.Lock()
					last := began
					mu.Unlock()
					g.Expect(last).NotTo(BeTemporally("<", asked))
					time.Sleep(600 * time.Millisecond)
				}
			})
		}
		start := time.Now()
		wg.Wait()
		g.Expect(float64(rounds) / time.Since(start).Seconds()).To(BeNumerically("<=", 4.1))
	})
}
