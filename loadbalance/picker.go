package loadbalance

import (
	"sort"
	"time"
)

// choicesPerDistance is the number of random endpoints compared at each distance (power of
// d choices). Among equally loaded endpoints, one with an idle connection is preferred, so
// that a node uses a subset of the endpoints and does not need a connection to each.
const choicesPerDistance = 3

// probeProbability is the probability that Pick probes an endpoint whose ejection time has
// passed although other endpoints are available.
const probeProbability = 0.2

// unhealthyWeight scales the weight of an unhealthy endpoint. It is above 0 so that the
// nodes together still send enough requests to detect a recovery.
const unhealthyWeight = 0.03

// candidateSet holds the endpoints at one distance that can take a request.
type candidateSet struct {
	endpoints []*Endpoint
	// cumulativeWeights[i] is the sum of the weights of endpoints[0] to endpoints[i].
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

// sample draws a random endpoint by weight. The set must not be empty.
func (c *candidateSet) sample(random func() float64) *Endpoint {
	x := random() * c.cumulativeWeights[len(c.cumulativeWeights)-1]
	return c.endpoints[min(sort.SearchFloat64s(c.cumulativeWeights, x), len(c.endpoints)-1)]
}

// leastLoaded samples choicesPerDistance endpoints and returns the one with the lowest
// load relative to its capacity. The set must not be empty.
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

// Pick selects an endpoint and counts a request as in flight there. The caller reports the
// outcome with Finish. random returns numbers in [0,1). skip, if not nil, excludes
// endpoints, such as those already attempted. Pick returns nil if no endpoint can take a
// request.
//
// With many nodes, the requests that one node has in flight at an endpoint are a poor
// estimate of its load, and choosing the cheapest endpoint would make all nodes overload
// the fastest ones. Pick therefore samples a few endpoints at each distance, weighted by
// latency and capacity, keeps the least loaded of each sample, and returns the cheapest of
// these.
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

// collectCandidates fills the candidate sets, and returns the first endpoint that is due for
// a probe after its ejection, or nil if there is none.
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

// weight returns the sampling weight of an endpoint among those at its distance: its
// throughput, increased for fast endpoints while slots are free (see SetUtilization).
func (p *Pool) weight(now time.Duration, e *Endpoint) float64 {
	latency := e.latencyFactor(now)
	weight := float64(e.Capacity) / latency * (1 + p.lowLatencyBias*(1/(latency*latency)-1))
	if e.unhealthy {
		weight *= unhealthyWeight
	}
	return weight
}

// cheapestCandidate samples the least loaded candidate at each distance and returns the one
// with the lowest expected cost, or nil if there are no candidates.
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

// pickEjected begins a probe of the endpoint whose ejection ends first, and returns it. It
// is used when no endpoint is available, so that a service whose endpoints have all been
// ejected is attempted again.
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

// expectedCost returns the expected cost of a request at the endpoint, in multiples of the
// usual latency of its route. It grows with the square of the requests in flight.
func (e *Endpoint) expectedCost(now time.Duration) float64 {
	inflight := float64(e.inflight)
	return e.latencyFactor(now)*(1+inflight*inflight/float64(e.Capacity)) + e.distanceCost + e.zoneLoadCost
}
