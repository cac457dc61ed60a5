package loadbalance

import (
	"math"
	"sort"
	"time"
)

// Observation is what nodes saw of one endpoint over a while: how many answers, the sum
// statistics their times over what is usual, how many attempts failed, and at how many
// nodes.
type Observation struct {
	Answers int
	Times   float64
	Bad     int
	Nodes   int
}

// Add sums what was seen.
func (s Observation) Add(o Observation) Observation {
	return Observation{s.Answers + o.Answers, s.Times + o.Times, s.Bad + o.Bad, s.Nodes + o.Nodes}
}

// Verdict is what all nodes together make of an endpoint. Pace is in units of
// 1/32 of what is usual.
type Verdict struct {
	Endpoint string
	Pace     uint8
	Sick     bool
}

const verdictPaceUnit = 32

// OutlierDetector makes verdicts of what all nodes saw (collaborative outlier detection).
// A node alone sees an endpoint too seldom to learn its pace or that it fails
// some of its requests; and it cannot tell an ill endpoint from trouble of its
// own, so only what two nodes saw fail counts as ill.
type OutlierDetector struct {
	halfLife   time.Duration // after so long half of what was seen is forgotten
	decayedAt  time.Duration
	statistics map[string]*endpointStatistics
}

// endpointStatistics holds what failed, and out of how many, for a short while, and how fast
// answers came for longer: a pace lasts, and it takes many answers to tell.
type endpointStatistics struct {
	attempts, failures, failureReporters float64
	answers, latencyRatioSum             float64
}

const latencyHalfLifeFactor = 4 // times as long

// NewOutlierDetector makes a judge that has seen nothing.
func NewOutlierDetector(lasts time.Duration) *OutlierDetector {
	return &OutlierDetector{halfLife: lasts, statistics: map[string]*endpointStatistics{}}
}

// Observe takes what nodes saw since the last time.
func (j *OutlierDetector) Observe(seen map[string]Observation) {
	for id, s := range seen {
		r := j.statistics[id]
		if r == nil {
			r = &endpointStatistics{}
			j.statistics[id] = r
		}
		r.attempts += float64(s.Answers + s.Bad)
		r.answers += float64(s.Answers)
		r.latencyRatioSum += s.Times
		r.failures += float64(s.Bad)
		r.failureReporters += float64(s.Nodes)
	}
}

const (
	priorAnswers          = 3    // answers at the usual pace that every endpoint is given
	unhealthyFailureRatio = 0.25 // of the attempts fail
	maxUnhealthyFraction  = 0.2  // of a service's endpoints at the most
	latencyTolerance      = 0.06 // a pace this near to the usual one need not be told
)

// Verdicts gives what is to be told of the endpoints of each service; whoever is
// not named is of the usual pace and well.
func (j *OutlierDetector) Verdicts(now time.Duration, services map[string][]string) []Verdict {
	halves := float64(now-j.decayedAt) / float64(j.halfLife)
	short, long := math.Exp2(-halves), math.Exp2(-halves/latencyHalfLifeFactor)
	j.decayedAt = now
	for id, r := range j.statistics {
		r.attempts, r.failures, r.failureReporters = r.attempts*short, r.failures*short, r.failureReporters*short
		r.answers, r.latencyRatioSum = r.answers*long, r.latencyRatioSum*long
		if r.answers < 0.05 && r.attempts < 0.05 {
			delete(j.statistics, id)
		}
	}
	var out []Verdict
	for _, ids := range services {
		var sick []string
		share := func(id string) float64 { r := j.statistics[id]; return r.failures / r.attempts }
		for _, id := range ids {
			if r := j.statistics[id]; r != nil && r.failureReporters >= 1.5 && r.attempts >= 3 && share(id) > unhealthyFailureRatio {
				sick = append(sick, id)
			}
		}
		sort.Slice(sick, func(i, k int) bool { return share(sick[i]) > share(sick[k]) })
		ill := map[string]bool{}
		for _, id := range sick[:min(len(sick), int(maxUnhealthyFraction*float64(len(ids))))] {
			ill[id] = true
		}
		for _, id := range ids {
			r := j.statistics[id]
			if r == nil {
				continue
			}
			pace := (r.latencyRatioSum + priorAnswers) / (r.answers + priorAnswers)
			if ill[id] || pace < 1-latencyTolerance || pace > 1+latencyTolerance {
				out = append(out, Verdict{id, uint8(min(255, max(8, pace*verdictPaceUnit))), ill[id]})
			}
		}
	}
	return out
}

// CollectObservations gives what this node saw since the last time.
func (p *Pool) CollectObservations(to map[string]Observation) {
	for _, e := range p.endpoints {
		if e.unreported != (Observation{}) {
			if e.unreported.Bad > 0 {
				e.unreported.Nodes = 1
			}
			to[e.ID] = e.unreported
			e.unreported = Observation{}
		}
	}
}

// RecordServerError notes that an endpoint failed a request that it answered.
func (p *Pool) RecordServerError(e *Endpoint) { e.unreported.Bad++ }

// SetVerdicts takes what all nodes together make of the endpoints; it holds
// until a moment, and till then this node's own few samples do not count.
func (p *Pool) SetVerdicts(until time.Duration, of map[string]Verdict) {
	p.verdictsUntil = until
	for _, e := range p.endpoints {
		if v, told := of[e.ID]; told {
			e.latencyRatio, e.unhealthy = float64(v.Pace)/verdictPaceUnit, v.Sick
		} else {
			e.latencyRatio, e.unhealthy = 1, false
		}
	}
}

// SetUtilization tells how much of the service's slots are in use. While there is room,
// the faster endpoints are worth more than their pace alone says; when there is
// none, each gets what it can work off.
func (p *Pool) SetUtilization(use float64) {
	p.fastBias = min(1, max(0, (0.75-use)/0.35))
}
