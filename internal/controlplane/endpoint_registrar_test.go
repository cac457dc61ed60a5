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

// startSingleNode starts a group of one node whose settings do not set history_retention_s.
func startSingleNode(t *testing.T) *Node {
	node := newTestCluster(t, 1, func(s *settings.Settings) { s.Bounds.HistoryRetention = 0 }).nodes[0]
	eventually(t, "the node accepts changes", func() bool { return node.Deregister("another") == nil })
	return node
}

// compactAt runs a compaction on the node as if the given time had passed.
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

// TestLateHeartbeatAfterDeregistration guards against a late heartbeat that registers an endpoint
// again after it has deregistered. This happened in deployments whose settings do not set
// history_retention_s, where the departure marker was deleted after one second.
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
		if err := node.Deregister(late.String()); err != nil { // applied after the proposals of compactAt
			t.Fatal(err)
		}
		if err := node.Heartbeat(heartbeatOf(8, false)); err != nil {
			t.Fatal(err)
		}
		if o := storedObject(node, registry.EndpointPrefix+"e"); o.ModRevision != 0 {
			t.Fatalf("after %v: a late heartbeat registered %s, want no endpoint", late, o.Value)
		}
	}
	// The number of markers is bounded: no heartbeat is in transit for longer than this.
	compactAt(node, 3*time.Minute)
	eventually(t, "departure marker deleted", func() bool {
		return storedObject(node, registry.DepartedPrefix+"e").ModRevision == 0
	})
}

// TestHeartbeatsAroundDeparture guards against late heartbeats that register a deregistered
// endpoint again or make a draining one ready, and against endpoints that restart under the same
// ID and are not registered.
func TestHeartbeatsAroundDeparture(t *testing.T) {
	heartbeat := func(sequence uint64) func(*Node) error {
		return func(n *Node) error { return n.Heartbeat(heartbeatOf(sequence, false)) }
	}
	drain := func(sequence uint64) func(*Node) error {
		return func(n *Node) error { return n.Heartbeat(heartbeatOf(sequence, true)) }
	}
	deregister := func(n *Node) error { return n.Deregister("e") }
	const absent, draining, ready = "absent", "draining", "ready"
	for _, c := range []struct {
		name  string
		steps []func(*Node) error
		want  string
	}{
		{"late heartbeats", []func(*Node) error{heartbeat(1), deregister, heartbeat(3), heartbeat(2)}, absent},
		{"deregistered before the first heartbeat", []func(*Node) error{deregister, heartbeat(1), heartbeat(2)}, absent},
		{"no sequence numbers", []func(*Node) error{heartbeat(0), deregister, heartbeat(0)}, absent},
		{"restarts after deregistering", []func(*Node) error{heartbeat(1), heartbeat(2), deregister, heartbeat(1)}, ready},
		{"restarts after draining and deregistering", []func(*Node) error{heartbeat(1), drain(2), deregister, heartbeat(1)}, ready},
		{"late ready heartbeat after draining", []func(*Node) error{heartbeat(1), drain(3), heartbeat(2)}, draining},
		{"ready heartbeat after draining", []func(*Node) error{heartbeat(1), drain(3), heartbeat(4)}, draining},
		{"late draining heartbeat after a ready one", []func(*Node) error{heartbeat(1), heartbeat(3), drain(2), heartbeat(4)}, draining},
		{"restarts after draining", []func(*Node) error{heartbeat(1), drain(2), heartbeat(1), heartbeat(2)}, ready},
		{"restarts and drains again", []func(*Node) error{heartbeat(1), deregister, heartbeat(1), drain(2), heartbeat(3)}, draining},
		{"restarts and deregisters again", []func(*Node) error{heartbeat(1), deregister, heartbeat(1), deregister, heartbeat(2)}, absent},
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
				t.Errorf("endpoint state = %s, want %s", got, c.want)
			}
		})
	}
}

// TestRemovedDrainingEndpointLeavesMarker guards against a draining endpoint that is removed as
// crashed because the leader cannot reach it, and is then registered as ready by a late heartbeat
// sent before the drain.
func TestRemovedDrainingEndpointLeavesMarker(t *testing.T) {
	endpoint := heartbeatOf(5, true)
	endpoint.RegisteredSequence = 1
	object := registry.Object{Key: endpoint.Key(), Value: endpoint.Encode(), ModRevision: 9}
	txn := removeEndpoint(object, endpoint)
	if len(txn.Then) != 2 || !txn.Then[0].IsDelete || txn.Then[1].Key != registry.DepartedPrefix+"e" {
		t.Fatalf("removeEndpoint of a draining endpoint = %+v, want a deletion and a departure marker", txn)
	}
	if got := registry.DecodeDeparture(registry.Object{Value: txn.Then[1].Value}); got.RegisteredSequence != 1 {
		t.Errorf("departure marker = %+v, want registered sequence 1", got)
	}
	endpoint.Draining = false
	if txn := removeEndpoint(object, endpoint); len(txn.Then) != 1 {
		t.Errorf("removeEndpoint of a ready endpoint = %+v, want only a deletion", txn)
	}
}

// TestRevisionBefore checks the record of when revisions were reached, and its pruning.
func TestRevisionBefore(t *testing.T) {
	var history revisionHistory
	for i := range 5 {
		history.revisions = append(history.revisions, revisionTime{at: time.Duration(i) * time.Second, revision: uint64(10 + i)})
	}
	history.pruneBefore(2500 * time.Millisecond)
	if len(history.revisions) != 3 {
		t.Errorf("history after pruneBefore = %+v, want 3 records", history.revisions)
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
		if revision, isKnown := history.revisionBefore(c.instant); revision != c.revision || isKnown != c.isKnown {
			t.Errorf("revisionBefore(%v) = %d, %v", c.instant, revision, isKnown)
		}
	}
}
