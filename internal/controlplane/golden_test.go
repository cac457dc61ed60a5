package controlplane

import (
	"encoding/json"
	"testing"

	"lichentray/internal/goldentest"
	"lichentray/registry"
	"lichentray/rollout"
)

// TestGoldenStatus compares the JSON of a node's status with a golden file, byte by byte and
// field by field.
func TestGoldenStatus(t *testing.T) {
	want := Status{
		Node: "node-1", ID: "00000000000000aa", Role: "leader", Term: 1, Leader: "00000000000000bb", CommitIndex: 2, DurableIndex: 3, Revision: 4, ConfigVersion: 5,
		Endpoints: 6, Draining: 7, IsUpToDate: true, WarmingUp: 10, Unhealthy: 11,
		Members:  []MemberStatus{{ID: "00000000000000cc", Addr: "127.0.0.1:7001", API: "127.0.0.1:8001", Zone: "zone-a", IsVoter: true, MatchIndex: 8, LastContactMS: 9}},
		Proxies:  []ProxyStatus{{Node: "proxy-1", Revision: 12}},
		Zones:    map[string]string{"zone-b": "evacuated"},
		Services: map[string]ServiceStatus{"payments": {Rollout: rollout.Rollout{Base: "v1", OrderNumber: 13, Target: "v2", State: rollout.InProgress, Stage: 14, DeadlineSeconds: 15.5, ElapsedSeconds: 16.5, Reason: "none yet"}, Endpoints: map[string]int{"v1": 17, "v2": 18}}},
		Registered: []registry.Proxy{
			{Name: "proxy-2", Address: "127.0.0.1:9002", Zone: "zone-c", Leaving: true, Weight: 1.5},
		},
	}
	encode := func() []byte {
		b, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		return append(b, '\n')
	}
	golden := goldentest.File(t, "testdata/golden/status.json", encode)
	if got := encode(); string(got) != string(golden) {
		t.Errorf("Marshal(status) = %s, want %s", got, golden)
	}
	var got Status
	if err := json.Unmarshal(golden, &got); err != nil {
		t.Fatal(err)
	}
	goldentest.CheckEqual(t, "status", got, want)
	goldentest.CheckComplete(t, want)
}
