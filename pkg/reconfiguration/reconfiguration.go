// Package reconfiguration decides how the membership of a replicated group
// changes when hosts lose their disks, fail permanently or join, and which region
// leads it.
//
// # Usage
//
//	a, ok := reconfiguration.Next(reconfiguration.View{Members: members, Joiners: joiners, DesiredVoters: 3, FailureTimeout: 5*time.Second})
//
// Next returns one change at a time. The replicated log checks each change: it
// refuses a removal that would leave no healthy majority, and the promotion of a
// learner that has not caught up.
package reconfiguration

import (
	"cmp"
	"slices"
	"time"
)

// Op is the kind of a membership change.
type Op string

// Kinds of membership changes.
const (
	Add     Op = "add"
	Promote Op = "promote"
	Remove  Op = "remove"
	// Transfer moves the leadership to Action.Host.
	Transfer Op = "transfer"
)

// Action is a membership change. Reason is the text for the log.
type Action struct {
	Op     Op
	Host   string
	Reason string
}

// Member is a member of the group with the state that the leader knows.
type Member struct {
	Host     string
	Identity uint64
	Voter    bool
	// SinceContact is the time since the member last answered.
	SinceContact time.Duration
	// CaughtUp is true when the member holds every committed entry on its disk.
	CaughtUp bool
	// Self marks the host that decides, the leader.
	Self bool
	// Region may be empty if it is not known.
	Region string
}

// Joiner is a host that requests to be added.
type Joiner struct {
	Host     string
	Identity uint64
}

// View is the state of the group that a decision is based on.
type View struct {
	Members []Member
	Joiners []Joiner
	// DesiredVoters is the desired number of voters.
	DesiredVoters int
	// FailureTimeout is the time without an answer after which a voter is
	// replaced. It must be longer than a restart and a short network partition,
	// after which a host must still be a voter.
	FailureTimeout time.Duration
	// HomeRegion is the region of most voters, "" if none has a majority of them.
	HomeRegion string
	// Transferable is true when the leadership may be transferred now.
	Transferable bool
}

// maxLearners is the maximum number of learners: members that receive the log
// without a vote.
const maxLearners = 3

// transferContact is how recently a voter must have answered to become the leader: it
// exceeds the heartbeat interval and the round trip between regions.
const transferContact = 400 * time.Millisecond

// Next returns the next change, or false when none is due.
func Next(v View) (Action, bool) {
	for _, step := range []func(View) (Action, bool){replaceDisk, promote, removeFailed, add, transfer} {
		if a, ok := step(v); ok {
			return a, true
		}
	}
	return Action{}, false
}

// replaceDisk removes a member whose host requests to join with another disk: the
// member's own disk is lost.
func replaceDisk(v View) (Action, bool) {
	for _, m := range v.Members {
		i := slices.IndexFunc(v.Joiners, func(j Joiner) bool { return j.Host == m.Host })
		if i >= 0 && v.Joiners[i].Identity != m.Identity && !m.Self {
			return Action{Remove, m.Host, "its host has another disk"}, true
		}
	}
	return Action{}, false
}

// promote makes a learner that has caught up a voter when there are fewer voters
// than desired, or when one of them has failed.
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
			return Action{Promote, m.Host, "a voter is missing or does not answer"}, true
		}
	}
	return Action{}, false
}

// removeFailed removes a failed voter once there are more voters than desired.
func removeFailed(v View) (Action, bool) {
	failed := v.failed()
	if len(v.voters()) <= v.DesiredVoters || len(failed) == 0 {
		return Action{}, false
	}
	longest := slices.MaxFunc(failed, func(a, b Member) int { return cmp.Compare(a.SinceContact, b.SinceContact) })
	return Action{Remove, longest.Host, "it does not answer and another voter has replaced it"}, true
}

// add makes a host that requests to join a learner.
func add(v View) (Action, bool) {
	learners := len(v.Members) - len(v.voters())
	if learners >= maxLearners {
		return Action{}, false
	}
	for _, j := range v.Joiners {
		if !slices.ContainsFunc(v.Members, func(m Member) bool { return m.Host == j.Host }) {
			return Action{Add, j.Host, "it requests to join"}, true
		}
	}
	return Action{}, false
}

// transfer moves the leadership into the region with a majority of the voters. A leader
// elsewhere waits a round trip between regions for each commit, which delays the
// acceptance, start and end of every job.
func transfer(v View) (Action, bool) {
	self := slices.IndexFunc(v.Members, func(m Member) bool { return m.Self })
	if !v.Transferable || v.HomeRegion == "" || self < 0 || v.Members[self].Region == v.HomeRegion {
		return Action{}, false
	}
	for _, m := range v.voters() {
		if m.Region == v.HomeRegion && m.CaughtUp && m.SinceContact < transferContact {
			return Action{Transfer, m.Host, "most voters are in its region"}, true
		}
	}
	return Action{}, false
}

func (v View) voters() []Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return !m.Voter })
}

// failed returns the voters that have not answered for longer than
// FailureTimeout.
func (v View) failed() []Member {
	return slices.DeleteFunc(v.voters(), func(m Member) bool { return m.Self || m.SinceContact <= v.FailureTimeout })
}
