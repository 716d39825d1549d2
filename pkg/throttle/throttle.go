// Package throttle controls the speed of best-effort tasks. They use the cores
// that other tasks on the runner leave idle, and are slowed down when they raise
// the tail latency of those tasks.
//
// # Usage
//
//	percent = throttle.Next(percent, worst) // worst is the highest ratio of tail latency to its limit on the runner
package throttle

// Thresholds of the ratio of a measured tail latency to its limit. Between them
// the speed is not changed, because the measurements are imprecise and change
// within seconds.
const (
	slowDownRatio = 0.9
	speedUpRatio  = 0.6
	// step is the increase of the speed for each call, in percentage points.
	step      = 20
	fullSpeed = 100
)

// Next returns the new speed of the best-effort tasks on a runner, in percent of
// full speed. The speed is halved when a tail latency is close to its limit, set
// to 0 at the limit, and increased in steps when all are well below it.
func Next(percent int, worst float64) int {
	switch {
	case worst >= 1:
		return 0
	case worst >= slowDownRatio:
		return percent / 2
	case worst < speedUpRatio:
		return min(percent+step, fullSpeed)
	}
	return percent
}
