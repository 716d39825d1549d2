package transport

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"carawayshift.example/carawayshift"
)

const (
	codeClosed      quic.ApplicationErrorCode = 0
	codeUnknownPeer quic.ApplicationErrorCode = 1
	codeDeadPath    quic.ApplicationErrorCode = 2

	backoffMin = 100 * time.Millisecond
	// backoffMax limits how long calls still fail after a peer has come back. A
	// dial attempt sends about 1.3 KB.
	backoffMax = 3 * time.Second
	// attemptInterval is the time between the attempts of one dial. QUIC repeats the
	// first packet of an attempt after 0.3, 0.9 and 2.1 s: a peer that comes back would
	// wait for the next repetition.
	attemptInterval = 250 * time.Millisecond
	// urgentDials is how many dials in a row may fail before a dial has only one
	// attempt, which keeps the traffic to a host that is gone small.
	urgentDials = 4
)

// peer holds the connections to one host. There is more than one after both
// hosts dialled at the same time, or until a dead connection has timed out.
type peer struct {
	Peer

	mu sync.Mutex
	// conns is in order of creation; calls use the last live one.
	conns []*quic.Conn
	// dialling is closed when the dial attempt in progress ends; it is nil when
	// there is none.
	dialling chan struct{}
	failures int
	nextDial time.Time
	lastErr  error
	// held is the memory of the peer's calls that this host handles, in bytes.
	held int64
}

// hold changes the memory of the peer's calls by n bytes unless it then exceeds limit.
func (p *peer) hold(n, limit int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n >= 0 && p.held+n > limit {
		return false
	}
	p.held += n
	return true
}

func (p *peer) add(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(slices.DeleteFunc(p.conns, isClosed), conn)
	p.failures = 0
	p.nextDial = time.Time{}
}

func isClosed(c *quic.Conn) bool { return c.Context().Err() != nil }

// live returns the newest live connection, or nil.
func (p *peer) live() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, isClosed)
	if len(p.conns) == 0 {
		return nil
	}
	return p.conns[len(p.conns)-1]
}

// remove forgets a connection that has ended, so that its memory is freed before the
// next call.
func (p *peer) remove(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(c *quic.Conn) bool { return c == conn })
}

// unused reports whether there is neither a connection to the host nor one being
// dialled.
func (p *peer) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialling == nil && !slices.ContainsFunc(p.conns, func(c *quic.Conn) bool { return !isClosed(c) })
}

func (p *peer) closeAll() {
	p.mu.Lock()
	conns := slices.Clone(p.conns)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.CloseWithError(codeClosed, "closed")
	}
}

// connect returns a live connection, dialling one if necessary. Its errors have
// kind NotRun.
func (m *Mesh) connect(ctx context.Context, p *peer) (*quic.Conn, error) {
	for {
		if c := p.live(); c != nil {
			return c, nil
		}
		done, err := m.startDial(p)
		if err != nil {
			return nil, err
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil, notRun(p.Name, ctx.Err())
		}
	}
}

// startDial returns the channel of the dial attempt in progress, starting one if
// it is due. Before that it returns the last error.
func (m *Mesh) startDial(p *peer) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialling != nil {
		return p.dialling, nil
	}
	if m.ctx.Err() != nil {
		return nil, notRun(p.Name, m.ctx.Err())
	}
	if time.Now().Before(p.nextDial) {
		return nil, notRun(p.Name, p.lastErr)
	}
	done := make(chan struct{})
	p.dialling = done
	m.spawn(func() { m.dial(p, done) })
	return done, nil
}

func (m *Mesh) dial(p *peer, done chan struct{}) {
	conn, err := m.attemptDial(p)
	if err == nil {
		p.add(conn)
		m.spawn(func() { m.serve(p, conn) })
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	p.dialling = nil
	if err == nil {
		return
	}
	m.incCounter("carawayshift_mesh_dial_failures_total", "peer", p.Name)
	p.lastErr = err
	p.nextDial = time.Now().Add(backoff(p.failures))
	p.failures++
}

// dialResult is the outcome of one attempt to dial.
type dialResult struct {
	conn *quic.Conn
	err  error
}

// attemptDial makes attempts at attemptInterval until one of them ends, and returns its
// outcome. The others are cancelled.
func (m *Mesh) attemptDial(p *peer) (*quic.Conn, error) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	p.mu.Lock()
	urgent := p.failures < urgentDials
	p.mu.Unlock()
	tlsConf := withCompression(m.cfg.Client)
	tlsConf.ServerName = p.Name
	results := make(chan dialResult)
	for {
		m.spawn(func() {
			conn, err := m.quic.Dial(ctx, p.Addr, tlsConf, quicConfig())
			select {
			case results <- dialResult{conn, err}:
			case <-ctx.Done():
				if err == nil {
					_ = conn.CloseWithError(codeClosed, "another attempt was faster")
				}
			}
		})
		var next <-chan time.Time
		if urgent {
			next = time.After(attemptInterval)
		}
		select {
		case r := <-results:
			return r.conn, r.err
		case <-m.ctx.Done():
			return nil, m.ctx.Err()
		case <-next:
		}
	}
}

// backoff returns a delay that doubles from backoffMin to backoffMax, reduced by
// a random part of up to half.
func backoff(failures int) time.Duration {
	d := backoffMax
	if failures < 5 {
		d = backoffMin << failures
	}
	return d/2 + rand.N(d/2)
}

func notRun(host string, err error) error {
	text := "host " + host + " can't be reached"
	if err != nil {
		text += ": " + err.Error()
	}
	return carawayshift.NewError(carawayshift.NotRun, text, "retry later, or check the host and the network to it")
}
