package proxy

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// TestPacer checks the rate at which a slow link is paced, that a fast link is not paced, and that a
// long body is read completely and without long waits if pacing it would exceed its deadline.
func TestPacer(t *testing.T) {
	p := newPacer(4)
	now := time.Unix(1000, 0)
	total := time.Duration(0)
	for range 10 {
		total = p.reserve(now, 40_000)
	}
	if want := time.Duration(9*40_000/(500_000*pacedLinkShare)*1e9) - maxPacedBacklog; total < want-time.Millisecond || total > want+time.Millisecond {
		t.Errorf("10th reserve() = %v, want %v", total, want)
	}
	if wait := newPacer(1000).reserve(now, 1e6); wait != 0 {
		t.Errorf("reserve() on a fast link = %v, want 0", wait)
	}
	body := bytes.Repeat([]byte("0123456789"), 5000)
	began := time.Now()
	got, err := io.ReadAll(&pacedReader{pacer: newPacer(0.1), body: body, deadline: began.Add(100 * time.Millisecond)})
	if err != nil || !bytes.Equal(got, body) || time.Since(began) > 2*time.Second {
		t.Errorf("read %d of %d bytes after %v, error %v; want all within 2s", len(got), len(body), time.Since(began), err)
	}
}
