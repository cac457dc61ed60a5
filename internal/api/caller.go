package api

import (
	"syscall"

	"github.com/valyala/fasthttp"

	"lichentray/internal/transport"
)

// NewCallerCheck returns a function that reports whether the caller still keeps the connection of a
// call open, and so may be waiting for the response.
func NewCallerCheck(ctx *fasthttp.RequestCtx) (callerIsWaiting func() bool) {
	conn, ok := ctx.Conn().(syscall.Conn)
	if !ok {
		return func() bool { return true } // not a socket, as in tests
	}
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return func() bool { return false } // the connection was closed
	}
	probe := transport.NewPeerProbe(rawConn)
	guarded := GuardedConn(ctx)
	return func() bool { return !guarded.IsEvicted() && !probe.HasClosed() }
}
