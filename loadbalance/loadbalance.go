// Package loadbalance chooses endpoints and bounds what is tried (load balancing,
// outlier detection, retry budget, admission). It is pure: the present moment
// and every random number come in as arguments.
package loadbalance

import (
	"sort"
	"time"
)

// EndpointSpec is what the registry says of one endpoint.
type EndpointSpec struct {
	ID          string
	Address     string
	Zone        string
	Version     string // of its software
	Capacity    int
	Draining    bool
	WarmingUp   bool
	RegionIndex int // a dense index; what is unknown is -1
}

// Endpoint is one endpoint's state as this node sees it.
type Endpoint struct {
	EndpointSpec
	// IdleConnections is how many idle connections this node has to the endpoint.
	IdleConnections int
	// VersionGroup is where its version stands; Front tells that it takes part of a trial.
	VersionGroup    VersionGroup
	InRolloutSubset bool
	idHash          uint64
	distance        int     // 0 in this zone, 1 in this region, 2 elsewhere
	distanceCost    float64 // what its distance adds to its cost
	zoneLoadCost    float64 // what the load of its zone adds
	zoneEvacuated   bool    // its zone is evacuated
	zoneReturning   bool    // its zone has just been taken back
	quota           quotaBucket
	inflight        int
	// latencyRatio is the learned time of an answer over what its route usually takes.
	latencyRatio        float64
	unreported          Observation // since the last report
	unhealthy           bool        // all nodes together say so
	latencySamples      int
	consecutiveFailures int
	ejectedUntil        time.Duration // ejected until
	probing             bool          // one request is out to see whether it is back
	warmingUntil        time.Duration // slow from its start until
	overloadedUntil     time.Duration // turned requests away until
	removed             bool
}

// Inflight is how many requests of this node are at the endpoint.
func (e *Endpoint) Inflight() int { return e.inflight }

// IsWithdrawn tells whether the registry has dropped the endpoint.
func (e *Endpoint) IsWithdrawn() bool { return e.removed || e.Draining }

// isExcluded tells whether nothing may be sent to the endpoint.
func (e *Endpoint) isExcluded() bool {
	return e.Draining || e.zoneEvacuated || e.VersionGroup == ExcludedVersion
}

// IsWarmingUp tells whether the endpoint is slow from its start.
func (e *Endpoint) IsWarmingUp(now time.Duration) bool {
	return now < e.warmingUntil || e.WarmingUp || e.zoneReturning
}

// IsEjected tells whether the endpoint is kept from ordinary choice.
func (e *Endpoint) IsEjected(now time.Duration) bool {
	return e.consecutiveFailures > 0 && now < e.ejectedUntil
}

// PoolConfig are a pool's figures.
type PoolConfig struct {
	Zone             string
	BaseEjectionTime time.Duration // after a first failure
	MaxEjectionTime  time.Duration
	// ZoneBias is how many requests more a near endpoint may have in hand before a
	// distanceCost one is as good.
	ZoneBias float64
	// RegionIndex is where this node is, and RegionBias the same for another region.
	RegionIndex int
	RegionBias  float64
}

// Pool is the endpoints of one service.
type Pool struct {
	cfg                PoolConfig
	endpoints          []*Endpoint
	byID               map[string]*Endpoint
	peerCount          int // nodes that share the endpoints
	maxConnections     int
	warmupRate         float64              // what a cold endpoint bears a second; 0: any load
	zoneStates         map[string]ZoneState // those that are not in ordinary use
	candidates         [3]candidateSet      // of the pick under way
	verdictsUntil      time.Duration        // until then the verdicts of all nodes hold
	fastBias           float64              // towards the faster endpoints, 0 to 1
	versions           Versions
	rolloutSubsetStale bool // which endpoints are Front is to be found anew
}

// ZoneState is how a zone is used. The zero value is ordinary use.
type ZoneState uint8

