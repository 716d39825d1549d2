// Package memdisk is an in-memory file system that loses unsynced data. Tests of
// programs that embed a journal use it to simulate crashes and disk failures.
//
// # Usage
//
//	d := memdisk.New()
//	j, err := journal.OpenFS(d.Mount(), "/data")
//	d.Crash(rng)    // the mount fails; unsynced writes are lost, partly or completely
//	j, err = journal.OpenFS(d.Mount(), "/data")
package memdisk

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/pkg/journal"
)

// ErrCrashed is the error of all operations on a mount after a simulated crash or
// a failure that FailAfter scheduled.
var ErrCrashed = errors.New("memdisk: the host crashed")

type inode struct {
	data   []byte
	synced []byte
}

// Disk is a simulated disk that survives crashes of its host. After a crash it
// has the file contents of the last Sync and the names of the last SyncDir.
type Disk struct {
	// SyncTime is the duration of a Sync. It must be set before the disk is used.
	SyncTime time.Duration
	// SkipSync makes Sync do nothing, to find out which tests depend on it.
	SkipSync bool

	mu      sync.Mutex
	epoch   int
	files   map[string]*inode
	durable map[string]*inode
	syncs   int
	full    bool
	// extra is added to SyncTime.
	extra time.Duration
	// stalled is closed when the disk answers again; nil if it does.
	stalled chan struct{}
	// opsUntilFailure is the number of operations that still succeed when
	// failureScheduled is set.
	opsUntilFailure  int
	failureScheduled bool
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{files: map[string]*inode{}, durable: map[string]*inode{}}
}

// Syncs returns the number of file syncs so far.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Crash makes all mounts fail. A random part of the data that was written after
// the last sync survives; at random, its last byte is corrupt.
func (d *Disk) Crash(rng *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.failureScheduled = false
	d.files = map[string]*inode{}
	for name, f := range d.durable {
		kept := append([]byte(nil), f.synced...)
		if extra := len(f.data) - len(f.synced); extra > 0 {
			kept = append(kept, f.data[len(f.synced):len(f.synced)+rng.IntN(extra+1)]...)
			if len(kept) > len(f.synced) && rng.IntN(2) == 0 {
				kept[len(kept)-1] ^= 0x5a
			}
		}
		d.files[name] = &inode{data: kept, synced: append([]byte(nil), kept...)}
	}
	d.durable = maps.Clone(d.files)
}

// Wipe makes all mounts fail and erases the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.files, d.durable = map[string]*inode{}, map[string]*inode{}
}

// Copy returns a disk with the durable content of this one, like one restored from
// a backup.
func (d *Disk) Copy() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := New()
	c.SyncTime = d.SyncTime
	for name, f := range d.durable {
		b := append([]byte(nil), f.synced...)
		c.files[name] = &inode{data: b, synced: b}
	}
	c.durable = maps.Clone(c.files)
	return c
}

// FailAfter makes all operations after the next n fail until Crash is called.
func (d *Disk) FailAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opsUntilFailure, d.failureScheduled = n, true
}

// SetStalled makes the disk stop answering, or answer again. Syncs wait until it does.
func (d *Disk) SetStalled(stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case stalled && d.stalled == nil:
		d.stalled = make(chan struct{})
	case !stalled && d.stalled != nil:
		close(d.stalled)
		d.stalled = nil
	}
}

// SetSlow makes each Sync that starts from now on take longer by extra.
func (d *Disk) SetSlow(extra time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extra = extra
}

// waitForSync waits as long as a Sync takes.
func (d *Disk) waitForSync() {
	d.mu.Lock()
	wait, stalled := d.SyncTime+d.extra, d.stalled
	d.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	if stalled != nil {
		<-stalled
	}
}

