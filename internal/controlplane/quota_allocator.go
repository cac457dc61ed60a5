package controlplane

import (
	"slices"
	"strings"
	"time"

	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
)

// quotaSafetyFactor is the fraction of the rate limit of a warming endpoint that is granted. The
// remainder covers the traffic that proxies send before they learn of a change.
const quotaSafetyFactor = 0.9

// quotaAllocator divides, on the leader, the traffic that warming endpoints may receive among the
// proxies.
type quotaAllocator struct {
	*environment
	state *sharedState
}

// becomeLeader starts with a new allocator, which accounts for the grants of an earlier leader
// that are still valid.
func (q *quotaAllocator) becomeLeader(state *loopState, now time.Duration) {
	state.quotas = loadbalance.NewQuotaAllocator(now, q.settings.QuotaGrantLifetime())
}

// allocate grants quotas to the reporting proxies, each in response to a report identified by its
// sequence number. It returns nil if the deployment sets no limit or another node may have become
// leader.
func (q *quotaAllocator) allocate(state *loopState, now time.Duration, reportSequences map[string]uint64) map[string]transport.QuotaGrants {
	if q.settings.Bounds.SlowStartOvershoot <= 0 || !state.raft.HasQuorumContact(q.timing.ElectionTimeout) {
		return nil
	}
	var warming []loadbalance.WarmingEndpoint
	q.state.update(func(r *replicatedState) { warming = q.warmingEndpoints(r, reportSequences) })
	quotas := map[string]transport.QuotaGrants{}
	for proxy, grants := range state.quotas.Allocate(now, warming) {
		quotas[proxy] = transport.QuotaGrants{Seq: reportSequences[proxy], Grants: grants}
	}
	return quotas
}

// warmingEndpoints returns the warming endpoints, sorted by ID, with the proxies that may send to
// each: those in its zone, or else those in its region, or else all.
func (q *quotaAllocator) warmingEndpoints(r *replicatedState, reportSequences map[string]uint64) []loadbalance.WarmingEndpoint {
	var warming []loadbalance.WarmingEndpoint
	zoneStates := r.zoneStates()
	var proxies *proxiesByLocality
	for _, e := range r.endpoints {
		isWarmingUp := e.WarmingUp || zoneStates[e.Zone] == registry.Returning
		if e.Draining || !isWarmingUp {
			continue
		}
		cluster, isKnown := r.cluster(e.Service)
		if !isKnown || cluster.WarmUpRatePerSecond <= 0 {
			continue
		}
		if proxies == nil {
			proxies = q.groupProxies(r, reportSequences)
		}
		rate := cluster.WarmUpRatePerSecond
		warming = append(warming, loadbalance.WarmingEndpoint{
			ID:           e.ID,
			Rate:         rate,
			MaxPerSecond: quotaSafetyFactor * (rate*q.settings.Bounds.SlowStartOvershoot + q.settings.Bounds.SlowStartSlack),
			Proxies:      proxies.nearest(e.Zone, q.settings.RegionByZone[e.Zone]),
		})
	}
	slices.SortFunc(warming, func(a, b loadbalance.WarmingEndpoint) int { return strings.Compare(a.ID, b.ID) })
	return warming
}

// proxiesByLocality groups the names of the proxies that accept traffic.
type proxiesByLocality struct {
	byZone   map[string][]string
	byRegion map[string][]string
	all      []string
}

func (q *quotaAllocator) groupProxies(r *replicatedState, reportSequences map[string]uint64) *proxiesByLocality {
	groups := &proxiesByLocality{byZone: map[string][]string{}, byRegion: map[string][]string{}}
	for name := range reportSequences {
		proxy, isRegistered := r.proxies[registry.ProxyPrefix+name]
		if !isRegistered || proxy.Draining {
			continue
		}
		region := q.settings.RegionByZone[proxy.Zone]
		groups.byZone[proxy.Zone] = append(groups.byZone[proxy.Zone], name)
		groups.byRegion[region] = append(groups.byRegion[region], name)
		groups.all = append(groups.all, name)
	}
	return groups
}

func (p *proxiesByLocality) nearest(zone, region string) []string {
	if names := p.byZone[zone]; len(names) > 0 {
		return names
	}
	if names := p.byRegion[region]; len(names) > 0 {
		return names
	}
	return p.all
}
