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

var errDelta = errors.New("registry: delta does not fit the value")

var deltaSeed = maphash.MakeSeed()

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

// Delta gives the short form of value against old.
func Delta(old, value []byte) []byte {
	at := make(map[uint64]int, len(old)/64+1)
	for i := 0; i < len(old); {
		end := blockEnd(old, i)
		at[maphash.Bytes(deltaSeed, old[i:end])] = i
		i = end
	}
	var out []byte
	fresh, off, n := 0, 0, 0 // value[fresh:i] is new and follows the copy
	put := func(i int) {
		if n > 0 || i > fresh {
			out = binary.AppendUvarint(out, uint64(off))
			out = binary.AppendUvarint(out, uint64(n))
			out = putBytes(out, value[fresh:i])
		}
	}
	for i := 0; i < len(value); {
		end := blockEnd(value, i)
		from, ok := at[maphash.Bytes(deltaSeed, value[i:end])]
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

// Patch makes the value that a delta stands for.
func Patch(old, delta []byte) ([]byte, error) {
	r := &reader{b: delta}
	out := make([]byte, 0, len(old)+len(delta))
	for len(r.b) > 0 {
		off, n := r.num(), r.num()
		if r.bad || off > uint64(len(old)) || n > uint64(len(old))-off {
			return nil, errDelta
		}
		out = append(append(out, old[off:off+n]...), r.bytes()...)
		if r.bad {
			return nil, errDelta
		}
	}
	return out, nil
}
