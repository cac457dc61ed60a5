package rollout

import "maps"

// Counts is what was seen of one version, or one endpoint, on one route. It is sent by
// gob, so the field names are part of the internal protocol.
type Counts struct {
	Answers int // attempts that were answered, well or with a fault of the endpoint
	Failed  int // answers with a fault of the endpoint
	Broken  int // attempts that ended without an answer
	Timed   int // answers whose duration is comparable with others
	Slow    int // of Timed, those that took SlowFactor times the usual or longer
}

// SlowFactor is the multiple of a route's usual duration from which on an answer
// counts as slow.
const SlowFactor = 4

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{
		Answers: c.Answers + o.Answers,
		Failed:  c.Failed + o.Failed,
		Broken:  c.Broken + o.Broken,
		Timed:   c.Timed + o.Timed,
		Slow:    c.Slow + o.Slow,
	}
}

func (c Counts) subtract(o Counts) Counts {
	return Counts{
		Answers: c.Answers - o.Answers,
		Failed:  c.Failed - o.Failed,
		Broken:  c.Broken - o.Broken,
		Timed:   c.Timed - o.Timed,
		Slow:    c.Slow - o.Slow,
	}
}

// faults returns the counts that speak against a version alone.
func (c Counts) faults() Counts {
	return Counts{Failed: c.Failed, Broken: c.Broken, Slow: c.Slow}
}

// RouteCounts is what was seen of both versions on one route. It is sent by gob, so
// the field names are part of the internal protocol.
type RouteCounts struct {
	Base, Target Counts
	// Ill holds the faults among Target by endpoint ID; endpoints without any are left
	// out. The map may be shared and is never modified.
	Ill map[string]Counts
}

// NewBaseCounts returns the counts of attempts at an endpoint of the base.
func NewBaseCounts(c Counts) RouteCounts { return RouteCounts{Base: c} }

// NewTargetCounts returns the counts of attempts at one endpoint of the target.
func NewTargetCounts(endpoint string, c Counts) RouteCounts {
	counts := RouteCounts{Target: c}
	if faults := c.faults(); faults != (Counts{}) {
		counts.Ill = map[string]Counts{endpoint: faults}
	}
	return counts
}

func (r RouteCounts) add(o RouteCounts) RouteCounts {
	sum := RouteCounts{
		Base:   r.Base.Add(o.Base),
		Target: r.Target.Add(o.Target),
		Ill:    r.Ill,
	}
	if len(o.Ill) == 0 {
		return sum
	}
	sum.Ill = maps.Clone(r.Ill)
	if sum.Ill == nil {
		sum.Ill = map[string]Counts{}
	}
	for endpoint, faults := range o.Ill {
		sum.Ill[endpoint] = sum.Ill[endpoint].Add(faults)
	}
	return sum
}

// Evidence is what was seen of both versions of one service, by route. It is sent by
// gob.
type Evidence map[string]RouteCounts

// Add adds other evidence to e.
func (e Evidence) Add(o Evidence) {
	for route, counts := range o {
		e[route] = e[route].add(counts)
	}
}

// Clone returns a copy that Add to either does not change in the other.
func (e Evidence) Clone() Evidence { return maps.Clone(e) }

// TargetAnswers returns the number of the target's answers.
func (e Evidence) TargetAnswers() int {
	n := 0
	for _, counts := range e {
		n += counts.Target.Answers
	}
	return n
}

// TotalAnswers returns the number of the answers of both versions.
func (e Evidence) TotalAnswers() int {
	n := 0
	for _, counts := range e {
		n += counts.Base.Answers + counts.Target.Answers
	}
	return n
}
