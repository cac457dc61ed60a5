package rollout_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"lichentray/rollout"
)

// reportInterval is the step of simulated time. Proxies report once per step.
const reportInterval = 300 * time.Millisecond

// faultRates returns the fractions of the target's answers that fail and that are slow, in
// addition to the base rates. load is the load of its endpoints; 1 is the load of all traffic.
type faultRates func(at time.Duration, route string, load float64) (fail, slow float64)

// trafficModel describes the traffic of a service as its proxies observe it.
type trafficModel struct {
	random            *rand.Rand
	requestsPerSecond float64
	// Rates at which attempts at both versions fail, are slow, and end without an answer.
	failRate, slowRate, brokenRate float64
	burstRate                      func(at time.Duration) float64 // added to brokenRate
	targetFaults                   faultRates
	hasFaultyEndpoint              bool // one target endpoint fails while the target's share is small
	hasNoLeader                    func(at time.Duration) bool
}

// simulationResult is the outcome of a simulated rollout.
type simulationResult struct {
	state     rollout.State
	reason    string
	decidedAt time.Duration
	exposure  float64 // fraction of all requests before the deadline that went to the target
	// exposureAfterFault is the time from the 50th bad answer of the target to its last
	// request.
	exposureAfterFault time.Duration
}

// simulation is the state of a simulated rollout.
type simulation struct {
	trafficModel
	rollout  rollout.Rollout
	analyzer *rollout.Analyzer
	split    rollout.StratifiedSplit
	share    float64 // fraction of the requests that the proxies send to the target
	reported rollout.Evidence
	// observed is the evidence that the proxies will report in the next step.
	observed rollout.Evidence

	stage        int // newest stage that the proxies know
	stageAt      time.Duration
	stageAnswers int // answers of the target before the stage

	requests, targetRequests int
	badAnswers               int
	fiftiethBadAt            time.Duration
	lastTargetRequestAt      time.Duration
	result                   simulationResult
}

// simulate runs one rollout. Decisions reach the proxies with a delay of one step, and the
// observations of the proxies reach the analyzer with a delay of one step.
func (m trafficModel) simulate(t *testing.T) simulationResult {
	sim := &simulation{
		trafficModel: m,
		rollout:      startedRollout(t),
		analyzer:     rollout.NewAnalyzer(),
		reported:     rollout.Evidence{},
		observed:     rollout.Evidence{},
	}
	for at := time.Duration(0); at < deadline; at += reportInterval {
		sim.reported.Add(sim.observed)
		sim.observed = rollout.Evidence{}
		sim.split.Decay()
		for i, part := range []float64{0.6, 0.3, 0.1} {
			n := sim.poisson(sim.requestsPerSecond * part * reportInterval.Seconds())
			for range n {
				sim.request(at, i, []string{"lookup", "reserve", "export"}[i])
			}
		}
		sim.updateShare(at)
		if !sim.isWithoutLeader(at) {
			sim.advance(at)
		}
	}
	sim.result.state = sim.rollout.State
	sim.result.reason = sim.rollout.Reason
	sim.result.exposure = float64(sim.targetRequests) / float64(sim.requests)
	if sim.badAnswers >= 50 {
		sim.result.exposureAfterFault = sim.lastTargetRequestAt - sim.fiftiethBadAt
	}
	return sim.result
}

// poisson returns a random number from a Poisson distribution with this mean.
func (sim *simulation) poisson(mean float64) int {
	n, limit, product := 0, math.Exp(-mean), 1.0
	for product *= sim.random.Float64(); product > limit; product *= sim.random.Float64() {
		n++
	}
	return n
}

func (sim *simulation) isWithoutLeader(at time.Duration) bool {
	return sim.hasNoLeader != nil && sim.hasNoLeader(at)
}

