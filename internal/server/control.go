package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/internal/state"
	"carawayshift.example/carawayshift/internal/transport"
	"carawayshift.example/carawayshift/pkg/follower"
	"carawayshift.example/carawayshift/pkg/journal"
	"carawayshift.example/carawayshift/pkg/lease"
	"carawayshift.example/carawayshift/pkg/pause"
	"carawayshift.example/carawayshift/pkg/replica"
)

const (
	// epochBits is the part of a lease's number that counts within a term.
	epochBits = 32
	// handOverTimeout bounds each step of handing over at a graceful stop.
	handOverTimeout = 2 * time.Second
	syncRetry       = 200 * time.Millisecond
	// unsyncedReady covers an election after a restart of all control hosts.
	unsyncedReady = 10 * time.Second
)

// control is the host's copy of the replicated state with its log. On control
// hosts the copy is a replica's, on others a follower's.
type control struct {
	carawayshift.Log
	machine *state.Machine
	// replica is nil on hosts without [control].
	replica *replica.Replica
	// follower keeps the copy on hosts without [control], and serves such
	// hosts on the others.
	follower *follower.Follower
	// synced is set on control hosts once their copy was confirmed to hold
	// everything that was committed before it.
	synced atomic.Bool
	born   time.Time
}

func newControl(o Options, m *state.Machine, mesh *transport.Mesh, set *metrics.Set) (*control, func(), error) {
	if o.Settings.Control.Data == "" {
		f := follower.New(follower.Config{
			Host: o.Settings.Host.Name, Machine: m, Transport: mesh, Voters: o.nearVoters,
			ZonePeers: mesh.Live, Logger: o.Log, Metrics: set,
		})
		return &control{Log: f, machine: m, follower: f, born: time.Now()}, func() {}, nil
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
	f := follower.New(follower.Config{
		Host: o.Settings.Host.Name, Transport: mesh, Source: source{r}, Log: r, Voters: o.nearVoters,
		ZonePeers: mesh.Live, Logger: o.Log, Metrics: set,
	})
	return &control{Log: r, machine: m, replica: r, follower: f, born: time.Now()}, func() { _ = j.Close() }, nil
}

// source lets followers read a replica's entries. Entries of the replica
// itself are passed on empty, so that the indices of all hosts agree.
type source struct{ r *replica.Replica }

func (s source) Entries(from uint64, limit int) (entries [][]byte, ok bool) {
	list, err := s.r.Entries(from, limit)
	if carawayshift.KindOf(err) == carawayshift.NotFound {
		return nil, false
	}
	for _, e := range list {
		data := e.Data
		if e.Kind != replica.KindCommand {
			data = nil
		}
		entries = append(entries, data)
	}
	return entries, true
}

func (s source) Snapshot() (index uint64, data []byte) {
	index, data, err := s.r.Snapshot()
	if err != nil {
		return 0, nil
	}
	return index, data
}

func (s source) Wait(ctx context.Context, index uint64) error { return s.r.WaitApplied(ctx, index) }

func (s source) Commit() uint64 {
	applied, _ := s.r.Watch()
	return applied
}

func (c *control) run(ctx context.Context) error {
	if c.replica == nil {
		c.follower.Run(ctx)
		return nil
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.follower.Run(ctx) })
	wg.Go(func() { c.sync(ctx) })
	return c.replica.Run(ctx)
}

// sync waits until this host has applied everything that was committed before
// it started. Until then its copy may be older than one that it has shown:
// the journal holds entries whose commit is not known yet, and an empty data
// folder holds none.
func (c *control) sync(ctx context.Context) {
	for ctx.Err() == nil {
		step, cancel := context.WithTimeout(ctx, handOverTimeout)
		index, err := c.Barrier(step)
		if err == nil {
			err = c.wait(step, index)
		}
		cancel()
		if err == nil {
			c.synced.Store(true)
			return
		}
		pause.For(ctx, syncRetry)
	}
}

// confirmed returns nil when the copy may be shown to operators.
func (c *control) confirmed() error {
	if c.replica == nil {
		return c.follower.Ready()
	}
	if !c.synced.Load() {
		return carawayshift.NewError(carawayshift.Unavailable, "this host has not confirmed its copy of the state since it started",
			"ask another host; if the disk of this one was replaced, remove it from the voters and add it again")
	}
	return nil
}

// ready returns nil when callers may be sent to this host. Routing needs the
// state only for the teams' limits, so a zone that is cut off takes callers
// after a while without a confirmed copy.
func (c *control) ready() error {
	err := c.confirmed()
	if c.replica != nil && time.Since(c.born) > unsyncedReady {
		return nil
	}
	return err
}

// wait returns when the entry at index has been applied here. The machine's
// own index does not count entries of the replica, such as term starts.
func (c *control) wait(ctx context.Context, index uint64) error {
	if c.replica != nil {
		return c.replica.WaitApplied(ctx, index)
	}
	return c.follower.WaitApplied(ctx, index)
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
	if err := c.wait(ctx, index); err != nil {
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
	return ok && !z.Drained
}

// handOver passes the leadership on before a graceful stop.
func (c *control) handOver(ctx context.Context, name string, log logrus.FieldLogger) {
	if c.replica == nil || c.leader() != name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := c.replica.Transfer(ctx, ""); err != nil {
		log.WithError(err).Warn("leadership not handed over, an election follows")
		return
	}
	log.Info("leadership handed over")
}

func newLeases(o Options, c *control, mesh *transport.Mesh, set *metrics.Set) *lease.Table {
	name := o.Settings.Host.Name
	confirm := &confirmer{prove: func(ctx context.Context) (uint64, error) { return c.confirmLeader(ctx, name) }}
	return lease.New(lease.Config{
		Host: name, Zone: o.Settings.Host.Zone, Transport: mesh, Leader: c.Leader,
		Confirm:       confirm.confirm,
		ZoneInService: c.zoneIn, Candidates: o.zoneHosts, Logger: o.Log, Metrics: set,
	})
}

// leaseNumber returns the zone lease as one rising number.
func leaseNumber(t *lease.Table) (uint64, bool) {
	l, ok := t.Valid()
	return l.Term<<epochBits | l.Epoch, ok
}
