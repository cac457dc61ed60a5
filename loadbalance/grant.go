package loadbalance

import (
	"sort"
	"time"
)

// Grant lets one node send an endpoint Rate requests a second, and one at once.
type Grant struct {
	Endpoint string
	Rate     float64
}

// QuotaAllocator shares out what cold endpoints may get among the nodes that send to
// them (distributed rate limiting by leases). A grant counts until it has surely
// ended at its holder, even if the holder is not heard of again; what counts for
// an endpoint never adds up past its bound. A granter that has just taken over
// knows nothing of its predecessor's grants, so it gives none before those have
// ended.
type QuotaAllocator struct {
	leaseDuration time.Duration // how long a grant holds
	grantsFrom    time.Duration // nothing is granted before
	leases        map[string]map[string]quotaLease
}

type quotaLease struct {
	rate      float64
	expiresAt time.Duration
}

// WarmingEndpoint is a cold endpoint as the granter sees it: it bears Rate a second, and
// gets no more than Bound in any second. Near are the nodes that may send to it.
type WarmingEndpoint struct {
	ID           string
	Rate         float64
	MaxPerSecond float64
	Proxies      []string
}

// NewQuotaAllocator makes a granter that takes over now.
func NewQuotaAllocator(now, lasts time.Duration) *QuotaAllocator {
	return &QuotaAllocator{leaseDuration: lasts, grantsFrom: now + lasts, leases: map[string]map[string]quotaLease{}}
}

// maxLeaseHolders is how many nodes send to one cold endpoint at the most: a share of
// less than two a second is of little use to each.
const maxLeaseHolders = 4

// Allocate grants for this round. The result is by node.
func (g *QuotaAllocator) Allocate(now time.Duration, cold []WarmingEndpoint) map[string][]Grant {
	for id, holders := range g.leases {
		for node, l := range holders {
			if now >= l.expiresAt {
				delete(holders, node)
			}
		}
		if len(holders) == 0 {
			delete(g.leases, id)
		}
	}
	out := map[string][]Grant{}
	if now < g.grantsFrom {
		return out
	}
	for _, c := range cold {
		// Each holder may send one more than its rate within a second.
		n := min(maxLeaseHolders, len(c.Proxies), int(c.MaxPerSecond-c.Rate))
		if n < 1 {
			continue
		}
		rate := c.Rate / float64(n)
		holders := g.leases[c.ID]
		if holders == nil {
			holders = map[string]quotaLease{}
			g.leases[c.ID] = holders
		}
		for _, node := range selectByRendezvousHash(c.ID, c.Proxies, n) {
			sum := rate + 1
			for other, l := range holders {
				if other != node {
					sum += l.rate + 1
				}
			}
			// A larger share granted earlier counts until it has ended.
			if l, held := holders[node]; sum > c.MaxPerSecond || (held && l.rate > rate) {
				continue
			}
			holders[node] = quotaLease{rate, now + g.leaseDuration}
			out[node] = append(out[node], Grant{c.ID, rate})
		}
	}
	return out
}

// selectByRendezvousHash picks n nodes for an endpoint by highest random weight: when a node
// comes or goes, only its own endpoints move.
func selectByRendezvousHash(id string, nodes []string, n int) []string {
	type ranked struct {
		node   string
		weight uint64
	}
	all := make([]ranked, len(nodes))
	for i, node := range nodes {
		all[i] = ranked{node, hashPair(id, node)}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].weight > all[j].weight })
	out := make([]string, 0, n)
	for _, r := range all[:n] {
		out = append(out, r.node)
	}
	return out
}

// quotaBucket is what one node may send to one cold endpoint. Without a grant in time
// that is nothing.
type quotaBucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Duration
	expiresAt  time.Duration
}

func (m *quotaBucket) renew(now time.Duration, rate float64, until time.Duration) {
	if m.expiresAt == 0 {
		m.refilledAt = now // a new holder starts with nothing in hand
	}
	m.refill(now)
	m.rate, m.expiresAt = rate, max(m.expiresAt, until)
}

func (m *quotaBucket) refill(now time.Duration) {
	m.tokens = min(1, m.tokens+m.rate*(now-m.refilledAt).Seconds())
	m.refilledAt = now
}

func (m *quotaBucket) hasToken(now time.Duration) bool {
	if now >= m.expiresAt {
		return false
	}
	m.refill(now)
	return m.tokens >= 1
}