// The uses of a zone.
const (
	ZoneActive    ZoneState = iota
	ZoneEvacuated           // evacuated: nothing is sent there
	ZoneReturning           // taken back: its endpoints count as cold
)

// NewPool makes a pool without endpoints.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, byID: map[string]*Endpoint{}, peerCount: 1, zoneStates: map[string]ZoneState{}}
}

// SetWarmupRate tells how many requests a second a cold endpoint bears; it then
// gets only what is granted. 0 is no bound.
func (p *Pool) SetWarmupRate(rate float64) { p.warmupRate = rate }

// SetZoneState tells how a zone is used.
func (p *Pool) SetZoneState(zone string, z ZoneState) {
	p.zoneStates[zone] = z
	for _, e := range p.endpoints {
		if e.Zone == zone {
			e.zoneEvacuated, e.zoneReturning = z == ZoneEvacuated, z == ZoneReturning
		}
	}
}

// ApplyGrant takes a share of a cold endpoint that holds until a moment.
func (p *Pool) ApplyGrant(now time.Duration, g Grant, until time.Duration) {
	if e := p.byID[g.Endpoint]; e != nil {
		e.quota.renew(now, g.Rate, until)
	}
}

// SetZoneLoads takes how many requests all nodes have at the endpoints of each
// zone. A zone that comes near to being full costs more, so that the next one
// takes what is too much for it before its queues stand.
func (p *Pool) SetZoneLoads(inflight map[string]float64) {
	slots := map[string]float64{}
	for _, e := range p.endpoints {
		if !e.isExcluded() {
			slots[e.Zone] += float64(e.Capacity)
		}
	}
	for _, e := range p.endpoints {
		e.zoneLoadCost = max(0, inflight[e.Zone]/max(1, slots[e.Zone])-zoneLoadThreshold) * zoneLoadPenalty
	}
}

// Above crowded of a zone's slots in use, each further tenth costs a tenth of
// crowdCost.
const (
	zoneLoadThreshold = 0.7
	zoneLoadPenalty   = 8
)

// SetPeerCount tells how many nodes share the endpoints.
func (p *Pool) SetPeerCount(n int) { p.peerCount = max(1, n) }

// SetMaxConnections tells how many connections an endpoint takes from all nodes
// together; 0 is no bound.
func (p *Pool) SetMaxConnections(n int) { p.maxConnections = n }

// RecordRejection notes that an endpoint turned a request away because it is full.
func (p *Pool) RecordRejection(now time.Duration, e *Endpoint) {
	e.overloadedUntil = now + p.cfg.BaseEjectionTime/8
	e.unreported = e.unreported.Add(Observation{Answers: 1, Times: rejectionLatencyRatio})
}

// rejectionLatencyRatio is what a request that was turned away counts as.
const rejectionLatencyRatio = 3

// Endpoints gives the present endpoints.
func (p *Pool) Endpoints() []*Endpoint { return p.endpoints }

// SlotsAndInflight is how many requests the endpoints that may be chosen work on at once,
// and how many this node has there. Requests stuck at an endpoint that was
// ejected say nothing about how full the others are. While two versions are sent
// to, the slots are those of the one that carries most.
func (p *Pool) SlotsAndInflight(now time.Duration) (slots, inflight int) {
	main := BaseVersion
	if p.versions.TargetShare > 0.5 {
		main = TargetVersion
	}
	for _, e := range p.endpoints {
		if !e.isExcluded() && !e.IsEjected(now) {
			if e.VersionGroup == main {
				slots += e.Capacity
			}
			inflight += e.inflight
		}
	}
	return slots, inflight
}

