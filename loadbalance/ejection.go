package loadbalance

import "time"

// ejectionState is whether an endpoint is excluded for its failures (passive health check).
type ejectionState uint8

const (
	// inService endpoints have answered since their last failure.
	inService ejectionState = iota
	// ejected endpoints have failed. Once their ejection time has passed, one
	// request at a time may probe them (half-open circuit).
	ejected
	// probing endpoints are ejected, and their probe is in flight.
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

// ejection is the passive health check of one endpoint by this node alone.
type ejection struct {
	state               ejectionState
	consecutiveFailures int // 0 if and only if the state is inService
	until               time.Duration
}

// isActive reports whether the endpoint is excluded from the candidates of Pick.
func (x *ejection) isActive(now time.Duration) bool { return x.state != inService && now < x.until }

// canProbe reports whether one request may probe whether the endpoint has recovered.
func (x *ejection) canProbe(now time.Duration) bool { return x.state == ejected && now >= x.until }

func (x *ejection) beginProbe() { x.state = probing }

// endProbe is called when any request to the endpoint ends: the outcome of each is as good
// evidence of recovery as that of the probe.
func (x *ejection) endProbe() {
	if x.state == probing {
		x.state = ejected
	}
}

// recordFailure ejects the endpoint, or extends its ejection. If a probe is
// in flight, the state remains probing, so that no second probe begins.
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

// maxEjectionDoublings bounds the growth of the ejection time.
const maxEjectionDoublings = 6

// IsEjected reports whether failures exclude the endpoint from the candidates of
// Pick.
func (e *Endpoint) IsEjected(now time.Duration) bool { return e.ejection.isActive(now) }

// RecordFailure ejects an endpoint whose request failed. Finish calls it for a failed
// request; the caller does so for a response that broke off after Finish.
func (p *Pool) RecordFailure(now time.Duration, e *Endpoint) {
	e.unreported.Bad++
	e.ejection.recordFailure(now, p.cfg.BaseEjectionTime, p.cfg.MaxEjectionTime)
}
