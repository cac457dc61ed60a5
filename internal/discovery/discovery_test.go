package discovery

import (
	"fmt"
	"testing"

	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

// TestNearestFirst: own machine, zone, region, elsewhere, unknown; the one that
// is avoided comes last, and seeds that are known are not asked twice.
func TestCandidatesNearestFirst(t *testing.T) {
	set := &settings.Settings{IPAddress: "10.0.0.1", Zone: "a1", PortRange: []int{77, 79}, RegionByZone: map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		SeedNodes: []string{"10.0.0.3:1", "10.0.0.9:1"}}
	l := NewLocator(set)
	if got := l.Candidates(""); len(got) != 2 || l.HasNearer(got[0]) {
		t.Errorf("with seeds alone: %v", got)
	}
	l.UpdateNodes([]transport.ControlNode{{Addr: "10.0.0.4:77", Zone: "b1"}, {Addr: "10.0.0.3:77", API: "10.0.0.3:1", Zone: "a2"}, {Addr: "10.0.0.2:77", Zone: "a1"}, {Addr: "10.0.0.1:77", Zone: "a1"}})
	l.UpdateNodes(nil) // tells nothing
	if got := fmt.Sprint(l.Candidates("10.0.0.2:77")); got != "[10.0.0.1:77 10.0.0.3:77 10.0.0.4:77 10.0.0.9:77 10.0.0.2:77]" {
		t.Errorf("in order: %s", got)
	}
	if l.HasNearer("10.0.0.1:77") || !l.HasNearer("10.0.0.3:77") || l.APIAddress("10.0.0.3:77") != "10.0.0.3:1" {
		t.Error("what lies nearer, or how callers reach a node, is wrong")
	}
}
