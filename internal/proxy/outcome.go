package proxy

import (
	"errors"
	"fmt"
	"time"
)

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
