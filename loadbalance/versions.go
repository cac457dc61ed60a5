package loadbalance

import (
	"cmp"
	"math"
	"slices"
)

// VersionGroup is whether the version of an endpoint may receive requests, and which.
type VersionGroup uint8

const (
	// BaseVersion is the version in use.
	BaseVersion VersionGroup = iota
	// TargetVersion is the version under roll-out.
	TargetVersion
	// ExcludedVersion may not receive requests.
	ExcludedVersion
)

// String returns the name of the group.
func (g VersionGroup) String() string {
	switch g {
	case BaseVersion:
		return "base"
	case TargetVersion:
		return "target"
	case ExcludedVersion:
		return "excluded"
	}
	return "unknown"
}

// Versions are the versions of a service that may receive requests. In the zero value
// all may.
type Versions struct {
	Known  bool // false: all versions are in use
	Base   string
	Target string // under roll-out; counts only if TargetShare is above 0
	// TargetShare is the part of the requests that go to the target, from 0 to 1.
	TargetShare float64
}

// group returns the group of a version.
func (v Versions) group(version string) VersionGroup {
	switch {
	case !v.Known || version == v.Base:
		return BaseVersion
	case v.TargetShare > 0 && version == v.Target:
		return TargetVersion
	}
	return ExcludedVersion
}

// While the target gets a small share, that goes to few of its endpoints, so that each
// has to carry what it will when all requests have moved: a fault that shows only under
// load shows there.
const (
	// subsetOverload is the load of an endpoint of the subset, relative to the one that it
	// will have after the roll-out.
	subsetOverload = 1.25
	// minSubsetSize is the least size of the subset, as one endpoint may be unhealthy
	// by itself.
	minSubsetSize = 4
)

// SetVersions sets which versions may receive requests.
func (p *Pool) SetVersions(v Versions) {
	if p.versions == v {
		return
	}
	p.versions = v
	for _, e := range p.endpoints {
		e.VersionGroup = v.group(e.Version)
	}
	p.rolloutSubsetStale = true
}

// Versions returns which versions may receive requests.
func (p *Pool) Versions() Versions { return p.versions }

// refreshRolloutSubset marks the endpoints of the target that serve its share: the
// first ones by the hash of their IDs, which are the same on every node.
func (p *Pool) refreshRolloutSubset() {
	if !p.rolloutSubsetStale {
		return
	}
	p.rolloutSubsetStale = false
	var targets []*Endpoint
	for _, e := range p.endpoints {
		e.InRolloutSubset = false
		if e.VersionGroup == TargetVersion && !e.Draining {
			targets = append(targets, e)
		}
	}
	size := len(targets)
	if share := p.versions.TargetShare; share < 1 {
		needed := int(math.Ceil(share * float64(size) / subsetOverload))
		size = min(size, max(minSubsetSize, needed))
		slices.SortFunc(targets, func(a, b *Endpoint) int { return cmp.Compare(a.idHash, b.idHash) })
	}
	for _, e := range targets[:size] {
		e.InRolloutSubset = true
	}
}

// ExcludedCount returns how many endpoints may receive nothing for their version.
func (p *Pool) ExcludedCount() int {
	count := 0
	for _, e := range p.endpoints {
		if e.VersionGroup == ExcludedVersion {
			count++
		}
	}
	return count
}

// BaseInflight returns how many requests of this node are in flight at endpoints of
// the version in use.
func (p *Pool) BaseInflight() int {
	inflight := 0
	for _, e := range p.endpoints {
		if e.VersionGroup == BaseVersion {
			inflight += e.inflight
		}
	}
	return inflight
}
