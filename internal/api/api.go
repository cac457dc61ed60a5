// Package api is the HTTP side of the control plane (the API server): it
// reads calls, hands them to the control-plane node and answers from the one
// table of error kinds.
package api

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/audit"
	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
	"lichentray/internal/transport"
	"lichentray/registry"
	"lichentray/rollout"
)

// Node is what the API needs of the control-plane node.
type Node interface {
	Heartbeat(e registry.Endpoint) error
	Deregister(id string) error
	ReplaceConfiguration(text []byte) error
	Configuration() ([]byte, error)
	Propose(cmd registry.Command) (registry.Result, error)
	Cell(name string) (coordination.Cell, error)
	Watch(group string, after uint64, wait time.Duration) ([]coordination.Event, uint64, error)
	Evacuate(zone string, begin bool, waits func() bool) error
	Evacuations() (map[string]string, error)
	BeginRollout(service, target string, deadline time.Duration) error
	Rollout(service string) (rollout.Rollout, error)
	ReadAudit(f audit.Filter) (audit.QueryResult, error)
	Status() any
}

// Handler serves the control plane's calls.
type Handler struct {
	node    Node
	metrics *metrics.Registry
	maxWait time.Duration // longest long poll
}

// NewHandler makes the handler's owner.
func NewHandler(node Node, board *metrics.Registry, wait time.Duration) *Handler {
	return &Handler{node: node, metrics: board, maxWait: wait}
}

// NewServer wraps a handler in a server that adds nothing of its own to answers, and holds
// none back.
func NewServer(h fasthttp.RequestHandler, maxBody int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			h(ctx)
			// The library keeps an answer until the next request is handled, if that has
			// come already (pipelining), but for one whose handler has set a bound for
			// writing; this one is none.
			_ = ctx.SetWriteDeadline(time.Time{}) // fails on a connection that has ended
		},
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisableHeaderNamesNormalizing: true, MaxRequestBodySize: maxBody, ReadBufferSize: 16 << 10,
		CloseOnShutdown: true, DisablePreParseMultipartForm: true, Logger: discardLogger{}, SecureErrorLogMessage: true,
	}
}

// discardLogger drops the library's own lines: counters tell of broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve handles one call.
func (a *Handler) Serve(ctx *fasthttp.RequestCtx) {
	call, answer, err := a.dispatch(ctx)
	if err != nil {
		WriteError(ctx, err)
		a.metrics.Counter("calls_total", "call", call, "answer", apierror.KindOf(err).String()).Inc()
	} else {
		a.metrics.Counter("calls_total", "call", call, "answer", "ok").Inc()
	}
	if err != nil && answer == nil {
		return
	}
	if raw, ok := answer.(metricsText); ok {
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBody(raw)
		return
	}
	ctx.SetContentType("application/json")
	switch v := answer.(type) {
	case nil:
		ctx.SetBodyString("{}")
	case json.RawMessage:
		ctx.SetBody(v)
	default:
		b, err := json.Marshal(v)
		if err != nil {
			ctx.SetStatusCode(500)
			return
		}
		ctx.SetBody(b)
	}
}

// WriteError answers with an error, by its kind.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	kind := apierror.KindOf(err)
	status := kind.Status()
	ctx.SetStatusCode(status)
	if status == 503 || status == 429 {
		ctx.Response.Header.Set("Retry-After", "0.2")
	}
	b, _ := json.Marshal(map[string]string{"error": kind.String(), "detail": err.Error()}) // strings always encode
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

type metricsText []byte

