package relay

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// TestWatchesAreBounded checks that at most watchPool.limit are forwarded at a time, that an excess
// watch is rejected as unsent before a connection is opened, and that another can start when one
// has ended.
func TestWatchesAreBounded(t *testing.T) {
	target := &coreTarget{address: "127.0.0.1:1", watches: watchPool{limit: maxCoreConnections / 2}}
	for range maxCoreConnections / 2 {
		if !target.watches.begin() {
			t.Fatal("begin() = false within the limit, want true")
		}
	}
	if err := (&relay{}).forwardWatch(&fasthttp.RequestCtx{}, target); !isUnsent(err) {
		t.Errorf("forwardWatch() beyond the limit = %v, want an error for an unsent call", err)
	}
	target.watches.end()
	if !target.watches.begin() {
		t.Error("begin() = false after a watch has ended, want true")
	}
}
