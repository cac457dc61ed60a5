package soak

import (
	"fmt"
	"testing"
	"time"
)

// TestLockHistory checks which histories count as two concurrent holders or as a fencing token out of order.
func TestLockHistory(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, c := range []struct {
		name string
		do   func(h *lockHistory)
		want int
	}{
		{"acquisition after the lease expired", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(4), "l", "b", 2, 1, at(8))
		}, 0},
		{"acquisition before the lease expired", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(3), "l", "b", 2, 1, at(7))
		}, 1},
		{"acquisition after a release", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordReleased("l", "a")
			h.recordAcquired(at(3), "l", "b", 2, 1, at(7))
		}, 0},
		{"acquisition before the renewed lease expired", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordRenewed(at(2), "l", "a", 1, at(6))
			h.recordAcquired(at(5), "l", "b", 2, 1, at(9))
		}, 1},
		{"response to a renewal after the renewed lease expired", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(4), "l", "b", 2, 1, at(8))
			h.recordRenewed(at(6), "l", "a", 1, at(5))
		}, 0},
		{"renewal that ends before the current lease", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(6))
			h.recordRenewed(at(1), "l", "a", 1, at(2))
			h.recordAcquired(at(5), "l", "b", 2, 1, at(9))
		}, 1},
		{"different locks", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(1), "m", "b", 2, 0, at(5))
		}, 0},
		{"same token for the same holder", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(2), "l", "a", 1, 1, at(6))
		}, 0},
		{"token of another holder", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 1, 0, at(4))
			h.recordAcquired(at(5), "l", "b", 1, 1, at(9))
		}, 1},
		{"token lower than an earlier one", func(h *lockHistory) {
			h.recordAcquired(at(0), "l", "a", 5, 0, at(4))
			h.recordAcquired(at(5), "l", "b", 3, 5, at(9))
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var found []string
			c.do(newLockHistory(func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }))
			if len(found) != c.want {
				t.Errorf("violations = %q, want %d", found, c.want)
			}
		})
	}
}
