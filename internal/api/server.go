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
// The HTTP server calls handlers concurrently, each in the goroutine of its connection. A handler
// returns when the response is complete.
package api

import (
	"time"

	"github.com/valyala/fasthttp"
)

// readBufferBytes is the size of the read buffer of a connection. It limits the size of a request's
// header.
const readBufferBytes = 16 << 10

// NewServer returns a server that calls handler for each request. It adds none of the optional
// default headers to responses and limits request bodies to maxBodyBytes. The caller starts it by
// calling Serve with a listener from Listen, and stops it with Shutdown, which closes idle
// connections and waits for the requests in progress.
func NewServer(handler fasthttp.RequestHandler, maxBodyBytes int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			handler(ctx)
			// If the next pipelined request has already arrived, fasthttp does not flush a
			// response until it has handled that request, unless a write deadline is set.
			// The zero time is a deadline that never expires. The call fails only on a
			// closed connection, which sends no response anyway.
			_ = ctx.SetWriteDeadline(time.Time{})
		},
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

// discardLogger discards the log of fasthttp, which has a line for each broken connection. They
// are counted instead.
type discardLogger struct{}

// Printf discards its arguments.
func (discardLogger) Printf(string, ...any) {}
