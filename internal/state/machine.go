// Package state implements the replicated state machine: it applies committed
// commands to teams, zones, jobs, notes, quarantine and configuration, keeps
// the answers to operator commands, and writes and reads snapshots.
//
// # Usage
//
//	m := state.New(planner.CheckGuarantees)
//	result := m.Apply(index, entry) // entry is carawayshift.Encode(command)
//	err := m.Wait(ctx, index)       // a reader waits for its read index
//	s := m.State()                  // a copy that the reader may keep
//
// Apply returns the encoded carawayshift.Answer. The field Repeated does not
// travel in it: the proposer sets it when Answer.Index is below the index of
// its own entry.
//
// An entry that can't be decoded or has an unknown kind is answered as
// Malformed and changes nothing but the applied index, which lets a replica
// pass entries that carry no command.
package state

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/batch"
)

// Bounds of what the state keeps. They limit the size of a snapshot.
const (
	// maxAnswers is the number of operator commands whose answer a resend
	// gets again. At 1,600 changes a day it covers two and a half days.
	maxAnswers = 4096
	// maxEnded is the number of finished and cancelled jobs that stay
	// visible. At 5,900 jobs a day it covers a day and a half.
	maxEnded = 10000
	// maxNotes is the number of notes that stay visible.
	maxNotes = 10000
)

// GuaranteeCheck returns an Error that names what is short when the teams'
// guarantees can't all be packed on the view's workers. It must depend on the
// view alone: every replica calls it for the same command.
type GuaranteeCheck func(v carawayshift.View) error

// Machine is the replicated state machine. Apply, Snapshot and Restore are
// called from one goroutine at a time; State and Wait from any.
type Machine struct {
	check GuaranteeCheck

	mu sync.Mutex
	s  carawayshift.State
	// shared marks the maps of s that a reader holds. They are cloned before
	// the next change.
	shared shared
	// applied is closed and replaced when the index rises.
	applied chan struct{}

	lastJob  uint64
	lastNote uint64
	// ended lists finished and cancelled jobs, oldest first.
	ended []uint64
	// bases maps a running job to the checkpoint from which its attempt
	// started, where that is not 0.
	bases map[uint64]int64
	// authors lists the operators of the newest versions, newest last.
	authors []string
	answers answers
	// used counts the accelerators that active jobs occupy on each worker.
	// It is derived from the jobs and not part of a snapshot.
	used map[string]int
	// batches has its own lock, because it changes far more often than the
	// rest and its readers need only parts of it.
	batches *batch.Table
}

type shared struct {
	zones, teams, jobs, quarantine, config bool
}

// New returns an empty machine. Check is called for CreateTeam and SetTeam;
// nil accepts every guarantee.
func New(check GuaranteeCheck) *Machine {
	if check == nil {
		check = func(carawayshift.View) error { return nil }
	}
	m := &Machine{check: check, applied: make(chan struct{}), batches: batch.New()}
	m.load(snapshot{})
	return m
}

// Apply decodes one carawayshift.Command, applies it and returns the encoded
// carawayshift.Answer.
func (m *Machine) Apply(index uint64, entry []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.apply(index, entry)
	m.s.Index = index
	close(m.applied)
	m.applied = make(chan struct{})
	b, err := carawayshift.Encode(a)
	if err != nil {
		// Answer holds only strings and numbers, which always encode.
		panic(errors.Wrap(err, "state.Apply"))
	}
	return b
}

// State returns a copy that the reader may keep and must not change. The copy
// costs nothing until the next change, which clones the map it touches.
func (m *Machine) State() carawayshift.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shared = shared{zones: true, teams: true, jobs: true, quarantine: true, config: true}
	s := m.s
	s.Notes = slices.Clip(s.Notes)
	return s
}

// Batches returns the table of batches, which changes with the state.
func (m *Machine) Batches() *batch.Table { return m.batches }

// Version returns the configuration version. Unlike State it never makes the
// next change clone a map, so that it can be asked often.
func (m *Machine) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.s.Version
}

// Wait returns once the entry at index has been applied, or with the
// context's error.
func (m *Machine) Wait(ctx context.Context, index uint64) error {
	for {
		m.mu.Lock()
		reached, applied := m.s.Index >= index, m.applied
		m.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "state.Wait")
		}
	}
}

