// Package discovery finds a control-plane node to follow (service discovery of the
// control plane): the one on the same machine, else one in the same zone, else
// in the same region, from what the stream told and the seeds.
package discovery

import (
	"math/rand"
	"sync"

	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

// Locator knows which control-plane nodes there are. It is safe for use from
// several goroutines.
type Locator struct {
	settings *settings.Settings
	mu       sync.Mutex
	seeds    []string
	nodes    []transport.ControlNode
}

// NewLocator makes a line that knows the seeds alone.
func NewLocator(set *settings.Settings) *Locator {
	return &Locator{settings: set, seeds: set.SeedNodes}
}

// SetSeeds takes the seeds of a settings file that has changed.
func (l *Locator) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
}

// UpdateNodes takes the nodes that a bookmark names; none changes nothing.
func (l *Locator) UpdateNodes(nodes []transport.ControlNode) {
	if len(nodes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = nodes
}

// Nodes gives the nodes that were told of.
func (l *Locator) Nodes() []transport.ControlNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]transport.ControlNode(nil), l.nodes...)
}

// APIAddress gives the address at which callers reach a node, or nothing.
func (l *Locator) APIAddress(addr string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.nodes {
		if n.Addr == addr {
			return n.API
		}
	}
	return ""
}

// distance ranks a node: 0 on this machine, 1 in this zone, 2 in this region,
// 3 elsewhere, 4 unknown.
func (l *Locator) distance(n transport.ControlNode) int {
	home := l.settings.RegionByZone[l.settings.Zone]
	switch {
	case n.Addr == l.settings.InternalAddr(l.settings.IPAddress):
		return 0
	case n.Zone == "":
		return 4
	case n.Zone == l.settings.Zone:
		return 1
	case home != "" && l.settings.RegionByZone[n.Zone] == home:
		return 2
	}
	return 3
}

// Candidates lists the nodes to try, the nearest first and equals by lot; avoid
// comes last.
func (l *Locator) Candidates(avoid string) []string {
	l.mu.Lock()
	nodes := append([]transport.ControlNode(nil), l.nodes...)
	seen := map[string]bool{}
	for _, n := range nodes {
		seen[n.Addr] = true
	}
	for _, s := range l.seeds {
		if a := l.settings.InternalAddr(s); !seen[a] {
			seen[a] = true
			nodes = append(nodes, transport.ControlNode{Addr: a})
		}
	}
	l.mu.Unlock()
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	out := make([]string, 0, len(nodes))
	for rank := 0; rank <= 4; rank++ {
		for _, n := range nodes {
			if n.Addr != avoid && l.distance(n) == rank {
				out = append(out, n.Addr)
			}
		}
	}
	if seen[avoid] {
		out = append(out, avoid)
	}
	return out
}

// NodesNearerThan lists the nodes that lie nearer than addr, the nearest first.
func (l *Locator) NodesNearerThan(addr string) []string {
	l.mu.Lock()
	here := 4
	distance := map[string]int{}
	for _, n := range l.nodes {
		distance[n.Addr] = l.distance(n)
		if n.Addr == addr {
			here = l.distance(n)
		}
	}
	l.mu.Unlock()
	var out []string
	for _, a := range l.Candidates("") {
		if d, known := distance[a]; known && d < here {
			out = append(out, a)
		}
	}
	return out
}

// HasNearer tells whether a node is known that lies nearer than addr.
func (l *Locator) HasNearer(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	here, best := 4, 4
	for _, n := range l.nodes {
		d := l.distance(n)
		best = min(best, d)
		if n.Addr == addr {
			here = d
		}
	}
	return best < here
}
