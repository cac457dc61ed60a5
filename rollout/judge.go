package rollout

import (
	"fmt"
	"maps"
	"math"
)

// Counts is what was seen of one version on one route.
type Counts struct {
	Answers int // endpoints that answered, well or with a failure of their own
	Failed  int // of these, failures
	Broken  int // attempts that ended without an answer
	Timed   int // answers whose time says something
	Slow    int // of these, several times slower than usual
}

// Add sums counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Failed + o.Failed, c.Broken + o.Broken, c.Timed + o.Timed, c.Slow + o.Slow}
}

func (c Counts) subtract(o Counts) Counts {
	return Counts{c.Answers - o.Answers, c.Failed - o.Failed, c.Broken - o.Broken, c.Timed - o.Timed, c.Slow - o.Slow}
}

// faults keeps only what speaks against a version.
func (c Counts) faults() Counts { return Counts{Failed: c.Failed, Broken: c.Broken, Slow: c.Slow} }

// RouteCounts is a route's counts for both versions.
type RouteCounts struct {
	Base, Target Counts
	// Ill is what of the target's counts speaks against it, by endpoint.
	Ill map[string]Counts
}

func (a RouteCounts) add(o RouteCounts) RouteCounts {
	out := RouteCounts{a.Base.Add(o.Base), a.Target.Add(o.Target), a.Ill}
	if len(o.Ill) > 0 {
		out.Ill = maps.Clone(a.Ill) // it may be shared with whoever was told
		if out.Ill == nil {
			out.Ill = map[string]Counts{}
		}
		for id, c := range o.Ill {
			out.Ill[id] = out.Ill[id].Add(c)
		}
	}
	return out
}

// NewBaseCounts and OfTarget are one attempt's counts at an endpoint of either version.
func NewBaseCounts(c Counts) RouteCounts { return RouteCounts{Base: c} }

// NewTargetCounts is OfBase for the target.
func NewTargetCounts(endpoint string, c Counts) RouteCounts {
	a := RouteCounts{Target: c}
	if h := c.faults(); h != (Counts{}) {
		a.Ill = map[string]Counts{endpoint: h}
	}
	return a
}

// Evidence is counts by route.
type Evidence map[string]RouteCounts

// Add sums evidence into e.
func (e Evidence) Add(o Evidence) {
	for route, a := range o {
		e[route] = e[route].add(a)
	}
}

// TargetAnswers is how many answers of the target it holds.
func (e Evidence) TargetAnswers() int {
	n := 0
	for _, a := range e {
		n += a.Target.Answers
	}
	return n
}

// TotalAnswers is how many answers of both versions it holds.
func (e Evidence) TotalAnswers() int {
	n := 0
	for _, a := range e {
		n += a.Base.Answers + a.Target.Answers
	}
	return n
}

// SlowFactor is from which multiple of a route's usual time on an answer counts as slow.
const SlowFactor = 4

// Verdict is what the evidence says.
type Verdict struct {
	Bad     bool
	Suspect bool // not bad yet, but no time to give it more
	Reason  string
}

// criterion is one way in which a version can be worse. A version that is worse by
// subtract than floor is taken as it is, one that is worse by floor + step must be
// found. scale weighs the base's own rate: both versions meet the same bursts,
// crashes and broken links, but not at the same moment.
type criterion struct {
	name                          string
	tolerance, detectableIncrease float64
	countFaults                   func(Counts) (hits, of int)
}

const baseRateFactor = 1.5

var criteria = [...]criterion{
	{"answers fail", 0.02, 0.10, func(c Counts) (int, int) { return c.Failed, c.Answers }},
	{"attempts break", 0.10, 0.25, func(c Counts) (int, int) { return c.Broken, c.Answers + c.Broken }},
	{"answers are slow", 0.10, 0.25, func(c Counts) (int, int) { return c.Slow, c.Timed }},
}

