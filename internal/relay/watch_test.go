package relay

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// TestWatchesAreBounded: no more watches are forwarded at a time than maxWatches, one beyond is
// rejected as unsent before anything is dialled, and one that ends makes room for another.
func TestWatchesAreBounded(t *testing.T) {
	target := &coreTarget{address: "127.0.0.1:1"}
	for range maxWatches {
		if !target.watches.begin() {
			t.Fatal("a watch within the bound was rejected")
		}
	}
	if err := (&relay{}).forwardWatch(&fasthttp.RequestCtx{}, target); !isUnsent(err) {
		t.Errorf("one beyond the bound: %v", err)
	}
	target.watches.end()
	if !target.watches.begin() {
		t.Error("a watch that ended made no room")
	}
}
