// Package throttle decides how fast tasks may work that use what others leave
// idle, by the response times of the tasks which they disturb.
//
// # Usage
//
//	percent := throttle.Next(percent, worst) // worst is the highest tail / bound on the runner
package throttle

// Bounds of the ratio of a measured tail to its bound. Between them the pace
// stays: the figures are rough and change within seconds.
const (
	slowAt = 0.9
	easyAt = 0.6
	// step is how fast the pace returns, in percent for each look.
	step = 20
	full = 100
)

// Next returns the pace after a look at the runner. The pace is halved when a
// tail nears its bound and returns in steps; over the bound it is cut to 0.
func Next(percent int, worst float64) int {
	switch {
	case worst >= 1:
		return 0
	case worst >= slowAt:
		return percent / 2
	case worst < easyAt:
		return min(percent+step, full)
	}
	return percent
}
