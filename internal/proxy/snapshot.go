package proxy

import (
	"fmt"
	"sync"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
	"lichentray/routing"
)

// responseClass is the class by which the responses to clients of a route are counted.
type responseClass uint8

const (
	class2xx responseClass = iota // all statuses below 400
	class4xx
	class5xx
	classUnavailable
	classBadGateway
	classDeadline

	classCount
)

// responseClassLabels holds the value of the counter's label for each class.
var responseClassLabels = [classCount]string{"2xx", "4xx", "5xx", "unavailable", "bad_gateway", "deadline"}

// String returns the value of the counter's label for the class.
func (c responseClass) String() string {
	if c < classCount {
		return responseClassLabels[c]
	}
	return fmt.Sprintf("responseClass(%d)", uint8(c))
}

const (
	// typicalLatencyWeight is the weight of one response in the moving average.
	typicalLatencyWeight = 0.02
	// maxLatencyRatio limits the effect of one response on the average: a longer latency counts as
	// this multiple of the average.
	maxLatencyRatio = 4
	// minTypicalSeconds is the minimum divisor of latency ratios, so that a very short average
	// does not make them arbitrarily large.
	minTypicalSeconds = 1e-4
)

// routingSnapshot holds the routes of one configuration and their services. It is immutable and
// replaced atomically; the statistics and services that it refers to are mutable.
type routingSnapshot struct {
	table *routing.Table
	// services holds the services in the order of table.Services.
	services []*service
	// routeStats and regionMasks are in the order of table.Routes; see Proxy.regionMask.
	routeStats  []*routeStats
	regionMasks []uint64
}

// routeStats holds the statistics of one route. They are kept when the configuration changes.
type routeStats struct {
	name      string
	responses [classCount]*metrics.Counter

	mu sync.Mutex
	// typicalSeconds is the moving average of the latency; 0 while it is unknown.
	typicalSeconds float64
}

func newRouteStats(name string, registry *metrics.Registry) *routeStats {
	s := &routeStats{name: name}
	for class := range classCount {
		s.responses[class] = registry.Counter("responses_total", "route", name, "outcome", class.String())
	}
	return s
}

// recordLatency returns a response's latency divided by the route's typical latency, and updates
// the typical latency. The first response sets it; later responses of a rollout's target version,
// for which isBaseVersion is false, do not change it.
func (s *routeStats) recordLatency(seconds float64, isBaseVersion bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.typicalSeconds == 0 {
		s.typicalSeconds = seconds
	}
	ratio := seconds / max(s.typicalSeconds, minTypicalSeconds)
	if isBaseVersion {
		bounded := min(seconds, maxLatencyRatio*s.typicalSeconds)
		s.typicalSeconds += typicalLatencyWeight * (bounded - s.typicalSeconds)
	}
	return ratio
}

// typicalLatency returns the typical latency of the route; 0 while it is unknown.
func (s *routeStats) typicalLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.typicalSeconds * float64(time.Second))
}

// countResponse counts an endpoint's response that is relayed.
func (s *routeStats) countResponse(status int) {
	class := class2xx
	switch {
	case status >= 500:
		class = class5xx
	case status >= 400:
		class = class4xx
	}
	s.responses[class].Inc()
}

// countError counts an error response of the proxy.
func (s *routeStats) countError(kind apierror.Kind) {
	class := classDeadline
	switch kind {
	case apierror.Unavailable:
		class = classUnavailable
	case apierror.BadGateway:
		class = classBadGateway
	}
	s.responses[class].Inc()
}

const (
	// sharedRegionBit is the bit that all regions with this or a higher index share.
	sharedRegionBit = 62
	// restrictedBit is set in every mask that does not permit all regions, so that a mask that
	// permits none is not 0.
	restrictedBit = 63
)

// regionMask returns the set of regions that may serve a route, as one bit for each region index; 0
// permits all. Regions without a zone have no bit: a route restricted to them cannot be served.
func (p *Proxy) regionMask(regions []string) uint64 {
	if len(regions) == 0 {
		return 0
	}
	mask := uint64(1) << restrictedBit
	for _, region := range regions {
		if i, ok := p.regionIndex[region]; ok {
			mask |= 1 << min(i, sharedRegionBit)
		}
	}
	return mask
}

// mayServe reports whether an endpoint in the region with the given index may serve a route; see
// Proxy.regionMask.
func mayServe(regionMask uint64, region int) bool {
	if regionMask == 0 {
		return true
	}
	return region >= 0 && regionMask>>min(region, sharedRegionBit)&1 == 1
}