// request simulates one request on a route and records its outcome.
func (sim *simulation) request(at time.Duration, routeNumber int, route string) {
	sim.requests++
	sim.split.RecordRequest(routeNumber)
	isTarget := sim.random.Float64() < sim.split.RouteShare(sim.share, routeNumber)
	fail, slow, broken := sim.failRate, sim.slowRate, sim.brokenRate
	if sim.burstRate != nil {
		broken += sim.burstRate(at)
	}
	endpoint := 0
	if isTarget {
		sim.targetRequests++
		sim.lastTargetRequestAt = at
		if sim.targetFaults != nil {
			load := 1.0
			if sim.share < 1 {
				load = 1.25
			}
			targetFail, targetSlow := sim.targetFaults(at, route, load)
			fail += targetFail
			slow += targetSlow
		}
		endpoint = sim.random.Intn(6)
		if sim.hasFaultyEndpoint && sim.share < 0.1 && endpoint == 0 {
			fail += 0.4
		}
	}
	counts := rollout.Counts{Answers: 1, Timed: 1}
	switch x := sim.random.Float64(); {
	case x < broken:
		counts = rollout.Counts{Broken: 1}
	case x < broken+fail:
		counts = rollout.Counts{Answers: 1, Failed: 1}
	case x < broken+fail+slow:
		counts.Slow = 1
	}
	if !isTarget {
		sim.observed.Add(rollout.Evidence{route: rollout.NewBaseCounts(counts)})
		return
	}
	sim.observed.Add(rollout.Evidence{route: rollout.NewTargetCounts(fmt.Sprint(endpoint), counts)})
	if counts.Failed+counts.Slow > 0 && sim.targetFaults != nil {
		sim.badAnswers++
		if sim.badAnswers == 50 {
			sim.fiftiethBadAt = at
		}
	}
}

// updateShare sets the share that the proxies apply from the next step on.
func (sim *simulation) updateShare(at time.Duration) {
	sim.share = 0
	if sim.rollout.State == rollout.InProgress && at > time.Second {
		sim.share = sim.rollout.TrafficShare()
	}
	if sim.rollout.State == rollout.Succeeded {
		sim.share = 1
	}
	if sim.isWithoutLeader(at) && (sim.share < 1 || sim.rollout.State == rollout.InProgress) {
		sim.share = 0 // the proxies' leases have expired
	}
}

// advance makes the leader derive the next state.
func (sim *simulation) advance(at time.Duration) {
	if sim.rollout.Stage != sim.stage {
		sim.stage = sim.rollout.Stage
		sim.stageAt = at
		sim.stageAnswers = sim.reported.TargetAnswers()
	}
	next, changed := sim.rollout.Advance(rollout.Observation{
		Elapsed:            at,
		StageElapsed:       at - sim.stageAt,
		AnalysisDelay:      time.Second,
		PropagationDelay:   800 * time.Millisecond,
		Verdict:            sim.analyzer.Analyze(sim.reported, 6),
		StageTargetAnswers: sim.reported.TargetAnswers() - sim.stageAnswers,
		TargetAnswers:      sim.reported.TargetAnswers(),
		TotalAnswers:       sim.reported.TotalAnswers(),
		BaseCapacity:       100,
		TargetCapacity:     100,
		TrafficShifted:     at-sim.stageAt > 2*time.Second,
	})
	if !changed {
		return
	}
	sim.rollout = next
	if next.State != rollout.InProgress {
		sim.result.decidedAt = at
	}
}