// Upsert adds or changes an endpoint; cold is how much longer it is slow.
func (p *Pool) Upsert(now time.Duration, s EndpointSpec, cold time.Duration) *Endpoint {
	if s.Capacity < 1 {
		s.Capacity = 1
	}
	e := p.byID[s.ID]
	if e == nil {
		e = &Endpoint{latencyRatio: 1, idHash: hashPair(s.ID, "")}
		p.byID[s.ID] = e
		p.endpoints = append(p.endpoints, e)
	}
	if e.EndpointSpec != s {
		e.EndpointSpec, e.VersionGroup, p.rolloutSubsetStale = s, p.versions.group(s.Version), true
	}
	e.distanceCost, e.distance = 0, 0
	if s.Zone != p.cfg.Zone {
		e.distanceCost, e.distance = p.cfg.ZoneBias, 1
		if s.RegionIndex != p.cfg.RegionIndex {
			e.distanceCost, e.distance = p.cfg.RegionBias, 2
		}
	}
	e.zoneEvacuated, e.zoneReturning = p.zoneStates[s.Zone] == ZoneEvacuated, p.zoneStates[s.Zone] == ZoneReturning
	if cold > 0 {
		e.warmingUntil = now + cold
	}
	return e
}

// Remove drops an endpoint. Requests that are out keep their pointer.
func (p *Pool) Remove(id string) *Endpoint {
	e := p.byID[id]
	if e == nil {
		return nil
	}
	e.removed, p.rolloutSubsetStale = true, true
	delete(p.byID, id)
	for i, x := range p.endpoints {
		if x == e {
			p.endpoints = append(p.endpoints[:i], p.endpoints[i+1:]...)
			break
		}
	}
	return e
}

// expectedCost is the expected wait and work at an endpoint, in units of an ordinary
// answer's time.
func (p *Pool) expectedCost(now time.Duration, e *Endpoint) float64 {
	in := float64(e.inflight)
	return p.latencyFactor(now, e)*(1+in*in/float64(e.Capacity)) + e.distanceCost + e.zoneLoadCost
}

// latencyFactor is how long an endpoint takes over what is usual.
func (p *Pool) latencyFactor(now time.Duration, e *Endpoint) float64 {
	if e.IsWarmingUp(now) {
		return 2 * e.latencyRatio
	}
	return e.latencyRatio
}

// needsQuota tells whether the endpoint gets only what is granted.
func (p *Pool) needsQuota(e *Endpoint) bool {
	return p.warmupRate > 0 && (e.WarmingUp || e.zoneReturning)
}

// choicesPerDistance is how many endpoints of a distance are compared. Of equally full ones
// that with an idle connection is taken: so each node keeps to a part of the
// endpoints, another one at every node, without a connection to each of them.
const choicesPerDistance = 3

// distance is the endpoints at one distance that can take a request. weight sums
// up to and with each of them.
type candidateSet struct {
	endpoints         []*Endpoint
	cumulativeWeights []float64
}

func (t *candidateSet) add(e *Endpoint, w float64) {
	if n := len(t.cumulativeWeights); n > 0 {
		w += t.cumulativeWeights[n-1]
	}
	t.endpoints, t.cumulativeWeights = append(t.endpoints, e), append(t.cumulativeWeights, w)
}

// sample gives one endpoint by weight.
func (t *candidateSet) sample(rnd func() float64) *Endpoint {
	x := rnd() * t.cumulativeWeights[len(t.cumulativeWeights)-1]
	return t.endpoints[min(sort.SearchFloat64s(t.cumulativeWeights, x), len(t.endpoints)-1)]
}

