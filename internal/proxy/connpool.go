package proxy

import (
	"sync"
	"time"
)

// connPool holds the idle connections to one endpoint. It is safe for concurrent use.
type connPool struct {
	mu sync.Mutex
	// idle has the connection used last at its end.
	idle     []*upstreamConn
	isClosed bool
}

// get takes the most recently used idle connection that is quiet and has been idle for no longer
// than maxIdle. It returns nil if there is none. It closes those that it passes over.
func (p *connPool) get(now time.Time, maxIdle time.Duration) *upstreamConn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		c.idleFor = max(1, now.Sub(c.idleSince))
		if now.Before(c.expiresAt) && c.idleFor <= maxIdle && c.isQuiet() {
			return c
		}
		c.close()
	}
}

// pop takes the idle connection used last, without a check of its state; nil if there is none.
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

// put keeps a connection for another request, or closes it if the pool is closed.
func (p *connPool) put(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// idleCount is how many connections are idle.
func (p *connPool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// closeIdle closes all idle connections. The pool stays in use.
func (p *connPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

// closeIdleLocked is closeIdle for a caller that holds the lock.
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

// close closes all idle connections and from now on every one that is put back.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	p.closeIdleLocked()
}
