package loadbalance

import (
	"slices"
	"time"
)

// EndpointSpec describes an endpoint as registered.
type EndpointSpec struct {
	ID      string
	Address string // host:port
	Zone    string
	Version string // software version
	// Capacity is the number of requests that the endpoint processes concurrently (its slots).
	Capacity  int
	Draining  bool
	WarmingUp bool
	// RegionIndex is the dense index of the endpoint's region, or -1 if it is unknown.
	RegionIndex int
}

// Endpoint is this node's view of one endpoint of a Pool. After its removal from the pool it
// remains valid while requests are in flight.
type Endpoint struct {
	EndpointSpec
	// IdleConnections is the number of idle connections that this node has to the endpoint.
	// The owner of the connections sets it.
	IdleConnections int
	// VersionGroup is the group of the endpoint's version; see Versions.
	VersionGroup VersionGroup
	// InRolloutSubset reports whether the endpoint belongs to the subset that serves the
	// traffic share of a target version under rollout.
	InRolloutSubset bool

	// Pick reads the following fields of every endpoint. They are adjacent for cache locality.
	distance        distance
	zoneState       ZoneState
	unhealthy       bool    // according to the last verdict
	inflight        int     // requests of this node
	latencyRatio    float64 // learned latency relative to the usual latency of the route
	ejection        ejection
	warmingUntil    time.Duration // estimated end of slow start
	overloadedUntil time.Duration // end of the pause after a rejection

	quota          quotaBucket
	distanceCost   float64 // in units of expectedCost
	zoneLoadCost   float64 // in units of expectedCost
	latencySamples int     // number of samples in latencyRatio
	unreported     Observation
	idHash         uint64 // sort key that is the same on every node
	removed        bool   // no longer in the registry
}

// Inflight returns the number of requests that this node has in flight at the endpoint.
func (e *Endpoint) Inflight() int { return e.inflight }

// IsWithdrawn reports whether the endpoint is draining or was removed from the registry.
func (e *Endpoint) IsWithdrawn() bool { return e.removed || e.Draining }

// isExcluded reports whether the endpoint must not receive any request, not even a probe.
func (e *Endpoint) isExcluded() bool {
	return e.Draining || e.zoneState == ZoneEvacuated || e.VersionGroup == ExcludedVersion
}

// PoolConfig is the configuration of a Pool.
type PoolConfig struct {
	// Zone is the zone of this node, and RegionIndex the dense index of its region.
	Zone        string
	RegionIndex int
	// BaseEjectionTime is the duration of the first ejection. Each further consecutive
	// failure doubles the duration, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// ZoneBias is the additional cost of an endpoint in another zone of the same region, and
	// RegionBias that of an endpoint in another region, in multiples of the usual latency of
	// a route.
	ZoneBias   float64
	RegionBias float64
}

// Pool holds the endpoints of one service and selects among them. It is not safe for
// concurrent use.
type Pool struct {
	cfg            PoolConfig
	endpoints      []*Endpoint
	byID           map[string]*Endpoint
	peerCount      int // number of nodes that share the endpoints, at least 1
	maxConnections int // per endpoint, from all nodes together; 0: unlimited
	// warmUpRate is the number of requests per second that an endpoint can serve while it
	// warms up; 0: unlimited.
	warmUpRate float64
	zoneStates map[string]ZoneState
	candidates [distanceCount]candidateSet // scratch space of Pick
	// verdictsUntil is when the last verdicts expire.
	verdictsUntil      time.Duration
	lowLatencyBias     float64 // preference for fast endpoints, from 0 to 1
	versions           Versions
	rolloutSubsetStale bool // Endpoint.InRolloutSubset must be recomputed
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{
		cfg:        cfg,
		byID:       map[string]*Endpoint{},
		peerCount:  1,
		zoneStates: map[string]ZoneState{},
	}
}

// SetPeerCount sets the number of nodes that share the endpoints.
func (p *Pool) SetPeerCount(n int) { p.peerCount = max(1, n) }

// SetMaxConnections sets how many connections an endpoint accepts from all nodes together.
// 0 means no limit.
func (p *Pool) SetMaxConnections(n int) { p.maxConnections = n }

// Endpoints returns the current endpoints. The caller must not modify the slice.
func (p *Pool) Endpoints() []*Endpoint { return p.endpoints }

