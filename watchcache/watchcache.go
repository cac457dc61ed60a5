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

// ErrAhead says that the cursor is newer than this cache: it lags behind the
// reader and must not serve it.
var ErrAhead = errors.New("watchcache: revision is newer than this cache")

// Cacher holds the window of recent events.
type Cacher struct {
	window   time.Duration
	most     int
	bytes    int // of the values held, and how many there may be
	mostByte int
	feed     eventlog.Reel[registry.Event]
	times    []time.Duration // when each came
	floor    uint64          // highest revision that is no longer, or never was, in the window
	revision uint64
}

// NewCacher makes a cache that keeps events for window, most of them and
// mostBytes of their values at most.
func NewCacher(window time.Duration, most, mostBytes int) *Cacher {
	return &Cacher{window: window, most: most, mostByte: mostBytes}
}

// Reset starts over from a store's state at a revision, as after a snapshot:
// no earlier event is known.
func (c *Cacher) Reset(revision uint64) {
	c.feed, c.times, c.bytes, c.floor, c.revision = eventlog.Reel[registry.Event]{}, nil, 0, revision, revision
}

// Append takes the events of one write and the revision that it brought.
func (c *Cacher) Append(now time.Duration, revision uint64, events []registry.Event) {
	c.revision = revision
	for _, e := range events {
		if e.Patch != nil {
			e.Object.Value = nil // whoever holds the base makes it
		}
		c.feed.Append(e.Revision, "", e)
		c.times = append(c.times, now)
		c.bytes += size(e)
	}
	n := 0
	// A write's events leave the window together.
	for n < len(c.times) && (now-c.times[n] > c.window || len(c.times)-n > c.most || c.bytes > c.mostByte ||
		(n > 0 && c.feed.Entries[n].At == c.floor)) {
		c.floor = c.feed.Entries[n].At
		c.bytes -= size(c.feed.Entries[n].Value)
		n++
	}
	if n > 0 {
		c.feed.Drop(n)
		c.times = append([]time.Duration(nil), c.times[n:]...)
	}
}

func size(e registry.Event) int { return len(e.Object.Value) + len(e.Patch) }

// Revision is the newest revision known.
func (c *Cacher) Revision() uint64 { return c.revision }

// Since gives the events above a revision, at most most of them but never part
// of one write.
func (c *Cacher) Since(after uint64, most int) ([]registry.Event, error) {
	if after > c.revision {
		return nil, ErrAhead
	}
	if after < c.floor {
		return nil, ErrGone
	}
	var out []registry.Event
	for _, x := range c.feed.Entries[c.feed.From(after):] {
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
	listed   bool
	objects  map[string]registry.Object
}

// NewMirror makes a copy that knows nothing yet.
func NewMirror() *Mirror { return &Mirror{objects: map[string]registry.Object{}} }

// Revision is the revision up to which the copy is exact.
func (m *Mirror) Revision() uint64 { return m.revision }

// Listed tells whether a list has been taken.
func (m *Mirror) Listed() bool { return m.listed }

// Objects gives the copy's content.
func (m *Mirror) Objects() map[string]registry.Object { return m.objects }

// Reset takes a list at a revision. A list older than the copy is refused.
func (m *Mirror) Reset(revision uint64, objects []registry.Object) error {
	if revision < m.revision {
		return ErrAhead
	}
	fresh := make(map[string]registry.Object, len(objects))
	for _, o := range objects {
		fresh[o.Key] = o
	}
	m.revision, m.listed, m.objects = revision, true, fresh
	return nil
}

// ErrBase says that a change was made against a value that this copy does not
// hold: list again.
var ErrBase = errors.New("watchcache: change does not fit the copy")

// Apply takes one event; one that is already contained changes nothing. On an
// error the copy is unchanged and must be listed anew.
func (m *Mirror) Apply(e registry.Event) (changed bool, err error) {
	if e.Revision < m.revision {
		return false, nil
	}
	if e.Patch != nil && e.Type != registry.Deleted {
		old := m.objects[e.Object.Key]
		if old.ModRevision >= e.Revision {
			return false, nil
		}
		if old.ModRevision != e.Base {
			return false, ErrBase
		}
		if e.Object.Value, err = registry.Patch(old.Value, e.Patch); err != nil {
			return false, ErrBase
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

// Forget makes the copy ask for a list again; what it holds stays in use.
func (m *Mirror) Forget() { m.listed = false }

// Bookmark moves the copy's revision forward without a change.
func (m *Mirror) Bookmark(revision uint64) {
	if revision > m.revision {
		m.revision = revision
	}
}
