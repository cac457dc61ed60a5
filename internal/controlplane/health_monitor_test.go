package controlplane

import (
	"testing"

	"lichentray/internal/apierror"
	"lichentray/registry"
)

// TestUpdateEndpoint checks what a heartbeat changes in a registered endpoint, and when a node
// that has lost contact with the group may acknowledge it.
func TestUpdateEndpoint(t *testing.T) {
	const sequence = 5
	for _, c := range []struct {
		name           string
		registered     registry.Endpoint
		heartbeat      registry.Endpoint
		hasLostContact bool
		wantWrite      bool
		wantKind       apierror.Kind
	}{
		{"no change", registry.Endpoint{}, registry.Endpoint{Sequence: 6}, false, false, 0},
		{"no change, without contact", registry.Endpoint{}, registry.Endpoint{Sequence: 6}, true, false, apierror.Unavailable},
		{"starts draining", registry.Endpoint{}, registry.Endpoint{Sequence: 6, Draining: true}, false, true, 0},
		{"starts draining, without contact", registry.Endpoint{}, registry.Endpoint{Sequence: 6, Draining: true}, true, true, 0},
		{"starts draining, late heartbeat", registry.Endpoint{}, registry.Endpoint{Sequence: 4, Draining: true}, false, true, 0},
		{"already draining", registry.Endpoint{Draining: true}, registry.Endpoint{Sequence: 6}, false, false, 0},
		{"already draining, without contact", registry.Endpoint{Draining: true}, registry.Endpoint{Sequence: 6}, true, false, 0},
		{"starts warming up", registry.Endpoint{}, registry.Endpoint{Sequence: 6, WarmingUp: true}, false, true, 0},
		{"warm-up complete", registry.Endpoint{WarmingUp: true}, registry.Endpoint{Sequence: 6}, false, true, 0},
		{"warm-up complete, late heartbeat", registry.Endpoint{WarmingUp: true}, registry.Endpoint{Sequence: 4}, false, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.registered.ID, c.registered.Sequence = "e", sequence
			object := registry.Object{Key: c.registered.Key(), Value: c.registered.Encode(), ModRevision: 9}
			txn, err := updateEndpoint(object, c.heartbeat, c.hasLostContact, true)
			if c.wantKind != 0 {
				if apierror.KindOf(err) != c.wantKind {
					t.Errorf("updateEndpoint returned error %v, which is not of the expected kind", err)
				}
				return
			}
			if err != nil || (txn != nil) != c.wantWrite {
				t.Fatalf("updateEndpoint = %+v, %v, which is not the expected transaction or has an error", txn, err)
			}
			if !c.wantWrite {
				return
			}
			if got := txn.If; len(got) != 1 || got[0] != (registry.Compare{Key: object.Key, ModRevision: 9}) {
				t.Errorf("transaction condition = %+v, want revision 9 of the endpoint", got)
			}
			written, err := registry.DecodeEndpoint(registry.Object{Value: txn.Then[0].Value})
			if err != nil || written.Draining != c.heartbeat.Draining || written.WarmingUp != c.heartbeat.WarmingUp || written.Sequence != c.heartbeat.Sequence {
				t.Errorf("written endpoint = %+v, %v, want the state of the heartbeat", written, err)
			}
		})
	}
}
