// Package leaderapi handles the requests of callers, operators and runners on
// the leader.
//
// # Usage
//
//	h := leaderapi.New(leaderapi.Config{Log: replica, Term: leadership.Term, Table: machine.Batches(), ...})
//	err := h.Submit(ctx, address, batch)
//
// All methods return an Error of kind NotRun on a host that does not lead.
package leaderapi

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/batch"
)

// Runners handles the runners' reports. It is implemented by the dispatcher.
type Runners interface {
	Report(a carawayshift.Agent) error
	Leave(id string, incarnation int64) error
	Wake()
	// HasBegun reports whether a runner has confirmed an open run.
	HasBegun(s carawayshift.RunStart) bool
}

// Config configures a Handler.
type Config struct {
	Log carawayshift.Log
	// Wait returns once this host has applied the log entry at index.
	Wait func(ctx context.Context, index uint64) error
	Term func() (term uint64, ok bool, changed <-chan struct{})
	// Permitted reports whether this host leads in a term and no other host can
	// have been elected since; nil means always.
	Permitted func(term uint64) bool
	Table     *batch.Table
	State     func() carawayshift.State
	Runners   Runners
	// Admit returns an error of kind Limited for a batch that would be of no use to its
	// caller; nil admits all.
	Admit func(b carawayshift.Batch) error
	// Zones maps the deployment's zones to their regions.
	Zones  map[string]string
	Logger logrus.FieldLogger
}

// Handler implements carawayshift.BatchAPI and carawayshift.ControlAPI.
type Handler struct {
	cfg Config

	mu sync.Mutex
	// replacing holds the catalogs that are being committed, by number.
	replacing map[uint64]*replacement
	// undecided counts, for each batch, the requests of undecidedTerm that are being
	// committed or whose outcome is unknown. A new leader has applied what earlier ones
	// committed.
	undecided     map[string]int
	undecidedTerm uint64
}

// replacement is the commit of a catalog. err is valid once done is closed.
type replacement struct {
	source []byte
	done   chan struct{}
	err    error
}

var (
	_ carawayshift.BatchAPI   = (*Handler)(nil)
	_ carawayshift.ControlAPI = (*Handler)(nil)
)

// New returns a Handler. Its methods fail while this host does not lead.
func New(cfg Config) *Handler {
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	return &Handler{cfg: cfg, replacing: map[uint64]*replacement{}}
}

// requireLeader returns an error of kind NotRun on a host that does not lead, or
// that may have lost the leadership without knowing it yet, for example while it
// was paused: its copy of the state may be old.
func (h *Handler) requireLeader() error {
	term, ok, _ := h.cfg.Term()
	if !ok {
		return carawayshift.NewError(carawayshift.NotRun, "this host does not lead", "ask the leader")
	}
	if h.cfg.Permitted != nil && !h.cfg.Permitted(term) {
		return carawayshift.NewError(carawayshift.NotRun, "another host may lead by now", "ask the leader")
	}
	return nil
}

// waitFresh returns once this host's copy of the state includes every command
// that was answered before the call. The barrier alone is not enough: when the
// leadership has just moved, the barrier is confirmed by another host, and this
// host's copy may be older.
func (h *Handler) waitFresh(ctx context.Context) error {
	index, err := h.cfg.Log.Barrier(ctx)
	if err != nil {
		return err
	}
	if err := h.cfg.Wait(ctx, index); err != nil {
		return carawayshift.NewError(carawayshift.NotRun, "this host has not applied the latest commands yet: "+err.Error(), "ask again")
	}
	return nil
}

func (h *Handler) propose(ctx context.Context, c carawayshift.Command) error {
	c.At = time.Now().UTC()
	a, err := h.cfg.Log.Propose(ctx, c)
	if err != nil {
		return err
	}
	return a.Err()
}

func (h *Handler) change(ctx context.Context, c *carawayshift.BatchChange) error {
	err := h.propose(ctx, carawayshift.Command{Kind: carawayshift.ChangeBatches, Batches: c})
	h.cfg.Runners.Wake()
	return err
}

