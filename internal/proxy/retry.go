package proxy

import (
	"fmt"

	"lichentray/internal/apierror"
)

// phase is how far an attempt came: one request sent to one endpoint.
//
// What ended an attempt in its phase (close, reset, time-out) makes no difference to
// whether the endpoint may have executed the request.
type phase uint8

// The phases, in the order in which an attempt passes through them.
const (
	// phaseQueued: nothing was begun, as no endpoint has free capacity or the retry
	// budget is exhausted.
	phaseQueued phase = iota
	// phaseDialing: no connection was established.
	phaseDialing
	// phaseUnsent: a connection was at hand, but not one byte of the request was sent.
	phaseUnsent
	// phasePartlySent: a part of the request was sent.
	phasePartlySent
	// phaseSent: all of the request was sent and no byte of a response received.
	phaseSent
	// phasePartialHead: the response's head is incomplete.
	phasePartialHead
	// phasePartialBody: the response's head is complete, its body is not.
	phasePartialBody
	// phaseInvalid: what was received is no valid response, or none to this request.
	phaseInvalid
	// phaseUnprocessed: a complete response with which the endpoint states that it has
	// not processed the request.
	phaseUnprocessed
	// phaseFailed: a complete 5xx response without such a statement.
	phaseFailed
	// phaseAnswered: any other complete response.
	phaseAnswered
	// phaseStreaming: the head of a long response, whose body is relayed as it arrives. If
	// the body breaks off, the client has had the head and there is no retry:
	// responseStream.Close closes the endpoint's connection, and if the endpoint is at
	// fault ejects it and records audit.Truncated.
	phaseStreaming

	phaseCount
)

var phaseNames = [phaseCount]string{
	"queued", "dialing", "unsent", "partly sent", "sent", "partial head", "partial body",
	"invalid", "unprocessed", "failed", "answered", "streaming",
}

