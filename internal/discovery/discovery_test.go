package discovery

import (
	"fmt"
	"slices"
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
	if got := locator.Candidates(""); len(got) != 3 || got[2] != "10.0.0.1:77" || locator.HasNearer(got[0]) {
		t.Errorf("with seeds alone, and then this machine: %v", got)
	}
	if got := locator.Candidates("10.0.0.1:77"); len(got) != 3 || got[2] != "10.0.0.1:77" {
		t.Errorf("with seeds alone, this machine to be avoided: %v", got)
	}
	locator.Announce([]transport.ControlNode{{Addr: "10.0.0.7:77", Zone: "b1"}})
	if got := fmt.Sprint(locator.Nodes(), locator.Candidates("")[0]); got != "[{10.0.0.7:77  b1}]10.0.0.7:77" {
		t.Errorf("with an announcement: %s", got)
	}
	locator.Announce([]transport.ControlNode{{Addr: "10.0.0.3:77"}, {Addr: "10.0.0.4:77"}})
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
	// An announcement adds candidates. It does not replace what a followed node named.
	locator.Announce([]transport.ControlNode{{Addr: "10.0.0.8:77", Zone: "b1"}, {Addr: "10.0.0.2:77"}})
	if got := locator.Candidates(""); len(got) != 6 || len(locator.Nodes()) != 4 || got[0] != "10.0.0.1:77" || got[1] != "10.0.0.2:77" || got[5] != "10.0.0.9:77" {
		t.Errorf("with a later announcement: %v", got)
	}
	// A suggested address is a candidate once, however often it is suggested. The newest ones stay.
	for i := range 2 * maxSuggested {
		locator.Suggest(fmt.Sprintf("10.0.1.%d:77", i/2))
		locator.Suggest("")
	}
	if got := locator.Candidates(""); len(got) != 6+maxSuggested || len(locator.Nodes()) != 4 {
		t.Errorf("with suggestions: %v", got)
	}
	locator.Suggest("10.0.1.99:77")
	if got := locator.Candidates(""); len(got) != 6+maxSuggested || !slices.Contains(got, "10.0.1.99:77") || slices.Contains(got, "10.0.1.0:77") {
		t.Errorf("with one suggestion more: %v", got)
	}
}
