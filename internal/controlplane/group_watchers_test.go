package controlplane

import (
	"sync/atomic"
	"testing"
	"time"

	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/internal/settings"
	"lichentray/registry"
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

// TestWatchEndsWhenCallerLeaves: a watch whose caller has left ends long before its time, and gives
// back its place among those that wait.
func TestWatchEndsWhenCallerLeaves(t *testing.T) {
	cluster := newTestCluster(t, 1, nil)
	node := cluster.nodes[0]
	put := registry.Command{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "v"}}
	eventually(t, "a put", func() bool {
		_, err := node.Propose(put)
		return err == nil
	})
	var hasLeft atomic.Bool
	ended := make(chan error, 1)
	go func() {
		_, _, err := node.Watch("g.", 1, time.Hour, func() bool { return !hasLeft.Load() })
		ended <- err
	}()
	waiting := func() int {
		node.groups.mu.Lock()
		defer node.groups.mu.Unlock()
		return node.groups.waiting
	}
	eventually(t, "the watch waits", func() bool { return waiting() == 1 })
	hasLeft.Store(true)
	eventually(t, "the watch ends", func() bool { return waiting() == 0 })
	if err := <-ended; apierror.KindOf(err) != apierror.Unavailable || node.metrics.watchesAbandoned.Value() != 1 {
		t.Errorf("the watch ended with %v, %d abandoned", err, node.metrics.watchesAbandoned.Value())
	}
}
