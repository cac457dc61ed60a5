package proxy

import (
	"errors"
	"slices"
	"time"

	"lichentray/audit"
	"lichentray/internal/apierror"
	"lichentray/loadbalance"
)

const (
	// maxUnsentAttempts bounds the attempts of a request of which nothing was sent.
	maxUnsentAttempts = 4
	// remainingWaitDivisor is the part of its remaining time that a request waits in the
	// queue for an endpoint at most, as a divisor.
	remainingWaitDivisor = 4
	// targetWaitDivisor is the same of the route's latency target.
	targetWaitDivisor = 6
)

// forwarding is the state of one request over all its attempts. Only the goroutine that
// handles the request uses it.
type forwarding struct {
	proxy   *Proxy
	request *request
	service *service
	rank    queueRank
	// group is the versions that the next attempt goes to.
	group loadbalance.VersionGroup

	// triedEndpoints are those of the attempts so far; no endpoint is attempted twice.
	triedEndpoints []*loadbalance.Endpoint
	// sentAttempts and unsentAttempts count the attempts in which some of the request was
	// sent, and nothing.
	sentAttempts, unsentAttempts int
	// mayHaveArrived: an endpoint may have received the request.
	mayHaveArrived bool
	// decision is what followed from the last attempt.
	decision decision
	// reason is why the last attempt failed, for the error to the client.
	reason string
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
	t := f.service.acquireForGroup(f.proxy, f.rank, queueWait{limit: wait, client: &f.request.client}, f.group, f.isSkipped)
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

// decide decides what follows from an outcome, and records it for the endpoint.
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
	hasClientAborted := errors.Is(o.err, errClientAborted)
	if hasClientAborted {
		t.watch.stop()
	} else {
		t.watch.recordBroken(o, time.Now().Before(f.request.deadline))
	}
	if o.isStale {
		// Whether the endpoint itself has ended shows at the next connection.
		p.counters.staleConnections.Inc()
		f.service.noteStaleConnection(p.now(), o.idleFor, p.timeouts.ejectionMax)
		t.conns.closeIdle()
	}
	isBlameless := o.isStale || errors.Is(o.err, errDeadlineExceeded) || hasClientAborted
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

// statusClientClosedRequest is recorded for a request whose client has left. No client receives it.
const statusClientClosedRequest = 499

// abandon ends a request whose client has left. There is nobody to answer. What may have been
// executed once is recorded, as the client cannot know it.
func (f *forwarding) abandon() {
	q := f.request
	if !q.route.Idempotent {
		f.proxy.recordAttempt(q, f.auditKind(), statusClientClosedRequest)
	}
	q.ctx.SetStatusCode(statusClientClosedRequest)
	q.ctx.SetConnectionClose()
}

// fail answers the client with the error of the last decision.
func (f *forwarding) fail() {
	q := f.request
	if q.client.hasLeft() {
		f.abandon()
		return
	}
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
