package replica

import (
	"maps"
	"slices"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

// Member is a host of the group. Identity is the random identity of its data
// folder.
type Member struct {
	Host     string `cbor:"1,keyasint" json:"host"`
	Identity uint64 `cbor:"2,keyasint" json:"identity"`
	// Voter is false for a learner, which receives the log but does not count
	// towards majorities.
	Voter bool `cbor:"3,keyasint,omitempty" json:"voter"`
	// Region is empty for members that were added by a release without it.
	Region string `cbor:"4,keyasint,omitempty" json:"region,omitempty"`
}

// membership holds the members as set by the entry at index. Index 0 stands for the
// initial membership.
type membership struct {
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

func findMember(list []Member, host string) (Member, bool) {
	i := slices.IndexFunc(list, func(m Member) bool { return m.Host == host })
	if i < 0 {
		return Member{}, false
	}
	return list[i], true
}

func withoutMember(list []Member, host string) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Host == host })
}

func voters(list []Member) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return !m.Voter })
}

func majority(n int) int { return n/2 + 1 }

// majorityRegion returns the region with a majority of the voters, or "" if there is
// none.
func majorityRegion(list []Member) string {
	count := map[string]int{}
	for _, m := range voters(list) {
		count[m.Region]++
	}
	for region, n := range count {
		if n >= majority(len(voters(list))) {
			return region
		}
	}
	return ""
}

// The callers of the following methods hold r.mu. The newest membership is in
// force as soon as it is in the log, committed or not.

func (r *Replica) members() []Member { return r.memberships[len(r.memberships)-1].members }

// isVoter reports whether this host may vote and start elections.
func (r *Replica) isVoter() bool {
	m, ok := findMember(r.members(), r.cfg.Host)
	return ok && m.Voter && m.Identity == r.hardState.Identity && !r.hardState.Refused
}

// recordMemberships updates the memberships after entries were written: from the
// first of them on, they have replaced those in the log.
func (r *Replica) recordMemberships(entries []journal.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index >= first {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
	for _, e := range entries {
		if e.Kind != KindMembership {
			continue
		}
		list, err := decodeMembers(e.Data)
		if err != nil {
			return err
		}
		r.memberships = append(r.memberships, membership{index: e.Index, members: list})
		r.pruneAcked(list)
	}
	return nil
}

// pruneAcked removes the acknowledged indexes of members that are not in list:
// a removed member that is added again starts with an empty log.
func (r *Replica) pruneAcked(list []Member) {
	maps.DeleteFunc(r.acked, func(identity, _ uint64) bool { return !hasIdentity(list, identity) })
}

func hasIdentity(list []Member, identity uint64) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.Identity == identity })
}

// membershipAt returns the membership as of an index. Memberships before the
// last committed one are dropped.
func (r *Replica) membershipAt(index uint64) []Member {
	var list []Member
	for _, c := range r.memberships {
		if c.index <= index {
			list = c.members
		}
	}
	return list
}

func (r *Replica) pruneMemberships() {
	for len(r.memberships) > 1 && r.memberships[1].index <= r.snapIndex {
		r.memberships = r.memberships[1:]
	}
}

// recordAcked records which committed entries each disk has acknowledged. The
// key is the disk identity and not the host: a delayed message about a lost
// disk does not apply to its replacement.
func (r *Replica) recordAcked(acked map[uint64]uint64) {
	for identity, index := range acked {
		if index > r.acked[identity] && hasIdentity(r.members(), identity) {
			r.acked[identity] = index
			r.ackedVersion++
		}
	}
}
