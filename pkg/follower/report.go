package follower

import (
	"context"
	"slices"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// reportEvery is the longest time between two reports of a relay.
	reportEvery = 10 * time.Second
	// reportDelay gathers the progress of a zone's hosts into one report, so
	// that the link between regions carries one for each change.
	reportDelay = 150 * time.Millisecond
	// A host that has said nothing for forgetAfter is no more reported by its
	// relay. The leader keeps the time at which it was seen last.
	forgetAfter = 2 * pollWait
)

type report struct {
	Hosts []reported `cbor:"1,keyasint"`
}

type reported struct {
	Host  string        `cbor:"1,keyasint"`
	Index uint64        `cbor:"2,keyasint"`
	Ago   time.Duration `cbor:"3,keyasint,omitempty"`
}

// note records that a host has applied an index. A host that restarted has
// applied less than before.
func (f *Follower) note(host string, index uint64) {
	f.mu.Lock()
	changed := f.progress[host].Index != index
	f.progress[host] = Seen{Index: index, Time: time.Now()}
	f.mu.Unlock()
	if changed {
		f.touch()
	}
}

// touch asks for a report.
func (f *Follower) touch() {
	select {
	case f.dirty <- struct{}{}:
	default:
	}
}

// reports tells the leader what the hosts that pull here have applied, and
// on a relay what it has applied itself.
func (f *Follower) reports(ctx context.Context) {
	for {
		timer := time.NewTimer(reportEvery)
		select {
		case <-f.dirty:
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
		case <-f.dirty: // what changed during the delay is in this report
		default:
		}
		f.report(ctx)
	}
}

// pullsFar tells whether this host pulls from a voter of another zone. A
// voter of the own zone reports for the hosts that pull from it.
func (f *Follower) pullsFar() bool {
	source := f.source()
	return slices.Contains(f.cfg.Voters(), source) && !slices.Contains(f.cfg.Members(), source)
}

func (f *Follower) report(ctx context.Context) {
	leader, _ := f.Leader()
	if leader == "" || leader == f.cfg.Host {
		return
	}
	var out report
	if f.cfg.Source == nil && f.pullsFar() {
		out.Hosts = append(out.Hosts, reported{Host: f.cfg.Host, Index: f.Applied()})
	}
	for _, host := range f.cfg.Members() {
		if seen := f.seen(host); !seen.Time.IsZero() && time.Since(seen.Time) < forgetAfter {
			out.Hosts = append(out.Hosts, reported{Host: host, Index: seen.Index, Ago: time.Since(seen.Time)})
		}
	}
	if len(out.Hosts) > 0 {
		// A lost report is made good by the next one.
		_ = f.call(ctx, callWait, leader, methodReport, out, new(report))
	}
}

func (f *Follower) seen(host string) Seen {
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
			f.progress[h.Host] = Seen{Index: h.Index, Time: at}
		}
	}
	return carawayshift.Encode(report{})
}
