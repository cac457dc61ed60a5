package loadbalance

import (
	"cmp"
	"math"
	"slices"
)

// distance is how far an endpoint is from this node.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion

	distances // their number
)

// String returns the name of the distance.
func (d distance) String() string {
	switch d {
	case sameZone:
		return "same zone"
	case sameRegion:
		return "same region"
	case otherRegion:
		return "other region"
	}
	return "unknown"
}

// distanceTo returns how far an endpoint is from this node.
func (p *Pool) distanceTo(spec EndpointSpec) distance {
	switch {
	case spec.Zone == p.cfg.Zone:
		return sameZone
	case spec.RegionIndex == p.cfg.RegionIndex:
		return sameRegion
	}
	return otherRegion
}

// costOf returns what a distance adds to the cost of an endpoint.
func (c *PoolConfig) costOf(d distance) float64 {
	switch d {
	case sameZone:
		return 0
	case sameRegion:
		return c.ZoneBias
	}
	return c.RegionBias
}

// ZoneState is whether requests may be sent to a zone. The zero value is ZoneActive.
type ZoneState uint8

const (
	// ZoneActive means that requests are sent to the zone.
	ZoneActive ZoneState = iota
	// ZoneEvacuated means that nothing may be sent to the zone.
	ZoneEvacuated
	// ZoneReturning means that the evacuation of the zone is being ended, so that its
	// endpoints count as warming up.
	ZoneReturning
)

// String returns the name of the state.
func (z ZoneState) String() string {
	switch z {
	case ZoneActive:
		return "active"
	case ZoneEvacuated:
		return "evacuated"
	case ZoneReturning:
		return "returning"
	}
	return "unknown"
}

// SetZoneState sets the state of a zone for its present and future endpoints.
func (p *Pool) SetZoneState(zone string, state ZoneState) {
	p.zoneStates[zone] = state
	for _, e := range p.endpoints {
		if e.Zone == zone {
			e.zoneState = state
		}
	}
}

// SetZoneLoads sets how many requests of all nodes are in flight at the endpoints of
// each zone. A zone that is nearly full costs more, so that the next one takes the
// overflow before queues build up.
func (p *Pool) SetZoneLoads(inflight map[string]float64) {
	slots := map[string]float64{}
	for _, e := range p.endpoints {
		if !e.isExcluded() {
			slots[e.Zone] += float64(e.Capacity)
		}
	}
	for _, e := range p.endpoints {
		utilization := inflight[e.Zone] / max(1, slots[e.Zone])
		e.zoneLoadCost = max(0, utilization-zoneLoadThreshold) * zoneLoadPenalty
	}
}

// Above zoneLoadThreshold of a zone's slots, each further tenth in use costs a tenth
// of zoneLoadPenalty.
const (
	zoneLoadThreshold = 0.7
	zoneLoadPenalty   = 8
)

// ProxyNode is a proxy node as the directory knows it.
type ProxyNode struct {
	Address string
	Zone    string
	// Weight is the capacity of the node relative to the others.
	Weight   float64
	Draining bool
}

// SelectProxies returns the addresses of the proxy nodes that a client should use, at
// most limit of them: nodes in its zone; nodes in its region if its zone has few left;
// else any. A zone has few left when it has less than half the mean number per zone.
// Draining nodes are returned only if there are no others.
//
// Clients spread evenly over the nodes that they are given. So that a node with more
// capacity is given to more clients, each client gets as few as it takes for the
// strongest node to receive its part, but two at least. Weighted rendezvous hashing
// under the client's key decides which: a client gets the same nodes until some come
// or go, and little else changes then.
func SelectProxies(nodes []ProxyNode, key, zone, region string, regionOf func(zone string) string, limit int) []string {
	eligible := proxiesNear(nodes, zone, region, regionOf)
	total, strongest := 0.0, 0.0
	for _, n := range eligible {
		total += n.effectiveWeight()
		strongest = max(strongest, n.effectiveWeight())
	}
	// The small addition keeps a quotient that is an integer from being rounded down.
	wanted := int(total/max(strongest, minProxyWeight) + 1e-6)
	count := min(len(eligible), limit, max(minProxiesPerClient, wanted))

	type ranked struct {
		address string
		rank    float64
	}
	ranking := make([]ranked, len(eligible))
	for i, n := range eligible {
		rank := -math.Log(hashToUnit(key, n.Address)) / n.effectiveWeight()
		ranking[i] = ranked{n.Address, rank}
	}
	slices.SortFunc(ranking, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = ranking[i].address
	}
	return addresses
}

const (
	minProxiesPerClient = 2
	minProxyWeight      = 1e-3
)

// effectiveWeight returns the weight, which has to be above 0.
func (n ProxyNode) effectiveWeight() float64 { return max(n.Weight, minProxyWeight) }

// proxiesNear returns the nodes that a client in a zone and region may use, before any
// choice among them.
func proxiesNear(nodes []ProxyNode, zone, region string, regionOf func(zone string) string) []ProxyNode {
	var inZone, inRegion, serving, draining []ProxyNode
	zones := map[string]bool{}
	for _, n := range nodes {
		zones[n.Zone] = true
		if n.Draining {
			draining = append(draining, n)
			continue
		}
		serving = append(serving, n)
		if n.Zone == zone {
			inZone = append(inZone, n)
		}
		if r := regionOf(n.Zone); r != "" && r == region {
			inRegion = append(inRegion, n)
		}
	}
	isZoneShort := 2*len(inZone)*len(zones) < len(serving)
	switch {
	case len(inZone) > 0 && !isZoneShort:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	case len(serving) > 0:
		return serving
	}
	return draining
}
