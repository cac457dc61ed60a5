// Package watchcache holds what a watch on the registry needs at either end: the
// Cache, a sliding window of recent events on the serving side (the watch cache of
// the Kubernetes API server), and the Mirror, the exact copy that a follower builds
// from one list and the events after it (the store behind a client-go reflector).
//
// A watcher is only a revision from which it wants to go on. However slow it is, it
// holds up nobody and takes no memory in the cache; once its revision has left the
// window it gets ErrGone and lists again.
//
// The package does no input or output, reads no clock and starts no goroutine. It
// does not send events or keep connections: internal/controlplane feeds the cache
// and serves watches from it, internal/proxy follows one with a mirror.
package watchcache

import (
	"errors"
	"time"

	"lichentray/eventlog"
	"lichentray/registry"
)

// Errors of Cache.EventsSince. ErrFutureRevision is also returned by Mirror.Replace.
var (
	// ErrGone says that the revision is older than the event window: the watcher must
	// list again.
	ErrGone = errors.New("watchcache: revision is older than the event window")
	// ErrFutureRevision says that the revision is newer than what it is asked of: that
	// side lags behind and must not serve the reader.
	ErrFutureRevision = errors.New("watchcache: revision is newer than this cache")
)

// Cache holds the events of the newest writes to a store. It is not safe for
// concurrent use.
type Cache struct {
	window        time.Duration
	maxEvents     int
	maxValueBytes int

	log        eventlog.Log[registry.Event] // one topic, numbered by revision
	arrivals   []time.Duration              // when each event of log was appended
	valueBytes int                          // sum of valueSize over the events of log
	revision   uint64                       // of the newest write appended
	// compactedRevision is the highest revision whose events are not in the window:
	// they left it, or the cache was reset to a state that includes them.
	compactedRevision uint64
}

// NewCache returns an empty cache that keeps an event for window, and at most
// maxEvents events with maxValueBytes bytes of values and deltas together.
func NewCache(window time.Duration, maxEvents, maxValueBytes int) *Cache {
	return &Cache{window: window, maxEvents: maxEvents, maxValueBytes: maxValueBytes}
}

// Reset empties the window, as after a snapshot was installed: the cache goes on from
// a store's state at revision and knows no event before it.
func (c *Cache) Reset(revision uint64) {
	c.log = eventlog.Log[registry.Event]{}
	c.arrivals = nil
	c.valueBytes = 0
	c.compactedRevision = revision
	c.revision = revision
}

// Append adds the events of one write and drops those that left the window. revision is
// the store's after the write, and now the time since any fixed moment; both must not
// decrease. The complete value of an event with a delta is not kept: a reader of it
// holds the base value, or lists again.
func (c *Cache) Append(now time.Duration, revision uint64, events []registry.Event) {
	c.revision = revision
	for _, e := range events {
		if e.Patch != nil {
			e.Object.Value = nil
		}
		c.log.Append(e.Revision, "", e)
		c.arrivals = append(c.arrivals, now)
		c.valueBytes += valueSize(e)
	}
	c.compact(now)
}

// compact drops the events that left the window. The events of one write leave
// together, as a reader must see all of them or none.
func (c *Cache) compact(now time.Duration) {
	n := 0
	for n < len(c.arrivals) && (c.exceedsLimits(now, n) || c.wouldSplitWrite(n)) {
		c.compactedRevision = c.log.Entries[n].At
		c.valueBytes -= valueSize(c.log.Entries[n].Value)
		n++
	}
	if n > 0 {
		c.log.DropOldest(n)
		c.arrivals = append([]time.Duration(nil), c.arrivals[n:]...)
	}
}

// exceedsLimits reports whether event n must leave the window; those before it have.
func (c *Cache) exceedsLimits(now time.Duration, n int) bool {
	return now-c.arrivals[n] > c.window ||
		len(c.arrivals)-n > c.maxEvents ||
		c.valueBytes > c.maxValueBytes
}

// wouldSplitWrite reports whether event n belongs to the write whose other events, before
// it, have just left the window.
func (c *Cache) wouldSplitWrite(n int) bool {
	return n > 0 && c.log.Entries[n].At == c.compactedRevision
}

// valueSize returns the bytes of an event that count towards the window's bound.
func valueSize(e registry.Event) int { return len(e.Object.Value) + len(e.Patch) }

// Revision returns the revision of the newest write.
func (c *Cache) Revision() uint64 { return c.revision }

// EventsSince returns the events of the writes after a revision in their order, at most
// limit of them, except that the events of one write are never separated. limit must be
// positive. The error is ErrGone or ErrFutureRevision.
func (c *Cache) EventsSince(after uint64, limit int) ([]registry.Event, error) {
	if after > c.revision {
		return nil, ErrFutureRevision
	}
	if after < c.compactedRevision {
		return nil, ErrGone
	}
	var events []registry.Event
	for _, entry := range c.log.Entries[c.log.FirstAfter(after):] {
		if len(events) >= limit && entry.At != events[len(events)-1].Revision {
			break
		}
		events = append(events, entry.Value)
	}
	return events, nil
}