// The test is a cumulative sum (CUSUM) of log-likelihood ratios: reset at nothing,
// so that a fault that comes late has no good past to make up for. At alarm the
// version is bad: a version whose rate is at the floor alarms falsely once in some
// e^alarm answers, one at floor + step after a few dozen. Above suspect nothing
// goes further.
const (
	alarmThreshold   = 12
	suspectThreshold = 4
)

// Analyzer weighs one order's evidence as it grows.
type Analyzer struct {
	previous  map[string]RouteCounts
	cusum     map[string]*[len(criteria)]float64
	baseRates map[string]*[len(criteria)]faultRate // of the base, lately
}

type faultRate struct{ faults, trials float64 }

// allRoutes is the sum over all routes, judged like one.
const allRoutes = ""

// NewAnalyzer makes a judge that has seen nothing.
func NewAnalyzer() *Analyzer {
	return &Analyzer{previous: map[string]RouteCounts{}, cusum: map[string]*[len(criteria)]float64{}, baseRates: map[string]*[len(criteria)]faultRate{}}
}

// minEndpointsToExclude is how many endpoints of the target there must be for the one that shows
// most ill to be left out: it may be ill by itself, and a bad version is bad
// everywhere.
const minEndpointsToExclude = 3

// Analyze takes all evidence so far, of a target with so many endpoints, and gives the
// verdict.
func (j *Analyzer) Analyze(e Evidence, endpoints int) Verdict {
	var all RouteCounts
	for _, a := range e {
		all = all.add(a)
	}
	var v Verdict
	j.analyzeRoute(allRoutes, all, endpoints >= minEndpointsToExclude, &v)
	for route, a := range e {
		j.analyzeRoute(route, a, endpoints >= minEndpointsToExclude, &v)
	}
	return v
}

// The base's rate is over its latest answers rather than over a time, as it gets
// none any more once all has moved. prior is how many good ones it is given
// beforehand.
const (
	baseRateWindow = 2000
	priorAnswers   = 20
)

func (j *Analyzer) analyzeRoute(route string, a RouteCounts, spare bool, v *Verdict) {
	old := j.previous[route]
	fresh := RouteCounts{a.Base.subtract(old.Base), a.Target.subtract(old.Target), nil}
	j.previous[route] = a
	if j.cusum[route] == nil {
		j.cusum[route], j.baseRates[route] = new([len(criteria)]float64), new([len(criteria)]faultRate)
	}
	for i, t := range criteria {
		b := &j.baseRates[route][i]
		hits, of := t.countFaults(fresh.Base)
		b.faults, b.trials = b.faults+float64(max(0, hits)), b.trials+float64(max(0, of))
		if b.trials > baseRateWindow {
			b.faults, b.trials = b.faults*baseRateWindow/b.trials, baseRateWindow
		}
		p0 := min(0.6, t.tolerance+baseRateFactor*b.faults/(b.trials+priorAnswers))
		p1 := min(0.95, p0+t.detectableIncrease)
		hits, of = t.countFaults(fresh.Target)
		if spare {
			most, id := 0, ""
			for e, c := range a.Ill {
				if n, _ := t.countFaults(c); n > most || n == most && n > 0 && e < id {
					most, id = n, e
				}
			}
			n, _ := t.countFaults(a.Ill[id].subtract(old.Ill[id]))
			hits -= n
		}
		if of <= 0 || hits < 0 {
			continue
		}
		s := &j.cusum[route][i]
		*s = max(0, *s+float64(hits)*math.Log(p1/p0)+float64(of-hits)*math.Log((1-p1)/(1-p0)))
		if *s >= suspectThreshold {
			v.Suspect = true
		}
		if *s >= alarmThreshold && !v.Bad {
			v.Bad = true
			v.Reason = fmt.Sprintf("%s: %d of %d lately, the base's rate is %.3f", t.name, hits, of, b.faults/max(1, b.trials))
			if route != allRoutes {
				v.Reason += " (route " + route + ")"
			}
		}
	}
}

// Clone copies the evidence.
func (e Evidence) Clone() Evidence { return maps.Clone(e) }
