package rollout

const (
	// maxShareFactor is the most by which a rare route's share is raised.
	maxShareFactor = 4
	// commonRouteFraction is the part of the requests from which on a route is common.
	commonRouteFraction = 0.01
	// decayFactor is what Decay leaves of a count, and minCount that below which it
	// forgets the route.
	decayFactor = 0.8
	minCount    = 0.01
)

// StratifiedSplit computes how much of each route's requests goes to the target, so
// that a fault on a rare route is found as soon as one on a common route: each common
// route sends the target about as many requests as any other, with at most
// maxShareFactor times the share of all. The zero value has seen no requests. It is not
// safe for concurrent use.
type StratifiedSplit struct {
	requestsByRoute map[int]float64
	totalRequests   float64
}

// RecordRequest counts a request on a route.
func (s *StratifiedSplit) RecordRequest(route int) {
	if s.requestsByRoute == nil {
		s.requestsByRoute = map[int]float64{}
	}
	s.requestsByRoute[route]++
	s.totalRequests++
}

// Decay lowers the weight of the requests counted so far. Called at a steady pace, it
// makes the split follow the traffic of late.
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

// RouteShare returns the part of a route's requests, from 0 to 1, that goes to the
// target if share of all requests is to.
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

// isCommon reports whether a route with this number of requests is common.
func (s *StratifiedSplit) isCommon(requests float64) bool {
	return requests >= commonRouteFraction*s.totalRequests
}
