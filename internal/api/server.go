// Package api is the HTTP server of the control plane.
//
// A Handler serves the calls of endpoints, operators and applications: it decodes and validates a
// call, passes it to the control-plane node through the interface Node, and encodes the response.
// The node implements the calls; this package has no state except metrics. A Directory serves
// clients that look up the proxies to connect to.
//
// The status of an error response follows from the kind of the error, see package apierror. The
// statuses 429 and 503 promise that the call was not executed, so only kinds with that guarantee
// have them.
//
// The names of calls, the JSON keys and the error messages are a public interface.
//
// A Guard bounds what clients make a process hold. Its listeners are those of all HTTP servers and
// of the internal port, also in the proxy; package overload makes its decisions.
//
// The HTTP server calls handlers concurrently, each in the goroutine of its connection. A handler
// returns when the response is complete.
package api

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
	"lichentray/overload"
)

const (
	// readBufferBytes is the size of the read buffer of a connection. It limits the size of a
	// request's header.
	readBufferBytes = 16 << 10
	// headTimeout is how long the head of a call may take to arrive.
	headTimeout = 30 * time.Second
	// bodyTimeout is how long the body may take after that. The largest configuration takes a
	// minute on a link of 2 Mbit/s.
	bodyTimeout = 2 * time.Minute
	// idleTimeout is how long a connection is kept without a call.
	idleTimeout = 2 * time.Minute
	// connectionOverheadBytes is the memory that a connection takes besides its read buffer: the
	// write buffer, the start of a body, the state of the HTTP server and the stack.
	connectionOverheadBytes = 24 << 10
)

// ConnectionBytes returns the memory that an idle connection takes whose read buffer has the given
// size. Both are in bytes.
func ConnectionBytes(readBuffer int) int64 { return int64(readBuffer) + connectionOverheadBytes }

// CallListener returns the configuration of a listener for a server from NewCallServer.
func CallListener(name overload.Listener) ListenerConfig {
	return ListenerConfig{Name: name, ConnectionBytes: ConnectionBytes(readBufferBytes), BoundsWrites: true}
}

// NewServer returns a server that calls handler for each request. It adds none of the optional
// default headers to responses and limits request bodies to maxBodyBytes. The caller starts it by
// calling Serve with a listener from Listen or of a Guard, and stops it with Shutdown, which closes
// idle connections and waits for the requests in progress.
func NewServer(handler fasthttp.RequestHandler, maxBodyBytes int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			serveGuarded(ctx, handler)
			// If the next pipelined request has already arrived, fasthttp does not flush a
			// response until it has handled that request, unless a write deadline is set.
			// The zero time is a deadline that never expires. The call fails only on a
			// closed connection, which sends no response anyway.
			_ = ctx.SetWriteDeadline(time.Time{})
		},
		ConnState:          EndRequest,
		MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize:     readBufferBytes,
		CloseOnShutdown:    true,

		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,

		Logger:                discardLogger{},
		SecureErrorLogMessage: true,
	}
}

// NewCallServer returns a server as NewServer does that calls handler for each call, once the body
// of the call is complete. maxBodyBytes returns the limit of the body, in bytes.
func NewCallServer(handler fasthttp.RequestHandler, maxBodyBytes func(*fasthttp.RequestCtx) int) *fasthttp.Server {
	return NewStreamServer(func(ctx *fasthttp.RequestCtx) {
		if err := bufferBody(ctx, maxBodyBytes(ctx)); err != nil {
			ctx.SetConnectionClose()
			WriteError(ctx, err)
			return
		}
		handler(ctx)
	})
}

// NewStreamServer returns a server as NewServer does, with timeouts, that calls handler before the
// body of a call has been read. The handler reads it with BufferStart.
func NewStreamServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	server := NewServer(handler, unreservedBodyBytes)
	server.StreamRequestBody = true
	server.ReadTimeout = headTimeout
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
	}
	server.IdleTimeout = idleTimeout
	return server
}

// ConstantLimit returns a limit of NewCallServer that is the same for all calls.
func ConstantLimit(maxBodyBytes int) func(*fasthttp.RequestCtx) int {
	return func(*fasthttp.RequestCtx) int { return maxBodyBytes }
}

// serveGuarded calls a handler and records at the connection which part of a request is in
// progress. It rejects a request whose connection was evicted.
func serveGuarded(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	conn := GuardedConn(ctx)
	if !conn.BeginRequest(ctx.Request.IsBodyStream()) {
		ctx.SetConnectionClose()
		WriteError(ctx, apierror.New(apierror.Unavailable, "too many connections"))
		return
	}
	handler(ctx)
	switch {
	case ctx.Response.IsBodyStream():
		// The handler has recorded what is kept for it. Otherwise it is passed on as it arrives.
	case ctx.UserValue(sharedBodyKey{}) != nil:
		conn.BeginResponse(0)
	default:
		conn.BeginResponse(len(ctx.Response.Body()))
	}
}

// sharedBodyKey is the key of a user value that marks a response whose body is memory that the
// process keeps in any case.
type sharedBodyKey struct{}

// EndRequest is the ConnState callback of servers with guarded connections.
func EndRequest(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		AsGuarded(conn).EndRequest()
	}
}

// discardLogger discards the log of fasthttp, which has a line for each broken connection.
type discardLogger struct{}

// Printf discards its arguments.
func (discardLogger) Printf(string, ...any) {}
