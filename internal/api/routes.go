package api

import (
	"strings"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
)

// call is one request as a handler sees it.
type call struct {
	// ctx is the request itself. It is valid until the handler returns.
	ctx *fasthttp.RequestCtx
	// name is what the call is about: an instance, a lock, a zone. It is empty if the caller
	// gave none, see requireName.
	name string
	// body is valid until the handler returns.
	body []byte
}

// callHandler serves one kind of call. The answer is written by writeAnswer. With an error the
// answer is nil, or a body that takes the place of the error's.
type callHandler func(h *Handler, c call) (answer any, err error)

// rpcPath is the path of the calls in rpcCalls. The query gives the call and the name.
const rpcPath = "/api/rpc"

// rpcCall is one of the calls at rpcPath.
type rpcCall struct {
	handle callHandler
	// needsCaller says that the call is not begun once its caller has left. What such a call does
	// may contradict a later call of the same caller, which that has sent to another node since.
	needsCaller bool
}

// rpcCalls are the calls at rpcPath. All of them are POST requests.
var rpcCalls = map[string]rpcCall{
	"instances.heartbeat":   {handle: (*Handler).heartbeatInstance},
	"instances.deregister":  {handle: (*Handler).deregisterInstance},
	"configuration.replace": {handle: (*Handler).replaceConfiguration},
	"configuration.read":    {handle: (*Handler).readConfiguration},
	"locks.begin":           {handle: (*Handler).acquireLock, needsCaller: true},
	"locks.heartbeat":       {handle: (*Handler).renewLock, needsCaller: true},
	"locks.finish":          {handle: (*Handler).releaseLock, needsCaller: true},
	"cells.replace":         {handle: (*Handler).replaceCell},
	"cells.read":            {handle: (*Handler).readCell},
	"evacuations.begin":     {handle: (*Handler).beginEvacuation, needsCaller: true},
	"evacuations.finish":    {handle: (*Handler).finishEvacuation, needsCaller: true},
	"evacuations.read":      {handle: (*Handler).listEvacuations},
	"rollouts.begin":        {handle: (*Handler).beginRollout, needsCaller: true},
	"rollouts.read":         {handle: (*Handler).readRollout},
	"accounts.read":         {handle: (*Handler).readAudit},
}

// IsAbandoned reports whether a request is a call that is not to be begun any more, as its caller
// has left. It is of use to a node that forwards calls, too.
func IsAbandoned(ctx *fasthttp.RequestCtx) bool {
	call := rpcCalls[string(ctx.QueryArgs().Peek("call"))]
	return call.needsCaller && !NewCallerCheck(ctx)()
}

// errAbandoned is the end of a call that is not begun, as its caller has left. Nobody reads it.
var errAbandoned = apierror.New(apierror.Unavailable, "the caller has left")

// route is a path that is served besides rpcPath.
type route struct {
	method string
	path   string
	// isPrefix says that the rest of the path after path is the name of the call.
	isPrefix bool
	// label names the call in metrics.
	label  string
	handle callHandler
}

var routes = []route{
	{method: fasthttp.MethodPost, path: "/api/numbers/", isPrefix: true, label: "numbers", handle: (*Handler).nextNumber},
	{method: fasthttp.MethodGet, path: "/api/watch/", isPrefix: true, label: "watch", handle: (*Handler).watchGroup},
	{method: fasthttp.MethodGet, path: "/api/readiness", label: "readiness", handle: (*Handler).readiness},
	{method: fasthttp.MethodGet, path: "/api/status", label: "status", handle: (*Handler).status},
	{method: fasthttp.MethodGet, path: "/metrics", label: "metrics", handle: (*Handler).scrapeMetrics},
}

// unknownCallLabel stands in metrics for all calls that do not exist.
const unknownCallLabel = "other"

// dispatch finds the handler of a request and calls it. label names the call in metrics.
func (h *Handler) dispatch(ctx *fasthttp.RequestCtx) (label string, answer any, err error) {
	path := string(ctx.Path())
	if path == rpcPath {
		return h.dispatchRPC(ctx)
	}
	method := string(ctx.Method())
	for _, r := range routes {
		name, ok := r.match(method, path)
		if !ok {
			continue
		}
		answer, err := r.handle(h, call{ctx: ctx, name: name, body: ctx.PostBody()})
		return r.label, answer, err
	}
	return unknownCallLabel, nil, apierror.New(apierror.NoRoute, "no call at %s", path)
}

// match reports whether the route serves a request, and the name in its path.
func (r *route) match(method, path string) (name string, ok bool) {
	if method != r.method {
		return "", false
	}
	if !r.isPrefix {
		return "", path == r.path
	}
	return strings.CutPrefix(path, r.path)
}

// dispatchRPC serves a request at rpcPath.
func (h *Handler) dispatchRPC(ctx *fasthttp.RequestCtx) (label string, answer any, err error) {
	label = string(ctx.QueryArgs().Peek("call"))
	rpc, ok := rpcCalls[label]
	if !ok {
		return unknownCallLabel, nil, apierror.New(apierror.NoRoute, "no call %q", label)
	}
	if !ctx.IsPost() {
		return label, nil, apierror.New(apierror.BadRequest, "call %s is a POST", label)
	}
	if IsAbandoned(ctx) {
		return label, nil, errAbandoned
	}
	name := string(ctx.QueryArgs().Peek("of"))
	answer, err = rpc.handle(h, call{ctx: ctx, name: name, body: ctx.PostBody()})
	return label, answer, err
}

// readiness says that the process serves calls. Whether the node is up to date is in its status.
func (h *Handler) readiness(call) (any, error) { return nil, nil }

// status answers with the state of the node.
func (h *Handler) status(call) (any, error) { return h.node.Status(), nil }

// scrapeMetrics answers with all counters.
func (h *Handler) scrapeMetrics(call) (any, error) {
	return metricsText(RenderMetrics(h.metrics)), nil
}
