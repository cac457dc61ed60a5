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
	Beat(e registry.Endpoint) error
	SignOff(id string) error
	Replace(text []byte) error
	Configuration() ([]byte, error)
	Do(cmd registry.Command) (registry.Result, error)
	Cell(name string) (coordination.Cell, error)
	Watch(group string, after uint64, wait time.Duration) ([]coordination.Event, uint64, error)
	Evacuate(zone string, begin bool, waits func() bool) error
	Evacuations() (map[string]string, error)
	BeginRollout(service, target string, deadline time.Duration) error
	Rollout(service string) (rollout.Rollout, error)
	Account(f audit.Filter) (audit.QueryResult, error)
	Status() any
}

// API serves the control plane's calls.
type API struct {
	node  Node
	board *metrics.Board
	wait  time.Duration // longest long poll
}

// NewAPI makes the handler's owner.
func NewAPI(node Node, board *metrics.Board, wait time.Duration) *API {
	return &API{node: node, board: board, wait: wait}
}

// Server wraps a handler in a server that adds nothing of its own to answers, and holds
// none back.
func Server(h fasthttp.RequestHandler, maxBody int) *fasthttp.Server {
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
		CloseOnShutdown: true, DisablePreParseMultipartForm: true, Logger: quiet{}, SecureErrorLogMessage: true,
	}
}

