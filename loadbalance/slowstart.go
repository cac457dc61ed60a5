package loadbalance

import "time"

// slowStartFactor is how much longer an endpoint takes while it warms up.
const slowStartFactor = 2

// SetWarmupRate sets how many requests per second an endpoint can serve, from all nodes
// together, while it warms up. Such an endpoint then receives only what is granted, see Grant.
// 0 means that there is no limit.
func (p *Pool) SetWarmupRate(requestsPerSecond float64) { p.warmupRate = requestsPerSecond }

// IsWarmingUp reports whether the endpoint is in its slow start.
func (e *Endpoint) IsWarmingUp(now time.Duration) bool {
	return now < e.warmingUntil || e.isMarkedWarming()
}

// isMarkedWarming reports whether the registry marks the endpoint as warming up, by its own
// heartbeat or because its zone is returning. It does not use the local estimate
// warmingUntil, as the allocator grants quota for marked endpoints only.
func (e *Endpoint) isMarkedWarming() bool { return e.WarmingUp || e.zoneState == ZoneReturning }

// latencyFactor returns the expected latency divided by the usual one of the route.
func (e *Endpoint) latencyFactor(now time.Duration) float64 {
	if e.IsWarmingUp(now) {
		return slowStartFactor * e.latencyRatio
	}
	return e.latencyRatio
}

// needsQuota reports whether the endpoint receives only what is granted.
func (p *Pool) needsQuota(e *Endpoint) bool { return p.warmupRate > 0 && e.isMarkedWarming() }
