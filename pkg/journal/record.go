package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// A record is a mark, the length and the CRC-32C of the body (little endian,
// 4 bytes each) and the body. All three files of a journal consist of
// records. The mark lets Open find out whether anything valid follows a
// damaged record.
const (
	recordMark   = 0x57a7c0de
	recordHeader = 12
	// maxBody bounds one record: a snapshot is the largest.
	maxBody = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errDamaged = errors.New("damaged record")
)

// checksum covers the length too, so that a damaged length is found.
func checksum(header, body []byte) uint32 {
	sum := crc32.Update(0, castagnoli, header[:8])
	return crc32.Update(sum, castagnoli, body)
}

func appendRecord(b, body []byte) []byte {
	var h [recordHeader]byte
	binary.LittleEndian.PutUint32(h[0:], recordMark)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(h[8:], checksum(h[:], body))
	return append(append(b, h[:]...), body...)
}

// cutRecord returns the body of the first record of b and what follows it.
func cutRecord(b []byte) (body, rest []byte, err error) {
	if len(b) < recordHeader || binary.LittleEndian.Uint32(b) != recordMark {
		return nil, nil, errDamaged
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > maxBody || int(n) > len(b)-recordHeader {
		return nil, nil, errDamaged
	}
	body = b[recordHeader : recordHeader+int(n)]
	if binary.LittleEndian.Uint32(b[8:]) != checksum(b, body) {
		return nil, nil, errDamaged
	}
	return body, b[recordHeader+int(n):], nil
}

// hasRecord tells whether a valid record starts anywhere in b.
func hasRecord(b []byte) bool {
	var mark [4]byte
	binary.LittleEndian.PutUint32(mark[:], recordMark)
	for {
		i := bytes.Index(b, mark[:])
		if i < 0 {
			return false
		}
		if _, _, err := cutRecord(b[i:]); err == nil {
			return true
		}
		b = b[i+1:]
	}
}

// encodeBatch is the body of a log record: the first index, then term, kind
// and data of each entry.
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
	index, b, err := cutUvarint(b)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for len(b) > 0 {
		var e Entry
		e, b, err = cutEntry(b)
		if err != nil {
			return nil, err
		}
		e.Index = index
		index++
		entries = append(entries, e)
	}
	return entries, nil
}

func cutEntry(b []byte) (Entry, []byte, error) {
	term, b, err := cutUvarint(b)
	if err != nil || len(b) == 0 {
		return Entry{}, nil, errDamaged
	}
	kind := b[0]
	n, b, err := cutUvarint(b[1:])
	if err != nil || n > uint64(len(b)) {
		return Entry{}, nil, errDamaged
	}
	data := bytes.Clone(b[:n])
	return Entry{Term: term, Kind: kind, Data: data}, b[n:], nil
}

func cutUvarint(b []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, errDamaged
	}
	return v, b[n:], nil
}
