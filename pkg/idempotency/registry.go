// Package idempotency makes requests with an idempotency key run at most once. It
// records the claim on a key on a majority of the entry hosts of the key's home
// zone, and stores the outcome of the request for its duplicates.
//
// # Usage
//
//	r, err := idempotency.New(idempotency.Config{Host: "a1", Zones: zones, Hosts: hosts, Transport: mesh})
//	go r.Run(ctx)
//	c, outcome, err := r.Claim(ctx, key, fingerprint)
//
// If Claim returns a claim, the caller runs the request and then calls Finish, or
// Drop if the request certainly did not run. If it returns an outcome, that
// belongs to the first request with the key. An error of kind NotRun means that
// the home zone can't be reached, Conflict that the key was used for another
// request, and OutcomeUnknown that the outcome of the first request is not known.
//
// Config.Hosts must return the configured hosts of a zone, not the live ones:
// majorities of different lists do not necessarily overlap.
package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayshift.example/carawayshift"
)

const (
	defaultRetention = 10 * time.Minute
	// minRetention is above the longest deadline of a request (2 min), so that
	// no key expires while its request runs.
	minRetention = 5 * time.Minute
	// roundTimeout limits one round of claim.put calls. A restarted host waits at
	// least that long before it collects records. By then, every majority that
	// includes a grant from before its restart is complete.
	roundTimeout = time.Second
	// recoveryWait is roundTimeout plus the allowed clock rate error of 1%.
	recoveryWait = roundTimeout + roundTimeout/50
	// maxRecords limits the memory use of a host: at 256 bytes per record, 64 MB.
	maxRecords = 1 << 18
	// maxBodyBytes is the largest response body that is stored for duplicates.
	maxBodyBytes = 256 << 10
	// maxTotalBodyBytes limits the total size of the bodies that one host stores.
	maxTotalBodyBytes = 64 << 20
)

// Config configures a Registry.
type Config struct {
	Host string
	// Zones returns the names of all zones in the settings.
	Zones func() []string
	// Hosts returns the names of a zone's configured entry hosts.
	Hosts     func(zone string) []string
	Transport carawayshift.Transport
	// Retention is how long a key is kept. The default is 10 minutes, the minimum
	// 5 minutes.
	Retention time.Duration
	// Path names the file that makes records durable; empty on hosts without a
	// disk.
	Path string
	// FirstStart is true when the deployment has never handled a request with an
	// idempotency key, so that this host need not collect records before it
	// grants claims.
	FirstStart bool
}

// Outcome is the stored result of a request with an idempotency key.
type Outcome struct {
	// Unknown is true if it is not known whether the request ran, or if its
	// response was too large to be stored.
	Unknown bool                `cbor:"1,keyasint,omitempty"`
	Status  int                 `cbor:"2,keyasint,omitempty"`
	Header  map[string][]string `cbor:"3,keyasint,omitempty"`
	Body    []byte              `cbor:"4,keyasint,omitempty"`
}

// record is what one host stores about a key.
type record struct {
	Key         string   `cbor:"1,keyasint"`
	Owner       string   `cbor:"2,keyasint"`
	Fingerprint uint64   `cbor:"3,keyasint"`
	Outcome     *Outcome `cbor:"4,keyasint,omitempty"`
	// Dropped marks a tombstone of Owner: a put that arrives after the drop by
	// the same owner is refused.
	Dropped bool `cbor:"5,keyasint,omitempty"`
	// At is the time of the first grant in Unix ms.
	At int64 `cbor:"6,keyasint"`
}

// Registry claims keys for this host's requests and stores claims of all hosts.
type Registry struct {
	cfg     Config
	started time.Time
	disk    file

	mu          sync.Mutex
	ready       bool
	records     map[string]*record
	tombstones  map[string]int64
	storedBytes int
}

// New opens the file, if there is one, and registers the methods with the
// transport.
func New(cfg Config) (*Registry, error) {
	if cfg.Retention <= 0 {
		cfg.Retention = defaultRetention
	}
	cfg.Retention = max(cfg.Retention, minRetention)
	r := &Registry{cfg: cfg, started: time.Now(), records: map[string]*record{}, tombstones: map[string]int64{}, ready: cfg.FirstStart}
	if cfg.Path != "" {
		if err := r.open(); err != nil {
			return nil, err
		}
	}
	cfg.Transport.Handle(methodPut, r.handlePut)
	cfg.Transport.Handle(methodGet, r.handleGet)
	cfg.Transport.Handle(methodFinish, r.handleFinish)
	cfg.Transport.Handle(methodDrop, r.handleDrop)
	cfg.Transport.Handle(methodRecords, r.handleRecords)
	return r, nil
}

// HomeZone returns the home zone of a key: its prefix before the first colon if that
// names a zone, otherwise the zone with the highest hash.
func (r *Registry) HomeZone(key string) string {
	zones := r.cfg.Zones()
	for _, z := range zones {
		if len(key) > len(z) && key[:len(z)] == z && key[len(z)] == ':' {
			return z
		}
	}
	home, high := "", uint64(0)
	for _, z := range zones {
		if v := xxhash.Sum64String(z + "\x00" + key); home == "" || v > high || v == high && z < home {
			home, high = z, v
		}
	}
	return home
}

// Run collects the zone's records after a restart and then removes expired ones
// until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	if err := r.recoverRecords(ctx); err != nil {
		return err
	}
	tick := time.NewTicker(max(r.cfg.Retention/10, time.Second))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.close()
		case <-tick.C:
			r.expire()
			if err := r.compact(); err != nil {
				return err
			}
		}
	}
}

// Ready reports whether this host grants claims.
func (r *Registry) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// now returns the current time in Unix ms, computed from the start time and the
// monotonic clock, so that no key expires early when the wall clock is set.
func (r *Registry) now() int64 {
	return r.started.Add(time.Since(r.started)).UnixMilli()
}

func (r *Registry) expire() {
	limit := r.now() - r.cfg.Retention.Milliseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, rec := range r.records {
		if rec.At < limit {
			r.storedBytes -= rec.size()
			delete(r.records, key)
		}
	}
	for owner, at := range r.tombstones {
		if at < limit {
			delete(r.tombstones, owner)
		}
	}
}

func (rec *record) size() int {
	if rec.Outcome == nil {
		return 0
	}
	return len(rec.Outcome.Body)
}

func majority(n int) int { return n/2 + 1 }
