// Package state implements the replicated state machine: it applies committed
// commands to teams, zones, jobs, notes, quarantine, configuration and batches,
// stores the answers to operator commands, and writes and reads snapshots.
//
// # Usage
//
//	m := state.New(planner.CheckGuarantees)
//	result := m.Apply(index, entry) // entry is carawayshift.Encode(command)
//	err := m.Wait(ctx, index)       // a reader waits for its read index
//	s := m.State()                  // a copy that the reader may keep
//
// Apply returns the encoded carawayshift.Answer. The field Repeated is not part of
// the encoding: the proposer sets it if Answer.Index is below the index of its own
// entry.
//
// For an entry that can't be decoded or has an unknown kind, the answer has kind
// Malformed and only the applied index changes, so that a replica can apply
// entries that contain no command.
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

// Limits of the state's content, which limit the size of a snapshot.
const (
	// maxAnswers is the number of operator commands whose answers are stored for
	// retries. At 1,600 changes a day it covers two and a half days.
	maxAnswers = 4096
	// maxEnded is the number of finished and cancelled jobs that are kept. At
	// 5,900 jobs a day it covers a day and a half.
	maxEnded = 10000
	// maxNotes is the number of notes that are kept.
	maxNotes = 10000
)

// GuaranteeCheck returns an Error that names the missing capacity when the teams'
// guarantees can't all be packed on the view's workers. It must depend only on the
// view, because every replica calls it for the same command.
type GuaranteeCheck func(v carawayshift.View) error

// Machine is the replicated state machine. Apply, Snapshot and Restore are
// called from one goroutine at a time; State and Wait from any.
type Machine struct {
	checkGuarantees GuaranteeCheck

	mu sync.Mutex
	s  carawayshift.State
	// shared marks the maps of s that a reader may hold. They are cloned before
	// their next change.
	shared shared
	// applied is closed and replaced when an entry was applied or a snapshot
	// restored.
	applied chan struct{}

	lastJob  uint64
	lastNote uint64
	// ended lists finished and cancelled jobs, oldest first.
	ended []uint64
	// startCheckpoints maps a running job to the checkpoint from which its attempt
	// started, if that is not 0.
	startCheckpoints map[uint64]int64
	// authors lists the operators of the newest maxAnswers versions, newest last.
	authors []string
	answers answers
	// usedAccelerators counts the accelerators that active jobs occupy on each
	// worker. It is derived from the jobs and not part of a snapshot.
	usedAccelerators map[string]int
	// batches has its own lock, because it changes much more often than the rest
	// of the state and its readers need only parts of it.
	batches *batch.Table
}

type shared struct {
	zones, teams, jobs, quarantine, config bool
}

// New returns an empty machine. It calls check for CreateTeam and SetTeam; nil
// accepts every guarantee.
func New(check GuaranteeCheck) *Machine {
	if check == nil {
		check = func(carawayshift.View) error { return nil }
	}
	m := &Machine{checkGuarantees: check, applied: make(chan struct{}), batches: batch.New()}
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
		// Answer contains only strings and numbers, which can always be encoded.
		panic(errors.Wrap(err, "state.Apply"))
	}
	return b
}

// State returns a copy that the reader may keep and must not change. Maps are
// copied on write: the next change of each map clones it.
func (m *Machine) State() carawayshift.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shared = shared{zones: true, teams: true, jobs: true, quarantine: true, config: true}
	s := m.s
	s.Notes = slices.Clip(s.Notes)
	return s
}

// Batches returns the machine's table of batches. It is not a copy.
func (m *Machine) Batches() *batch.Table { return m.batches }

// Version returns the configuration version. Unlike State, it does not make the
// next change clone a map, so that frequent calls are cheap.
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

// decode decodes a command and checks that it can be encoded again. A time in
// seconds since 1970 can be after the year 9999, and if it were stored, every
// later snapshot would fail.
func decode(entry []byte, c *carawayshift.Command) error {
	if err := carawayshift.Decode(entry, c); err != nil {
		return err
	}
	_, err := carawayshift.Encode(c)
	return err
}

// applyOperator returns the stored answer if the command is a retry. Otherwise it
// applies the command and stores the answer, also if the command is refused.
// Answers to malformed commands are not stored.
func (m *Machine) applyOperator(index uint64, c *carawayshift.Command, fn applyFunc) carawayshift.Answer {
	if c.ID == "" || len(c.ID) > maxName {
		return m.refusal(index, c.ID, malformed("an operator command needs an id of 1 to 200 bytes", "send an id"))
	}
	sum := fingerprint(c)
	if first, ok := m.answers.byID[c.ID]; ok {
		return m.answerRetry(index, c, first, sum)
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
		m.answers.add(storedAnswer{Sum: sum, Answer: a})
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

func (m *Machine) answerRetry(index uint64, c *carawayshift.Command, first storedAnswer, sum uint64) carawayshift.Answer {
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

// The methods below return maps that may be changed. Each map is cloned if a reader
// may hold it.

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
