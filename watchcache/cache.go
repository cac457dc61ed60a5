// Package watchcache implements both ends of a registry watch. Cache is the server
// side: a sliding window of recent events, like the watch cache of the Kubernetes API
// server. Mirror is the client side: an exact copy that a watcher builds from one list
// and the events after it, like the store behind a client-go reflector.
//
// The only state of a watcher is the revision to resume from. A slow watcher blocks no
// other and uses no memory in the cache; once its revision has left the window, it gets
// ErrGone and must list again.
//
// The package performs no I/O, reads no clock and starts no goroutines. It neither sends
// events nor manages connections: internal/controlplane feeds the cache and serves
// watches from it, and internal/proxy maintains a mirror.
package watchcache

import (
	"errors"
	"time"

	"lichentray/eventlog"
	"lichentray/registry"
)

// Errors of Cache.EventsSince. ErrFutureRevision is also returned by Mirror.Replace.
var (
	// ErrGone is returned for a revision older than the event window. The watcher must
	// list again.
	ErrGone = errors.New("watchcache: revision is older than the event window")
	// ErrFutureRevision is returned if one side is behind the other: the cache is behind
	// the requested revision, or a list is behind the mirror. The server that is behind
	// must not serve this watcher.
	ErrFutureRevision = errors.New("watchcache: revision is newer than this cache")
)

// Cache holds the events of the newest writes to a store. A Cache is not safe for
// concurrent use.
type Cache struct {
	window        time.Duration
	maxEvents     int
	maxValueBytes int

	log        eventlog.Log[registry.Event] // a single topic
	arrivals   []time.Duration              // time at which each event of log was appended
	valueBytes int                          // sum of valueSize over the events of log
	revision   uint64                       // of the newest write appended
	// compactedRevision is the highest revision whose events are not in the window,
	// because they were dropped or precede the last Reset.
	compactedRevision uint64
}

// NewCache returns an empty cache that keeps events for the duration window, limited to
// maxEvents events and to maxValueBytes bytes of values and deltas in total.
func NewCache(window time.Duration, maxEvents, maxValueBytes int) *Cache {
	return &Cache{window: window, maxEvents: maxEvents, maxValueBytes: maxValueBytes}
}

// Reset empties the window, for example after a snapshot was installed. The cache
// continues from the store's state at revision and holds no earlier events.
func (c *Cache) Reset(revision uint64) {
	c.log = eventlog.Log[registry.Event]{}
	c.arrivals = nil
	c.valueBytes = 0
	c.compactedRevision = revision
	c.revision = revision
}

// Append adds the events of one write and drops those that left the window. revision is
// the store's revision after the write, and now is the time since an arbitrary fixed
// instant; neither may decrease. For an event with a delta the complete value is not kept:
// a watcher holds the base value or must list again.
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

// compact drops the events that left the window. The events of one write are dropped
// together because a watcher must see either all or none of them.
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

// exceedsLimits reports whether event n must be dropped, given that all events before it
// have been.
func (c *Cache) exceedsLimits(now time.Duration, n int) bool {
	return now-c.arrivals[n] > c.window ||
		len(c.arrivals)-n > c.maxEvents ||
		c.valueBytes > c.maxValueBytes
}

// wouldSplitWrite reports whether keeping event n would split a write: the events before n
// that belong to the same write have just been dropped.
func (c *Cache) wouldSplitWrite(n int) bool {
	return n > 0 && c.log.Entries[n].At == c.compactedRevision
}

// valueSize returns the number of bytes of an event that count towards maxValueBytes.
func valueSize(e registry.Event) int { return len(e.Object.Value) + len(e.Patch) }

// Revision returns the revision of the newest write.
func (c *Cache) Revision() uint64 { return c.revision }

// EventsSince returns the events of the writes after a revision in order. It returns at
// most limit events, which must be positive, but exceeds limit rather than split the events
// of one write. The error is ErrGone or ErrFutureRevision.
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
