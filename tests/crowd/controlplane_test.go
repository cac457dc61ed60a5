package crowd

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

const (
	// controlCrowd is a crowd with large calls.
	controlCrowd = 16
	// largeCallBytes is just under what a control-plane node reads of a call.
	largeCallBytes = 15 << 20
	// mediumCrowd is a crowd with calls that are taken one by one.
	mediumCrowd = 300
	// mediumCallBytes, smallConfigurationBytes and cellBytes are sizes of such calls.
	mediumCallBytes         = 3 << 20
	smallConfigurationBytes = 64 << 10
	cellBytes               = 60 << 10
	// todaysRoutes is the number of routes of a large configuration of today.
	todaysRoutes = 2000
)

// controlTest is one crowd of callers of a control-plane node.
type controlTest struct {
	name   string
	count  int
	member member
}

// controlTests returns the crowds that are played at a core node and at a relay.
func controlTests() []controlTest {
	const replace, heartbeat = "/api/rpc?call=configuration.replace", "/api/rpc?call=instances.heartbeat&of=i-crowd"
	text := bytes.Repeat([]byte(" "), largeCallBytes)
	cell := []byte(`{"value":"` + strings.Repeat("v", cellBytes) + `"}`)
	numbers := append(bytes.Repeat([]byte("0,"), largeCallBytes/2), '0')
	invalid := func(start, element string) []byte {
		return []byte(start + strings.Repeat(element+",", (largeCallBytes-100)/(len(element)+1)) + element + "]}")
	}
	return []controlTest{
		{"short of its end by length", controlCrowd, stoppingShort(post(replace, text, byLength))},
		{"short of its end in chunks", controlCrowd, stoppingShort(post(replace, text, byChunks))},
		{"small call short of its end by length", controlCrowd, stoppingShort(post(heartbeat, text, byLength))},
		{"small call short of its end in chunks", controlCrowd, stoppingShort(post(heartbeat, text, byChunks))},
		{"trickling", controlCrowd, trickling(post(replace, text, byLength))},
		{"complete and not JSON", controlCrowd, member{start: post(replace, numbers, byLength)}},
		{"complete and of many objects", controlCrowd, member{start: post(replace, invalid(`{"config_version":9,"listeners":[`, "{}"), byLength)}},
		{"complete and of many numbers", controlCrowd, member{start: post(replace, invalid(`{"config_version":9,"listeners":[`, "0"), byChunks)}},
		{"complete and of many names", controlCrowd, member{start: post(heartbeat, invalid(`{"info":[`, `"n"`), byLength)}},
		{"idle", idleCrowd, member{}},
		{"heads without an end", idleCrowd, member{start: []byte("POST " + replace + " HTTP/1.1\r\nX-Filler: " + strings.Repeat("f", 15<<10))}},
		{"long heads on connections that stay", idleCrowd, member{start: []byte("GET /api/readiness HTTP/1.1\r\nHost: n\r\nX-Filler: " + strings.Repeat("f", 15<<10) + "\r\n\r\n")}},
		{"slow readers", idleCrowd, member{start: bytes.Repeat(post("/api/rpc?call=configuration.read", []byte("{}"), byLength), 4)}},
		{"watches", idleCrowd, member{start: []byte("GET /api/watch/crowd.?after=1&wait_ms=20000 HTTP/1.1\r\nHost: n\r\n\r\n")}},
		{"medium configurations short of their end", mediumCrowd, stoppingShort(post(replace, text[:mediumCallBytes], byLength))},
		{"medium configurations trickling in chunks", mediumCrowd, trickling(post(replace, text[:mediumCallBytes], byChunks))},
		{"small configurations of many objects", mediumCrowd, member{start: post(replace, invalid(`{"config_version":9,"listeners":[`, "{}")[:smallConfigurationBytes], byLength)}},
		{"cells", mediumCrowd, member{start: post("/api/rpc?call=cells.replace&of=crowd.b", cell, byLength)}},
		{"cells short of their end", mediumCrowd, stoppingShort(post("/api/rpc?call=cells.replace&of=crowd.b", cell, byChunks))},
	}
}

// TestCoreCrowds plays crowds of callers of a core node.
func TestCoreCrowds(t *testing.T) {
	for _, test := range controlTests() {
		t.Run(test.name, func(t *testing.T) {
			d := startDeployment(t)
			d.acknowledgeLargeConfiguration()
			gather(t, d.address(coreIP, "control_plane"), test.count, test.member)
			d.waitFor("the core node", d.isCoreAnswering)
			d.waitFor("the relay", d.isRelayAnswering)
			d.waitFor("a response to an ordinary request", d.isOrdinaryAnswered)
			d.core.check(t)
		})
	}
}

// TestTodaysConfigurationInCalm checks that a configuration as large as today's is served.
func TestTodaysConfigurationInCalm(t *testing.T) {
	d := startDeployment(t)
	d.acknowledgeLargeConfiguration()
	d.waitFor("the core node", d.isCoreAnswering)
	d.waitFor("a response to an ordinary request", d.isOrdinaryAnswered)
	d.core.check(t)
	d.proxy.check(t)
}

// acknowledgeLargeConfiguration replaces the configuration by one as large as today's.
// It also writes the first cell of the group that crowds watch.
func (d *deployment) acknowledgeLargeConfiguration() {
	d.t.Helper()
	if status, answer := d.call(coreIP, "cells.replace&of=crowd.a", `{"value":"v"}`); status != http.StatusOK {
		d.t.Fatalf("cell: status %d: %s", status, answer)
	}
	if status, answer := d.call(coreIP, "configuration.replace", configurationText(2, todaysRoutes)); status != http.StatusOK {
		d.t.Fatalf("configuration of %d routes: status %d: %s", todaysRoutes, status, answer)
	}
}
