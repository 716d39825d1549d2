// Package simulation measures the decisions of a planner. It generates a seeded
// trace of jobs, lets fake workers run what the planner starts in virtual
// time, and reports completion times, waits, fragmentation and the time of
// each call. It is no model of a cluster: tasks don't fail, and a start or a
// stop takes a fixed time.
//
// # Usage
//
//	r := simulation.Small(carawayshift.ObjectiveCompletion)
//	fmt.Print(r.Table(placement.New(), []uint64{11, 12, 13, 14, 15}))
//
// Seeds 1 to 3 are for tuning, 11 to 15 for reports.
//
// # Traces
//
// Jobs arrive in bursts with a geometric number of jobs. Run times follow a
// Pareto distribution. Declared run times are off by a factor of 0.1 to 10,
// uniform in the logarithm. A few teams submit most of the work. Each worker
// takes 1 s from the placement of a gang to its start and 5 s for checkpoint
// and stop. One checkpoint in ten at a stop fails, and the work since the last
// regular one is lost.
package simulation
