package rollout

import "maps"

// Counts holds the outcomes of attempts at one version, or one endpoint, on one route. It is
// sent with gob, so the field names are part of the internal protocol.
type Counts struct {
	Answers int // attempts that were answered, successfully or with an endpoint fault
	Failed  int // answers with an endpoint fault
	Broken  int // attempts that ended without an answer
	Timed   int // attempts whose latency was compared with the typical latency
	Slow    int // of Timed, those that took SlowFactor times the typical latency or longer
}

// SlowFactor is the multiple of a route's typical latency from which an attempt counts as
// slow.
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

// faults returns only the counts of faults.
func (c Counts) faults() Counts {
	return Counts{Failed: c.Failed, Broken: c.Broken, Slow: c.Slow}
}

// RouteCounts holds the outcomes of attempts at both versions on one route. It is sent with
// gob, so the field names are part of the internal protocol.
type RouteCounts struct {
	Base, Target Counts
	// Ill holds the faults in Target by endpoint ID, without endpoints that have none. The
	// map may be shared and must not be modified.
	Ill map[string]Counts
}

// NewBaseCounts returns the counts of attempts at the base version.
func NewBaseCounts(c Counts) RouteCounts { return RouteCounts{Base: c} }

// NewTargetCounts returns the counts of attempts at one endpoint of the target version.
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

// Evidence holds the outcomes of attempts at both versions of one service, by route. It is
// sent with gob.
type Evidence map[string]RouteCounts

// Add adds the counts of o to e.
func (e Evidence) Add(o Evidence) {
	for route, counts := range o {
		e[route] = e[route].add(counts)
	}
}

// Clone returns a copy. Add on either does not change the other.
func (e Evidence) Clone() Evidence { return maps.Clone(e) }

// TargetAnswers returns the number of answers of the target.
func (e Evidence) TargetAnswers() int {
	n := 0
	for _, counts := range e {
		n += counts.Target.Answers
	}
	return n
}

// TotalAnswers returns the number of answers of both versions.
func (e Evidence) TotalAnswers() int {
	n := 0
	for _, counts := range e {
		n += counts.Base.Answers + counts.Target.Answers
	}
	return n
}
