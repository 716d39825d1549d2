package carawayshift

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a field of Command that encoding drops or changes, so that it
// would be wrong in the log.
func TestCommandRoundTrip(t *testing.T) {
	g := NewWithT(t)
	at := time.Date(2026, 12, 4, 2, 0, 0, 123456789, time.UTC)
	want := Command{
		ID: "a1", Kind: CreateJob, IfVersion: 7, By: "night", At: at,
		Job:    &Job{ID: 3, Name: "mask", Team: "carnival", Tasks: 4, Accelerators: 8, Due: at, Declared: time.Hour, Submitted: at, State: JobWaiting},
		Change: &JobChange{ID: 3, Attempt: 2, Placements: []TaskPlacement{{Task: 1, Worker: "w1", Accelerators: 8}}},
	}
	b, err := Encode(want)
	g.Expect(err).NotTo(HaveOccurred())
	var got Command
	g.Expect(Decode(b, &got)).To(Succeed())
	g.Expect(got).To(Equal(want))
}

// Guards against a decoder that accepts truncated input, trailing bytes or
// indefinite lengths.
func TestDecodeRejectsMalformedInput(t *testing.T) {
	b, err := Encode(Answer{ID: "a", Version: 3})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		give []byte
	}{
		{"empty", nil},
		{"cut", b[:len(b)-1]},
		{"trailing", append(append([]byte{}, b...), 0)},
		{"indefinite length", []byte{0xbf, 0xff}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			var a Answer
			g.Expect(KindOf(Decode(tt.give, &a))).To(Equal(Malformed))
		})
	}
}
