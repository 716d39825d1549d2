package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

// Status is a copy of a replica's state at one moment.
type Status struct {
	Host     string `json:"host"`
	Identity uint64 `json:"identity"`
	Term     uint64 `json:"term"`
	Leader   string `json:"leader"`
	// LeaderContact is when the last message of the leader arrived, zero if none has.
	// On the leader it is the time of the call.
	LeaderContact time.Time `json:"leader_contact"`
	// Ready is true on a leader that has committed an entry of its term.
	Ready   bool     `json:"ready"`
	Last    uint64   `json:"last"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Members []Member `json:"members"`
	// HomeRegion is the region of most voters, "" if none has a majority of them.
	HomeRegion string `json:"home_region,omitempty"`
	// MembersIndex is the index of the entry that set Members.
	MembersIndex uint64 `json:"members_index"`
	// Match is the highest index known to be on the disk of each member. It is
	// set only on the leader.
	Match map[string]uint64 `json:"match,omitempty"`
	// SinceContact is the time since each other member answered a call of the
	// leader. Only the leader has it.
	SinceContact map[string]time.Duration `json:"silent,omitempty"`
	// RefusedMembers are members whose data folder is older than what they
	// acknowledged, or not the one of their membership entry.
	RefusedMembers []string `json:"refused_members,omitempty"`
	// Refused is true when this host was refused for one of these reasons.
	Refused bool `json:"refused,omitempty"`
	// DiskFull is true while this host writes nothing because its disk is full.
	DiskFull bool `json:"disk_full,omitempty"`
}

func (r *Replica) Status() Status {
	last := r.journal.LastIndex()
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.memberships[len(r.memberships)-1]
	s := Status{
		Host: r.cfg.Host, Identity: r.hardState.Identity, Term: r.hardState.Term, Leader: r.leader,
		Last: last, Commit: r.commit, Applied: r.applied,
		Members: append([]Member(nil), c.members...), HomeRegion: majorityRegion(c.members), MembersIndex: c.index, Refused: r.hardState.Refused,
		DiskFull: r.diskFull, LeaderContact: r.leaderContact,
	}
	if r.lead == nil {
		return s
	}
	s.LeaderContact = time.Now()
	s.Ready = r.lead.ready(r.commit)
	s.Match = map[string]uint64{r.cfg.Host: last}
	s.SinceContact = map[string]time.Duration{}
	for host, p := range r.lead.peers {
		s.Match[host] = p.match
		s.SinceContact[host] = time.Since(p.contact)
		if p.refused {
			s.RefusedMembers = append(s.RefusedMembers, host)
		}
	}
	return s
}

// Leader returns the leader and the term that this host knows.
func (r *Replica) Leader() (string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.hardState.Term
}

// Watch returns the applied index and a channel that is closed when the index,
// the leader, the term or the membership may have changed.
func (r *Replica) Watch() (applied uint64, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied, r.changed
}

// WaitApplied returns when this host has applied the entry at index.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	return r.await(ctx, func() bool { return r.applied >= index })
}

// Entries returns at most max applied entries, starting at index from. Hosts
// that keep a copy of the state apply the entries of KindCommand and skip the
// others. An error of kind NotFound means that the entries are compacted: restore
// Snapshot first.
func (r *Replica) Entries(from uint64, max int) ([]journal.Entry, error) {
	r.mu.Lock()
	applied := r.applied
	r.mu.Unlock()
	if from > applied || max <= 0 {
		return nil, nil
	}
	entries, err := r.journal.Entries(from, min(max, int(applied-from)+1), maxAppendBytes)
	if errors.Is(err, journal.ErrCompacted) {
		err = carawayshift.NewError(carawayshift.NotFound, "the log entries are compacted", "restore the snapshot, then request the entries after it")
	}
	return entries, errors.Wrap(err, "replica.Entries")
}

// Snapshot returns the newest stored snapshot of the state machine and the
// index of the last entry in it. Index 0 means that there is no snapshot yet;
// Entries then returns the log from its start.
func (r *Replica) Snapshot() (index uint64, data []byte, err error) {
	s, err := r.journal.Snapshot()
	return s.Index, s.Data, errors.Wrap(err, "replica.Snapshot")
}
