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
	probeFile    = "probe"
	checkFile    = "check"
	probeBytes   = 64 << 10
)

// segment is one file of the log.
type segment struct {
	name string
	// lastIndex is the highest index in any record of the file, including replaced
	// entries.
	lastIndex uint64
	size      int64
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapSuffix) }

func segmentName(first, number uint64) string {
	return fmt.Sprintf("%016x-%016x%s", number, first, logSuffix)
}

// replaceFile replaces a file atomically: after a crash it has either the old or
// the new content. After an error the journal is usable only if the error is
// ErrDiskFull.
func (j *Journal) replaceFile(name string, body []byte) error {
	if err := j.writeTemp(name, body); err != nil {
		return j.changeFailed(err)
	}
	err := j.fs.Rename(j.path(name+tempSuffix), j.path(name))
	if err == nil {
		err = j.fs.SyncDir(j.dir)
	}
	if err != nil {
		return j.setFailed(err)
	}
	return nil
}

// writeTemp writes and syncs the temporary file that is to replace a file. A file
// that can't be written is removed, so that it takes no space.
func (j *Journal) writeTemp(name string, body []byte) error {
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
		return errors.CombineErrors(err, j.fs.Remove(temp))
	}
	return nil
}

// SetHardState replaces the hard state except for the identity of the disk.
func (j *Journal) SetHardState(h HardState) error {
	if err := j.beginChange(); err != nil {
		return err
	}
	defer j.endChange()
	h.Identity = j.HardState().Identity
	body, err := carawayshift.Encode(h)
	if err == nil {
		err = j.replaceFile(stateFile, body)
	}
	if err != nil {
		return errors.Wrap(err, "journal.SetHardState")
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.hardState = h
	return nil
}

// Append appends entries to the log. When the index of the first one is not above
// LastIndex, they replace the entries from that index on.
func (j *Journal) Append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := j.beginChange(); err != nil {
		return err
	}
	defer j.endChange()
	if err := j.checkBatch(entries); err != nil {
		return err
	}
	record := appendRecord(nil, encodeBatch(entries))
	if err := j.writeRecord(entries[0].Index, record); err != nil {
		return j.changeFailed(errors.Wrap(err, "journal.Append"))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &j.segments[len(j.segments)-1]
	s.size += int64(len(record))
	s.lastIndex = max(s.lastIndex, entries[len(entries)-1].Index)
	j.entries = replaceSuffix(j.entries, entries)
	return nil
}

// checkBatch returns an error if the entries leave a gap in the log, or replace
// entries that a snapshot covers.
func (j *Journal) checkBatch(entries []Entry) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	first := entries[0].Index
	if first > j.lastIndex()+1 || first <= j.snap.Index {
		return errors.Newf("journal.Append: index %d does not follow the log that ends at %d with a snapshot at %d", first, j.lastIndex(), j.snap.Index)
	}
	for i, e := range entries {
		if e.Index != first+uint64(i) {
			return errors.Newf("journal.Append: index %d instead of %d", e.Index, first+uint64(i))
		}
	}
	return nil
}

// replaceSuffix replaces the entries of log from the index of the first new one on.
// It never changes the old array, because readers may hold slices of it.
func replaceSuffix(log, entries []Entry) []Entry {
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
	if err := j.removeTornRecord(); err != nil {
		return err
	}
	if err := j.rollSegment(first); err != nil {
		return err
	}
	j.torn = true
	if _, err := j.segmentFile.Write(record); err != nil {
		return err
	}
	if err := j.segmentFile.Sync(); err != nil {
		return err
	}
	j.torn = false
	return nil
}

// removeTornRecord removes what a failed write left in the open segment.
func (j *Journal) removeTornRecord() error {
	if !j.torn || j.segmentFile == nil {
		return nil
	}
	if err := j.segmentFile.Truncate(j.lastSegment().size); err != nil {
		return err
	}
	j.torn = false
	return nil
}

// rollSegment starts a new segment when none is open or the current one is full.
func (j *Journal) rollSegment(first uint64) error {
	if j.segmentFile != nil && j.lastSegment().size < segmentBytes {
		return nil
	}
	if err := j.closeSegment(); err != nil {
		return err
	}
	j.segmentNumber++
	name := segmentName(first, j.segmentNumber)
	f, err := j.fs.Create(j.path(name))
	if err != nil {
		return err
	}
	if err := j.fs.SyncDir(j.dir); err != nil {
		return errors.CombineErrors(errors.CombineErrors(err, f.Close()), j.fs.Remove(j.path(name)))
	}
	j.segmentFile = f
	j.mu.Lock()
	defer j.mu.Unlock()
	j.segments = append(j.segments, segment{name: name})
	return nil
}

func (j *Journal) lastSegment() segment {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.segments[len(j.segments)-1]
}

// SaveSnapshot stores a snapshot and removes the older one. It keeps the log if
// that contains the entry at the snapshot's index and term. Otherwise the log
// conflicts with the snapshot or ends before it, and is removed. A snapshot that
// is not newer than the stored one is ignored.
func (j *Journal) SaveSnapshot(s Snapshot) error {
	if err := j.beginChange(); err != nil {
		return err
	}
	defer j.endChange()
	old, _ := j.SnapshotIndex()
	if s.Index <= old {
		return nil
	}
	body, err := carawayshift.Encode(s)
	if err == nil {
		err = j.replaceFile(snapshotName(s.Index), body)
	}
	if errors.Is(err, ErrDiskFull) {
		return errors.Wrap(err, "journal.SaveSnapshot")
	}
	if err == nil {
		err = j.installSnapshot(s)
	}
	if err == nil && old > 0 {
		err = j.fs.Remove(j.path(snapshotName(old)))
	}
	if err != nil {
		return j.setFailed(errors.Wrap(err, "journal.SaveSnapshot"))
	}
	return nil
}

func (j *Journal) installSnapshot(s Snapshot) error {
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

// Compact removes the entries up to an index, but none after the newest snapshot.
// A segment file is removed once all of its entries are.
func (j *Journal) Compact(index uint64) error {
	if err := j.beginChange(); err != nil {
		return err
	}
	defer j.endChange()
	err := j.removeTornRecord()
	if IsDiskFull(err) {
		return j.changeFailed(errors.Wrap(err, "journal.Compact"))
	}
	if err == nil {
		err = j.closeSegment()
	}
	if err == nil {
		err = j.removeSegments(j.dropEntries(index))
	}
	if err != nil {
		return j.setFailed(errors.Wrap(err, "journal.Compact"))
	}
	return nil
}

// closeSegment makes the next Append start a new segment, so that a later
// compaction can remove the closed one, however small it is.
func (j *Journal) closeSegment() error {
	if j.segmentFile == nil {
		return nil
	}
	err := j.segmentFile.Close()
	j.segmentFile, j.torn = nil, false
	return err
}

// dropEntries removes entries from memory and returns the segments that are no
// longer needed.
func (j *Journal) dropEntries(index uint64) []segment {
	j.mu.Lock()
	defer j.mu.Unlock()
	index = min(index, j.snap.Index)
	if len(j.entries) > 0 && index >= j.firstIndex() {
		n := min(int(index-j.firstIndex())+1, len(j.entries))
		j.entries = append([]Entry(nil), j.entries[n:]...)
	}
	n := 0
	for n < len(j.segments) && j.segments[n].lastIndex <= index {
		n++
	}
	drop := append([]segment(nil), j.segments[:n]...)
	j.segments = append([]segment(nil), j.segments[n:]...)
	return drop
}
