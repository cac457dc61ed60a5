package proxy

import (
	"io"
	"sync"
	"time"
)

// pacer spreads long answers over a narrow link (token bucket), so that short
// ones do not queue behind the whole of a long one. Every byte sent counts; only
// long answers wait.
type pacer struct {
	mu             sync.Mutex
	bytesPerSecond float64 // bytes a second; 0: no bound
	nextFree       time.Time
}

const (
	minPacedSize    = 16 << 10 // a shorter answer goes at once
	pacedChunk      = 8 << 10
	pacedLinkShare  = 0.8                   // of the link
	pacedBurst      = 10 * time.Millisecond // what may stand in the link's queue
	unpacedLinkRate = 50e6 / 8              // a link this wide needs no pacing
)

func newPacer(mbps float64) *pacer {
	if rate := mbps * 1e6 / 8; rate < unpacedLinkRate {
		return &pacer{bytesPerSecond: rate * pacedLinkShare}
	}
	return &pacer{}
}

// reserve counts bytes and tells how long a long answer should wait with them.
func (p *pacer) reserve(now time.Time, n int) time.Duration {
	if p.bytesPerSecond <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	wait := p.nextFree.Sub(now) - pacedBurst
	p.nextFree = p.nextFree.Add(time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second)))
	return wait
}

// wait counts n bytes of a long answer and waits until the link has room for them,
// unless there is no time for that with what is left of it.
func (p *pacer) wait(n int, left int64, until time.Time) {
	now := time.Now()
	wait := p.reserve(now, n)
	if wait <= 0 {
		return
	}
	if rest := time.Duration(float64(left) / p.bytesPerSecond * float64(time.Second)); now.Add(wait + 2*rest).Before(until) {
		time.Sleep(wait)
	}
}

// pacedReader reads a body in pieces, each when the link has room. It ends waiting
// when there is no time for it.
type pacedReader struct {
	pacer    *pacer
	body     []byte
	deadline time.Time
}

func (r *pacedReader) Read(b []byte) (int, error) {
	if len(r.body) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), pacedChunk)], r.body)
	r.body = r.body[n:]
	r.pacer.wait(n, int64(len(r.body)), r.deadline)
	return n, nil
}
