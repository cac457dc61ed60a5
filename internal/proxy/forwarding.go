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
	// maxUnsentAttempts is the maximum number of attempts that end before any of the request is sent.
	maxUnsentAttempts = 4
	// queueWaitRemainingDivisor and queueWaitTargetDivisor bound the wait in the queue for an
	// endpoint, as divisors of the request's remaining time and of the route's latency target.
	queueWaitRemainingDivisor = 4
	queueWaitTargetDivisor    = 6
)

// forwarding is the state of one request across its attempts. It is used only by the goroutine
// that handles the request.
type forwarding struct {
	proxy   *Proxy
	request *request
	service *service
	rank    queueRank
	// group is the version group that the next attempt uses.
	group loadbalance.VersionGroup

	// triedEndpoints holds the endpoints attempted so far; no endpoint is attempted twice.
	triedEndpoints []*loadbalance.Endpoint
	// sentAttempts and unsentAttempts count the attempts in which some and none of the request
	// was sent.
	sentAttempts, unsentAttempts int
	// mayHaveArrived is set once an endpoint may have received some of the request.
	mayHaveArrived bool
	// decision is the decision after the last attempt.
	decision decision
	// reason is why the last attempt failed. It becomes the detail of the error, which is not sent to
	// the client.
	reason string
}

// admit counts a request at its service and draws its version group.
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

// isExcluded reports whether the request must not be sent to an endpoint: its region is not
// allowed, or it was attempted already.
func (f *forwarding) isExcluded(e *loadbalance.Endpoint) bool {
	return !mayServe(f.request.regionMask, e.RegionIndex) || slices.Contains(f.triedEndpoints, e)
}

// pick reserves an endpoint for the next attempt, and withdraws from the retry budget if an
// earlier attempt may have reached an endpoint. If there is no endpoint or no budget, pick sets
// the decision with which the request fails, and returns a zero attemptTarget.
func (f *forwarding) pick() attemptTarget {
	t := f.acquireEndpoint()
	if t.endpoint == nil {
		f.setDecision(phaseQueued)
		return attemptTarget{}
	}
	t.recorder = f.service.newRolloutRecorder(f.proxy, f.request, t.endpoint, t.group)
	if !f.mayHaveArrived {
		return t
	}
	if !f.service.withdrawRetry() {
		f.proxy.counters.retryBudgetExhausted.Inc()
		f.service.releaseEndpoint(f.proxy, t.endpoint, true, 0)
		t.recorder.stop()
		f.setDecision(phaseQueued)
		return attemptTarget{}
	}
	f.proxy.counters.retries.Inc()
	return t
}

// acquireEndpoint reserves an endpoint. It waits for one for at most a fraction of the request's
// remaining time and of the route's latency target.
func (f *forwarding) acquireEndpoint() attemptTarget {
	remaining := time.Until(f.request.deadline)
	if remaining <= 0 {
		return attemptTarget{}
	}
	wait := min(f.request.route.TargetLatency/queueWaitTargetDivisor, remaining/queueWaitRemainingDivisor)
	t := f.service.acquireForGroup(f.proxy, f.rank, queueWait{limit: wait, client: &f.request.client}, f.group, f.isExcluded)
	f.group = t.group
	return t
}

// setDecision sets the decision after an attempt that ended in the given phase.
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
		// The budget matters here only if there is a response to relay instead of a retry.
		budgetLeft: at != phaseFailed || f.service.hasRetryBudget(),
	})
}

// decide records an outcome for the endpoint and returns the next action. It releases the
// endpoint, unless the endpoint's response is to be relayed.
func (f *forwarding) decide(o *outcome, t attemptTarget) action {
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
func (f *forwarding) recordError(o *outcome, t attemptTarget) {
	p := f.proxy
	f.reason = o.err.Error()
	isClientAborted := errors.Is(o.err, errClientAborted)
	if isClientAborted {
		t.recorder.stop()
	} else {
		t.recorder.recordBroken(o, time.Now().Before(f.request.deadline))
	}
	if o.isStale {
		// Whether the endpoint itself has failed is determined by the next new connection.
		p.counters.staleConnections.Inc()
		f.service.recordStaleConnection(p.now(), o.idleFor, p.timeouts.ejectionMax)
		t.conns.closeIdle()
	}
	hasOtherCause := o.isStale || errors.Is(o.err, errDeadlineExceeded) || isClientAborted
	f.service.releaseEndpoint(p, t.endpoint, hasOtherCause, 0)
	if errors.Is(o.err, errInvalidResponse) {
		p.counters.invalidResponses.Inc()
	}
	f.group = f.service.retryVersionGroup(f.group, o.phase >= phasePartlySent)
}

// recordUnprocessed records a response stating that the request was not processed.
func (f *forwarding) recordUnprocessed(o *outcome, t attemptTarget) {
	f.reason = "endpoints rejected the request"
	f.service.recordUnprocessed(f.proxy, t.endpoint, o.response.status)
	t.recorder.stop()
	f.group = f.service.retryVersionGroup(f.group, true)
}

// recordResponse records a valid response. It releases the endpoint, unless the response is to
// be relayed.
func (f *forwarding) recordResponse(o *outcome, t attemptTarget) {
	isSuccess := o.response.status < 500
	t.recorder.recordResponse(o.took, isSuccess)
	if isSuccess {
		o.latencyRatio = f.request.stats.recordLatency(o.took.Seconds(), t.group == loadbalance.BaseVersion)
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

// statusClientClosedRequest is recorded for a request whose client has disconnected. It is never
// sent.
const statusClientClosedRequest = 499

// abandon ends a request whose client has disconnected, without a response. A non-idempotent
// request is recorded for audit, as the client cannot know whether it was executed.
func (f *forwarding) abandon() {
	q := f.request
	if !q.route.Idempotent {
		f.proxy.recordAttempt(q, f.auditKind(), statusClientClosedRequest)
	}
	q.ctx.SetStatusCode(statusClientClosedRequest)
	q.ctx.SetConnectionClose()
}

// fail responds to the client with the error of the last decision.
func (f *forwarding) fail() {
	q := f.request
	if q.client.hasDisconnected() {
		f.abandon()
		return
	}
	kind := f.decision.errorKind
	q.stats.countError(kind)
	f.proxy.recordAttempt(q, f.auditKind(), kind.Status())
	f.proxy.writeError(q.ctx, apierror.New(kind, "%s", f.reason))
}

// auditKind returns the audit kind of a request that failed.
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
