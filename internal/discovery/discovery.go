// Package discovery lets processes find the core of the control plane.
//
// A process that follows the control plane knows the seed nodes from its settings and, once it has
// followed a node, the members of the core with their zones. A Locator holds both and sorts them by
// distance. It opens no connections: the proxy and the relay do, and pass the members listed in
// bookmarks to UpdateNodes. In the other direction, an Announcer on nodes that know the core
// announces it to the seed nodes outside the core.
package discovery

import (
	"cmp"
	"math/rand"
	"slices"
	"sync"

	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

// Locator holds the known control-plane nodes. It is safe for concurrent use.
type Locator struct {
	settings *settings.Settings
	// ownAddr is the internal address that a control-plane node on this machine would have.
	ownAddr string

	mu    sync.Mutex
	seeds []string // API addresses
	// nodes are the members of the core last listed by a followed node or a referral, and announced
	// those listed by the last announcement. The slices are replaced, never modified.
	nodes, announced []transport.ControlNode
	// suggested are internal addresses of nodes that may belong to the core, oldest first.
	suggested []string
}

// NewLocator returns a locator that initially knows only the seed nodes from the settings. It
// computes distances from the zone and the address in the settings.
func NewLocator(s *settings.Settings) *Locator {
	return &Locator{
		settings: s,
		ownAddr:  s.InternalAddr(s.IPAddress),
		seeds:    s.SeedNodes,
	}
}

// SetSeeds replaces the seed nodes. seeds holds their API addresses (IP:port).
func (l *Locator) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
}

// UpdateNodes replaces the members of the core. An empty list is ignored. The caller must not
// modify the list afterwards.
func (l *Locator) UpdateNodes(nodes []transport.ControlNode) {
	if len(nodes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = nodes
}

// UpdateAnnounced replaces the members of the core listed by an Announcer. They are additional
// candidates and do not replace the members set by UpdateNodes, which may be newer. The caller must
// not modify the list afterwards.
func (l *Locator) UpdateAnnounced(nodes []transport.ControlNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced = nodes
}

// maxSuggested bounds the number of stored suggested addresses.
const maxSuggested = 8

// Suggest adds the internal address of a node that may belong to the core as an additional
// candidate. The latest maxSuggested addresses are kept.
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

// suggestedAddrs returns the suggested addresses.
func (l *Locator) suggestedAddrs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.suggested)
}

// Nodes returns the known members of the core: those set by UpdateNodes or, if there are none yet,
// those last announced.
func (l *Locator) Nodes() []transport.ControlNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.nodes) == 0 {
		return slices.Clone(l.announced)
	}
	return slices.Clone(l.nodes)
}

// announcedNodes returns the members of the core from the last announcement.
func (l *Locator) announcedNodes() []transport.ControlNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announced
}

// APIAddress returns the API address of the member with the given internal address, or "" if no
// such member is known.
func (l *Locator) APIAddress(internalAddr string) string {
	for _, node := range l.Nodes() {
		if node.Addr == internalAddr {
			return node.API
		}
	}
	return ""
}

// Candidates returns the internal addresses of all known nodes in the order in which to try them:
// the nearest first, nodes at the same distance in random order, nodes of unknown location last.
// The address of a possible control-plane node on this machine is appended if it is not known, for
// the case that no seed node is running. The address avoid comes last if it is known.
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

// NodesNearerThan returns the internal addresses of the members that are nearer than addr, sorted
// as by Candidates.
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

// Distances of a node in increasing order.
const (
	sameMachine = iota
	sameZone
	sameRegion
	otherRegion
	unknownLocation
)

// distance returns the distance of a node.
func (l *Locator) distance(node transport.ControlNode) int {
	region := l.settings.RegionByZone[l.settings.Zone]
	switch {
	case node.Addr == l.ownAddr:
		return sameMachine
	case node.Zone == "":
		return unknownLocation
	case node.Zone == l.settings.Zone:
		return sameZone
	case region != "" && l.settings.RegionByZone[node.Zone] == region:
		return sameRegion
	}
	return otherRegion
}

// distanceOf returns the distance of the node with the given address, or unknownLocation if it is
// not in the list.
func (l *Locator) distanceOf(nodes []transport.ControlNode, addr string) int {
	for _, node := range nodes {
		if node.Addr == addr {
			return l.distance(node)
		}
	}
	return unknownLocation
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

// sortByDistance returns the addresses of the nodes, the nearest first. Nodes at the same distance
// are in random order, so that processes spread over them. It reorders nodes in place.
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