// quiet drops the library's own lines: counters tell of broken connections.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Serve handles one call.
func (a *API) Serve(ctx *fasthttp.RequestCtx) {
	call, answer, err := a.call(ctx)
	if err != nil {
		Fail(ctx, err)
		a.board.Counter("calls_total", "call", call, "answer", apierror.Of(err).String()).Inc()
	} else {
		a.board.Counter("calls_total", "call", call, "answer", "ok").Inc()
	}
	if err != nil && answer == nil {
		return
	}
	if raw, ok := answer.(text); ok {
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

// Fail answers with an error, by its kind.
func Fail(ctx *fasthttp.RequestCtx, err error) {
	kind := apierror.Of(err)
	status := kind.Status()
	ctx.SetStatusCode(status)
	if status == 503 || status == 429 {
		ctx.Response.Header.Set("Retry-After", "0.2")
	}
	b, _ := json.Marshal(map[string]string{"error": kind.String(), "detail": err.Error()}) // strings always encode
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

type text []byte

func (a *API) call(ctx *fasthttp.RequestCtx) (name string, answer any, err error) {
	path := string(ctx.Path())
	switch {
	case path == "/api/rpc":
		name = string(ctx.QueryArgs().Peek("call"))
		h, ok := calls[name]
		order := name == "evacuations.begin" || name == "evacuations.finish"
		if !ok && !order {
			return "other", nil, apierror.New(apierror.NoRoute, "no call %q", name)
		}
		if !ctx.IsPost() {
			return name, nil, apierror.New(apierror.BadRequest, "call %s is a POST", name)
		}
		if order {
			return name, nil, a.evacuate(ctx, string(ctx.QueryArgs().Peek("of")), name == "evacuations.begin")
		}
		answer, err = h(a, string(ctx.QueryArgs().Peek("of")), ctx.PostBody())
		return name, answer, err
	case strings.HasPrefix(path, "/api/numbers/") && ctx.IsPost():
		of := path[len("/api/numbers/"):]
		if err := needName(of); err != nil {
			return "numbers", nil, err
		}
		r, err := a.node.Do(registry.Command{Coordination: &coordination.Command{Operation: coordination.NextNumber, Name: of}})
		if err != nil {
			return "numbers", nil, err
		}
		return "numbers", map[string]uint64{"value": r.Latch.Value}, nil
	case strings.HasPrefix(path, "/api/watch/") && ctx.IsGet():
		answer, err = a.watch(path[len("/api/watch/"):], ctx.QueryArgs())
		return "watch", answer, err
	case path == "/api/readiness" && ctx.IsGet():
		return "readiness", nil, nil
	case path == "/api/status" && ctx.IsGet():
		return "status", a.node.Status(), nil
	case path == "/metrics" && ctx.IsGet():
		return "metrics", text(Metrics(a.board)), nil
	}
	return "other", nil, apierror.New(apierror.NoRoute, "no call at %s", path)
}

// Metrics prints a board.
func Metrics(b *metrics.Board) []byte {
	var sb strings.Builder
	_ = b.Write(&sb) // a strings.Builder takes everything
	return []byte(sb.String())
}

type handler func(a *API, of string, body []byte) (any, error)

var calls = map[string]handler{
	"instances.heartbeat":   (*API).heartbeat,
	"instances.deregister":  (*API).deregister,
	"configuration.replace": (*API).replace,
	"configuration.read":    (*API).read,
	"locks.begin":           (*API).lockBegin,
	"locks.heartbeat":       (*API).lockRenew,
	"locks.finish":          (*API).lockFinish,
	"cells.replace":         (*API).cellReplace,
	"cells.read":            (*API).cellRead,
	"evacuations.read":      (*API).evacuations,
	"rollouts.begin":        (*API).rolloutBegin,
	"accounts.read":         (*API).accountRead,
	"rollouts.read":         (*API).rolloutRead,
}

func decode(body []byte, to any) error {
	if err := json.Unmarshal(body, to); err != nil {
		return apierror.New(apierror.BadRequest, "body: %v", err)
	}
	return nil
}

func needName(of string) error {
	if of == "" || len(of) > longestName {
		return apierror.New(apierror.BadRequest, "of: name is missing or over %d bytes", longestName)
	}
	return nil
}

func (a *API) heartbeat(of string, body []byte) (any, error) {
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
	if err := needName(of); err != nil {
		return nil, err
	}
	if err := decode(body, &b); err != nil {
		return nil, err
	}
	if b.Address == "" || b.Info.Service == "" || (b.Status.State != "ready" && b.Status.State != "draining") {
		return nil, apierror.New(apierror.BadRequest, "address, info.backend_service or status.state is missing or wrong")
	}
	return nil, a.node.Beat(registry.Endpoint{
		ID: of, Service: b.Info.Service, Version: b.Info.Version, Address: b.Address, Zone: b.Info.Zone, Capacity: int(b.Info.Capacity),
		Draining: b.Status.State == "draining", Sequence: uint64(max(0, b.Status.Sequence)), WarmUpSeconds: b.Status.ColdS,
	})
}

func (a *API) deregister(of string, _ []byte) (any, error) {
	if err := needName(of); err != nil {
		return nil, err
	}
	return nil, a.node.SignOff(of)
}

func (a *API) replace(_ string, body []byte) (any, error) {
	return nil, a.node.Replace(append([]byte(nil), body...))
}

func (a *API) read(string, []byte) (any, error) {
	text, err := a.node.Configuration()
	if err != nil {
		return nil, err
	}
	return json.RawMessage(text), nil
}

// evacuate empties a zone, or takes it back. These orders have neither body nor
// number: one that stayed behind, as in the socket of a process that was frozen, cannot
// be told from a new one but by its caller, who has gone on to another node.
func (a *API) evacuate(ctx *fasthttp.RequestCtx, of string, begin bool) error {
	if err := needName(of); err != nil {
		return err
	}
	return a.node.Evacuate(of, begin, func() bool { return waits(ctx) })
}

// waits tells whether a call's caller still waits for its answer.
func waits(ctx *fasthttp.RequestCtx) bool {
	c, ok := ctx.Conn().(syscall.Conn)
	if !ok {
		return true // not a socket
	}
	raw, err := c.SyscallConn()
	return err == nil && transport.Quiet(raw)
}

func (a *API) evacuations(string, []byte) (any, error) {
	zones, err := a.node.Evacuations()
	if err != nil {
		return nil, err
	}
	return map[string]any{"zones": zones}, nil
}

// longestRollout bounds the time that an order may give.
const longestRollout = 7 * 24 * time.Hour

func (a *API) rolloutBegin(_ string, body []byte) (any, error) {
	var b struct {
		Service  string   `json:"backend_service"`
		Target   string   `json:"target_version"`
		Deadline *float64 `json:"deadline_s"`
	}
	if err := decode(body, &b); err != nil {
		return nil, err
	}
	switch {
	case b.Service == "":
		return nil, apierror.New(apierror.BadRequest, "backend_service: missing")
	case b.Target == "":
		return nil, apierror.New(apierror.BadRequest, "target_version: missing")
	case b.Deadline == nil || *b.Deadline <= 0 || *b.Deadline > longestRollout.Seconds():
		return nil, apierror.New(apierror.BadRequest, "deadline_s: missing, not above 0 or above %g", longestRollout.Seconds())
	}
	return nil, a.node.BeginRollout(b.Service, b.Target, time.Duration(*b.Deadline*float64(time.Second)))
}

func (a *API) rolloutRead(of string, _ []byte) (any, error) {
	if err := needName(of); err != nil {
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

func (a *API) accountRead(_ string, body []byte) (any, error) {
	var f audit.Filter
	if len(body) > 0 {
		if err := decode(body, &f); err != nil {
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
	answer, err := a.node.Account(f)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// What a lock, a number or a cell may be named, held for and hold.
const (
	longestName  = 512
	longestHold  = 7 * 24 * time.Hour
	longestValue = 64 << 10
)

type lockBody struct {
	Holder string  `json:"holder"`
	Fence  uint64  `json:"fence"`
	HoldS  float64 `json:"hold_s"`
}

func (a *API) lock(op coordination.Operation, of string, body []byte) (coordination.Result, error) {
	var b lockBody
	if err := needName(of); err != nil {
		return coordination.Result{}, err
	}
	if err := decode(body, &b); err != nil {
		return coordination.Result{}, err
	}
	switch {
	case b.Holder == "" || len(b.Holder) > longestName:
		return coordination.Result{}, apierror.New(apierror.BadRequest, "holder: missing or over %d bytes", longestName)
	case op != coordination.ReleaseLock && (b.HoldS <= 0 || b.HoldS > longestHold.Seconds()):
		return coordination.Result{}, apierror.New(apierror.BadRequest, "hold_s: missing, not above 0 or above %g", longestHold.Seconds())
	}
	r, err := a.node.Do(registry.Command{Coordination: &coordination.Command{
		Operation: op, Name: of, Holder: b.Holder, FencingToken: b.Fence, LeaseMS: uint64(b.HoldS*1000 + 0.999),
	}})
	if err != nil {
		return coordination.Result{}, err
	}
	if r.Latch.Code != coordination.OK {
		return coordination.Result{}, apierror.New(apierror.Held, "%s", of)
	}
	return r.Latch, nil
}

func (a *API) lockBegin(of string, body []byte) (any, error) {
	r, err := a.lock(coordination.AcquireLock, of, body)
	if err != nil {
		return nil, err
	}
	return map[string]uint64{"fence": r.Fence}, nil
}

func (a *API) lockRenew(of string, body []byte) (any, error) {
	_, err := a.lock(coordination.RenewLock, of, body)
	return nil, err
}

func (a *API) lockFinish(of string, body []byte) (any, error) {
	_, err := a.lock(coordination.ReleaseLock, of, body)
	return nil, err
}

func (a *API) cellReplace(of string, body []byte) (any, error) {
	var b struct {
		Value   *string `json:"value"`
		Enabled *uint64 `json:"enabled"`
	}
	if err := needName(of); err != nil {
		return nil, err
	}
	if err := decode(body, &b); err != nil {
		return nil, err
	}
	if b.Value == nil {
		return nil, apierror.New(apierror.BadRequest, "value: missing")
	}
	if len(*b.Value) > longestValue {
		return nil, apierror.New(apierror.BodyTooLarge, "value: over %d bytes", longestValue)
	}
	c := coordination.Command{Operation: coordination.PutCell, Name: of, Value: *b.Value}
	if b.Enabled != nil {
		c.HasExpectedRevision, c.ExpectedRevision = true, *b.Enabled
	}
	r, err := a.node.Do(registry.Command{Coordination: &c})
	if err != nil {
		return nil, err
	}
	answer := map[string]uint64{"revision": r.Latch.Revision}
	if r.Latch.Code == coordination.RevisionMismatch {
		return answer, apierror.New(apierror.Mismatch, "%s", of)
	}
	return answer, nil
}

func (a *API) cellRead(of string, _ []byte) (any, error) {
	if err := needName(of); err != nil {
		return nil, err
	}
	c, err := a.node.Cell(of)
	if err != nil {
		return nil, err
	}
	return map[string]any{"value": c.Value, "revision": c.Revision}, nil
}

type eventBody struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

func (a *API) watch(group string, q *fasthttp.Args) (any, error) {
	after, err := number(q, "after")
	if err != nil {
		return nil, err
	}
	waitMS, err := number(q, "wait_ms")
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, a.wait)
	if err := needName(group); err != nil {
		return nil, err
	}
	events, revision, err := a.node.Watch(coordination.GroupOf(group), after, wait)
	if err != nil {
		return nil, err
	}
	out := make([]eventBody, len(events))
	for i, e := range events {
		out[i] = eventBody{e.Name, e.Value, e.Revision}
	}
	return map[string]any{"events": out, "revision": revision}, nil
}

func number(q *fasthttp.Args, name string) (uint64, error) {
	if !q.Has(name) {
		return 0, nil
	}
	v, err := strconv.ParseFloat(string(q.Peek(name)), 64)
	if err != nil || v < 0 || v > 1<<53 {
		return 0, apierror.New(apierror.BadRequest, "%s", fmt.Sprintf("%s: not a number", name))
	}
	return uint64(v), nil
}
