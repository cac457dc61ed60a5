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

// TestGroupWatchersAreBounded checks that waiting watches use at most a quarter of the file
// descriptors, and that a watch that ends makes room for another one.
func TestGroupWatchersAreBounded(t *testing.T) {
	env := newTestEnvironment(t)
	env.settings = &settings.Settings{Limits: settings.Limits{MaxOpenFiles: 8}}
	g := &groupWatchers{environment: env, byGroup: map[string]*groupWaiters{}}
	woken, unsubscribe, err := g.subscribe("a.")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := g.subscribe("b."); err != nil {
		t.Fatal(err)
	}
	if _, _, err := g.subscribe("a."); apierror.KindOf(err) != apierror.Overloaded {
		t.Errorf("third subscription: error %v, want kind Overloaded", err)
	}
	g.wake("b.")
	if len(woken) != 0 {
		t.Error("waiter was woken by a put in another group")
	}
	g.wake("a.")
	if len(woken) != 1 {
		t.Error("waiter was not woken by a put in its group")
	}
	unsubscribe()
	if g.byGroup["a."] != nil {
		t.Error("group without waiters was not deleted")
	}
	if _, _, err := g.subscribe("c."); err != nil {
		t.Errorf("subscription after another one ended: error %v, want nil", err)
	}
}

// TestWatchEndsWhenCallerLeaves guards against a watch that keeps counting towards the limit
// until its timeout although its caller has disconnected.
func TestWatchEndsWhenCallerLeaves(t *testing.T) {
	cluster := newTestCluster(t, 1, nil)
	node := cluster.nodes[0]
	put := registry.Command{Coordination: &coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: "v"}}
	eventually(t, "cell is written", func() bool {
		_, err := node.Propose(put)
		return err == nil
	})
	var hasDisconnected atomic.Bool
	ended := make(chan error, 1)
	go func() {
		_, _, err := node.Watch("g.", 1, time.Hour, func() bool { return !hasDisconnected.Load() })
		ended <- err
	}()
	waiting := func() int {
		node.groups.mu.Lock()
		defer node.groups.mu.Unlock()
		return node.groups.waiting
	}
	eventually(t, "the watch waits", func() bool { return waiting() == 1 })
	hasDisconnected.Store(true)
	eventually(t, "the watch ends", func() bool { return waiting() == 0 })
	if err := <-ended; apierror.KindOf(err) != apierror.Unavailable || node.metrics.watchesAbandoned.Value() != 1 {
		t.Errorf("watch ended with error %v and %d abandoned watches, want kind Unavailable and 1", err, node.metrics.watchesAbandoned.Value())
	}
}
