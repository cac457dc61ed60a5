package loadbalance

import (
	"sort"
	"time"
)

// choicesPerDistance is how many endpoints at one distance are compared (the power
// of d choices). Of equally loaded ones, that with an idle connection is taken, so that
// each node uses a subset of the endpoints and needs no connection to each of them.
const choicesPerDistance = 3

// probeProbability is the chance of a pick to probe an endpoint whose ejection time
// has passed, while others can serve.
const probeProbability = 0.2

// unhealthyWeight scales the weight of an unhealthy endpoint. It leaves the few
// requests by which all nodes together notice that the endpoint has recovered.
const unhealthyWeight = 0.03

// candidateSet is the endpoints at one distance that can take a request.
type candidateSet struct {
	endpoints []*Endpoint
	// cumulativeWeights sums the weights up to and with each endpoint.
	cumulativeWeights []float64
}

func (c *candidateSet) reset() {
	c.endpoints = c.endpoints[:0]
	c.cumulativeWeights = c.cumulativeWeights[:0]
}

func (c *candidateSet) add(e *Endpoint, weight float64) {
	if n := len(c.cumulativeWeights); n > 0 {
		weight += c.cumulativeWeights[n-1]
	}
	c.endpoints = append(c.endpoints, e)
	c.cumulativeWeights = append(c.cumulativeWeights, weight)
}

// sample draws one endpoint by weight. The set must not be empty.
func (c *candidateSet) sample(random func() float64) *Endpoint {
	x := random() * c.cumulativeWeights[len(c.cumulativeWeights)-1]
	return c.endpoints[min(sort.SearchFloat64s(c.cumulativeWeights, x), len(c.endpoints)-1)]
}

// leastLoaded draws choicesPerDistance endpoints and returns the one with the
// lowest load relative to its capacity. The set must not be empty.
func (c *candidateSet) leastLoaded(random func() float64) *Endpoint {
	best := c.sample(random)
	for range choicesPerDistance - 1 {
		other := c.sample(random)
		// Compares inflight/Capacity without a division.
		bestLoad := best.inflight * other.Capacity
		otherLoad := other.inflight * best.Capacity
		hasIdle := other.IdleConnections > 0 && best.IdleConnections == 0
		if otherLoad < bestLoad || (bestLoad == otherLoad && hasIdle) {
			best = other
		}
	}
	return best
}

// Pick chooses an endpoint and counts a request as in flight there; the caller calls
// Finish with its outcome. random returns numbers in [0,1). skip, if not nil,
// excludes endpoints that have been attempted. The result is nil if no endpoint can
// take a request.
//
// With many nodes, what one of them has in flight at an endpoint is a poor estimate
// of its load, and all of them would overload the fastest endpoints. So each
// distance offers the least loaded of a few endpoints, drawn by latency and capacity,
// and Pick takes the cheapest of these offers.
func (p *Pool) Pick(now time.Duration, random func() float64, skip func(*Endpoint) bool) *Endpoint {
	p.refreshRolloutSubset()
	probe := p.collectCandidates(now, skip)
	picked := p.cheapestCandidate(now, random)
	switch {
	case probe != nil && (picked == nil || random() < probeProbability):
		picked = probe
		picked.ejection.beginProbe()
	case picked == nil:
		picked = p.pickEjected(now, skip)
	}
	if picked == nil {
		return nil
	}
	picked.inflight++
	if p.needsQuota(picked) {
		picked.quota.tokens--
	}
	return picked
}

// collectCandidates fills the candidate sets and returns the first endpoint whose
// ejection time has passed and which may be probed; nil if there is none.
func (p *Pool) collectCandidates(now time.Duration, skip func(*Endpoint) bool) (probe *Endpoint) {
	for i := range p.candidates {
		p.candidates[i].reset()
	}
	for _, e := range p.endpoints {
		if e.isExcluded() || (skip != nil && skip(e)) || (p.needsQuota(e) && !e.quota.hasToken(now)) {
			continue
		}
		if e.ejection.state != inService {
			if probe == nil && e.ejection.canProbe(now) {
				probe = e
			}
			continue
		}
		if now >= e.overloadedUntil && e.inflight < p.concurrencyLimit(e) {
			p.candidates[e.distance].add(e, p.weight(now, e))
		}
	}
	return probe
}

// weight returns the weight of an endpoint among those at its distance: its
// throughput, with more for the faster ones while slots are free; see SetUtilization.
func (p *Pool) weight(now time.Duration, e *Endpoint) float64 {
	latency := e.latencyFactor(now)
	weight := float64(e.Capacity) / latency * (1 + p.fastBias*(1/(latency*latency)-1))
	if e.unhealthy {
		weight *= unhealthyWeight
	}
	return weight
}

// cheapestCandidate returns the cheapest of the least loaded candidates at each
// distance, or nil if there is no candidate.
func (p *Pool) cheapestCandidate(now time.Duration, random func() float64) *Endpoint {
	var cheapest *Endpoint
	lowestCost := 0.0
	for i := range p.candidates {
		if len(p.candidates[i].endpoints) == 0 {
			continue
		}
		e := p.candidates[i].leastLoaded(random)
		if cost := e.expectedCost(now); cheapest == nil || cost < lowestCost {
			cheapest, lowestCost = e, cost
		}
	}
	return cheapest
}

// pickEjected returns, for when no endpoint is in service, the one whose ejection
// ends first and begins a probe there, so that a service whose endpoints have all
// failed once is attempted again.
func (p *Pool) pickEjected(now time.Duration, skip func(*Endpoint) bool) *Endpoint {
	var first *Endpoint
	for _, e := range p.endpoints {
		if e.ejection.state != ejected || e.isExcluded() || (skip != nil && skip(e)) || (p.needsQuota(e) && !e.quota.hasToken(now)) {
			continue
		}
		if first == nil || e.ejection.until < first.ejection.until {
			first = e
		}
	}
	if first != nil {
		first.ejection.beginProbe()
	}
	return first
}

// expectedCost returns the expected time of a request at the endpoint, in the usual
// latency of its route. It grows with the square of the requests in flight.
func (e *Endpoint) expectedCost(now time.Duration) float64 {
	inflight := float64(e.inflight)
	return e.latencyFactor(now)*(1+inflight*inflight/float64(e.Capacity)) + e.distanceCost + e.zoneLoadCost
}
