// Package gang runs the gangs of one zone on the entry host that holds the
// zone lease: it prepares, starts, renews, checkpoints and stops their tasks,
// and reports the end of each attempt to the replicated log.
//
// # Usage
//
//	a := gang.New(gang.Options{Zone: "belmont", Log: log, State: machine.State,
//		Workers: workers, Lease: leases.Valid, Transport: mesh, Hosts: hosts})
//	err := a.Run(ctx)
//
// # All or none
//
// An attempt starts in two steps. Every worker reserves the accelerators for
// ReservationLease on its own clock; then the state machine accepts the start,
// which it refuses when the zone is out; then all workers start with a lease
// of one second. The leases are extended only once every worker has
// acknowledged the start. A member that fails, refuses or does not answer ends
// the attempt, so a gang runs partly for one lease at the most.
//
// # Two hosts
//
// Starting needs the zone lease. Renewing does not, so that running work
// outlives a partition between the zone and the leader. A host without the
// lease renews only while a majority of the zone's hosts confirm that they
// know no newer lease epoch, and a new holder announces its epoch to half of
// them before it counts down the leases of workers that it can't reach. So a
// zone of two hosts goes on starting and stopping gangs with one of them.
// Renewals carry an end on the worker's clock that is computed before these
// checks, so one that is delayed by a freeze extends nothing.
package gang
