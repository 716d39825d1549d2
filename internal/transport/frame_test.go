package transport

import (
	"bytes"
	"testing"
)

// The decoder must not panic, accept a frame that encodeFrame would not write,
// or return more than maxFrame bytes.
func FuzzDecodeFrame(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		payload, err := decodeFrame(bytes.NewReader(b))
		if err != nil {
			if !isFormatError(err) {
				t.Fatalf("want a format error, got %v", err)
			}
			return
		}
		again, err := encodeFrame(payload)
		if err != nil || !bytes.Equal(again, b) {
			t.Fatalf("accepted % x, which encodes as % x, %v", b, again, err)
		}
	})
}
