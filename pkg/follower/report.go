package follower

import (
	"context"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// reportInterval is the maximum time between two reports of a relay.
	reportInterval = 10 * time.Second
	// reportDelay collects the progress of a zone's hosts in one report, so that
	// the link between regions carries one report for each change.
	reportDelay = 150 * time.Millisecond
	// A relay no longer reports a host from which it has received no pull for
	// progressTimeout. The leader keeps the time at which the host was last seen.
	progressTimeout = 2 * pollTimeout
)

type report struct {
	Hosts []reportedHost `cbor:"1,keyasint"`
}

type reportedHost struct {
	Host  string        `cbor:"1,keyasint"`
	Index uint64        `cbor:"2,keyasint"`
	Ago   time.Duration `cbor:"3,keyasint,omitempty"`
}

// recordProgress records that a host has applied an index. The index is lower than
// before if the host has restarted.
func (f *Follower) recordProgress(host string, index uint64) {
	f.mu.Lock()
	changed := f.progress[host].Index != index
	f.progress[host] = HostProgress{Index: index, Time: time.Now()}
	f.mu.Unlock()
	if changed {
		f.requestReport()
	}
}

// requestReport wakes reportLoop.
func (f *Follower) requestReport() {
	select {
	case f.reportDue <- struct{}{}:
	default:
	}
}

// reportLoop reports to the leader the progress of the hosts that pull from this
// host and, on a relay, of the host itself.
func (f *Follower) reportLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(reportInterval)
		select {
		case <-f.reportDue:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		if !pause.For(ctx, reportDelay) {
			return
		}
		select {
		case <-f.reportDue: // this report includes the changes during the delay
		default:
		}
		f.report(ctx)
	}
}

// isRelay reports whether this host pulls from a voter of another zone. A voter of
// this zone would report the progress of the hosts that pull from it.
func (f *Follower) isRelay() bool {
	source := f.chooseSource()
	return slices.Contains(f.cfg.Voters(), source) && !slices.Contains(f.cfg.ZonePeers(), source)
}

func (f *Follower) report(ctx context.Context) {
	leader, _ := f.Leader()
	if leader == "" || leader == f.cfg.Host {
		return
	}
	var out report
	if f.cfg.Source == nil && f.isRelay() {
		out.Hosts = append(out.Hosts, reportedHost{Host: f.cfg.Host, Index: f.Applied()})
	}
	for _, host := range f.cfg.ZonePeers() {
		if seen := f.progressOf(host); !seen.Time.IsZero() && time.Since(seen.Time) < progressTimeout {
			out.Hosts = append(out.Hosts, reportedHost{Host: host, Index: seen.Index, Ago: time.Since(seen.Time)})
		}
	}
	if len(out.Hosts) > 0 {
		// The next report replaces a lost one.
		_ = f.call(ctx, callTimeout, leader, methodReport, out, new(report))
	}
}

func (f *Follower) progressOf(host string) HostProgress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress[host]
}

func (f *Follower) handleReport(_ context.Context, _ string, body []byte) ([]byte, error) {
	var in report
	if err := carawayshift.Decode(body, &in); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range in.Hosts {
		at := time.Now().Add(-h.Ago)
		if at.After(f.progress[h.Host].Time) {
			f.progress[h.Host] = HostProgress{Index: h.Index, Time: at}
		}
	}
	return carawayshift.Encode(report{})
}
