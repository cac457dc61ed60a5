package loadbalance

import (
	"cmp"
	"slices"
	"time"
)

// Grant is one node's share of an endpoint that warms up: it may send Rate requests
// per second, and one at once. The names of its fields are those of the wire format.
type Grant struct {
	Endpoint string // ID
	Rate     float64
}

// ApplyGrant takes a grant that is valid until the given time. Grants for endpoints that
// the pool does not have are ignored.
func (p *Pool) ApplyGrant(now time.Duration, g Grant, until time.Duration) {
	if e := p.byID[g.Endpoint]; e != nil {
		e.quota.renew(now, g.Rate, until)
	}
}

// quotaBucket is a token bucket of one token: what this node may send to one endpoint
// that warms up. Without a grant in force, that is nothing.
type quotaBucket struct {
	rate       float64 // tokens per second
	tokens     float64
	refilledAt time.Duration
	expiresAt  time.Duration
}

// renew replaces the rate. A bucket that never had a grant starts empty.
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

// QuotaAllocator divides the rate that endpoints can serve while they warm up among the nodes that
// send to them (distributed rate limiting by leases).
//
// A grant counts until it has certainly expired at its holder, even if the holder never
// reports again, and what counts for an endpoint never exceeds its bound. An allocator
// that has just taken over does not know the grants of its predecessor, so it grants
// nothing before those have expired. It is not safe for concurrent use.
type QuotaAllocator struct {
	leaseDuration time.Duration
	grantsFrom    time.Duration                    // nothing is granted before
	leases        map[string]map[string]quotaLease // by endpoint and node
}

// quotaLease is a grant as the allocator has to count it.
type quotaLease struct {
	rate      float64
	expiresAt time.Duration
}

// maxInOneSecond returns how many requests the holder may send within one second: one
// at once beyond its rate.
func (l quotaLease) maxInOneSecond() float64 { return l.rate + 1 }

// WarmingEndpoint is an endpoint that warms up, as the allocator sees it.
type WarmingEndpoint struct {
	ID   string
	Rate float64 // requests per second that it can serve
	// MaxPerSecond is the number of requests that it may get in any second.
	MaxPerSecond float64
	// Proxies are the nodes that may send to it.
	Proxies []string
}

// maxLeaseHolders bounds how many nodes send to one endpoint that warms up. A share of
// less than two requests per second is of little use to a node.
const maxLeaseHolders = 4

// NewQuotaAllocator returns an allocator that takes over now. Grants expire after
// leaseDuration.
func NewQuotaAllocator(now, leaseDuration time.Duration) *QuotaAllocator {
	return &QuotaAllocator{
		leaseDuration: leaseDuration,
		grantsFrom:    now + leaseDuration,
		leases:        map[string]map[string]quotaLease{},
	}
}

// Allocate grants or renews the shares of the endpoints, and returns the grants by
// node.
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

// expire drops the leases that have ended.
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
	// Each holder may send one more than its rate within a second.
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
		total := lease.maxInOneSecond()
		for other, l := range holders {
			if other != node {
				total += l.maxInOneSecond()
			}
		}
		if total > e.MaxPerSecond {
			continue
		}
		// A larger share that was granted before counts until it has expired.
		if current, found := holders[node]; found && current.rate > lease.rate {
			continue
		}
		holders[node] = lease
		grants[node] = append(grants[node], Grant{Endpoint: e.ID, Rate: lease.rate})
	}
}

// selectByRendezvousHash selects count of the nodes for an endpoint. When a node comes
// or goes, only its own endpoints move. The nodes must be count at the least.
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
