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

// Node is the control-plane node that a Handler calls. Its methods must be safe for concurrent use.
// Each blocks until its outcome is known or a timeout set by the node expires. Errors have a kind,
// see apierror.KindOf: a call that failed with Unavailable or Overloaded was not executed and never
// will be; one that failed with UnknownOutcome may have been executed. Reads are linearizable.
type Node interface {
	// Heartbeat registers an endpoint, or renews its registration.
	Heartbeat(e registry.Endpoint) error
	// Deregister removes an endpoint permanently.
	Deregister(id string) error
	// ReplaceConfiguration stores a complete configuration, encoded as JSON, unless a newer
	// one is stored. The node retains text, so the caller must not modify it. Before it decodes
	// text it reserves the memory that this takes.
	ReplaceConfiguration(text []byte, reserve ReserveFunc) error
	// Configuration returns the newest configuration, as the JSON text that was submitted. The
	// caller must not modify it.
	Configuration() ([]byte, error)
	// Propose commits a command on a lock, a sequence or a cell and returns its result.
	Propose(cmd registry.Command) (registry.Result, error)
	// Cell returns a cell, or an error of kind NotFound.
	Cell(name string) (coordination.Cell, error)
	// Watch waits, for at most wait, for writes to the cells of a group with revisions greater
	// than after. It returns the writes in order and the revision up to which they are complete.
	// It stops waiting once callerIsWaiting returns false.
	Watch(group string, after uint64, wait time.Duration, callerIsWaiting func() bool) ([]coordination.Event, uint64, error)
	// Evacuate begins or finishes the evacuation of a zone. It does not execute the request
	// once callerIsWaiting returns false, because a caller that has disconnected retries the
	// request at another node.
	Evacuate(zone string, begin bool, callerIsWaiting func() bool) error
	// Evacuations returns the states of the zones that are not in normal use.
	Evacuations() (map[string]string, error)
	// BeginRollout starts the rollout of a service's target version, to be completed within
	// deadline.
	BeginRollout(service, target string, deadline time.Duration) error
	// Rollout returns the newest rollout of a service, or an error of kind NotFound.
	Rollout(service string) (rollout.Rollout, error)
	// ReadAudit returns the failures that match a filter.
	ReadAudit(f audit.Filter) (audit.QueryResult, error)
	// Status returns the state of the node as a value that can be encoded as JSON.
	Status() any
}

// ReserveFunc reserves memory, in bytes, until release is called. Errors have a kind, see
// apierror.KindOf: Unavailable if there is no room now, BodyTooLarge if there never is.
type ReserveFunc = func(bytes int) (release func(), err error)

// Handler serves the HTTP API of the control plane. It is safe for concurrent use.
type Handler struct {
	node    Node
	metrics *metrics.Registry
	maxWait time.Duration
}

// NewHandler returns a handler that calls node. It counts calls in the metric api_calls_total of
// registry, by call and outcome. maxWait limits the wait time that the caller of a long poll may
// request.
func NewHandler(node Node, registry *metrics.Registry, maxWait time.Duration) *Handler {
	return &Handler{node: node, metrics: registry, maxWait: maxWait}
}

// Serve handles one request and counts its outcome.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	label, response, err := h.dispatch(ctx)
	outcome := "ok"
	if err != nil {
		outcome = apierror.KindOf(err).String()
		WriteError(ctx, err)
	}
	h.metrics.Counter("api_calls_total", "call", label, "outcome", outcome).Inc()
	if err != nil && response == nil {
		return
	}
	writeResponse(ctx, response)
}

// metricsText is a response body in the Prometheus text format.
type metricsText []byte

// writeResponse writes the body of a response: metrics as text, a json.RawMessage as it is, nil as
// an empty object, and any other value encoded as JSON. It does not set the status, because a
// rejected call may also have a response.
func writeResponse(ctx *fasthttp.RequestCtx, response any) {
	switch body := response.(type) {
	case metricsText:
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBody(body)
	case json.RawMessage:
		ctx.SetContentType("application/json")
		ctx.Response.SetBodyRaw(body) // not copied, as the node keeps it in any case
		ctx.SetUserValue(sharedBodyKey{}, true)
	case nil:
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	default:
		writeJSON(ctx, body)
	}
}

// writeJSON encodes a value as JSON and writes it as the response body. If the value cannot be
// encoded, it sets the status 500.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// retryAfterSeconds is the value of the Retry-After header of responses which guarantee that the
// call was not executed.
const retryAfterSeconds = "0.2"

// errorResponse is the body of an error response.
type errorResponse struct {
	Detail string `json:"detail"`
	Kind   string `json:"error"`
}

// WriteError writes an error as the response to a request: the status of its kind and, as JSON, the
// name of the kind and the message of the error.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	kind := apierror.KindOf(err)
	status := kind.Status()
	ctx.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		ctx.Response.Header.Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(ctx, errorResponse{Detail: err.Error(), Kind: kind.String()})
}

// RenderMetrics returns the metrics of a registry in the Prometheus text format.
func RenderMetrics(registry *metrics.Registry) []byte {
	var text strings.Builder
	_ = registry.WriteText(&text) // writing to a strings.Builder never fails
	return []byte(text.String())
}
