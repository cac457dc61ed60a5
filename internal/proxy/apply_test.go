package proxy

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"lichentray/registry"
)

// TestDrainingEndpointGetsNoRequests checks that a draining endpoint receives no requests, and that
// an older configuration does not replace a newer one.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	a, b := newStubEndpoint(t, func(int, string) string { return okResponse("x") }), newStubEndpoint(t, func(int, string) string { return okResponse("x") })
	p, addr := startProxy(t, a, b)
	x := registry.Endpoint{ID: "i-0", Service: "s", Address: a.listener.Addr().String(), Zone: "a", Capacity: 4, Draining: true}
	p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, true)
	for range 30 {
		sendRaw(t, addr, getRequest("/safe/a"), 1)
	}
	if len(a.requests()) != 0 || len(b.requests()) != 30 {
		t.Errorf("draining endpoint received %d requests, the other one %d; want 0 and 30", len(a.requests()), len(b.requests()))
	}
	old := strings.Replace(strings.Replace(testConfig, `"config_version":3`, `"config_version":2`, 1), "/safe/", "/other/", 1)
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), old...)}, true)
	if s := statusOf(sendRaw(t, addr, getRequest("/safe/a"), 1)); s != 200 {
		t.Errorf("status after applying an older configuration = %d, want 200", s)
	}
}

// TestAllowedRegionsAndEvacuatedZones checks that requests are sent only to allowed regions and not
// to evacuated zones, and are rejected as not executed if that leaves no endpoint.
func TestAllowedRegionsAndEvacuatedZones(t *testing.T) {
	near := newStubEndpoint(t, func(int, string) string { return okResponse("near") })
	far := newStubEndpoint(t, func(int, string) string { return okResponse("far") })
	p, f := startFrontend(t)
	addr := f.listener.Addr().String()
	p.settings.RegionByZone = map[string]string{"a": "r1", "b": "r2"}
	p.regionIndex, p.ownRegion = map[string]int{"r1": 0, "r2": 1}, 0
	for id, e := range map[string]*stubEndpoint{"a": near, "b": far} {
		x := registry.Endpoint{ID: "i-" + id, Service: "s", Address: e.listener.Addr().String(), Zone: id, Capacity: 4}
		p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	}
	version := 3
	check := func(regions, want string) {
		t.Helper()
		version++
		text := strings.Replace(strings.Replace(testConfig, `"max_attempts":2`, `"max_attempts":2,"allowed_regions":[`+regions+`]`, -1), `"config_version":3`, fmt.Sprintf(`"config_version":%d`, version), 1)
		p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), text...)}, true)
		for range 5 {
			rs := sendRaw(t, addr, postRequest("/once/a"), 1)
			if len(rs) != 1 {
				t.Fatal("no response")
			}
			body, _ := io.ReadAll(rs[0].Body)
			if got := fmt.Sprint(rs[0].StatusCode, " ", string(body)); !strings.HasPrefix(got, want) {
				t.Fatalf("allowed regions %q: response %q, want prefix %q", regions, got, want)
			}
		}
	}
	check("", "200 near")
	check(`"r2"`, "200 far")
	check(`"nowhere"`, "503")
	evac := registry.Object{Key: registry.EvacuationPrefix + "b", Value: []byte(registry.Evacuated), ModRevision: 1}
	if err := p.applyEvent(registry.Event{Type: registry.Added, Object: evac, Revision: 1}); err != nil {
		t.Fatal(err)
	}
	check(`"r2"`, "503")
	check("", "200 near")
	if err := p.applyEvent(registry.Event{Type: registry.Deleted, Object: registry.Object{Key: evac.Key, ModRevision: 2}, Revision: 2}); err != nil {
		t.Fatal(err)
	}
	check(`"r2"`, "200 far")
}
