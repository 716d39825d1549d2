package state

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// storedAnswer is the answer to an operator command, with the fingerprint of the
// command in Sum.
type storedAnswer struct {
	Sum    uint64              `cbor:"1,keyasint"`
	Answer carawayshift.Answer `cbor:"2,keyasint"`
}

// answers holds the newest maxAnswers answers in the order of their commands.
type answers struct {
	byID map[string]storedAnswer
	ids  []string
}

func (a *answers) add(r storedAnswer) {
	a.byID[r.Answer.ID] = r
	a.ids = append(a.ids, r.Answer.ID)
	if len(a.ids) <= maxAnswers {
		return
	}
	delete(a.byID, a.ids[0])
	a.ids = a.ids[1:]
}

func (a *answers) list() []storedAnswer {
	rs := make([]storedAnswer, 0, len(a.ids))
	for _, id := range a.ids {
		rs = append(rs, a.byID[id])
	}
	return rs
}

// fingerprint returns a hash of what the operator requested. It excludes the fields
// that the proposer fills in, which are the times and the view of the workers:
// they differ when a statement is retried through another host.
func fingerprint(c *carawayshift.Command) uint64 {
	content := *c
	content.At, content.Workers = time.Time{}, nil
	if c.Job != nil {
		j := *c.Job
		j.Submitted = time.Time{}
		content.Job = &j
	}
	if c.Note != nil {
		n := *c.Note
		n.At = time.Time{}
		content.Note = &n
	}
	b, err := carawayshift.Encode(content)
	if err != nil {
		// The command was decoded from an entry, so it can be encoded.
		panic(errors.Wrap(err, "state.fingerprint"))
	}
	return xxhash.Sum64(b)
}

// checkVersion refuses a command whose IfVersion is not the current version. It
// sets a.Winner to the operator whose command was applied at that version.
func (m *Machine) checkVersion(c *carawayshift.Command, a *carawayshift.Answer) error {
	if c.IfVersion == 0 || c.IfVersion == m.s.Version {
		return nil
	}
	remedy := fmt.Sprintf("read the state again, then send a new command with if version %d", m.s.Version)
	if c.IfVersion > m.s.Version {
		text := fmt.Sprintf("version %d is not reached; the version now is %d", c.IfVersion, m.s.Version)
		return carawayshift.NewError(carawayshift.Conflict, text, remedy)
	}
	a.Winner = m.author(c.IfVersion + 1)
	who := a.Winner
	if who == "" {
		who = "another operator"
	}
	text := fmt.Sprintf("%s made version %d first; the version now is %d", who, c.IfVersion+1, m.s.Version)
	return carawayshift.NewError(carawayshift.Conflict, text, remedy)
}

// author returns the operator whose command resulted in the version, or "" if the
// version is too old to be known.
func (m *Machine) author(version uint64) string {
	back := m.s.Version - version
	if back >= uint64(len(m.authors)) {
		return ""
	}
	return m.authors[uint64(len(m.authors))-1-back]
}
