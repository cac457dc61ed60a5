package controlplane

import (
	"testing"
	"time"

	"lichentray/internal/settings"
	"lichentray/registry"
)

// heartbeatOf returns a heartbeat of the endpoint "e".
func heartbeatOf(sequence uint64, isDraining bool) registry.Endpoint {
	return registry.Endpoint{ID: "e", Service: "s", Address: "127.0.0.1:9", Zone: "a", Capacity: 1, Sequence: sequence, Draining: isDraining}
}

// startSingleNode starts a group of one node, whose settings name no history_retention_s.
func startSingleNode(t *testing.T) *Node {
	node := newTestCluster(t, 1, func(s *settings.Settings) { s.Bounds.HistoryRetention = 0 }).nodes[0]
	eventually(t, "it takes changes", func() bool { return node.Deregister("another") == nil })
	return node
}

// compactAt lets the node forget what is too old at a time after now.
func compactAt(node *Node, after time.Duration) {
	done := make(chan struct{})
	node.loop.post(func(state *loopState) {
		state.history.compactedAt = 0
		node.history.record(state, node.now()+after)
		node.history.compact(state, node.now()+after)
		close(done)
	})
	<-done
}

// TestLateHeartbeatAfterDeregistration guards against a heartbeat that comes late, after the endpoint
// has signed off, and registers it again: in a deployment whose settings name no
// history_retention_s the marker of the departure was gone a second later.
func TestLateHeartbeatAfterDeregistration(t *testing.T) {
	node := startSingleNode(t)
	for _, step := range []error{
		node.Heartbeat(heartbeatOf(7, false)),
		node.Heartbeat(heartbeatOf(9, false)),
		node.Deregister("e"),
	} {
		if step != nil {
			t.Fatal(step)
		}
	}
	for _, late := range []time.Duration{time.Second, 5 * time.Second, 100 * time.Second} {
		compactAt(node, late)
		if err := node.Deregister(late.String()); err != nil { // applied after what compactAt proposed
			t.Fatal(err)
		}
		if err := node.Heartbeat(heartbeatOf(8, false)); err != nil {
			t.Fatal(err)
		}
		if o := storedObject(node, registry.EndpointPrefix+"e"); o.ModRevision != 0 {
			t.Fatalf("a heartbeat that is %v late has registered %s", late, o.Value)
		}
	}
	// The markers are bounded: no heartbeat is on its way for longer.
	compactAt(node, 3*time.Minute)
	eventually(t, "the marker is forgotten", func() bool {
		return storedObject(node, registry.DepartedPrefix+"e").ModRevision == 0
	})
}

// TestHeartbeatsAroundDeparture guards against endpoints that have announced their end and are registered
// again by a late heartbeat, and against those that start again under their ID and are not.
func TestHeartbeatsAroundDeparture(t *testing.T) {
	beat := func(sequence uint64) func(*Node) error {
		return func(n *Node) error { return n.Heartbeat(heartbeatOf(sequence, false)) }
	}
	drain := func(sequence uint64) func(*Node) error {
		return func(n *Node) error { return n.Heartbeat(heartbeatOf(sequence, true)) }
	}
	signOff := func(n *Node) error { return n.Deregister("e") }
	const absent, draining, ready = "absent", "draining", "ready"
	for _, c := range []struct {
		name  string
		steps []func(*Node) error
		want  string
	}{
		{"late heartbeats", []func(*Node) error{beat(1), signOff, beat(3), beat(2)}, absent},
		{"a sign-off before the first heartbeat", []func(*Node) error{signOff, beat(1), beat(2)}, absent},
		{"no sequences", []func(*Node) error{beat(0), signOff, beat(0)}, absent},
		{"starts again after a sign-off", []func(*Node) error{beat(1), beat(2), signOff, beat(1)}, ready},
		{"starts again after draining and a sign-off", []func(*Node) error{beat(1), drain(2), signOff, beat(1)}, ready},
		{"a late ready after draining", []func(*Node) error{beat(1), drain(3), beat(2)}, draining},
		{"a ready after draining", []func(*Node) error{beat(1), drain(3), beat(4)}, draining},
		{"a late draining after a ready", []func(*Node) error{beat(1), beat(3), drain(2), beat(4)}, draining},
		{"starts again after draining", []func(*Node) error{beat(1), drain(2), beat(1), beat(2)}, ready},
		{"starts again, drains again", []func(*Node) error{beat(1), signOff, beat(1), drain(2), beat(3)}, draining},
		{"starts again, signs off again", []func(*Node) error{beat(1), signOff, beat(1), signOff, beat(2)}, absent},
	} {
		t.Run(c.name, func(t *testing.T) {
			node := startSingleNode(t)
			for i, step := range c.steps {
				if err := step(node); err != nil {
					t.Fatalf("step %d: %v", i, err)
				}
			}
			got := absent
			if object := storedObject(node, registry.EndpointPrefix+"e"); object.ModRevision != 0 {
				got = ready
				if endpoint, err := registry.DecodeEndpoint(object); err != nil || endpoint.Draining {
					got = draining
				}
			}
			if got != c.want {
				t.Errorf("the endpoint is %s, want %s", got, c.want)
			}
		})
	}
}

// TestRemovedDrainingEndpointLeavesMarker guards against a draining endpoint that is removed as crashed,
// as the leader cannot reach it, and that a late heartbeat from before registers as ready.
func TestRemovedDrainingEndpointLeavesMarker(t *testing.T) {
	endpoint := heartbeatOf(5, true)
	endpoint.RegisteredSequence = 1
	object := registry.Object{Key: endpoint.Key(), Value: endpoint.Encode(), ModRevision: 9}
	txn := removeEndpoint(object, endpoint)
	if len(txn.Then) != 2 || !txn.Then[0].IsDelete || txn.Then[1].Key != registry.DepartedPrefix+"e" {
		t.Fatalf("removed by %+v", txn)
	}
	if got := registry.DecodeDeparture(registry.Object{Value: txn.Then[1].Value}); got.RegisteredSequence != 1 {
		t.Errorf("the marker is %+v", got)
	}
	endpoint.Draining = false
	if txn := removeEndpoint(object, endpoint); len(txn.Then) != 1 {
		t.Errorf("one that has crashed, and may be back, is removed by %+v", txn)
	}
}

// TestReachedBy checks what a node remembers of the revisions that were reached when.
func TestReachedBy(t *testing.T) {
	var history revisionHistory
	for i := range 5 {
		history.revisions = append(history.revisions, revisionTime{at: time.Duration(i) * time.Second, revision: uint64(10 + i)})
	}
	history.forgetBefore(2500 * time.Millisecond)
	if len(history.revisions) != 3 {
		t.Errorf("remembered: %+v", history.revisions)
	}
	for _, c := range []struct {
		instant  time.Duration
		revision uint64
		isKnown  bool
	}{
		{2 * time.Second, 0, false},
		{2500 * time.Millisecond, 12, true},
		{4 * time.Second, 13, true},
		{time.Minute, 14, true},
	} {
		if revision, isKnown := history.reachedBy(c.instant); revision != c.revision || isKnown != c.isKnown {
			t.Errorf("by %v: %d, %v", c.instant, revision, isKnown)
		}
	}
}
