package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// heldCopies is how often the bytes of a body are in memory while it is handled:
	// as received, as read by the handler, and encoded for another host or the log.
	heldCopies = 3
	// elementSize is the memory of one element of a list once it is decoded: the largest
	// decoded types have about 250 bytes, and a list that grows is copied. memberSize is
	// that of one member of an object.
	elementSize = 640
	memberSize  = 32
	// maxDepth is the depth from which the decoder refuses a text.
	maxDepth = 10_000
	// deadlineStep is the least change of a deadline that is passed on to a connection.
	deadlineStep = 500 * time.Millisecond
)

var (
	errSlow    = errors.New("the body did not move on")
	errTooLong = errors.New("the declared length exceeds the limit")
	errBusy    = errors.New("too many requests are being handled")
)

// bodyReader describes how a body is read.
type bodyReader struct {
	// length is the declared length, -1 if it is unknown. limit is the number of bytes
	// after which reading ends.
	length, limit int64
	// reserve is called with the memory that the body takes, before it is allocated.
	reserve func(n int64) error
	// deadline sets the time until which the connection may be read.
	deadline func(time.Time)
	// A body of n bytes may take stall and n / pace, in bytes per second.
	stall time.Duration
	pace  int64
}

// readAll reads a body. Its memory grows with the bytes that have arrived, not with
// the declared length.
func readAll(r io.Reader, o bodyReader) ([]byte, error) {
	limit := o.limit
	if o.length >= 0 {
		limit = min(limit, o.length)
	}
	size := min(limit, firstPiece)
	if err := o.reserve(2 * size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	begin := time.Now()
	var due time.Time
	for int64(len(buf)) < limit {
		if len(buf) == cap(buf) {
			size = min(limit, 4*int64(cap(buf)))
			if err := o.reserve(2 * size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(buf), size)
			copy(grown, buf)
			buf = grown
		}
		next := begin.Add(o.stall + time.Duration(int64(len(buf))*int64(time.Second)/o.pace))
		if next.Sub(due) >= deadlineStep {
			due = next
			o.deadline(due)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, readError(err)
		}
	}
	return buf, nil
}

// received is a body that was read before the handler was called.
type received struct {
	*bytes.Reader
	body    []byte
	arrived time.Time
}

func (*received) Close() error { return nil }

// ReadAll returns at most limit bytes of the body of a request, without a copy if it was
// read before the handler was called.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	if b, ok := body.(*received); ok {
		return b.body[:min(int64(len(b.body)), limit)], nil
	}
	return io.ReadAll(io.LimitReader(body, limit))
}

// Arrival returns when the headers of a request had arrived, from which the caller's
// deadline counts. Without a body that was read before, it returns the present time.
func Arrival(r *http.Request) time.Time {
	if b, ok := r.Body.(*received); ok {
		return b.arrived
	}
	return time.Now()
}

func readError(err error) error {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return errSlow
	}
	return err
}

// decodedSize estimates the memory of a decoded JSON text from its lists and objects.
// It is a bound for what the handlers decode, and 0 for other texts.
func decodedSize(b []byte) int64 {
	var size int64
	// inList holds, for each open list or object, whether it is a list.
	var inList []bool
	inText := false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case inText:
		case c == '{' || c == '[':
			if len(inList) == maxDepth {
				return size
			}
			inList = append(inList, c == '[')
			size += elementSize
		case c == '}' || c == ']':
			if len(inList) > 0 {
				inList = inList[:len(inList)-1]
			}
		case c == ',':
			if len(inList) > 0 && inList[len(inList)-1] {
				size += elementSize
			} else {
				size += memberSize
			}
		}
	}
	return size
}
