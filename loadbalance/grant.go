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

// Granter shares out what cold endpoints may get among the nodes that send to
// them (distributed rate limiting by leases). A grant counts until it has surely
// ended at its holder, even if the holder is not heard of again; what counts for
// an endpoint never adds up past its bound. A granter that has just taken over
// knows nothing of its predecessor's grants, so it gives none before those have
// ended.
type Granter struct {
	lasts time.Duration // how long a grant holds
	from  time.Duration // nothing is granted before
	live  map[string]map[string]lease
}

type lease struct {
	rate  float64
	until time.Duration
}

// Cold is a cold endpoint as the granter sees it: it bears Rate a second, and
// gets no more than Bound in any second. Near are the nodes that may send to it.
type Cold struct {
	ID    string
	Rate  float64
	Bound float64
	Near  []string
}

// NewGranter makes a granter that takes over now.
func NewGranter(now, lasts time.Duration) *Granter {
	return &Granter{lasts: lasts, from: now + lasts, live: map[string]map[string]lease{}}
}

// keepers is how many nodes send to one cold endpoint at the most: a share of
// less than two a second is of little use to each.
const keepers = 4

// Share grants for this round. The result is by node.
func (g *Granter) Share(now time.Duration, cold []Cold) map[string][]Grant {
	for id, holders := range g.live {
		for node, l := range holders {
			if now >= l.until {
				delete(holders, node)
			}
		}
		if len(holders) == 0 {
			delete(g.live, id)
		}
	}
	out := map[string][]Grant{}
	if now < g.from {
		return out
	}
	for _, c := range cold {
		// Each holder may send one more than its rate within a second.
		n := min(keepers, len(c.Near), int(c.Bound-c.Rate))
		if n < 1 {
			continue
		}
		rate := c.Rate / float64(n)
		holders := g.live[c.ID]
		if holders == nil {
			holders = map[string]lease{}
			g.live[c.ID] = holders
		}
		for _, node := range chosen(c.ID, c.Near, n) {
			sum := rate + 1
			for other, l := range holders {
				if other != node {
					sum += l.rate + 1
				}
			}
			// A larger share granted earlier counts until it has ended.
			if l, held := holders[node]; sum > c.Bound || (held && l.rate > rate) {
				continue
			}
			holders[node] = lease{rate, now + g.lasts}
			out[node] = append(out[node], Grant{c.ID, rate})
		}
	}
	return out
}

// chosen picks n nodes for an endpoint by highest random weight: when a node
// comes or goes, only its own endpoints move.
func chosen(id string, nodes []string, n int) []string {
	type ranked struct {
		node   string
		weight uint64
	}
	all := make([]ranked, len(nodes))
	for i, node := range nodes {
		all[i] = ranked{node, hash64(id, node)}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].weight > all[j].weight })
	out := make([]string, 0, n)
	for _, r := range all[:n] {
		out = append(out, r.node)
	}
	return out
}

// meter is what one node may send to one cold endpoint. Without a grant in time
// that is nothing.
type meter struct {
	rate  float64
	held  float64
	at    time.Duration
	until time.Duration
}

func (m *meter) grant(now time.Duration, rate float64, until time.Duration) {
	if m.until == 0 {
		m.at = now // a new holder starts with nothing in hand
	}
	m.fill(now)
	m.rate, m.until = rate, max(m.until, until)
}

func (m *meter) fill(now time.Duration) {
	m.held = min(1, m.held+m.rate*(now-m.at).Seconds())
	m.at = now
}

func (m *meter) ready(now time.Duration) bool {
	if now >= m.until {
		return false
	}
	m.fill(now)
	return m.held >= 1
}