func (a *Handler) dispatch(ctx *fasthttp.RequestCtx) (name string, answer any, err error) {
	path := string(ctx.Path())
	switch {
	case path == "/api/rpc":
		name = string(ctx.QueryArgs().Peek("call"))
		h, ok := rpcHandlers[name]
		order := name == "evacuations.begin" || name == "evacuations.finish"
		if !ok && !order {
			return "other", nil, apierror.New(apierror.NoRoute, "no call %q", name)
		}
		if !ctx.IsPost() {
			return name, nil, apierror.New(apierror.BadRequest, "call %s is a POST", name)
		}
		if order {
			return name, nil, a.evacuateZone(ctx, string(ctx.QueryArgs().Peek("of")), name == "evacuations.begin")
		}
		answer, err = h(a, string(ctx.QueryArgs().Peek("of")), ctx.PostBody())
		return name, answer, err
	case strings.HasPrefix(path, "/api/numbers/") && ctx.IsPost():
		of := path[len("/api/numbers/"):]
		if err := requireName(of); err != nil {
			return "numbers", nil, err
		}
		r, err := a.node.Propose(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: of}})
		if err != nil {
			return "numbers", nil, err
		}
		return "numbers", map[string]uint64{"value": r.Latch.Value}, nil
	case strings.HasPrefix(path, "/api/watch/") && ctx.IsGet():
		answer, err = a.watchGroup(path[len("/api/watch/"):], ctx.QueryArgs())
		return "watch", answer, err
	case path == "/api/readiness" && ctx.IsGet():
		return "readiness", nil, nil
	case path == "/api/status" && ctx.IsGet():
		return "status", a.node.Status(), nil
	case path == "/metrics" && ctx.IsGet():
		return "metrics", metricsText(RenderMetrics(a.metrics)), nil
	}
	return "other", nil, apierror.New(apierror.NoRoute, "no call at %s", path)
}

// RenderMetrics prints a board.
func RenderMetrics(b *metrics.Registry) []byte {
	var sb strings.Builder
	_ = b.WriteText(&sb) // a strings.Builder takes everything
	return []byte(sb.String())
}

type rpcHandler func(a *Handler, of string, body []byte) (any, error)

var rpcHandlers = map[string]rpcHandler{
	"instances.heartbeat":   (*Handler).heartbeatInstance,
	"instances.deregister":  (*Handler).deregisterInstance,
	"configuration.replace": (*Handler).replaceConfiguration,
	"configuration.read":    (*Handler).readConfiguration,
	"locks.begin":           (*Handler).acquireLock,
	"locks.heartbeat":       (*Handler).renewLock,
	"locks.finish":          (*Handler).releaseLock,
	"cells.replace":         (*Handler).replaceCell,
	"cells.read":            (*Handler).readCell,
	"evacuations.read":      (*Handler).listEvacuations,
	"rollouts.begin":        (*Handler).beginRollout,
	"accounts.read":         (*Handler).readAudit,
	"rollouts.read":         (*Handler).readRollout,
}

func decodeBody(body []byte, to any) error {
	if err := json.Unmarshal(body, to); err != nil {
		return apierror.New(apierror.BadRequest, "body: %v", err)
	}
	return nil
}

func requireName(of string) error {
	if of == "" || len(of) > maxNameBytes {
		return apierror.New(apierror.BadRequest, "of: name is missing or over %d bytes", maxNameBytes)
	}
	return nil
}

func (a *Handler) heartbeatInstance(of string, body []byte) (any, error) {
	var b struct {
		Address string `json:"address"`
		Info    struct {
			Service  string  `json:"backend_service"`
			Version  string  `json:"config_version"`
			Zone     string  `json:"zone"`
			Capacity float64 `json:"capacity"`
		} `json:"info"`
		Status struct {
			State    string  `json:"state"`
			Sequence float64 `json:"sequence"`
			ColdS    float64 `json:"cold_remaining_s"`
		} `json:"status"`
	}
	if err := requireName(of); err != nil {
		return nil, err
	}
	if err := decodeBody(body, &b); err != nil {
		return nil, err
	}
	if b.Address == "" || b.Info.Service == "" || (b.Status.State != "ready" && b.Status.State != "draining") {
		return nil, apierror.New(apierror.BadRequest, "address, info.backend_service or status.state is missing or wrong")
	}
	return nil, a.node.Heartbeat(registry.Endpoint{
		ID: of, Service: b.Info.Service, Version: b.Info.Version, Address: b.Address, Zone: b.Info.Zone, Capacity: int(b.Info.Capacity),
		Draining: b.Status.State == "draining", Sequence: uint64(max(0, b.Status.Sequence)), WarmUpSeconds: b.Status.ColdS,
	})
}

func (a *Handler) deregisterInstance(of string, _ []byte) (any, error) {
	if err := requireName(of); err != nil {
		return nil, err
	}
	return nil, a.node.Deregister(of)
}

func (a *Handler) replaceConfiguration(_ string, body []byte) (any, error) {
	return nil, a.node.ReplaceConfiguration(append([]byte(nil), body...))
}

