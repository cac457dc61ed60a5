package loadbalance

import (
	"cmp"
	"math"
	"slices"
)

// distance is the network distance from this node to an endpoint.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion

	distanceCount
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

// distanceTo returns the distance from this node to an endpoint.
func (p *Pool) distanceTo(spec EndpointSpec) distance {
	switch {
	case spec.Zone == p.cfg.Zone:
		return sameZone
	case spec.RegionIndex == p.cfg.RegionIndex:
		return sameRegion
	}
	return otherRegion
}

// costOf returns the amount that a distance adds to the expected cost of an endpoint.
func (c *PoolConfig) costOf(d distance) float64 {
	switch d {
	case sameZone:
		return 0
	case sameRegion:
		return c.ZoneBias
	}
	return c.RegionBias
}

// ZoneState defines whether requests may be sent to a zone. The zero value is ZoneActive.
type ZoneState uint8

const (
	// ZoneActive means that requests are sent to the zone.
	ZoneActive ZoneState = iota
	// ZoneEvacuated means that no requests may be sent to the zone.
	ZoneEvacuated
	// ZoneReturning means that the evacuation of the zone is ending; its endpoints count as
	// warming up.
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

// SetZoneState sets the state of a zone. It applies to current and future endpoints.
func (p *Pool) SetZoneState(zone string, state ZoneState) {
	p.zoneStates[zone] = state
	for _, e := range p.endpoints {
		if e.Zone == zone {
			e.zoneState = state
		}
	}
}

// SetZoneLoads sets the number of requests that all nodes together have in flight at the
// endpoints of each zone. The cost of a zone rises as it fills up, so that requests move to
// other zones before queues build up.
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

// Above a utilization of zoneLoadThreshold, the cost of a zone rises linearly with its
// utilization; zoneLoadPenalty is the slope.
const (
	zoneLoadThreshold = 0.7
	zoneLoadPenalty   = 8
)

// ProxyNode is a proxy node in the directory.
type ProxyNode struct {
	Address string
	Zone    string
	// Weight is the capacity of the node relative to the others.
	Weight   float64
	Draining bool
}

// SelectProxies returns the addresses of at most limit proxy nodes that a client should use.
// It selects nodes in the client's zone; if that zone is underprovisioned, nodes in the
// client's region; otherwise any nodes. A zone is underprovisioned if it has less than half
// the mean number of nodes per zone. Draining nodes are returned only if there are no
// others.
//
// A client spreads its requests evenly over the nodes that it gets, so a node with more
// capacity must be given to more clients. The number of nodes per client is the total weight
// divided by the largest one, which lets the strongest node receive its share, but at least
// two. The nodes are selected by weighted rendezvous hashing with the client's key: a client
// keeps its nodes until nodes join or leave, and then few change.
func SelectProxies(nodes []ProxyNode, key, zone, region string, regionOf func(zone string) string, limit int) []string {
	eligible := proxiesNear(nodes, zone, region, regionOf)
	total, strongest := 0.0, 0.0
	for _, n := range eligible {
		total += n.effectiveWeight()
		strongest = max(strongest, n.effectiveWeight())
	}
	// Adding 1e-6 keeps an integral quotient from being rounded down to the next integer.
	weightedCount := int(total/max(strongest, minProxyWeight) + 1e-6)
	count := min(len(eligible), limit, max(minProxiesPerClient, weightedCount))

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

// effectiveWeight returns the weight, raised to minProxyWeight because it must be above 0.
func (n ProxyNode) effectiveWeight() float64 { return max(n.Weight, minProxyWeight) }

// proxiesNear returns the nodes that are eligible for a client in a zone and region.
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
	isZoneUnderprovisioned := 2*len(inZone)*len(zones) < len(serving)
	switch {
	case len(inZone) > 0 && !isZoneUnderprovisioned:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	case len(serving) > 0:
		return serving
	}
	return draining
}
