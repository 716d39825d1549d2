package leaderclient

import "carawayshift.example/carawayshift"

// method is the transport's name of a call to the leader.
const method = "relay.call"

// Operations of a request.
const (
	opSubmit  = "submit"
	opState   = "state"
	opCancel  = "cancel"
	opWaiting = "waiting"
	opReplace = "replace"
	opCatalog = "catalog"
	opZone    = "zone"
	opReport  = "report"
	opLeave   = "leave"
	opMembers = "members"
	opWave    = "wave"
	opWaved   = "waved"
	opRecall  = "recall"
)

// request is one call for the leader. Which fields are set depends on Op.
type request struct {
	Op      string                `cbor:"1,keyasint"`
	At      carawayshift.Address  `cbor:"2,keyasint"`
	Batch   *carawayshift.Batch   `cbor:"3,keyasint,omitempty"`
	Catalog *carawayshift.Catalog `cbor:"4,keyasint,omitempty"`
	Agent   *carawayshift.Agent   `cbor:"5,keyasint,omitempty"`
	// Name is a zone or a runner.
	Name string             `cbor:"6,keyasint,omitempty"`
	Out  bool               `cbor:"7,keyasint,omitempty"`
	Wave *carawayshift.Wave `cbor:"9,keyasint,omitempty"`
	// Passed is set on a request that a control host passes on to the leader.
	Passed bool `cbor:"8,keyasint,omitempty"`
}

// reply is the leader's answer, or the answer of a control host that could not
// reach it.
type reply struct {
	State  carawayshift.BatchState `cbor:"1,keyasint,omitempty"`
	Count  int                     `cbor:"2,keyasint,omitempty"`
	Source []byte                  `cbor:"3,keyasint,omitempty"`
	Kind   carawayshift.Kind       `cbor:"4,keyasint,omitempty"`
	Text   string                  `cbor:"5,keyasint,omitempty"`
	Remedy string                  `cbor:"6,keyasint,omitempty"`
	// Leader and Members are the control hosts that the answering one knows.
	Leader  string   `cbor:"7,keyasint,omitempty"`
	Members []string `cbor:"8,keyasint,omitempty"`
	// Sightings are the reports that the answering host has passed on lately.
	Sightings []carawayshift.AgentReport `cbor:"9,keyasint,omitempty"`
}

func (r reply) err() error {
	if r.Kind == "" {
		return nil
	}
	return carawayshift.NewError(r.Kind, r.Text, r.Remedy)
}
