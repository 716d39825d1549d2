// Package leaderapi answers callers, operators and runners on the leader.
//
// # Usage
//
//	g := leaderapi.New(leaderapi.Config{Log: replica, Term: leadership.Term, Table: machine.Batches(), ...})
//	err := g.Submit(ctx, address, batch)
//
// All methods return an Error of kind NotRun on a host that does not lead.
package leaderapi

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/batch"
)

// Runners takes the runners' reports.
type Runners interface {
	Report(a carawayshift.Agent) error
	Leave(id string) error
	Wake()
}

// Config configures a Governor.
type Config struct {
	Log carawayshift.Log
	// Wait returns when this host has applied the entry at an index.
	Wait    func(ctx context.Context, index uint64) error
	Term    func() (term uint64, ok bool, changed <-chan struct{})
	Table   *batch.Table
	State   func() carawayshift.State
	Runners Runners
	// Zones maps the deployment's zones to their regions.
	Zones  map[string]string
	Logger logrus.FieldLogger
}

// Governor implements carawayshift.Intake and carawayshift.Governor.
type Governor struct {
	cfg Config
}

var (
	_ carawayshift.BatchAPI   = (*Governor)(nil)
	_ carawayshift.ControlAPI = (*Governor)(nil)
)

// New returns a governor.
func New(cfg Config) *Governor {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	return &Governor{cfg: cfg}
}

// lead returns an error on a host that does not lead.
func (g *Governor) lead() error {
	if _, ok, _ := g.cfg.Term(); !ok {
		return carawayshift.NewError(carawayshift.NotRun, "this host does not lead", "ask the leader")
	}
	return nil
}

// fresh returns once this host's copy includes everything that was confirmed
// before the call. The barrier alone is not enough: when the leadership has
// just moved, another host proves it, and this copy may be older.
func (g *Governor) fresh(ctx context.Context) error {
	index, err := g.cfg.Log.Barrier(ctx)
	if err != nil {
		return err
	}
	if err := g.cfg.Wait(ctx, index); err != nil {
		return carawayshift.NewError(carawayshift.NotRun, "this host's copy of the state is behind: "+err.Error(), "ask again")
	}
	return nil
}

func (g *Governor) propose(ctx context.Context, c carawayshift.Command) error {
	c.At = time.Now().UTC()
	a, err := g.cfg.Log.Propose(ctx, c)
	if err != nil {
		return err
	}
	return a.Err()
}

func (g *Governor) change(ctx context.Context, c *carawayshift.BatchChange) error {
	err := g.propose(ctx, carawayshift.Command{Kind: carawayshift.ChangeBatches, Batches: c})
	g.cfg.Runners.Wake()
	return err
}

// Submit accepts a batch. A batch whose id is known was accepted before.
func (g *Governor) Submit(ctx context.Context, at carawayshift.Address, b carawayshift.Batch) error {
	if err := g.lead(); err != nil {
		return err
	}
	q, id, team, err := g.cfg.Table.Resolve(at)
	if err != nil {
		return err
	}
	if id != b.ID {
		return carawayshift.NewError(carawayshift.NotFound, "the path names no batch of the queue "+q.Name, "post to the queue's prefix and the id")
	}
	if _, _, known := g.cfg.Table.State(id); known {
		return nil
	}
	b.Queue, b.Team = q, team
	if err := g.change(ctx, &carawayshift.BatchChange{Submit: &b}); err != nil {
		return err
	}
	g.cfg.Logger.WithFields(logrus.Fields{
		"event": "accepted", "batch": id, "team": team, "queue": q.Name, "priority": q.Priority, "steps": len(b.Steps), "tasks": b.Steps[0].Count,
		"accelerators": b.Steps[0].Accelerators, "gang": b.Steps[0].Gang, "onerack": b.Steps[0].SameRack, "declared": b.Steps[0].Declared.String(),
	}).Info("batch accepted")
	return nil
}

// State returns the state of a batch.
func (g *Governor) State(_ context.Context, at carawayshift.Address) (carawayshift.BatchState, error) {
	if err := g.lead(); err != nil {
		return "", err
	}
	_, id, team, err := g.cfg.Table.Resolve(at)
	if err != nil {
		return "", err
	}
	s, owner, ok := g.cfg.Table.State(id)
	if !ok || (owner != "" && team != "" && owner != team) {
		return "", batch.Gone(id)
	}
	return s, nil
}

