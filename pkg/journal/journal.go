// Package journal keeps a consensus log, its hard state and its snapshots
// durable in one folder.
//
// # Usage
//
//	j, err := journal.Open("/var/lib/carawayshift")
//	err = j.Append([]journal.Entry{{Index: j.Last() + 1, Term: 3, Data: data}})
//	err = j.SaveSnapshot(journal.Snapshot{Index: 40, Term: 3, Data: state})
//	err = j.Compact(30)
//
// Every method that changes the journal returns success only after the file
// and, where a name changed, the folder were synced. After a failed write or
// sync the journal refuses all further changes, because the state of the file
// is then unknown; the process must be restarted.
//
// # Files
//
// "state" holds the hard state. "<first index>-<number>.log" are the segments
// of the log. One record of a segment is the batch of entries of one Append.
// A record whose first index is not above the last one replaces the entries
// from there on, so that the log files are never rewritten. "<index>.snap"
// is the newest snapshot. "lock" keeps a second process away.
//
// A record that was being written when the process died fails its checksum
// and has no valid record after it: Open cuts it off. Any other checksum
// failure stops Open with an error that names the remedy.
package journal

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// Entry is one log entry. Indexes start at 1 and have no gaps. Kind belongs
// to the owner of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint8
	Data  []byte
}

// HardState is what a voter must not forget.
type HardState struct {
	// Identity is the random identity of the disk. It is made by Open in an
	// empty folder and never changes.
	Identity uint64 `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`
	// Vote is the host that got the vote in Term, or "".
	Vote string `cbor:"3,keyasint,omitempty"`
	// Membership is the membership before the first log entry.
	Membership []byte `cbor:"4,keyasint,omitempty"`
	// Refused is set when the group found that this folder is older than
	// what its host had acknowledged.
	Refused bool `cbor:"5,keyasint,omitempty"`
}

// Snapshot is the state after the entry at Index, which has Term.
type Snapshot struct {
	Index      uint64 `cbor:"1,keyasint"`
	Term       uint64 `cbor:"2,keyasint"`
	Membership []byte `cbor:"3,keyasint,omitempty"`
	Data       []byte `cbor:"4,keyasint,omitempty"`
}

// ErrCompacted says that the entries are no longer in the log, only in a
// snapshot.
var ErrCompacted = errors.New("journal: entries are compacted into a snapshot")

// Journal is a durable log in one folder. Its methods can be called from many
// goroutines. Writers wait for each other on a channel, not on a mutex, so
// that readers never wait for the disk.
type Journal struct {
	fs     FS
	dir    string
	writer chan struct{}

	mu       sync.Mutex
	hard     HardState
	snap     Snapshot // without Data
	entries  []Entry  // the log from entries[0].Index on
	segments []segment
	failed   error

	// Only the holder of writer uses these.
	open   File
	lock   io.Closer
	number uint64
}

// Open opens the journal of a folder, and makes both when they don't exist.
func Open(dir string) (*Journal, error) { return OpenFS(osFS{}, dir) }

// OpenFS is Open on another file system.
func OpenFS(fs FS, dir string) (*Journal, error) {
	j := &Journal{fs: fs, dir: dir, writer: make(chan struct{}, 1)}
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

// Hard returns the hard state.
func (j *Journal) Hard() HardState {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.hard
}

// Last returns the index of the last entry, or of the snapshot when the log
// has no entries after it.
func (j *Journal) Last() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.last()
}

func (j *Journal) last() uint64 {
	if n := len(j.entries); n > 0 {
		return j.entries[n-1].Index
	}
	return j.snap.Index
}

// First returns the index of the first entry that Entries can return.
func (j *Journal) First() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.first()
}

func (j *Journal) first() uint64 {
	if len(j.entries) > 0 {
		return j.entries[0].Index
	}
	return j.snap.Index + 1
}

// Term returns the term of the entry at an index. It is known for the entries
// of the log, for the snapshot's index and for index 0.
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
	if index < j.first() || index > j.last() {
		return 0, false
	}
	return j.entries[index-j.first()].Term, true
}

// Entries returns the entries from an index on, at most max of them and at
// most maxBytes of data, but always one if there is one. The data must not be
// changed. The error is ErrCompacted when the first one is no longer there.
func (j *Journal) Entries(from uint64, max, maxBytes int) ([]Entry, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if from < j.first() {
		return nil, ErrCompacted
	}
	if from > j.last() {
		return nil, nil
	}
	list := j.entries[from-j.first():]
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

// SnapshotIndex returns index and term of the newest snapshot, or zeros.
func (j *Journal) SnapshotIndex() (index, term uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.snap.Index, j.snap.Term
}

// Snapshot reads the newest snapshot. Index is 0 when there is none.
func (j *Journal) Snapshot() (Snapshot, error) {
	for {
		index, _ := j.SnapshotIndex()
		if index == 0 {
			return Snapshot{}, nil
		}
		s, err := j.readSnapshot(index)
		if now, _ := j.SnapshotIndex(); err != nil && now != index {
			continue // replaced by a newer one while it was read
		}
		return s, errors.Wrap(err, "journal.Snapshot")
	}
}

// LogSize returns the size of the log's files in bytes.
func (j *Journal) LogSize() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	var size int64
	for _, s := range j.segments {
		size += s.size
	}
	return size
}

// Close closes the open file and lets other processes open the folder.
// Everything acknowledged is already durable.
func (j *Journal) Close() error {
	j.writer <- struct{}{}
	defer func() { <-j.writer }()
	j.fail(carawayshift.NewError(carawayshift.NotRun, "the journal is closed", "open it again"))
	err := errors.CombineErrors(j.closeSegment(), j.lock.Close())
	return errors.Wrap(err, "journal.Close")
}

// fail records the first failure, after which all changes are refused.
func (j *Journal) fail(err error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed == nil {
		j.failed = err
	}
	return err
}

// begin waits for other writers and refuses when the journal has failed.
func (j *Journal) begin() error {
	j.writer <- struct{}{}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		<-j.writer
		return j.failed
	}
	return nil
}

func (j *Journal) end() { <-j.writer }
