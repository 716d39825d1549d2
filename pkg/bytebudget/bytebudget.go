// Package bytebudget shares a number of bytes between the bodies that a process
// receives and holds.
//
// # Usage
//
//	b := bytebudget.New(bytebudget.Config{Capacity: 32 << 20})
//	a := b.Open(func() { conn.Close() }) // evicted while its body is incomplete
//	defer a.Close()
//	err := a.Resize(ctx, 64<<10) // before the memory is allocated
//	a.Keep()                     // the body is complete and is not evicted any more
//
// A reservation that doesn't fit evicts the accounts that have been open and
// incomplete longest, if that is longer than Config.MinAge, and waits for room for at
// most Config.Patience. An eighth of the capacity is left to accounts that hold little,
// so that small requests pass while large ones wait.
package bytebudget

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultMinAge   = time.Second
	defaultPatience = 500 * time.Millisecond
	defaultSmall    = 16 << 10
	// checkInterval is the time between two looks for accounts that have become old
	// enough to be evicted.
	checkInterval = 100 * time.Millisecond
	// reservedPart is the part of the capacity that only small accounts use.
	reservedPart = 8
)

var (
	// ErrFull is returned when no room became free in time.
	ErrFull = errors.New("the budget of bytes is used up")
	// ErrTooLarge is returned for a reservation that never fits.
	ErrTooLarge = errors.New("more bytes than the whole budget")
)

// Config holds the limits of a Budget. Zero values of all but Capacity select the
// defaults.
type Config struct {
	// Capacity is in bytes.
	Capacity int64
	// MinAge is how long an incomplete account is safe from eviction.
	MinAge time.Duration
	// Patience is how long a reservation waits for room.
	Patience time.Duration
	// Small is the most bytes of an account that may use the reserved part.
	Small int64
}

// Budget is a number of bytes that accounts share.
type Budget struct {
	cfg Config

	mu   sync.Mutex
	used int64
	// incomplete holds the accounts that may be evicted, in order of their opening.
	incomplete *list.List
	// freed is closed and replaced when bytes are returned while someone waits.
	freed   chan struct{}
	waiting int
	stats   Stats
}

// Stats describes the use of a budget.
type Stats struct {
	Capacity, Used int64
	// Kept is the part of Used that belongs to complete bodies.
	Kept int64
	// Evicted and Refused count accounts that were evicted and reservations that found
	// no room.
	Evicted, Refused uint64
}

// Account holds the bytes of one body. Its methods must not be called concurrently. Keep
// and Close of a nil Account do nothing.
type Account struct {
	budget  *Budget
	evict   func()
	opened  time.Time
	held    int64
	element *list.Element
	evicted bool
}

// New returns an unused budget.
func New(cfg Config) *Budget {
	if cfg.MinAge <= 0 {
		cfg.MinAge = defaultMinAge
	}
	if cfg.Patience <= 0 {
		cfg.Patience = defaultPatience
	}
	if cfg.Small <= 0 {
		cfg.Small = defaultSmall
	}
	return &Budget{cfg: cfg, incomplete: list.New(), freed: make(chan struct{})}
}

// Stats returns the current use.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Capacity, s.Used = b.cfg.Capacity, b.used
	return s
}

// Open returns an account without bytes. Evict is called at most once and must not
// block; the owner has to close the account soon after.
func (b *Budget) Open(evict func()) *Account {
	a := &Account{budget: b, evict: evict, opened: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.element = b.incomplete.PushBack(a)
	return a
}

// Resize changes the bytes of the account to n. It returns ErrTooLarge, ErrFull or the
// error of ctx, and then changes nothing.
func (a *Account) Resize(ctx context.Context, n int64) error {
	b := a.budget
	if n > b.cfg.Capacity-b.cfg.Capacity/reservedPart {
		return ErrTooLarge
	}
	if a.resize(n) {
		return nil
	}
	return b.wait(ctx, a, n)
}

// resize changes the bytes if there is room.
func (a *Account) resize(n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryResize(a, n)
}

func (b *Budget) tryResize(a *Account, n int64) bool {
	if n > a.held && b.used+n-a.held > b.room(n) {
		return false
	}
	b.used += n - a.held
	if a.element == nil {
		b.stats.Kept += n - a.held
	}
	freed := n < a.held
	a.held = n
	if freed {
		b.notify()
	}
	return true
}

// room returns the bytes that accounts may use together when one of them wants n.
func (b *Budget) room(n int64) int64 {
	if n <= b.cfg.Small {
		return b.cfg.Capacity
	}
	return b.cfg.Capacity - b.cfg.Capacity/reservedPart
}

func (b *Budget) notify() {
	if b.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// wait evicts old accounts and waits for room.
func (b *Budget) wait(ctx context.Context, a *Account, n int64) error {
	ctx, cancel := context.WithTimeoutCause(ctx, b.cfg.Patience, ErrFull)
	defer cancel()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		if b.tryResize(a, n) {
			b.mu.Unlock()
			return nil
		}
		victims := b.victims(a, n)
		b.waiting++
		freed := b.freed
		b.mu.Unlock()
		for _, v := range victims {
			v.evict()
		}
		select {
		case <-freed:
		case <-ticker.C:
		case <-ctx.Done():
		}
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
		if ctx.Err() != nil {
			return b.refused(ctx)
		}
	}
}

func (b *Budget) refused(ctx context.Context) error {
	err := context.Cause(ctx)
	if errors.Is(err, ErrFull) {
		b.mu.Lock()
		b.stats.Refused++
		b.mu.Unlock()
	}
	return err
}

// victims marks the oldest incomplete accounts as evicted until their bytes and those
// of earlier victims make room for n.
func (b *Budget) victims(a *Account, n int64) (list []*Account) {
	missing := b.used + n - a.held - b.room(n)
	for e := b.incomplete.Front(); e != nil && missing > 0; e = e.Next() {
		v := e.Value.(*Account)
		if time.Since(v.opened) < b.cfg.MinAge {
			break
		}
		if v == a {
			continue
		}
		missing -= v.held
		if !v.evicted {
			v.evicted = true
			b.stats.Evicted++
			list = append(list, v)
		}
	}
	return list
}

// Keep makes the account safe from eviction. It reports whether the account had not
// been evicted before.
func (a *Account) Keep() bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.element != nil {
		b.incomplete.Remove(a.element)
		a.element = nil
		b.stats.Kept += a.held
	}
	return !a.evicted
}

// Close returns the bytes of the account. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.Keep()
	a.resize(0)
}
