package coordination

import (
	"reflect"
	"testing"
)

// TestMigrateLegacyHistory decodes a table that holds its history by group, as earlier
// versions stored it. It must replay the same events afterwards.
func TestMigrateLegacyHistory(t *testing.T) {
	table := &Table{Cells: map[string]Cell{"g.a": {"4", 4}}, Groups: map[string]*LegacyGroup{
		"g.": {Revision: 4, Floor: 2, Events: []Event{{"g.b", "3", 3, 8}, {"g.a", "4", 4, 11}}},
		"h.": {Revision: 1, Events: []Event{{"h.a", "1", 1, 9}}},
	}}
	table.FinishDecode()
	if _, _, ok := table.EventsSince("g.", 1); ok {
		t.Error("events that were forgotten before are there again")
	}
	if ev, rev, ok := table.EventsSince("g.", 3); !ok || rev != 4 || !reflect.DeepEqual(ev, []Event{{"g.a", "4", 4, 11}}) {
		t.Errorf("after 3: %v at %d, %v", ev, rev, ok)
	}
	if r := table.Apply(12, Command{Operation: PutCell, Name: "g.b", Value: "3"}); r.Revision != 3 {
		t.Errorf("a repeated put got %+v", r)
	}
	if r := table.Apply(13, Command{Operation: PutCell, Name: "h.a", Value: "2"}); r.Revision != 2 {
		t.Errorf("a new put got %+v", r)
	}
}
