package relay

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"

	"lichentray/internal/api"
	"lichentray/internal/apierror"
)

// maxForwardedBytes bounds the body of a forwarded call. Forwarding a configuration of 400 KB
// occupies a link of 4 Mbit/s for about a second and delays every small call behind it. Callers
// that send a larger body or read the configuration are therefore redirected to the core.
const maxForwardedBytes = 16 << 10

// handle serves one HTTP request.
func (r *relay) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBody(api.RenderMetrics(r.metrics))
		return
	case "/api/readiness":
		return
	}
	isLarge, err := api.BufferStart(ctx, maxForwardedBytes, maxRequestBodyBytes)
	if err != nil {
		ctx.SetConnectionClose()
		api.WriteError(ctx, err)
		return
	}
	target := r.target.Load()
	switch {
	case target == nil:
		r.unavailable.Inc()
		api.WriteError(ctx, apierror.New(apierror.Unavailable, "no core node is in touch"))
	case api.IsAbandoned(ctx):
		r.abandoned.Inc()
		api.WriteError(ctx, apierror.New(apierror.Unavailable, "the caller has left"))
	case isLarge || isLargeResponse(ctx):
		ctx.Response.Header.Set("Location", "http://"+target.address+string(ctx.RequestURI()))
		ctx.SetStatusCode(fasthttp.StatusTemporaryRedirect)
		r.redirected.Inc()
	default:
		r.forward(ctx, target)
	}
}

// isLargeResponse reports whether the response to a call is too large to be forwarded.
func isLargeResponse(ctx *fasthttp.RequestCtx) bool {
	return string(ctx.QueryArgs().Peek("call")) == "configuration.read"
}

// forward sends a call to a core node and returns its response to the caller. A call that may have
// reached the core node is never reported as unprocessed.
func (r *relay) forward(ctx *fasthttp.RequestCtx, target *coreTarget) {
	// The buffers of ctx are used for the forwarded call, and only until forwardWatch or DoTimeout
	// returns.
	var err error
	if bytes.HasPrefix(ctx.Path(), []byte("/api/watch/")) {
		err = r.forwardWatch(ctx, target)
	} else {
		err = target.calls.DoTimeout(&ctx.Request, &ctx.Response, r.timeouts.call)
	}
	if err != nil {
		ctx.Response.Reset() // it may hold a partial response
	}
	ctx.Response.Header.Del("Connection")
	switch {
	case err == nil:
		r.forwarded.Inc()
	case errors.Is(err, errCallerDisconnected): // there is no caller to respond to
	case isUnsent(err):
		r.unavailable.Inc()
		api.WriteError(ctx, apierror.New(apierror.Unavailable, "core node cannot be reached"))
	default:
		r.outcomeUnknown.Inc()
		api.WriteError(ctx, apierror.New(apierror.UnknownOutcome, "core node did not answer"))
	}
}

// isUnsent reports whether err means that no byte of the call was sent.
func isUnsent(err error) bool {
	return errors.Is(err, errNotConnected) || errors.Is(err, errStaleConnection) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
