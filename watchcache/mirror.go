package watchcache

import (
	"errors"

	"lichentray/registry"
)

// ErrBaseMismatch says that an event's delta was made against a value that the
// mirror does not hold: the follower must list again.
var ErrBaseMismatch = errors.New("watchcache: delta does not fit the mirror's value")

// Mirror is a follower's exact copy of a store or of a part of it. Its revision never
// decreases. It is not safe for concurrent use.
type Mirror struct {
	revision uint64
	synced   bool
	objects  map[string]registry.Object
}

// NewMirror returns an empty mirror that has not synced.
func NewMirror() *Mirror { return &Mirror{objects: map[string]registry.Object{}} }

// Revision returns the revision at which the copy is exact.
func (m *Mirror) Revision() uint64 { return m.revision }

// HasSynced reports whether the mirror holds a list, and needs no new one before it
// goes on with events.
func (m *Mirror) HasSynced() bool { return m.synced }

// Objects returns the content by key. The map is the mirror's own: it must not be
// modified, and is valid until the next call of Replace.
func (m *Mirror) Objects() map[string]registry.Object { return m.objects }

// Replace sets the content to a list at a revision. It returns ErrFutureRevision,
// and changes nothing, if the mirror is newer than the list.
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

// ApplyEvent applies one event and reports whether it did. An event below the mirror's
// revision is skipped, as the content includes it; one at the revision is not, as the
// events of one write share theirs, and applying it twice does no harm. On
// ErrBaseMismatch the content is unchanged and must be listed anew.
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

// Invalidate makes HasSynced false, so that the follower lists again. The content
// stays in use until Replace.
func (m *Mirror) Invalidate() { m.synced = false }

// ApplyBookmark raises the revision to one up to which the follower has received all
// events. A lower one changes nothing.
func (m *Mirror) ApplyBookmark(revision uint64) { m.revision = max(m.revision, revision) }
