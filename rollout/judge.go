package rollout

import (
	"fmt"
	"maps"
	"math"
)

// Count is what was seen of one version on one route.
type Count struct {
	Answers int // endpoints that answered, well or with a failure of their own
	Failed  int // of these, failures
	Broken  int // attempts that ended without an answer
	Timed   int // answers whose time says something
	Slow    int // of these, several times slower than usual
}

// Add sums counts.
func (c Count) Add(o Count) Count {
	return Count{c.Answers + o.Answers, c.Failed + o.Failed, c.Broken + o.Broken, c.Timed + o.Timed, c.Slow + o.Slow}
}

func (c Count) less(o Count) Count {
	return Count{c.Answers - o.Answers, c.Failed - o.Failed, c.Broken - o.Broken, c.Timed - o.Timed, c.Slow - o.Slow}
}

// hits keeps only what speaks against a version.
func (c Count) hits() Count { return Count{Failed: c.Failed, Broken: c.Broken, Slow: c.Slow} }

// Arms is a route's counts for both versions.
type Arms struct {
	Base, Target Count
	// Ill is what of the target's counts speaks against it, by endpoint.
	Ill map[string]Count
}

func (a Arms) add(o Arms) Arms {
	out := Arms{a.Base.Add(o.Base), a.Target.Add(o.Target), a.Ill}
	if len(o.Ill) > 0 {
		out.Ill = maps.Clone(a.Ill) // it may be shared with whoever was told
		if out.Ill == nil {
			out.Ill = map[string]Count{}
		}
		for id, c := range o.Ill {
			out.Ill[id] = out.Ill[id].Add(c)
		}
	}
	return out
}

// OfBase and OfTarget are one attempt's counts at an endpoint of either version.
func OfBase(c Count) Arms { return Arms{Base: c} }

// OfTarget is OfBase for the target.
func OfTarget(endpoint string, c Count) Arms {
	a := Arms{Target: c}
	if h := c.hits(); h != (Count{}) {
		a.Ill = map[string]Count{endpoint: h}
	}
	return a
}

// Evidence is counts by route.
type Evidence map[string]Arms

// Add sums evidence into e.
func (e Evidence) Add(o Evidence) {
	for route, a := range o {
		e[route] = e[route].add(a)
	}
}

// Answers is how many answers of the target it holds.
func (e Evidence) Answers() int {
	n := 0
	for _, a := range e {
		n += a.Target.Answers
	}
	return n
}

// All is how many answers of both versions it holds.
func (e Evidence) All() int {
	n := 0
	for _, a := range e {
		n += a.Base.Answers + a.Target.Answers
	}
	return n
}

// Slow is from which multiple of a route's usual time on an answer counts as slow.
const Slow = 4

// Verdict is what the evidence says.
type Verdict struct {
	Bad     bool
	Suspect bool // not bad yet, but no time to give it more
	Why     string
}

// test is one way in which a version can be worse. A version that is worse by
// less than floor is taken as it is, one that is worse by floor + step must be
// found. scale weighs the base's own rate: both versions meet the same bursts,
// crashes and broken links, but not at the same moment.
type test struct {
	name        string
	floor, step float64
	hit         func(Count) (hits, of int)
}

const scale = 1.5

var tests = [...]test{
	{"answers fail", 0.02, 0.10, func(c Count) (int, int) { return c.Failed, c.Answers }},
	{"attempts break", 0.10, 0.25, func(c Count) (int, int) { return c.Broken, c.Answers + c.Broken }},
	{"answers are slow", 0.10, 0.25, func(c Count) (int, int) { return c.Slow, c.Timed }},
}

// The test is a cumulative sum (CUSUM) of log-likelihood ratios: reset at nothing,
// so that a fault that comes late has no good past to make up for. At alarm the
// version is bad: a version whose rate is at the floor alarms falsely once in some
// e^alarm answers, one at floor + step after a few dozen. Above suspect nothing
// goes further.
const (
	alarm   = 12
	suspect = 4
)

// Judge weighs one order's evidence as it grows.
type Judge struct {
	seen map[string]Arms
	sum  map[string]*[len(tests)]float64
	base map[string]*[len(tests)]rate // of the base, lately
}

type rate struct{ hits, of float64 }

// whole is the sum over all routes, judged like one.
const whole = ""

// NewJudge makes a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{seen: map[string]Arms{}, sum: map[string]*[len(tests)]float64{}, base: map[string]*[len(tests)]rate{}}
}

// several is how many endpoints of the target there must be for the one that shows
// most ill to be left out: it may be ill by itself, and a bad version is bad
// everywhere.
const several = 3

// See takes all evidence so far, of a target with so many endpoints, and gives the
// verdict.
func (j *Judge) See(e Evidence, endpoints int) Verdict {
	var all Arms
	for _, a := range e {
		all = all.add(a)
	}
	var v Verdict
	j.route(whole, all, endpoints >= several, &v)
	for route, a := range e {
		j.route(route, a, endpoints >= several, &v)
	}
	return v
}

// The base's rate is over its latest answers rather than over a time, as it gets
// none any more once all has moved. prior is how many good ones it is given
// beforehand.
const (
	lately = 2000
	prior  = 20
)

func (j *Judge) route(route string, a Arms, spare bool, v *Verdict) {
	old := j.seen[route]
	fresh := Arms{a.Base.less(old.Base), a.Target.less(old.Target), nil}
	j.seen[route] = a
	if j.sum[route] == nil {
		j.sum[route], j.base[route] = new([len(tests)]float64), new([len(tests)]rate)
	}
	for i, t := range tests {
		b := &j.base[route][i]
		hits, of := t.hit(fresh.Base)
		b.hits, b.of = b.hits+float64(max(0, hits)), b.of+float64(max(0, of))
		if b.of > lately {
			b.hits, b.of = b.hits*lately/b.of, lately
		}
		p0 := min(0.6, t.floor+scale*b.hits/(b.of+prior))
		p1 := min(0.95, p0+t.step)
		hits, of = t.hit(fresh.Target)
		if spare {
			most, id := 0, ""
			for e, c := range a.Ill {
				if n, _ := t.hit(c); n > most || n == most && n > 0 && e < id {
					most, id = n, e
				}
			}
			n, _ := t.hit(a.Ill[id].less(old.Ill[id]))
			hits -= n
		}
		if of <= 0 || hits < 0 {
			continue
		}
		s := &j.sum[route][i]
		*s = max(0, *s+float64(hits)*math.Log(p1/p0)+float64(of-hits)*math.Log((1-p1)/(1-p0)))
		if *s >= suspect {
			v.Suspect = true
		}
		if *s >= alarm && !v.Bad {
			v.Bad = true
			v.Why = fmt.Sprintf("%s: %d of %d lately, the base's rate is %.3f", t.name, hits, of, b.hits/max(1, b.of))
			if route != whole {
				v.Why += " (route " + route + ")"
			}
		}
	}
}

// Clone copies the evidence.
func (e Evidence) Clone() Evidence { return maps.Clone(e) }
