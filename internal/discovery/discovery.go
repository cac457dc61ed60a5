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

// Line knows which control-plane nodes there are. It is safe for use from
// several goroutines.
type Line struct {
	set   *settings.Settings
	mu    sync.Mutex
	seeds []string
	known []transport.ControlNode
}

// New makes a line that knows the seeds alone.
func New(set *settings.Settings) *Line { return &Line{set: set, seeds: set.Seeds} }

// SetSeeds takes the seeds of a settings file that has changed.
func (l *Line) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
}

// Learn takes the nodes that a bookmark names; none changes nothing.
func (l *Line) Learn(nodes []transport.ControlNode) {
	if len(nodes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = nodes
}

// Known gives the nodes that were told of.
func (l *Line) Known() []transport.ControlNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]transport.ControlNode(nil), l.known...)
}

// API gives the address at which callers reach a node, or nothing.
func (l *Line) API(addr string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.known {
		if n.Addr == addr {
			return n.API
		}
	}
	return ""
}

// distance ranks a node: 0 on this machine, 1 in this zone, 2 in this region,
// 3 elsewhere, 4 unknown.
func (l *Line) distance(n transport.ControlNode) int {
	home := l.set.Zones[l.set.Zone]
	switch {
	case n.Addr == l.set.InternalAddr(l.set.IP):
		return 0
	case n.Zone == "":
		return 4
	case n.Zone == l.set.Zone:
		return 1
	case home != "" && l.set.Zones[n.Zone] == home:
		return 2
	}
	return 3
}

// Candidates lists the nodes to try, the nearest first and equals by lot; avoid
// comes last.
func (l *Line) Candidates(avoid string) []string {
	l.mu.Lock()
	nodes := append([]transport.ControlNode(nil), l.known...)
	seen := map[string]bool{}
	for _, n := range nodes {
		seen[n.Addr] = true
	}
	for _, s := range l.seeds {
		if a := l.set.InternalAddr(s); !seen[a] {
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

// NearerThan lists the nodes that lie nearer than addr, the nearest first.
func (l *Line) NearerThan(addr string) []string {
	l.mu.Lock()
	here := 4
	distance := map[string]int{}
	for _, n := range l.known {
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

// Nearer tells whether a node is known that lies nearer than addr.
func (l *Line) Nearer(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	here, best := 4, 4
	for _, n := range l.known {
		d := l.distance(n)
		best = min(best, d)
		if n.Addr == addr {
			here = d
		}
	}
	return best < here
}
