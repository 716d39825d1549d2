package replica

import (
	"context"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
)

// Methods of the transport.
const (
	methodHello    = "replica.hello"
	methodVote     = "replica.vote"
	methodAppend   = "replica.append"
	methodSnapshot = "replica.snapshot"
	methodElect    = "replica.elect"
	methodPropose  = "replica.propose"
	methodBarrier  = "replica.barrier"
	methodChange   = "replica.change"
	methodDisk     = "replica.disk"
)

// helloReply identifies a host and its group. Membership is nil as long as the
// host has never belonged to a group.
type helloReply struct {
	Identity   uint64 `cbor:"1,keyasint"`
	Membership []byte `cbor:"2,keyasint,omitempty"`
	Fresh      bool   `cbor:"3,keyasint,omitempty"`
	Region     string `cbor:"4,keyasint,omitempty"`
}

type voteRequest struct {
	Term      uint64 `cbor:"1,keyasint"`
	LastIndex uint64 `cbor:"2,keyasint"`
	LastTerm  uint64 `cbor:"3,keyasint"`
	Identity  uint64 `cbor:"4,keyasint"`
	// Pre marks a pre-vote: the voter replies whether it would grant the vote,
	// and changes no state.
	Pre bool `cbor:"5,keyasint,omitempty"`
	// Transfer is true when the leader requested this election.
	Transfer bool `cbor:"6,keyasint,omitempty"`
	// Instance is set when all voters have granted the pre-vote. It is the voter's
	// own, from its reply.
	Instance uint64 `cbor:"7,keyasint,omitempty"`
}

type voteReply struct {
	Term      uint64 `cbor:"1,keyasint"`
	Granted   bool   `cbor:"2,keyasint,omitempty"`
	Identity  uint64 `cbor:"3,keyasint"`
	LastIndex uint64 `cbor:"4,keyasint"`
	// Acked holds the index that each member is known to have on disk, by
	// identity. It lets a candidate refuse the vote of a member whose data
	// folder is older.
	Acked map[uint64]uint64 `cbor:"5,keyasint,omitempty"`
	// Conditional is true for a pre-vote of a voter that has just started: it votes
	// only if all voters grant the pre-vote. Instance identifies its process.
	Conditional bool   `cbor:"6,keyasint,omitempty"`
	Instance    uint64 `cbor:"7,keyasint,omitempty"`
}

type wireEntry struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Kind uint8
	Data []byte
}

type appendRequest struct {
	Term     uint64 `cbor:"1,keyasint"`
	Prev     uint64 `cbor:"2,keyasint,omitempty"`
	PrevTerm uint64 `cbor:"3,keyasint,omitempty"`
	Commit   uint64 `cbor:"4,keyasint,omitempty"`
	// To is the disk identity of the receiver in the leader's membership.
	To      uint64      `cbor:"5,keyasint"`
	Entries []wireEntry `cbor:"6,keyasint,omitempty"`
	// Acked is sent with a new commit index, and with the next heartbeat after
	// a member has caught up.
	Acked map[uint64]uint64 `cbor:"7,keyasint,omitempty"`
	// Refused is true when the receiver's data folder is older than what it
	// acknowledged.
	Refused bool `cbor:"8,keyasint,omitempty"`
}

type appendReply struct {
	Term     uint64 `cbor:"1,keyasint"`
	Identity uint64 `cbor:"2,keyasint"`
	// Index is the last index known to match when OK, otherwise the index
	// after which the leader should try next.
	Index uint64 `cbor:"3,keyasint,omitempty"`
	OK    bool   `cbor:"4,keyasint,omitempty"`
	// Last is the receiver's last index when not OK.
	Last uint64 `cbor:"5,keyasint,omitempty"`
}

// snapshotRequest carries one chunk of a snapshot. Offset 0 starts a new
// transfer.
type snapshotRequest struct {
	Term       uint64 `cbor:"1,keyasint"`
	To         uint64 `cbor:"2,keyasint"`
	Index      uint64 `cbor:"3,keyasint"`
	LastTerm   uint64 `cbor:"4,keyasint"`
	Membership []byte `cbor:"5,keyasint,omitempty"`
	Offset     int    `cbor:"6,keyasint,omitempty"`
	Data       []byte `cbor:"7,keyasint,omitempty"`
	Done       bool   `cbor:"8,keyasint,omitempty"`
}

// diskCheck asks a host to write to its disk, and is the reply as well.
type diskCheck struct{}

type electRequest struct {
	Term uint64 `cbor:"1,keyasint"`
}

// proposeRequest carries the caller's remaining time and not a deadline, because
// the hosts' clocks differ.
//
// Nonce is different for each call: by it the leader detects a duplicated
// message, also one that it refused the first time.
type proposeRequest struct {
	RemainingMs int64  `cbor:"1,keyasint"`
	Data        []byte `cbor:"2,keyasint"`
	Nonce       uint64 `cbor:"3,keyasint"`
}

type barrierReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

type changeRequest struct {
	RemainingMs int64  `cbor:"1,keyasint"`
	Op          string `cbor:"2,keyasint"`
	Host        string `cbor:"3,keyasint"`
}

func toWire(entries []journal.Entry) []wireEntry {
	list := make([]wireEntry, 0, len(entries))
	for _, e := range entries {
		list = append(list, wireEntry{Term: e.Term, Kind: e.Kind, Data: e.Data})
	}
	return list
}

func fromWire(prev uint64, list []wireEntry) []journal.Entry {
	entries := make([]journal.Entry, 0, len(list))
	for i, e := range list {
		entries = append(entries, journal.Entry{Index: prev + uint64(i) + 1, Term: e.Term, Kind: e.Kind, Data: e.Data})
	}
	return entries
}

// call encodes the request, calls the host and decodes the reply.
func (r *Replica) call(ctx context.Context, host, method string, req, reply any) error {
	body, err := carawayshift.Encode(req)
	if err != nil {
		return err
	}
	b, err := r.transport.Call(ctx, host, method, body)
	if err != nil {
		return err
	}
	return carawayshift.Decode(b, reply)
}

// unavailable returns the error of an operation that can't succeed until a
// condition changes.
func unavailable(text, remedy string) error {
	return carawayshift.NewError(carawayshift.Unavailable, text, remedy)
}

func notRun(text, remedy string) error {
	return carawayshift.NewError(carawayshift.NotRun, text, remedy)
}

func outcomeUnknown(text string) error {
	return carawayshift.NewError(carawayshift.OutcomeUnknown, text, "resend the command with the same id")
}

const retryRemedy = "try again in a few seconds"
