package proxy

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"lichentray/audit"
	"lichentray/internal/apierror"
	"lichentray/loadbalance"
)

const (
	// maxUnsentAttempts bounds the attempts of a request of which nothing was sent.
	maxUnsentAttempts = 4
	// maxBufferedResponse is the longest body of a response in bytes that is buffered, so
	// that it can be fetched anew where it breaks off. Longer ones are relayed as they
	// arrive: on a narrow link the way in takes as long as the way out.
	maxBufferedResponse = 32 << 10
	// remainingWaitDivisor is the part of its remaining time that a request waits in the
	// queue for an endpoint at most, as a divisor.
	remainingWaitDivisor = 4
	// targetWaitDivisor is the same of the route's latency target.
	targetWaitDivisor = 6
)

// errDeadlineExceeded says that the deadline came before anything was sent.
var errDeadlineExceeded = errors.New("proxy: deadline exceeded")

// forwarding is the way of one request through its attempts. Only the goroutine that
// handles the request uses it.
type forwarding struct {
	proxy   *Proxy
	request *request
	service *service
	rank    queueRank
	// group is the versions that the next attempt goes to.
	group loadbalance.VersionGroup

	// triedEndpoints have had the request.
	triedEndpoints []*loadbalance.Endpoint
	// sentAttempts and unsentAttempts count the attempts in which some of the request was
	// sent, and nothing.
	sentAttempts, unsentAttempts int
	// mayHaveArrived: an endpoint may have received the request.
	mayHaveArrived bool
	// decision is what followed from the last attempt.
	decision decision
	// reason says why the last attempt failed.
	reason string
}

// target is where an attempt goes.
type target struct {
	endpoint *loadbalance.Endpoint
	conns    *connPool
	group    loadbalance.VersionGroup
	watch    *attemptWatch
}

// outcome is how one attempt ended.
type outcome struct {
	phase phase
	// err is what ended the attempt, if there is no valid response.
	err error
	// response is the response, if one was read.
	response *response
	// conn is the connection, if the response streams on it.
	conn *upstreamConn
	// isStale: the connection had been idle and ended without a byte of a response. The
	// endpoint had forgotten it.
	isStale bool
	// idleFor is how long the connection had been idle; 0 if it was new.
	idleFor time.Duration
	// took is the duration of the attempt.
	took time.Duration
	// latencyRatio is took over what is typical for the route; 0 without a response.
	latencyRatio float64
}

// admit counts a request at its service and draws the versions that it goes to.
func (p *Proxy) admit(q *request) forwarding {
	rank := q.service.recordArrival(string(q.ctx.RemoteIP()), q.route.Priority)
	return forwarding{
		proxy:   p,
		request: q,
		service: q.service,
		rank:    rank,
		group:   q.service.drawVersionGroup(p, q.route.Index),
		reason:  "no endpoint",
	}
}

// isSkipped reports whether no attempt can go to an endpoint (any more).
func (f *forwarding) isSkipped(e *loadbalance.Endpoint) bool {
	return !mayServe(f.request.regionMask, e.RegionIndex) || slices.Contains(f.triedEndpoints, e)
}

// pick reserves an endpoint for the next attempt, and withdraws from the retry budget if
// that is a retry. Without an endpoint the request fails with the decision that pick sets.
func (f *forwarding) pick() target {
	t := f.reserveEndpoint()
	if t.endpoint == nil {
		f.setDecision(phaseQueued)
		return target{}
	}
	t.watch = f.service.watchAttempt(f.proxy, f.request, t.endpoint, t.group)
	if !f.mayHaveArrived {
		return t
	}
	if !f.service.withdrawRetry() {
		f.proxy.counters.retryBudgetExhausted.Inc()
		f.service.releaseEndpoint(f.proxy, t.endpoint, true, 0)
		t.watch.stop()
		f.setDecision(phaseQueued)
		return target{}
	}
	f.proxy.counters.retries.Inc()
	return t
}

// reserveEndpoint waits for an endpoint for a part of the time that the request has left.
func (f *forwarding) reserveEndpoint() target {
	remaining := time.Until(f.request.deadline)
	if remaining <= 0 {
		return target{}
	}
	wait := min(f.request.route.TargetLatency/targetWaitDivisor, remaining/remainingWaitDivisor)
	t := f.service.acquireForGroup(f.proxy, f.rank, wait, f.group, f.isSkipped)
	f.group = t.group
	return t
}

// setDecision decides what follows from an attempt that ended in a phase.
func (f *forwarding) setDecision(at phase) {
	if at >= phasePartlySent {
		f.mayHaveArrived = true
	}
	switch at {
	case phaseQueued:
	case phaseDialing, phaseUnsent:
		f.unsentAttempts++
	default:
		f.sentAttempts++
	}
	q := f.request
	f.decision = at.decide(retryState{
		isIdempotent:    q.route.Idempotent,
		bodyConsumed:    q.bodyConsumed,
		mayHaveExecuted: f.decision.mayHaveExecuted,
		beforeDeadline:  time.Now().Before(q.deadline),
		attemptsLeft:    f.sentAttempts < q.route.MaxAttempts && f.unsentAttempts < maxUnsentAttempts,
		// Only where there is a response to fall back on does the budget matter here.
		budgetLeft: at != phaseFailed || f.service.hasRetryBudget(),
	})
}

