package carawayshift

import "time"

// Zone is an availability zone.
type Zone struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Region string `cbor:"2,keyasint" json:"region"`
	// Drained is true while operators have taken the zone out of service.
	Drained bool `cbor:"3,keyasint,omitempty" json:"out,omitempty"`
	// Changed is the time of the last drain or return.
	Changed time.Time `cbor:"4,keyasint,omitempty" json:"changed"`
	// Reason is the operator's reason for the last drain or return.
	Reason string `cbor:"5,keyasint,omitempty" json:"because,omitempty"`
	// By is the operator of the last drain or return.
	By string `cbor:"6,keyasint,omitempty" json:"by,omitempty"`
}
