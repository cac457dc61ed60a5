package routing

import (
	"time"

	"lichentray/config"
)

// Route is one compiled route. It is not changed after Compile.
type Route struct {
	// Index is the index of the route in Table.Routes.
	Index  int
	Name   string
	Prefix string // of the path, matched byte by byte and not by segments
	Type   config.RouteType
	// Idempotent reports whether a request may be sent more than once, by the type of
	// the route.
	Idempotent    bool
	Priority      int
	TargetLatency time.Duration // 0: none
	Timeout       time.Duration
	MaxAttempts   int
	// Regions are those whose endpoints may serve the route; none: all.
	Regions     []string
	Backends    []Backend // at least one
	totalWeight float64
}

// Backend is one service that a route may send to.
type Backend struct {
	Service int // index in Table.Services
	Weight  float64
}

// PickService chooses a service by weight, and returns its index. x is a random number
// in [0,1).
func (r *Route) PickService(x float64) int {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	x *= r.totalWeight
	for _, b := range r.Backends {
		if x < b.Weight {
			return b.Service
		}
		x -= b.Weight
	}
	// Rounding has left x just above the last weight.
	for i := len(r.Backends) - 1; i >= 0; i-- {
		if r.Backends[i].Weight > 0 {
			return r.Backends[i].Service
		}
	}
	return r.Backends[0].Service
}
