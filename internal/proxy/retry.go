package proxy

import (
	"fmt"

	"lichentray/internal/apierror"
)

// phase is the phase in which an attempt, one request sent to one endpoint, ended.
//
// How the attempt ended in that phase (connection closed, reset, timeout) does not affect whether
// the endpoint may have executed the request.
type phase uint8

// The phases, in the order in which an attempt passes through them.
const (
	// phaseQueued means that no attempt was started, as no endpoint had free capacity or the retry
	// budget was exhausted.
	phaseQueued phase = iota
	// phaseDialing means that no connection was established.
	phaseDialing
	// phaseUnsent means that there was a connection, but no byte of the request was sent.
	phaseUnsent
	// phasePartlySent means that a part of the request was sent.
	phasePartlySent
	// phaseSent means that the whole request was sent, and no byte of a response was received.
	phaseSent
	// phasePartialHead means that the response's head is incomplete.
	phasePartialHead
	// phasePartialBody means that the response's head is complete and its body is not.
	phasePartialBody
	// phaseInvalid means that the received data is not a valid response to this request.
	phaseInvalid
	// phaseUnprocessed means that a complete response states that the endpoint has not processed
	// the request.
	phaseUnprocessed
	// phaseFailed means that a complete 5xx response without that statement was received.
	phaseFailed
	// phaseAnswered means that any other complete response was received.
	phaseAnswered
	// phaseStreaming means that the head of a long response was received, whose body is relayed as
	// it arrives. If the body is truncated, there is no retry, as the client has already received
	// the head: responseStream.Close closes the endpoint's connection and, if the endpoint is at
	// fault, ejects it and records audit.Truncated.
	phaseStreaming

	phaseCount
)

var phaseNames = [phaseCount]string{
	"queued", "dialing", "unsent", "partly sent", "sent", "partial head", "partial body",
	"invalid", "unprocessed", "failed", "answered", "streaming",
}

// String returns the name of the phase.
func (p phase) String() string {
	if p < phaseCount {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase(%d)", uint8(p))
}

// retryClass is the class of requests that may be retried on another endpoint after an attempt, in
// the terms of RFC 9110, section 9.2.2.
type retryClass uint8

const (
	// retryNever permits no retries.
	retryNever retryClass = iota
	// retryIdempotent permits retries of requests whose effect is the same if executed twice.
	retryIdempotent
	// retrySafe permits retries of all requests, as the endpoint has certainly not processed the
	// request.
	retrySafe
)

// String returns the name of the class.
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

// permits reports whether a request may be retried.
func (c retryClass) permits(isIdempotent bool) bool {
	return c == retrySafe || c == retryIdempotent && isIdempotent
}

// retryRule is the part of a decision that depends only on the phase in which the attempt ended.
type retryRule struct {
	// mayHaveExecuted is true if the endpoint may have executed the request.
	mayHaveExecuted bool
	// retry is the class of requests that may be retried on another endpoint.
	retry retryClass
	// reusesConnection is true if the connection can be reused, provided that the framing of the
	// response permits it too.
	reusesConnection bool
	// hasResponse is true if the endpoint's response can be relayed.
	hasResponse bool
	// errorKind is the error for the client if there is neither a retry nor a response to relay.
	errorKind apierror.Kind
}

// retryTable holds all rules for retries; docs/notes/at-most-once.md explains them.
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

// retryState is the state of a request at the end of an attempt.
type retryState struct {
	// isIdempotent is true if the request's route is declared idempotent.
	isIdempotent bool
	// bodyConsumed is true if the body was read from the client and is not buffered.
	bodyConsumed bool
	// mayHaveExecuted is true if an endpoint may have executed the request in an earlier attempt.
	mayHaveExecuted bool
	// beforeDeadline is true if the request's deadline has not passed.
	beforeDeadline bool
	// attemptsLeft is true if the limits on attempts permit another one.
	attemptsLeft bool
	// budgetLeft is true if the retry budget currently has a token. The token is withdrawn only
	// when the retry starts.
	budgetLeft bool
}

// permitsRetry reports whether the deadline, the limits on attempts and the body permit a retry.
func (s retryState) permitsRetry() bool {
	return s.beforeDeadline && s.attemptsLeft && !s.bodyConsumed
}

// action is the next step after an attempt.
type action uint8

const (
	// actionFail responds to the client with an error of the proxy.
	actionFail action = iota
	// actionRetry sends the request to an endpoint that was not tried yet.
	actionRetry
	// actionRelay relays the endpoint's response to the client.
	actionRelay
)

// String returns the name of the action.
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

// decision is the result of phase.decide.
type decision struct {
	action action
	// mayHaveExecuted is true if an endpoint may have executed the request in this or an earlier
	// attempt.
	mayHaveExecuted bool
	// errorKind is the error for the client if the action is actionFail.
	errorKind apierror.Kind
}

// decide returns the decision after an attempt that ended in phase p. A request that may have been
// executed is retried only if it is idempotent, and never fails with an error that guarantees that
// it was not executed.
func (p phase) decide(s retryState) decision {
	rule := retryTable[p]
	d := decision{
		action:          actionFail,
		mayHaveExecuted: s.mayHaveExecuted || rule.mayHaveExecuted,
	}
	d.errorKind = failureKind(rule.errorKind, s.beforeDeadline, d.mayHaveExecuted)
	// If there is a response to relay, a retry is attempted only if the budget has a token for it.
	prefersRetry := s.budgetLeft || !rule.hasResponse
	switch {
	case rule.retry.permits(s.isIdempotent) && s.permitsRetry() && prefersRetry:
		d.action = actionRetry
	case rule.hasResponse:
		d.action = actionRelay
	}
	return d
}

// failureKind returns the error for a request that fails. Unavailable guarantees that the request
// was not executed, so it is returned if and only if that is certain.
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

// relayedStatus returns the status that the client receives for the status of an endpoint's
// response. To clients, 408, 429 and 503 guarantee that the request was not executed. Endpoints
// give that guarantee by a separate header, and relayed responses lack it, so for non-idempotent
// requests these statuses are replaced by 502.
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
