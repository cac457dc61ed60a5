package coordination

import (
	"strings"

	"lichentray/eventlog"
)

// Cell is the newest value of a cell. It is stored in snapshots by gob, so the field
// names are part of that format.
type Cell struct {
	Value string
	// Revision is that of the newest write within the cell's group: 1 for the group's
	// first write, and one more for each after it.
	Revision uint64
}

// Event is a write to a cell as a watch returns it. Snapshots of earlier versions hold
// events by gob, so the field names are part of that format.
type Event struct {
	Name     string
	Value    string
	Revision uint64 // within the group
	At       uint64 // global revision
}

// CellChange is a write to a cell as the history holds it. It is stored in snapshots
// by gob, so the field names are part of that format.
type CellChange struct{ Name, Value string }

// GroupOf returns the group to which a cell belongs by its name: the name up to and
// including the first dot, or the whole name if it has none.
func GroupOf(name string) string {
	if i := strings.IndexByte(name, '.'); i >= 0 {
		return name[:i+1]
	}
	return name
}

// putCell writes a cell. A write that the history holds, or whose value is the
// present one, counts as a repeat and returns the revision that it got first, whether
// or not the expected revision still holds. A value therefore identifies its write:
// clients that write one value twice on purpose must make the two differ.
func (t *Table) putCell(revision uint64, c Command) Result {
	change := CellChange{Name: c.Name, Value: c.Value}
	if first := t.firstRevision[change]; first > 0 {
		return Result{Revision: first}
	}
	cell := t.Cells[c.Name]
	if cell.Revision != 0 && cell.Value == c.Value {
		return Result{Revision: cell.Revision}
	}
	if c.HasExpectedRevision && cell.Revision != c.ExpectedRevision {
		return Result{Code: RevisionMismatch, Revision: cell.Revision}
	}
	written := t.Feed.Append(revision, GroupOf(c.Name), change)
	t.firstRevision[change] = written
	t.Cells[c.Name] = Cell{Value: c.Value, Revision: written}
	return Result{Revision: written}
}

// compactHistory forgets the writes up to and including a global revision. The values
// of cells stay.
func (t *Table) compactHistory(revision uint64) {
	for _, e := range t.Feed.Entries[:t.Feed.FirstAfter(revision)] {
		delete(t.firstRevision, e.Value)
	}
	t.Feed.Compact(revision)
}

// GroupRevision returns the revision of a group's newest write, or 0 before the first.
func (t *Table) GroupRevision(group string) uint64 { return t.Feed.Last[group] }

// EventsSince returns the writes to a group's cells after a revision of the group, in
// order, and the revision of the newest. ok is false if some of them have been
// forgotten.
func (t *Table) EventsSince(group string, after uint64) (events []Event, revision uint64, ok bool) {
	ok = t.Feed.Replay(group, after, func(e eventlog.Entry[CellChange]) bool {
		events = append(events, Event{
			Name:     e.Value.Name,
			Value:    e.Value.Value,
			Revision: e.Number,
			At:       e.At,
		})
		return true
	})
	return events, t.Feed.Last[group], ok
}
