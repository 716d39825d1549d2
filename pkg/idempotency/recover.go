package idempotency

import (
	"context"
	"sort"
	"time"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// pageBytes limits the total size of the bodies in one page of claim.records.
	pageBytes = 256 << 10
	// pageRecords limits the number of records in one page.
	pageRecords          = 2000
	recoverRetryInterval = time.Second
)

type pageRequest struct {
	After string `cbor:"1,keyasint,omitempty"`
}

// page holds records in key order. Ages are the times since their first grants
// in ms; they are relative because hosts' clocks differ.
type page struct {
	Records []record `cbor:"1,keyasint,omitempty"`
	Ages    []int64  `cbor:"2,keyasint,omitempty"`
	More    bool     `cbor:"3,keyasint,omitempty"`
}

// recoverRecords collects the records of the other hosts of this host's zone. With
// n hosts and a majority of q it needs n-q+1 others: any such set has a host
// other than this one in common with every earlier majority. If it can't reach
// that many, it waits until the retention of all keys that this host granted
// before its restart has passed.
func (r *Registry) recoverRecords(ctx context.Context) error {
	if r.Ready() {
		return nil
	}
	start := time.Now()
	if !pause.For(ctx, recoveryWait) {
		return nil
	}
	done := map[string]bool{}
	for !r.collectFromZone(ctx, done) && time.Since(start) < r.cfg.Retention {
		if !pause.For(ctx, recoverRetryInterval) {
			return nil
		}
	}
	if r.cfg.Path != "" {
		if err := r.rewrite(); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.ready = true
	r.mu.Unlock()
	return nil
}

func (r *Registry) collectFromZone(ctx context.Context, done map[string]bool) bool {
	hosts := r.zoneHosts()
	need := len(hosts) - majority(len(hosts)) + 1
	n := 0
	for _, host := range hosts {
		if host == r.cfg.Host {
			continue
		}
		if !done[host] {
			done[host] = r.collectFrom(ctx, host)
		}
		if done[host] {
			n++
		}
	}
	return n >= need && len(hosts) > 1
}

// zoneHosts returns the hosts of the zone that this host belongs to.
func (r *Registry) zoneHosts() []string {
	for _, z := range r.cfg.Zones() {
		hosts := r.cfg.Hosts(z)
		for _, h := range hosts {
			if h == r.cfg.Host {
				return hosts
			}
		}
	}
	return nil
}

func (r *Registry) collectFrom(ctx context.Context, host string) bool {
	after := ""
	for {
		p := r.fetchPage(ctx, host, after)
		if p == nil {
			return false
		}
		r.merge(p)
		if !p.More || len(p.Records) == 0 {
			return true
		}
		after = p.Records[len(p.Records)-1].Key
	}
}

func (r *Registry) fetchPage(ctx context.Context, host, after string) *page {
	body, err := carawayshift.Encode(pageRequest{after})
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	b, err := r.cfg.Transport.Call(ctx, host, methodRecords, body)
	if err != nil {
		return nil
	}
	var p page
	if carawayshift.Decode(b, &p) != nil || len(p.Ages) != len(p.Records) {
		return nil
	}
	return &p
}

// merge adds records. A host that is still collecting has granted no claims of
// its own, so a record with an outcome may replace one without.
func (r *Registry) merge(p *page) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, rec := range p.Records {
		old := r.records[rec.Key]
		if old != nil && (old.Outcome != nil || rec.Outcome == nil) {
			continue
		}
		rec.At = now - p.Ages[i]
		r.storedBytes += rec.size()
		r.records[rec.Key] = &rec
	}
}

// handleRecords returns one page of records. A host that is still collecting
// records itself returns an error.
func (r *Registry) handleRecords(_ context.Context, _ string, body []byte) ([]byte, error) {
	var q pageRequest
	if err := carawayshift.Decode(body, &q); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready {
		return nil, unavailableError("this host is itself still collecting the zone's claims", "ask another host")
	}
	return carawayshift.Encode(r.pageAfter(q.After))
}

func (r *Registry) pageAfter(after string) page {
	var keys []string
	for key := range r.records {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	now := r.now()
	var p page
	size := 0
	for _, key := range keys {
		rec := r.records[key]
		if len(p.Records) > 0 && (size+rec.size() > pageBytes || len(p.Records) >= pageRecords) {
			p.More = true
			break
		}
		size += rec.size()
		p.Records = append(p.Records, *rec)
		p.Ages = append(p.Ages, now-rec.At)
	}
	return p
}
