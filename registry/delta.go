package registry

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/maphash"
)

// A delta writes a new value as copies from the old one and bytes that are
// new: uvarints offset and length of a copy, length of what follows, and that,
// again and again. An update still replaces the whole object; the delta is only
// how it travels and is logged, and it is tied to the revision that it was made
// against.

var ErrDeltaMismatch = errors.New("registry: delta does not fit the value")

var blockHashSeed = maphash.MakeSeed()

// blockEnd gives where the block that begins at i ends: behind the first
// closing brace after a few bytes, so that an object moved as a whole is found
// again.
func blockEnd(b []byte, i int) int {
	const least, most = 24, 512
	if i+least >= len(b) {
		return len(b)
	}
	window := b[i+least : min(len(b), i+most)]
	if j := bytes.IndexByte(window, '}'); j >= 0 {
		return i + least + j + 1
	}
	return min(len(b), i+most)
}

// ComputeDelta gives the short form of value against old.
func ComputeDelta(old, value []byte) []byte {
	at := make(map[uint64]int, len(old)/64+1)
	for i := 0; i < len(old); {
		end := blockEnd(old, i)
		at[maphash.Bytes(blockHashSeed, old[i:end])] = i
		i = end
	}
	var out []byte
	fresh, off, n := 0, 0, 0 // value[fresh:i] is new and follows the copy
	put := func(i int) {
		if n > 0 || i > fresh {
			out = binary.AppendUvarint(out, uint64(off))
			out = binary.AppendUvarint(out, uint64(n))
			out = appendBytes(out, value[fresh:i])
		}
	}
	for i := 0; i < len(value); {
		end := blockEnd(value, i)
		from, ok := at[maphash.Bytes(blockHashSeed, value[i:end])]
		if !ok || !bytes.HasPrefix(old[from:], value[i:end]) {
			i = end
			continue
		}
		put(i)
		off, n = from, end-i
		for i+n < len(value) && off+n < len(old) && value[i+n] == old[off+n] {
			n++
		}
		i += n
		fresh = i
	}
	put(len(value))
	return out
}

// ApplyDelta makes the value that a delta stands for.
func ApplyDelta(old, delta []byte) ([]byte, error) {
	r := &byteReader{rest: delta}
	out := make([]byte, 0, len(old)+len(delta))
	for len(r.rest) > 0 {
		off, n := r.uvarint(), r.uvarint()
		if r.malformed || off > uint64(len(old)) || n > uint64(len(old))-off {
			return nil, ErrDeltaMismatch
		}
		out = append(append(out, old[off:off+n]...), r.bytes()...)
		if r.malformed {
			return nil, ErrDeltaMismatch
		}
	}
	return out, nil
}
