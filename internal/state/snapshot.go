package state

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/batch"
)

// snapshot is the encoded form of a machine. Maps are encoded with sorted keys, so
// that equal machines give equal bytes.
type snapshot struct {
	Version          uint64                       `cbor:"1,keyasint"`
	Index            uint64                       `cbor:"2,keyasint"`
	Zones            map[string]carawayshift.Zone `cbor:"3,keyasint"`
	Teams            map[string]carawayshift.Team `cbor:"4,keyasint"`
	Jobs             map[uint64]carawayshift.Job  `cbor:"5,keyasint"`
	Notes            []carawayshift.Note          `cbor:"6,keyasint"`
	Quarantine       map[string]time.Time         `cbor:"7,keyasint"`
	Config           map[string]string            `cbor:"8,keyasint"`
	LastJob          uint64                       `cbor:"9,keyasint"`
	LastNote         uint64                       `cbor:"10,keyasint"`
	Ended            []uint64                     `cbor:"11,keyasint"`
	StartCheckpoints map[uint64]int64             `cbor:"12,keyasint"`
	Authors          []string                     `cbor:"13,keyasint"`
	Answers          []storedAnswer               `cbor:"14,keyasint"`
	Batches          batch.Snapshot               `cbor:"15,keyasint"`
}

// Snapshot writes the whole state; equal states give equal bytes.
func (m *Machine) Snapshot(w io.Writer) error {
	b, err := m.encode()
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return errors.Wrap(err, "state.Snapshot")
}

// encode does not lock m.mu, so that it does not block readers. This is safe because
// only Apply and Restore change the state, and they are not called concurrently
// with Snapshot.
func (m *Machine) encode() ([]byte, error) {
	return carawayshift.Encode(snapshot{
		Version: m.s.Version, Index: m.s.Index,
		Zones: m.s.Zones, Teams: m.s.Teams, Jobs: m.s.Jobs, Notes: m.s.Notes,
		Quarantine: m.s.Quarantine, Config: m.s.Config,
		LastJob: m.lastJob, LastNote: m.lastNote,
		Ended: m.ended, StartCheckpoints: m.startCheckpoints, Authors: m.authors,
		Answers: m.answers.list(), Batches: m.batches.Snapshot(),
	})
}

// Restore replaces the state by a snapshot. If it returns an error, the state is
// unchanged.
func (m *Machine) Restore(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return errors.Wrap(err, "state.Restore")
	}
	var s snapshot
	if err := carawayshift.DecodeSnapshot(b, &s); err != nil {
		return errors.Wrap(err, "state.Restore")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load(s)
	close(m.applied)
	m.applied = make(chan struct{})
	return nil
}

func (m *Machine) load(s snapshot) {
	m.s = carawayshift.State{
		Version: s.Version, Index: s.Index, Notes: s.Notes,
		Zones: s.Zones, Teams: s.Teams, Jobs: s.Jobs,
		Quarantine: s.Quarantine, Config: s.Config,
	}
	m.shared = shared{}
	m.lastJob, m.lastNote = s.LastJob, s.LastNote
	m.ended, m.startCheckpoints, m.authors = s.Ended, s.StartCheckpoints, s.Authors
	m.batches.Restore(s.Batches)
	m.createMissingMaps()
	m.answers = answers{byID: make(map[string]storedAnswer, len(s.Answers))}
	for _, r := range s.Answers {
		m.answers.add(r)
	}
	m.usedAccelerators = make(map[string]int)
	for _, j := range m.s.Jobs {
		m.addUsage(j, 1)
	}
}

func (m *Machine) createMissingMaps() {
	if m.s.Zones == nil {
		m.s.Zones = make(map[string]carawayshift.Zone)
	}
	if m.s.Teams == nil {
		m.s.Teams = make(map[string]carawayshift.Team)
	}
	if m.s.Jobs == nil {
		m.s.Jobs = make(map[uint64]carawayshift.Job)
	}
	if m.s.Quarantine == nil {
		m.s.Quarantine = make(map[string]time.Time)
	}
	if m.s.Config == nil {
		m.s.Config = make(map[string]string)
	}
	if m.startCheckpoints == nil {
		m.startCheckpoints = make(map[uint64]int64)
	}
}

// addUsage adds the accelerators of an active job to the usage of its workers, or
// subtracts them if sign is -1.
func (m *Machine) addUsage(j carawayshift.Job, sign int) {
	if !j.Active() {
		return
	}
	for _, p := range j.Placements {
		m.usedAccelerators[p.Worker] += sign * p.Accelerators
		if m.usedAccelerators[p.Worker] == 0 {
			delete(m.usedAccelerators, p.Worker)
		}
	}
}
