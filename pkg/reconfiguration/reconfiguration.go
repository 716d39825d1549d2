// Package reconfiguration decides how the membership of a replicated group changes when
// hosts lose their disks, are lost for good or join.
//
// # Usage
//
//	a, ok := reconfiguration.Next(reconfiguration.View{Members: members, Joiners: joiners, DesiredVoters: 3, FailureTimeout: 5*time.Second})
//
// One change is decided at a time. The replicated log refuses a removal that
// would leave no healthy majority, and the promotion of a learner that has not
// caught up; this package chooses what to try.
package reconfiguration

import (
	"cmp"
	"slices"
	"time"
)

// Op is a change of the membership.
type Op string

// Changes of the membership.
const (
	Add     Op = "add"
	Promote Op = "promote"
	Remove  Op = "remove"
)

// Action is one change.
type Action struct {
	Op     Op
	Host   string
	Reason string
}

// Member is a member of the group as the leader sees it.
type Member struct {
	Host     string
	Identity uint64
	Voter    bool
	// SinceContact is the time since the member last answered.
	SinceContact time.Duration
	// CaughtUp says that it holds every committed entry on its disk.
	CaughtUp bool
	Self     bool
}

// Joiner is a host that asks to be added.
type Joiner struct {
	Host     string
	Identity uint64
}

// View is the input of a decision.
type View struct {
	Members []Member
	Joiners []Joiner
	// DesiredVoters is the number of voters to keep.
	DesiredVoters int
	// FailureTimeout is how long a voter may be silent before another host takes
	// its place: a restart or a cut that heals must not cost a voter its seat.
	FailureTimeout time.Duration
}

// maxLearners bounds the hosts that get the log without a vote.
const maxLearners = 3

// Next returns the next change, if one is due.
func Next(v View) (Action, bool) {
	for _, step := range []func(View) (Action, bool){replaceDisk, promote, removeFailed, add} {
		if a, ok := step(v); ok {
			return a, true
		}
	}
	return Action{}, false
}

// replaceDisk removes a member whose host asks to join with another disk: the
// disk that the member stands for is gone.
func replaceDisk(v View) (Action, bool) {
	for _, m := range v.Members {
		i := slices.IndexFunc(v.Joiners, func(j Joiner) bool { return j.Host == m.Host })
		if i >= 0 && v.Joiners[i].Identity != m.Identity && !m.Self {
			return Action{Remove, m.Host, "its host has another disk"}, true
		}
	}
	return Action{}, false
}

// promote gives a learner that has caught up a vote when one is missing, or
// when a voter has been silent for too long.
func promote(v View) (Action, bool) {
	voters := v.voters()
	if len(voters) >= v.DesiredVoters && len(v.failed()) == 0 {
		return Action{}, false
	}
	if len(voters) > v.DesiredVoters {
		return Action{}, false
	}
	for _, m := range v.Members {
		if !m.Voter && m.CaughtUp && m.SinceContact < v.FailureTimeout {
			return Action{Promote, m.Host, "a voter is missing"}, true
		}
	}
	return Action{}, false
}

// removeFailed takes the vote of a silent voter once there are more voters
// than wanted.
func removeFailed(v View) (Action, bool) {
	silent := v.failed()
	if len(v.voters()) <= v.DesiredVoters || len(silent) == 0 {
		return Action{}, false
	}
	longest := slices.MaxFunc(silent, func(a, b Member) int { return cmp.Compare(a.SinceContact, b.SinceContact) })
	return Action{Remove, longest.Host, "it has been silent and another voter has its place"}, true
}

// add makes a host that asks a learner.
func add(v View) (Action, bool) {
	learners := len(v.Members) - len(v.voters())
	if learners >= maxLearners {
		return Action{}, false
	}
	for _, j := range v.Joiners {
		if !slices.ContainsFunc(v.Members, func(m Member) bool { return m.Host == j.Host }) {
			return Action{Add, j.Host, "it asks to join"}, true
		}
	}
	return Action{}, false
}

func (v View) voters() []Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return !m.Voter })
}

// failed returns the voters that have been failed for longer than the patience.
func (v View) failed() []Member {
	return slices.DeleteFunc(v.voters(), func(m Member) bool { return m.Self || m.SinceContact <= v.FailureTimeout })
}
