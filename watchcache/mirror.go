package watchcache

import (
	"errors"

	"lichentray/registry"
)

// ErrBaseMismatch is returned if an event's delta was computed against a value that the
// mirror does not hold. The watcher must list again.
var ErrBaseMismatch = errors.New("watchcache: delta does not match the value in the mirror")

// Mirror is a watcher's exact copy of a store or of a part of it. Its revision never
// decreases. A Mirror is not safe for concurrent use.
type Mirror struct {
	revision uint64
	synced   bool
	objects  map[string]registry.Object
}

// NewMirror returns an empty mirror for which HasSynced is false.
func NewMirror() *Mirror { return &Mirror{objects: map[string]registry.Object{}} }

// Revision returns the revision at which the copy is exact.
func (m *Mirror) Revision() uint64 { return m.revision }

// HasSynced reports whether the mirror holds a list and can apply events without listing
// again.
func (m *Mirror) HasSynced() bool { return m.synced }

// Objects returns the objects by key. The map belongs to the mirror: it must not be
// modified and is valid until the next call of Replace.
func (m *Mirror) Objects() map[string]registry.Object { return m.objects }

// Replace replaces the content by a list read at a revision. If the mirror is newer than
// the list, it returns ErrFutureRevision and changes nothing.
func (m *Mirror) Replace(revision uint64, objects []registry.Object) error {
	if revision < m.revision {
		return ErrFutureRevision
	}
	replacement := make(map[string]registry.Object, len(objects))
	for _, o := range objects {
		replacement[o.Key] = o
	}
	m.revision = revision
	m.synced = true
	m.objects = replacement
	return nil
}

// ApplyEvent applies one event and reports whether it was applied. An event below the
// mirror's revision is skipped because the content already includes it. An event at the
// mirror's revision is applied because the events of one write share a revision; applying
// an event twice is harmless. On ErrBaseMismatch the content is unchanged and the watcher
// must list again.
func (m *Mirror) ApplyEvent(e registry.Event) (applied bool, err error) {
	if e.Revision < m.revision {
		return false, nil
	}
	if e.Type == registry.Deleted {
		m.revision = e.Revision
		delete(m.objects, e.Object.Key)
		return true, nil
	}
	if e.Patch != nil {
		old := m.objects[e.Object.Key]
		if old.ModRevision >= e.Revision {
			return false, nil
		}
		if old.ModRevision != e.Base {
			return false, ErrBaseMismatch
		}
		e.Object.Value, err = registry.ApplyDelta(old.Value, e.Patch)
		if err != nil {
			return false, ErrBaseMismatch
		}
	}
	m.revision = e.Revision
	m.objects[e.Object.Key] = e.Object
	return true, nil
}

// Invalidate makes HasSynced return false, so that the watcher lists again. The content
// remains available until Replace is called.
func (m *Mirror) Invalidate() { m.synced = false }

// ApplyBookmark advances the mirror to a revision up to which the watcher has received
// all events. A lower revision has no effect.
func (m *Mirror) ApplyBookmark(revision uint64) { m.revision = max(m.revision, revision) }
