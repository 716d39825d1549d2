package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// A record consists of a magic number, the length of the body, its CRC-32C
// (little endian, 4 bytes each) and the body. State, log and snapshot files all
// consist of records. The magic number lets Open detect whether a valid record
// follows a corrupt one.
const (
	recordMagic  = 0x57a7c0de
	recordHeader = 12
	// maxBody limits the body of a record. Snapshots have the largest records.
	maxBody = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errCorrupt = errors.New("corrupt record")
)

// checksum also covers the length, so that a corrupt length is detected.
func checksum(header, body []byte) uint32 {
	sum := crc32.Update(0, castagnoli, header[:8])
	return crc32.Update(sum, castagnoli, body)
}

func appendRecord(b, body []byte) []byte {
	var h [recordHeader]byte
	binary.LittleEndian.PutUint32(h[0:], recordMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(h[8:], checksum(h[:], body))
	return append(append(b, h[:]...), body...)
}

// readRecord returns the body of the first record of b and the rest of b.
func readRecord(b []byte) (body, rest []byte, err error) {
	if len(b) < recordHeader || binary.LittleEndian.Uint32(b) != recordMagic {
		return nil, nil, errCorrupt
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > maxBody || int(n) > len(b)-recordHeader {
		return nil, nil, errCorrupt
	}
	body = b[recordHeader : recordHeader+int(n)]
	if binary.LittleEndian.Uint32(b[8:]) != checksum(b, body) {
		return nil, nil, errCorrupt
	}
	return body, b[recordHeader+int(n):], nil
}

// containsRecord reports whether a valid record starts anywhere in b.
func containsRecord(b []byte) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], recordMagic)
	for {
		i := bytes.Index(b, magic[:])
		if i < 0 {
			return false
		}
		if _, _, err := readRecord(b[i:]); err == nil {
			return true
		}
		b = b[i+1:]
	}
}

// encodeBatch returns the body of a log record: the first index, then the term,
// kind, data length and data of each entry.
func encodeBatch(entries []Entry) []byte {
	b := binary.AppendUvarint(nil, entries[0].Index)
	for _, e := range entries {
		b = binary.AppendUvarint(b, e.Term)
		b = append(b, e.Kind)
		b = binary.AppendUvarint(b, uint64(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

func decodeBatch(b []byte) ([]Entry, error) {
	index, b, err := readUvarint(b)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for len(b) > 0 {
		var e Entry
		e, b, err = readEntry(b)
		if err != nil {
			return nil, err
		}
		e.Index = index
		index++
		entries = append(entries, e)
	}
	return entries, nil
}

func readEntry(b []byte) (Entry, []byte, error) {
	term, b, err := readUvarint(b)
	if err != nil || len(b) == 0 {
		return Entry{}, nil, errCorrupt
	}
	kind := b[0]
	n, b, err := readUvarint(b[1:])
	if err != nil || n > uint64(len(b)) {
		return Entry{}, nil, errCorrupt
	}
	data := bytes.Clone(b[:n])
	return Entry{Term: term, Kind: kind, Data: data}, b[n:], nil
}

func readUvarint(b []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, errCorrupt
	}
	return v, b[n:], nil
}
