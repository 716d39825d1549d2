// Package memdisk is a file system in memory that loses what was not synced.
// Tests of programs that embed a journal use it to crash and to lose disks.
//
// # Usage
//
//	d := memdisk.New()
//	j, err := journal.OpenFS(d.Mount(), "/data")
//	d.Crash(rng)    // the mount fails; unsynced writes are lost or torn
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
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift/pkg/journal"
)

// ErrCrashed is the error of a mount that is older than the last crash.
var ErrCrashed = errors.New("memdisk: the host crashed")

type inode struct {
	data   []byte
	synced []byte
}

// Disk outlives the crashes of its host. File contents survive as of the last
// Sync, names as of the last SyncDir.
type Disk struct {
	// SyncTime is how long one Sync takes. It must be set before use.
	SyncTime time.Duration
	// SkipSync makes Sync do nothing, to show which tests need it.
	SkipSync bool

	mu      sync.Mutex
	epoch   int
	names   map[string]*inode
	durable map[string]*inode
	syncs   int
	// left is the number of operations before the next crash, when armed.
	left  int
	armed bool
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}}
}

// Syncs returns the number of file syncs so far.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Crash fails all mounts. A random part of what was written after the
// last sync survives, with the last byte of it damaged when rng says so.
func (d *Disk) Crash(rng *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.armed = false
	d.names = map[string]*inode{}
	for name, f := range d.durable {
		kept := append([]byte(nil), f.synced...)
		if extra := len(f.data) - len(f.synced); extra > 0 {
			kept = append(kept, f.data[len(f.synced):len(f.synced)+rng.IntN(extra+1)]...)
			if len(kept) > len(f.synced) && rng.IntN(2) == 0 {
				kept[len(kept)-1] ^= 0x5a
			}
		}
		d.names[name] = &inode{data: kept, synced: append([]byte(nil), kept...)}
	}
	d.durable = maps.Clone(d.names)
}

// Lose fails all mounts and empties the disk.
func (d *Disk) Lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.names, d.durable = map[string]*inode{}, map[string]*inode{}
}

// Copy returns a disk with the durable content of this one, as a backup of
// the folder would have it.
func (d *Disk) Copy() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := New()
	c.SyncTime = d.SyncTime
	for name, f := range d.durable {
		b := append([]byte(nil), f.synced...)
		c.names[name] = &inode{data: b, synced: b}
	}
	c.durable = maps.Clone(c.names)
	return c
}

// Interrupt lets n more operations succeed; then all mounts fail until the
// next Crash.
func (d *Disk) Interrupt(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left, d.armed = n, true
}

// Damage flips one bit of a file at an offset from its start, or from its end
// when the offset is negative.
func (d *Disk) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.names[name]
	f.data = append([]byte(nil), f.data...)
	if offset < 0 {
		offset += len(f.data)
	}
	f.data[offset] ^= 1
	f.synced = append([]byte(nil), f.data...)
}

// Mount returns the disk's file system. It fails after the next crash, so
// that what is left of the crashed process can't change the disk.
func (d *Disk) Mount() journal.FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &mount{d: d, epoch: d.epoch}
}

type mount struct {
	d     *Disk
	epoch int
}

// do runs fn unless the host crashed after the mount.
func (m *mount) do(fn func() error) error {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	if m.epoch != m.d.epoch {
		return ErrCrashed
	}
	if m.d.armed && m.d.left == 0 {
		return ErrCrashed
	}
	if m.d.armed {
		m.d.left--
	}
	return fn()
}

// find runs fn with an existing file.
func (m *mount) find(name string, fn func(f *inode)) error {
	return m.do(func() error {
		f, ok := m.d.names[name]
		if !ok {
			return errors.Wrap(fs.ErrNotExist, name)
		}
		fn(f)
		return nil
	})
}

// MkdirAll does nothing: folders exist by their files.
func (m *mount) MkdirAll(string) error { return nil }

func (m *mount) List(dir string) (names []string, err error) {
	err = m.do(func() error {
		for name := range m.d.names {
			if filepath.Dir(name) == filepath.Clean(dir) {
				names = append(names, filepath.Base(name))
			}
		}
		return nil
	})
	return names, err
}

func (m *mount) ReadFile(name string) (b []byte, err error) {
	err = m.find(name, func(f *inode) { b = append(b, f.data...) })
	return b, err
}

func (m *mount) Create(name string) (journal.File, error) {
	f := &file{mount: m, f: &inode{}}
	err := m.do(func() error {
		m.d.names[name] = f.f
		return nil
	})
	return f, err
}

func (m *mount) Append(name string) (journal.File, error) {
	f := &file{mount: m}
	err := m.find(name, func(n *inode) { f.f = n })
	return f, err
}

func (m *mount) Rename(from, to string) error {
	return m.find(from, func(f *inode) {
		delete(m.d.names, from)
		m.d.names[to] = f
	})
}

func (m *mount) Remove(name string) error {
	return m.find(name, func(*inode) { delete(m.d.names, name) })
}

func (m *mount) SyncDir(dir string) error {
	prefix := filepath.Clean(dir) + "/"
	return m.do(func() error {
		maps.DeleteFunc(m.d.durable, func(name string, _ *inode) bool { return strings.HasPrefix(name, prefix) })
		for name, f := range m.d.names {
			if strings.HasPrefix(name, prefix) {
				m.d.durable[name] = f
			}
		}
		return nil
	})
}

// Lock does nothing: a test decides itself how many processes it runs.
func (m *mount) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type file struct {
	*mount
	f *inode
}

func (f *file) Write(b []byte) (int, error) {
	return len(b), f.do(func() error {
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
	if f.d.SyncTime > 0 {
		time.Sleep(f.d.SyncTime)
	}
	return f.do(func() error {
		f.d.syncs++
		if !f.d.SkipSync {
			f.f.synced = append([]byte(nil), f.f.data...)
		}
		return nil
	})
}

func (f *file) Close() error { return nil }
