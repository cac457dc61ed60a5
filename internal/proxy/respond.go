package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/audit"
	"lichentray/internal/api"
)

// relayResponse relays an endpoint's response to the client and releases the endpoint.
func (p *Proxy) relayResponse(q *request, t attemptTarget, o outcome) {
	resp := o.response
	status := relayedStatus(resp.status, q.route.Idempotent)
	q.stats.countResponse(status)
	out := &q.ctx.Response
	out.SetStatusCode(status)
	resp.copyHeaders(&out.Header)
	if q.isHead && resp.contentLength >= 0 {
		out.SkipBody = true
		out.Header.SetContentLength(int(resp.contentLength))
	}
	if resp.stream != nil {
		// The endpoint has computed the response. The remaining transfer does not count as load of
		// the endpoint.
		q.service.releaseEndpoint(p, t.endpoint, true, o.latencyRatio)
		out.SetBodyStream(newResponseStream(p, q, t, o), int(resp.contentLength))
		return
	}
	p.recordResponse(q, status)
	q.service.releaseEndpoint(p, t.endpoint, true, o.latencyRatio)
	p.setBody(q.ctx, resp.body, q.deadline)
}

// copyHeaders adds the headers that are relayed to the client to its response.
func (r *response) copyHeaders(to *fasthttp.ResponseHeader) {
	for _, h := range r.headers {
		if !isResponseFraming(h.name) {
			to.AddBytesKV(h.name, h.value)
		}
	}
}

// setBody sets the body of a response to a client. A long body is paced.
func (p *Proxy) setBody(ctx *fasthttp.RequestCtx, body []byte, deadline time.Time) {
	out := &ctx.Response
	if len(body) >= minPacedBytes && p.pacer.isEnabled() {
		api.GuardedConn(ctx).BeginResponse(len(body))
		out.SetBodyStream(&pacedReader{p.pacer, body, deadline}, len(body))
		return
	}
	p.pacer.reserve(time.Now(), len(body))
	out.SetBodyRaw(body)
}

// recordAttempt records the result of the client's attempt in the audit log; see
// auditRecorder.record.
func (p *Proxy) recordAttempt(q *request, kind audit.Kind, status int) {
	p.audit.record(&q.ctx.Request.Header, q.route.Name, kind, status, q.startedAt)
}

// recordResponse records a complete response in the audit log, if it is of a kind that the log
// keeps.
func (p *Proxy) recordResponse(q *request, status int) {
	if p.audit == nil {
		return
	}
	switch {
	case status < 300 && !q.route.Idempotent:
		p.recordAttempt(q, audit.Executed, status)
	case status >= 500 && !q.route.Idempotent:
		p.recordAttempt(q, audit.MaybeExecuted, status)
	case status >= 500:
		p.recordAttempt(q, audit.Failed, status)
	}
	if status < 300 && q.route.TargetLatency > 0 && time.Since(q.startedAt) > q.route.TargetLatency {
		p.recordAttempt(q, audit.MissedLatencyTarget, status)
	}
}