func (a *Handler) readConfiguration(string, []byte) (any, error) {
	text, err := a.node.Configuration()
	if err != nil {
		return nil, err
	}
	return json.RawMessage(text), nil
}

// evacuateZone empties a zone, or takes it back. These orders have neither body nor
// number: one that stayed behind, as in the socket of a process that was frozen, cannot
// be told from a new one but by its caller, who has gone on to another node.
func (a *Handler) evacuateZone(ctx *fasthttp.RequestCtx, of string, begin bool) error {
	if err := requireName(of); err != nil {
		return err
	}
	return a.node.Evacuate(of, begin, func() bool { return callerIsWaiting(ctx) })
}

// callerIsWaiting tells whether a call's caller still waits for its answer.
func callerIsWaiting(ctx *fasthttp.RequestCtx) bool {
	c, ok := ctx.Conn().(syscall.Conn)
	if !ok {
		return true // not a socket
	}
	raw, err := c.SyscallConn()
	return err == nil && transport.IsIdle(raw)
}

func (a *Handler) listEvacuations(string, []byte) (any, error) {
	zones, err := a.node.Evacuations()
	if err != nil {
		return nil, err
	}
	return map[string]any{"zones": zones}, nil
}

// maxRolloutDeadline bounds the time that an order may give.
const maxRolloutDeadline = 7 * 24 * time.Hour

func (a *Handler) beginRollout(_ string, body []byte) (any, error) {
	var b struct {
		Service  string   `json:"backend_service"`
		Target   string   `json:"target_version"`
		Deadline *float64 `json:"deadline_s"`
	}
	if err := decodeBody(body, &b); err != nil {
		return nil, err
	}
	switch {
	case b.Service == "":
		return nil, apierror.New(apierror.BadRequest, "backend_service: missing")
	case b.Target == "":
		return nil, apierror.New(apierror.BadRequest, "target_version: missing")
	case b.Deadline == nil || *b.Deadline <= 0 || *b.Deadline > maxRolloutDeadline.Seconds():
		return nil, apierror.New(apierror.BadRequest, "deadline_s: missing, not above 0 or above %g", maxRolloutDeadline.Seconds())
	}
	return nil, a.node.BeginRollout(b.Service, b.Target, time.Duration(*b.Deadline*float64(time.Second)))
}

func (a *Handler) readRollout(of string, _ []byte) (any, error) {
	if err := requireName(of); err != nil {
		return nil, err
	}
	r, err := a.node.Rollout(of)
	if err != nil {
		return nil, err
	}
	answer := map[string]any{"state": r.State, "target_version": r.Target, "base_version": r.Base, "share": r.TrafficShare()}
	if r.Reason != "" {
		answer["why"] = r.Reason
	}
	return answer, nil
}