// Cancel ends a batch.
func (g *Governor) Cancel(ctx context.Context, at carawayshift.Address) error {
	if err := g.lead(); err != nil {
		return err
	}
	_, id, team, err := g.cfg.Table.Resolve(at)
	if err != nil {
		return err
	}
	_, owner, ok := g.cfg.Table.State(id)
	if !ok || (owner != "" && team != "" && owner != team) {
		return batch.Gone(id)
	}
	err = g.change(ctx, &carawayshift.BatchChange{Cancel: id})
	if err == nil {
		g.cfg.Logger.WithFields(logrus.Fields{"event": "cancelled", "batch": id, "team": team}).Info("batch cancelled")
	}
	return err
}

// Waiting counts the batches of a queue of which no task has started.
func (g *Governor) Waiting(_ context.Context, at carawayshift.Address) (int, error) {
	if err := g.lead(); err != nil {
		return 0, err
	}
	q, _, _, err := g.cfg.Table.Resolve(at)
	if err != nil {
		return 0, err
	}
	return g.cfg.Table.Waiting(q.Name), nil
}

// Replace puts a catalog in force, unless one with the same or a higher number
// is.
func (g *Governor) Replace(ctx context.Context, c carawayshift.Catalog) error {
	if err := g.lead(); err != nil {
		return err
	}
	if c.Number <= g.cfg.Table.Catalog().Number {
		// The one in force must not be lost with this leader.
		return g.fresh(ctx)
	}
	if err := g.change(ctx, &carawayshift.BatchChange{Catalog: &c}); err != nil {
		return err
	}
	g.cfg.Logger.WithFields(logrus.Fields{"event": "catalog in force", "number": g.cfg.Table.Catalog().Number, "queues": len(c.Queues)}).Info("catalog in force")
	return nil
}

// Catalog returns the text of the newest catalog, after a proof of leadership.
func (g *Governor) Catalog(ctx context.Context) ([]byte, error) {
	if err := g.lead(); err != nil {
		return nil, err
	}
	if err := g.fresh(ctx); err != nil {
		return nil, err
	}
	source := g.cfg.Table.Catalog().Source
	if len(source) == 0 {
		return nil, carawayshift.NewError(carawayshift.Unavailable, "no configuration is in force yet", "try again in a second")
	}
	return source, nil
}

// SetZone takes a zone out of service or returns it.
func (g *Governor) SetZone(ctx context.Context, zone string, out bool) error {
	if err := g.lead(); err != nil {
		return err
	}
	region, known := g.cfg.Zones[zone]
	if !known {
		return carawayshift.NewError(carawayshift.NotFound, "no zone "+zone, "check the name")
	}
	if err := g.fresh(ctx); err != nil {
		return err
	}
	z := carawayshift.Zone{Name: zone, Region: region}
	present, ok := g.cfg.State().Zones[zone]
	if !ok {
		if err := g.zoneCommand(ctx, carawayshift.CreateZone, z); err != nil {
			return err
		}
	}
	if present.Drained == out {
		return nil
	}
	kind := carawayshift.ReturnZone
	if out {
		kind = carawayshift.DrainZone
	}
	err := g.zoneCommand(ctx, kind, z)
	g.cfg.Runners.Wake()
	return err
}

// zoneCommand proposes a command of the operators' language. A refusal says
// that another order came first.
func (g *Governor) zoneCommand(ctx context.Context, kind carawayshift.CommandKind, z carawayshift.Zone) error {
	err := g.propose(ctx, carawayshift.Command{
		ID: "zone " + z.Name + " " + strconv.FormatInt(time.Now().UnixNano(), 36), Kind: kind, Zone: &z, By: "platform",
	})
	if carawayshift.KindOf(err) == carawayshift.Refused {
		return nil
	}
	return err
}

// Report takes a runner's heartbeat.
func (g *Governor) Report(_ context.Context, a carawayshift.Agent) error {
	if err := g.lead(); err != nil {
		return err
	}
	return g.cfg.Runners.Report(a)
}

// Leave takes a runner's farewell.
func (g *Governor) Leave(_ context.Context, id string) error {
	if err := g.lead(); err != nil {
		return err
	}
	return g.cfg.Runners.Leave(id)
}

// StartWave takes an order for the upkeep of machines.
func (g *Governor) StartWave(ctx context.Context, w carawayshift.Wave) error {
	if err := g.lead(); err != nil {
		return err
	}
	return g.change(ctx, &carawayshift.BatchChange{Wave: &w})
}

// WaveComplete tells whether every machine of a wave had its upkeep.
func (g *Governor) WaveComplete(ctx context.Context, id int) (bool, error) {
	if err := g.lead(); err != nil {
		return false, err
	}
	if err := g.fresh(ctx); err != nil {
		return false, err
	}
	for _, w := range g.cfg.Table.Waves() {
		if w.ID == id {
			return w.Complete(), nil
		}
	}
	return false, carawayshift.NewError(carawayshift.NotFound, "no wave "+strconv.Itoa(id), "order it first")
}