// Pick chooses an endpoint and counts the request as out to it. skip keeps out
// those already tried. Nil means that none can take a request.
//
// With many nodes, what one of them has at an endpoint says little of how full
// it is, and all would crowd the endpoints that are fastest. So each distance
// (this zone, this region, elsewhere) offers the emptiest of a few endpoints
// drawn by their pace and capacity, and the cheapest of these is taken.
func (p *Pool) Pick(now time.Duration, rnd func() float64, skip func(*Endpoint) bool) *Endpoint {
	var best, back *Endpoint
	p.refreshRolloutSubset()
	for i := range p.candidates {
		p.candidates[i].endpoints, p.candidates[i].cumulativeWeights = p.candidates[i].endpoints[:0], p.candidates[i].cumulativeWeights[:0]
	}
	for _, e := range p.endpoints {
		if e.isExcluded() || (skip != nil && skip(e)) || (p.needsQuota(e) && !e.quota.hasToken(now)) {
			continue
		}
		if e.consecutiveFailures > 0 {
			if now >= e.ejectedUntil && !e.probing && back == nil {
				back = e
			}
			continue
		}
		if now < e.overloadedUntil || e.inflight >= p.concurrencyLimit(e) {
			continue
		}
		pace := p.latencyFactor(now, e)
		w := float64(e.Capacity) / pace * (1 + p.fastBias*(1/(pace*pace)-1))
		if e.unhealthy {
			w *= unhealthyWeight
		}
		p.candidates[e.distance].add(e, w)
	}
	bestCost := 0.0
	for i := range p.candidates {
		t := &p.candidates[i]
		if len(t.endpoints) == 0 {
			continue
		}
		e := t.sample(rnd)
		for range choicesPerDistance - 1 {
			other := t.sample(rnd)
			a, b := e.inflight*other.Capacity, other.inflight*e.Capacity
			if b < a || (a == b && other.IdleConnections > 0 && e.IdleConnections == 0) {
				e = other
			}
		}
		if c := p.expectedCost(now, e); best == nil || c < bestCost {
			best, bestCost = e, c
		}
	}
	if back != nil && (best == nil || rnd() < 0.2) {
		back.probing = true
		best = back
	}
	if best == nil {
		best = p.pickEjected(now, skip)
	}
	if best != nil {
		best.inflight++
		if p.needsQuota(best) {
			best.quota.tokens--
		}
	}
	return best
}

// unhealthyWeight leaves an ill endpoint the few requests by which all nodes together
// notice that it is well again.
const unhealthyWeight = 0.03

// pickEjected is the choice when every endpoint is ejected: the one whose time is up
// first, so that a service whose endpoints all failed once is tried again.
func (p *Pool) pickEjected(now time.Duration, skip func(*Endpoint) bool) *Endpoint {
	var best *Endpoint
	for _, e := range p.endpoints {
		if e.isExcluded() || e.consecutiveFailures == 0 || e.probing || (skip != nil && skip(e)) || (p.needsQuota(e) && !e.quota.hasToken(now)) {
			continue
		}
		if best == nil || e.ejectedUntil < best.ejectedUntil {
			best = e
		}
	}
	if best != nil {
		best.probing = true
	}
	return best
}

// concurrencyLimit is how many requests this node may have out to one endpoint.
func (p *Pool) concurrencyLimit(e *Endpoint) int {
	n := e.Capacity + 2
	if p.maxConnections > 0 {
		n = max(1, min(n, p.maxConnections/p.peerCount))
	}
	return n
}

// RecordFailure notes that an answer that was counted as well broke off later.
func (p *Pool) RecordFailure(now time.Duration, e *Endpoint) {
	e.unreported.Bad++
	e.consecutiveFailures++
	e.ejectedUntil = now + min(p.cfg.BaseEjectionTime<<min(e.consecutiveFailures-1, 6), p.cfg.MaxEjectionTime)
}

// Finish takes a request's outcome: took is its time over what its route
// usually takes, or 0 if that says nothing.
func (p *Pool) Finish(now time.Duration, e *Endpoint, ok bool, took float64) {
	e.inflight--
	e.probing = false
	if !ok {
		p.RecordFailure(now, e)
		return
	}
	e.consecutiveFailures = 0
	if took > 0 {
		e.unreported = e.unreported.Add(Observation{Answers: 1, Times: min(took, 8)})
	}
	if took > 0 && now >= e.warmingUntil && now >= p.verdictsUntil {
		e.latencySamples++
		a := max(0.06, 1/float64(e.latencySamples+4))
		e.latencyRatio += a * (min(took, 4) - e.latencyRatio)
	}
}
