package discovery

import (
	"fmt"
	"slices"
	"testing"

	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

// TestCandidatesNearestFirst checks that candidates are ordered by distance: same machine, zone,
// region, other region, unknown location. The node to avoid comes last, and a seed node that is a
// member is listed once.
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
		t.Errorf("Candidates() = %v, want the seed nodes and then this machine", got)
	}
	if got := locator.Candidates("10.0.0.1:77"); len(got) != 3 || got[2] != "10.0.0.1:77" {
		t.Errorf("Candidates() = %v, want the seed nodes and last this machine, which is to be avoided", got)
	}
	locator.UpdateAnnounced([]transport.ControlNode{{Addr: "10.0.0.7:77", Zone: "b1"}})
	if got := fmt.Sprint(locator.Nodes(), locator.Candidates("")[0]); got != "[{10.0.0.7:77  b1}]10.0.0.7:77" {
		t.Errorf("Nodes() and first candidate after an announcement = %s", got)
	}
	locator.UpdateAnnounced([]transport.ControlNode{{Addr: "10.0.0.3:77"}, {Addr: "10.0.0.4:77"}})
	locator.UpdateNodes([]transport.ControlNode{
		{Addr: "10.0.0.4:77", Zone: "b1"},
		{Addr: "10.0.0.3:77", API: "10.0.0.3:1", Zone: "a2"},
		{Addr: "10.0.0.2:77", Zone: "a1"},
		{Addr: "10.0.0.1:77", Zone: "a1"},
	})
	locator.UpdateNodes(nil) // has no effect
	if got := fmt.Sprint(locator.Candidates("10.0.0.2:77")); got != "[10.0.0.1:77 10.0.0.3:77 10.0.0.4:77 10.0.0.9:77 10.0.0.2:77]" {
		t.Errorf("Candidates() = %s, want the order of distance and last the node to avoid", got)
	}
	if locator.HasNearer("10.0.0.1:77") || !locator.HasNearer("10.0.0.3:77") || locator.APIAddress("10.0.0.3:77") != "10.0.0.3:1" {
		t.Error("HasNearer() or APIAddress() returned a wrong result")
	}
	// An announcement adds candidates and does not replace the members from UpdateNodes.
	locator.UpdateAnnounced([]transport.ControlNode{{Addr: "10.0.0.8:77", Zone: "b1"}, {Addr: "10.0.0.2:77"}})
	if got := locator.Candidates(""); len(got) != 6 || len(locator.Nodes()) != 4 || got[0] != "10.0.0.1:77" || got[1] != "10.0.0.2:77" || got[5] != "10.0.0.9:77" {
		t.Errorf("Candidates() after a later announcement = %v", got)
	}
	// An address that is suggested repeatedly is listed once. The latest addresses are kept.
	for i := range 2 * maxSuggested {
		locator.Suggest(fmt.Sprintf("10.0.1.%d:77", i/2))
		locator.Suggest("")
	}
	if got := locator.Candidates(""); len(got) != 6+maxSuggested || len(locator.Nodes()) != 4 {
		t.Errorf("Candidates() with suggested addresses = %v", got)
	}
	locator.Suggest("10.0.1.99:77")
	if got := locator.Candidates(""); len(got) != 6+maxSuggested || !slices.Contains(got, "10.0.1.99:77") || slices.Contains(got, "10.0.1.0:77") {
		t.Errorf("Candidates() with one more suggested address = %v", got)
	}
}
