package transport

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// defaultConnections is the number of connections that other hosts may open, and
	// defaultBytes the memory for their frames, where Config sets none.
	defaultConnections = 1024
	defaultBytes       = 128 << 20
	// codeEvicted closes the connection that was unused longest when there are too many.
	codeEvicted quic.ApplicationErrorCode = 3
)

var errConnections = errors.New("too many connections")

// inbound holds the connections that other hosts have opened. Anyone who reaches the
// port can open one in deployments without verified names.
type inbound struct {
	limit int
	// evicted is called for each connection that is closed or refused.
	evicted func(reason string)

	mu sync.Mutex
	// pending counts connections from their first packet to their end.
	pending int
	// used holds the time of the last call of each connection.
	used map[*quic.Conn]time.Time
}

func newInbound(limit int, evicted func(reason string)) *inbound {
	return &inbound{limit: limit, evicted: evicted, used: map[*quic.Conn]time.Time{}}
}

// admit refuses a connection before its handshake if there are too many handshakes.
func (i *inbound) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	i.mu.Lock()
	full := i.pending >= i.limit+max(i.limit/4, 1)
	if !full {
		i.pending++
	}
	i.mu.Unlock()
	if full {
		i.evicted("handshakes")
		return nil, errConnections
	}
	context.AfterFunc(ctx, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.pending--
	})
	return ctx, nil
}

// add records a connection after its handshake. If there are too many, it closes the one
// that was unused longest.
func (i *inbound) add(conn *quic.Conn) {
	var oldest *quic.Conn
	i.mu.Lock()
	if len(i.used) >= i.limit {
		for c, at := range i.used {
			if oldest == nil || at.Before(i.used[oldest]) {
				oldest = c
			}
		}
		delete(i.used, oldest)
	}
	i.used[conn] = time.Now()
	i.mu.Unlock()
	if oldest != nil {
		_ = oldest.CloseWithError(codeEvicted, errConnections.Error())
		i.evicted("connections")
	}
}

// touch records a call on a connection that another host has opened.
func (i *inbound) touch(conn *quic.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, ok := i.used[conn]; ok {
		i.used[conn] = time.Now()
	}
}

func (i *inbound) remove(conn *quic.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.used, conn)
}

func (i *inbound) size() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.used)
}
