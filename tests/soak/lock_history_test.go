package soak

import (
	"fmt"
	"testing"
	"time"
)

// TestLockHistory checks what counts as two holders, and as a fencing token out of order.
func TestLockHistory(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, c := range []struct {
		name string
		do   func(h *lockHistory)
		want int
	}{
		{"one after the other", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(4), "l", "b", 2, 1, at(8))
		}, 0},
		{"before the lease has run out", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(3), "l", "b", 2, 1, at(7))
		}, 1},
		{"after a release", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordReleased("l", "a")
			h.recordAcquired(at(3), "l", "b", 2, 1, at(7))
		}, 0},
		{"after a renewal", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordRenewed(at(2), "l", "a", 1, at(6))
			h.recordAcquired(at(5), "l", "b", 2, 1, at(9))
		}, 1},
		{"a renewal that is answered late", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(4), "l", "b", 2, 1, at(8))
			h.recordRenewed(at(6), "l", "a", 1, at(5))
		}, 0},
		{"a late renewal that shortens nothing", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(6))
			h.recordRenewed(at(1), "l", "a", 1, at(2))
			h.recordAcquired(at(5), "l", "b", 2, 1, at(9))
		}, 1},
		{"another lock", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(1), "m", "b", 2, 0, at(5))
		}, 0},
		{"the same token again", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(2), "l", "a", 1, 1, at(6))
		}, 0},
		{"the token of another holder", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(5), "l", "b", 1, 1, at(9))
		}, 1},
		{"a token below an earlier one", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 5, 0, at(4))
			h.recordAcquired(at(5), "l", "b", 3, 5, at(9))
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var found []string
			c.do(newLockHistory(func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }))
			if len(found) != c.want {
				t.Errorf("found %q, want %d violations", found, c.want)
			}
		})
	}
}
