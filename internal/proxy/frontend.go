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
	"lichentray/overload"
)

const (
	// minReadBufferBytes and maxReadBufferBytes bound the configured header limit, from which the
	// size of the buffer for a request's head is derived; readBufferReserveBytes is added to it.
	minReadBufferBytes     = 4 << 10
	maxReadBufferBytes     = 256 << 10
	readBufferReserveBytes = 1 << 10
	// usualHeaderBytes is the header limit for which connections are accounted when they are
	// accepted.
	usualHeaderBytes = 16 << 10
	// bodyTimeoutFactor is the timeout for reading a body, as a multiple of that for a head.
	bodyTimeoutFactor = 4
	// idleTimeoutFactor is the idle timeout of client connections if the configuration sets none,
	// as a multiple of the contact window.
	idleTimeoutFactor = 5
	// metricsContentType is the content type of the Prometheus text format.
	metricsContentType = "text/plain; version=0.0.4"
)

// FrontendListener is the configuration of the listener for clients. The read buffer is taken to be
// as large as for the header limit of usual configurations.
var FrontendListener = api.ListenerConfig{
	Name:            overload.Frontend,
	ConnectionBytes: api.ConnectionBytes(usualHeaderBytes + readBufferReserveBytes),
	BoundsWrites:    true,
}

// Frontend serves client connections. A connection keeps the limits of the configuration that
// was current when it was accepted.
type Frontend struct {
	proxy    *Proxy
	listener net.Listener
	// done is closed when Run has stopped accepting connections.
	done chan struct{}

	mu            sync.Mutex
	currentServer *fasthttp.Server
	currentLimits config.Limits
	// connections holds the open client connections; the value is true while a request is active.
	connections map[net.Conn]bool
}

// NewFrontend returns a Frontend for a listener created by api.Listen.
func NewFrontend(p *Proxy, listener net.Listener) *Frontend {
	return &Frontend{
		proxy:       p,
		listener:    listener,
		done:        make(chan struct{}),
		connections: map[net.Conn]bool{},
	}
}

// Run accepts connections until Shutdown is called.
func (f *Frontend) Run() {
	defer close(f.done)
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return // a listener of api.Listen returns an error only when it is closed
		}
		go f.serveConn(f.serverForLimits(), newClientConn(conn))
	}
}

// Shutdown shuts down gracefully. It makes the node not ready immediately, later stops accepting
// connections, and returns once all requests that were read have been answered, or shortly before
// the end of the grace period.
func (f *Frontend) Shutdown(gracePeriod time.Duration) {
	f.proxy.announceShutdown()
	deadline := time.Now().Add(gracePeriod * 9 / 10)
	time.Sleep(f.acceptDuration(gracePeriod))
	f.listener.Close()
	<-f.done
	for f.closeIdle() > 0 && time.Now().Before(deadline) {
		time.Sleep(gracePeriod / 300)
	}
	f.proxy.closeAudit(deadline.Add(gracePeriod / 20))
}

// acceptDuration returns how long connections are still accepted during shutdown. The platform
// needs two failed readiness checks before it stops sending new connections; clients that
// resolved this node through the directory may use the answer for three times its TTL.
func (f *Frontend) acceptDuration(gracePeriod time.Duration) time.Duration {
	if f.proxy.settings.EntryType == settings.EntryTypeDirectory {
		return gracePeriod * 3 / 5
	}
	return gracePeriod * 2 / 5
}

// serverForLimits returns the server for the current limits.
func (f *Frontend) serverForLimits() *fasthttp.Server {
	var limits config.Limits
	if s := f.proxy.snapshot.Load(); s != nil {
		limits = s.table.Limits
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentServer == nil || f.currentLimits != limits {
		f.currentServer = f.newServer(limits)
		f.currentLimits = limits
	}
	return f.currentServer
}

// newServer returns a server with the given limits.
func (f *Frontend) newServer(limits config.Limits) *fasthttp.Server {
	contact := f.proxy.settings.Bounds.ContactWindow.Duration()
	s := api.NewServer(f.proxy.HandleRequest, maxBufferedRequestBytes)
	s.StreamRequestBody = true
	s.ReadBufferSize = int(max(minReadBufferBytes, min(limits.MaxHeaderBytes, maxReadBufferBytes))) + readBufferReserveBytes
	s.ReadTimeout = secondsOr(limits.HeaderTimeoutSeconds, contact)
	s.IdleTimeout = secondsOr(limits.IdleTimeoutSeconds, idleTimeoutFactor*contact)
	s.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: bodyTimeoutFactor * s.ReadTimeout}
	}
	s.ErrorHandler = f.handleReadError
	s.ConnState = f.trackState
	return s
}

// secondsOr converts seconds to a duration. It returns fallback if seconds is not positive.
func secondsOr(seconds float64, fallback time.Duration) time.Duration {
	if seconds <= 0 {
		return fallback
	}
	return time.Duration(seconds * float64(time.Second))
}

// serveConn serves one connection until it ends.
func (f *Frontend) serveConn(s *fasthttp.Server, conn net.Conn) {
	f.mu.Lock()
	f.connections[conn] = false
	f.mu.Unlock()
	api.AsGuarded(conn).SetConnectionBytes(api.ConnectionBytes(s.ReadBufferSize))
	_ = s.ServeConn(conn) // a client's disconnect is not a fault of the proxy
	f.mu.Lock()
	delete(f.connections, conn)
	f.mu.Unlock()
}

// trackState records whether a connection has an active request.
func (f *Frontend) trackState(conn net.Conn, state fasthttp.ConnState) {
	api.EndRequest(conn, state)
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.connections[conn]; ok {
		f.connections[conn] = state == fasthttp.StateActive
	}
}

// closeIdle ends the connections without an active request, and returns the number of open
// connections. It sets a read deadline in the past, which ends only a read without data: a
// request that was read is still answered.
func (f *Frontend) closeIdle() (open int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn, isBusy := range f.connections {
		if !isBusy {
			_ = conn.SetReadDeadline(pastDeadline) // fails only if the connection is closed
		}
	}
	return len(f.connections)
}

// handleReadError responds to a request that the server could not read.
func (f *Frontend) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := readErrorStatus(err)
	f.proxy.metrics.Counter("requests_malformed_total", "status", fasthttp.StatusMessage(status)).Inc()
	ctx.SetConnectionClose()
	ctx.SetStatusCode(status)
}

// readErrorStatus returns the status code for an error in reading a request.
func readErrorStatus(err error) int {
	var smallBufferErr *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &smallBufferErr):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return fasthttp.StatusRequestTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	default:
		return fasthttp.StatusBadRequest
	}
}

// clientConn is a client connection. If it fails before the client has sent any byte, reads
// return io.EOF, so that it is closed without a response: no request is waiting for one.
type clientConn struct {
	net.Conn
	// probe checks whether the client has disconnected; nil if the connection is not a socket.
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

// Guarded returns the guarded connection, or nil if it is not guarded.
func (c *clientConn) Guarded() *api.Conn { return api.AsGuarded(c.Conn) }

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

// HandleReadiness serves the platform's readiness checks and the metrics.
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
