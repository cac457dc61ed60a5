package rollout

const (
	// maxShareFactor limits the factor by which the share of a route is raised.
	maxShareFactor = 4
	// commonRouteFraction is the minimum fraction of all requests that a common route has.
	commonRouteFraction = 0.01
	// decayFactor is the factor that Decay applies to each count.
	decayFactor = 0.8
	// minCount is the count below which Decay removes a route.
	minCount = 0.01
)

// StratifiedSplit computes the share of each route's requests that goes to the target, so
// that a fault on a less frequent route is found as soon as one on a frequent route: all
// common routes send about the same number of requests to the target, but none sends more
// than maxShareFactor times the overall share. The zero value has counted no requests. It is
// not safe for concurrent use.
type StratifiedSplit struct {
	requestsByRoute map[int]float64
	totalRequests   float64
}

// RecordRequest counts one request on a route.
func (s *StratifiedSplit) RecordRequest(route int) {
	if s.requestsByRoute == nil {
		s.requestsByRoute = map[int]float64{}
	}
	s.requestsByRoute[route]++
	s.totalRequests++
}

// Decay reduces the weight of the requests counted so far. When called at regular intervals,
// it makes the split follow recent traffic.
func (s *StratifiedSplit) Decay() {
	s.totalRequests = 0
	for route, n := range s.requestsByRoute {
		n *= decayFactor
		if n < minCount {
			delete(s.requestsByRoute, route)
			continue
		}
		s.requestsByRoute[route] = n
		s.totalRequests += n
	}
}

// RouteShare returns the fraction of a route's requests, from 0 to 1, that goes to the target
// when the overall share is share.
func (s *StratifiedSplit) RouteShare(share float64, route int) float64 {
	if share >= 1 || share <= 0 {
		return share
	}
	commonRoutes := 0
	for _, n := range s.requestsByRoute {
		if s.isCommon(n) {
			commonRoutes++
		}
	}
	requests := s.requestsByRoute[route]
	if requests == 0 || !s.isCommon(requests) {
		return share
	}
	factor := s.totalRequests / (requests * float64(commonRoutes))
	return min(1, share*min(maxShareFactor, factor))
}

// isCommon reports whether a route with this count of requests is common.
func (s *StratifiedSplit) isCommon(requests float64) bool {
	return requests >= commonRouteFraction*s.totalRequests
}
