package api

import (
	"syscall"

	"github.com/valyala/fasthttp"

	"lichentray/internal/transport"
)

// NewCallerCheck returns a function that reports whether the connection of a call is still open,
// so that its caller may wait for the answer.
func NewCallerCheck(ctx *fasthttp.RequestCtx) (callerIsWaiting func() bool) {
	conn, ok := ctx.Conn().(syscall.Conn)
	if !ok {
		return func() bool { return true } // not a socket, as in tests
	}
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return func() bool { return false } // it has been closed
	}
	probe := transport.NewPeerProbe(rawConn)
	return func() bool { return !probe.HasClosed() }
}
