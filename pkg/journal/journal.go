// Package journal stores a consensus log, its hard state and its snapshots
// durably in one folder.
//
// # Usage
//
//	j, err := journal.Open("/var/lib/carawayshift")
//	err = j.Append([]journal.Entry{{Index: j.LastIndex() + 1, Term: 3, Data: data}})
//	err = j.SaveSnapshot(journal.Snapshot{Index: 40, Term: 3, Data: state})
//	err = j.Compact(30)
//
// Every method that changes the journal returns success only after the file was
// synced, and also the folder if a file was created, renamed or removed. After a
// failed write or sync the journal refuses all further changes, because the
// content of the file is then unknown; the process must be restarted. A full disk
// is the exception: the change fails with ErrDiskFull, the journal stays as it was,
// and changes succeed again once there is space.
//
// # Files
//
// "state" holds the hard state. "<number>-<first index>.log" are the segments of
// the log. One record of a segment is the batch of entries of one Append. A
// record whose first index is not above the last one replaces the entries from
// there on, so the log files are never rewritten. "<index>.snap" is the newest
// snapshot. "lock" prevents a second process from opening the folder.
//
// A record that was being written when the process crashed fails its checksum and
// has no valid record after it: Open truncates it. After any other checksum
// failure, Open returns an error that names the remedy.
package journal

import (
	"fmt"
	"io"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// Entry is one log entry. Indexes start at 1 and have no gaps. The journal does
// not interpret Kind.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint8
	Data  []byte
}

// HardState is the state that a voter must persist.
type HardState struct {
	// Identity is the random identity of the disk. Open generates it in an
	// empty folder; it never changes.
	Identity uint64 `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`
	// Vote is the host that this host voted for in Term, or "".
	Vote string `cbor:"3,keyasint,omitempty"`
	// Membership is the membership before the first log entry.
	Membership []byte `cbor:"4,keyasint,omitempty"`
	// Refused is set when the group has found that this folder lacks changes
	// that its host had acknowledged.
	Refused bool `cbor:"5,keyasint,omitempty"`
}

// Snapshot is the state after the entry at Index, whose term is Term.
type Snapshot struct {
	Index      uint64 `cbor:"1,keyasint"`
	Term       uint64 `cbor:"2,keyasint"`
	Membership []byte `cbor:"3,keyasint,omitempty"`
	Data       []byte `cbor:"4,keyasint,omitempty"`
}

// ErrCompacted means that the entries were removed from the log and only a
// snapshot covers them.
var ErrCompacted = errors.New("journal: entries are compacted into a snapshot")

// ErrDiskFull means that the change was not made because the disk has no space.
// The process may crash before the next change; the entries of a failed Append may
// then be in the log.
var ErrDiskFull = errors.New("journal: no space in the data folder; free some space or extend the disk")

// IsDiskFull reports whether a disk without space is the cause of an error of the
// operating system.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Journal is a durable log in one folder. Its methods are safe for concurrent
// use. Writers are serialised by the channel writeLock and not by mu, so that
// readers never wait for the disk.
type Journal struct {
	fs        FS
	dir       string
	writeLock chan struct{}

	mu        sync.Mutex
	hardState HardState
	snap      Snapshot // without Data
	entries   []Entry  // the entries of the log that were not compacted
	segments  []segment
	failed    error

	// Only the holder of writeLock uses these.
	segmentFile File
	// torn is true while the open segment may have a part of a record after its
	// size, because the disk was full.
	torn          bool
	lock          io.Closer
	segmentNumber uint64
}

// Open opens the journal in a folder. It creates the folder and the journal if
// they don't exist.
func Open(dir string) (*Journal, error) { return OpenFS(osFS{}, dir) }

// OpenFS is like Open but uses the given file system.
func OpenFS(fs FS, dir string) (*Journal, error) {
	j := &Journal{fs: fs, dir: dir, writeLock: make(chan struct{}, 1)}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, errors.Wrap(err, "journal.OpenFS")
	}
	var err error
	if j.lock, err = fs.Lock(dir); err != nil {
		return nil, errors.Wrap(err, "journal.OpenFS")
	}
	if err := j.load(); err != nil {
		return nil, errors.Wrap(errors.CombineErrors(err, j.lock.Close()), "journal.OpenFS")
	}
	return j, nil
}

func (j *Journal) HardState() HardState {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.hardState
}

// LastIndex returns the index of the last entry, or of the snapshot when the log
// has no entries after it.
func (j *Journal) LastIndex() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastIndex()
}