// SlotsAndInflight returns the number of slots of the available endpoints, and the number of
// requests that this node has in flight there. Requests that hang at an ejected endpoint are
// not counted, because they occupy no slot of the others. While two versions receive
// requests, only the slots of the version with the larger share are counted.
func (p *Pool) SlotsAndInflight(now time.Duration) (slots, inflight int) {
	counted := BaseVersion
	if p.versions.TargetShare > 0.5 {
		counted = TargetVersion
	}
	for _, e := range p.endpoints {
		if e.isExcluded() || e.IsEjected(now) {
			continue
		}
		if e.VersionGroup == counted {
			slots += e.Capacity
		}
		inflight += e.inflight
	}
	return slots, inflight
}

// Upsert adds an endpoint, or updates the one with the same ID, and returns it. warmUp is
// the remaining duration of its slow start; 0 leaves the estimated end unchanged.
func (p *Pool) Upsert(now time.Duration, spec EndpointSpec, warmUp time.Duration) *Endpoint {
	spec.Capacity = max(1, spec.Capacity)
	e := p.byID[spec.ID]
	if e == nil {
		e = &Endpoint{latencyRatio: 1, idHash: hashPair(spec.ID, "")}
		p.byID[spec.ID] = e
		p.endpoints = append(p.endpoints, e)
	}
	if e.EndpointSpec != spec {
		e.EndpointSpec = spec
		e.VersionGroup = p.versions.group(spec.Version)
		p.rolloutSubsetStale = true
	}
	e.distance = p.distanceTo(spec)
	e.distanceCost = p.cfg.costOf(e.distance)
	e.zoneState = p.zoneStates[spec.Zone]
	if warmUp > 0 {
		e.warmingUntil = now + warmUp
	}
	return e
}

// Remove removes the endpoint with an ID and returns it, or nil if there is none. Requests
// in flight keep their pointer to the endpoint and are finished as usual.
func (p *Pool) Remove(id string) *Endpoint {
	e := p.byID[id]
	if e == nil {
		return nil
	}
	e.removed = true
	p.rolloutSubsetStale = true
	delete(p.byID, id)
	if i := slices.Index(p.endpoints, e); i >= 0 {
		p.endpoints = slices.Delete(p.endpoints, i, i+1)
	}
	return e
}

// concurrencyLimit returns how many requests this node may have in flight at one endpoint:
// its slots plus a short queue, within this node's share of the connections.
func (p *Pool) concurrencyLimit(e *Endpoint) int {
	limit := e.Capacity + maxQueuedPerEndpoint
	if p.maxConnections > 0 {
		limit = max(1, min(limit, p.maxConnections/p.peerCount))
	}
	return limit
}

// maxQueuedPerEndpoint is how many requests of this node may queue at an endpoint.
const maxQueuedPerEndpoint = 2

// Finish records the outcome of a request for which Pick returned the endpoint. If ok is
// false, the endpoint is ejected. latencyRatio is the response time relative to the usual
// latency of the route, or 0 if the response time does not reflect the endpoint's latency.
func (p *Pool) Finish(now time.Duration, e *Endpoint, ok bool, latencyRatio float64) {
	e.inflight--
	e.ejection.endProbe()
	if !ok {
		p.RecordFailure(now, e)
		return
	}
	e.ejection.clear()
	if latencyRatio <= 0 {
		return
	}
	e.unreported = e.unreported.Add(Observation{Answers: 1, Times: min(latencyRatio, maxReportedLatencyRatio)})
	if now >= e.warmingUntil && now >= p.verdictsUntil {
		e.learnLatency(latencyRatio)
	}
}

// Upper bounds on one latency sample, so that a single response does not dominate the mean.
const (
	maxReportedLatencyRatio = 8
	maxLearnedLatencyRatio  = 4
)

// minLatencySmoothingFactor is the weight of a new sample in the moving average after many
// samples. The first samples have more weight.
const minLatencySmoothingFactor = 0.06

// learnLatency adds a sample to the moving average of the latency ratio.
func (e *Endpoint) learnLatency(sample float64) {
	e.latencySamples++
	factor := max(minLatencySmoothingFactor, 1/float64(e.latencySamples+4))
	e.latencyRatio += factor * (min(sample, maxLearnedLatencyRatio) - e.latencyRatio)
}
