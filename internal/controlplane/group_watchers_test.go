package controlplane

import (
	"testing"

	"lichentray/internal/apierror"
	"lichentray/internal/settings"
)

// TestGroupWatchersAreBounded: waiting watches take a quarter of the descriptors at
// most, and one that ends makes room for another.
func TestGroupWatchersAreBounded(t *testing.T) {
	env := newTestEnvironment(t)
	env.settings = &settings.Settings{Limits: settings.Limits{MaxOpenFiles: 8}}
	g := &groupWatchers{environment: env, byGroup: map[string]*groupWaiters{}}
	woken, leave, err := g.subscribe("a.")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := g.subscribe("b."); err != nil {
		t.Fatal(err)
	}
	if _, _, err := g.subscribe("a."); apierror.KindOf(err) != apierror.Overloaded {
		t.Errorf("a third watch: %v", err)
	}
	g.wake("b.")
	if len(woken) != 0 {
		t.Error("a put in another group woke the watch")
	}
	g.wake("a.")
	if len(woken) != 1 {
		t.Error("a put in the group did not wake the watch")
	}
	leave()
	if g.byGroup["a."] != nil {
		t.Error("a group without watches is kept")
	}
	if _, _, err := g.subscribe("c."); err != nil {
		t.Errorf("after one has ended: %v", err)
	}
}
