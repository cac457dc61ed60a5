package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/api"
	"lichentray/internal/settings"
)

// Frontend serves clients. The limits of the configuration in force when a
// connection arrives hold for its life.
type Frontend struct {
	proxy         *Proxy
	listener      net.Listener
	mu            sync.Mutex
	current       *fasthttp.Server
	currentLimits config.Limits
	// connections holds every client connection; true while a request is on it.
	connections map[net.Conn]bool
	done        chan struct{}
}

// NewFrontend makes the server of a listener that hatch.Listen made.
func NewFrontend(p *Proxy, ln net.Listener) *Frontend {
	return &Frontend{proxy: p, listener: ln, connections: map[net.Conn]bool{}, done: make(chan struct{})}
}

func secondsOr(s float64, other time.Duration) time.Duration {
	if s <= 0 {
		return other
	}
	return time.Duration(s * float64(time.Second))
}

// serverForLimits gives the server that fits the present limits.
func (f *Frontend) serverForLimits() *fasthttp.Server {
	var limits config.Limits
	if r := f.proxy.snapshot.Load(); r != nil {
		limits = r.table.Limits
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.currentLimits == limits {
		return f.current
	}
	s := api.NewServer(f.proxy.HandleRequest, maxBufferedRequest)
	s.StreamRequestBody = true
	s.ReadBufferSize = int(max(4<<10, min(limits.MaxHeaderBytes, 256<<10))) + 1<<10
	s.ReadTimeout = secondsOr(limits.HeaderTimeoutSeconds, f.proxy.settings.Bounds.ContactWindow.Duration())
	s.IdleTimeout = secondsOr(limits.IdleTimeoutSeconds, 5*f.proxy.settings.Bounds.ContactWindow.Duration())
	s.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: 4 * s.ReadTimeout}
	}
	s.ErrorHandler = f.handleReadError
	s.ConnState = f.trackState
	f.current, f.currentLimits = s, limits
	return s
}

func (f *Frontend) trackState(c net.Conn, state fasthttp.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, there := f.connections[c]; there {
		f.connections[c] = state == fasthttp.StateActive
	}
}

// clientConn is a client's connection. One that never sent a byte ends without an
// answer, as no request waits on it.
type clientConn struct {
	net.Conn
	hasSentData bool
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.hasSentData = true
	} else if err != nil && !c.hasSentData {
		err = io.EOF
	}
	return n, err
}

func (f *Frontend) serveConn(s *fasthttp.Server, c net.Conn) {
	f.mu.Lock()
	f.connections[c] = false
	f.mu.Unlock()
	_ = s.ServeConn(c) // a broken client connection is no event
	f.mu.Lock()
	delete(f.connections, c)
	f.mu.Unlock()
}

// closeIdle ends the connections on which no request is. A deadline in the past
// ends only a read that has nothing: what was read goes on.
func (f *Frontend) closeIdle() (left int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, busy := range f.connections {
		if !busy {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // a closed connection needs none
		}
	}
	return len(f.connections)
}

// handleReadError answers a request that could not be read.
func (f *Frontend) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	status := 400
	switch {
	case errors.As(err, &small):
		status = 431
	case errors.As(err, &ne) && ne.Timeout():
		status = 408
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = 413
	}
	f.proxy.metrics.Counter("unreadable_total", "status", fasthttp.StatusMessage(status)).Inc()
	ctx.SetConnectionClose()
	ctx.SetStatusCode(status)
}

// Run accepts until the listener is closed.
func (f *Frontend) Run() {
	defer close(f.done)
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return // see hatch.Listen
		}
		go f.serveConn(f.serverForLimits(), &clientConn{Conn: c})
	}
}

// Shutdown ends in order: not ready at once, no kept connections, and out once all
// that was read is answered, within grace.
func (f *Frontend) Shutdown(grace time.Duration) {
	f.proxy.announceShutdown()
	end := time.Now().Add(grace * 9 / 10)
	// The platform needs two missed calls to hand out no new connections; those
	// whom the directory sent here may hold its answer for three times its time.
	wait := grace * 2 / 5
	if f.proxy.settings.EntryType == settings.EntryTypeDirectory {
		wait = grace * 3 / 5
	}
	time.Sleep(wait)
	f.listener.Close()
	<-f.done
	for f.closeIdle() > 0 && time.Now().Before(end) {
		time.Sleep(grace / 300)
	}
	f.proxy.closeAudit(end.Add(grace / 20))
}

// HandleReadiness serves the platform's question and the counters.
func (p *Proxy) HandleReadiness(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/api/readiness":
		if !p.Ready() {
			ctx.SetStatusCode(503)
		}
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	case "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBody(api.RenderMetrics(p.metrics))
	default:
		ctx.SetStatusCode(404)
	}
}
