package api

import (
	"strings"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
)

// call is one API request, as passed to its handler.
type call struct {
	// ctx is the context of the HTTP request. It is valid until the handler returns.
	ctx *fasthttp.RequestCtx
	// name identifies the object of the call, such as an instance, a lock or a zone. It is
	// empty if the request does not name one, see requireName.
	name string
	// body is the body of the request. The server does not use its memory again.
	body []byte
}

// callHandler executes one kind of call. Its response is written by writeResponse. If it returns an
// error, response is nil, or a body to be sent in place of the error's.
type callHandler func(h *Handler, c call) (response any, err error)

// rpcPath is the path of the calls in rpcCalls. The query parameter "call" selects the call, and
// "of" is the name of its object.
const rpcPath = "/api/rpc"

const (
	// smallCallBytes limits the body of all calls but one. A cell's value of maxCellBytes takes up
	// to six times as much in JSON.
	smallCallBytes = 512 << 10
	// maxConfigurationBytes limits a configuration, besides the memory of the process.
	maxConfigurationBytes = 16 << 20
	// callMemoryFactor is the memory that executing a call takes, as a multiple of its body: the
	// decoded form, the command, its place in the log and in the buffers of connections.
	callMemoryFactor = 4
)

// MaxBodyBytes returns the limit of a call's body, in bytes, as required by NewCallServer.
func MaxBodyBytes(ctx *fasthttp.RequestCtx) int {
	rpc := rpcCalls[string(ctx.QueryArgs().Peek("call"))]
	if string(ctx.Path()) != rpcPath || rpc.maxBodyBytes == 0 {
		return smallCallBytes
	}
	if limit := GuardedConn(ctx).Limit(); limit > 0 {
		return min(rpc.maxBodyBytes, limit/(1+callMemoryFactor))
	}
	return rpc.maxBodyBytes
}

// rpcCall describes a call at rpcPath.
type rpcCall struct {
	handle callHandler
	// maxBodyBytes limits the body; smallCallBytes if it is 0.
	maxBodyBytes int
	// requiresConnectedCaller is set for calls that are not executed once the caller has
	// disconnected. Executing such a call late could contradict a newer call that the same caller
	// has sent to another node since.
	requiresConnectedCaller bool
}

// rpcCalls holds the calls at rpcPath by name. All of them are POST requests.
var rpcCalls = map[string]rpcCall{
	"instances.heartbeat":   {handle: (*Handler).heartbeatInstance},
	"instances.deregister":  {handle: (*Handler).deregisterInstance},
	"configuration.replace": {handle: (*Handler).replaceConfiguration, maxBodyBytes: maxConfigurationBytes},
	"configuration.read":    {handle: (*Handler).readConfiguration},
	"locks.begin":           {handle: (*Handler).acquireLock, requiresConnectedCaller: true},
	"locks.heartbeat":       {handle: (*Handler).renewLock, requiresConnectedCaller: true},
	"locks.finish":          {handle: (*Handler).releaseLock, requiresConnectedCaller: true},
	"cells.replace":         {handle: (*Handler).replaceCell},
	"cells.read":            {handle: (*Handler).readCell},
	"evacuations.begin":     {handle: (*Handler).beginEvacuation, requiresConnectedCaller: true},
	"evacuations.finish":    {handle: (*Handler).finishEvacuation, requiresConnectedCaller: true},
	"evacuations.read":      {handle: (*Handler).listEvacuations},
	"rollouts.begin":        {handle: (*Handler).beginRollout, requiresConnectedCaller: true},
	"rollouts.read":         {handle: (*Handler).readRollout},
	"accounts.read":         {handle: (*Handler).readAudit},
}

// IsAbandoned reports whether a request is a call that must not be executed any more, because its
// caller has disconnected. Nodes that forward calls use it as well.
func IsAbandoned(ctx *fasthttp.RequestCtx) bool {
	call := rpcCalls[string(ctx.QueryArgs().Peek("call"))]
	return call.requiresConnectedCaller && !NewCallerCheck(ctx)()
}

// errAbandoned is the outcome of a call that was not executed because its caller has disconnected.
// It is only counted, as nobody receives the response.
var errAbandoned = apierror.New(apierror.Unavailable, "the caller has left")

// route describes a call with a path of its own, outside rpcPath.
type route struct {
	method string
	path   string
	// isPrefix is set if path is a prefix. The rest of the request's path is then the name of the
	// call's object.
	isPrefix bool
	// label is the label of the call in metrics.
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

// unknownCallLabel is the label in metrics of all calls that do not exist.
const unknownCallLabel = "other"

// dispatch finds the handler of a request and calls it. label is the label of the call in metrics.
func (h *Handler) dispatch(ctx *fasthttp.RequestCtx) (label string, response any, err error) {
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
		response, err := h.execute(r.handle, call{ctx: ctx, name: name, body: ctx.PostBody()})
		return r.label, response, err
	}
	return unknownCallLabel, nil, apierror.New(apierror.NoRoute, "no call at %s", path)
}

// match reports whether the route matches a request, and returns the name in its path.
func (r *route) match(method, path string) (name string, ok bool) {
	if method != r.method {
		return "", false
	}
	if !r.isPrefix {
		return "", path == r.path
	}
	return strings.CutPrefix(path, r.path)
}

// dispatchRPC is dispatch for requests at rpcPath.
func (h *Handler) dispatchRPC(ctx *fasthttp.RequestCtx) (label string, response any, err error) {
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
	response, err = h.execute(rpc.handle, call{ctx: ctx, name: name, body: ctx.PostBody()})
	return label, response, err
}

// execute calls the handler of a call. It reserves the memory that executing a large call takes.
func (h *Handler) execute(handle callHandler, c call) (response any, err error) {
	if len(c.body) <= unreservedBodyBytes {
		return handle(h, c)
	}
	release, err := reserveForCall(GuardedConn(c.ctx), callMemoryFactor*len(c.body))
	if err != nil {
		return nil, err
	}
	defer release()
	return handle(h, c)
}

// readiness reports that the process serves calls. Whether the node is up to date is part of its
// status.
func (h *Handler) readiness(call) (any, error) { return nil, nil }

// status returns the state of the node.
func (h *Handler) status(call) (any, error) { return h.node.Status(), nil }

// scrapeMetrics returns the metrics of the process.
func (h *Handler) scrapeMetrics(call) (any, error) {
	return metricsText(RenderMetrics(h.metrics)), nil
}
