// Package carawayshift defines the domain types of the scheduler and the
// interfaces between its components. The implementations are in the packages
// below it: pkg/ holds coordination packages that other programs can embed,
// internal/ holds the daemon.
//
// # Usage
//
// A program that embeds the coordination packages implements StateMachine, opens
// a journal and runs a replica on it:
//
//	j, err := journal.Open(dir)
//	r, err := replica.New(replicaConfig, j, machine, transport)
//	go r.Run(ctx)
//	answer, err := r.Propose(ctx, carawayshift.Command{ID: id, Kind: carawayshift.CreateJob, Job: &job})
//
// All structs of this package are plain data and contain no locks; the owner
// of a value decides who may change it. Times are absolute, durations are
// time.Duration, memory is in MB (2^20 bytes), processors are in whole cores.
package carawayshift