// attempt sends the request to an endpoint and reads its response.
func (f *forwarding) attempt(t target) outcome {
	startedAt := time.Now()
	o := f.exchange(t, startedAt)
	o.took = time.Since(startedAt)
	f.triedEndpoints = append(f.triedEndpoints, t.endpoint)
	return o
}

// exchange sends the request on a connection to the endpoint and reads its response, and
// settles what becomes of the connection.
func (f *forwarding) exchange(t target, now time.Time) outcome {
	deadline := f.request.deadline
	if !now.Before(deadline) {
		return outcome{phase: phaseDialing, err: errDeadlineExceeded}
	}
	conn, err := f.connect(t, now)
	if err != nil {
		return outcome{phase: phaseDialing, err: err}
	}
	if !conn.isReused() {
		now = conn.idleSince // it took time to connect
	}
	if !now.Before(deadline) {
		t.conns.put(conn) // nothing was sent on it
		return outcome{phase: phaseUnsent, err: errDeadlineExceeded}
	}
	o := f.roundTrip(conn, t.endpoint.ID, now)
	o.isStale = conn.isReused() && o.phase <= phaseSent && isConnectionClosed(o.err)
	o.idleFor = conn.idleFor
	switch {
	case o.phase == phaseStreaming:
		o.conn = conn
	case retryTable[o.phase].reusesConnection && o.response.stream == nil:
		f.proxy.recycleConnection(t.conns, conn, o.response)
	default:
		conn.close()
	}
	return o
}

// connect takes an idle connection to an endpoint, or dials one. A request without an id
// needs a new connection: on another nothing would tell its response from an excess one.
func (f *forwarding) connect(t target, now time.Time) (*upstreamConn, error) {
	p := f.proxy
	if len(f.request.attemptID) > 0 {
		if conn := t.conns.get(now, f.service.idleLimit(p.now())); conn != nil {
			return conn, nil
		}
	}
	timeout := min(p.timeouts.dial, f.request.deadline.Sub(now))
	conn, err := dialUpstream(t.endpoint.Address, timeout, p.timeouts.unacknowledged)
	if err != nil {
		p.counters.dialFailures.Inc()
		return nil, err
	}
	conn.idleSince = time.Now()
	conn.expiresAt = conn.idleSince.Add(p.timeouts.defaultKeepAlive)
	return conn, nil
}

// roundTrip sends the request on a connection and reads the response, up to its end or to
// a long body.
func (f *forwarding) roundTrip(conn *upstreamConn, endpoint string, now time.Time) outcome {
	sent, err := f.send(conn, endpoint, now)
	if sent == phaseUnsent || err != nil && !isConnectionClosed(err) {
		return outcome{phase: sent, err: err}
	}
	// An endpoint that responds early may close the connection before it has read all. Its
	// response can still be read.
	return f.receive(conn, sent, err)
}

// send sends the request. The phase is phaseSent if there is no error.
func (f *forwarding) send(conn *upstreamConn, endpoint string, now time.Time) (phase, error) {
	q, pacer := f.request, f.proxy.pacer
	buf := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buf)
	b := q.appendHead((*buf)[:0], endpoint, q.deadline.Sub(now))
	isPaced := len(q.body) >= minPacedSize && pacer.isEnabled()
	if !isPaced {
		b = append(b, q.body...)
	}
	*buf = b
	pacer.reserve(now, len(b))
	if err := conn.tcp.SetDeadline(q.deadline); err != nil {
		return phaseUnsent, err
	}
	n, err := conn.tcp.Write(b)
	if n == 0 && err != nil {
		return phaseUnsent, err
	}
	if err == nil && isPaced {
		_, err = io.Copy(writerOnly{conn.tcp}, &pacedReader{pacer, q.body, q.deadline})
	}
	if err == nil && q.bodyStream != nil {
		q.bodyConsumed = true
		err = conn.sendBodyStream(q.bodyStream, q.streamSize)
	}
	if err != nil {
		return phasePartlySent, err
	}
	return phaseSent, nil
}

// receive reads the response to a request that was sent, or sent in part with an error.
func (f *forwarding) receive(conn *upstreamConn, sent phase, sendErr error) outcome {
	if _, err := conn.reader.Peek(1); err != nil {
		if sendErr != nil {
			err = sendErr
		}
		return outcome{phase: sent, err: err}
	}
	a, err := readResponse(conn.reader, f.request.isHead, maxBufferedResponse)
	if err != nil {
		return outcome{phase: incompletePhase(a, err), err: err}
	}
	if sent == phasePartlySent {
		a.isReusable = false
	}
	o := outcome{response: a}
	o.phase, o.err = f.classify(a, conn.isReused())
	return o
}

