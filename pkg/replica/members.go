package replica

import (
	"maps"
	"slices"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

// Member is one host of the group. Identity is the random identity of its
// data folder.
type Member struct {
	Host     string `cbor:"1,keyasint" json:"host"`
	Identity uint64 `cbor:"2,keyasint" json:"identity"`
	// Voter is false for a learner, which gets the log but does not count.
	Voter bool `cbor:"3,keyasint,omitempty" json:"voter"`
}

// config is the membership that an entry set. Index 0 is the first one.
type config struct {
	index   uint64
	members []Member
}

func encodeMembers(list []Member) ([]byte, error) { return carawayshift.Encode(list) }

func decodeMembers(b []byte) ([]Member, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var list []Member
	err := carawayshift.Decode(b, &list)
	return list, err
}

func find(list []Member, host string) (Member, bool) {
	i := slices.IndexFunc(list, func(m Member) bool { return m.Host == host })
	if i < 0 {
		return Member{}, false
	}
	return list[i], true
}

func without(list []Member, host string) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Host == host })
}

func voters(list []Member) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return !m.Voter })
}

func majority(n int) int { return n/2 + 1 }

// The following methods need r.mu. The newest membership counts as soon as it
// is in the log, committed or not.

func (r *Replica) members() []Member { return r.configs[len(r.configs)-1].members }

// isVoter tells whether this host may vote and stand for election.
func (r *Replica) isVoter() bool {
	m, ok := find(r.members(), r.cfg.Host)
	return ok && m.Voter && m.Identity == r.hard.Identity && !r.hard.Refused
}

// noteConfigs follows the journal: entries from the first one on were
// replaced by these.
func (r *Replica) noteConfigs(entries []journal.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	for len(r.configs) > 1 && r.configs[len(r.configs)-1].index >= first {
		r.configs = r.configs[:len(r.configs)-1]
	}
	for _, e := range entries {
		if e.Kind != KindMembership {
			continue
		}
		list, err := decodeMembers(e.Data)
		if err != nil {
			return err
		}
		r.configs = append(r.configs, config{index: e.Index, members: list})
		r.forgetMissing(list)
	}
	return nil
}

// forgetMissing drops what removed members had acknowledged: when one of them
// is added again, it starts from nothing.
func (r *Replica) forgetMissing(list []Member) {
	maps.DeleteFunc(r.acked, func(identity, _ uint64) bool { return !holds(list, identity) })
}

func holds(list []Member, identity uint64) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.Identity == identity })
}

// configAt returns the membership as of an index. Configs before the last
// committed one are dropped.
func (r *Replica) configAt(index uint64) []Member {
	var list []Member
	for _, c := range r.configs {
		if c.index <= index {
			list = c.members
		}
	}
	return list
}

func (r *Replica) pruneConfigs() {
	for len(r.configs) > 1 && r.configs[1].index <= r.snapIndex {
		r.configs = r.configs[1:]
	}
}

// noteAcked remembers that disks had committed entries. It goes by identity
// and not by host: late news of a lost disk says nothing about the new one.
func (r *Replica) noteAcked(acked map[uint64]uint64) {
	for identity, index := range acked {
		if index > r.acked[identity] && holds(r.members(), identity) {
			r.acked[identity] = index
			r.ackedNews++
		}
	}
}
