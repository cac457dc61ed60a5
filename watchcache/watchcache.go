// Package watchcache is the cacher and the watch stream (watch cache with a sliding
// event window, and the reflector's mirror on the other end).
//
// A Cacher follows the store's changes and keeps the newest of them. A watcher
// is only a cursor into that window: however slow it is, it holds up nobody,
// and once its cursor has left the window it is told Gone and lists again. A
// Mirror is the exact copy that a reader builds from one list and the events
// after it. Neither does input or output, reads a clock or starts a goroutine.
package watchcache

import (
	"errors"
	"time"

	"lichentray/eventlog"
	"lichentray/registry"
)

// ErrGone says that the cursor is older than the window: list again.
var ErrGone = errors.New("watchcache: revision is older than the event window")

// ErrFutureRevision says that the cursor is newer than this cache: it lags behind the
// reader and must not serve it.
var ErrFutureRevision = errors.New("watchcache: revision is newer than this cache")

// Cache holds the window of recent events.
type Cache struct {
	window            time.Duration
	maxEvents         int
	valueBytes        int // of the values held, and how many there may be
	maxValueBytes     int
	log               eventlog.Log[registry.Event]
	arrivals          []time.Duration // when each came
	compactedRevision uint64          // highest revision that is no longer, or never was, in the window
	revision          uint64
}

// NewCache makes a cache that keeps events for window, most of them and
// mostBytes of their values at most.
func NewCache(window time.Duration, most, mostBytes int) *Cache {
	return &Cache{window: window, maxEvents: most, maxValueBytes: mostBytes}
}

// Replace starts over from a store's state at a revision, as after a snapshot:
// no earlier event is known.
func (c *Cache) Reset(revision uint64) {
	c.log, c.arrivals, c.valueBytes, c.compactedRevision, c.revision = eventlog.Log[registry.Event]{}, nil, 0, revision, revision
}

// Append takes the events of one write and the revision that it brought.
func (c *Cache) Append(now time.Duration, revision uint64, events []registry.Event) {
	c.revision = revision
	for _, e := range events {
		if e.Patch != nil {
			e.Object.Value = nil // whoever holds the base makes it
		}
		c.log.Append(e.Revision, "", e)
		c.arrivals = append(c.arrivals, now)
		c.valueBytes += valueSize(e)
	}
	n := 0
	// A write's events leave the window together.
	for n < len(c.arrivals) && (now-c.arrivals[n] > c.window || len(c.arrivals)-n > c.maxEvents || c.valueBytes > c.maxValueBytes ||
		(n > 0 && c.log.Entries[n].At == c.compactedRevision)) {
		c.compactedRevision = c.log.Entries[n].At
		c.valueBytes -= valueSize(c.log.Entries[n].Value)
		n++
	}
	if n > 0 {
		c.log.DropOldest(n)
		c.arrivals = append([]time.Duration(nil), c.arrivals[n:]...)
	}
}

func valueSize(e registry.Event) int { return len(e.Object.Value) + len(e.Patch) }

// Revision is the newest revision known.
func (c *Cache) Revision() uint64 { return c.revision }

// EventsSince gives the events above a revision, at most most of them but never part
// of one write.
func (c *Cache) EventsSince(after uint64, most int) ([]registry.Event, error) {
	if after > c.revision {
		return nil, ErrFutureRevision
	}
	if after < c.compactedRevision {
		return nil, ErrGone
	}
	var out []registry.Event
	for _, x := range c.log.Entries[c.log.FirstAfter(after):] {
		if len(out) >= most && x.At != out[len(out)-1].Revision {
			break
		}
		out = append(out, x.Value)
	}
	return out, nil
}

// Mirror is a reader's exact copy. It never goes back.
type Mirror struct {
	revision uint64
	synced   bool
	objects  map[string]registry.Object
}

// NewMirror makes a copy that knows nothing yet.
func NewMirror() *Mirror { return &Mirror{objects: map[string]registry.Object{}} }

// Revision is the revision up to which the copy is exact.
func (m *Mirror) Revision() uint64 { return m.revision }

// HasSynced tells whether a list has been taken.
func (m *Mirror) HasSynced() bool { return m.synced }

// Objects gives the copy's content.
func (m *Mirror) Objects() map[string]registry.Object { return m.objects }

// Replace takes a list at a revision. A list older than the copy is refused.
func (m *Mirror) Replace(revision uint64, objects []registry.Object) error {
	if revision < m.revision {
		return ErrFutureRevision
	}
	fresh := make(map[string]registry.Object, len(objects))
	for _, o := range objects {
		fresh[o.Key] = o
	}
	m.revision, m.synced, m.objects = revision, true, fresh
	return nil
}

// ErrBaseMismatch says that a change was made against a value that this copy does not
// hold: list again.
var ErrBaseMismatch = errors.New("watchcache: change does not fit the copy")

// ApplyEvent takes one event; one that is already contained changes nothing. On an
// error the copy is unchanged and must be listed anew.
func (m *Mirror) ApplyEvent(e registry.Event) (changed bool, err error) {
	if e.Revision < m.revision {
		return false, nil
	}
	if e.Patch != nil && e.Type != registry.Deleted {
		old := m.objects[e.Object.Key]
		if old.ModRevision >= e.Revision {
			return false, nil
		}
		if old.ModRevision != e.Base {
			return false, ErrBaseMismatch
		}
		if e.Object.Value, err = registry.ApplyDelta(old.Value, e.Patch); err != nil {
			return false, ErrBaseMismatch
		}
	}
	m.revision = e.Revision
	if e.Type == registry.Deleted {
		delete(m.objects, e.Object.Key)
	} else {
		m.objects[e.Object.Key] = e.Object
	}
	return true, nil
}

// Invalidate makes the copy ask for a list again; what it holds stays in use.
func (m *Mirror) Invalidate() { m.synced = false }

// ApplyBookmark moves the copy's revision forward without a change.
func (m *Mirror) ApplyBookmark(revision uint64) {
	if revision > m.revision {
		m.revision = revision
	}
}
