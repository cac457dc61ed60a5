package proxy

import (
	"io"
	"sync"
	"time"
)

const (
	// minPacedSize is the size in bytes from which a message is paced. A shorter one is
	// sent at once.
	minPacedSize = 16 << 10
	// pacedChunk is the most bytes that a paced message sends at a time.
	pacedChunk = 8 << 10
	// pacedLinkShare is the part of the link's bandwidth that paced messages fill.
	pacedLinkShare = 0.8
	// pacedBurst is how long the link's queue may be, as the time that it takes to send.
	pacedBurst = 10 * time.Millisecond
	// unpacedLinkRate is the bandwidth in bytes per second from which a link is not paced.
	unpacedLinkRate = 50e6 / 8
)

// pacer spreads long messages over a narrow link (token bucket), so that short ones do
// not queue behind all of a long one. Every byte sent counts; only long messages
// wait. It is safe for concurrent use.
type pacer struct {
	mu sync.Mutex
	// bytesPerSecond is the paced rate; 0 means that the link is not paced.
	bytesPerSecond float64
	// nextFree is when the link will have sent all that was reserved.
	nextFree time.Time
}

// newPacer returns the pacer of a link of a bandwidth in megabits per second.
func newPacer(megabitsPerSecond float64) *pacer {
	rate := megabitsPerSecond * 1e6 / 8
	if rate >= unpacedLinkRate {
		return &pacer{}
	}
	return &pacer{bytesPerSecond: rate * pacedLinkShare}
}

// isEnabled reports whether the link is narrow enough to be paced.
func (p *pacer) isEnabled() bool { return p.bytesPerSecond > 0 }

// reserve counts n bytes and returns how long a long message should wait before it sends
// them; less than zero means not at all.
func (p *pacer) reserve(now time.Time, n int) time.Duration {
	if !p.isEnabled() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	wait := p.nextFree.Sub(now) - pacedBurst
	p.nextFree = p.nextFree.Add(p.sendingTime(int64(n)))
	return wait
}

// wait counts n bytes of a long message and waits until the link has room for them,
// unless the deadline is too near for that with what remains of the message.
func (p *pacer) wait(n int, remaining int64, deadline time.Time) {
	now := time.Now()
	wait := p.reserve(now, n)
	if wait <= 0 {
		return
	}
	if now.Add(wait + 2*p.sendingTime(remaining)).Before(deadline) {
		time.Sleep(wait)
	}
}

// sendingTime is how long n bytes take at the paced rate.
func (p *pacer) sendingTime(n int64) time.Duration {
	return time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second))
}

// pacedReader reads a body in chunks, each when the link has room for it. It no longer
// waits when the deadline is near.
type pacedReader struct {
	pacer    *pacer
	body     []byte
	deadline time.Time
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	if len(r.body) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), pacedChunk)], r.body)
	r.body = r.body[n:]
	r.pacer.wait(n, int64(len(r.body)), r.deadline)
	return n, nil
}
