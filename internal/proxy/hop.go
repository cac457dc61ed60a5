package proxy

import "lichentray/internal/apierror"

// phase is how far a hop came: one try of a request at one endpoint.
type phase uint8

// The phases. What ended a hop there (close, reset, silence until the deadline) makes
// no difference to whether the endpoint may have run the request.
const (
	phaseQueued      phase = iota // nothing was begun: no endpoint has a free place, or no budget is left
	phaseDialing                  // no connection came up
	phaseUnsent                   // on a connection, but not one byte of the request left
	phasePartlySent               // some of it left
	phaseSent                     // all of it left, no byte of an answer came
	phasePartialHead              // an answer began
	phasePartialBody              // its head is whole, its body is not
	phaseInvalid                  // what came is no answer, or not to this request
	phaseUnprocessed              // a whole answer: the endpoint's word that it did not run the request
	phaseFailed                   // a whole answer of 5xx without that word
	phaseAnswered                 // any other whole answer
	phaseStreaming                // the head of a long answer, whose body goes to the client as it comes
	phaseCount
)

// retryRule is what a phase says by itself.
type retryRule struct {
	// mayHaveExecuted tells that the endpoint may have run the request.
	mayHaveExecuted bool
	// retry tells who may be sent to another endpoint.
	retry retryClass
	// reusesConnection tells that the connection may carry another request, if its framing says
	// so too.
	reusesConnection bool
	// hasResponse tells that there is an answer of the endpoint that the client may be given.
	hasResponse bool
	// errorKind is what the client is told otherwise, if nothing more is tried.
	errorKind apierror.Kind
}

type retryClass uint8

const (
	retryNever      retryClass = iota
	retryIdempotent            // requests that may run twice
	retrySafe                  // it is certain that this hop did not run it
)

// retryTable is the table of docs/notes/at-most-once.md.
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

// retryState is what holds for a request when a hop has ended.
type retryState struct {
	isIdempotent    bool // by its route
	bodyConsumed    bool // its body was read from the client and is not held
	mayHaveExecuted bool // an earlier hop may have run it
	beforeDeadline  bool // its deadline is not reached
	attemptsLeft    bool // its route allows another try
	budgetLeft      bool // the retry budget bears one now; what another try spends is taken when it begins
}

// action is what is done next.
type action uint8

const (
	actionFail  action = iota // answer at once, with an error of this system's own
	actionRetry               // send it to an endpoint that has not had it
	actionRelay               // give the client the endpoint's answer
)

// decision is what follows from a hop.
type decision struct {
	action          action
	mayHaveExecuted bool          // this hop or an earlier one may have run the request
	errorKind       apierror.Kind // the error, if it is given up now
}

// action decides what is done after a hop. A request that may have run is sent again
// only if it may run twice, and is never answered with a status that promises that it
// has not run.
func (p phase) decide(s retryState) decision {
	row := retryTable[p]
	d := decision{mayHaveExecuted: s.mayHaveExecuted || row.mayHaveExecuted, errorKind: row.errorKind}
	if !s.beforeDeadline {
		d.errorKind = apierror.DeadlineExceeded
	}
	switch {
	case !d.mayHaveExecuted:
		d.errorKind = apierror.Unavailable
	case d.errorKind == apierror.Unavailable:
		d.errorKind = apierror.BadGateway
	}
	may := row.retry == retrySafe || row.retry == retryIdempotent && s.isIdempotent
	switch {
	case may && s.beforeDeadline && s.attemptsLeft && !s.bodyConsumed && (s.budgetLeft || !row.hasResponse):
		d.action = actionRetry
	case row.hasResponse:
		d.action = actionRelay
	}
	return d
}

// relayedStatus is the status that a client is given for an endpoint's. 408, 429 and 503
// promise that a request has not run, which an endpoint that means it says otherwise.
func relayedStatus(status int, repeatable bool) int {
	if !repeatable && (status == 408 || status == 429 || status == 503) {
		return 502
	}
	return status
}
