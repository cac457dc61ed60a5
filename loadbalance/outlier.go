package loadbalance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// RecordServerError counts a 5xx response. It does not eject the endpoint, but is reported
// in its Observation, from which OutlierDetector derives the verdict.
func (p *Pool) RecordServerError(e *Endpoint) { e.unreported.Bad++ }

// RecordRejection excludes an endpoint that rejected a request from the candidates of Pick
// for a short time, as it is overloaded.
func (p *Pool) RecordRejection(now time.Duration, e *Endpoint) {
	e.overloadedUntil = now + p.cfg.BaseEjectionTime/overloadPauseDivisor
	e.unreported = e.unreported.Add(Observation{Answers: 1, Times: rejectionLatencyRatio})
}

const (
	// rejectionLatencyRatio is the latency ratio that a rejected request counts as.
	rejectionLatencyRatio = 3
	// overloadPauseDivisor makes the pause after a rejection a part of the base
	// ejection time.
	overloadPauseDivisor = 8
)

// Observation is what nodes observed of one endpoint since their last reports. The names of its
// fields are those of the wire format.
type Observation struct {
	Answers int // responses whose latency is in Times
	// Times sums the latencies of the responses, each divided by the usual one of its
	// route.
	Times float64
	// Bad is the number of failed attempts, Nodes how many nodes saw any of them.
	Bad   int
	Nodes int
}

// Add returns the sum of two observations.
func (o Observation) Add(other Observation) Observation {
	return Observation{
		Answers: o.Answers + other.Answers,
		Times:   o.Times + other.Times,
		Bad:     o.Bad + other.Bad,
		Nodes:   o.Nodes + other.Nodes,
	}
}

// CollectObservations moves what this node observed since the last call into to, by
// the IDs of the endpoints.
func (p *Pool) CollectObservations(to map[string]Observation) {
	for _, e := range p.endpoints {
		if e.unreported == (Observation{}) {
			continue
		}
		if e.unreported.Bad > 0 {
			e.unreported.Nodes = 1
		}
		to[e.ID] = e.unreported
		e.unreported = Observation{}
	}
}

// Verdict is the state of an endpoint according to the observations of all nodes. The names of its
// fields are those of the wire format.
type Verdict struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Pace is the latency of the endpoint in 1/32 of the usual one.
	Pace uint8
	// Sick reports that the endpoint is unhealthy: it fails too many attempts.
	Sick bool
}

// Bounds and unit of Verdict.Pace.
const (
	verdictPaceUnit = 32
	minVerdictPace  = 8
	maxVerdictPace  = math.MaxUint8
)

// SetVerdicts replaces the verdicts on the endpoints, by their IDs. An endpoint
// without one is healthy and of the usual latency. Until they expire, the few samples
// of this node do not change the latencies.
func (p *Pool) SetVerdicts(until time.Duration, verdicts map[string]Verdict) {
	p.verdictsUntil = until
	for _, e := range p.endpoints {
		if v, found := verdicts[e.ID]; found {
			e.latencyRatio = float64(v.Pace) / verdictPaceUnit
			e.unhealthy = v.Sick
		} else {
			e.latencyRatio = 1
			e.unhealthy = false
		}
	}
}

// SetUtilization sets which part of the service's slots is in use. While slots are free,
// faster endpoints are preferred more than in proportion to their throughput; when none
// are, each gets its proportion.
func (p *Pool) SetUtilization(used float64) {
	p.fastBias = min(1, max(0, (fastBiasEnd-used)/fastBiasRange))
}

// The preference for faster endpoints is none at fastBiasEnd of the slots, and full
// at fastBiasRange below.
const (
	fastBiasEnd   = 0.75
	fastBiasRange = 0.35
)

// OutlierDetector derives verdicts from the observations of all nodes. One node alone
// sees an endpoint too seldom to learn its latency or that it fails some requests, and
// cannot tell an unhealthy endpoint from a fault of its own. So only what several
// nodes saw fail makes an endpoint unhealthy. It is not safe for concurrent use.
type OutlierDetector struct {
	halfLife   time.Duration // of what was observed
	decayedAt  time.Duration
	statistics map[string]*endpointStatistics // by the ID of the endpoint
}

// endpointStatistics are decaying sums of the observations of one endpoint. Latency
// is remembered for longer, as it changes seldom and takes many answers to learn.
type endpointStatistics struct {
	attempts         float64
	failures         float64
	failureReporters float64

	answers         float64
	latencyRatioSum float64
}

