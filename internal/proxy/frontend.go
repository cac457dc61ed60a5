package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/api"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

const (
	// minReadBuffer and maxReadBuffer bound in bytes the buffer for the head of a request,
	// and readBufferReserve is added to what the configuration permits.
	minReadBuffer     = 4 << 10
	maxReadBuffer     = 256 << 10
	readBufferReserve = 1 << 10
	// bodyTimeoutFactor is how many times the time for a head a body may take.
	bodyTimeoutFactor = 4
	// idleTimeoutFactor is how many contact windows an idle client connection is kept where
	// the configuration sets no time.
	idleTimeoutFactor = 5
	// metricsContentType is that of the counters (Prometheus text format).
	metricsContentType = "text/plain; version=0.0.4"
)

// Frontend serves clients. The limits of the configuration in force when a connection is
// accepted hold for all its life.
type Frontend struct {
	proxy    *Proxy
	listener net.Listener
	// done is closed when no connection is accepted any more.
	done chan struct{}

	mu            sync.Mutex
	current       *fasthttp.Server
	currentLimits config.Limits
	// connections holds every client connection; true while it carries a request.
	connections map[net.Conn]bool
}

// NewFrontend returns the server of a listener that api.Listen made.
func NewFrontend(p *Proxy, listener net.Listener) *Frontend {
	return &Frontend{
		proxy:       p,
		listener:    listener,
		done:        make(chan struct{}),
		connections: map[net.Conn]bool{},
	}
}

// Run accepts connections until Shutdown.
func (f *Frontend) Run() {
	defer close(f.done)
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return // an error of a listener of api.Listen is that it was closed
		}
		go f.serveConn(f.serverForLimits(), newClientConn(conn))
	}
}

// Shutdown ends the service in order: at once this node is not ready, then it accepts no
// connections, and it returns once all requests that were read are answered, or shortly
// before the grace period is over.
func (f *Frontend) Shutdown(gracePeriod time.Duration) {
	f.proxy.announceShutdown()
	deadline := time.Now().Add(gracePeriod * 9 / 10)
	time.Sleep(f.acceptPeriod(gracePeriod))
	f.listener.Close()
	<-f.done
	for f.closeIdle() > 0 && time.Now().Before(deadline) {
		time.Sleep(gracePeriod / 300)
	}
	f.proxy.closeAudit(deadline.Add(gracePeriod / 20))
}

// acceptPeriod is how long connections are still accepted in a shutdown. The platform
// needs two failed checks of readiness to send no new ones; clients whom the directory
// sent here may use its answer for three times its lifetime.
func (f *Frontend) acceptPeriod(gracePeriod time.Duration) time.Duration {
	if f.proxy.settings.EntryType == settings.EntryTypeDirectory {
		return gracePeriod * 3 / 5
	}
	return gracePeriod * 2 / 5
}

// serverForLimits returns the server for the limits in force.
func (f *Frontend) serverForLimits() *fasthttp.Server {
	var limits config.Limits
	if s := f.proxy.snapshot.Load(); s != nil {
		limits = s.table.Limits
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil || f.currentLimits != limits {
		f.current = f.newServer(limits)
		f.currentLimits = limits
	}
	return f.current
}

// newServer returns a server for limits.
func (f *Frontend) newServer(limits config.Limits) *fasthttp.Server {
	contact := f.proxy.settings.Bounds.ContactWindow.Duration()
	s := api.NewServer(f.proxy.HandleRequest, maxBufferedRequest)
	s.StreamRequestBody = true
	s.ReadBufferSize = int(max(minReadBuffer, min(limits.MaxHeaderBytes, maxReadBuffer))) + readBufferReserve
	s.ReadTimeout = secondsOr(limits.HeaderTimeoutSeconds, contact)
	s.IdleTimeout = secondsOr(limits.IdleTimeoutSeconds, idleTimeoutFactor*contact)
	s.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: bodyTimeoutFactor * s.ReadTimeout}
	}
	s.ErrorHandler = f.handleReadError
	s.ConnState = f.trackState
	return s
}

// secondsOr returns a number of seconds, or the other duration if it is not positive.
func secondsOr(seconds float64, other time.Duration) time.Duration {
	if seconds <= 0 {
		return other
	}
	return time.Duration(seconds * float64(time.Second))
}

// serveConn serves one connection until its end.
func (f *Frontend) serveConn(s *fasthttp.Server, conn net.Conn) {
	f.mu.Lock()
	f.connections[conn] = false
	f.mu.Unlock()
	_ = s.ServeConn(conn) // that a client disconnects is not a fault of the proxy
	f.mu.Lock()
	delete(f.connections, conn)
	f.mu.Unlock()
}

// trackState notes whether a connection carries a request.
func (f *Frontend) trackState(conn net.Conn, state fasthttp.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.connections[conn]; ok {
		f.connections[conn] = state == fasthttp.StateActive
	}
}

// closeIdle ends the connections that carry no request, and returns how many connections
// there still are. A deadline in the past ends only a read that has nothing: what was read
// is answered.
func (f *Frontend) closeIdle() (open int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn, isBusy := range f.connections {
		if !isBusy {
			_ = conn.SetReadDeadline(longAgo) // a closed connection needs none
		}
	}
	return len(f.connections)
}

// handleReadError answers a request that the server could not read.
func (f *Frontend) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := readErrorStatus(err)
	f.proxy.metrics.Counter("requests_malformed_total", "status", fasthttp.StatusMessage(status)).Inc()
	ctx.SetConnectionClose()
	ctx.SetStatusCode(status)
}

// readErrorStatus is the status for an error of reading a request.
func readErrorStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return fasthttp.StatusRequestTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	default:
		return fasthttp.StatusBadRequest
	}
}

// clientConn is a client's connection. One that never sent a byte ends without an answer,
// as no request waits for one.
type clientConn struct {
	net.Conn
	// probe looks whether the client has left; nil if the connection is no socket.
	probe       *transport.PeerProbe
	hasSentData bool
}

func newClientConn(conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn}
	if socket, ok := conn.(syscall.Conn); ok {
		if rawConn, err := socket.SyscallConn(); err == nil {
			c.probe = transport.NewPeerProbe(rawConn)
		}
	}
	return c
}

// Read implements io.Reader.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch {
	case n > 0:
		c.hasSentData = true
	case err != nil && !c.hasSentData:
		err = io.EOF
	}
	return n, err
}

// HandleReadiness answers the platform's checks of readiness, and serves the counters.
func (p *Proxy) HandleReadiness(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/api/readiness":
		if !p.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	case "/metrics":
		ctx.SetContentType(metricsContentType)
		ctx.SetBody(api.RenderMetrics(p.metrics))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
