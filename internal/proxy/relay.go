package proxy

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/audit"
	"lichentray/loadbalance"
)

// relayResponse gives an endpoint's response to the client and releases the endpoint.
func (p *Proxy) relayResponse(q *request, t target, o outcome) {
	a := o.response
	status := relayedStatus(a.status, q.route.Idempotent)
	q.stats.countResponse(status)
	out := &q.ctx.Response
	out.SetStatusCode(status)
	a.copyHeaders(&out.Header)
	if q.isHead && a.contentLength >= 0 {
		out.SkipBody = true
		out.Header.SetContentLength(int(a.contentLength))
	}
	if a.stream != nil {
		// The endpoint's work is done, the rest is the links'.
		q.service.releaseEndpoint(p, t.endpoint, true, o.latencyRatio)
		out.SetBodyStream(newResponseStream(p, q, t, o), int(a.contentLength))
		return
	}
	p.recordResponse(q, status)
	q.service.releaseEndpoint(p, t.endpoint, true, o.latencyRatio)
	p.setBody(out, a.body, q.deadline)
}

// copyHeaders adds the headers that are relayed to the client's response.
func (r *response) copyHeaders(to *fasthttp.ResponseHeader) {
	for _, h := range r.headers {
		if !isResponseFraming(h.name) {
			to.AddBytesKV(h.name, h.value)
		}
	}
}

// setBody sets a buffered body, which is paced if it is long.
func (p *Proxy) setBody(out *fasthttp.Response, body []byte, deadline time.Time) {
	if len(body) >= minPacedSize && p.pacer.isEnabled() {
		out.SetBodyStream(&pacedReader{p.pacer, body, deadline}, len(body))
		return
	}
	p.pacer.reserve(time.Now(), len(body))
	out.SetBodyRaw(body)
}

// recordAttempt records how the client's attempt ended in the audit log.
func (p *Proxy) recordAttempt(q *request, kind audit.Kind, status int) {
	p.audit.record(&q.ctx.Request.Header, q.route.Name, kind, status, q.startedAt)
}

// recordResponse records a complete response in the audit log, as far as that holds it.
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

// responseStream relays the body of a long response as it arrives, in chunks that the
// link has room for. The server that sends it to the client reads and closes it.
type responseStream struct {
	proxy    *Proxy
	request  *request
	endpoint *loadbalance.Endpoint
	conns    *connPool
	conn     *upstreamConn
	response *response
	received int64 // bytes
	// endpointFailed: the endpoint, not the client, ended the body early.
	endpointFailed bool
}

func newResponseStream(p *Proxy, q *request, t target, o outcome) *responseStream {
	return &responseStream{
		proxy:    p,
		request:  q,
		endpoint: t.endpoint,
		conns:    t.conns,
		conn:     o.conn,
		response: o.response,
	}
}

// Read implements io.Reader.
func (s *responseStream) Read(b []byte) (int, error) {
	n, err := s.response.stream.Read(b[:min(len(b), pacedChunk)])
	s.received += int64(n)
	if errors.Is(err, io.EOF) && !s.isComplete() {
		err = io.ErrUnexpectedEOF // the client must not take a part for the whole
	}
	s.endpointFailed = err != nil && !errors.Is(err, io.EOF) && time.Until(s.request.deadline) > 0
	s.proxy.pacer.wait(n, s.response.contentLength-s.received, s.request.deadline)
	return n, err
}

// isComplete reports whether all of the body was received.
func (s *responseStream) isComplete() bool { return s.received >= s.response.contentLength }

// Close ends the exchange, complete or not. It implements io.Closer.
func (s *responseStream) Close() error {
	if s.isComplete() {
		s.proxy.recordResponse(s.request, s.response.status)
		s.proxy.recycleConnection(s.conns, s.conn, s.response)
		return nil
	}
	s.conn.close()
	if s.endpointFailed {
		s.proxy.recordAttempt(s.request, audit.Truncated, s.response.status)
		s.request.service.recordBrokenStream(s.proxy, s.endpoint)
	}
	return nil
}
