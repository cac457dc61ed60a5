package proxy

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// TestPacer: a long body arrives complete, in chunks for which the link has room, and without
// waiting where its deadline is near.
func TestPacer(t *testing.T) {
	p := newPacer(4)
	now := time.Unix(1000, 0)
	total := time.Duration(0)
	for range 10 {
		total = p.reserve(now, 40_000)
	}
	if want := time.Duration(9*40_000/(500_000*pacedLinkShare)*1e9) - pacedBurst; total < want-time.Millisecond || total > want+time.Millisecond {
		t.Errorf("the tenth piece waits %v, want %v", total, want)
	}
	if wait := newPacer(1000).reserve(now, 1e6); wait != 0 {
		t.Errorf("a wide link waits %v", wait)
	}
	body := bytes.Repeat([]byte("0123456789"), 5000)
	began := time.Now()
	got, err := io.ReadAll(&pacedReader{pacer: newPacer(0.1), body: body, deadline: began.Add(100 * time.Millisecond)})
	if err != nil || !bytes.Equal(got, body) || time.Since(began) > 2*time.Second {
		t.Errorf("%d of %d bytes after %v, %v", len(got), len(body), time.Since(began), err)
	}
}
