package registry

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/maphash"
)

// A delta encodes a new value as a sequence of parts. Each part consists of the offset and
// the length, as uvarints, of a range to copy from the old value, followed by
// length-prefixed literal bytes. An update still replaces the complete object: the delta
// is only its encoding in the log and on the wire. It is valid only against the revision
// of the value from which it was computed.

// ErrDeltaMismatch is returned for a delta that is malformed or was computed against
// another value.
var ErrDeltaMismatch = errors.New("registry: delta does not match the old value")

// Sizes in bytes. A block ends after the first closing brace that follows its first
// minBlockSize bytes, so that a JSON object that moves unchanged within the text still
// forms a block of its own. A block without such a brace ends after maxBlockSize bytes.
const (
	minBlockSize = 24
	maxBlockSize = 512
	// typicalBlockSize only determines the initial capacity of the index.
	typicalBlockSize = 64
)

// blockHashSeed may differ between processes because hashes are used only within
// ComputeDelta.
var blockHashSeed = maphash.MakeSeed()

// blockEnd returns the end offset of the block of b that begins at start.
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

// indexBlocks maps the hash of each block of b to the offset of the block.
func indexBlocks(b []byte) map[uint64]int {
	offsets := make(map[uint64]int, len(b)/typicalBlockSize+1)
	for start := 0; start < len(b); {
		end := blockEnd(b, start)
		offsets[maphash.Bytes(blockHashSeed, b[start:end])] = start
		start = end
	}
	return offsets
}

// commonPrefixLength returns the length of the common prefix of a and b. The caller
// guarantees that the first known bytes are equal.
func commonPrefixLength(a, b []byte, known int) int {
	n := known
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// ComputeDelta returns a delta from which ApplyDelta reconstructs value, given old. The
// delta may be longer than value if the two have little in common.
func ComputeDelta(old, value []byte) []byte {
	oldBlocks := indexBlocks(old)
	var delta []byte
	copyOffset, copyLength, literalStart := 0, 0, 0
	// appendPart encodes the most recent copy and the literal bytes from there to end.
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

// ApplyDelta applies a delta to old and returns the new value. The error is
// ErrDeltaMismatch. Not every mismatch is detected: callers must compare revisions to
// ensure that old is the value from which the delta was computed.
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
