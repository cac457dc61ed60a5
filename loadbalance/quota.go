package loadbalance

import (
	"cmp"
	"slices"
	"time"
)

// Grant is one node's share of the request rate of an endpoint that warms up. The node may
// send Rate requests per second, with a burst of one. The field names are part of the wire
// format.
type Grant struct {
	Endpoint string // ID
	Rate     float64
}

// ApplyGrant applies a grant that is valid until the given time. Grants for endpoints that
// are not in the pool are ignored.
func (p *Pool) ApplyGrant(now time.Duration, g Grant, until time.Duration) {
	if e := p.byID[g.Endpoint]; e != nil {
		e.quota.renew(now, g.Rate, until)
	}
}

// quotaBucket is a token bucket with a capacity of one token. It limits the requests of this
// node to an endpoint that warms up. Without a valid grant, no request may be sent.
type quotaBucket struct {
	rate       float64 // tokens per second
	tokens     float64
	refilledAt time.Duration
	expiresAt  time.Duration
}

// renew sets the rate and extends the validity. A bucket without an earlier grant starts
// empty.
func (b *quotaBucket) renew(now time.Duration, rate float64, until time.Duration) {
	if b.expiresAt == 0 {
		b.refilledAt = now
	}
	b.refill(now)
	b.rate = rate
	b.expiresAt = max(b.expiresAt, until)
}

func (b *quotaBucket) refill(now time.Duration) {
	b.tokens = min(1, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// hasToken refills the bucket and reports whether a request may be sent.
func (b *quotaBucket) hasToken(now time.Duration) bool {
	if now >= b.expiresAt {
		return false
	}
	b.refill(now)
	return b.tokens >= 1
}

// QuotaAllocator divides the request rate that endpoints can serve while they warm up among
// the nodes that send to them (distributed rate limiting with leases).
//
// A grant is counted until it has certainly expired at its holder, even if the holder never
// reports again, and the counted grants of an endpoint never exceed its limit. A new
// allocator does not know the grants of its predecessor, so it grants nothing until those
// have expired. A QuotaAllocator is not safe for concurrent use.
type QuotaAllocator struct {
	leaseDuration time.Duration
	grantsFrom    time.Duration                    // no grants are made before
	leases        map[string]map[string]quotaLease // by endpoint and node
}

// quotaLease is a grant that the allocator counts.
type quotaLease struct {
	rate      float64
	expiresAt time.Duration
}

// maxRequestsInOneSecond returns how many requests the holder may send within any second: its
// rate plus a burst of one.
func (l quotaLease) maxRequestsInOneSecond() float64 { return l.rate + 1 }

// WarmingEndpoint describes an endpoint that warms up to the allocator.
type WarmingEndpoint struct {
	ID   string
	Rate float64 // requests per second that the endpoint can serve
	// MaxPerSecond is the maximum number of requests that the endpoint may get in any second.
	MaxPerSecond float64
	// Proxies are the nodes that may send requests to the endpoint.
	Proxies []string
}

// maxLeaseHolders is the maximum number of nodes that send to one endpoint that warms up. A
// share of less than two requests per second is of little use to a node.
const maxLeaseHolders = 4

// NewQuotaAllocator returns an allocator that takes over at now. Its grants, and those of its
// predecessor, expire after leaseDuration.
func NewQuotaAllocator(now, leaseDuration time.Duration) *QuotaAllocator {
	return &QuotaAllocator{
		leaseDuration: leaseDuration,
		grantsFrom:    now + leaseDuration,
		leases:        map[string]map[string]quotaLease{},
	}
}

// Allocate makes or renews the grants for the endpoints, and returns the grants by node.
func (a *QuotaAllocator) Allocate(now time.Duration, endpoints []WarmingEndpoint) map[string][]Grant {
	a.expire(now)
	grants := map[string][]Grant{}
	if now < a.grantsFrom {
		return grants
	}
	for _, e := range endpoints {
		a.allocateEndpoint(now, e, grants)
	}
	return grants
}

// expire deletes the leases that have expired.
func (a *QuotaAllocator) expire(now time.Duration) {
	for id, holders := range a.leases {
		for node, l := range holders {
			if now >= l.expiresAt {
				delete(holders, node)
			}
		}
		if len(holders) == 0 {
			delete(a.leases, id)
		}
	}
}

// allocateEndpoint adds the grants for one endpoint.
func (a *QuotaAllocator) allocateEndpoint(now time.Duration, e WarmingEndpoint, grants map[string][]Grant) {
	// Each holder may exceed its rate by a burst of one request within a second, so the
	// margin above the rate limits the number of holders.
	count := min(maxLeaseHolders, len(e.Proxies), int(e.MaxPerSecond-e.Rate))
	if count < 1 {
		return
	}
	lease := quotaLease{rate: e.Rate / float64(count), expiresAt: now + a.leaseDuration}
	holders := a.leases[e.ID]
	if holders == nil {
		holders = map[string]quotaLease{}
		a.leases[e.ID] = holders
	}
	for _, node := range selectByRendezvousHash(e.ID, e.Proxies, count) {
		total := lease.maxRequestsInOneSecond()
		for other, l := range holders {
			if other != node {
				total += l.maxRequestsInOneSecond()
			}
		}
		if total > e.MaxPerSecond {
			continue
		}
		// An earlier grant with a higher rate counts until it has expired.
		if current, found := holders[node]; found && current.rate > lease.rate {
			continue
		}
		holders[node] = lease
		grants[node] = append(grants[node], Grant{Endpoint: e.ID, Rate: lease.rate})
	}
}

// selectByRendezvousHash selects count of the nodes for an endpoint. When a node joins or
// leaves, only the endpoints assigned to it are reassigned. There must be at least count
// nodes.
func selectByRendezvousHash(id string, nodes []string, count int) []string {
	type ranked struct {
		node   string
		weight uint64
	}
	ranking := make([]ranked, len(nodes))
	for i, node := range nodes {
		ranking[i] = ranked{node, hashPair(id, node)}
	}
	slices.SortFunc(ranking, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	selected := make([]string, 0, count)
	for _, r := range ranking[:count] {
		selected = append(selected, r.node)
	}
	return selected
}
