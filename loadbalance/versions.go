package loadbalance

import (
	"cmp"
	"math"
	"slices"
)

// VersionGroup is what an endpoint's version is at present: that in use, the one under
// trial, or one that nothing may be sent to.
type VersionGroup uint8

// The arms.
const (
	BaseVersion VersionGroup = iota
	TargetVersion
	ExcludedVersion
)

// Versions tells which versions of a service may be sent to. The zero value tells
// none apart: all are in use.
type Versions struct {
	Known  bool
	Base   string
	Target string // under trial; counts only where Share is above 0
	// TargetShare is the part of the requests that the target gets.
	TargetShare float64
}

// group is where a version stands.
func (v Versions) group(version string) VersionGroup {
	switch {
	case !v.Known || version == v.Base:
		return BaseVersion
	case v.TargetShare > 0 && version == v.Target:
		return TargetVersion
	}
	return ExcludedVersion
}

// While the target gets a small share, this goes to few of its endpoints, so that
// each of them has to carry what it will when all has moved: a fault that shows
// only under load shows there. pressed is how much more than its share each gets,
// minSubsetSize how many there are at least, as one of them may be ill by itself.
const (
	subsetOverload = 1.25
	minSubsetSize  = 4
)

// SetVersions takes which versions may be sent to.
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

// Versions gives which versions may be sent to.
func (p *Pool) Versions() Versions { return p.versions }

// refreshRolloutSubset marks the endpoints of the target that take its share: the first by a hash
// of their names, the same ones at every node.
func (p *Pool) refreshRolloutSubset() {
	if !p.rolloutSubsetStale {
		return
	}
	p.rolloutSubsetStale = false
	var of []*Endpoint
	for _, e := range p.endpoints {
		e.InRolloutSubset = false
		if e.VersionGroup == TargetVersion && !e.Draining {
			of = append(of, e)
		}
	}
	n := len(of)
	if p.versions.TargetShare < 1 {
		n = min(n, max(minSubsetSize, int(math.Ceil(p.versions.TargetShare*float64(n)/subsetOverload))))
		slices.SortFunc(of, func(a, b *Endpoint) int { return cmp.Compare(a.idHash, b.idHash) })
	}
	for _, e := range of[:n] {
		e.InRolloutSubset = true
	}
}

// ExcludedVersion is how many endpoints nothing may be sent to for their version.
func (p *Pool) ExcludedCount() int {
	n := 0
	for _, e := range p.endpoints {
		if e.VersionGroup == ExcludedVersion {
			n++
		}
	}
	return n
}

// BaseInflight is how many requests this node has at endpoints of the version in use.
func (p *Pool) BaseInflight() int {
	n := 0
	for _, e := range p.endpoints {
		if e.VersionGroup == BaseVersion {
			n += e.inflight
		}
	}
	return n
}
