package transport

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"sync"

	"lichentray/registry"
)

// CompressionThresholdBytes is the size above which it pays to compress a frame or to pack
// its items.
const CompressionThresholdBytes = 8 << 10

// compressorPool reuses flate writers, each of which has several hundred kilobytes of tables.
var compressorPool = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // the level is valid
	return w
}}

// Pack encodes and compresses items once for all connections over which they are sent in
// Response.Packed or Frame.PackedEvents. Encoding accounts for most of the CPU time and memory of
// sending a large list or event. The result must not be modified while a frame that holds it is
// being sent.
func Pack[T registry.Object | registry.Event](items []T) ([]byte, error) {
	var packed bytes.Buffer
	w := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(w)
	w.Reset(&packed)
	if err := gob.NewEncoder(w).Encode(items); err != nil {
		return nil, fmt.Errorf("transport: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("transport: pack: %w", err)
	}
	return packed.Bytes(), nil
}

// unpack decodes the result of Pack. It returns an error if the data is truncated.
func unpack[T registry.Object | registry.Event](packed []byte) ([]T, error) {
	var items []T
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxFrameBytes)
	if err := gob.NewDecoder(r).Decode(&items); err != nil {
		return nil, fmt.Errorf("transport: unpack: %w", err)
	}
	// Decode does not detect a truncation after the last item.
	if _, err := io.Copy(io.Discard, r); err != nil {
		return nil, fmt.Errorf("transport: unpack: %w", err)
	}
	return items, nil
}
