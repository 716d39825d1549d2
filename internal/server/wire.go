//go:build wireinject

package server

import "github.com/google/wire"

// build creates the components of one host.
func build(o Options) (*Server, func(), error) {
	wire.Build(
		newMetrics, newPlanner, newMachine, newMesh, newReplicatedState, newLeases, newWorkers, newGangManager, newScheduler,
		newPool, newBalancer, newQueue, newClaims, newCaller, newOperator, newVersions, newHealth, newIntake, newServer,
	)
	return nil, nil, nil
}
