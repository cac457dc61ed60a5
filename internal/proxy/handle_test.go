package proxy

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/registry"
)

// TestRequestWaitsForFirstConfig checks that a request shortly after the start waits for the first
// configuration and is served, and that a request long after the start, or with a short deadline,
// is rejected with status 503.
func TestRequestWaitsForFirstConfig(t *testing.T) {
	e := newStubEndpoint(t, func(int, string) string { return okResponse("x") })
	set := controlplanetest.Settings(t, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
	set.Bounds.ContactWindow, set.Bounds.ConfigPropagation, set.Bounds.DrainPropagation = 6, 40, 40 // the first configuration is expected within 10 s of the start
	start := func(uptime time.Duration) (*Proxy, string) {
		p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
		p.startedAt = p.startedAt.Add(-uptime)
		return p, serveFrontend(t, p).listener.Addr().String()
	}
	p, addr := start(0)
	_, longRunningAddr := start(time.Hour)

	get := "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Deadline: %d\r\n\r\n"
	got := make(chan int, 1)
	go func() { got <- sendRaw(t, addr, fmt.Sprintf(get, 60000), 1)[0].StatusCode }()
	for p.counters.requests.Value() == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, deadline := range []int{4, 400} {
		r := sendRaw(t, addr, fmt.Sprintf(get, deadline), 1)[0]
		if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
			t.Errorf("deadline of %d ms without a configuration: status %d with Retry-After %q, want 503 with a value", deadline, r.StatusCode, r.Header.Get("Retry-After"))
		}
	}
	if r := sendRaw(t, longRunningAddr, fmt.Sprintf(get, 60000), 1)[0]; r.StatusCode != 503 {
		t.Errorf("long after the start: status = %d, want 503", r.StatusCode)
	}
	// The first request has now waited longer than a request long after the start would.
	x := registry.Endpoint{ID: "i-0", Service: "s", Address: e.listener.Addr().String(), Zone: "a", Capacity: 4}
	p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), testConfig...)}, false)
	if code := <-got; code != 200 {
		t.Errorf("request shortly after the start: status = %d, want 200", code)
	}
}
