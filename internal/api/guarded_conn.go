package api

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/overload"
)

// maxWriteChunkBytes is how much of a response a client must read within writeStallTimeout.
const maxWriteChunkBytes = 64 << 10

// unreservedResponseBytes is the size up to which a response counts as part of the memory of an idle
// connection.
const unreservedResponseBytes = 4 << 10

// pastDeadline is a deadline in the past. It makes pending reads fail immediately.
var pastDeadline = time.Unix(1, 0)

// errNotSocket is returned by Conn.SyscallConn for a connection without a descriptor.
var errNotSocket = errors.New("api: connection is not a socket")

// Conn is a connection of a Guard. The methods beyond those of net.Conn do nothing on a nil *Conn,
// which stands for a connection that is not guarded.
type Conn struct {
	net.Conn
	guard    *Guard
	listener *guardedListener
	holder   *overload.Holder

	// responseBytes is what is reserved for the response. It is used only by the goroutine that
	// serves the connection.
	responseBytes int

	isEvicted atomic.Bool
	closing   sync.Once
	closeErr  error
}

// guardedConn is implemented by connections that are, or wrap, a *Conn.
type guardedConn interface{ Guarded() *Conn }

// Guarded returns the connection itself.
func (c *Conn) Guarded() *Conn { return c }

// GuardedConn returns the guarded connection of a request, or nil if it is not guarded.
func GuardedConn(ctx *fasthttp.RequestCtx) *Conn { return AsGuarded(ctx.Conn()) }

// AsGuarded returns the guarded connection that conn is or wraps, or nil if there is none.
func AsGuarded(conn net.Conn) *Conn {
	if g, ok := conn.(guardedConn); ok {
		return g.Guarded()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotSocket
	}
	return socket.SyscallConn()
}

// Close closes the connection and releases what was kept for it.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.closeErr = c.Conn.Close()
		c.guard.close(c)
	})
	return c.closeErr
}

// SetReadDeadline implements net.Conn. The reads of an evicted connection stay expired.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.isEvicted.Load() {
		t = pastDeadline
	}
	err := c.Conn.SetReadDeadline(t)
	if err == nil && c.isEvicted.Load() { // it was evicted meanwhile
		return c.Conn.SetReadDeadline(pastDeadline)
	}
	return err
}

// Write implements net.Conn. It fails if the client reads nothing for writeStallTimeout.
func (c *Conn) Write(b []byte) (written int, err error) {
	if !c.listener.config.BoundsWrites {
		return c.Conn.Write(b)
	}
	for {
		chunk := b[written:min(len(b), written+maxWriteChunkBytes)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// disconnect ends an evicted connection. One that is receiving a body may still be answered with a
// rejection, so only its reads end; any other is closed.
func (c *Conn) disconnect(isReceiving bool) {
	c.isEvicted.Store(true)
	if isReceiving {
		_ = c.SetReadDeadline(pastDeadline) // fails only if the connection is closed
		return
	}
	_ = c.Close() // a client's connection has no state to lose
}

// IsEvicted reports whether the connection was chosen to give way. Its request was not passed on.
func (c *Conn) IsEvicted() bool { return c != nil && c.isEvicted.Load() }

// BeginRequest records that the head of a request has been read. hasBody is set if the body may
// still have to be read; until BeginProcessing, the connection may be evicted.
func (c *Conn) BeginRequest(hasBody bool) bool {
	if hasBody {
		return c.setState(overload.Receiving)
	}
	return c.setState(overload.Processing)
}

// BeginProcessing records that a request may be passed on from now on. It returns false if the
// connection was evicted: the request must then be rejected.
func (c *Conn) BeginProcessing() bool { return c.setState(overload.Processing) }

// BeginWaiting records that the caller waits for an event. Until BeginProcessing, the connection may
// be evicted.
func (c *Conn) BeginWaiting() bool { return c.setState(overload.Waiting) }

// ReserveResponse reserves n bytes of a response that is about to be received. It waits a moment for
// them, but as the request was executed it reserves them in any case.
func (c *Conn) ReserveResponse(n int) {
	if c == nil {
		return
	}
	c.responseBytes += n
	if c.Reserve(n) != nil {
		c.Force(n)
	}
}

// BeginResponse records that the response is sent from now on, and that n bytes are kept for it.
func (c *Conn) BeginResponse(n int) {
	if c == nil {
		return
	}
	c.setState(overload.Responding)
	if n > unreservedResponseBytes {
		c.Force(n - c.responseBytes)
	}
}

// EndRequest records that the response was sent, and releases what was kept for the request.
func (c *Conn) EndRequest() {
	if c == nil {
		return
	}
	c.setState(overload.Idle)
	c.responseBytes = 0
}

// setState sets what the connection is used for. It returns false if the connection was evicted.
func (c *Conn) setState(state overload.State) bool {
	return c == nil || c.guard.setState(c, state)
}

// Limit returns how many bytes may be reserved for one connection; 0 if there is no limit.
func (c *Conn) Limit() int {
	if c == nil {
		return 0
	}
	return int(c.guard.limits.Reservable() - c.listener.config.ConnectionBytes)
}

// EverFits reports whether n bytes can be reserved besides those that are reserved for the connection
// already, once other connections have released theirs.
func (c *Conn) EverFits(n int) bool { return c == nil || c.guard.everFits(c, int64(n)) }

// Reserve reserves n bytes, and waits a moment until there is room for them. It fails if the
// connection was evicted or there is none.
func (c *Conn) Reserve(n int) error {
	if c == nil || n <= 0 {
		return nil
	}
	return c.guard.reserve(c, int64(n))
}

// Force reserves n bytes even if there is no room for them.
func (c *Conn) Force(n int) {
	if c != nil && n > 0 {
		c.guard.force(c, int64(n))
	}
}

// SetConnectionBytes sets the memory that the connection takes while it is idle, in bytes, if that is
// not what its listener is configured for.
func (c *Conn) SetConnectionBytes(n int64) {
	if c != nil && n != c.listener.config.ConnectionBytes {
		c.guard.setBase(c, n)
	}
}

// Release releases n of the reserved bytes.
func (c *Conn) Release(n int) {
	if c != nil && n > 0 {
		c.guard.release(c, int64(n))
	}
}
