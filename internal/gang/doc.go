// Package gang runs the gangs of one zone on the entry host that holds the
// zone lease: it prepares, starts, renews, checkpoints and stops their tasks,
// and reports the end of each attempt to the replicated log.
//
// # Usage
//
//	m := gang.New(gang.Options{Host: "bel1", Zone: "belmont", Hosts: hosts, Log: log,
//		State: machine.State, Lease: zoneLease, Workers: workers, Transport: mesh, Logger: logger})
//	err := m.Run(ctx)
//
// # Atomic start
//
// An attempt starts in two phases. First, every worker reserves the
// accelerators for reservationLease on its own clock. Then the state machine
// accepts the start, which it refuses if the zone is drained, and all workers
// start their tasks with a lease of one second. The leases are extended only
// after every worker has acknowledged the start. If a member fails, refuses or
// does not answer, the attempt ends, so that a gang runs incompletely for at
// most one lease.
//
// # Concurrent holders
//
// Starting requires the zone lease. Renewing does not, so that running work
// survives a partition between the zone and the leader. A host without the
// lease renews only while a majority of the zone's hosts confirm that they
// know no newer lease epoch. A new holder announces its epoch to half of the
// hosts before it waits for the leases of unreachable workers to expire. Half
// is enough, so that a zone of two hosts can start and stop gangs with one of
// them. The end of a renewed lease is a time on the worker's clock that is
// computed before these checks, so that a renewal that is delayed by a pause of
// the process extends nothing.
package gang
