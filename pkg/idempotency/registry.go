// Package idempotency records claims on idempotency keys at a majority of the home
// zone's entry hosts, so that a keyed request runs at most once, and stores the
// outcome for the others.
//
// # Usage
//
//	r, err := idempotency.New(idempotency.Config{Host: "a1", Zones: zones, Hosts: hosts, Transport: mesh})
//	go r.Run(ctx)
//	c, outcome, err := r.Claim(ctx, key, fingerprint)
//
// A claim says that the caller runs the request and then calls Finish, or Drop
// if it provably did not run. An outcome is that of the first request with the
// key. An error of kind NotRun says that the home zone can't be reached,
// Conflict that the key was used for another request, and OutcomeUnknown that
// the first request's outcome is not known.
//
// Hosts must return the configured hosts of a zone, not the live ones:
// majorities of different lists need not overlap.
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
	// no key is forgotten while its request runs.
	minRetention = 5 * time.Minute
	// roundLimit bounds one round of claim.put calls. A restarted host waits
	// that long before it collects records, so that every majority that counts
	// a grant of its earlier life is complete by then.
	roundLimit = time.Second
	// recoveryWait is roundLimit plus the allowed clock-rate drift of 1%.
	recoveryWait = roundLimit + roundLimit/50
	// maxRecords bounds the memory of a host. At 256 bytes it is 64 MB.
	maxRecords = 1 << 18
	// maxStored is the largest answer body that is kept for resends.
	maxStored = 256 << 10
	// maxStoredTotal bounds the bodies that one host keeps.
	maxStoredTotal = 64 << 20
)

// Config holds the settings of a Registry. Zero values take the defaults.
type Config struct {
	Host string
	// Zones returns the names of all zones in the settings.
	Zones func() []string
	// Hosts returns the names of a zone's configured entry hosts.
	Hosts     func(zone string) []string
	Transport carawayshift.Transport
	// Retention is how long a key is remembered.
	Retention time.Duration
	// Path is the synced file; empty on hosts without a disk.
	Path string
	// Fresh says that the deployment has never served a keyed request, so that
	// this host need not collect records before it grants claims.
	Fresh bool
}

// Outcome is the stored end of a keyed request.
type Outcome struct {
	// Unknown is true if the request may or may not have run, or if its
	// answer was too large to be kept.
	Unknown bool                `cbor:"1,keyasint,omitempty"`
	Status  int                 `cbor:"2,keyasint,omitempty"`
	Header  map[string][]string `cbor:"3,keyasint,omitempty"`
	Body    []byte              `cbor:"4,keyasint,omitempty"`
}

// record is one host's memory of a key.
type record struct {
	Key     string   `cbor:"1,keyasint"`
	Owner   string   `cbor:"2,keyasint"`
	Print   uint64   `cbor:"3,keyasint"`
	Outcome *Outcome `cbor:"4,keyasint,omitempty"`
	// Dropped marks a tombstone of Owner: a put that arrives after the drop of
	// the same owner is refused.
	Dropped bool `cbor:"5,keyasint,omitempty"`
	// At is the time of the first grant in Unix ms.
	At int64 `cbor:"6,keyasint"`
}

// Registry claims keys for this host's requests and keeps records for all.
type Registry struct {
	cfg     Config
	started time.Time
	disk    file

	mu      sync.Mutex
	ready   bool
	records map[string]*record
	dropped map[string]int64
	stored  int
}

// New opens the file, if there is one, and registers the methods at the
// transport.
func New(cfg Config) (*Registry, error) {
	if cfg.Retention <= 0 {
		cfg.Retention = defaultRetention
	}
	cfg.Retention = max(cfg.Retention, minRetention)
	r := &Registry{cfg: cfg, started: time.Now(), records: map[string]*record{}, dropped: map[string]int64{}, ready: cfg.Fresh}
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

// Home returns the home zone of a key: its prefix up to the first colon if
// that names a zone, otherwise the zone with the highest hash.
func (r *Registry) Home(key string) string {
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

// Run collects the zone's records after a restart and drops old ones until ctx
// ends.
func (r *Registry) Run(ctx context.Context) error {
	if err := r.recover(ctx); err != nil {
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

// now returns the time in Unix ms at the start plus the elapsed time, so that a
// step of the wall clock makes no key expire early.
func (r *Registry) now() int64 {
	return r.started.Add(time.Since(r.started)).UnixMilli()
}

func (r *Registry) expire() {
	limit := r.now() - r.cfg.Retention.Milliseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, rec := range r.records {
		if rec.At < limit {
			r.stored -= rec.size()
			delete(r.records, key)
		}
	}
	for owner, at := range r.dropped {
		if at < limit {
			delete(r.dropped, owner)
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
