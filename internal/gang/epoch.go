package gang

import (
	"context"
	"time"

	"carawayshift.example/carawayshift"
)

// epochMessage asks a host of the zone to remember the epoch; the reply has
// the highest epoch that the host knows.
type epochMessage struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

func (a *Agent) handleEpoch(_ context.Context, _ string, body []byte) ([]byte, error) {
	var m epochMessage
	if err := carawayshift.Decode(body, &m); err != nil {
		return nil, err
	}
	a.mu.Lock()
	a.epoch = max(a.epoch, m.Epoch)
	m.Epoch = a.epoch
	a.mu.Unlock()
	return carawayshift.Encode(m)
}

// mayRenew reports whether this host may extend task leases: it holds the zone
// lease and has announced its epoch, or it held it last and a majority of the
// zone's hosts know no newer holder.
func (a *Agent) mayRenew(ctx context.Context) bool {
	a.mu.Lock()
	fresh := time.Since(a.confirmed) < confirmValid
	a.mu.Unlock()
	return fresh || a.confirm(ctx)
}

// confirm announces the epoch of the last lease of this host to all hosts of
// the zone, and reports whether a majority knows no newer one.
func (a *Agent) confirm(ctx context.Context) bool {
	a.mu.Lock()
	own, known := a.own, a.epoch
	a.mu.Unlock()
	if own == 0 || known > own {
		return false
	}
	asked := time.Now()
	body, err := carawayshift.Encode(epochMessage{Epoch: own})
	if err != nil {
		return false
	}
	if !a.askHosts(ctx, own, body) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.own != own || a.epoch > own {
		return false
	}
	a.confirmed = asked
	return true
}

func (a *Agent) askHosts(ctx context.Context, own uint64, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan bool, len(a.opts.Hosts))
	for _, h := range a.opts.Hosts {
		go func() { replies <- h == a.opts.Host || a.askHost(ctx, h, own, body) }()
	}
	agreed := 0
	for range a.opts.Hosts {
		if <-replies {
			agreed++
		}
		if agreed > len(a.opts.Hosts)/2 {
			return true
		}
	}
	return false
}

func (a *Agent) askHost(ctx context.Context, host string, own uint64, body []byte) bool {
	b, err := a.opts.Transport.Call(ctx, host, "gang.epoch", body)
	if err != nil {
		return false
	}
	var m epochMessage
	if err := carawayshift.Decode(b, &m); err != nil {
		return false
	}
	a.mu.Lock()
	a.epoch = max(a.epoch, m.Epoch)
	a.mu.Unlock()
	return m.Epoch <= own
}
