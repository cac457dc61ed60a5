package loadbalance

import "time"

// ejectionState is the state of an endpoint's passive health check.
type ejectionState uint8

const (
	// inService means that the endpoint has not failed since its last successful request.
	inService ejectionState = iota
	// ejected means that the endpoint has failed. After its ejection time, one request at
	// a time may probe it (half-open circuit).
	ejected
	// probing means that the endpoint is ejected and a probe is in flight.
	probing
)

// String returns the name of the state.
func (s ejectionState) String() string {
	switch s {
	case inService:
		return "in service"
	case ejected:
		return "ejected"
	case probing:
		return "probing"
	}
	return "unknown"
}

// ejection is the passive health check of one endpoint. It uses only what this node observes.
type ejection struct {
	state               ejectionState
	consecutiveFailures int // 0 if and only if state is inService
	until               time.Duration
}

// isActive reports whether the endpoint is ejected and its ejection time has not passed.
func (x *ejection) isActive(now time.Duration) bool { return x.state != inService && now < x.until }

// canProbe reports whether a request may probe the endpoint for recovery.
func (x *ejection) canProbe(now time.Duration) bool { return x.state == ejected && now >= x.until }

func (x *ejection) beginProbe() { x.state = probing }

// endProbe ends the probe, if one is in flight. It is called when any request to the endpoint
// ends, because the outcome of any request shows equally well whether it has recovered.
func (x *ejection) endProbe() {
	if x.state == probing {
		x.state = ejected
	}
}

// recordFailure ejects the endpoint or extends its ejection, with a duration that doubles
// with each consecutive failure. If a probe is in flight, the state remains probing, so that
// no second probe begins.
func (x *ejection) recordFailure(now, base, limit time.Duration) {
	doublings := min(x.consecutiveFailures, maxEjectionDoublings)
	x.consecutiveFailures++
	x.until = now + min(base<<doublings, limit)
	if x.state == inService {
		x.state = ejected
	}
}

func (x *ejection) clear() {
	x.state = inService
	x.consecutiveFailures = 0
}

// maxEjectionDoublings limits the exponential growth of the ejection time.
const maxEjectionDoublings = 6

// IsEjected reports whether the endpoint is ejected and its ejection time has not passed.
func (e *Endpoint) IsEjected(now time.Duration) bool { return e.ejection.isActive(now) }

// RecordFailure ejects an endpoint after a failed request. Finish calls it for a failed
// request; callers use it for a response that broke off after Finish.
func (p *Pool) RecordFailure(now time.Duration, e *Endpoint) {
	e.unreported.Bad++
	e.ejection.recordFailure(now, p.cfg.BaseEjectionTime, p.cfg.MaxEjectionTime)
}
