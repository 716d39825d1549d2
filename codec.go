package carawayshift

import (
	"math"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder. Input that exceeds them is rejected before memory
// is allocated for it.
const (
	maxNesting = 16
	// maxElements covers the largest table of a message: a month of jobs at 5,900
	// a day.
	maxElements = 1 << 18
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements})
	// snapshotMode reads all that encMode writes, of any size.
	snapshotMode = mustDecMode(cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, UTF8: cbor.UTF8DecodeInvalid})
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

func mustDecMode(opts cbor.DecOptions) cbor.DecMode {
	opts.MaxNestedLevels = maxNesting
	opts.DupMapKey = cbor.DupMapKeyEnforcedAPF
	opts.IndefLength = cbor.IndefLengthForbidden
	m, err := opts.DecMode()
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
func Decode(b []byte, v any) error { return decode(decMode, b, v) }

// DecodeSnapshot reads what Encode wrote, without a limit to the number of elements:
// a host must be able to read the snapshots of its own state. It is not for input
// of others, who could make the host allocate much memory.
func DecodeSnapshot(b []byte, v any) error { return decode(snapshotMode, b, v) }

func decode(mode cbor.DecMode, b []byte, v any) error {
	if err := mode.Unmarshal(b, v); err != nil {
		return errors.WithSecondaryError(
			NewError(Malformed, "not a valid record: "+err.Error(), "upgrade the older host, or restore the file"), err,
		)
	}
	return nil
}
