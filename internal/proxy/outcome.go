package proxy

import (
	"errors"
	"fmt"
	"time"
)

// outcome is the result of one attempt.
type outcome struct {
	phase phase
	// err is the error that ended the attempt; nil if there is a valid response.
	err error
	// response is the response, if one was read.
	response *response
	// conn is the connection, if the response body is streamed from it.
	conn *upstreamConn
	// isStale is true if a reused connection failed before any byte of a response was received,
	// because the endpoint had already closed it or lost its state.
	isStale bool
	// idleFor is how long the connection had been idle; 0 if it was new.
	idleFor time.Duration
	// took is the duration of the attempt.
	took time.Duration
	// latencyRatio is took divided by the route's typical latency; 0 unless there is a valid response
	// with a status below 500.
	latencyRatio float64
}

// incompletePhase returns the phase of an attempt whose response could not be read. The response
// is nil if its head is incomplete.
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

// classify returns the phase in which an attempt with this response ends. It returns an error if
// the response is not a valid response to the request.
func (f *forwarding) classify(resp *response, isConnReused bool) (phase, error) {
	switch {
	case !resp.belongsTo(f.request.attemptID, isConnReused):
		return phaseInvalid, fmt.Errorf("%w: belongs to another request", errInvalidResponse)
	case resp.isUnsignedSuccess():
		return phaseInvalid, fmt.Errorf("%w: success without a signature", errInvalidResponse)
	case resp.isUnprocessed():
		return phaseUnprocessed, nil
	case resp.stream != nil:
		return phaseStreaming, nil
	case resp.status >= 500:
		return phaseFailed, nil
	default:
		return phaseAnswered, nil
	}
}