// Submit accepts a batch. If a batch with the same ID was accepted before, it
// does nothing.
func (h *Handler) Submit(ctx context.Context, at carawayshift.Address, b carawayshift.Batch) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	q, id, team, err := h.cfg.Table.Resolve(at)
	if err != nil {
		return err
	}
	if id != b.ID {
		return carawayshift.NewError(carawayshift.NotFound, "the path does not name this batch in the queue "+q.Name, "send the request to the queue's prefix followed by the id")
	}
	if _, _, known := h.cfg.Table.State(id); known {
		return nil
	}
	b.Queue, b.Team = q, team
	if h.cfg.Admit != nil && !h.isUndecided(id) {
		if err := h.cfg.Admit(b); err != nil {
			return err
		}
	}
	if err := h.commitBatch(ctx, &b); err != nil {
		return err
	}
	h.cfg.Logger.WithFields(logrus.Fields{
		"event": "accepted", "batch": id, "team": team, "queue": q.Name, "priority": q.Priority, "steps": len(b.Steps), "tasks": b.Steps[0].Count,
		"accelerators": b.Steps[0].Accelerators, "gang": b.Steps[0].Gang, "onerack": b.Steps[0].SameRack, "declared": b.Steps[0].Declared.String(),
		"excess": h.cfg.Table.Excess(id),
	}).Info("batch accepted")
	return nil
}

// commitBatch commits a batch, and notes that it is undecided until the outcome is known.
func (h *Handler) commitBatch(ctx context.Context, b *carawayshift.Batch) error {
	term, _, _ := h.cfg.Term()
	h.mu.Lock()
	if h.undecided == nil || h.undecidedTerm != term {
		h.undecided, h.undecidedTerm = map[string]int{}, term
	}
	h.undecided[b.ID]++
	h.mu.Unlock()
	err := h.change(ctx, &carawayshift.BatchChange{Submit: b})
	kind := carawayshift.KindOf(err)
	if err == nil || kind != "" && kind != carawayshift.OutcomeUnknown {
		h.decide(b.ID, term, err == nil)
	}
	return err
}

// decide counts one request less for a batch, or none any more once it is accepted.
func (h *Handler) decide(id string, term uint64, accepted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.undecidedTerm != term:
	case accepted || h.undecided[id] <= 1:
		delete(h.undecided, id)
	default:
		h.undecided[id]--
	}
}

// isUndecided reports whether a batch may be committed yet by an earlier request, so that
// a rejection would be wrong.
func (h *Handler) isUndecided(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.undecided[id] > 0
}

// State returns the state of a batch. A batch of another team is reported as
// unknown.
func (h *Handler) State(_ context.Context, at carawayshift.Address) (carawayshift.BatchState, error) {
	if err := h.requireLeader(); err != nil {
		return "", err
	}
	_, id, team, err := h.cfg.Table.Resolve(at)
	if err != nil {
		return "", err
	}
	s, owner, ok := h.cfg.Table.State(id)
	if !ok || (owner != "" && team != "" && owner != team) {
		return "", batch.Gone(id)
	}
	return s, nil
}

// Cancel cancels a batch.
func (h *Handler) Cancel(ctx context.Context, at carawayshift.Address) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	_, id, team, err := h.cfg.Table.Resolve(at)
	if err != nil {
		return err
	}
	_, owner, ok := h.cfg.Table.State(id)
	if !ok || (owner != "" && team != "" && owner != team) {
		return batch.Gone(id)
	}
	err = h.change(ctx, &carawayshift.BatchChange{Cancel: id})
	if err == nil {
		h.cfg.Logger.WithFields(logrus.Fields{"event": "cancelled", "batch": id, "team": team}).Info("batch cancelled")
	}
	return err
}

// Waiting returns the number of a queue's batches of which no task has started. A start
// that was only requested doesn't count.
func (h *Handler) Waiting(_ context.Context, at carawayshift.Address) (int, error) {
	if err := h.requireLeader(); err != nil {
		return 0, err
	}
	q, _, _, err := h.cfg.Table.Resolve(at)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, open := range h.cfg.Table.NotBegun(q.Name) {
		if !slices.ContainsFunc(open, h.cfg.Runners.HasBegun) {
			n++
		}
	}
	return n, nil
}

// Replace puts a catalog in force. It does nothing if one with the same or a
// higher number is already in force.
func (h *Handler) Replace(ctx context.Context, c carawayshift.Catalog) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	if c.Number <= h.cfg.Table.Catalog().Number {
		// Confirm only when the catalog in force is committed, so that a change
		// of leader can't lose it.
		return h.waitFresh(ctx)
	}
	if err := h.commitOnce(ctx, &c); err != nil {
		return err
	}
	h.cfg.Logger.WithFields(logrus.Fields{"event": "catalog in force", "number": h.cfg.Table.Catalog().Number, "queues": len(c.Queues)}).Info("a new catalog is in force")
	return nil
}

