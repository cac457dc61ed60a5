package proxy

import (
	"sync"
	"time"
)

// connPool holds the idle connections to one endpoint. It is safe for concurrent use.
type connPool struct {
	mu sync.Mutex
	// idle is ordered by last use; the most recently used connection is last.
	idle     []*upstreamConn
	isClosed bool
}

// get removes and returns the most recently used connection that is reusable, has not expired
// and has been idle for at most maxIdle. It closes the connections that it skips, and returns
// nil if none is left.
func (p *connPool) get(now time.Time, maxIdle time.Duration) *upstreamConn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		c.idleFor = max(1, now.Sub(c.idleSince))
		if now.Before(c.expiresAt) && c.idleFor <= maxIdle && c.isReusable() {
			return c
		}
		c.close()
	}
}

// pop removes and returns the most recently used idle connection without checking its state, or
// returns nil if there is none.
func (p *connPool) pop() *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// put adds a connection to the pool, or closes it if the pool is closed.
func (p *connPool) put(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// countIdle returns the number of idle connections.
func (p *connPool) countIdle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// closeIdle closes all idle connections. The pool remains usable.
func (p *connPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

// closeIdleLocked is closeIdle for callers that hold p.mu.
func (p *connPool) closeIdleLocked() {
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// closeExpired closes the idle connections that have expired.
func (p *connPool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiresAt) {
			kept = append(kept, c)
		} else {
			c.close()
		}
	}
	p.idle = kept
}

// close closes the pool: all idle connections now, and others when they are put back.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	p.closeIdleLocked()
}
