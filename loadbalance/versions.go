package loadbalance

import (
	"cmp"
	"math"
	"slices"
)

// Arm is what an endpoint's version is at present: that in use, the one under
// trial, or one that nothing may be sent to.
type Arm uint8

// The arms.
const (
	Base Arm = iota
	Target
	Barred
)

// Versions tells which versions of a service may be sent to. The zero value tells
// none apart: all are in use.
type Versions struct {
	Told   bool
	Base   string
	Target string // under trial; counts only where Share is above 0
	// Share is the part of the requests that the target gets.
	Share float64
}

// arm is where a version stands.
func (v Versions) arm(version string) Arm {
	switch {
	case !v.Told || version == v.Base:
		return Base
	case v.Share > 0 && version == v.Target:
		return Target
	}
	return Barred
}

// While the target gets a small share, this goes to few of its endpoints, so that
// each of them has to carry what it will when all has moved: a fault that shows
// only under load shows there. pressed is how much more than its share each gets,
// fewest how many there are at least, as one of them may be ill by itself.
const (
	pressed = 1.25
	fewest  = 4
)

// SetVersions takes which versions may be sent to.
func (p *Pool) SetVersions(v Versions) {
	if p.versions == v {
		return
	}
	p.versions = v
	for _, e := range p.all {
		e.Arm = v.arm(e.Version)
	}
	p.unfronted = true
}

// Versions gives which versions may be sent to.
func (p *Pool) Versions() Versions { return p.versions }

// front marks the endpoints of the target that take its share: the first by a hash
// of their names, the same ones at every node.
func (p *Pool) front() {
	if !p.unfronted {
		return
	}
	p.unfronted = false
	var of []*Endpoint
	for _, e := range p.all {
		e.Front = false
		if e.Arm == Target && !e.Draining {
			of = append(of, e)
		}
	}
	n := len(of)
	if p.versions.Share < 1 {
		n = min(n, max(fewest, int(math.Ceil(p.versions.Share*float64(n)/pressed))))
		slices.SortFunc(of, func(a, b *Endpoint) int { return cmp.Compare(a.hash, b.hash) })
	}
	for _, e := range of[:n] {
		e.Front = true
	}
}

// Barred is how many endpoints nothing may be sent to for their version.
func (p *Pool) Barred() int {
	n := 0
	for _, e := range p.all {
		if e.Arm == Barred {
			n++
		}
	}
	return n
}

// AtBase is how many requests this node has at endpoints of the version in use.
func (p *Pool) AtBase() int {
	n := 0
	for _, e := range p.all {
		if e.Arm == Base {
			n += e.inflight
		}
	}
	return n
}
