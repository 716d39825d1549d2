package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/host"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/pkg/journal"
	"carawayshift.example/carawayshift/pkg/lease"
	"carawayshift.example/carawayshift/pkg/replica"
)

const (
	// epochBits is the part of a lease's number that counts within a term.
	epochBits = 32
	// handOverTimeout bounds each step of handing over at a graceful stop.
	handOverTimeout = 2 * time.Second
)

// control is the host's copy of the replicated state with its log. On control
// hosts the copy is a replica's, on others a follower's.
type control struct {
	carawayshift.Log
	machine *state.Machine
	replica *replica.Replica
	journal *journal.Journal
}

func newControl(o Options, m *state.Machine, mesh *host.Mesh) (*control, func(), error) {
	if o.Settings.Control.Data == "" {
		return nil, nil, errors.New("server.newControl: a host without [control] is not supported yet")
	}
	j, err := journal.Open(o.Settings.Control.Data)
	if err != nil {
		return nil, nil, errors.Wrap(err, "server.newControl")
	}
	r, err := replica.New(replica.Config{
		Host: o.Settings.Host.Name, Voters: o.Settings.Control.Voters, Logger: o.Log,
	}, j, m, mesh)
	if err != nil {
		_ = j.Close()
		return nil, nil, errors.Wrap(err, "server.newControl")
	}
	c := &control{Log: r, machine: m, replica: r, journal: j}
	return c, func() { _ = j.Close() }, nil
}

func (c *control) run(ctx context.Context) error {
	return c.replica.Run(ctx)
}

// confirmLeader returns the term of this host's leadership once a majority has
// confirmed it and every entry committed before is applied here.
func (c *control) confirmLeader(ctx context.Context, name string) (uint64, error) {
	leader, term := c.Leader()
	if leader != name {
		return 0, carawayshift.NewError(carawayshift.NotRun, name+" is not the leader", "ask "+leader)
	}
	index, err := c.Barrier(ctx)
	if err != nil {
		return 0, err
	}
	if err := c.machine.Wait(ctx, index); err != nil {
		return 0, err
	}
	leader, now := c.Leader()
	if leader != name || now != term {
		return 0, carawayshift.NewError(carawayshift.NotRun, name+" is no longer the leader", "ask "+leader)
	}
	return term, nil
}

func (c *control) leader() string {
	name, _ := c.Leader()
	return name
}

// zoneIn reports whether the applied state has the zone in service.
func (c *control) zoneIn(zone string) bool {
	z, ok := c.machine.State().Zones[zone]
	return ok && !z.Out
}

// handOver passes the leadership on before a graceful stop.
func (c *control) handOver(ctx context.Context, name string, log logrus.FieldLogger) {
	if c.replica == nil || c.leader() != name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for _, m := range c.replica.Status().Members {
		if m.Host == name || !m.Voter {
			continue
		}
		if err := c.replica.Transfer(ctx, m.Host); err == nil {
			log.WithField("to", m.Host).Info("leadership handed over")
			return
		}
	}
	log.Warn("leadership not handed over, an election follows")
}

func newLeases(o Options, c *control, mesh *host.Mesh) *lease.Table {
	name := o.Settings.Host.Name
	return lease.New(lease.Config{
		Host: name, Zone: o.Settings.Host.Zone, Transport: mesh, Leader: c.Leader,
		Confirm: func(ctx context.Context) (uint64, error) { return c.confirmLeader(ctx, name) },
		In:      c.zoneIn, Candidates: o.zoneHosts, Log: o.Log,
	})
}

// leaseNumber returns the zone lease as one rising number.
func leaseNumber(t *lease.Table) (uint64, bool) {
	l, ok := t.Valid()
	return l.Term<<epochBits | l.Epoch, ok
}