// SetFull makes the disk full or frees space. On a full disk the creation of files
// fails, and half of each write is written before it fails.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// FlipBit flips one bit of a file at an offset from its start, or from its end
// when the offset is negative.
func (d *Disk) FlipBit(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.data = append([]byte(nil), f.data...)
	if offset < 0 {
		offset += len(f.data)
	}
	f.data[offset] ^= 1
	f.synced = append([]byte(nil), f.data...)
}

// Mount returns the disk's file system. The mount fails after the next crash, so
// that goroutines of the crashed host can't change the disk.
func (d *Disk) Mount() journal.FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &mount{d: d, epoch: d.epoch}
}

type mount struct {
	d     *Disk
	epoch int
}

// do runs fn unless the host has crashed since the mount or a scheduled failure
// is due.
func (m *mount) do(fn func() error) error {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	if m.epoch != m.d.epoch {
		return ErrCrashed
	}
	if m.d.failureScheduled && m.d.opsUntilFailure == 0 {
		return ErrCrashed
	}
	if m.d.failureScheduled {
		m.d.opsUntilFailure--
	}
	return fn()
}

// withFile runs fn with an existing file.
func (m *mount) withFile(name string, fn func(f *inode)) error {
	return m.do(func() error {
		f, ok := m.d.files[name]
		if !ok {
			return errors.Wrap(fs.ErrNotExist, name)
		}
		fn(f)
		return nil
	})
}

// MkdirAll does nothing: a folder exists as soon as it contains a file.
func (m *mount) MkdirAll(string) error { return nil }

func (m *mount) List(dir string) (names []string, err error) {
	err = m.do(func() error {
		for name := range m.d.files {
			if filepath.Dir(name) == filepath.Clean(dir) {
				names = append(names, filepath.Base(name))
			}
		}
		return nil
	})
	return names, err
}

func (m *mount) ReadFile(name string) (b []byte, err error) {
	err = m.withFile(name, func(f *inode) { b = append(b, f.data...) })
	return b, err
}

func (m *mount) Create(name string) (journal.File, error) {
	f := &file{mount: m, f: &inode{}}
	err := m.do(func() error {
		if m.d.full {
			return syscall.ENOSPC
		}
		m.d.files[name] = f.f
		return nil
	})
	return f, err
}

func (m *mount) Append(name string) (journal.File, error) {
	f := &file{mount: m}
	err := m.withFile(name, func(n *inode) { f.f = n })
	return f, err
}

func (m *mount) Rename(from, to string) error {
	return m.withFile(from, func(f *inode) {
		delete(m.d.files, from)
		m.d.files[to] = f
	})
}

func (m *mount) Remove(name string) error {
	return m.withFile(name, func(*inode) { delete(m.d.files, name) })
}

func (m *mount) SyncDir(dir string) error {
	prefix := filepath.Clean(dir) + "/"
	return m.do(func() error {
		maps.DeleteFunc(m.d.durable, func(name string, _ *inode) bool { return strings.HasPrefix(name, prefix) })
		for name, f := range m.d.files {
			if strings.HasPrefix(name, prefix) {
				m.d.durable[name] = f
			}
		}
		return nil
	})
}

// Lock does nothing: tests decide how many processes use a folder.
func (m *mount) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type file struct {
	*mount
	f *inode
}

func (f *file) Write(b []byte) (int, error) {
	return len(b), f.do(func() error {
		if f.d.full {
			f.f.data = append(f.f.data, b[:len(b)/2]...)
			return syscall.ENOSPC
		}
		f.f.data = append(f.f.data, b...)
		return nil
	})
}

func (f *file) Truncate(size int64) error {
	return f.do(func() error {
		f.f.data = f.f.data[:size:size]
		return nil
	})
}

func (f *file) Sync() error {
	f.d.waitForSync()
	return f.do(func() error {
		f.d.syncs++
		if !f.d.SkipSync {
			f.f.synced = append([]byte(nil), f.f.data...)
		}
		return nil
	})
}

func (f *file) Close() error { return nil }
