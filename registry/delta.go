package registry

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/maphash"
)

// A delta describes a new value as copies of parts of the old one and literal bytes
// between them: any number of times the offset and the length of a copy as uvarints,
// then literal bytes with their length before them. An update still replaces the
// complete object; the delta is only its form in the log and on the wire, and is tied
// to the revision of the value that it was made against.

// ErrDeltaMismatch says that a delta is malformed or was made against another value.
var ErrDeltaMismatch = errors.New("registry: delta does not fit the value")

// Blocks end after the first closing brace behind minBlockSize bytes, so that an object
// of a JSON text is found again after it moved unchanged, and after maxBlockSize bytes
// at the latest.
const (
	minBlockSize = 24
	maxBlockSize = 512
	// typicalBlockSize only sizes the index, for blocks of this length.
	typicalBlockSize = 64
)

// blockHashSeed may differ between processes: hashes never leave ComputeDelta.
var blockHashSeed = maphash.MakeSeed()

// blockEnd returns where the block of b that begins at start ends.
func blockEnd(b []byte, start int) int {
	if start+minBlockSize >= len(b) {
		return len(b)
	}
	limit := min(len(b), start+maxBlockSize)
	window := b[start+minBlockSize : limit]
	if i := bytes.IndexByte(window, '}'); i >= 0 {
		return start + minBlockSize + i + 1
	}
	return limit
}

// indexBlocks returns the offset of each block of b by its hash.
func indexBlocks(b []byte) map[uint64]int {
	offsets := make(map[uint64]int, len(b)/typicalBlockSize+1)
	for start := 0; start < len(b); {
		end := blockEnd(b, start)
		offsets[maphash.Bytes(blockHashSeed, b[start:end])] = start
		start = end
	}
	return offsets
}

// commonPrefixLength returns how many bytes a and b have in common at their start,
// of which the first known are known to be.
func commonPrefixLength(a, b []byte, known int) int {
	n := known
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// ComputeDelta returns the delta that makes value from old (see ApplyDelta). It may
// be longer than value if the two have little in common.
func ComputeDelta(old, value []byte) []byte {
	oldBlocks := indexBlocks(old)
	var delta []byte
	copyOffset, copyLength, literalStart := 0, 0, 0
	// appendPart writes the copy found last and the literal between it and end.
	appendPart := func(end int) {
		if copyLength == 0 && end == literalStart {
			return
		}
		delta = binary.AppendUvarint(delta, uint64(copyOffset))
		delta = binary.AppendUvarint(delta, uint64(copyLength))
		delta = appendBytes(delta, value[literalStart:end])
	}
	for position := 0; position < len(value); {
		end := blockEnd(value, position)
		block := value[position:end]
		offset, found := oldBlocks[maphash.Bytes(blockHashSeed, block)]
		if !found || !bytes.HasPrefix(old[offset:], block) {
			position = end
			continue
		}
		appendPart(position)
		copyOffset = offset
		copyLength = commonPrefixLength(value[position:], old[offset:], len(block))
		position += copyLength
		literalStart = position
	}
	appendPart(len(value))
	return delta
}

// ApplyDelta returns the value that a delta makes from old. The error is
// ErrDeltaMismatch. That the result is the value meant is certain only if old is the
// value that the delta was made against, which callers ensure by its revision.
func ApplyDelta(old, delta []byte) ([]byte, error) {
	r := &byteReader{rest: delta}
	value := make([]byte, 0, len(old)+len(delta))
	for len(r.rest) > 0 {
		offset := r.uvarint()
		length := r.uvarint()
		if r.malformed || offset > uint64(len(old)) || length > uint64(len(old))-offset {
			return nil, ErrDeltaMismatch
		}
		value = append(value, old[offset:offset+length]...)
		value = append(value, r.bytes()...)
		if r.malformed {
			return nil, ErrDeltaMismatch
		}
	}
	return value, nil
}
