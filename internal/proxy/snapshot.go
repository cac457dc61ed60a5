package proxy

import (
	"fmt"
	"sync"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
	"lichentray/routing"
)

// responseClass is the class by which the responses to clients are counted by route.
type responseClass uint8

const (
	class2xx responseClass = iota // up to 399
	class4xx
	class5xx
	classUnavailable
	classBadGateway
	classDeadline

	classCount
)

// responseClassLabels are the values of the counter's label.
var responseClassLabels = [classCount]string{"2xx", "4xx", "5xx", "unavailable", "bad_gateway", "deadline"}

// String names the class as the counter's label does.
func (c responseClass) String() string {
	if c < classCount {
		return responseClassLabels[c]
	}
	return fmt.Sprintf("responseClass(%d)", uint8(c))
}

const (
	// typicalLatencyWeight is the weight of one response in the moving average.
	typicalLatencyWeight = 0.02
	// maxLatencyRatio bounds by how much one response can move it.
	maxLatencyRatio = 4
	// minTypicalSeconds keeps the ratio to it within reason.
	minTypicalSeconds = 1e-4
)

// routingSnapshot has the routes of one configuration with their services. It is immutable
// and replaced atomically; the statistics and services that it points to are not.
type routingSnapshot struct {
	table *routing.Table
	// services are in the order of the table's services.
	services []*service
	// routeStats and regionMasks are in the order of the table's routes. A mask has a bit
	// for each region that may serve the route; 0 permits all.
	routeStats  []*routeStats
	regionMasks []uint64
}

// routeStats are the statistics of one route. They outlive configurations.
type routeStats struct {
	name      string
	responses [classCount]*metrics.Counter

	mu sync.Mutex
	// typicalSeconds is the moving average of the latency; 0 while it is not known.
	typicalSeconds float64
}

func newRouteStats(name string, registry *metrics.Registry) *routeStats {
	s := &routeStats{name: name}
	for class := range classCount {
		s.responses[class] = registry.Counter("responses_total", "route", name, "outcome", class.String())
	}
	return s
}

// observe takes the latency of a response in seconds and returns it over what is typical.
// The latency of a roll-out's target version does not change what is typical.
func (s *routeStats) observe(seconds float64, isTypical bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.typicalSeconds == 0 {
		s.typicalSeconds = seconds
	}
	ratio := seconds / max(s.typicalSeconds, minTypicalSeconds)
	if isTypical {
		bounded := min(seconds, maxLatencyRatio*s.typicalSeconds)
		s.typicalSeconds += typicalLatencyWeight * (bounded - s.typicalSeconds)
	}
	return ratio
}

// typicalLatency is the typical latency of the route; 0 while it is not known.
func (s *routeStats) typicalLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.typicalSeconds * float64(time.Second))
}

// countResponse counts a response of an endpoint.
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

// countError counts an error of the proxy.
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
	// maxRegionBit is the bit of all regions of a high index, which share it.
	maxRegionBit = 62
	// noRegionBit stands in every mask that permits not all regions, so that one which
	// permits none is not 0.
	noRegionBit = 63
)

// regionMask returns the regions that may serve a route as bits; 0 permits all. Regions
// that no zone belongs to have no bit, so a route that only they may serve is served
// nowhere.
func (p *Proxy) regionMask(regions []string) uint64 {
	if len(regions) == 0 {
		return 0
	}
	mask := uint64(1) << noRegionBit
	for _, region := range regions {
		if i, ok := p.regionIndex[region]; ok {
			mask |= 1 << min(i, maxRegionBit)
		}
	}
	return mask
}

// mayServe reports whether an endpoint of a region may serve a route; see regionMask.
func mayServe(regionMask uint64, region int) bool {
	if regionMask == 0 {
		return true
	}
	return region >= 0 && regionMask>>min(region, maxRegionBit)&1 == 1
}
