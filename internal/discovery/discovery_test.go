package discovery

import (
	"fmt"
	"testing"

	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

// TestCandidatesNearestFirst checks the order of candidates: own machine, zone, region, elsewhere,
// unknown; the one to avoid comes last, and a seed that is a member comes once.
func TestCandidatesNearestFirst(t *testing.T) {
	set := &settings.Settings{
		IPAddress:    "10.0.0.1",
		Zone:         "a1",
		PortRange:    []int{77, 79},
		RegionByZone: map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		SeedNodes:    []string{"10.0.0.3:1", "10.0.0.9:1"},
	}
	locator := NewLocator(set)
	if got := locator.Candidates(""); len(got) != 2 || locator.HasNearer(got[0]) {
		t.Errorf("with seeds alone: %v", got)
	}
	locator.UpdateNodes([]transport.ControlNode{
		{Addr: "10.0.0.4:77", Zone: "b1"},
		{Addr: "10.0.0.3:77", API: "10.0.0.3:1", Zone: "a2"},
		{Addr: "10.0.0.2:77", Zone: "a1"},
		{Addr: "10.0.0.1:77", Zone: "a1"},
	})
	locator.UpdateNodes(nil) // changes nothing
	if got := fmt.Sprint(locator.Candidates("10.0.0.2:77")); got != "[10.0.0.1:77 10.0.0.3:77 10.0.0.4:77 10.0.0.9:77 10.0.0.2:77]" {
		t.Errorf("in order: %s", got)
	}
	if locator.HasNearer("10.0.0.1:77") || !locator.HasNearer("10.0.0.3:77") || locator.APIAddress("10.0.0.3:77") != "10.0.0.3:1" {
		t.Error("what lies nearer, or how callers reach a node, is wrong")
	}
}
