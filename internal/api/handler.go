package api

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/audit"
	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
	"lichentray/registry"
	"lichentray/rollout"
)

// Node is what a Handler needs of the control-plane node. Its methods may be called by any
// number of goroutines at once, and each waits for its outcome within a time-out of the node's.
// Errors have a kind, see apierror.KindOf: after Unavailable or Overloaded nothing was done and
// never will be, after UnknownOutcome it may have been. Reads are linearizable.
type Node interface {
	// Heartbeat registers an endpoint, or renews its registration.
	Heartbeat(e registry.Endpoint) error
	// Deregister removes an endpoint for good.
	Deregister(id string) error
	// ReplaceConfiguration stores a complete configuration, in its JSON form, unless a newer
	// one is stored. The node keeps text.
	ReplaceConfiguration(text []byte) error
	// Configuration returns the newest configuration, in the JSON form in which it came.
	Configuration() ([]byte, error)
	// Propose commits a command on locks, sequences or cells and returns its result.
	Propose(cmd registry.Command) (registry.Result, error)
	// Cell returns a cell, or an error of the kind NotFound.
	Cell(name string) (coordination.Cell, error)
	// Watch waits, for wait at most, for writes to cells of a group whose revisions are
	// above after. It returns them in order, and the revision that they reach up to. It gives up
	// if callerIsWaiting returns false.
	Watch(group string, after uint64, wait time.Duration, callerIsWaiting func() bool) ([]coordination.Event, uint64, error)
	// Evacuate begins or finishes the evacuation of a zone. It gives up if callerIsWaiting
	// returns false, as a caller that is gone repeats the order at another node.
	Evacuate(zone string, begin bool, callerIsWaiting func() bool) error
	// Evacuations returns the states of the zones that are not in ordinary use.
	Evacuations() (map[string]string, error)
	// BeginRollout orders the roll-out of a service's target version within deadline.
	BeginRollout(service, target string, deadline time.Duration) error
	// Rollout returns the newest roll-out of a service, or an error of the kind NotFound.
	Rollout(service string) (rollout.Rollout, error)
	// ReadAudit returns the failures that a filter selects.
	ReadAudit(f audit.Filter) (audit.QueryResult, error)
	// Status returns the state of the node in a form that encodes to JSON.
	Status() any
}

// Handler serves the calls of the control plane. It is safe for concurrent use.
type Handler struct {
	node    Node
	metrics *metrics.Registry
	maxWait time.Duration
}

// NewHandler returns a handler that calls node and counts calls in registry, as api_calls_total by
// call and outcome. A long poll waits for maxWait at most, whatever its caller asks for.
func NewHandler(node Node, registry *metrics.Registry, maxWait time.Duration) *Handler {
	return &Handler{node: node, metrics: registry, maxWait: maxWait}
}

// Serve handles one request.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	label, answer, err := h.dispatch(ctx)
	outcome := "ok"
	if err != nil {
		outcome = apierror.KindOf(err).String()
		WriteError(ctx, err)
	}
	h.metrics.Counter("api_calls_total", "call", label, "outcome", outcome).Inc()
	if err != nil && answer == nil {
		return
	}
	writeAnswer(ctx, answer)
}

// metricsText is an answer in the text form of Prometheus.
type metricsText []byte

// writeAnswer writes the body of an answer: JSON that is encoded already, the text of metrics, an
// empty object for nil, or the JSON of any other value. The status stays as it is, as a rejected
// call may have an answer too.
func writeAnswer(ctx *fasthttp.RequestCtx, answer any) {
	switch answer := answer.(type) {
	case metricsText:
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBody(answer)
	case json.RawMessage:
		ctx.SetContentType("application/json")
		ctx.SetBody(answer)
	case nil:
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	default:
		writeJSON(ctx, answer)
	}
}

// writeJSON writes a value as the body of an answer.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// retryAfterSeconds is how long a caller should wait before it retries after a rejection that
// promises that nothing was done.
const retryAfterSeconds = "0.2"

// errorAnswer is the body of an error.
type errorAnswer struct {
	Detail string `json:"detail"`
	Kind   string `json:"error"`
}

// WriteError writes an error as the answer to a request: the status of its kind and, as JSON, the
// kind's name and the text of the error.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	kind := apierror.KindOf(err)
	status := kind.Status()
	ctx.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		ctx.Response.Header.Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(ctx, errorAnswer{Detail: err.Error(), Kind: kind.String()})
}

// RenderMetrics returns the counters of a registry in the text form of Prometheus.
func RenderMetrics(registry *metrics.Registry) []byte {
	var text strings.Builder
	_ = registry.WriteText(&text) // a strings.Builder takes everything
	return []byte(text.String())
}
