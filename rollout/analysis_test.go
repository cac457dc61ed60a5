package rollout_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"lichentray/rollout"
)

// reportInterval is the step of simulated time: proxies report once in it.
const reportInterval = 300 * time.Millisecond

// faultRates returns the parts of the target's answers that fail and that are slow, in
// addition to the ordinary ones. load is that of its endpoints, 1 with all traffic.
type faultRates func(at time.Duration, route string, load float64) (fail, slow float64)

// trafficModel is the traffic of a service as its proxies see it.
type trafficModel struct {
	random            *rand.Rand
	requestsPerSecond float64
	// Rates of the answers of both versions that fail, are slow, and do not come.
	failRate, slowRate, brokenRate float64
	burstRate                      func(at time.Duration) float64 // added to brokenRate
	targetFaults                   faultRates
	hasFaultyEndpoint              bool // of the target, while it has few
	hasNoLeader                    func(at time.Duration) bool
}

// simulationResult is what a roll-out came to in a trafficModel.
type simulationResult struct {
	state     rollout.State
	reason    string
	decidedAt time.Duration
	exposure  float64 // part of all requests that the target got before the deadline
	// exposureAfterFault is the time from the 50th bad answer to the last request.
	exposureAfterFault time.Duration
}

// simulation is one roll-out in a trafficModel.
type simulation struct {
	trafficModel
	rollout  rollout.Rollout
	analyzer *rollout.Analyzer
	split    rollout.StratifiedSplit
	share    float64 // of the requests that the proxies send to the target
	reported rollout.Evidence
	// observed is what the proxies will report next.
	observed rollout.Evidence

	stage        int // that the proxies know
	stageAt      time.Duration
	stageAnswers int // of the target before the stage

	requests, targetRequests int
	badAnswers               int
	fiftiethBadAt            time.Duration
	lastTargetRequestAt      time.Duration
	result                   simulationResult
}

// simulate runs one roll-out. A decision reaches the proxies one step later, and what
// they observe reaches the analyzer one step later.
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
				sim.request(at, i, []string{"lookup", "reserve", "sheet"}[i])
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

// poisson draws from a Poisson distribution with this mean.
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

// request sends one request on a route and observes its outcome.
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

// updateShare sets the share that the proxies apply from now on.
func (sim *simulation) updateShare(at time.Duration) {
	sim.share = 0
	if sim.rollout.State == rollout.InProgress && at > time.Second {
		sim.share = sim.rollout.TrafficShare()
	}
	if sim.rollout.State == rollout.Succeeded {
		sim.share = 1
	}
	if sim.isWithoutLeader(at) && (sim.share < 1 || sim.rollout.State == rollout.InProgress) {
		sim.share = 0 // the proxies' leases have run out
	}
}

// advance lets the leader derive the next state.
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

// TestVerdicts counts wrong decisions over many seeds, and what a bad version got of the
// traffic, against stated bounds.
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
		maxWrong int // decisions
	}{
		{"good", trafficModel{}, true, 0},
		{"good, few requests", trafficModel{requestsPerSecond: 120}, true, 1},
		{"good, hardly any requests", trafficModel{requestsPerSecond: 25}, true, 3},
		{"good, crashes among both versions", trafficModel{burstRate: crash}, true, 0},
		{"good, one of its few endpoints unhealthy", trafficModel{hasFaultyEndpoint: true}, true, 2},
		{"good, answers lost at both", trafficModel{brokenRate: 0.05}, true, 0},
		{"good, both fail often", trafficModel{failRate: 0.05, slowRate: 0.06}, true, 0},
		{"good, no leader for three seconds", trafficModel{hasNoLeader: partition}, true, 0},
		{"slightly worse than the base's own errors", trafficModel{failRate: 0.02, targetFaults: always(0.01, 0)}, true, 1},
		{"bad at once", trafficModel{targetFaults: always(0.43, 0)}, false, 0},
		{"a fifth fails", trafficModel{targetFaults: always(0.2, 0)}, false, 0},
		{"slow", trafficModel{targetFaults: always(0, 0.4)}, false, 0},
		{"late", trafficModel{targetFaults: since(3500*time.Millisecond, 0.41)}, false, 0},
		{"late, as all moves", trafficModel{targetFaults: since(10400*time.Millisecond, 0.41)}, false, 0},
		{"one route", trafficModel{targetFaults: onRoute("sheet", 0.43)}, false, 0},
		{"under load", trafficModel{targetFaults: underLoad(0.43)}, false, 0},
		{"bad at once, no leader for three seconds", trafficModel{hasNoLeader: partition, targetFaults: since(4*time.Second, 0.43)}, false, 0},
		{"bad, crashes among both versions", trafficModel{burstRate: crash, targetFaults: since(6*time.Second, 0.43)}, false, 0},
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
				t.Errorf("%d of %d verdicts wrong", wrong, runs)
			}
			if !test.isGood && (worst.exposure > 0.1 || worst.exposureAfterFault > 4*time.Second) {
				t.Errorf("a bad version got %.3f of the requests, the last %v after its 50th bad answer", worst.exposure, worst.exposureAfterFault)
			}
			t.Logf("wrong %d, exposure %.3f, %v after the 50th", wrong, worst.exposure, worst.exposureAfterFault)
		})
	}
}
