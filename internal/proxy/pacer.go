package proxy

import (
	"io"
	"sync"
	"time"
)

const (
	// minPacedBytes is the size from which a message is paced. A shorter one is sent without
	// waiting.
	minPacedBytes = 16 << 10
	// pacedChunkBytes is the maximum size of one write of a paced message.
	pacedChunkBytes = 8 << 10
	// pacedLinkShare is the fraction of the link's bandwidth at which long messages are paced.
	pacedLinkShare = 0.8
	// maxPacedBacklog is the backlog, as transmission time, up to which long messages are sent
	// without waiting.
	maxPacedBacklog = 10 * time.Millisecond
	// unpacedBytesPerSecond is the bandwidth from which a link is not paced.
	unpacedBytesPerSecond = 50e6 / 8
)

// pacer limits the rate of long messages on a slow link (as a token bucket does), so that short
// messages are not queued behind a whole long one. All bytes sent are counted, but only long
// messages wait. It is safe for concurrent use.
type pacer struct {
	mu sync.Mutex
	// bytesPerSecond is the rate limit; 0 if the link is not paced.
	bytesPerSecond float64
	// nextFree is the time at which all reserved bytes will have been sent at that rate.
	nextFree time.Time
}

// newPacer returns a pacer for a link with the given bandwidth.
func newPacer(megabitsPerSecond float64) *pacer {
	rate := megabitsPerSecond * 1e6 / 8
	if rate >= unpacedBytesPerSecond {
		return &pacer{}
	}
	return &pacer{bytesPerSecond: rate * pacedLinkShare}
}

// isEnabled reports whether the link is slow enough to be paced.
func (p *pacer) isEnabled() bool { return p.bytesPerSecond > 0 }

// reserve counts n bytes and returns how long a long message must wait before sending them. It
// need not wait if the result is not positive.
func (p *pacer) reserve(now time.Time, n int) time.Duration {
	if !p.isEnabled() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	wait := p.nextFree.Sub(now) - maxPacedBacklog
	p.nextFree = p.nextFree.Add(p.transmitTime(int64(n)))
	return wait
}

// wait counts n bytes of a long message and waits until the pacer permits them. It does not wait
// if that would leave too little time before the deadline for the remaining bytes of the message.
func (p *pacer) wait(n int, remaining int64, deadline time.Time) {
	now := time.Now()
	wait := p.reserve(now, n)
	if wait <= 0 {
		return
	}
	if now.Add(wait + 2*p.transmitTime(remaining)).Before(deadline) {
		time.Sleep(wait)
	}
}

// transmitTime returns the time that n bytes take at the paced rate.
func (p *pacer) transmitTime(n int64) time.Duration {
	return time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second))
}

// pacedReader reads a body in chunks, each as soon as the pacer permits it. It stops waiting when
// the deadline is near.
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
	n := copy(b[:min(len(b), pacedChunkBytes)], r.body)
	r.body = r.body[n:]
	r.pacer.wait(n, int64(len(r.body)), r.deadline)
	return n, nil
}
