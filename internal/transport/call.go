package transport

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/bytebudget"
)

const (
	codeCancelled quic.StreamErrorCode = 1
	codeRefused   quic.StreamErrorCode = 2

	// deadPathTimeout is how long a call must have waited without receiving any
	// packet before its connection is considered dead. Acknowledgements arrive
	// within one round trip, 40 ms between regions.
	deadPathTimeout = time.Second
	// maxHandlerTime limits handlers of calls without a deadline, and the time
	// for which a peer can keep a request open.
	maxHandlerTime = 5 * time.Minute
	// streamTimeout limits the time to receive a request, or to send a reply, of
	// at most maxFrame bytes. 5 MB take 1.4 s on an idle link of 30 Mbit/s.
	streamTimeout = 20 * time.Second
)

type request struct {
	Method string `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
	// Wait is the remaining time until the caller's deadline at the time of
	// sending, 0 if there is none.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
}

type reply struct {
	Body []byte `cbor:"1,keyasint,omitempty"`
	// Failed is true when the call failed. Kind is empty when the handler's
	// error has no kind.
	Failed bool              `cbor:"2,keyasint,omitempty"`
	Kind   carawayshift.Kind `cbor:"3,keyasint,omitempty"`
	Text   string            `cbor:"4,keyasint,omitempty"`
	Remedy string            `cbor:"5,keyasint,omitempty"`
	// RetryAfter is that of the error.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
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
	if len(body) > maxFrame {
		return nil, tooLarge(method)
	}
	conn, err := m.connect(ctx, p)
	if err != nil {
		m.countCall(host, err)
		return nil, err
	}
	frame, err := encodeRequest(ctx, conn, method, body)
	if err != nil {
		return nil, err
	}
	out, err := m.exchange(ctx, p, conn, frame)
	m.countCall(host, err)
	return out, err
}

// countCall counts a call by peer and error kind.
func (m *Mesh) countCall(host string, err error) {
	result := "ok"
	if err != nil {
		result = string(carawayshift.KindOf(err))
	}
	m.incCounter("carawayshift_mesh_calls_total", "peer", host, "end", result)
}

func encodeRequest(ctx context.Context, conn *quic.Conn, method string, body []byte) ([]byte, error) {
	req := request{Method: method, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		req.Wait = time.Until(deadline)
	}
	payload, err := carawayshift.Encode(req)
	if err != nil {
		return nil, err
	}
	frame, err := encodeFrame(payload, len(payload) >= minCompressed && compresses(conn))
	if err != nil {
		return nil, tooLarge(method)
	}
	return frame, nil
}

func tooLarge(method string) error {
	return carawayshift.NewError(carawayshift.NotRun, "the body of "+method+" exceeds the frame size", "send it in parts of at most 4 MB")
}

// exchange sends one frame on a new stream and reads the reply.
func (m *Mesh) exchange(ctx context.Context, p *peer, conn *quic.Conn, frame []byte) ([]byte, error) {
	start := time.Now()
	received := conn.ConnectionStats().PacketsReceived
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		m.closeDeadPath(ctx, conn, start, received)
		return nil, notRun(p.Name, err)
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelWrite(codeCancelled)
		s.CancelRead(codeCancelled)
	})
	defer stop()
	// The peer runs a handler only after it has received the complete frame, so
	// a frame that was not passed to QUIC completely has no effect.
	if n, err := s.Write(frame); n < len(frame) {
		s.CancelWrite(codeCancelled)
		s.CancelRead(codeCancelled)
		m.closeDeadPath(ctx, conn, start, received)
		return nil, notRun(p.Name, contextCauseOr(ctx, err))
	}
	_ = s.Close()
	payload, err := decodeFrame(s, unlimited)
	if err != nil {
		s.CancelRead(codeCancelled)
		m.closeDeadPath(ctx, conn, start, received)
		return nil, m.outcomeUnknown(ctx, p, err)
	}
	return m.decodeReply(ctx, p, payload)
}

func (m *Mesh) decodeReply(ctx context.Context, p *peer, payload []byte) ([]byte, error) {
	var r reply
	if err := carawayshift.Decode(payload, &r); err != nil {
		return nil, m.outcomeUnknown(ctx, p, errPayload)
	}
	if !r.Failed {
		return r.Body, nil
	}
	kind := r.Kind
	if kind == "" {
		kind = carawayshift.OutcomeUnknown
	}
	return nil, &carawayshift.Error{Kind: kind, Text: r.Text, Remedy: r.Remedy, RetryAfter: r.RetryAfter}
}

// closeDeadPath closes a connection that received no packet during a call that
// timed out, so that the next call dials a new connection instead of waiting
// for QUIC's idle timeout.
func (m *Mesh) closeDeadPath(ctx context.Context, conn *quic.Conn, start time.Time, received uint64) {
	if ctx.Err() == nil || time.Since(start) < deadPathTimeout {
		return
	}
	if conn.ConnectionStats().PacketsReceived == received {
		_ = conn.CloseWithError(codeDeadPath, "no packet from the peer")
	}
}

func (m *Mesh) outcomeUnknown(ctx context.Context, p *peer, err error) error {
	if isFormatError(err) {
		m.recordRefusal(p, err)
	}
	return carawayshift.NewError(carawayshift.OutcomeUnknown,
		"no response from host "+p.Name+": "+contextCauseOr(ctx, err).Error(), "query the result, or resend with the same id")
}

func contextCauseOr(ctx context.Context, err error) error {
	if ctx.Err() != nil || err == nil {
		return context.Cause(ctx)
	}
	return err
}

// recordRefusal counts and logs a received frame that violates the frame format.
func (m *Mesh) recordRefusal(p *peer, reason error) {
	m.incCounter("carawayshift_mesh_frames_refused_total", "peer", p.Name, "reason", reason.Error())
	m.cfg.Log.WithFields(logrus.Fields{"peer": p.Name, "reason": reason}).Warn("invalid frame from the peer refused; check that all hosts run the same release")
}

// serve handles the calls of one connection until it closes.
func (m *Mesh) serve(p *peer, conn *quic.Conn) {
	for {
		s, err := conn.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.inbound.touch(conn)
		m.spawn(func() { m.serveStream(p, conn, s) })
	}
}

func (m *Mesh) serveStream(p *peer, conn *quic.Conn, s *quic.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(streamTimeout))
	account := m.frames.Open(func() { s.CancelRead(codeCancelled) })
	defer account.Close()
	held := int64(0)
	defer func() { p.hold(-held, 0) }()
	payload, err := decodeFrame(s, func(n int64) error {
		n *= frameCopies
		if !p.hold(n-held, m.peerBytes) {
			return bytebudget.ErrFull
		}
		held = n
		return account.Resize(s.Context(), n)
	})
	if errors.IsAny(err, bytebudget.ErrFull, bytebudget.ErrTooLarge) {
		m.refuseFull(p, conn, s)
		return
	}
	account.Keep()
	if err != nil && !isFormatError(err) {
		s.CancelRead(codeCancelled)
		s.CancelWrite(codeCancelled)
		return
	}
	var req request
	if err == nil && carawayshift.Decode(payload, &req) != nil {
		err = errPayload
	}
	if err != nil {
		m.recordRefusal(p, err)
		s.CancelRead(codeRefused)
		m.sendReply(p, conn, s, reply{Failed: true, Kind: carawayshift.NotRun, Text: "frame refused: " + err.Error(), Remedy: "run the same release on all hosts"})
		return
	}
	m.sendReply(p, conn, s, m.runHandler(p, s, req))
}

// refuseFull answers a call that was not read because frames of other calls use the
// memory for them.
func (m *Mesh) refuseFull(p *peer, conn *quic.Conn, s *quic.Stream) {
	m.incCounter("carawayshift_mesh_limited_total", "reason", "bytes")
	m.logLimited("bytes")
	s.CancelRead(codeCancelled)
	m.sendReply(p, conn, s, reply{
		Failed: true, Kind: carawayshift.NotRun, Text: "host " + m.cfg.Name + " has no memory for more calls", Remedy: "send it again later",
	})
}

func (m *Mesh) runHandler(p *peer, s *quic.Stream, req request) reply {
	fn := m.handler(req.Method)
	if fn == nil {
		return reply{Failed: true, Kind: carawayshift.NotRun, Text: "host " + m.cfg.Name + " does not serve " + req.Method, Remedy: "run the same release on all hosts"}
	}
	wait := maxHandlerTime
	if req.Wait > 0 && req.Wait < wait {
		wait = req.Wait
	}
	// The stream's context is cancelled when the caller cancels the call or the
	// connection closes.
	ctx, cancel := context.WithTimeout(s.Context(), wait)
	defer cancel()
	body, err := m.callHandler(ctx, fn, p, req)
	if err != nil {
		return errorReply(err)
	}
	return reply{Body: body}
}

// callHandler calls a handler. A panic in it fails the call and not the process:
// its cause may be a message that the peer sends again.
func (m *Mesh) callHandler(ctx context.Context, fn carawayshift.Handler, p *peer, req request) (body []byte, err error) {
	defer func() {
		if v := recover(); v != nil {
			m.incCounter("carawayshift_mesh_panics_total", "method", req.Method)
			m.cfg.Log.WithFields(logrus.Fields{"event": "panic", "peer": p.Name, "method": req.Method, "panic": v, "stack": string(debug.Stack())}).Error("a handler panicked; report this as a bug")
			err = carawayshift.NewError(carawayshift.OutcomeUnknown, "host "+m.cfg.Name+" failed while handling the call", "query the result, and see the log of that host")
		}
	}()
	return fn(ctx, p.Name, req.Body)
}

func errorReply(err error) reply {
	var e *carawayshift.Error
	if errors.As(err, &e) {
		return reply{Failed: true, Kind: e.Kind, Text: e.Text, Remedy: e.Remedy, RetryAfter: e.RetryAfter}
	}
	return reply{Failed: true, Text: err.Error()}
}

func (m *Mesh) sendReply(p *peer, conn *quic.Conn, s *quic.Stream, r reply) {
	payload, err := carawayshift.Encode(r)
	var frame []byte
	if err == nil {
		frame, err = encodeFrame(payload, len(payload) >= minCompressed && compresses(conn))
	}
	if err != nil {
		m.cfg.Log.WithError(err).WithField("peer", p.Name).Error("encoding the reply to a call failed; the peer gets no reply")
		s.CancelWrite(codeRefused)
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(streamTimeout))
	if _, err := s.Write(frame); err != nil {
		s.CancelWrite(codeCancelled)
		return
	}
	_ = s.Close()
}
