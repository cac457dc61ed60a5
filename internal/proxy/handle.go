package proxy

import (
	"math/rand"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/audit"
	"lichentray/internal/apierror"
)

const (
	// configWaitDivisor is the part of its deadline that a request waits for the first
	// configuration at most, as a divisor.
	configWaitDivisor = 10
	// configWaitDivisorAtStart is the same right after the start of the node.
	configWaitDivisorAtStart = 4
)

// HandleRequest handles one request of a client. It takes these steps: read the request
// (with it the route is matched), forward it, which picks endpoints and attempts it there,
// and relay the response.
func (p *Proxy) HandleRequest(ctx *fasthttp.RequestCtx) {
	p.counters.requests.Inc()
	p.audit.requestStarted()
	defer p.finishRequest(ctx)

	snapshot := p.awaitConfig(ctx)
	if snapshot == nil {
		p.rejectWithoutConfig(ctx)
		return
	}

	buf := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buf)
	q := request{ctx: ctx, startedAt: ctx.Time(), isHead: ctx.IsHead()}
	if err := q.read(snapshot, (*buf)[:0]); err != nil {
		p.rejectUnreadable(ctx, err)
		return
	}
	*buf = q.head // which may have grown

	q.service = snapshot.services[q.route.PickService(p.random())]
	q.stats = snapshot.routeStats[q.route.Index]
	q.regionMask = snapshot.regionMasks[q.route.Index]
	p.watchClient(&q)
	if !p.forward(&q) {
		q.client.end()
	}
}

// watchClient begins to watch whether the client leaves.
func (p *Proxy) watchClient(q *request) {
	conn, ok := q.ctx.Conn().(*clientConn)
	if !ok || conn.probe == nil {
		return
	}
	q.client.client, q.client.conn = conn, conn.probe
	p.departures.watch(&q.client)
}

// forward attempts a request at one endpoint after the other until one answers, nothing more
// may be attempted, or the client has left. It reports whether the response streams: the request
// then ends with the stream.
func (p *Proxy) forward(q *request) (isStreaming bool) {
	f := p.admit(q)
	for {
		// The client may have left while the request waited to be read.
		q.client.check()
		if q.client.hasLeft() {
			f.abandon()
			return false
		}
		t := f.pick()
		if t.endpoint == nil {
			f.fail()
			return false
		}
		o := f.attempt(t)
		switch f.decide(&o, t) {
		case actionRetry:
		case actionRelay:
			p.relayResponse(q, t, o)
			return o.phase == phaseStreaming
		case actionFail:
			f.fail()
			return false
		}
	}
}

// finishRequest counts a request as handled, and lets the client's connection end with it
// if the node is shutting down.
func (p *Proxy) finishRequest(ctx *fasthttp.RequestCtx) {
	p.audit.requestFinished()
	if p.isDraining.Load() {
		ctx.SetConnectionClose()
	}
}

// awaitConfig returns the routing snapshot in force. A request that came before the first
// one waits for it; awaitConfig returns nil if it does not come in time.
//
// The first configuration comes soon after a start, so a request that came right after
// the start waits for a larger part of its deadline: a client that was rejected may not
// come back. Later there is none to come soon, and the request is rejected at once.
func (p *Proxy) awaitConfig(ctx *fasthttp.RequestCtx) *routingSnapshot {
	if s := p.snapshot.Load(); s != nil {
		return s
	}
	wait, divisor := p.timeouts.dial, time.Duration(configWaitDivisor)
	if untilHedge := p.timeouts.openHedgeDelay - p.now(); untilHedge > wait {
		wait, divisor = untilHedge, configWaitDivisorAtStart
	}
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Deadline"))); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond/divisor)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-p.firstConfig:
	case <-t.C:
	}
	return p.snapshot.Load()
}

// rejectWithoutConfig answers a request for which there is no configuration.
func (p *Proxy) rejectWithoutConfig(ctx *fasthttp.RequestCtx) {
	p.writeError(ctx, apierror.New(apierror.Unavailable, "no configuration yet"))
	kind := audit.NotExecuted
	if ctx.IsGet() || ctx.IsHead() {
		kind = audit.Failed
	}
	p.audit.record(&ctx.Request.Header, "", kind, fasthttp.StatusServiceUnavailable, ctx.Time())
	// The first configuration comes soon after a start, or not for long.
	ctx.Response.Header.Set("Retry-After", formatSeconds(withJitter(p.timeouts.dial)))
}

// rejectUnreadable answers a request that could not be read or that no route matches.
func (p *Proxy) rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	if apierror.KindOf(err) != apierror.NoRoute {
		ctx.SetConnectionClose()
	}
	p.writeError(ctx, err)
}

// writeError answers with an error of the proxy.
func (p *Proxy) writeError(ctx *fasthttp.RequestCtx, err error) {
	kind := apierror.KindOf(err)
	status := kind.Status()
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		p.counters.rejections.Inc()
		ctx.Response.Header.Set("Retry-After", formatSeconds(withJitter(p.timeouts.dial*2/3)))
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"error":"` + kind.String() + `"}`)
}

// withJitter returns a duration between d and almost twice of it.
func withJitter(d time.Duration) time.Duration {
	return d + d*time.Duration(rand.Intn(100))/100
}

// formatSeconds formats a duration in seconds, as in a Retry-After header.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
