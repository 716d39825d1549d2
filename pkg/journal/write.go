package journal

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

const (
	stateFile    = "state"
	lockFile     = "lock"
	logSuffix    = ".log"
	snapSuffix   = ".snap"
	tempSuffix   = ".tmp"
	segmentBytes = 4 << 20
)

// segment is one file of the log.
type segment struct {
	name string
	// last is the highest index that any record of the file holds, replaced
	// entries included.
	last uint64
	size int64
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapSuffix) }

func segmentName(first, number uint64) string {
	return fmt.Sprintf("%016x-%016x%s", number, first, logSuffix)
}

// replaceFile writes a whole file so that after a crash either the old or the
// new content is there.
func (j *Journal) replaceFile(name string, body []byte) error {
	temp := j.path(name + tempSuffix)
	f, err := j.fs.Create(temp)
	if err != nil {
		return err
	}
	_, err = f.Write(appendRecord(nil, body))
	if err == nil {
		err = f.Sync()
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return err
	}
	if err := j.fs.Rename(temp, j.path(name)); err != nil {
		return err
	}
	return j.fs.SyncDir(j.dir)
}

// SetHard replaces the hard state. The identity of the disk stays.
func (j *Journal) SetHard(h HardState) error {
	if err := j.begin(); err != nil {
		return err
	}
	defer j.end()
	h.Identity = j.Hard().Identity
	body, err := carawayshift.Encode(h)
	if err == nil {
		err = j.replaceFile(stateFile, body)
	}
	if err != nil {
		return j.fail(errors.Wrap(err, "journal.SetHard"))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.hard = h
	return nil
}

// Append writes entries. When the first one's index is not above Last, the
// entries from there on are replaced.
func (j *Journal) Append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := j.begin(); err != nil {
		return err
	}
	defer j.end()
	if err := j.checkBatch(entries); err != nil {
		return err
	}
	record := appendRecord(nil, encodeBatch(entries))
	if err := j.writeRecord(entries[0].Index, record); err != nil {
		return j.fail(errors.Wrap(err, "journal.Append"))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &j.segments[len(j.segments)-1]
	s.size += int64(len(record))
	s.last = max(s.last, entries[len(entries)-1].Index)
	j.entries = splice(j.entries, entries)
	return nil
}

// checkBatch refuses a gap, and the replacement of what a snapshot covers.
func (j *Journal) checkBatch(entries []Entry) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	first := entries[0].Index
	if first > j.last()+1 || first <= j.snap.Index {
		return errors.Newf("journal.Append: index %d does not follow the log that ends at %d with a snapshot at %d", first, j.last(), j.snap.Index)
	}
	for i, e := range entries {
		if e.Index != first+uint64(i) {
			return errors.Newf("journal.Append: index %d where %d is due", e.Index, first+uint64(i))
		}
	}
	return nil
}

// splice replaces the entries from the first new one on. It never changes
// the old array in place, because readers may hold slices of it.
func splice(log, entries []Entry) []Entry {
	if len(log) == 0 {
		return append([]Entry(nil), entries...)
	}
	keep := int(entries[0].Index - log[0].Index)
	if keep < len(log) {
		log = append([]Entry(nil), log[:keep]...)
	}
	return append(log, entries...)
}

func (j *Journal) writeRecord(first uint64, record []byte) error {
	if err := j.rollSegment(first); err != nil {
		return err
	}
	if _, err := j.open.Write(record); err != nil {
		return err
	}
	return j.open.Sync()
}

// rollSegment starts a new file when there is none or the last one is full.
func (j *Journal) rollSegment(first uint64) error {
	if j.open != nil && j.lastSegment().size < segmentBytes {
		return nil
	}
	if err := j.closeSegment(); err != nil {
		return err
	}
	j.number++
	name := segmentName(first, j.number)
	f, err := j.fs.Create(j.path(name))
	if err != nil {
		return err
	}
	j.open = f
	j.mu.Lock()
	j.segments = append(j.segments, segment{name: name})
	j.mu.Unlock()
	return j.fs.SyncDir(j.dir)
}

func (j *Journal) lastSegment() segment {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.segments[len(j.segments)-1]
}

// SaveSnapshot stores a snapshot and drops older ones. When the log holds the
// entry of the snapshot, the log stays; otherwise the log conflicts with the
// snapshot or ends before it, and is dropped. A snapshot that is not newer
// than the stored one is ignored.
func (j *Journal) SaveSnapshot(s Snapshot) error {
	if err := j.begin(); err != nil {
		return err
	}
	defer j.end()
	old, _ := j.SnapshotIndex()
	if s.Index <= old {
		return nil
	}
	body, err := carawayshift.Encode(s)
	if err == nil {
		err = j.replaceFile(snapshotName(s.Index), body)
	}
	if err == nil {
		err = j.adoptSnapshot(s)
	}
	if err == nil && old > 0 {
		err = j.fs.Remove(j.path(snapshotName(old)))
	}
	if err != nil {
		return j.fail(errors.Wrap(err, "journal.SaveSnapshot"))
	}
	return nil
}

func (j *Journal) adoptSnapshot(s Snapshot) error {
	j.mu.Lock()
	term, ok := j.term(s.Index)
	s.Data = nil
	j.snap = s
	if ok && term == s.Term {
		j.mu.Unlock()
		return nil
	}
	drop := j.segments
	j.segments, j.entries = nil, nil
	j.mu.Unlock()
	if err := j.closeSegment(); err != nil {
		return err
	}
	return j.removeSegments(drop)
}

func (j *Journal) removeSegments(list []segment) error {
	if len(list) == 0 {
		return nil
	}
	for _, s := range list {
		if err := j.fs.Remove(j.path(s.name)); err != nil {
			return err
		}
	}
	return j.fs.SyncDir(j.dir)
}

// Compact drops the entries up to an index that the newest snapshot covers.
// Files are removed when all their entries are dropped.
func (j *Journal) Compact(index uint64) error {
	if err := j.begin(); err != nil {
		return err
	}
	defer j.end()
	err := j.closeSegment()
	if err == nil {
		err = j.removeSegments(j.dropEntries(index))
	}
	if err != nil {
		return j.fail(errors.Wrap(err, "journal.Compact"))
	}
	return nil
}

// closeSegment lets the next Append start a new file, so that the old one can
// be removed at a later compaction however small it is.
func (j *Journal) closeSegment() error {
	if j.open == nil {
		return nil
	}
	err := j.open.Close()
	j.open = nil
	return err
}

// dropEntries returns the segments that are no longer needed.
func (j *Journal) dropEntries(index uint64) []segment {
	j.mu.Lock()
	defer j.mu.Unlock()
	index = min(index, j.snap.Index)
	if len(j.entries) > 0 && index >= j.first() {
		n := min(int(index-j.first())+1, len(j.entries))
		j.entries = append([]Entry(nil), j.entries[n:]...)
	}
	n := 0
	for n < len(j.segments) && j.segments[n].last <= index {
		n++
	}
	drop := append([]segment(nil), j.segments[:n]...)
	j.segments = append([]segment(nil), j.segments[n:]...)
	return drop
}
