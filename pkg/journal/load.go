package journal

import (
	"crypto/rand"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"carawayshift.example/carawayshift"
)

// remedy describes how operators recover a host with a corrupt data folder.
const remedy = "restore no old copy; remove this host from the voters, empty its data folder, start it and add it again as a learner"

func corruptFileError(name, what string) error {
	return carawayshift.NewError(carawayshift.Malformed, "journal file "+name+": "+what, remedy)
}

// load reads the files of the folder. It ignores files whose names end in .tmp:
// a crash left them before they were renamed.
func (j *Journal) load() error {
	names, err := j.fs.List(j.dir)
	if err != nil {
		return err
	}
	slices.Sort(names)
	var logs, snaps []string
	hasState := false
	for _, name := range names {
		switch {
		case name == stateFile:
			hasState = true
		case strings.HasSuffix(name, logSuffix):
			logs = append(logs, name)
		case strings.HasSuffix(name, snapSuffix):
			snaps = append(snaps, name)
		}
	}
	if !hasState && len(logs)+len(snaps) > 0 {
		return corruptFileError(stateFile, "it is missing although there are log or snapshot files")
	}
	if !hasState {
		return j.initialize()
	}
	return j.loadFiles(logs, snaps)
}

// initialize generates the identity of an empty folder.
func (j *Journal) initialize() error {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	j.hardState.Identity = binary.LittleEndian.Uint64(b[:]) | 1 // never 0
	return j.SetHardState(j.hardState)
}

func (j *Journal) loadFiles(logs, snaps []string) error {
	if err := j.loadState(); err != nil {
		return err
	}
	if err := j.loadSnapshot(snaps); err != nil {
		return err
	}
	for i, name := range logs {
		if err := j.loadSegment(name, i == len(logs)-1); err != nil {
			return err
		}
	}
	return j.reconcile()
}

func (j *Journal) loadState() error {
	b, err := j.fs.ReadFile(j.path(stateFile))
	if err != nil {
		return err
	}
	body, _, err := readRecord(b)
	if err != nil {
		return corruptFileError(stateFile, "checksum mismatch")
	}
	return carawayshift.Decode(body, &j.hardState)
}

// loadSnapshot loads the newest snapshot and removes older ones, which a crash
// has left.
func (j *Journal) loadSnapshot(names []string) error {
	for i, name := range names {
		if i < len(names)-1 {
			if err := j.fs.Remove(j.path(name)); err != nil {
				return err
			}
			continue
		}
		index, err := strconv.ParseUint(strings.TrimSuffix(name, snapSuffix), 16, 64)
		if err != nil {
			return corruptFileError(name, "the file name is not valid")
		}
		s, err := j.readSnapshot(index)
		if err != nil {
			return err
		}
		s.Data = nil
		j.snap = s
	}
	return nil
}

func (j *Journal) readSnapshot(index uint64) (Snapshot, error) {
	name := snapshotName(index)
	b, err := j.fs.ReadFile(j.path(name))
	if err != nil {
		return Snapshot{}, err
	}
	body, _, err := readRecord(b)
	if err != nil {
		return Snapshot{}, corruptFileError(name, "checksum mismatch")
	}
	var s Snapshot
	if err := carawayshift.Decode(body, &s); err != nil {
		return Snapshot{}, err
	}
	if s.Index != index {
		return Snapshot{}, corruptFileError(name, "it contains the snapshot of another index")
	}
	return s, nil
}

// loadSegment replays one segment. Only the newest segment may end with an
// incomplete record.
func (j *Journal) loadSegment(name string, newest bool) error {
	number, err := strconv.ParseUint(name[:strings.IndexAny(name, "-.")], 16, 64)
	if err != nil {
		return corruptFileError(name, "the file name is not valid")
	}
	j.segmentNumber = max(j.segmentNumber, number)
	b, err := j.fs.ReadFile(j.path(name))
	if err != nil {
		return err
	}
	s := segment{name: name}
	rest := b
	for len(rest) > 0 {
		body, next, err := readRecord(rest)
		if err != nil {
			break
		}
		if err := j.replay(name, body, &s); err != nil {
			return err
		}
		rest = next
	}
	s.size = int64(len(b) - len(rest))
	j.segments = append(j.segments, s)
	if len(rest) > 0 && (!newest || containsRecord(rest[1:])) {
		return corruptFileError(name, "checksum mismatch at byte "+strconv.FormatInt(s.size, 10))
	}
	if !newest {
		return nil
	}
	return j.openLastSegment(s, len(rest) > 0)
}

func (j *Journal) replay(name string, body []byte, s *segment) error {
	entries, err := decodeBatch(body)
	if err != nil || len(entries) == 0 {
		return corruptFileError(name, "a record can't be decoded")
	}
	s.lastIndex = max(s.lastIndex, entries[len(entries)-1].Index)
	first := entries[0].Index
	switch {
	case len(j.entries) == 0 || first < j.entries[0].Index:
		j.entries = entries
	case first <= j.lastIndex()+1:
		j.entries = replaceSuffix(j.entries, entries)
	case first <= j.snap.Index+1:
		j.entries = entries // the snapshot covers the gap
	default:
		return corruptFileError(name, "entries are missing before index "+strconv.FormatUint(first, 10))
	}
	return nil
}

// openLastSegment opens the newest segment for appending and truncates an
// incomplete record.
func (j *Journal) openLastSegment(s segment, torn bool) error {
	f, err := j.fs.Append(j.path(s.name))
	if err != nil {
		return err
	}
	j.segmentFile = f
	if !torn {
		return nil
	}
	if err := f.Truncate(s.size); err != nil {
		return err
	}
	return f.Sync()
}

// reconcile checks that the log continues the snapshot. It removes a log that
// ends before the snapshot or conflicts with it, which happens when the process
// crashes after it has stored the snapshot and before it has removed the log. The
// entries up to the snapshot may have been compacted.
func (j *Journal) reconcile() error {
	if len(j.entries) == 0 {
		return nil
	}
	first, last := j.entries[0].Index, j.entries[len(j.entries)-1].Index
	if first > j.snap.Index+1 {
		return corruptFileError(j.segments[0].name, "the snapshot before its first entry is missing")
	}
	if j.snap.Index == 0 || first > j.snap.Index {
		return nil
	}
	if last >= j.snap.Index && j.entries[j.snap.Index-first].Term == j.snap.Term {
		return nil
	}
	drop := j.segments
	j.segments, j.entries = nil, nil
	if err := j.closeSegment(); err != nil {
		return err
	}
	return j.removeSegments(drop)
}
