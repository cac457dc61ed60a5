package coordination

import (
	"cmp"
	"slices"

	"lichentray/eventlog"
)

// LegacyGroup is the history of a group in the snapshot format of earlier versions. It is
// decoded but never written.
type LegacyGroup struct {
	Revision uint64
	Floor    uint64 // highest compacted revision
	Events   []Event
}

// migrateLegacyGroups converts Groups, the histories of an earlier version, to Feed.
func (t *Table) migrateLegacyGroups() {
	t.Feed = &eventlog.Log[CellChange]{Last: map[string]uint64{}, Floor: map[string]uint64{}}
	var events []Event
	for name, group := range t.Groups {
		t.Feed.Last[name] = group.Floor
		t.Feed.Floor[name] = group.Floor
		events = append(events, group.Events...)
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range events {
		t.Feed.Append(e.At, GroupOf(e.Name), CellChange{Name: e.Name, Value: e.Value})
	}
	t.Groups = nil
}
