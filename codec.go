package carawayshift

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder. Input that exceeds them is rejected before memory
// is allocated for it.
const (
	maxNesting = 16
	// maxElements covers a snapshot's largest table: a month of jobs at 5,900
	// a day.
	maxElements = 1 << 18
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	opts.TimeTag = cbor.EncTagNone
	m, err := opts.EncMode()
	if err != nil {
		panic(errors.Wrap(err, "carawayshift.mustEncMode"))
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "carawayshift.mustDecMode"))
	}
	return m
}

// Encode returns the deterministic CBOR form of v: equal values give equal
// bytes, times are in UTC with nanoseconds.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Wrap(err, "carawayshift.Encode")
}

// Decode reads the CBOR form of v. An error has kind Malformed.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return errors.WithSecondaryError(
			NewError(Malformed, "not a valid record: "+err.Error(), "upgrade the older host, or restore the file"), err,
		)
	}
	return nil
}
