// Package discovery is how processes find the control plane's core.
//
// A process that follows the control plane knows the seed nodes of its settings and, once it has
// followed a node, the members of the core with their zones. A Locator holds both and ranks them
// by locality. It does not connect to any: the proxy and the relay do, and pass the members that
// bookmarks list to UpdateNodes. In the other direction an Announcer, at the nodes that know the
// core, tells it to the seed nodes that do not belong to it.
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
	seeds []string // API addresses
	// nodes are the members of the core as a node that was followed, or a referral, named them
	// last, and announced those of the last announcement. Neither is ever modified, only replaced.
	nodes, announced []transport.ControlNode
	// suggested are internal addresses of nodes that may belong to the core, oldest first.
	suggested []string
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

// Announce takes the members of the core as an Announcer named them. They are candidates beside
// all others: what a node named that was followed may be newer. The caller must not modify the
// list afterwards.
func (l *Locator) Announce(nodes []transport.ControlNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced = nodes
}

// maxSuggested bounds the suggested addresses that are remembered.
const maxSuggested = 8

// Suggest takes the internal address of a node that may belong to the core. It is a candidate beside
// all others. The newest ones are remembered.
func (l *Locator) Suggest(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr == "" || slices.Contains(l.suggested, addr) {
		return
	}
	l.suggested = append(l.suggested, addr)
	if excess := len(l.suggested) - maxSuggested; excess > 0 {
		l.suggested = slices.Delete(l.suggested, 0, excess)
	}
}

// suggestedAddrs returns the addresses that were suggested.
func (l *Locator) suggestedAddrs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.suggested)
}

// Nodes returns the members of the core, as far as they are known: those that a followed node
// named or, before the first of these, those that were announced.
func (l *Locator) Nodes() []transport.ControlNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.nodes) == 0 {
		return slices.Clone(l.announced)
	}
	return slices.Clone(l.nodes)
}

// announcedNodes returns the members of the core of the last announcement.
func (l *Locator) announcedNodes() []transport.ControlNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announced
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
// after all members. Then comes the address at which a control-plane node on this machine would
// be, if there is one: it helps where no seed node runs. The address avoid comes last if it is
// known.
func (l *Locator) Candidates(avoid string) []string {
	var candidates []transport.ControlNode
	isKnown := map[string]bool{}
	add := func(node transport.ControlNode) {
		if !isKnown[node.Addr] {
			isKnown[node.Addr] = true
			candidates = append(candidates, node)
		}
	}
	for _, node := range slices.Concat(l.Nodes(), l.announcedNodes()) {
		add(node)
	}
	for _, addr := range slices.Concat(l.SeedAddrs(), l.suggestedAddrs()) {
		add(transport.ControlNode{Addr: addr})
	}
	isOwnKnown := isKnown[l.ownAddr]
	candidates = slices.DeleteFunc(candidates, func(node transport.ControlNode) bool { return node.Addr == avoid })
	addrs := l.sortByDistance(candidates)
	if !isOwnKnown && l.ownAddr != avoid {
		addrs = append(addrs, l.ownAddr)
	}
	if isKnown[avoid] || avoid == l.ownAddr {
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

// SeedAddrs returns the internal addresses of the seed nodes.
func (l *Locator) SeedAddrs() []string {
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
