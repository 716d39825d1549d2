package statement

import (
	"strconv"
	"strings"
	"time"

	"carawayshift.example/carawayshift"
)

const day = 24 * time.Hour

// maxDuration limits a duration in a statement: a job that declares more than a
// year is taken for a typing error.
const maxDuration = 366 * day

// parseDuration parses a duration such as 90s, 30m, 2h, 1h30m or 2d.
func parseDuration(s string) (time.Duration, bool) {
	if n, ok := strings.CutSuffix(s, "d"); ok {
		days, err := strconv.ParseUint(n, 10, 32)
		return time.Duration(days) * day, err == nil && days <= uint64(maxDuration/day)
	}
	d, err := time.ParseDuration(s)
	return d, err == nil && d >= 0 && d <= maxDuration
}

// parseMemory parses an amount such as 64GB, 512MB or 512 and returns MB.
func parseMemory(s string) (int, bool) {
	units := []struct {
		suffix string
		factor int
	}{{"TB", 1 << 20}, {"GB", 1 << 10}, {"MB", 1}, {"", 1}}
	for _, u := range units {
		n, ok := strings.CutSuffix(strings.ToUpper(s), u.suffix)
		if !ok {
			continue
		}
		amount, ok := parseCount(n)
		return amount * u.factor, ok
	}
	return 0, false
}

// parseCount parses a number of up to 9 digits.
func parseCount(s string) (int, bool) {
	n, err := strconv.ParseUint(s, 10, 32)
	return int(n), err == nil && n < 1e9
}

// parseCells parses 2x8 as two cells of eight accelerators.
func parseCells(s string) (carawayshift.CellCount, bool) {
	count, size, ok := strings.Cut(strings.ToLower(s), "x")
	if !ok {
		return carawayshift.CellCount{}, false
	}
	c, okCount := parseCount(count)
	n, okSize := parseCount(size)
	cell := carawayshift.CellCount{Count: c, Size: n}
	return cell, okCount && okSize && c > 0 && n > 0 && n&(n-1) == 0
}

// parseTime parses a date, a date with a time of day, a time of day, today,
// yesterday or tomorrow. All are in UTC. A time of day is the next one if
// future is set, and the last one otherwise.
func parseTime(s string, now time.Time, future bool) (time.Time, bool) {
	today := now.Truncate(day)
	switch strings.ToLower(s) {
	case "today":
		return today, true
	case "yesterday":
		return today.Add(-day), true
	case "tomorrow":
		return today.Add(day), true
	}
	for _, layout := range []string{"15:04", "15:04:05"} {
		if t, err := time.Parse(layout, s); err == nil {
			return adjustDay(today.Add(t.Sub(t.Truncate(day))), now, future), true
		}
	}
	layouts := []string{"2006-01-02", "2006-01-02T15:04", "2006-01-02T15:04:05", "2006-01-02T15:04:05Z", "2006-01-02 15:04", "2006-01-02 15:04:05Z"}
	for _, layout := range layouts {
		if t, err := time.Parse(layout, s); err == nil {
			return t, true
		}
	}
	return time.Time{}, false
}

// adjustDay moves t by a day where needed, so that it is after now if future is
// set, and not after now otherwise.
func adjustDay(t, now time.Time, future bool) time.Time {
	if future && !t.After(now) {
		return t.Add(day)
	}
	if !future && t.After(now) {
		return t.Add(-day)
	}
	return t
}
