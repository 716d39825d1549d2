package caller

import (
	"sync"
	"time"
)

// maxTeams bounds the number of token buckets, since callers choose the team's
// name.
const maxTeams = 10_000

// tokenBucket holds at most one second of its rate. charge is called after a
// transfer and may make it negative.
type tokenBucket struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	updated time.Time
}

func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, tokens: rate, updated: time.Now()}
}

// take removes n tokens and returns true. It returns false if fewer than n are
// left or, for an n above the rate, if the bucket is not full.
func (b *tokenBucket) take(n float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.rate*now.Sub(b.updated).Seconds(), max(b.rate, 1))
	b.updated = now
	if b.tokens < min(n, b.rate) || b.tokens <= 0 {
		return false
	}
	b.tokens -= n
	return true
}

func (b *tokenBucket) charge(n float64) {
	b.mu.Lock()
	b.tokens -= n
	b.mu.Unlock()
}

// limiter holds a token bucket for each team with a limit.
type limiter struct {
	limit func(team string) int
	mu    sync.Mutex
	teams map[string]*tokenBucket
}

func newLimiter(limit func(team string) int) *limiter {
	return &limiter{limit: limit, teams: map[string]*tokenBucket{}}
}

func (l *limiter) allow(team string, now time.Time) bool {
	rate := float64(l.limit(team))
	if rate <= 0 {
		return true
	}
	l.mu.Lock()
	if len(l.teams) > maxTeams {
		// The new buckets are full, so a team gains at most one second of its
		// rate.
		clear(l.teams)
	}
	b := l.teams[team]
	if b == nil || b.rate != rate {
		b = newTokenBucket(rate)
		l.teams[team] = b
	}
	l.mu.Unlock()
	return b.take(1, now)
}
