package carawayshift

import "time"

// RunnerSpeed is what is known of the speed of one incarnation of a runner.
type RunnerSpeed struct {
	Runner      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Speed is relative to the middle one of all runners: a task takes 1/Speed of the
	// time that it takes there.
	Speed float64 `cbor:"3,keyasint"`
	// Weight grows with the number of observations.
	Weight float64 `cbor:"4,keyasint"`
	// Age is the time since the last observation.
	Age time.Duration `cbor:"5,keyasint"`
}

// PaceObservation is how fast one run worked for a while on a runner.
type PaceObservation struct {
	Task        TaskName
	Run         int
	Runner      string
	Incarnation int64
	// Rate is the progress per second, in any unit.
	Rate float64
	// Gang is true for a member of a gang, whose members share one run time.
	Gang bool
	// Remote is true for a task away from its data.
	Remote bool
	At     time.Time
}