// String names the phase.
func (p phase) String() string {
	if p < phaseCount {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase(%d)", uint8(p))
}

// retryClass is the class of requests that may be sent to another endpoint after an attempt, in
// the words of RFC 9110, section 9.2.2.
type retryClass uint8

const (
	// retryNever: no request.
	retryNever retryClass = iota
	// retryIdempotent: requests whose effect is the same when they are executed twice.
	retryIdempotent
	// retrySafe: every request, as it is certain that the endpoint has not processed it.
	retrySafe
)

// String names the class.
func (c retryClass) String() string {
	switch c {
	case retryNever:
		return "never"
	case retryIdempotent:
		return "idempotent"
	case retrySafe:
		return "safe"
	default:
		return fmt.Sprintf("retryClass(%d)", uint8(c))
	}
}

// permits reports whether a request may be sent again.
func (c retryClass) permits(isIdempotent bool) bool {
	return c == retrySafe || c == retryIdempotent && isIdempotent
}

// retryRule is what follows from the phase alone for an attempt that ended in it.
type retryRule struct {
	// mayHaveExecuted: the endpoint may have executed the request.
	mayHaveExecuted bool
	// retry is the class of requests that may be sent to another endpoint.
	retry retryClass
	// reusesConnection: the connection may carry another request, if the framing of the
	// response permits it too.
	reusesConnection bool
	// hasResponse: there is a response of the endpoint that can be relayed.
	hasResponse bool
	// errorKind is the error for the client, if there is neither a retry nor a response.
	errorKind apierror.Kind
}

// retryTable holds the only rules for retries; docs/notes/at-most-once.md explains them.
var retryTable = [phaseCount]retryRule{
	phaseQueued:      {retry: retryNever, errorKind: apierror.Unavailable},
	phaseDialing:     {retry: retrySafe, errorKind: apierror.BadGateway},
	phaseUnsent:      {retry: retrySafe, errorKind: apierror.BadGateway},
	phasePartlySent:  {mayHaveExecuted: true, retry: retryIdempotent, errorKind: apierror.BadGateway},
	phaseSent:        {mayHaveExecuted: true, retry: retryIdempotent, errorKind: apierror.BadGateway},
	phasePartialHead: {mayHaveExecuted: true, retry: retryIdempotent, errorKind: apierror.BadGateway},
	phasePartialBody: {mayHaveExecuted: true, retry: retryIdempotent, errorKind: apierror.BadGateway},
	phaseInvalid:     {mayHaveExecuted: true, retry: retryIdempotent, errorKind: apierror.BadGateway},
	phaseUnprocessed: {retry: retrySafe, reusesConnection: true, errorKind: apierror.Unavailable},
	phaseFailed:      {mayHaveExecuted: true, retry: retryIdempotent, reusesConnection: true, hasResponse: true},
	phaseAnswered:    {mayHaveExecuted: true, retry: retryNever, reusesConnection: true, hasResponse: true},
	phaseStreaming:   {mayHaveExecuted: true, retry: retryNever, reusesConnection: true, hasResponse: true},
}

// retryState is what holds for a request when an attempt has ended.
type retryState struct {
	// isIdempotent: the request's route declares it so.
	isIdempotent bool
	// bodyConsumed: the body was read from the client and is not buffered.
	bodyConsumed bool
	// mayHaveExecuted: an earlier attempt may have executed the request.
	mayHaveExecuted bool
	// beforeDeadline: the request's deadline has not been reached.
	beforeDeadline bool
	// attemptsLeft: the route permits another attempt.
	attemptsLeft bool
	// budgetLeft: the retry budget has a token for a retry now. A retry withdraws from the budget
	// only when it begins.
	budgetLeft bool
}

// permitsRetry reports whether everything but the phase permits another attempt.
func (s retryState) permitsRetry() bool {
	return s.beforeDeadline && s.attemptsLeft && !s.bodyConsumed
}

// action is what is done after an attempt.
type action uint8

const (
	// actionFail answers the client with an error of the proxy.
	actionFail action = iota
	// actionRetry sends the request to an endpoint that has not had it.
	actionRetry
	// actionRelay relays the endpoint's response to the client.
	actionRelay
)

// String names the action.
func (a action) String() string {
	switch a {
	case actionFail:
		return "fail"
	case actionRetry:
		return "retry"
	case actionRelay:
		return "relay"
	default:
		return fmt.Sprintf("action(%d)", uint8(a))
	}
}

// decision is what follows from the end of an attempt.
type decision struct {
	action action
	// mayHaveExecuted: this attempt or an earlier one may have executed the request.
	mayHaveExecuted bool
	// errorKind is the error for the client, if the action is actionFail.
	errorKind apierror.Kind
}

// decide decides what is done after an attempt that ended in a phase. A request that
// may have been executed is sent again only if it is idempotent, and is never answered
// with a status that promises that it was not executed.
func (p phase) decide(s retryState) decision {
	rule := retryTable[p]
	d := decision{
		action:          actionFail,
		mayHaveExecuted: s.mayHaveExecuted || rule.mayHaveExecuted,
	}
	d.errorKind = failureKind(rule.errorKind, s.beforeDeadline, d.mayHaveExecuted)
	// Where there is a response, a retry is optional, and made only if the budget has a token for it.
	isWorthwhile := s.budgetLeft || !rule.hasResponse
	switch {
	case rule.retry.permits(s.isIdempotent) && s.permitsRetry() && isWorthwhile:
		d.action = actionRetry
	case rule.hasResponse:
		d.action = actionRelay
	}
	return d
}

// failureKind is the error for a request that is given up. Unavailable promises that the
// request was not executed, so it is given always and only where that is certain.
func failureKind(kind apierror.Kind, beforeDeadline, mayHaveExecuted bool) apierror.Kind {
	switch {
	case !mayHaveExecuted:
		return apierror.Unavailable
	case !beforeDeadline:
		return apierror.DeadlineExceeded
	case kind == apierror.Unavailable:
		return apierror.BadGateway
	default:
		return kind
	}
}

// relayedStatus is the status that a client receives for an endpoint's. To clients 408,
// 429 and 503 promise that the request was not executed. An endpoint makes that promise
// with a header of its own, so without it a request that is not idempotent gets 502.
func relayedStatus(status int, isIdempotent bool) int {
	if isIdempotent {
		return status
	}
	switch status {
	case 408, 429, 503:
		return 502
	default:
		return status
	}
}
