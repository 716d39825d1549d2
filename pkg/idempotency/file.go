package idempotency

import (
	"encoding/binary"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// headerSize is a frame's length (4 bytes) and checksum (8 bytes).
const headerSize = 12

const (
	maxFrame = 1 << 20
	// minFrames is the size below which the file is not compacted.
	minFrames = 10_000
)

// file is an append-only file of records, each synced before it counts.
type file struct {
	mu     sync.Mutex
	f      *os.File
	frames int
}

// open reads the records that are within their retention and rewrites the
// file without the others. A host with an empty disk has no file: it collects
// the zone's records first and writes the file then, so that a file on disk
// always holds every grant of its host.
func (r *Registry) open() error {
	b, err := os.ReadFile(r.cfg.Path)
	if os.IsNotExist(err) && !r.cfg.Fresh {
		return nil
	}
	if err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "idempotency.Registry.open")
	}
	r.load(b)
	r.ready = true
	r.expire()
	return r.rewrite()
}

// load applies frames up to the first torn one.
func (r *Registry) load(b []byte) {
	for len(b) >= headerSize {
		n := int(binary.BigEndian.Uint32(b))
		if n > maxFrame || len(b) < headerSize+n {
			return
		}
		body := b[headerSize : headerSize+n]
		var rec record
		if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[4:]) || carawayshift.Decode(body, &rec) != nil {
			return
		}
		r.replay(rec)
		b = b[headerSize+n:]
	}
}

func (r *Registry) replay(rec record) {
	old := r.records[rec.Key]
	if rec.Dropped {
		r.dropped[rec.Owner] = rec.At
		if old != nil && old.Owner == rec.Owner && old.Outcome == nil {
			delete(r.records, rec.Key)
		}
		return
	}
	if _, ok := r.dropped[rec.Owner]; ok && rec.Outcome == nil {
		return
	}
	if old != nil {
		r.stored -= old.size()
	}
	r.stored += rec.size()
	r.records[rec.Key] = &rec
}

// rewrite writes the current records to a new file that replaces the old one.
// Appends wait meanwhile; a record that is not yet in the old file is in
// memory, so that it is written here, and once more by its append.
func (r *Registry) rewrite() error {
	r.disk.mu.Lock()
	defer r.disk.mu.Unlock()
	tmp := r.cfg.Path + ".new"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "idempotency.Registry.rewrite")
	}
	frames := r.snapshot()
	for _, rec := range frames {
		if err := appendFrame(f, rec); err != nil {
			return errors.Wrap(errors.CombineErrors(err, f.Close()), "idempotency.Registry.rewrite")
		}
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(errors.CombineErrors(err, f.Close()), "idempotency.Registry.rewrite")
	}
	if err := os.Rename(tmp, r.cfg.Path); err != nil {
		return errors.Wrap(errors.CombineErrors(err, f.Close()), "idempotency.Registry.rewrite")
	}
	if r.disk.f != nil {
		_ = r.disk.f.Close()
	}
	r.disk.f, r.disk.frames = f, len(frames)
	return errors.Wrap(syncDir(filepath.Dir(r.cfg.Path)), "idempotency.Registry.rewrite")
}

// snapshot returns the records and the tombstones.
func (r *Registry) snapshot() []record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]record, 0, len(r.records)+len(r.dropped))
	for owner, at := range r.dropped {
		out = append(out, record{Owner: owner, Dropped: true, At: at})
	}
	for _, rec := range r.records {
		out = append(out, *rec)
	}
	return out
}

// compact rewrites the file when most of its frames are out of date.
func (r *Registry) compact() error {
	if r.cfg.Path == "" {
		return nil
	}
	r.mu.Lock()
	n := len(r.records) + len(r.dropped)
	r.mu.Unlock()
	r.disk.mu.Lock()
	due := r.disk.f != nil && r.disk.frames > max(minFrames, 4*n)
	r.disk.mu.Unlock()
	if !due {
		return nil
	}
	return r.rewrite()
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}

func appendFrame(w io.Writer, rec record) error {
	body, err := carawayshift.Encode(rec)
	if err != nil {
		return err
	}
	b := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(b, uint32(len(body)))
	binary.BigEndian.PutUint64(b[4:], xxhash.Sum64(body))
	_, err = w.Write(append(b, body...))
	return err
}

// sync makes a record durable where there is a disk. A torn frame in the
// middle would hide later ones, so that the first failure stops the file.
func (r *Registry) sync(rec record) error {
	if r.cfg.Path == "" || !r.Ready() {
		return nil
	}
	r.disk.mu.Lock()
	defer r.disk.mu.Unlock()
	if r.disk.f == nil {
		return unavailable("the claim file has failed", "check the disk and restart the host")
	}
	err := appendFrame(r.disk.f, rec)
	if err == nil {
		err = r.disk.f.Sync()
	}
	if err != nil {
		_ = r.disk.f.Close()
		r.disk.f = nil
		return unavailable("the claim file failed: "+err.Error(), "check the disk and restart the host")
	}
	r.disk.frames++
	return nil
}

func (r *Registry) close() error {
	r.disk.mu.Lock()
	defer r.disk.mu.Unlock()
	if r.disk.f == nil {
		return nil
	}
	err := r.disk.f.Close()
	r.disk.f = nil
	return errors.Wrap(err, "idempotency.Registry.close")
}
