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
	// epochBits is the number of low bits of a fencing token that hold the
	// lease epoch; the bits above hold the term.
	epochBits = 32
	// stepTimeout limits the lease release, the leadership transfer and each
	// attempt to synchronise.
	stepTimeout = 2 * time.Second
	syncRetry   = 200 * time.Millisecond
	// unsyncedReadyDelay is the time after the start from which a control host
	// is ready without having synchronised. It covers an election after a
	// restart of all control hosts.
	unsyncedReadyDelay = 10 * time.Second
)

// replicatedState is the host's copy of the replicated state and its log.
// Control hosts keep the copy with a replica, other hosts with a follower.
type replicatedState struct {
	carawayshift.Log
	machine *state.Machine
	// replica is nil on hosts without [control].
	replica *replica.Replica
	// follower maintains the copy on hosts without [control]. On control hosts
	// it sends entries to those hosts.
	follower *follower.Follower
	// synced is set on control hosts once their copy includes everything that
	// was committed before they started.
	synced  atomic.Bool
	started time.Time
}

func newReplicatedState(o Options, m *state.Machine, mesh *transport.Mesh, set *metrics.Set) (*replicatedState, func(), error) {
	if o.Settings.Control.Data == "" {
		f := follower.New(follower.Config{
			Host: o.Settings.Host.Name, Machine: m, Transport: mesh, Voters: o.votersByDistance,
			ZonePeers: mesh.Live, Logger: o.Log, Metrics: set,
		})
		return &replicatedState{Log: f, machine: m, follower: f, started: time.Now()}, func() {}, nil
	}
	j, err := journal.Open(o.Settings.Control.Data)
	if err != nil {
		return nil, nil, errors.Wrap(err, "server.newReplicatedState")
	}
	r, err := replica.New(replica.Config{
		Host: o.Settings.Host.Name, Region: o.Settings.Host.Region, Voters: o.Settings.Control.Voters, Logger: o.Log,
	}, j, m, mesh)
	if err != nil {
		_ = j.Close()
		return nil, nil, errors.Wrap(err, "server.newReplicatedState")
	}
	f := follower.New(follower.Config{
		Host: o.Settings.Host.Name, Transport: mesh, Source: source{r}, Log: r, Voters: o.votersByDistance,
		ZonePeers: mesh.Live, Logger: o.Log, Metrics: set,
	})
	return &replicatedState{Log: r, machine: m, replica: r, follower: f, started: time.Now()}, func() { _ = j.Close() }, nil
}

// source lets followers read a replica's log. Internal entries of the replica
// are sent without data, so that log indexes agree on all hosts.
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

func (s *replicatedState) run(ctx context.Context) error {
	if s.replica == nil {
		s.follower.Run(ctx)
		return nil
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.follower.Run(ctx) })
	wg.Go(func() { s.sync(ctx) })
	return s.replica.Run(ctx)
}

// sync waits until this host has applied everything that was committed before
// it started. Until then its copy may be older than one that it served before a
// restart: the journal contains entries that are not known to be committed, and
// the data folder of a replaced disk is empty.
func (s *replicatedState) sync(ctx context.Context) {
	for ctx.Err() == nil {
		step, cancel := context.WithTimeout(ctx, stepTimeout)
		index, err := s.Barrier(step)
		if err == nil {
			err = s.wait(step, index)
		}
		cancel()
		if err == nil {
			s.synced.Store(true)
			return
		}
		pause.For(ctx, syncRetry)
	}
}

// checkSynced returns nil when the copy is recent enough for operators' queries.
func (s *replicatedState) checkSynced() error {
	if s.replica == nil {
		return s.follower.Ready()
	}
	if !s.synced.Load() {
		return carawayshift.NewError(carawayshift.Unavailable, "this host has not synchronised its copy of the state since it started",
			"use another host; if the disk of this one was replaced, remove it from the voters and add it again")
	}
	return nil
}

// checkReady returns nil when this host can accept callers' requests. Routing
// needs the state only for the teams' limits, so a control host in a
// partitioned zone becomes ready after unsyncedReadyDelay even if its copy is
// not synchronised.
func (s *replicatedState) checkReady() error {
	err := s.checkSynced()
	if s.replica != nil && time.Since(s.started) > unsyncedReadyDelay {
		return nil
	}
	return err
}

// wait returns when this host has applied the entry at index. The state
// machine's own index can't be used: it omits internal entries of the replica,
// such as term starts.
func (s *replicatedState) wait(ctx context.Context, index uint64) error {
	if s.replica != nil {
		return s.replica.WaitApplied(ctx, index)
	}
	return s.follower.WaitApplied(ctx, index)
}

// confirmLeader returns the term of this host's leadership once a majority has
// confirmed it and this host has applied every entry committed before.
func (s *replicatedState) confirmLeader(ctx context.Context, name string) (uint64, error) {
	leader, term := s.Leader()
	if leader != name {
		return 0, carawayshift.NewError(carawayshift.NotRun, name+" is not the leader", "use "+leader)
	}
	index, err := s.Barrier(ctx)
	if err != nil {
		return 0, err
	}
	if err := s.wait(ctx, index); err != nil {
		return 0, err
	}
	leader, now := s.Leader()
	if leader != name || now != term {
		return 0, carawayshift.NewError(carawayshift.NotRun, name+" is no longer the leader", "use "+leader)
	}
	return term, nil
}

func (s *replicatedState) leader() string {
	name, _ := s.Leader()
	return name
}

// zoneInService reports whether the zone exists and is not drained in the
// applied state.
func (s *replicatedState) zoneInService(zone string) bool {
	z, ok := s.machine.State().Zones[zone]
	return ok && !z.Drained
}

// transferLeadership transfers the leadership to another voter if this host is
// the leader.
func (s *replicatedState) transferLeadership(ctx context.Context, name string, log logrus.FieldLogger) {
	if s.replica == nil || s.leader() != name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := s.replica.Transfer(ctx, ""); err != nil {
		log.WithError(err).Warn("leadership transfer failed; the other voters will elect a leader")
		return
	}
	log.Info("leadership transferred")
}

func newLeases(o Options, rs *replicatedState, mesh *transport.Mesh, set *metrics.Set) *lease.Table {
	name := o.Settings.Host.Name
	confirm := &confirmer{confirmOnce: func(ctx context.Context) (uint64, error) { return rs.confirmLeader(ctx, name) }}
	return lease.New(lease.Config{
		Host: name, Zone: o.Settings.Host.Zone, Transport: mesh, Leader: rs.Leader,
		Confirm:       confirm.confirm,
		ZoneInService: rs.zoneInService, Candidates: o.zoneHosts, Logger: o.Log, Metrics: set,
	})
}

// fencingToken combines the term and epoch of the zone lease into one number
// that increases with every grant, and reports whether the lease is valid.
func fencingToken(t *lease.Table) (uint64, bool) {
	l, ok := t.Valid()
	return l.Term<<epochBits | l.Epoch, ok
}
