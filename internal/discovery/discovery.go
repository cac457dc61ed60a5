// Package discovery chooses control-plane nodes to connect to.
//
// A process that follows the control plane knows the seed nodes of its settings and, once it has
// followed a node, the members of the core with their zones. A Locator holds both and ranks them
// by locality. It does not connect to any: the proxy and the relay do, and pass the members that
// bookmarks list to UpdateNodes.
package discovery

import (
	"cmp"
	"math/rand"
	"slices"
	"sync"

	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

// Locator knows which control-plane nodes there are. It is safe for concurrent use.
type Locator struct {
	settings *settings.Settings
	// ownAddr is the internal address that a control-plane node on this machine has.
	ownAddr string

	mu    sync.Mutex
	seeds []string                // API addresses
	nodes []transport.ControlNode // members of the core; never modified, only replaced
}

// NewLocator returns a locator that knows the seed nodes of the settings only. Its own location is
// that of the settings.
func NewLocator(s *settings.Settings) *Locator {
	return &Locator{
		settings: s,
		ownAddr:  s.InternalAddr(s.IPAddress),
		seeds:    s.SeedNodes,
	}
}

// SetSeeds replaces the seed nodes, given by their API addresses (IP:port).
func (l *Locator) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
}

// UpdateNodes replaces the members of the core. An empty list changes nothing. The caller must not
// modify the list afterwards.
func (l *Locator) UpdateNodes(nodes []transport.ControlNode) {
	if len(nodes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = nodes
}

// Nodes returns the members of the core, or nothing before the first update.
func (l *Locator) Nodes() []transport.ControlNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.nodes)
}

// APIAddress returns the API address of the member with an internal address, or "" if no such
// member is known.
func (l *Locator) APIAddress(internalAddr string) string {
	for _, node := range l.Nodes() {
		if node.Addr == internalAddr {
			return node.API
		}
	}
	return ""
}

// Candidates returns the internal addresses of all known nodes in the order in which to connect:
// the nearest first, those at the same distance in random order, seed nodes of unknown location
// after all members. The address avoid comes last if it is known.
func (l *Locator) Candidates(avoid string) []string {
	candidates := l.Nodes()
	isKnown := map[string]bool{}
	for _, node := range candidates {
		isKnown[node.Addr] = true
	}
	for _, addr := range l.seedAddrs() {
		if !isKnown[addr] {
			isKnown[addr] = true
			candidates = append(candidates, transport.ControlNode{Addr: addr})
		}
	}
	candidates = slices.DeleteFunc(candidates, func(node transport.ControlNode) bool { return node.Addr == avoid })
	addrs := l.sortByDistance(candidates)
	if isKnown[avoid] {
		addrs = append(addrs, avoid)
	}
	return addrs
}

// NodesNearerThan returns the internal addresses of the members that are nearer than addr, in the
// order of Candidates.
func (l *Locator) NodesNearerThan(addr string) []string {
	nodes := l.Nodes()
	limit := l.distanceOf(nodes, addr)
	nearer := slices.DeleteFunc(nodes, func(node transport.ControlNode) bool { return l.distance(node) >= limit })
	return l.sortByDistance(nearer)
}

// HasNearer reports whether a member is known that is nearer than addr.
func (l *Locator) HasNearer(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.distanceOf(l.nodes, addr)
	return slices.ContainsFunc(l.nodes, func(node transport.ControlNode) bool { return l.distance(node) < limit })
}

// The distances of a node, the nearest first.
const (
	onThisMachine = iota
	inThisZone
	inThisRegion
	inAnotherRegion
	locationUnknown
)

// distance returns how far away a node is.
func (l *Locator) distance(node transport.ControlNode) int {
	region := l.settings.RegionByZone[l.settings.Zone]
	switch {
	case node.Addr == l.ownAddr:
		return onThisMachine
	case node.Zone == "":
		return locationUnknown
	case node.Zone == l.settings.Zone:
		return inThisZone
	case region != "" && l.settings.RegionByZone[node.Zone] == region:
		return inThisRegion
	}
	return inAnotherRegion
}

// distanceOf returns the distance of the node with an address, unknown if it is not in the list.
func (l *Locator) distanceOf(nodes []transport.ControlNode, addr string) int {
	for _, node := range nodes {
		if node.Addr == addr {
			return l.distance(node)
		}
	}
	return locationUnknown
}

// seedAddrs returns the internal addresses of the seed nodes.
func (l *Locator) seedAddrs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	addrs := make([]string, len(l.seeds))
	for i, seed := range l.seeds {
		addrs[i] = l.settings.InternalAddr(seed)
	}
	return addrs
}

// sortByDistance returns the addresses of the nodes, the nearest first and those at the same
// distance in random order, so that processes spread over them. It changes the order of the list.
func (l *Locator) sortByDistance(nodes []transport.ControlNode) []string {
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	slices.SortStableFunc(nodes, func(a, b transport.ControlNode) int {
		return cmp.Compare(l.distance(a), l.distance(b))
	})
	addrs := make([]string, len(nodes))
	for i, node := range nodes {
		addrs[i] = node.Addr
	}
	return addrs
}
