package journal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// FS is the file system interface that a journal needs. Names are full paths.
// Written data is durable only after File.Sync, and the creation, renaming or
// removal of a file only after SyncDir of its folder.
type FS interface {
	MkdirAll(dir string) error
	// List returns the base names of the files in a folder.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file for appending, or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	// Lock locks the folder for this process until the closer is closed.
	Lock(dir string) (io.Closer, error)
}

// File is an open file of an FS.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// osFS implements FS with the operating system's files.
type osFS struct{}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll also syncs the parent folder, so that a new data folder survives a
// crash.
func (o osFS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "journal.MkdirAll")
	}
	return o.SyncDir(filepath.Dir(filepath.Clean(dir)))
}

func (osFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, errors.Wrap(err, "journal.List")
}

// Lock uses flock, which the kernel releases when the process exits.
func (osFS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "journal.Lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		err = carawayshift.NewError(carawayshift.Conflict, "the data folder "+dir+" is in use by another process", "stop that process, or give each process its own folder")
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

func (osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

func (osFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
}

func (osFS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, fileMode)
}

func (osFS) Rename(from, to string) error { return os.Rename(from, to) }

func (osFS) Remove(name string) error { return os.Remove(name) }

func (osFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "journal.SyncDir")
	}
	err = d.Sync()
	return errors.Wrap(errors.CombineErrors(err, d.Close()), "journal.SyncDir")
}
