package retrybudget

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Checks that there are never more retries than a tenth of the first sends, nor
// more than the burst in a row.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{})
		first, retries, burst := 0, 0, 0
		for _, deposit := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(t, "steps") {
			switch {
			case deposit:
				b.Deposit()
				first++
				burst = 0
			case b.Withdraw():
				retries++
				burst++
			}
			if retries*10 > first || burst > defaultBurst {
				t.Fatalf("%d retries after %d first sends, %d in a row", retries, first, burst)
			}
		}
	})
}

// Guards against rounding errors that lose every tenth retry.
func TestTenDepositsGiveOneRetry(t *testing.T) {
	g := NewWithT(t)
	b := New(Config{})
	for range 10 {
		g.Expect(b.Withdraw()).To(BeFalse())
		b.Deposit()
	}
	g.Expect(b.Withdraw()).To(BeTrue())
	g.Expect(b.Withdraw()).To(BeFalse())
}
