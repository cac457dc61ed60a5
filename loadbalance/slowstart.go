package loadbalance

import "time"

// slowStartLatencyFactor scales the expected latency of an endpoint while it warms up.
const slowStartLatencyFactor = 2

// SetWarmUpRate sets how many requests per second an endpoint can serve, from all nodes
// together, while it warms up. A node may then send to such an endpoint only under a Grant.
// 0 means no limit.
func (p *Pool) SetWarmUpRate(requestsPerSecond float64) { p.warmUpRate = requestsPerSecond }

// IsWarmingUp reports whether the endpoint is in slow start.
func (e *Endpoint) IsWarmingUp(now time.Duration) bool {
	return now < e.warmingUntil || e.isMarkedWarming()
}

// isMarkedWarming reports whether the registry marks the endpoint as warming up, either by
// its own heartbeat or because its zone is returning from evacuation. It ignores the local
// estimate warmingUntil, because the allocator grants quota only for marked endpoints.
func (e *Endpoint) isMarkedWarming() bool { return e.WarmingUp || e.zoneState == ZoneReturning }

// latencyFactor returns the expected latency relative to the usual latency of the route.
func (e *Endpoint) latencyFactor(now time.Duration) float64 {
	if e.IsWarmingUp(now) {
		return slowStartLatencyFactor * e.latencyRatio
	}
	return e.latencyRatio
}

// needsQuota reports whether requests to the endpoint require a quota grant.
func (p *Pool) needsQuota(e *Endpoint) bool { return p.warmUpRate > 0 && e.isMarkedWarming() }
