package routing

import (
	"time"

	"lichentray/config"
)

// Route is a compiled route. It is immutable after Compile.
type Route struct {
	// Index is the index of the route in Table.Routes.
	Index  int
	Name   string
	Prefix string // path prefix, matched byte by byte and not by segments
	Type   config.RouteType
	// Idempotent reports whether the type of the route allows a request to be sent more than
	// once.
	Idempotent    bool
	Priority      int
	TargetLatency time.Duration // 0: none
	Timeout       time.Duration
	MaxAttempts   int
	// Regions lists the regions whose endpoints may serve the route; empty: all regions.
	Regions     []string
	Backends    []Backend // at least one
	totalWeight float64
}

// Backend is one of the services to which a route may forward requests.
type Backend struct {
	ServiceIndex int // index in Table.Services
	Weight       float64
}

// PickService selects a service by weight and returns its index in Table.Services. x is a
// random number in [0,1).
func (r *Route) PickService(x float64) int {
	if len(r.Backends) == 1 {
		return r.Backends[0].ServiceIndex
	}
	x *= r.totalWeight
	for _, b := range r.Backends {
		if x < b.Weight {
			return b.ServiceIndex
		}
		x -= b.Weight
	}
	// Because of rounding, x was not below the last weight. Use the last backend whose weight
	// is above 0.
	for i := len(r.Backends) - 1; i >= 0; i-- {
		if r.Backends[i].Weight > 0 {
			return r.Backends[i].ServiceIndex
		}
	}
	return r.Backends[0].ServiceIndex
}
