package loadbalance

import (
	"cmp"
	"math"
	"slices"
)

// VersionGroup classifies the software version of an endpoint with regard to a rollout.
type VersionGroup uint8

const (
	// BaseVersion is the version in production use.
	BaseVersion VersionGroup = iota
	// TargetVersion is the version under rollout.
	TargetVersion
	// ExcludedVersion is any other version; it must not receive requests.
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

// Versions defines which versions of a service may receive requests. With the zero value,
// all versions may.
type Versions struct {
	Known  bool // false: every version counts as the base version
	Base   string
	Target string // under rollout; ignored if TargetShare is 0
	// TargetShare is the fraction of the requests that go to the target, from 0 to 1.
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

// A small traffic share of the target is sent to a subset of its endpoints, so that each of
// these carries the load that it will have after the rollout. Faults that occur only under
// load then show up early.
const (
	// subsetOverload is the load of an endpoint of the subset, relative to its load after the
	// rollout.
	subsetOverload = 1.25
	// minSubsetSize is the minimum size of the subset, because a single endpoint may be
	// unhealthy for reasons unrelated to its version.
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

// refreshRolloutSubset marks the endpoints that serve the target's traffic share: the first
// ones in the order of the hashes of their IDs, which is the same on every node.
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

// ExcludedCount returns the number of endpoints that must not receive requests because of
// their version.
func (p *Pool) ExcludedCount() int {
	count := 0
	for _, e := range p.endpoints {
		if e.VersionGroup == ExcludedVersion {
			count++
		}
	}
	return count
}

// BaseInflight returns the number of requests that this node has in flight at endpoints of
// the base version.
func (p *Pool) BaseInflight() int {
	inflight := 0
	for _, e := range p.endpoints {
		if e.VersionGroup == BaseVersion {
			inflight += e.inflight
		}
	}
	return inflight
}
