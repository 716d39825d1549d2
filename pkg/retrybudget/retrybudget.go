// Package retrybudget limits retries to a fraction of first sends.
//
// # Usage
//
//	b := retrybudget.New(retrybudget.Config{})
//	b.Deposit()          // for each first send
//	if b.Withdraw() { }  // before each retry
package retrybudget

import "sync"

const (
	defaultRatio = 0.1
	// defaultBurst is the maximum number of retries that can accumulate. It
	// covers the requests in flight at one runner with 8 slots and a few more
	// when the runner fails.
	defaultBurst = 20
)

// Config holds the settings of a Budget. Zero values select the defaults.
type Config struct {
	// Ratio is the number of retries earned by one first send.
	Ratio float64
	// Burst is the maximum number of retries that can accumulate.
	Burst float64
}

// Budget is a retry budget. It starts empty, so that retries never exceed Ratio
// times the first sends, even right after a start.
type Budget struct {
	cfg     Config
	mu      sync.Mutex
	balance float64
}

// New returns an empty budget.
func New(cfg Config) *Budget {
	if cfg.Ratio <= 0 {
		cfg.Ratio = defaultRatio
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	return &Budget{cfg: cfg}
}

// Deposit records one first send.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.balance = min(b.balance+b.cfg.Ratio, b.cfg.Burst)
	b.mu.Unlock()
}

// Withdraw takes one retry from the budget and reports whether one was
// available.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Because of rounding, ten deposits of 0.1 add up to slightly less than 1.
	const epsilon = 1e-9
	if b.balance < 1-epsilon {
		return false
	}
	b.balance = max(0, b.balance-1)
	return true
}
