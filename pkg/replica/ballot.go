package replica

// ballot counts the votes of an election or a pre-vote.
type ballot struct {
	voters, granted, conditional, refused int
	instances                             map[string]uint64 // of the voters that granted, by host
}

func newBallot(voters int) *ballot { return &ballot{voters: voters, instances: map[string]uint64{}} }

// add counts the reply of a voter, which is the zero value if it did not answer.
func (b *ballot) add(host string, reply voteReply) {
	switch {
	case !reply.Granted:
		b.refused++
		return
	case reply.Conditional:
		b.conditional++
	default:
		b.granted++
	}
	b.instances[host] = reply.Instance
}

// won reports whether a majority granted its vote without a condition, or all voters
// granted it: then none of them leads, and none has heard of a leader since it
// started.
func (b *ballot) won() bool { return b.granted >= majority(b.voters) || b.unanimous() }

// wonLater reports whether the pre-vote is won if the voters that have just started
// grant it again later.
func (b *ballot) wonLater() bool { return b.granted+b.conditional >= majority(b.voters) }

func (b *ballot) unanimous() bool { return b.granted+b.conditional == b.voters }

// open reports whether the ballot can still be won with the replies of left voters.
func (b *ballot) open(left int) bool { return b.refused == 0 || b.granted+left >= majority(b.voters) }
