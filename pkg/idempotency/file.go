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

// headerSize is the size of a frame's header: the length (4 bytes) and the
// checksum (8 bytes) of its body.
const headerSize = 12

const (
	maxFrame = 1 << 20
	// compactMinFrames is the number of frames up to which the file is not
	// compacted.
	compactMinFrames = 10_000
)

// file is an append-only file of records. Each record is synced before the call
// that wrote it is answered.
type file struct {
	mu     sync.Mutex
	f      *os.File
	frames int
}

// open reads the records and rewrites the file without the expired ones. A host
// with an empty disk has no file: it first collects the zone's records and then
// writes the file, so that a file on disk always contains every grant of its
// host.
func (r *Registry) open() error {
	b, err := os.ReadFile(r.cfg.Path)
	if os.IsNotExist(err) && !r.cfg.FirstStart {
		return nil
	}
	if err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "idempotency.Registry.open")
	}
	r.replayFrames(b)
	r.ready = true
	r.expire()
	return r.rewrite()
}

// replayFrames applies the frames up to the first incomplete or corrupt one.
func (r *Registry) replayFrames(b []byte) {
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
		r.apply(rec)
		b = b[headerSize+n:]
	}
}

func (r *Registry) apply(rec record) {
	old := r.records[rec.Key]
	if rec.Dropped {
		r.tombstones[rec.Owner] = rec.At
		if old != nil && old.Owner == rec.Owner && old.Outcome == nil {
			delete(r.records, rec.Key)
		}
		return
	}
	if _, ok := r.tombstones[rec.Owner]; ok && rec.Outcome == nil {
		return
	}
	if old != nil {
		r.storedBytes -= old.size()
	}
	r.storedBytes += rec.size()
	r.records[rec.Key] = &rec
}

// rewrite writes the current records to a new file that replaces the old one.
// Appends wait until it returns. A record whose append waits is already in
// memory, so it is written twice: here and by its append.
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

// snapshot returns the tombstones and the records.
func (r *Registry) snapshot() []record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]record, 0, len(r.records)+len(r.tombstones))
	for owner, at := range r.tombstones {
		out = append(out, record{Owner: owner, Dropped: true, At: at})
	}
	for _, rec := range r.records {
		out = append(out, *rec)
	}
	return out
}

// compact rewrites the file when most of its frames are obsolete.
func (r *Registry) compact() error {
	if r.cfg.Path == "" {
		return nil
	}
	r.mu.Lock()
	n := len(r.records) + len(r.tombstones)
	r.mu.Unlock()
	r.disk.mu.Lock()
	due := r.disk.f != nil && r.disk.frames > max(compactMinFrames, 4*n)
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

// persist appends a record to the file, if there is one, and syncs it. Frames after
// an incomplete one can't be read, so no more are written after a failure.
func (r *Registry) persist(rec record) error {
	if r.cfg.Path == "" || !r.Ready() {
		return nil
	}
	r.disk.mu.Lock()
	defer r.disk.mu.Unlock()
	if r.disk.f == nil {
		return unavailableError("an earlier write to the claim file failed", "check the disk and restart the host")
	}
	err := appendFrame(r.disk.f, rec)
	if err == nil {
		err = r.disk.f.Sync()
	}
	if err != nil {
		_ = r.disk.f.Close()
		r.disk.f = nil
		return unavailableError("can't write the claim file: "+err.Error(), "check the disk and restart the host")
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
