package server

import (
	"context"
	"net"
	"path/filepath"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/caller"
	"carawayshift.example/carawayshift/internal/gang"
	"carawayshift.example/carawayshift/internal/health"
	"carawayshift.example/carawayshift/internal/intake"
	"carawayshift.example/carawayshift/internal/operator"
	"carawayshift.example/carawayshift/internal/runner"
	"carawayshift.example/carawayshift/internal/scheduler"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/internal/transport"
	"carawayshift.example/carawayshift/internal/worker"
	"carawayshift.example/carawayshift/pkg/balance"
	"carawayshift.example/carawayshift/pkg/idempotency"
	"carawayshift.example/carawayshift/pkg/lease"
	"carawayshift.example/carawayshift/pkg/placement"
	"carawayshift.example/carawayshift/pkg/queue"
	"carawayshift.example/carawayshift/pkg/retrybudget"
)

func newMetrics() *metrics.Set { return metrics.NewSet() }

func newPlanner() carawayshift.Planner { return placement.New() }

func newMachine(p carawayshift.Planner) *state.Machine { return state.New(p.CheckGuarantees) }

func newMesh(o Options, set *metrics.Set) (*transport.Mesh, error) {
	var peers []transport.Peer
	for _, p := range o.Settings.Peers {
		peers = append(peers, transport.Peer{Name: p.Name, Zone: p.Zone, Region: p.Region, Addr: net.UDPAddrFromAddrPort(p.Peers)})
	}
	limits := intake.Derive(o.Settings.Limits, o.Settings.Requests.Body)
	m, err := transport.New(transport.Config{
		Name: o.Settings.Host.Name, Zone: o.Settings.Host.Zone, Peers: peers, Conn: o.Peers,
		Server: o.ServerTLS, Client: o.ClientTLS, Log: o.Log, Metrics: set,
		Bytes: limits.Peers, Connections: limits.PeerConnections,
	})
	return m, errors.Wrap(err, "server.newMesh")
}

func newWorkers(o Options, rs *replicatedState, t *lease.Table, mesh *transport.Mesh) *worker.Client {
	return worker.New(worker.Options{
		Host: o.Settings.Host.Name, Zone: o.Settings.Host.Zone, Transport: mesh, Peers: o.zonePeers, Leader: rs.leader,
		HoldsZoneLease: func() bool { _, ok := t.Valid(); return ok }, Logger: o.Log,
	})
}

func newGangManager(o Options, rs *replicatedState, t *lease.Table, w *worker.Client, mesh *transport.Mesh) *gang.Manager {
	return gang.New(gang.Options{
		Host: o.Settings.Host.Name, Zone: o.Settings.Host.Zone, Hosts: o.zoneHosts(o.Settings.Host.Zone),
		Log: rs.Log, State: rs.machine.State, Lease: func() (uint64, bool) { return fencingToken(t) },
		Workers: w, Transport: mesh, Logger: o.Log,
	})
}

func newScheduler(o Options, rs *replicatedState, w *worker.Client, p carawayshift.Planner) *scheduler.Scheduler {
	return scheduler.New(scheduler.Options{
		Host: o.Settings.Host.Name, Log: rs.Log, Wait: rs.wait, State: rs.machine.State, Workers: w.All, Planner: p, Logger: o.Log,
	})
}

func newPool(o Options, mesh *transport.Mesh, set *metrics.Set) *runner.Pool {
	return runner.New(runner.Config{
		Host: o.Settings.Host.Name, Zone: o.Settings.Host.Zone, Peers: o.zonePeers, Transport: mesh,
		Metrics: set, Log: o.Log,
	})
}

func newBalancer(p *runner.Pool) *balance.Balancer {
	return balance.New(balance.Config{Runners: p.Runners, PeerInFlight: p.PeerInFlight, Rank: p.Rank})
}

func newQueue(o Options, b *balance.Balancer) *queue.Queue {
	return queue.New(queue.Config{Limit: o.Settings.Requests.Queue, Estimate: b.Estimate})
}

func newClaims(o Options, mesh *transport.Mesh) (*idempotency.Registry, error) {
	path := ""
	if o.Settings.Control.Data != "" {
		path = filepath.Join(o.Settings.Control.Data, "claims")
	}
	r, err := idempotency.New(idempotency.Config{
		Host: o.Settings.Host.Name, Zones: o.zoneNames, Hosts: o.zoneHosts, Transport: mesh, Path: path,
		FirstStart: o.FirstStart,
	})
	return r, errors.Wrap(err, "server.newClaims")
}

func newCaller(o Options, rs *replicatedState, p *runner.Pool, b *balance.Balancer, q *queue.Queue, r *idempotency.Registry, set *metrics.Set) (*caller.Handler, error) {
	token, err := o.hopToken()
	if err != nil {
		return nil, err
	}
	return caller.New(caller.Config{
		Host: o.Settings.Host.Name, Zone: o.Settings.Host.Zone, Pool: p, Balancer: b, Queue: q,
		Budget: retrybudget.New(retrybudget.Config{}), Claims: r, HopToken: token, Zones: o.zones, EntryHosts: o.httpAddresses,
		TeamLimit: func(team string) int { return rs.machine.State().Teams[team].RateLimit },
		BodyLimit: o.Settings.Requests.Body, DefaultDeadline: o.Settings.Requests.Deadline, Metrics: set, Log: o.Log,
	}), nil
}

func newOperator(o Options, rs *replicatedState, w *worker.Client, p *runner.Pool, planner carawayshift.Planner, v *versions) *operator.Handler {
	// On control hosts age stays nil: the handler measures it from the last
	// barrier.
	var age func() time.Duration
	if rs.replica == nil {
		age = rs.follower.Age
	}
	return operator.New(operator.Config{
		Age: age, Ready: rs.checkSynced, Log: rs.Log, State: rs.machine.State, Wait: rs.wait,
		Workers: func() []carawayshift.Worker { return w.FetchAll(context.Background()) },
		Runners: p.All, Planner: planner, Hosts: v.all, Logger: o.Log,
	})
}

func newIntake(o Options, set *metrics.Set) *intake.Intake {
	return intake.New(intake.Config{
		Limits:  intake.Derive(o.Settings.Limits, max(o.Settings.Requests.Body, worker.MaxBody)),
		Metrics: set, Log: o.Log,
	})
}

func newHealth(o Options, rs *replicatedState, set *metrics.Set) *health.Handler {
	return health.New(health.Config{
		Checks: []health.Check{rs.checkReady}, Metrics: []*metrics.Set{set}, Log: o.Log,
	})
}
