package caller

import (
	"sync"
	"time"
)

// maxTeams bounds the meters, since callers choose the team's name.
const maxTeams = 10_000

// meter is a token bucket that holds one second of its rate. Charges after the
// fact may make it negative.
type meter struct {
	mu   sync.Mutex
	rate float64
	n    float64
	at   time.Time
}

func newMeter(rate float64) *meter {
	return &meter{rate: rate, n: rate, at: time.Now()}
}

// take takes n tokens if any are left.
func (m *meter) take(n float64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n = min(m.n+m.rate*now.Sub(m.at).Seconds(), max(m.rate, 1))
	m.at = now
	if m.n < min(n, m.rate) || m.n <= 0 {
		return false
	}
	m.n -= n
	return true
}

func (m *meter) charge(n float64) {
	m.mu.Lock()
	m.n -= n
	m.mu.Unlock()
}

// limiter holds a meter for each team with a limit.
type limiter struct {
	limit func(team string) int
	mu    sync.Mutex
	teams map[string]*meter
}

func newLimiter(limit func(team string) int) *limiter {
	return &limiter{limit: limit, teams: map[string]*meter{}}
}

func (l *limiter) allow(team string, now time.Time) bool {
	rate := float64(l.limit(team))
	if rate <= 0 {
		return true
	}
	l.mu.Lock()
	if len(l.teams) > maxTeams {
		// Full meters are worth one second of a team's rate at most.
		clear(l.teams)
	}
	m := l.teams[team]
	if m == nil || m.rate != rate {
		m = newMeter(rate)
		l.teams[team] = m
	}
	l.mu.Unlock()
	return m.take(1, now)
}
