package gang

import (
	"context"
	"time"

	"carawayshift.example/carawayshift"
)

// epochMessage sends the epoch of a zone lease to a host of the zone. The reply
// contains the highest epoch that the host knows.
type epochMessage struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

func (m *Manager) handleEpoch(_ context.Context, _ string, body []byte) ([]byte, error) {
	var msg epochMessage
	if err := carawayshift.Decode(body, &msg); err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.highestEpoch = max(m.highestEpoch, msg.Epoch)
	msg.Epoch = m.highestEpoch
	m.mu.Unlock()
	return carawayshift.Encode(msg)
}

// mayRenew reports whether this host may extend task leases: it holds the zone
// lease, or it was the last holder as far as a majority of the zone's hosts
// know.
func (m *Manager) mayRenew(ctx context.Context) bool {
	if _, valid := m.opts.Lease(); valid {
		return true
	}
	m.mu.Lock()
	fresh := time.Since(m.confirmedAt) < confirmationTTL
	m.mu.Unlock()
	return fresh || m.confirmByMajority(ctx)
}

// confirmByMajority reports whether a majority of the zone's hosts know no lease
// newer than the last one of this host.
func (m *Manager) confirmByMajority(ctx context.Context) bool {
	asked := time.Now()
	own, ok := m.askHosts(ctx, len(m.opts.Hosts)/2+1)
	if !ok {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ownEpoch != own || m.highestEpoch > own {
		return false
	}
	m.confirmedAt = asked
	return true
}

// announceEpoch sends the epoch of this host's lease to the zone's hosts and
// reports whether at least half of them, including this one, know it. Then no
// earlier holder finds a majority that does not know it, so that none renews
// without the zone lease. Half is enough for that, and lets a zone of two hosts
// continue with one.
func (m *Manager) announceEpoch(ctx context.Context) bool {
	m.mu.Lock()
	done := m.announcedEpoch == m.ownEpoch && m.ownEpoch > 0
	m.mu.Unlock()
	if done {
		return true
	}
	own, ok := m.askHosts(ctx, (len(m.opts.Hosts)+1)/2)
	if ok {
		m.mu.Lock()
		m.announcedEpoch = max(m.announcedEpoch, own)
		m.mu.Unlock()
	}
	return ok
}

// askHosts sends the epoch of this host's last lease to the zone's hosts and
// reports whether at least quorum of them, including this one, know no newer
// one.
func (m *Manager) askHosts(ctx context.Context, quorum int) (own uint64, ok bool) {
	m.mu.Lock()
	own, known := m.ownEpoch, m.highestEpoch
	m.mu.Unlock()
	if own == 0 || known > own {
		return own, false
	}
	body, err := carawayshift.Encode(epochMessage{Epoch: own})
	if err != nil {
		return own, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan bool, len(m.opts.Hosts))
	for _, h := range m.opts.Hosts {
		go func() { replies <- h == m.opts.Host || m.askHost(ctx, h, own, body) }()
	}
	agreed := 0
	for range m.opts.Hosts {
		if <-replies {
			agreed++
		}
		if agreed >= quorum {
			return own, true
		}
	}
	return own, false
}

func (m *Manager) askHost(ctx context.Context, host string, own uint64, body []byte) bool {
	b, err := m.opts.Transport.Call(ctx, host, "gang.epoch", body)
	if err != nil {
		return false
	}
	var msg epochMessage
	if err := carawayshift.Decode(b, &msg); err != nil {
		return false
	}
	m.mu.Lock()
	m.highestEpoch = max(m.highestEpoch, msg.Epoch)
	m.mu.Unlock()
	return msg.Epoch <= own
}
