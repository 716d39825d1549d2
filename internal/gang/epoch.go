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

func (a *Manager) handleEpoch(_ context.Context, _ string, body []byte) ([]byte, error) {
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
// lease, or it held it last and a majority of the zone's hosts know no newer
// holder.
func (a *Manager) mayRenew(ctx context.Context) bool {
	if _, valid := a.opts.Lease(); valid {
		return true
	}
	a.mu.Lock()
	fresh := time.Since(a.confirmed) < confirmValid
	a.mu.Unlock()
	return fresh || a.confirm(ctx)
}

// confirm reports whether a majority of the zone's hosts knows no lease newer
// than the last one of this host.
func (a *Manager) confirm(ctx context.Context) bool {
	asked := time.Now()
	own, ok := a.ask(ctx, len(a.opts.Hosts)/2+1)
	if !ok {
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

// announce reports whether half of the zone's hosts, this one included, know
// the epoch of this host's lease. No earlier holder finds a majority that does
// not know it then, so that none renews without the zone lease. Half is enough
// for that, and lets a zone of two hosts go on with one.
func (a *Manager) announce(ctx context.Context) bool {
	a.mu.Lock()
	done := a.announced == a.own && a.own > 0
	a.mu.Unlock()
	if done {
		return true
	}
	own, ok := a.ask(ctx, (len(a.opts.Hosts)+1)/2)
	if ok {
		a.mu.Lock()
		a.announced = max(a.announced, own)
		a.mu.Unlock()
	}
	return ok
}

// ask tells the zone's hosts the epoch of this host's last lease and reports
// whether at least need of them, this one included, know no newer one.
func (a *Manager) ask(ctx context.Context, need int) (own uint64, ok bool) {
	a.mu.Lock()
	own, known := a.own, a.epoch
	a.mu.Unlock()
	if own == 0 || known > own {
		return own, false
	}
	body, err := carawayshift.Encode(epochMessage{Epoch: own})
	if err != nil {
		return own, false
	}
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
		if agreed >= need {
			return own, true
		}
	}
	return own, false
}

func (a *Manager) askHost(ctx context.Context, host string, own uint64, body []byte) bool {
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
