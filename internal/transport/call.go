package transport

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
)

const (
	codeCancelled quic.StreamErrorCode = 1
	codeRefused   quic.StreamErrorCode = 2

	// deadAfter is how long a call must have waited without a single packet
	// from the peer before its connection counts as dead. Acknowledgements
	// arrive within one round trip, 40 ms between regions.
	deadAfter = time.Second
	// maxWait bounds the work for a caller that names no deadline, and the
	// time for which a peer can hold an unfinished request.
	maxWait = 5 * time.Minute
	// readWait bounds the arrival of a request of at most maxFrame bytes;
	// 2 MB take 0.6 s on an otherwise idle link of 30 Mbit/s.
	readWait = 20 * time.Second
)

type request struct {
	Method string `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
	// Wait is how long the caller waits from the moment of sending.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
}

type reply struct {
	Body []byte `cbor:"1,keyasint,omitempty"`
	// Failed is set when the handler returned an error, with or without Kind.
	Failed bool              `cbor:"2,keyasint,omitempty"`
	Kind   carawayshift.Kind `cbor:"3,keyasint,omitempty"`
	Text   string            `cbor:"4,keyasint,omitempty"`
	Remedy string            `cbor:"5,keyasint,omitempty"`
}

// Call implements carawayshift.Transport.
func (m *Mesh) Call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	p := m.peer(host)
	if p == nil {
		return nil, carawayshift.NewError(carawayshift.NotRun, "host "+host+" is not listed", "add it to [peers] in the settings")
	}
	if err := ctx.Err(); err != nil {
		return nil, notRun(host, err)
	}
	frame, err := encodeRequest(ctx, method, body)
	if err != nil {
		return nil, err
	}
	conn, err := m.connect(ctx, p)
	if err != nil {
		m.countCall(host, err)
		return nil, err
	}
	out, err := m.exchange(ctx, p, conn, frame)
	m.countCall(host, err)
	return out, err
}

// countCall counts a call by the kind of its error.
func (m *Mesh) countCall(host string, err error) {
	end := "ok"
	if err != nil {
		end = string(carawayshift.KindOf(err))
	}
	m.count("carawayshift_mesh_calls_total", "peer", host, "end", end)
}

func encodeRequest(ctx context.Context, method string, body []byte) ([]byte, error) {
	req := request{Method: method, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		req.Wait = time.Until(deadline)
	}
	payload, err := carawayshift.Encode(req)
	if err != nil {
		return nil, err
	}
	frame, err := encodeFrame(payload)
	if err != nil {
		return nil, carawayshift.NewError(carawayshift.NotRun, "the body of "+method+" exceeds a frame", "send it in parts of at most 1 MB")
	}
	return frame, nil
}

// exchange sends one frame and reads the reply on a stream of its own.
func (m *Mesh) exchange(ctx context.Context, p *peer, conn *quic.Conn, frame []byte) ([]byte, error) {
	start := time.Now()
	received := conn.ConnectionStats().PacketsReceived
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		m.checkPath(ctx, conn, start, received)
		return nil, notRun(p.Name, err)
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelWrite(codeCancelled)
		s.CancelRead(codeCancelled)
	})
	defer stop()
	// The peer runs a handler only after the last byte of a frame, so a frame
	// of which a part was never handed to QUIC has no effect.
	if n, err := s.Write(frame); n < len(frame) {
		s.CancelWrite(codeCancelled)
		s.CancelRead(codeCancelled)
		m.checkPath(ctx, conn, start, received)
		return nil, notRun(p.Name, causeOf(ctx, err))
	}
	_ = s.Close()
	payload, err := decodeFrame(s)
	if err != nil {
		s.CancelRead(codeCancelled)
		m.checkPath(ctx, conn, start, received)
		return nil, m.unclear(ctx, p, err)
	}
	return m.decodeReply(ctx, p, payload)
}

func (m *Mesh) decodeReply(ctx context.Context, p *peer, payload []byte) ([]byte, error) {
	var r reply
	if err := carawayshift.Decode(payload, &r); err != nil {
		return nil, m.unclear(ctx, p, errPayload)
	}
	if !r.Failed {
		return r.Body, nil
	}
	kind := r.Kind
	if kind == "" {
		kind = carawayshift.OutcomeUnknown
	}
	return nil, carawayshift.NewError(kind, r.Text, r.Remedy)
}

// checkPath closes a connection on which nothing arrived during a call that
// timed out, so that the next call dials anew instead of waiting for QUIC's
// idle timeout.
func (m *Mesh) checkPath(ctx context.Context, conn *quic.Conn, start time.Time, received uint64) {
	if ctx.Err() == nil || time.Since(start) < deadAfter {
		return
	}
	if conn.ConnectionStats().PacketsReceived == received {
		_ = conn.CloseWithError(codeDeadPath, "no packet from the peer")
	}
}

func (m *Mesh) unclear(ctx context.Context, p *peer, err error) error {
	if isRefused(err) {
		m.refused(p, err)
	}
	return carawayshift.NewError(carawayshift.OutcomeUnknown,
		"no answer from host "+p.Name+": "+causeOf(ctx, err).Error(), "ask for the result, or resend with the same id")
}

func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil || err == nil {
		return context.Cause(ctx)
	}
	return err
}

func (m *Mesh) refused(p *peer, reason error) {
	m.count("carawayshift_mesh_frames_refused_total", "peer", p.Name, "reason", reason.Error())
	m.cfg.Log.WithFields(logrus.Fields{"peer": p.Name, "reason": reason}).Warn("frame refused")
}

// serve answers the calls of one connection until it closes.
func (m *Mesh) serve(p *peer, conn *quic.Conn) {
	for {
		s, err := conn.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.spawn(func() { m.answer(p, s) })
	}
}

func (m *Mesh) answer(p *peer, s *quic.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(readWait))
	payload, err := decodeFrame(s)
	if err != nil && !isRefused(err) {
		s.CancelRead(codeCancelled)
		s.CancelWrite(codeCancelled)
		return
	}
	var req request
	if err == nil && carawayshift.Decode(payload, &req) != nil {
		err = errPayload
	}
	if err != nil {
		m.refused(p, err)
		s.CancelRead(codeRefused)
		m.send(p, s, reply{Failed: true, Kind: carawayshift.NotRun, Text: "frame refused: " + err.Error(), Remedy: "run the same release on all hosts"})
		return
	}
	m.send(p, s, m.run(p, s, req))
}

func (m *Mesh) run(p *peer, s *quic.Stream, req request) reply {
	fn := m.handler(req.Method)
	if fn == nil {
		return reply{Failed: true, Kind: carawayshift.NotRun, Text: "host " + m.cfg.Name + " does not serve " + req.Method, Remedy: "run the same release on all hosts"}
	}
	wait := maxWait
	if req.Wait > 0 && req.Wait < wait {
		wait = req.Wait
	}
	// The stream's context ends when the caller gives up or the connection
	// closes.
	ctx, cancel := context.WithTimeout(s.Context(), wait)
	defer cancel()
	body, err := fn(ctx, p.Name, req.Body)
	if err != nil {
		return failure(err)
	}
	return reply{Body: body}
}

func failure(err error) reply {
	var e *carawayshift.Error
	if errors.As(err, &e) {
		return reply{Failed: true, Kind: e.Kind, Text: e.Text, Remedy: e.Remedy}
	}
	return reply{Failed: true, Text: err.Error()}
}

func (m *Mesh) send(p *peer, s *quic.Stream, r reply) {
	payload, err := carawayshift.Encode(r)
	var frame []byte
	if err == nil {
		frame, err = encodeFrame(payload)
	}
	if err != nil {
		m.cfg.Log.WithError(err).WithField("peer", p.Name).Error("reply can't be sent")
		s.CancelWrite(codeRefused)
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(readWait))
	if _, err := s.Write(frame); err != nil {
		s.CancelWrite(codeCancelled)
		return
	}
	_ = s.Close()
}
