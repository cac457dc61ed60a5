package coordination

import (
	"reflect"
	"testing"
)

// TestMigrateLegacyHistory guards against the loss of events when a snapshot of an earlier
// version, which stores the history by group, is decoded.
func TestMigrateLegacyHistory(t *testing.T) {
	table := &Table{Cells: map[string]Cell{"g.a": {"4", 4}}, Groups: map[string]*LegacyGroup{
		"g.": {Revision: 4, Floor: 2, Events: []Event{{"g.b", "3", 3, 8}, {"g.a", "4", 4, 11}}},
		"h.": {Revision: 1, Events: []Event{{"h.a", "1", 1, 9}}},
	}}
	table.FinishDecode()
	if _, _, ok := table.EventsSince("g.", 1); ok {
		t.Error(`EventsSince("g.", 1) succeeded, want a failure because the events are compacted`)
	}
	if ev, rev, ok := table.EventsSince("g.", 3); !ok || rev != 4 || !reflect.DeepEqual(ev, []Event{{"g.a", "4", 4, 11}}) {
		t.Errorf(`EventsSince("g.", 3) = %v, %d, %v, want the event of revision 4`, ev, rev, ok)
	}
	if r := table.Apply(12, Command{Operation: PutCell, Name: "g.b", Value: "3"}); r.Revision != 3 {
		t.Errorf("retried write = %+v, want revision 3", r)
	}
	if r := table.Apply(13, Command{Operation: PutCell, Name: "h.a", Value: "2"}); r.Revision != 2 {
		t.Errorf("new write = %+v, want revision 2", r)
	}
}
