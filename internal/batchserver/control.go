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
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/pkg/assignment"
	"carawayshift.example/carawayshift/pkg/journal"
	"carawayshift.example/carawayshift/pkg/placement"
	"carawayshift.example/carawayshift/pkg/replica"
	"carawayshift.example/carawayshift/platform"
)

// voterPatience is how long a voter may be silent before a host that has
// caught up takes its place. It is short because the loss of one more voter
// may follow; one that was only cut off asks to join again.
const voterPatience = 1500 * time.Millisecond

// electionTimeout is how long voters wait for a leader that is silent. A round
// trip between regions takes 45 ms, a commit 60 ms, and a busy host may stand
// still for a tenth of a second.
const electionTimeout = 600 * time.Millisecond

// control is what a control host has beyond an entry host.
type control struct {
	station    *Station
	journal    *journal.Journal
	replica    *replica.Replica
	machine    *state.Machine
	group      *membership.Group
	dispatcher *dispatcher.Dispatcher
}

func newControl(s *Station) (*control, error) {
	cfg := s.opts.Settings
	j, err := journal.Open(cfg.Control.Data)
	if err != nil {
		return nil, errors.Wrap(err, "batchserver.newControl")
	}
	c := &control{station: s, journal: j, machine: state.New(placement.New().CheckGuarantees)}
	var voters []string
	if cfg.Join.First {
		voters = s.seedNames()
	}
	c.replica, err = replica.New(replica.Config{
		Host: s.name, Voters: voters, ElectionTimeout: electionTimeout, Logger: s.opts.Log,
	}, j, c.machine, s.mesh)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "batchserver.newControl"), j.Close())
	}
	c.group = membership.New(membership.Config{
		Host: s.name, Replica: c.replica, Transport: s.mesh, ControlHosts: s.relay.ControlHosts,
		DesiredVoters: cfg.Join.Voters(), FailureTimeout: voterPatience, Logger: s.opts.Log,
	})
	client := platform.NewClient()
	services := platform.NewServices(client, cfg.Services.Machines, cfg.Services.Advice)
	lead := leadership.New(s.name, c.replica)
	c.dispatcher = dispatcher.New(dispatcher.Config{
		Host: s.name, Log: c.replica, Term: lead.Term, Table: c.machine.Batches(), ClosedZones: c.closedZones,
		Planner: assignment.New(assignment.Config{
			RemoteSlowdown: cfg.Runners.Remote, ReclaimTime: cfg.Runners.Reclaim, MaxStopTime: cfg.Runners.Stop,
		}), Client: client,
		Recall:  s.relay.Recall,
		Advisor: services, Machines: services,
		Timing: dispatcher.Timing{
			Lease: cfg.Runners.Lease, Heartbeat: cfg.Runners.Heartbeat, Stop: cfg.Runners.Stop,
			ReadyDelay: cfg.Runners.Notice, Maintenance: cfg.Runners.Upkeep, Retention: cfg.Batches.Keep,
		},
		Logger: s.opts.Log, Metrics: s.metrics,
	})
	s.relay.Serve(leaderapi.New(leaderapi.Config{
		Log: c.replica, Wait: c.replica.WaitApplied, Term: lead.Term, Table: c.machine.Batches(), State: c.machine.State,
		Runners: c.dispatcher, Zones: cfg.Zones, Logger: s.opts.Log,
	}), c.group)
	return c, nil
}

func (c *control) closedZones() map[string]bool {
	closed := map[string]bool{}
	for name, z := range c.machine.State().Zones {
		if z.Drained {
			closed[name] = true
		}
	}
	return closed
}

func (c *control) start(ctx context.Context, wg *sync.WaitGroup) {
	c.station.part(ctx, wg, func(ctx context.Context) error {
		err := c.replica.Run(ctx)
		return errors.CombineErrors(err, c.journal.Close())
	})
	c.station.part(ctx, wg, c.group.Run)
	c.station.part(ctx, wg, c.dispatcher.Run)
}

// handOver passes the leadership on before a graceful stop.
func (c *control) handOver(ctx context.Context) {
	if leader, _ := c.replica.Leader(); leader != c.station.name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := c.replica.Transfer(ctx, ""); err != nil {
		c.station.opts.Log.WithError(err).Warn("leadership not handed over, an election follows")
	}
}
