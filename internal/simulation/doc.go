// Package simulation measures the decisions of a planner. It generates a seeded
// trace of jobs, simulates in virtual time the workers that run the jobs that the
// planner starts, and reports completion times, waiting times, fragmentation and
// the duration of each call of the planner. It is not a full model of a cluster:
// tasks don't fail, and a start or a stop takes a fixed time.
//
// # Usage
//
//	r := simulation.Small(carawayshift.ObjectiveCompletion)
//	fmt.Print(r.Table(placement.New(), []uint64{11, 12, 13, 14, 15}))
//
// Use seeds 1 to 3 for tuning and 11 to 15 for reports.
//
// # Traces
//
// Jobs arrive in bursts with a geometric number of jobs. Run times follow a
// Pareto distribution. Declared run times differ from the actual ones by a
// log-uniform factor of 0.1 to 10. A few teams submit most of the work. A gang
// starts 1 s after its placement; a checkpoint and stop takes 5 s. One in ten
// checkpoints at a stop fails, and the work since the last periodic checkpoint is
// lost.
package simulation
