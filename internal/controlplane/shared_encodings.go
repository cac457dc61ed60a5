package controlplane

import (
	"sync"

	"lichentray/internal/metrics"
	"lichentray/internal/transport"
	"lichentray/registry"
)

// sharedEncodings caches encoded data that is sent to many proxies.
type sharedEncodings struct {
	list   listEncoding
	events eventsEncoding
}

// listEncoding is the encoded list of all watched objects. It is valid until one of them changes.
type listEncoding struct {
	mu sync.Mutex
	// watchedRevision is the revision of the newest change to a watched object that data
	// contains.
	watchedRevision uint64
	data            []byte
}

// isAtRevision reports whether the encoding is the list at a revision. The caller holds mu.
func (l *listEncoding) isAtRevision(watchedRevision uint64) bool {
	return l.data != nil && l.watchedRevision == watchedRevision
}

// encode replaces the encoding. The caller holds mu.
func (l *listEncoding) encode(objects []registry.Object, watchedRevision uint64) error {
	data, err := transport.Pack(objects)
	if err != nil {
		return err
	}
	l.data = data
	l.watchedRevision = watchedRevision
	return nil
}

// eventsEncoding caches the encoding of the newest frame of large events.
type eventsEncoding struct {
	mu           sync.Mutex
	encodedRange eventRange
	data         []byte
}

// eventRange identifies a batch of events from the watch cache.
type eventRange struct {
	first, last uint64 // revisions
	count       int
}

// pack replaces the events of a frame by their shared encoding if they are large. If each watcher
// encoded a configuration of 400 KB for itself, each would hold about a megabyte meanwhile.
func (e *eventsEncoding) pack(frame *transport.Frame, encoded *metrics.Counter) {
	events := frame.Events
	if valueBytes(events) < transport.CompressionThresholdBytes {
		return
	}
	wanted := eventRange{
		first: events[0].Revision,
		last:  events[len(events)-1].Revision,
		count: len(events),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.data == nil || e.encodedRange != wanted {
		encoded.Inc()
		data, err := transport.Pack(events)
		if err != nil {
			return // the events are sent unpacked
		}
		e.encodedRange = wanted
		e.data = data
	}
	frame.Events = nil
	frame.PackedEvents = e.data
}

func valueBytes(events []registry.Event) int {
	size := 0
	for _, e := range events {
		size += len(e.Object.Value) + len(e.Patch)
	}
	return size
}
