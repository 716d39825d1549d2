package leaderclient

import "carawayshift.example/carawayshift"

// method is the transport method for requests to the leader.
const method = "relay.call"

// Operations of a request.
const (
	opSubmit       = "submit"
	opState        = "state"
	opCancel       = "cancel"
	opWaiting      = "waiting"
	opReplace      = "replace"
	opCatalog      = "catalog"
	opZone         = "zone"
	opReport       = "report"
	opReports      = "reports"
	opLeave        = "leave"
	opMembers      = "members"
	opWave         = "wave"
	opWaveComplete = "waved"
	opRecall       = "recall"
	opKeep         = "keep"
)

// request is a request to the leader. Op determines which fields are set.
type request struct {
	Op      string                `cbor:"1,keyasint"`
	At      carawayshift.Address  `cbor:"2,keyasint"`
	Batch   *carawayshift.Batch   `cbor:"3,keyasint,omitempty"`
	Catalog *carawayshift.Catalog `cbor:"4,keyasint,omitempty"`
	Agent   *carawayshift.Agent   `cbor:"5,keyasint,omitempty"`
	// Name is the name of a zone or the ID of a runner.
	Name string `cbor:"6,keyasint,omitempty"`
	// Out is true to take the zone out of service, and false to return it.
	Out  bool               `cbor:"7,keyasint,omitempty"`
	Wave *carawayshift.Wave `cbor:"9,keyasint,omitempty"`
	// Incarnation is that of the runner that leaves, 0 if it is not known.
	Incarnation int64 `cbor:"10,keyasint,omitempty"`
	// Agents holds the reports of several runners.
	Agents []carawayshift.Agent `cbor:"11,keyasint,omitempty"`
	// Reports holds reports that the leader received itself, for the host to keep.
	Reports []carawayshift.AgentReport `cbor:"12,keyasint,omitempty"`
	// Speeds holds speeds of runners that the leader has learned, for the host to keep.
	Speeds []carawayshift.RunnerSpeed `cbor:"14,keyasint,omitempty"`
	// Relayed is set on a request that an entry host passes on for another one.
	Relayed bool `cbor:"13,keyasint,omitempty"`
	// Forwarded is set on a request that a control host forwards to the leader.
	Forwarded bool `cbor:"8,keyasint,omitempty"`
}

// reply is the response of the leader, or of a control host that could not
// reach the leader.
type reply struct {
	State carawayshift.BatchState `cbor:"1,keyasint,omitempty"`
	// Count is the number of waiting batches, or 1 if the wave is complete.
	Count  int               `cbor:"2,keyasint,omitempty"`
	Source []byte            `cbor:"3,keyasint,omitempty"`
	Kind   carawayshift.Kind `cbor:"4,keyasint,omitempty"`
	Text   string            `cbor:"5,keyasint,omitempty"`
	Remedy string            `cbor:"6,keyasint,omitempty"`
	// Leader and Members are the leader and the control hosts that the
	// responding host knows.
	Leader  string   `cbor:"7,keyasint,omitempty"`
	Members []string `cbor:"8,keyasint,omitempty"`
	// Reports holds the runners' reports that the responding host delivered
	// recently.
	Reports []carawayshift.AgentReport `cbor:"9,keyasint,omitempty"`
	// Term is the term of Leader, 0 if the host runs an earlier release.
	Term uint64 `cbor:"10,keyasint,omitempty"`
	// Speeds holds the speeds of runners that the responding host knows.
	Speeds []carawayshift.RunnerSpeed `cbor:"12,keyasint,omitempty"`
	// Relays names some entry hosts.
	Relays []string `cbor:"11,keyasint,omitempty"`
}

func (r reply) err() error {
	if r.Kind == "" {
		return nil
	}
	return carawayshift.NewError(r.Kind, r.Text, r.Remedy)
}
