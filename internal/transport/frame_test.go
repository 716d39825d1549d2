package transport

import (
	"bytes"
	"testing"
)

// FuzzDecodeFrame guards against a decoder that panics, accepts a frame that
// encodeFrame would not write, or keeps more than maxFrame bytes.
func FuzzDecodeFrame(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		payload, err := decodeFrame(bytes.NewReader(b))
		if err != nil {
			if !isRefused(err) {
				t.Fatalf("a complete input failed with %v", err)
			}
			return
		}
		again, err := encodeFrame(payload)
		if err != nil || !bytes.Equal(again, b) {
			t.Fatalf("accepted % x, which encodes as % x, %v", b, again, err)
		}
	})
}
