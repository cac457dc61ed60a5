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
	mu   sync.Mutex
	rate float64 // bytes a second; 0: no bound
	free time.Time
}

const (
	pacedFrom  = 16 << 10 // a shorter answer goes at once
	pacedPiece = 8 << 10
	pacedShare = 0.8                   // of the link
	pacedAhead = 10 * time.Millisecond // what may stand in the link's queue
	pacedWide  = 50e6 / 8              // a link this wide needs no pacing
)

func newPacer(mbps float64) *pacer {
	if rate := mbps * 1e6 / 8; rate < pacedWide {
		return &pacer{rate: rate * pacedShare}
	}
	return &pacer{}
}

// take counts bytes and tells how long a long answer should wait with them.
func (p *pacer) take(now time.Time, n int) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	wait := p.free.Sub(now) - pacedAhead
	p.free = p.free.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	return wait
}

// wait counts n bytes of a long answer and waits until the link has room for them,
// unless there is no time for that with what is left of it.
func (p *pacer) wait(n int, left int64, until time.Time) {
	now := time.Now()
	wait := p.take(now, n)
	if wait <= 0 {
		return
	}
	if rest := time.Duration(float64(left) / p.rate * float64(time.Second)); now.Add(wait + 2*rest).Before(until) {
		time.Sleep(wait)
	}
}

// paced reads a body in pieces, each when the link has room. It ends waiting
// when there is no time for it.
type paced struct {
	p     *pacer
	body  []byte
	until time.Time
}

func (r *paced) Read(b []byte) (int, error) {
	if len(r.body) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), pacedPiece)], r.body)
	r.body = r.body[n:]
	r.p.wait(n, int64(len(r.body)), r.until)
	return n, nil
}
