// Package retrybudget bounds retries to a share of first sends.
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
	// defaultBurst is the number of retries that can be saved up. It covers
	// the requests in flight at one runner with 8 slots and a few more when
	// the runner dies.
	defaultBurst = 20
)

// Config holds the settings of a Budget. Zero values take the defaults.
type Config struct {
	// Ratio is the number of retries earned by one first send.
	Ratio float64
	// Burst is the largest number of retries that can be saved up.
	Burst float64
}

// Budget is a retry budget. It starts empty, so that retries never exceed
// Ratio times the first sends, also right after a start.
type Budget struct {
	cfg Config
	mu  sync.Mutex
	n   float64
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
	b.n = min(b.n+b.cfg.Ratio, b.cfg.Burst)
	b.mu.Unlock()
}

// Withdraw takes one retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Sums of 0.1 fall short of whole numbers by rounding.
	const slack = 1e-9
	if b.n < 1-slack {
		return false
	}
	b.n = max(0, b.n-1)
	return true
}