func (m *Machine) apply(index uint64, entry []byte) carawayshift.Answer {
	var c carawayshift.Command
	if err := decode(entry, &c); err != nil {
		return m.refusal(index, c.ID, malformed("the entry is not a command", "upgrade this host"))
	}
	if fn, ok := operatorKinds[c.Kind]; ok {
		return m.applyOperator(index, &c, fn)
	}
	fn, ok := schedulerKinds[c.Kind]
	if !ok {
		return m.refusal(index, c.ID, malformed("unknown command kind "+string(c.Kind), "upgrade the older host"))
	}
	return m.applyScheduler(index, &c, fn)
}

// decode reads a command that can be encoded again. A time in the form of
// seconds since 1970 can lie beyond the year 9999: stored, it would make every
// later snapshot fail.
func decode(entry []byte, c *carawayshift.Command) error {
	if err := carawayshift.Decode(entry, c); err != nil {
		return err
	}
	_, err := carawayshift.Encode(c)
	return err
}

// applyOperator answers a resend from the stored answers, and stores the
// answer of a new command, also when it is refused.
func (m *Machine) applyOperator(index uint64, c *carawayshift.Command, fn applyFunc) carawayshift.Answer {
	if c.ID == "" || len(c.ID) > maxName {
		return m.refusal(index, c.ID, malformed("an operator command needs an id of 1 to 200 bytes", "send an id"))
	}
	sum := fingerprint(c)
	if first, ok := m.answers.byID[c.ID]; ok {
		return m.resent(index, c, first, sum)
	}
	a := carawayshift.Answer{ID: c.ID, Index: index}
	err := m.checkVersion(c, &a)
	if err == nil {
		err = fn(m, c, &a)
	}
	if err != nil {
		m.refuse(&a, err)
	} else {
		m.accept(c, &a)
	}
	if a.Kind != carawayshift.Malformed {
		m.answers.add(record{Sum: sum, Answer: a})
	}
	return a
}

func (m *Machine) applyScheduler(index uint64, c *carawayshift.Command, fn applyFunc) carawayshift.Answer {
	a := carawayshift.Answer{ID: c.ID, Index: index}
	err := m.checkVersion(c, &a)
	if err == nil {
		err = fn(m, c, &a)
	}
	if err != nil {
		m.refuse(&a, err)
		return a
	}
	a.Version = m.s.Version
	return a
}

func (m *Machine) accept(c *carawayshift.Command, a *carawayshift.Answer) {
	m.s.Version++
	a.Version = m.s.Version
	m.authors = append(m.authors, c.By)
	if len(m.authors) > maxAnswers {
		m.authors = m.authors[1:]
	}
}

func (m *Machine) resent(index uint64, c *carawayshift.Command, first record, sum uint64) carawayshift.Answer {
	if first.Sum == sum {
		a := first.Answer
		a.Repeated = true
		return a
	}
	return m.refusal(index, c.ID, carawayshift.NewError(carawayshift.Conflict,
		"the id "+c.ID+" was used for another command", "send the command with a new id"))
}

func (m *Machine) refusal(index uint64, id string, err error) carawayshift.Answer {
	a := carawayshift.Answer{ID: id, Index: index}
	m.refuse(&a, err)
	return a
}

func (m *Machine) refuse(a *carawayshift.Answer, err error) {
	a.Version = m.s.Version
	a.Kind, a.Error = carawayshift.Refused, err.Error()
	var e *carawayshift.Error
	if errors.As(err, &e) {
		a.Kind, a.Error, a.Remedy = e.Kind, e.Text, e.Remedy
	}
}

// Writable maps: each is cloned once after a reader took it.

func (m *Machine) zones() map[string]carawayshift.Zone {
	if m.shared.zones {
		m.s.Zones, m.shared.zones = maps.Clone(m.s.Zones), false
	}
	return m.s.Zones
}

func (m *Machine) teams() map[string]carawayshift.Team {
	if m.shared.teams {
		m.s.Teams, m.shared.teams = maps.Clone(m.s.Teams), false
	}
	return m.s.Teams
}

func (m *Machine) jobs() map[uint64]carawayshift.Job {
	if m.shared.jobs {
		m.s.Jobs, m.shared.jobs = maps.Clone(m.s.Jobs), false
	}
	return m.s.Jobs
}