func (a *Handler) readAudit(_ string, body []byte) (any, error) {
	var f audit.Filter
	if len(body) > 0 {
		if err := decodeBody(body, &f); err != nil {
			return nil, err
		}
	}
	switch {
	case f.Kind != "" && !slices.Contains(audit.FailureKinds(), f.Kind):
		return nil, apierror.New(apierror.BadRequest, "kind: %q is none of %v", f.Kind, audit.FailureKinds())
	case f.SinceMS < 0:
		return nil, apierror.New(apierror.BadRequest, "since_ms: below 0")
	case f.UntilMS < 0 || f.UntilMS > 0 && f.UntilMS <= f.SinceMS:
		return nil, apierror.New(apierror.BadRequest, "until_ms: not after since_ms")
	case f.Limit < 0:
		return nil, apierror.New(apierror.BadRequest, "most: below 0")
	}
	answer, err := a.node.ReadAudit(f)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// What a lock, a number or a cell may be named, held for and hold.
const (
	maxNameBytes = 512
	maxLease     = 7 * 24 * time.Hour
	maxCellBytes = 64 << 10
)

type lockRequest struct {
	LeaseHolder  string  `json:"holder"`
	FencingToken uint64  `json:"fence"`
	LeaseSeconds float64 `json:"hold_s"`
}

func (a *Handler) executeLock(op coordination.Operation, of string, body []byte) (coordination.Result, error) {
	var b lockRequest
	if err := requireName(of); err != nil {
		return coordination.Result{}, err
	}
	if err := decodeBody(body, &b); err != nil {
		return coordination.Result{}, err
	}
	switch {
	case b.LeaseHolder == "" || len(b.LeaseHolder) > maxNameBytes:
		return coordination.Result{}, apierror.New(apierror.BadRequest, "holder: missing or over %d bytes", maxNameBytes)
	case op != coordination.ReleaseLock && (b.LeaseSeconds <= 0 || b.LeaseSeconds > maxLease.Seconds()):
		return coordination.Result{}, apierror.New(apierror.BadRequest, "hold_s: missing, not above 0 or above %g", maxLease.Seconds())
	}
	r, err := a.node.Propose(registry.Command{Coordination: &coordination.Command{
		Operation: op, Name: of, Holder: b.LeaseHolder, FencingToken: b.FencingToken, LeaseMS: uint64(b.LeaseSeconds*1000 + 0.999),
	}})
	if err != nil {
		return coordination.Result{}, err
	}
	if r.Latch.Code != coordination.OK {
		return coordination.Result{}, apierror.New(apierror.LockHeld, "%s", of)
	}
	return r.Latch, nil
}

func (a *Handler) acquireLock(of string, body []byte) (any, error) {
	r, err := a.executeLock(coordination.AcquireLock, of, body)
	if err != nil {
		return nil, err
	}
	return map[string]uint64{"fence": r.Fence}, nil
}

func (a *Handler) renewLock(of string, body []byte) (any, error) {
	_, err := a.executeLock(coordination.RenewLock, of, body)
	return nil, err
}

func (a *Handler) releaseLock(of string, body []byte) (any, error) {
	_, err := a.executeLock(coordination.ReleaseLock, of, body)
	return nil, err
}

func (a *Handler) replaceCell(of string, body []byte) (any, error) {
	var b struct {
		Value   *string `json:"value"`
		Enabled *uint64 `json:"enabled"`
	}
	if err := requireName(of); err != nil {
		return nil, err
	}
	if err := decodeBody(body, &b); err != nil {
		return nil, err
	}
	if b.Value == nil {
		return nil, apierror.New(apierror.BadRequest, "value: missing")
	}
	if len(*b.Value) > maxCellBytes {
		return nil, apierror.New(apierror.BodyTooLarge, "value: over %d bytes", maxCellBytes)
	}
	c := coordination.Command{Operation: coordination.PutCell, Name: of, Value: *b.Value}
	if b.Enabled != nil {
		c.HasExpectedRevision, c.ExpectedRevision = true, *b.Enabled
	}
	r, err := a.node.Propose(registry.Command{Coordination: &c})
	if err != nil {
		return nil, err
	}
	answer := map[string]uint64{"revision": r.Latch.Revision}
	if r.Latch.Code == coordination.RevisionMismatch {
		return answer, apierror.New(apierror.RevisionMismatch, "%s", of)
	}
	return answer, nil
}

func (a *Handler) readCell(of string, _ []byte) (any, error) {
	if err := requireName(of); err != nil {
		return nil, err
	}
	c, err := a.node.Cell(of)
	if err != nil {
		return nil, err
	}
	return map[string]any{"value": c.Value, "revision": c.Revision}, nil
}

type watchEvent struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

func (a *Handler) watchGroup(group string, q *fasthttp.Args) (any, error) {
	after, err := queryNumber(q, "after")
	if err != nil {
		return nil, err
	}
	waitMS, err := queryNumber(q, "wait_ms")
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, a.maxWait)
	if err := requireName(group); err != nil {
		return nil, err
	}
	events, revision, err := a.node.Watch(coordination.GroupOf(group), after, wait)
	if err != nil {
		return nil, err
	}
	out := make([]watchEvent, len(events))
	for i, e := range events {
		out[i] = watchEvent{e.Name, e.Value, e.Revision}
	}
	return map[string]any{"events": out, "revision": revision}, nil
}

func queryNumber(q *fasthttp.Args, name string) (uint64, error) {
	if !q.Has(name) {
		return 0, nil
	}
	v, err := strconv.ParseFloat(string(q.Peek(name)), 64)
	if err != nil || v < 0 || v > 1<<53 {
		return 0, apierror.New(apierror.BadRequest, "%s", fmt.Sprintf("%s: not a number", name))
	}
	return uint64(v), nil
}
