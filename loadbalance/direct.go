package loadbalance

import (
	"hash/fnv"
	"math"
	"sort"
)

// ProxyNode is one proxy node as the directory knows it. Weight is what it can
// carry, compared with others.
type ProxyNode struct {
	Address  string
	Zone     string
	Weight   float64
	Draining bool
}

// SelectProxies chooses the proxy nodes that a client is sent to, at most most of them:
// from those of its zone; with those of its region if its zone has few left;
// else from whatever there is. A zone has few left when it has less than half of
// what zones have on the mean. Nodes that leave are named only where nothing
// else is.
//
// Clients choose evenly among what they are told, so a node that can carry more
// than others is named to more clients: each client is told as few as it takes
// for the strongest to get its part, two at least. Which, is decided by highest
// weighted random weight under the client's own key: the same client is told the
// same until nodes come or go, and then little else changes.
func SelectProxies(all []ProxyNode, key, zone, region string, regionOf func(zone string) string, most int) []string {
	var here, near, any, leaving []ProxyNode
	zones := map[string]bool{}
	for _, p := range all {
		zones[p.Zone] = true
		if p.Draining {
			leaving = append(leaving, p)
			continue
		}
		if p.Zone == zone {
			here = append(here, p)
		}
		if r := regionOf(p.Zone); r != "" && r == region {
			near = append(near, p)
		}
		any = append(any, p)
	}
	from := here
	if 2*len(here)*len(zones) < len(any) || len(here) == 0 {
		if from = near; len(near) == 0 {
			from = any
		}
	}
	if len(from) == 0 {
		from = leaving
	}
	sum, strongest := 0.0, 0.0
	for _, p := range from {
		sum += max(p.Weight, 1e-3)
		strongest = max(strongest, p.Weight, 1e-3)
	}
	n := min(len(from), most, max(2, int(sum/max(strongest, 1e-3)+1e-6)))
	type ranked struct {
		address string
		rank    float64
	}
	ranks := make([]ranked, len(from))
	for i, p := range from {
		ranks[i] = ranked{p.Address, -math.Log(hashToUnit(key, p.Address)) / max(p.Weight, 1e-3)}
	}
	sort.Slice(ranks, func(i, k int) bool { return ranks[i].rank < ranks[k].rank })
	out := make([]string, n)
	for i := range out {
		out[i] = ranks[i].address
	}
	return out
}

// hashPair mixes two names; names that differ in their end alone must not come
// out alike.
func hashPair(a, b string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// hashToUnit gives a number in (0,1] for two names.
func hashToUnit(a, b string) float64 { return (float64(hashPair(a, b)>>11) + 1) / (1 << 53) }
