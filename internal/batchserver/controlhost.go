package batchserver

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/internal/dispatcher"
	"carawayshift.example/carawayshift/internal/leaderapi"
	"carawayshift.example/carawayshift/internal/leadership"
	"carawayshift.example/carawayshift/internal/membership"
	"carawayshift.example/carawayshift/internal/settings"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/pkg/assignment"
	"carawayshift.example/carawayshift/pkg/journal"
	"carawayshift.example/carawayshift/pkg/placement"
	"carawayshift.example/carawayshift/pkg/replica"
	"carawayshift.example/carawayshift/pkg/shortage"
	"carawayshift.example/carawayshift/platform"
)

// voterTimeout is the time without contact after which an up-to-date learner
// replaces a voter. It is short because another voter may fail next; a voter
// that was only partitioned requests to join again.
const voterTimeout = 1500 * time.Millisecond

// electionTimeout is the time without contact to the leader after which voters
// start an election. A round trip between regions takes 45 ms, a commit 60 ms,
// and a busy host may stall for 100 ms.
const electionTimeout = 600 * time.Millisecond

// controlHost holds the components that only control hosts run.
type controlHost struct {
	server     *Server
	journal    *journal.Journal
	replica    *replica.Replica
	machine    *state.Machine
	group      *membership.Group
	dispatcher *dispatcher.Dispatcher
}

func newControlHost(s *Server) (*controlHost, error) {
	cfg := s.opts.Settings
	j, err := journal.Open(cfg.Control.Data)
	if err != nil {
		return nil, errors.Wrap(err, "batchserver.newControlHost")
	}
	c := &controlHost{server: s, journal: j, machine: state.New(placement.New().CheckGuarantees)}
	var voters []string
	if cfg.Join.Bootstrap {
		voters = s.seedNames()
	}
	c.replica, err = replica.New(replica.Config{
		Host: s.name, Region: cfg.Host.Region, Voters: voters, ElectionTimeout: electionTimeout, Logger: s.opts.Log,
	}, j, c.machine, s.mesh)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "batchserver.newControlHost"), j.Close())
	}
	s.metrics.NewGauge("carawayshift_disk_full", c.diskFullGauge)
	c.group = membership.New(membership.Config{
		Host: s.name, Replica: c.replica, Transport: s.mesh, ControlHosts: s.client.ControlHosts,
		DesiredVoters: cfg.Join.Voters(), FailureTimeout: voterTimeout, Logger: s.opts.Log,
	})
	client := platform.NewClient()
	services := platform.NewServices(client, cfg.Services.Machines, cfg.Services.Advice)
	lead := leadership.New(s.name, c.replica)
	var policy *shortage.Policy
	if cfg.Batches.Shortage != settings.ShortageOff {
		policy = shortage.New(shortage.Config{UnevenOnly: cfg.Batches.Shortage == settings.ShortageUneven})
	}
	c.dispatcher = dispatcher.New(dispatcher.Config{
		Host: s.name, Log: c.replica, Term: lead.Term, Permitted: c.replica.HoldsQuorum, Table: c.machine.Batches(), ClosedZones: c.closedZones,
		Planner: assignment.New(assignment.Config{
			RemoteSlowdown: cfg.Runners.RemoteSlowdown, ReclaimTime: cfg.Runners.Reclaim, MaxStopTime: cfg.Runners.Stop, Shortage: policy,
		}), Shortage: policy, Client: client,
		Recall:  s.client.Recall,
		Speeds:  s.speeds,
		Advisor: services, Machines: services,
		Timing: dispatcher.Timing{
			Lease: cfg.Runners.Lease, MaxOutage: cfg.Runners.MaxOutage, Heartbeat: cfg.Runners.Heartbeat, Stop: cfg.Runners.Stop,
			ReadyDelay: cfg.Runners.ReadyDelay, Maintenance: cfg.Runners.Maintenance, Retention: cfg.Batches.Retention,
		},
		Logger: s.opts.Log, Metrics: s.metrics,
	})
	s.client.Serve(leaderapi.New(leaderapi.Config{
		Log: c.replica, Wait: c.replica.WaitApplied, Term: lead.Term, Permitted: c.replica.HoldsQuorum, Table: c.machine.Batches(), State: c.machine.State,
		Runners: c.dispatcher, Admit: c.dispatcher.Admit, Zones: cfg.Zones, Logger: s.opts.Log,
	}), c.group)
	return c, nil
}

// diskFullGauge returns 1 while this host writes nothing because its disk is full.
func (c *controlHost) diskFullGauge() float64 {
	if c.replica.Status().DiskFull {
		return 1
	}
	return 0
}

func (c *controlHost) closedZones() map[string]bool {
	closed := map[string]bool{}
	for name, z := range c.machine.State().Zones {
		if z.Drained {
			closed[name] = true
		}
	}
	return closed
}

func (c *controlHost) start(ctx context.Context, wg *sync.WaitGroup) {
	c.server.runComponent(ctx, wg, func(ctx context.Context) error {
		err := c.replica.Run(ctx)
		return errors.CombineErrors(err, c.journal.Close())
	})
	c.server.runComponent(ctx, wg, c.group.Run)
	c.server.runComponent(ctx, wg, c.dispatcher.Run)
}

// transferLeadership transfers the leadership to another voter if this host is
// the leader.
func (c *controlHost) transferLeadership(ctx context.Context) {
	if leader, _ := c.replica.Leader(); leader != c.server.name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := c.replica.Transfer(ctx, ""); err != nil {
		c.server.opts.Log.WithError(err).Warn("leadership transfer failed; the other voters will elect a leader")
	}
}
