package coordination

import (
	"strings"

	"lichentray/eventlog"
)

// Cell is the current value of a cell. Snapshots store it with gob, so the field names are
// part of the snapshot format.
type Cell struct {
	Value string
	// Revision is the revision of the cell's newest write. The writes of a group are
	// numbered consecutively from 1.
	Revision uint64
}

// Event is a write to a cell as a watch returns it. Snapshots of earlier versions store
// events with gob, so the field names are part of that format.
type Event struct {
	Name     string
	Value    string
	Revision uint64 // within the group
	At       uint64 // global revision
}

// CellChange is a write to a cell as the history stores it. Snapshots store it with gob,
// so the field names are part of the snapshot format.
type CellChange struct{ Name, Value string }

// GroupOf returns the group of the cell with this name: the name up to and including its
// first dot, or the whole name if it has no dot.
func GroupOf(name string) string {
	if i := strings.IndexByte(name, '.'); i >= 0 {
		return name[:i+1]
	}
	return name
}

// putCell writes a cell. A write of a value that is in the cell's history, or is its
// current value, is treated as a retry: it returns the revision of the original write and
// ignores the expected revision. A value therefore identifies its write, and a client that
// wants to write the same value twice must make the two values distinct.
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

// compactHistory removes the writes up to and including a global revision from the
// history. The current values of cells are kept.
func (t *Table) compactHistory(revision uint64) {
	for _, e := range t.Feed.Entries[:t.Feed.FirstAfter(revision)] {
		delete(t.firstRevision, e.Value)
	}
	t.Feed.Compact(revision)
}

// GroupRevision returns the revision of a group's newest write, or 0 if it has none.
func (t *Table) GroupRevision(group string) uint64 { return t.Feed.Last[group] }

// EventsSince returns the writes to a group's cells after a revision of the group, in
// order, and the group's newest revision. ok is false if some of these writes have been
// compacted.
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