const (
	// latencyHalfLifeFactor is how many half-lives of the failures one half-life of
	// the latency lasts.
	latencyHalfLifeFactor = 4
	// negligibleCount is the decayed sum below which an endpoint is forgotten.
	negligibleCount = 0.05
	// priorAnswers is how many answers of the usual latency each endpoint starts with.
	priorAnswers = 3
	// latencyTolerance is the deviation from the usual latency that needs no verdict.
	latencyTolerance = 0.06

	// unhealthyFailureRatio is the part of the attempts that an unhealthy endpoint
	// fails, at the least.
	unhealthyFailureRatio = 0.25
	// maxUnhealthyFraction is the part of a service's endpoints that may be unhealthy.
	maxUnhealthyFraction = 0.2
	// An endpoint needs minJudgedAttempts attempts before it can be unhealthy, and
	// minFailureReporters nodes that saw failures. The latter is below 2, as the count of
	// two nodes that reported shortly before has already decayed.
	minJudgedAttempts   = 3
	minFailureReporters = 1.5
)

// NewOutlierDetector returns a detector without observations. After halfLife, half of
// what was observed of failures is forgotten.
func NewOutlierDetector(halfLife time.Duration) *OutlierDetector {
	return &OutlierDetector{halfLife: halfLife, statistics: map[string]*endpointStatistics{}}
}

// Observe adds what nodes have observed since the last call, by the IDs of the
// endpoints.
func (d *OutlierDetector) Observe(observations map[string]Observation) {
	for id, o := range observations {
		s := d.statistics[id]
		if s == nil {
			s = &endpointStatistics{}
			d.statistics[id] = s
		}
		s.attempts += float64(o.Answers + o.Bad)
		s.answers += float64(o.Answers)
		s.latencyRatioSum += o.Times
		s.failures += float64(o.Bad)
		s.failureReporters += float64(o.Nodes)
	}
}

// Verdicts returns the verdicts on the endpoints, whose IDs are given by service. An
// endpoint without a verdict is healthy and of the usual latency.
func (d *OutlierDetector) Verdicts(now time.Duration, services map[string][]string) []Verdict {
	d.decay(now)
	var verdicts []Verdict
	for _, ids := range services {
		unhealthy := d.unhealthyOf(ids)
		for _, id := range ids {
			s := d.statistics[id]
			if s == nil {
				continue
			}
			ratio := s.latencyRatio()
			isUsual := ratio >= 1-latencyTolerance && ratio <= 1+latencyTolerance
			if isUsual && !unhealthy[id] {
				continue
			}
			pace := min(maxVerdictPace, max(minVerdictPace, ratio*verdictPaceUnit))
			verdicts = append(verdicts, Verdict{Endpoint: id, Pace: uint8(pace), Sick: unhealthy[id]})
		}
	}
	return verdicts
}

// decay lets the statistics age up to now, and forgets those of endpoints that have
// not been observed for long.
func (d *OutlierDetector) decay(now time.Duration) {
	halfLives := float64(now-d.decayedAt) / float64(d.halfLife)
	failureDecay := math.Exp2(-halfLives)
	latencyDecay := math.Exp2(-halfLives / latencyHalfLifeFactor)
	d.decayedAt = now
	for id, s := range d.statistics {
		s.attempts *= failureDecay
		s.failures *= failureDecay
		s.failureReporters *= failureDecay
		s.answers *= latencyDecay
		s.latencyRatioSum *= latencyDecay
		if s.answers < negligibleCount && s.attempts < negligibleCount {
			delete(d.statistics, id)
		}
	}
}

// unhealthyOf returns which endpoints of one service are unhealthy. If too many are,
// only those with the highest failure ratios count: a fault of the proxies, or of something
// that all endpoints depend on, is then more likely than one of each endpoint.
func (d *OutlierDetector) unhealthyOf(ids []string) map[string]bool {
	var failing []string
	for _, id := range ids {
		if s := d.statistics[id]; s != nil && s.isFailing() {
			failing = append(failing, id)
		}
	}
	slices.SortFunc(failing, func(a, b string) int {
		return cmp.Compare(d.statistics[b].failureRatio(), d.statistics[a].failureRatio())
	})
	limit := int(maxUnhealthyFraction * float64(len(ids)))
	unhealthy := map[string]bool{}
	for _, id := range failing[:min(len(failing), limit)] {
		unhealthy[id] = true
	}
	return unhealthy
}

// isFailing reports whether the endpoint fails enough attempts, at enough nodes, to be
// unhealthy.
func (s *endpointStatistics) isFailing() bool {
	return s.failureReporters >= minFailureReporters &&
		s.attempts >= minJudgedAttempts &&
		s.failureRatio() > unhealthyFailureRatio
}

func (s *endpointStatistics) failureRatio() float64 { return s.failures / s.attempts }

// latencyRatio returns the mean latency of the endpoint divided by the usual one.
func (s *endpointStatistics) latencyRatio() float64 {
	return (s.latencyRatioSum + priorAnswers) / (s.answers + priorAnswers)
}
