package intake

import (
	"net/http"
	"time"
)

// writePiece is the size of the pieces in which a response is written, each with its
// own time limit.
const writePiece = 64 << 10

// responseWriter closes the connection of a client that does not read its response.
type responseWriter struct {
	http.ResponseWriter
	conn    *connection
	limits  Limits
	control *http.ResponseController
}

// Unwrap is used by http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) Write(b []byte) (int, error) {
	size := writePiece
	if len(b) > sendPiece && !w.conn.sendMuch() {
		size = sendPiece
	}
	total := 0
	for {
		if total%writePiece == 0 {
			w.extend()
		}
		piece := b[:min(len(b), size)]
		n, err := w.ResponseWriter.Write(piece)
		total += n
		b = b[len(piece):]
		if err != nil || len(b) == 0 {
			return total, err
		}
	}
}

// extend allows the client the time for one piece.
func (w *responseWriter) extend() {
	w.conn.writing()
	// A connection without deadlines is one of a test.
	_ = w.control.SetWriteDeadline(time.Now().Add(w.limits.pieceTime()))
}

// finish bounds the time for writing what is still buffered once the handler has
// returned.
func (w *responseWriter) finish() { w.extend() }

// closeAfterwards closes the connection after the response, without reading the rest
// of the request.
func (w *responseWriter) closeAfterwards() {
	w.Header().Set("Connection", "close")
	_ = w.control.SetReadDeadline(time.Unix(1, 0))
}
