package controlplane

import (
	"sync"

	"lichentray/internal/metrics"
	"lichentray/internal/transport"
	"lichentray/registry"
)

// sharedEncodings are what many proxies are sent, encoded once for all of them.
type sharedEncodings struct {
	list   listEncoding
	events eventsEncoding
}

// listEncoding is the list of all watched objects, for as long as none of them
// changes.
type listEncoding struct {
	mu sync.Mutex
	// watchedRevision is the newest change of a watched object in data.
	watchedRevision uint64
	data            []byte
}

// isOf reports whether the encoding is the list at a revision. The caller holds mu.
func (l *listEncoding) isOf(watchedRevision uint64) bool {
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

// eventsEncoding is the newest frame of large events.
type eventsEncoding struct {
	mu   sync.Mutex
	of   eventRange
	data []byte
}

// eventRange identifies a frame of the watch cache.
type eventRange struct {
	first, last uint64 // revisions
	count       int
}

// pack replaces the events of a frame, if they are large, by their encoding. A watcher
// that encodes 400 KB of configuration for itself would hold a megabyte meanwhile.
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
	if e.data == nil || e.of != wanted {
		encoded.Inc()
		data, err := transport.Pack(events)
		if err != nil {
			return // the events are sent unpacked
		}
		e.of = wanted
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
