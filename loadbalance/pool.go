package loadbalance

import (
	"slices"
	"time"
)

// EndpointSpec is an endpoint as the registry describes it.
type EndpointSpec struct {
	ID      string
	Address string // host:port
	Zone    string
	Version string // version of the software that the endpoint runs
	// Capacity is how many requests the endpoint works on at once.
	Capacity  int
	Draining  bool
	WarmingUp bool
	// RegionIndex is a dense index of the endpoint's region, -1 if that is unknown.
	RegionIndex int
}

// Endpoint is the state of one endpoint as this node sees it. It belongs to a
// Pool, and is valid after its removal for as long as requests are in flight.
type Endpoint struct {
	EndpointSpec
	// IdleConnections is how many idle connections this node has to the endpoint.
	// The owner of the connections sets it.
	IdleConnections int
	// VersionGroup is the group of the endpoint's version; see Versions.
	VersionGroup VersionGroup
	// InRolloutSubset reports whether the endpoint is one of those that serve the
	// share of a target version under roll-out.
	InRolloutSubset bool

	// The fields that Pick reads of every endpoint are adjacent, for locality in the cache.
	distance        distance
	zoneState       ZoneState
	unhealthy       bool    // by the verdict of all nodes together
	inflight        int     // requests of this node
	latencyRatio    float64 // learned latency, divided by the usual one of the route
	ejection        ejection
	warmingUntil    time.Duration // end of the slow start
	overloadedUntil time.Duration // end of the pause after a rejection

	quota          quotaBucket
	distanceCost   float64 // in units of expectedCost
	zoneLoadCost   float64 // in units of expectedCost
	latencySamples int     // number of samples in latencyRatio
	unreported     Observation
	idHash         uint64 // orders the endpoints alike on every node
	removed        bool   // no longer in the registry
}

// Inflight returns how many requests of this node are in flight at the endpoint.
func (e *Endpoint) Inflight() int { return e.inflight }

// IsWithdrawn reports whether the endpoint is draining or was deleted from the registry.
func (e *Endpoint) IsWithdrawn() bool { return e.removed || e.Draining }

// isExcluded reports whether no request at all may be sent to the endpoint.
func (e *Endpoint) isExcluded() bool {
	return e.Draining || e.zoneState == ZoneEvacuated || e.VersionGroup == ExcludedVersion
}

// PoolConfig is the configuration of a Pool.
type PoolConfig struct {
	// Zone is the zone of this node, RegionIndex the dense index of its region.
	Zone        string
	RegionIndex int
	// BaseEjectionTime is the duration of the first ejection. Each further failure
	// in a row doubles it, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// ZoneBias is the cost of an endpoint in another zone of this region, RegionBias
	// that of one in another region, in the usual latency of a route.
	ZoneBias   float64
	RegionBias float64
}

// Pool holds the endpoints of one service and chooses among them. It is not safe
// for concurrent use.
type Pool struct {
	cfg            PoolConfig
	endpoints      []*Endpoint
	byID           map[string]*Endpoint
	peerCount      int // nodes that share the endpoints, at least 1
	maxConnections int // that an endpoint takes from all nodes; 0: unlimited
	// warmupRate is how many requests per second an endpoint can serve while it warms up;
	// 0: unlimited.
	warmupRate float64
	zoneStates map[string]ZoneState
	candidates [distances]candidateSet // scratch space of Pick
	// verdictsUntil is when the verdicts of all nodes expire.
	verdictsUntil      time.Duration
	fastBias           float64 // preference for faster endpoints, from 0 to 1
	versions           Versions
	rolloutSubsetStale bool // InRolloutSubset of the endpoints has to be recomputed
}

// NewPool returns a pool without endpoints.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{
		cfg:        cfg,
		byID:       map[string]*Endpoint{},
		peerCount:  1,
		zoneStates: map[string]ZoneState{},
	}
}

// SetPeerCount sets how many nodes share the endpoints.
func (p *Pool) SetPeerCount(n int) { p.peerCount = max(1, n) }

// SetMaxConnections sets how many connections an endpoint takes from all nodes
// together. 0 means that there is no limit.
func (p *Pool) SetMaxConnections(n int) { p.maxConnections = n }

// Endpoints returns the present endpoints. The caller must not change the slice.
func (p *Pool) Endpoints() []*Endpoint { return p.endpoints }

// SlotsAndInflight returns how many requests the endpoints that may be picked work
// on at once, and how many of this node are in flight there. Requests that hang at
// an ejected endpoint are not counted, as they take no slot of the others. While two versions
// receive requests, the slots are those of the version with the larger share.
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

// Upsert adds an endpoint or changes the one with the same ID, and returns it.
// warmup is how much longer its slow start lasts; 0 leaves the end as it was.
func (p *Pool) Upsert(now time.Duration, spec EndpointSpec, warmup time.Duration) *Endpoint {
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
	if warmup > 0 {
		e.warmingUntil = now + warmup
	}
	return e
}

// Remove removes an endpoint and returns it, or nil if there is none with this ID.
// Requests in flight keep their pointer, and are finished as usual.
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

// concurrencyLimit returns how many requests this node may have in flight at one
// endpoint: a short queue beyond its slots, within this node's part of the
// connections.
func (p *Pool) concurrencyLimit(e *Endpoint) int {
	limit := e.Capacity + maxQueuedPerEndpoint
	if p.maxConnections > 0 {
		limit = max(1, min(limit, p.maxConnections/p.peerCount))
	}
	return limit
}

// maxQueuedPerEndpoint is how many requests of this node may wait at an endpoint.
const maxQueuedPerEndpoint = 2

// Finish records the outcome of a request that Pick sent to an endpoint. If ok is
// false, the endpoint is ejected. latencyRatio is the time to the answer divided by
// the usual one of its route, or 0 if the time is no measure of the endpoint's latency.
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

// Bounds on one latency sample, so that a single response does not dominate the mean.
const (
	maxReportedLatencyRatio = 8
	maxLearnedLatencyRatio  = 4
)

// minLatencyGain is the weight of a new sample in the moving average once there are
// many. The first ones weigh more.
const minLatencyGain = 0.06

// learnLatency takes a sample into the moving average of the latency ratio.
func (e *Endpoint) learnLatency(sample float64) {
	e.latencySamples++
	gain := max(minLatencyGain, 1/float64(e.latencySamples+4))
	e.latencyRatio += gain * (min(sample, maxLearnedLatencyRatio) - e.latencyRatio)
}
