package transport

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"
)

// Each direction of a stream carries exactly one frame:
//
//	length   4 bytes, big endian, of the payload
//	version  1 byte
//	checksum 8 bytes, big endian, xxhash64 of version and payload
//	payload  CBOR of request or reply, compressed in version 2
const (
	frameVersion           = 1
	compressedFrameVersion = 2
	headerSize             = 4 + 1 + 8
	// maxFrame limits the memory that a peer can make this host allocate per
	// stream, and the payload before compression. The largest bodies are
	// replicated commands of up to 4 MB.
	maxFrame = 5 << 20
	// firstPiece is the size of the buffer with which a frame begins. frameCopies is how
	// often the bytes of a frame are in memory while the call is handled: as received,
	// as the body of the request and decoded by the handler.
	firstPiece  = 2 << 10
	frameCopies = 3
	// largestCall is the memory of a call with the largest frame, which is held both
	// compressed and decompressed.
	largestCall = frameCopies * (2*maxFrame + 1)
	// minCompressed is the size of a payload from which it is compressed.
	minCompressed = 4 << 10
)

// Reasons for refusing a frame; they are values of a metrics label.
var (
	errTooLong  = errors.New("too long")
	errVersion  = errors.New("unknown version")
	errChecksum = errors.New("wrong checksum")
	errTrailing = errors.New("trailing bytes")
	errShort    = errors.New("cut short")
	errPayload  = errors.New("unreadable payload")
)

// encodeFrame returns a frame. The payload is compressed if the peer can decompress
// it and that makes the frame smaller.
func encodeFrame(payload []byte, compress bool) ([]byte, error) {
	if len(payload) > maxFrame {
		return nil, errTooLong
	}
	version := byte(frameVersion)
	if compress && len(payload) >= minCompressed {
		if small := s2.Encode(nil, payload); len(small) < len(payload) {
			version, payload = compressedFrameVersion, small
		}
	}
	b := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	b[4] = version
	binary.BigEndian.PutUint64(b[5:], checksum(version, payload))
	return append(b, payload...), nil
}

func checksum(version byte, payload []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{version})
	_, _ = d.Write(payload)
	return d.Sum64()
}

// unlimited reserves nothing. The reply to a call of this host is not limited, since
// the caller's own number of calls is.
func unlimited(int64) error { return nil }

// decodeFrame reads one frame up to the end of the stream. It allocates memory
// for the bytes received, not for the length in the header, after it has reserved it.
func decodeFrame(r io.Reader, reserve func(n int64) error) ([]byte, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, errShortOr(err)
	}
	n := binary.BigEndian.Uint32(h[:])
	switch {
	case n > maxFrame:
		return nil, errTooLong
	case h[4] != frameVersion && h[4] != compressedFrameVersion:
		return nil, errVersion
	}
	payload, err := readPayload(io.LimitReader(r, int64(n)+1), int64(n)+1, reserve)
	switch {
	case err != nil:
		return nil, err
	case len(payload) < int(n):
		return nil, errShort
	case len(payload) > int(n):
		return nil, errTrailing
	case checksum(h[4], payload) != binary.BigEndian.Uint64(h[5:]):
		return nil, errChecksum
	case h[4] == compressedFrameVersion:
		return decompress(payload, reserve)
	}
	return payload, nil
}

// readPayload reads r to its end, which is after at most limit bytes.
func readPayload(r io.Reader, limit int64, reserve func(n int64) error) ([]byte, error) {
	size := min(limit, firstPiece)
	if err := reserve(size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			if size = min(limit, 2*size); int64(len(buf)) == size {
				return buf, nil // one byte beyond the declared length
			}
			if err := reserve(size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(buf), size)
			copy(grown, buf)
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// decompress checks the length that the payload declares before it allocates memory
// for it.
func decompress(payload []byte, reserve func(n int64) error) ([]byte, error) {
	n, err := s2.DecodedLen(payload)
	if err != nil {
		return nil, errPayload
	}
	if n > maxFrame {
		return nil, errTooLong
	}
	if err := reserve(int64(len(payload) + n)); err != nil {
		return nil, err
	}
	b, err := s2.Decode(nil, payload)
	if err != nil {
		return nil, errPayload
	}
	return b, nil
}

func errShortOr(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errShort
	}
	return err
}

// isFormatError reports whether err is a violation of the frame format, as
// opposed to a failure of the stream.
func isFormatError(err error) bool {
	return errors.IsAny(err, errTooLong, errVersion, errChecksum, errTrailing, errShort, errPayload)
}
