package relay

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/api"
)

const (
	// callerCheckInterval is how often it is looked whether the caller of a watch has left.
	callerCheckInterval = 200 * time.Millisecond
	// maxIdleWatchConnections bounds the idle connections for watches to one core node.
	maxIdleWatchConnections = 64
)

// errCallerLeft means that a watch was broken off because its caller has left.
var errCallerLeft = errors.New("the caller has left")

// coreTarget is the core node that calls are forwarded to.
type coreTarget struct {
	address string
	// calls forwards all calls but watches.
	calls *fasthttp.HostClient
	// watches are the idle connections for watches. A watch has its connection for itself, so
	// that it can be broken off.
	watches watchPool
}

// watchPool holds idle connections for watches, and bounds those in use. It is safe for concurrent
// use.
type watchPool struct {
	mu       sync.Mutex
	idle     []*watchConn
	waiting  int // watches in progress
	isClosed bool
}

// begin counts a watch; false if too many are in progress. One that began is ended by end.
func (p *watchPool) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting >= maxWatches {
		return false
	}
	p.waiting++
	return true
}

// end ends a watch.
func (p *watchPool) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
}

// watchConn is a connection that carries one watch at a time.
type watchConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newWatchConn(conn net.Conn) *watchConn {
	return &watchConn{Conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}
}

// get takes an idle connection; nil if there is none.
func (p *watchPool) get() *watchConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	conn := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return conn
}

// put keeps a connection, or closes it if there are enough.
func (p *watchPool) put(conn *watchConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed || len(p.idle) >= maxIdleWatchConnections {
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// close closes the idle connections, and from now on every one that is put back.
func (p *watchPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}

// close ends the use of the target. Calls in flight go on.
func (t *coreTarget) close() {
	t.calls.CloseIdleConnections()
	t.watches.close()
}

// forwardWatch forwards a watch and reads its answer. It breaks off when the caller leaves, so that
// the core node does not wait for nobody; the error is errCallerLeft then.
func (r *relay) forwardWatch(ctx *fasthttp.RequestCtx, target *coreTarget) error {
	if !target.watches.begin() {
		return fasthttp.ErrNoFreeConns
	}
	defer target.watches.end()
	deadline := time.Now().Add(r.timeouts.watch)
	for {
		conn := target.watches.get()
		isNew := conn == nil
		if isNew {
			raw, err := r.dialCore(target.address)
			if err != nil {
				return err
			}
			conn = newWatchConn(raw)
		}
		err := r.exchangeWatch(ctx, conn, deadline)
		if err == nil && !ctx.Response.ConnectionClose() {
			target.watches.put(conn)
			return nil
		}
		conn.Close()
		if isNew || !errors.Is(err, errConnectionEnded) { // else an idle connection was of no use
			return err
		}
	}
}

// exchangeWatch sends a watch on a connection and reads the answer.
func (r *relay) exchangeWatch(ctx *fasthttp.RequestCtx, conn *watchConn, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return errConnectionEnded
	}
	ctx.Request.URI().DisablePathNormalizing = true // the name of the group stays as it was sent
	stop := r.closeWhenCallerLeaves(ctx, conn)
	err := ctx.Request.Write(conn.writer)
	if err == nil {
		err = conn.writer.Flush()
	}
	if err == nil {
		err = ctx.Response.Read(conn.reader)
	}
	if hasLeft := stop(); hasLeft {
		return errCallerLeft
	}
	return err
}

// closeWhenCallerLeaves closes a connection to the core when the caller leaves, until stop is
// called. stop reports whether that has happened.
func (r *relay) closeWhenCallerLeaves(ctx *fasthttp.RequestCtx, conn net.Conn) (stop func() (hasLeft bool)) {
	isWaiting := api.NewCallerCheck(ctx)
	stopped, ended := make(chan struct{}), make(chan bool, 1)
	go func() {
		ticker := time.NewTicker(callerCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				ended <- false
				return
			case <-ticker.C:
			}
			if !isWaiting() {
				r.watchesAbandoned.Inc()
				conn.Close()
				ended <- true
				return
			}
		}
	}()
	return func() bool {
		close(stopped)
		return <-ended
	}
}