// commitOnce commits a catalog. Operators repeat a request without an answer after a
// second, at any host; a repeated one waits for the commit of the first, so that a
// catalog of megabytes is not sent to the voters again while it is on its way.
func (h *Handler) commitOnce(ctx context.Context, c *carawayshift.Catalog) error {
	h.mu.Lock()
	r := h.replacing[c.Number]
	if r != nil && bytes.Equal(r.source, c.Source) {
		h.mu.Unlock()
		select {
		case <-r.done:
			return r.err
		case <-ctx.Done():
			return notCommittedYet()
		}
	}
	// A panic must not acknowledge the catalog.
	r = &replacement{source: c.Source, done: make(chan struct{}), err: notCommittedYet()}
	h.replacing[c.Number] = r
	h.mu.Unlock()
	defer close(r.done)
	r.err = h.change(ctx, &carawayshift.BatchChange{Catalog: c})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.replacing[c.Number] == r {
		delete(h.replacing, c.Number)
	}
	return r.err
}

func notCommittedYet() error {
	return carawayshift.NewError(carawayshift.OutcomeUnknown, "the catalog is not committed yet", "send it again")
}

// Catalog returns the source text of the newest catalog, after confirming that
// this host has the latest state.
func (h *Handler) Catalog(ctx context.Context) ([]byte, error) {
	if err := h.requireLeader(); err != nil {
		return nil, err
	}
	if err := h.waitFresh(ctx); err != nil {
		return nil, err
	}
	source := h.cfg.Table.Catalog().Source
	if len(source) == 0 {
		return nil, carawayshift.NewError(carawayshift.Unavailable, "no catalog is in force yet", "try again in a second")
	}
	return source, nil
}

// SetZone takes a zone out of service or returns it to service.
func (h *Handler) SetZone(ctx context.Context, zone string, out bool) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	region, known := h.cfg.Zones[zone]
	if !known {
		return carawayshift.NewError(carawayshift.NotFound, "no zone "+zone, "check the name")
	}
	if err := h.waitFresh(ctx); err != nil {
		return err
	}
	z := carawayshift.Zone{Name: zone, Region: region}
	current, ok := h.cfg.State().Zones[zone]
	if !ok {
		if err := h.zoneCommand(ctx, carawayshift.CreateZone, z); err != nil {
			return err
		}
	}
	if current.Drained == out {
		return nil
	}
	kind := carawayshift.ReturnZone
	if out {
		kind = carawayshift.DrainZone
	}
	err := h.zoneCommand(ctx, kind, z)
	h.cfg.Runners.Wake()
	return err
}

// zoneCommand proposes an operator command for a zone. A refusal is not an
// error: it means that another command has already changed the zone.
func (h *Handler) zoneCommand(ctx context.Context, kind carawayshift.CommandKind, z carawayshift.Zone) error {
	err := h.propose(ctx, carawayshift.Command{
		ID: "zone " + z.Name + " " + strconv.FormatInt(time.Now().UnixNano(), 36), Kind: kind, Zone: &z, By: "platform",
	})
	if carawayshift.KindOf(err) == carawayshift.Refused {
		return nil
	}
	return err
}

// Report handles a runner's heartbeat.
func (h *Handler) Report(_ context.Context, a carawayshift.Agent) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	return h.cfg.Runners.Report(a)
}

// Leave handles the orderly exit of a runner.
func (h *Handler) Leave(_ context.Context, id string, incarnation int64) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	return h.cfg.Runners.Leave(id, incarnation)
}

// StartWave accepts a maintenance request for a set of machines.
func (h *Handler) StartWave(ctx context.Context, w carawayshift.Wave) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	return h.change(ctx, &carawayshift.BatchChange{Wave: &w})
}

// WaveComplete reports whether the maintenance of every machine of a wave is
// done.
func (h *Handler) WaveComplete(ctx context.Context, id int) (bool, error) {
	if err := h.requireLeader(); err != nil {
		return false, err
	}
	if err := h.waitFresh(ctx); err != nil {
		return false, err
	}
	for _, w := range h.cfg.Table.Waves() {
		if w.ID == id {
			return w.Complete(), nil
		}
	}
	return false, carawayshift.NewError(carawayshift.NotFound, "no wave "+strconv.Itoa(id), "start the wave first")
}