func (j *Journal) lastIndex() uint64 {
	if n := len(j.entries); n > 0 {
		return j.entries[n-1].Index
	}
	return j.snap.Index
}

// FirstIndex returns the index of the first entry that Entries can return.
func (j *Journal) FirstIndex() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.firstIndex()
}

func (j *Journal) firstIndex() uint64 {
	if len(j.entries) > 0 {
		return j.entries[0].Index
	}
	return j.snap.Index + 1
}

// Term returns the term of the entry at an index. Ok is false unless the entry
// is in the log, or the index is 0 or that of the snapshot.
func (j *Journal) Term(index uint64) (term uint64, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.term(index)
}

func (j *Journal) term(index uint64) (uint64, bool) {
	if index == 0 {
		return 0, true
	}
	if index == j.snap.Index {
		return j.snap.Term, true
	}
	if index < j.firstIndex() || index > j.lastIndex() {
		return 0, false
	}
	return j.entries[index-j.firstIndex()].Term, true
}

// Entries returns the entries from an index on, at most max of them and at most
// maxBytes of data, but at least one entry if there is any. The caller must not
// modify the data. The error is ErrCompacted when the first entry was compacted.
func (j *Journal) Entries(from uint64, max, maxBytes int) ([]Entry, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if from < j.firstIndex() {
		return nil, ErrCompacted
	}
	if from > j.lastIndex() {
		return nil, nil
	}
	list := j.entries[from-j.firstIndex():]
	n, size := 0, 0
	for n < len(list) && n < max {
		size += len(list[n].Data)
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	return append([]Entry(nil), list[:n]...), nil
}

// SnapshotIndex returns the index and the term of the newest snapshot, or zeros.
func (j *Journal) SnapshotIndex() (index, term uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.snap.Index, j.snap.Term
}

// Snapshot reads the newest snapshot. Its Index is 0 when there is none.
func (j *Journal) Snapshot() (Snapshot, error) {
	for {
		index, _ := j.SnapshotIndex()
		if index == 0 {
			return Snapshot{}, nil
		}
		s, err := j.readSnapshot(index)
		if now, _ := j.SnapshotIndex(); err != nil && now != index {
			continue // a newer snapshot replaced it during the read
		}
		return s, errors.Wrap(err, "journal.Snapshot")
	}
}

// LogSize returns the total size of the log segments in bytes.
func (j *Journal) LogSize() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	var size int64
	for _, s := range j.segments {
		size += s.size
	}
	return size
}

// Close closes the current segment and unlocks the folder. All acknowledged
// changes are already durable.
func (j *Journal) Close() error {
	j.writeLock <- struct{}{}
	defer func() { <-j.writeLock }()
	j.setFailed(carawayshift.NewError(carawayshift.NotRun, "the journal is closed", "open it again"))
	err := errors.CombineErrors(j.closeSegment(), j.lock.Close())
	return errors.Wrap(err, "journal.Close")
}

// setFailed records the first failure, after which all changes are refused. It
// returns err.
func (j *Journal) setFailed(err error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed == nil {
		j.failed = err
	}
	return err
}

// changeFailed is setFailed for changes that can be undone: the journal stays
// usable if the disk is full.
func (j *Journal) changeFailed(err error) error {
	if IsDiskFull(err) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return j.setFailed(err)
}

// CheckSpace returns ErrDiskFull unless about what the log needs in a second of
// heavy load can be written.
func (j *Journal) CheckSpace() error {
	if err := j.beginChange(); err != nil {
		return err
	}
	defer j.endChange()
	err := j.writeTemp(probeFile, make([]byte, probeBytes))
	if err == nil {
		err = j.fs.Remove(j.path(probeFile + tempSuffix))
	}
	if err != nil {
		return j.changeFailed(errors.Wrap(err, "journal.CheckSpace"))
	}
	return nil
}

// CheckDisk returns once a small file has reached the disk. It waits for no write in
// progress and makes none wait. It must not be called twice at the same time.
func (j *Journal) CheckDisk() error {
	err := j.writeTemp(checkFile, nil)
	if err == nil {
		err = j.fs.Remove(j.path(checkFile + tempSuffix))
	}
	return errors.Wrap(err, "journal.CheckDisk")
}

// beginChange waits for other writers to finish. It returns the first
// failure if the journal has failed.
func (j *Journal) beginChange() error {
	j.writeLock <- struct{}{}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		<-j.writeLock
		return j.failed
	}
	return nil
}

func (j *Journal) endChange() { <-j.writeLock }
