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
	// callerCheckInterval is the interval of checks whether the caller of a watch has disconnected.
	callerCheckInterval = 200 * time.Millisecond
	// maxIdleWatchConnections bounds the idle connections for watches to one core node.
	maxIdleWatchConnections = 64
)

// errCallerDisconnected means that a watch was canceled because its caller has disconnected.
var errCallerDisconnected = errors.New("caller disconnected")

// coreTarget is the core node that calls are forwarded to.
type coreTarget struct {
	address string
	// calls forwards all calls except watches.
	calls *fasthttp.HostClient
	// watches holds the connections for watches. Each watch has its own connection, so that it can
	// be canceled by closing that.
	watches watchPool
}

// watchPool holds idle connections for watches and bounds the number of watches in progress. It is
// safe for concurrent use.
type watchPool struct {
	mu       sync.Mutex
	idle     []*watchConn
	active   int // watches in progress
	limit    int // maximum of active
	isClosed bool
}

// begin registers a watch, and returns false if too many are in progress. If it returns true, the
// caller must call end when the watch has ended.
func (p *watchPool) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active >= p.limit {
		return false
	}
	p.active++
	return true
}

// end unregisters a watch.
func (p *watchPool) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
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

// get removes an idle connection from the pool and returns it, or nil if there is none.
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

// put returns a connection to the pool, or closes it if the pool is full or closed.
func (p *watchPool) put(conn *watchConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed || len(p.idle) >= maxIdleWatchConnections {
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// close closes the idle connections, and makes put close all connections from then on.
func (p *watchPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}

// close closes the idle connections. Calls in flight continue.
func (t *coreTarget) close() {
	t.calls.CloseIdleConnections()
	t.watches.close()
}

// forwardWatch forwards a watch and reads the response. If the caller disconnects, it cancels the
// watch, so that the core node does not keep it, and returns errCallerDisconnected.
func (r *relay) forwardWatch(ctx *fasthttp.RequestCtx, target *coreTarget) error {
	if !target.watches.begin() {
		return fasthttp.ErrNoFreeConns
	}
	defer target.watches.end()
	conn := api.GuardedConn(ctx)
	conn.BeginWaiting()
	defer conn.BeginProcessing()
	deadline := time.Now().Add(r.timeouts.watch)
	for {
		upstream := target.watches.get()
		isNew := upstream == nil
		if isNew {
			raw, err := r.dialCore(target.address)
			if err != nil {
				return err
			}
			upstream = newWatchConn(raw)
		}
		err := r.exchangeWatch(ctx, upstream, deadline)
		if err == nil && !ctx.Response.ConnectionClose() {
			target.watches.put(upstream)
			return nil
		}
		upstream.Close()
		if isNew || !errors.Is(err, errStaleConnection) { // otherwise an idle connection was stale
			return err
		}
	}
}

// exchangeWatch sends a watch on a connection and reads the response.
func (r *relay) exchangeWatch(ctx *fasthttp.RequestCtx, conn *watchConn, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return errStaleConnection
	}
	ctx.Request.URI().DisablePathNormalizing = true // forward the name of the group unchanged
	stop := r.closeOnCallerDisconnect(ctx, conn)
	err := ctx.Request.Write(conn.writer)
	if err == nil {
		err = conn.writer.Flush()
	}
	if err == nil {
		err = ctx.Response.Read(conn.reader)
	}
	if hasDisconnected := stop(); hasDisconnected {
		return errCallerDisconnected
	}
	return err
}

// closeOnCallerDisconnect closes a connection to the core if the caller disconnects before stop
// is called. stop reports whether that has happened.
func (r *relay) closeOnCallerDisconnect(ctx *fasthttp.RequestCtx, conn net.Conn) (stop func() (hasDisconnected bool)) {
	isCallerConnected := api.NewCallerCheck(ctx)
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
			if !isCallerConnected() {
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
