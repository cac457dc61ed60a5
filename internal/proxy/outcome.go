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
	// isStale: the connection had been idle and ended without a byte of a response,
	// as the endpoint had already closed it or dropped its state.
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
func incompletePhase(resp *response, err error) phase {
	switch {
	case errors.Is(err, errInvalidResponse):
		return phaseInvalid
	case resp == nil:
		return phasePartialHead
	default:
		return phasePartialBody
	}
}

// classify returns the phase in which an attempt with this response ends; an error if the
// response is not valid as one to the request.
func (f *forwarding) classify(resp *response, isConnReused bool) (phase, error) {
	switch {
	case !resp.belongsTo(f.request.attemptID, isConnReused):
		return phaseInvalid, fmt.Errorf("%w: of another request", errInvalidResponse)
	case resp.isUnsignedSuccess():
		return phaseInvalid, fmt.Errorf("%w: success without a signature", errInvalidResponse)
	case resp.statesUnprocessed():
		return phaseUnprocessed, nil
	case resp.stream != nil:
		return phaseStreaming, nil
	case resp.status >= 500:
		return phaseFailed, nil
	default:
		return phaseAnswered, nil
	}
}