// incompletePhase is the phase in which reading a response failed. The response is nil
// if its head is incomplete.
func incompletePhase(a *response, err error) phase {
	switch {
	case errors.Is(err, errInvalidResponse):
		return phaseInvalid
	case a == nil:
		return phasePartialHead
	default:
		return phasePartialBody
	}
}

// classify returns the phase that a response means; an error if it is not valid as one to
// the request.
func (f *forwarding) classify(a *response, isConnReused bool) (phase, error) {
	switch {
	case !a.belongsTo(f.request.attemptID, isConnReused):
		return phaseInvalid, fmt.Errorf("%w: of another request", errInvalidResponse)
	case a.isUnsignedSuccess():
		return phaseInvalid, fmt.Errorf("%w: success without a signature", errInvalidResponse)
	case a.statesUnprocessed():
		return phaseUnprocessed, nil
	case a.stream != nil:
		return phaseStreaming, nil
	case a.status >= 500:
		return phaseFailed, nil
	default:
		return phaseAnswered, nil
	}
}

// recycleConnection keeps a connection for the next request, if it can be used again
// behind a response.
func (p *Proxy) recycleConnection(conns *connPool, conn *upstreamConn, a *response) {
	if !a.isReusable || conn.reader.Buffered() > 0 {
		conn.close()
		return
	}
	keepAlive := p.timeouts.defaultKeepAlive
	if a.keepAlive > 0 {
		// It must not be used at the moment at which the endpoint closes it.
		keepAlive = a.keepAlive - min(a.keepAlive/2, time.Second)
	}
	conn.idleSince = time.Now()
	conn.expiresAt = conn.idleSince.Add(keepAlive)
	conns.put(conn)
}

// decide decides what follows from an outcome, and records what it says of the endpoint.
// The endpoint is released, unless its response is to be relayed.
func (f *forwarding) decide(o *outcome, t target) action {
	f.setDecision(o.phase)
	switch {
	case o.err != nil:
		f.recordError(o, t)
	case o.phase == phaseUnprocessed:
		f.recordUnprocessed(o, t)
	default:
		f.recordResponse(o, t)
	}
	return f.decision.action
}

// recordError records an attempt without a valid response.
func (f *forwarding) recordError(o *outcome, t target) {
	p := f.proxy
	f.reason = o.err.Error()
	t.watch.recordBroken(o, time.Now().Before(f.request.deadline))
	if o.isStale {
		// Whether the endpoint itself has ended shows at the next connection.
		p.counters.staleConnections.Inc()
		f.service.noteStaleConnection(p.now(), o.idleFor, p.timeouts.ejectionMax)
		t.conns.closeIdle()
	}
	isBlameless := o.isStale || errors.Is(o.err, errDeadlineExceeded) || errors.Is(o.err, errClientAborted)
	f.service.releaseEndpoint(p, t.endpoint, isBlameless, 0)
	if errors.Is(o.err, errInvalidResponse) {
		p.counters.invalidResponses.Inc()
	}
	f.group = f.service.retryVersionGroup(f.group, o.phase >= phasePartlySent)
}

// recordUnprocessed records a response which states that the request was not processed.
func (f *forwarding) recordUnprocessed(o *outcome, t target) {
	f.reason = "endpoints rejected the request"
	f.service.recordRejection(f.proxy, t.endpoint, o.response.status)
	t.watch.stop()
	f.group = f.service.retryVersionGroup(f.group, true)
}

// recordResponse records a complete response. If it is to be relayed, the endpoint is not
// released.
func (f *forwarding) recordResponse(o *outcome, t target) {
	isSuccess := o.response.status < 500
	t.watch.recordResponse(o.took, isSuccess)
	if isSuccess {
		o.latencyRatio = f.request.stats.observe(o.took.Seconds(), t.group == loadbalance.BaseVersion)
	} else {
		f.service.recordServerError(t.endpoint)
	}
	if f.decision.action == actionRelay {
		return
	}
	f.reason = "endpoint failed"
	f.service.releaseEndpoint(f.proxy, t.endpoint, true, 0)
	f.group = f.service.retryVersionGroup(f.group, true)
}

// fail answers the client with the error of the last decision.
func (f *forwarding) fail() {
	q := f.request
	kind := f.decision.errorKind
	q.stats.countError(kind)
	f.proxy.recordAttempt(q, f.auditKind(), kind.Status())
	f.proxy.writeError(q.ctx, apierror.New(kind, "%s", f.reason))
}

// auditKind is what the audit log is to hold of a request that is given up.
func (f *forwarding) auditKind() audit.Kind {
	switch {
	case f.request.route.Idempotent:
		return audit.Failed
	case f.decision.mayHaveExecuted:
		return audit.MaybeExecuted
	default:
		return audit.NotExecuted
	}
}
