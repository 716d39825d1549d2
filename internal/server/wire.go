//go:build wireinject

package server

import "github.com/google/wire"

// build is the injector of the parts of one host.
func build(o Options) (*Server, func(), error) {
	wire.Build(
		newMetrics, newPlanner, newMachine, newMesh, newControl, newLeases, newWorkers, newAgent, newScheduler,
		newPool, newBalancer, newQueue, newClaims, newCaller, newOperator, newVersions, newPlatform, assemble,
	)
	return nil, nil, nil
}
