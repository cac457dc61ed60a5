// Package api is the HTTP server of the control plane.
//
// A Handler serves the calls of endpoints, operators and applications: it reads a call, checks
// its form, hands it to the control-plane node behind the interface Node, and encodes the
// answer. What a call means is decided by the node; the package keeps no state but counters. A
// Directory serves clients that ask which proxies to connect to.
//
// Every error is answered by its kind, see package apierror. A status that promises that
// nothing was done (429, 503) is given only for a kind that promises it.
//
// The names of calls, the JSON keys and the texts of errors are public: callers depend on them.
//
// Handlers are called by the goroutines of the HTTP server, any number at once, and return when
// the answer is complete.
package api

import (
	"time"

	"github.com/valyala/fasthttp"
)

// readBufferBytes is the size of a connection's read buffer, which bounds the header of a
// request.
const readBufferBytes = 16 << 10

// NewServer returns a server that calls handler for each request and adds no header of its own to
// its answers. Bodies of requests are bounded by maxBodyBytes. The caller starts it with Serve,
// on a listener of Listen, and ends it with Shutdown, which closes idle connections and waits for
// the requests in progress.
func NewServer(handler fasthttp.RequestHandler, maxBodyBytes int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			handler(ctx)
			// If the next request has arrived already (pipelining), the library keeps an
			// answer back until that one is handled, unless a write deadline is set. The
			// zero time is a deadline that never passes. It fails on a closed connection,
			// on which nothing is sent anyway.
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

// discardLogger drops the log of the library, which has a line for each broken connection. They
// are counted instead.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