// TestVerdicts guards against an analysis that promotes bad versions, rolls back good ones or
// exposes too many requests to a bad version. It simulates rollouts with many seeds and limits
// the number of wrong decisions and the exposure of each case.
func TestVerdicts(t *testing.T) {
	always := func(fail, slow float64) faultRates {
		return func(time.Duration, string, float64) (float64, float64) { return fail, slow }
	}
	since := func(start time.Duration, fail float64) faultRates {
		return func(at time.Duration, _ string, _ float64) (float64, float64) {
			if at < start {
				return 0, 0
			}
			return fail, 0
		}
	}
	onRoute := func(faulty string, fail float64) faultRates {
		return func(_ time.Duration, route string, _ float64) (float64, float64) {
			if route == faulty {
				return fail, 0
			}
			return 0, 0
		}
	}
	underLoad := func(fail float64) faultRates {
		return func(_ time.Duration, _ string, load float64) (float64, float64) {
			if load >= 1 {
				return fail, 0
			}
			return 0, 0
		}
	}
	crash := func(at time.Duration) float64 {
		if at > 6*time.Second && at < 8*time.Second {
			return 0.15
		}
		return 0
	}
	partition := func(at time.Duration) bool { return at > 4*time.Second && at < 7*time.Second }
	for _, test := range []struct {
		name     string
		model    trafficModel
		isGood   bool
		maxWrong int // wrong decisions
	}{
		{"good", trafficModel{}, true, 0},
		{"good, few requests", trafficModel{requestsPerSecond: 120}, true, 1},
		{"good, very few requests", trafficModel{requestsPerSecond: 25}, true, 3},
		{"good, crashes of both versions", trafficModel{burstRate: crash}, true, 0},
		{"good, one unhealthy endpoint", trafficModel{hasFaultyEndpoint: true}, true, 2},
		{"good, broken attempts at both versions", trafficModel{brokenRate: 0.05}, true, 0},
		{"good, frequent faults of both versions", trafficModel{failRate: 0.05, slowRate: 0.06}, true, 0},
		{"good, no leader for three seconds", trafficModel{hasNoLeader: partition}, true, 0},
		{"good, fault rate slightly above the base", trafficModel{failRate: 0.02, targetFaults: always(0.01, 0)}, true, 1},
		{"bad from the start", trafficModel{targetFaults: always(0.43, 0)}, false, 0},
		{"bad, 20% of answers fail", trafficModel{targetFaults: always(0.2, 0)}, false, 0},
		{"bad, slow", trafficModel{targetFaults: always(0, 0.4)}, false, 0},
		{"bad after 3.5 s", trafficModel{targetFaults: since(3500*time.Millisecond, 0.41)}, false, 0},
		{"bad after 10.4 s, when all traffic moves", trafficModel{targetFaults: since(10400*time.Millisecond, 0.41)}, false, 0},
		{"bad on one route", trafficModel{targetFaults: onRoute("export", 0.43)}, false, 0},
		{"bad under full load", trafficModel{targetFaults: underLoad(0.43)}, false, 0},
		{"bad, no leader for three seconds", trafficModel{hasNoLeader: partition, targetFaults: since(4*time.Second, 0.43)}, false, 0},
		{"bad, crashes of both versions", trafficModel{burstRate: crash, targetFaults: since(6*time.Second, 0.43)}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			const runs = 60
			wrong, worst := 0, simulationResult{}
			for seed := range int64(runs) {
				model := test.model
				model.random = rand.New(rand.NewSource(seed))
				if model.requestsPerSecond == 0 {
					model.requestsPerSecond = 600
				}
				model.failRate += 0.004
				model.slowRate += 0.02
				got := model.simulate(t)
				if isGood := got.state == rollout.Succeeded; isGood != test.isGood {
					wrong++
					t.Logf("seed %d: %s after %v, %s", seed, got.state, got.decidedAt, got.reason)
				}
				worst.exposure = max(worst.exposure, got.exposure)
				worst.exposureAfterFault = max(worst.exposureAfterFault, got.exposureAfterFault)
			}
			if wrong > test.maxWrong {
				t.Errorf("%d of %d decisions are wrong, more than the maximum", wrong, runs)
			}
			if !test.isGood && (worst.exposure > 0.1 || worst.exposureAfterFault > 4*time.Second) {
				t.Errorf("exposure to a bad version = %.3f of the requests, ending %v after its 50th bad answer, want at most 0.1 and 4s", worst.exposure, worst.exposureAfterFault)
			}
			t.Logf("%d wrong decisions, maximum exposure %.3f, ending %v after the 50th bad answer", wrong, worst.exposure, worst.exposureAfterFault)
		})
	}
}
