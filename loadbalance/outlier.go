package loadbalance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// RecordServerError counts a 5xx response. It does not eject the endpoint; the count is
// reported in the Observation from which OutlierDetector derives verdicts.
func (p *Pool) RecordServerError(e *Endpoint) { e.unreported.Bad++ }

// RecordRejection excludes an endpoint that rejected a request because of overload from the
// candidates of Pick for a short time.
func (p *Pool) RecordRejection(now time.Duration, e *Endpoint) {
	e.overloadedUntil = now + p.cfg.BaseEjectionTime/overloadPauseDivisor
	e.unreported = e.unreported.Add(Observation{Answers: 1, Times: rejectionLatencyRatio})
}

const (
	// rejectionLatencyRatio is the latency ratio recorded for a rejected request.
	rejectionLatencyRatio = 3
	// The pause after a rejection is the base ejection time divided by overloadPauseDivisor.
	overloadPauseDivisor = 8
)

// Observation holds what one or more nodes observed of an endpoint since their last reports.
// The field names are part of the wire format.
type Observation struct {
	Answers int // number of responses whose latency is in Times
	// Times is the sum of the latency ratios of the responses: the latency of each relative
	// to the usual latency of its route.
	Times float64
	// Bad is the number of failed attempts, and Nodes the number of nodes that saw any.
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

// CollectObservations moves the observations of this node since the last call to dst, keyed
// by endpoint ID.
func (p *Pool) CollectObservations(dst map[string]Observation) {
	for _, e := range p.endpoints {
		if e.unreported == (Observation{}) {
			continue
		}
		if e.unreported.Bad > 0 {
			e.unreported.Nodes = 1
		}
		dst[e.ID] = e.unreported
		e.unreported = Observation{}
	}
}

// Verdict is the health and latency of an endpoint according to the observations of all
// nodes. The field names are part of the wire format.
type Verdict struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Pace is the latency ratio of the endpoint in units of 1/32: 32 is the usual latency.
	Pace uint8
	// Sick reports whether the endpoint is unhealthy, that is, fails too many attempts.
	Sick bool
}

// The unit and the range of Verdict.Pace.
const (
	verdictPaceUnit = 32
	minVerdictPace  = 8
	maxVerdictPace  = math.MaxUint8
)

// SetVerdicts replaces the verdicts, keyed by endpoint ID. An endpoint without a verdict is
// healthy and has the usual latency. Until the verdicts expire, the few latency samples of
// this node are not used.
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

// SetUtilization sets the fraction of the service's slots that is in use. At low utilization,
// fast endpoints get more requests than in proportion to their throughput; at high
// utilization, every endpoint gets its proportion.
func (p *Pool) SetUtilization(utilization float64) {
	p.lowLatencyBias = min(1, max(0, (biasMaxUtilization-utilization)/biasUtilizationRange))
}

// The bias towards fast endpoints falls linearly from 1 at a utilization of
// biasMaxUtilization-biasUtilizationRange to 0 at biasMaxUtilization.
const (
	biasMaxUtilization   = 0.75
	biasUtilizationRange = 0.35
)

// OutlierDetector derives verdicts from the observations of all nodes. A single node sends an
// endpoint too few requests to learn its latency or a partial failure, and cannot distinguish
// an unhealthy endpoint from a fault of its own. An endpoint therefore counts as unhealthy
// only if several nodes saw failures. An OutlierDetector is not safe for concurrent use.
type OutlierDetector struct {
	halfLife   time.Duration // of the attempt and failure counts
	decayedAt  time.Duration
	statistics map[string]*endpointStatistics // by endpoint ID
}

// endpointStatistics holds exponentially decaying sums of the observations of one endpoint.
// Latency sums decay more slowly, because latency changes seldom and takes many responses to
// estimate.
type endpointStatistics struct {
	attempts         float64
	failures         float64
	failureReporters float64

	answers         float64
	latencyRatioSum float64
}

const (
	// latencyHalfLifeFactor is the half-life of the latency sums relative to that of the
	// failure sums.
	latencyHalfLifeFactor = 4
	// minRetainedCount is the decayed count below which the statistics of an endpoint are
	// deleted.
	minRetainedCount = 0.05
	// priorAnswers is the number of assumed responses of the usual latency with which the
	// estimate of each endpoint starts.
	priorAnswers = 3
	// latencyTolerance is the deviation from the usual latency up to which no verdict is
	// needed.
	latencyTolerance = 0.06

	// unhealthyFailureRatio is the fraction of failed attempts above which an endpoint is
	// unhealthy.
	unhealthyFailureRatio = 0.25
	// maxUnhealthyFraction is the maximum fraction of a service's endpoints that are
	// declared unhealthy.
	maxUnhealthyFraction = 0.2
	// An endpoint is declared unhealthy only after minVerdictAttempts attempts, and only if
	// minFailureReporters nodes saw failures. The latter is below 2 because the decayed
	// count of two nodes that reported a short time ago is less than 2.
	minVerdictAttempts  = 3
	minFailureReporters = 1.5
)

// NewOutlierDetector returns a detector without observations. halfLife is the half-life of
// the attempt and failure counts.
func NewOutlierDetector(halfLife time.Duration) *OutlierDetector {
	return &OutlierDetector{halfLife: halfLife, statistics: map[string]*endpointStatistics{}}
}

// Observe adds the observations of nodes since the last call, keyed by endpoint ID.
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

// Verdicts returns the verdicts on the endpoints of the given services; services maps each
// service to its endpoint IDs. An endpoint without a verdict is healthy and has the usual
// latency.
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

// decay applies the exponential decay up to now, and deletes the statistics of endpoints that
// have not been observed for a long time.
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
		if s.answers < minRetainedCount && s.attempts < minRetainedCount {
			delete(d.statistics, id)
		}
	}
}

// unhealthyOf returns the unhealthy endpoints of one service, given all its endpoint IDs. If
// more than maxUnhealthyFraction of them are failing, only those with the highest failure
// ratios are returned: a fault of the proxies or of a shared dependency is then more likely
// than separate faults of the endpoints.
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

// isFailing reports whether the endpoint has failed enough attempts, from enough nodes, to
// count as unhealthy.
func (s *endpointStatistics) isFailing() bool {
	return s.failureReporters >= minFailureReporters &&
		s.attempts >= minVerdictAttempts &&
		s.failureRatio() > unhealthyFailureRatio
}

func (s *endpointStatistics) failureRatio() float64 { return s.failures / s.attempts }

// latencyRatio returns the mean latency of the endpoint relative to the usual latency.
func (s *endpointStatistics) latencyRatio() float64 {
	return (s.latencyRatioSum + priorAnswers) / (s.answers + priorAnswers)
}
