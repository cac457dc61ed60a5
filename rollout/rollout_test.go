package rollout_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"lichentray/rollout"
)

const term = 15 * time.Second

func startedRollout(t *testing.T) rollout.Rollout {
	t.Helper()
	r, err := rollout.Rollout{Base: "v1"}.Start("v2", term)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestOrders: what an order does in each state, by a table written out by hand.
func TestStart(t *testing.T) {
	in := func(s rollout.State) rollout.Rollout {
		r := rollout.Rollout{Base: "v1", OrderNumber: 1, Target: "v2", State: s, DeadlineSeconds: 15}
		if s == rollout.Succeeded {
			r.Base = "v2"
		}
		return r
	}
	for _, c := range []struct {
		from    rollout.Rollout
		target  string
		term    time.Duration
		state   rollout.State
		order   uint64
		refused bool
	}{
		{rollout.Rollout{}, "v2", term, "", 0, true},
		{rollout.Rollout{Base: "v1"}, "v2", term, rollout.InProgress, 1, false},
		{rollout.Rollout{Base: "v1"}, "v1", term, rollout.Succeeded, 1, false},
		{in(rollout.InProgress), "v2", term, rollout.InProgress, 1, false},
		{in(rollout.InProgress), "v3", term, rollout.InProgress, 1, true},
		{in(rollout.Succeeded), "v2", term, rollout.Succeeded, 1, false},
		{in(rollout.Succeeded), "v3", term, rollout.InProgress, 2, false},
		{in(rollout.Succeeded), "v1", term, rollout.InProgress, 2, false},
		{in(rollout.RolledBack), "v2", term, rollout.RolledBack, 1, false}, // the same order, sent again
		{in(rollout.RolledBack), "v2", 2 * term, rollout.RolledBack, 1, true},
		{in(rollout.RolledBack), "v3", term, rollout.InProgress, 2, false},
		{in(rollout.RolledBack), "v1", term, rollout.Succeeded, 2, false},
	} {
		got, err := c.from.Start(c.target, c.term)
		var refusal rollout.RejectedError
		if errors.As(err, &refusal) != c.refused || got.State != c.state || got.OrderNumber != c.order {
			t.Errorf("%+v ordered to %s: %+v, %v", c.from, c.target, got, err)
		}
		if back, err := rollout.Decode(got.Encode()); err != nil || back != got {
			t.Errorf("%+v comes back as %+v, %v", got, back, err)
		}
	}
	if _, err := rollout.Decode([]byte(`{"base":`)); err == nil {
		t.Error("a value cut short was read")
	}
}

// storedRollout is the registry's object: a write holds only under the revision read.
type storedRollout struct {
	rollout  rollout.Rollout
	revision int
}

func (c *storedRollout) compareAndSet(r rollout.Rollout, read int) bool {
	if read != c.revision {
		return false
	}
	c.rollout, c.revision = r, c.revision+1
	return true
}

// TestSingleDecision plays all interleavings of eight steps: two leaders that read and
// decide on what they read, one finding the version good and one bad, the operator
// who repeats the order or gives another, and a restart that forgets what was read.
// A plain model beside it holds the outcome that each order came to first.
func TestSingleDecision(t *testing.T) {
	good := rollout.Observation{Elapsed: term, StageElapsed: time.Second, Verdict: rollout.Verdict{}, StageTargetAnswers: 50, TargetAnswers: 500, BaseCapacity: 10, TargetCapacity: 10, TrafficShifted: true, PropagationDelay: time.Second}
	bad := good
	bad.Verdict.Bad = true
	actions := []string{"A reads", "B reads", "A finds it good", "B finds it bad", "same order", "other order", "A restarts"}
	outcomes := map[rollout.State]int{}
	var play func(c storedRollout, a, b storedRollout, decided map[uint64]rollout.State, depth int, path string)
	play = func(c storedRollout, a, b storedRollout, decided map[uint64]rollout.State, depth int, path string) {
		if was, done := decided[c.rollout.OrderNumber]; done && (c.rollout.State != was || c.rollout.Target == "") {
			t.Fatalf("%s: order %d was %s and is %s", path, c.rollout.OrderNumber, was, c.rollout.State)
		}
		if c.rollout.State == rollout.Succeeded || c.rollout.State == rollout.RolledBack {
			decided = map[uint64]rollout.State{c.rollout.OrderNumber: c.rollout.State}
			if base := map[rollout.State]string{rollout.Succeeded: c.rollout.Target, rollout.RolledBack: "v1"}[c.rollout.State]; c.rollout.OrderNumber == 1 && c.rollout.Base != base {
				t.Fatalf("%s: %s with base %s", path, c.rollout.State, c.rollout.Base)
			}
			outcomes[c.rollout.State]++
		}
		if depth == 0 {
			return
		}
		for _, act := range actions {
			c, a, b := c, a, b
			switch act {
			case "A reads":
				a = c
			case "B reads":
				b = c
			case "A finds it good", "B finds it bad":
				who, f := a, good
				if act == "B finds it bad" {
					who, f = b, bad
				}
				if next, changed := who.rollout.Advance(f); changed {
					c.compareAndSet(next, who.revision)
				}
			case "same order", "other order":
				to := map[string]string{"same order": "v2", "other order": "v3"}[act]
				if next, err := c.rollout.Start(to, term); err == nil && next != c.rollout {
					if c.rollout.State == rollout.InProgress {
						t.Fatalf("%s: a second order began while one is under way", path)
					}
					c.compareAndSet(next, c.revision)
				}
			case "A restarts":
				a = storedRollout{}
			}
			play(c, a, b, decided, depth-1, path+", "+act)
		}
	}
	first := startedRollout(t)
	first.Stage = 3
	start := storedRollout{first, 1}
	play(start, start, start, map[uint64]rollout.State{}, 6, "begun")
	if outcomes[rollout.Succeeded] == 0 || outcomes[rollout.RolledBack] == 0 {
		t.Errorf("outcomes met: %v", outcomes)
	}
}

// trafficModel is a service's traffic as the proxies see it, in steps of reports.
type trafficModel struct {
	rnd                            *rand.Rand
	failRate, slowRate, brokenRate float64                                                                 // of ordinary answers, both versions
	targetFaults                   func(at time.Duration, route string, load float64) (fail, slow float64) // of the target's
	burstRate                      func(at time.Duration) float64                                          // broken attempts at both
	hasNoLeader                    func(at time.Duration) bool                                             // no leader judges
	hasFaultyEndpoint              bool                                                                    // one of the target's few endpoints is ill
	requestsPerSecond              float64
}

type simulationResult struct {
	state              rollout.State
	reason             string
	exposure           float64       // of all requests until the term
	exposureAfterFault time.Duration // from the 50th bad answer to the last request
	decidedAt          time.Duration
}

const reportInterval = 300 * time.Millisecond

// simulate runs one order. What is decided reaches the proxies a tick later, and what
// they saw reaches the judge a tick later.
func (w *trafficModel) simulate(t *testing.T) simulationResult {
	r := startedRollout(t)
	judge := rollout.NewAnalyzer()
	sum, late := rollout.Evidence{}, rollout.Evidence{}
	var strata rollout.StratifiedSplit
	share, entered, stage, answersAt := 0.0, time.Duration(0), 0, 0
	var got simulationResult
	sent, total, badSeen := 0.0, 0.0, 0
	var fiftieth, last time.Duration
	poisson := func(x float64) int {
		n, l, p := 0, math.Exp(-x), 1.0
		for p *= w.rnd.Float64(); p > l; p *= w.rnd.Float64() {
			n++
		}
		return n
	}
	for at := time.Duration(0); at < term; at += reportInterval {
		sum.Add(late)
		late = rollout.Evidence{}
		strata.Decay()
		for i, part := range []float64{0.6, 0.3, 0.1} {
			route := []string{"lookup", "reserve", "sheet"}[i]
			n := poisson(w.requestsPerSecond * part * reportInterval.Seconds())
			total += float64(n)
			for range n {
				strata.RecordRequest(i)
				target, end := w.rnd.Float64() < strata.RouteShare(share, i), 0
				fail, slow, broken := w.failRate, w.slowRate, w.brokenRate
				if w.burstRate != nil {
					broken += w.burstRate(at)
				}
				if target {
					sent++
					last = at
					load := 1.0
					if share < 1 {
						load = 1.25
					}
					if w.targetFaults != nil {
						f, s := w.targetFaults(at, route, load)
						fail, slow = fail+f, slow+s
					}
					if end = w.rnd.Intn(6); w.hasFaultyEndpoint && share < 0.1 && end == 0 {
						fail += 0.4
					}
				}
				c := rollout.Counts{Answers: 1, Timed: 1}
				switch x := w.rnd.Float64(); {
				case x < broken:
					c = rollout.Counts{Broken: 1}
				case x < broken+fail:
					c.Failed, c.Timed = 1, 0
				case x < broken+fail+slow:
					c.Slow = 1
				}
				if target {
					late.Add(rollout.Evidence{route: rollout.NewTargetCounts(fmt.Sprint(end), c)})
					if c.Failed+c.Slow > 0 && w.targetFaults != nil {
						if badSeen++; badSeen == 50 {
							fiftieth = at
						}
					}
				} else {
					late.Add(rollout.Evidence{route: rollout.NewBaseCounts(c)})
				}
			}
		}
		share = 0
		if r.State == rollout.InProgress && at > time.Second {
			share = r.TrafficShare()
		}
		if r.State == rollout.Succeeded {
			share = 1
		}
		if w.hasNoLeader != nil && w.hasNoLeader(at) {
			if share < 1 || r.State == rollout.InProgress {
				share = 0 // the lease is out
			}
			continue
		}
		if r.Stage != stage {
			stage, entered, answersAt = r.Stage, at, sum.TargetAnswers()
		}
		next, changed := r.Advance(rollout.Observation{
			Elapsed: at, StageElapsed: at - entered, AnalysisDelay: time.Second, PropagationDelay: 800 * time.Millisecond, Verdict: judge.Analyze(sum, 6),
			TotalAnswers: sum.TotalAnswers(), TargetAnswers: sum.TargetAnswers(), StageTargetAnswers: sum.TargetAnswers() - answersAt, BaseCapacity: 100, TargetCapacity: 100, TrafficShifted: at-entered > 2*time.Second,
		})
		if changed {
			r = next
			if r.State != rollout.InProgress {
				got.decidedAt = at
			}
		}
	}
	got.state, got.reason, got.exposure = r.State, r.Reason, sent/total
	if badSeen >= 50 {
		got.exposureAfterFault = last - fiftieth
	}
	return got
}

// TestVerdicts counts wrong verdicts over many seeds, and what a bad version got of
// the traffic, against stated bounds.
func TestVerdicts(t *testing.T) {
	always := func(f, s float64) func(time.Duration, string, float64) (float64, float64) {
		return func(time.Duration, string, float64) (float64, float64) { return f, s }
	}
	from := func(since time.Duration, f float64) func(time.Duration, string, float64) (float64, float64) {
		return func(at time.Duration, _ string, _ float64) (float64, float64) {
			if at < since {
				return 0, 0
			}
			return f, 0
		}
	}
	crash := func(at time.Duration) float64 {
		if at > 6*time.Second && at < 8*time.Second {
			return 0.15
		}
		return 0
	}
	cut := func(at time.Duration) bool { return at > 4*time.Second && at < 7*time.Second }
	for _, c := range []struct {
		name  string
		w     trafficModel
		good  bool
		wrong int // of the plays, at the most
	}{
		{"good", trafficModel{}, true, 0},
		{"good, few requests", trafficModel{requestsPerSecond: 120}, true, 1},
		{"good, hardly any requests", trafficModel{requestsPerSecond: 25}, true, 3},
		{"good, crashes among both versions", trafficModel{burstRate: crash}, true, 0},
		{"good, one of its few endpoints ill", trafficModel{hasFaultyEndpoint: true}, true, 2},
		{"good, answers lost at both", trafficModel{brokenRate: 0.05}, true, 0},
		{"good, both fail often", trafficModel{failRate: 0.05, slowRate: 0.06}, true, 0},
		{"good, no leader for three seconds", trafficModel{hasNoLeader: cut}, true, 0},
		{"slightly worse than the base's own errors", trafficModel{failRate: 0.02, targetFaults: always(0.01, 0)}, true, 1},
		{"bad at once", trafficModel{targetFaults: always(0.43, 0)}, false, 0},
		{"a fifth fails", trafficModel{targetFaults: always(0.2, 0)}, false, 0},
		{"slow", trafficModel{targetFaults: always(0, 0.4)}, false, 0},
		{"late", trafficModel{targetFaults: from(3500*time.Millisecond, 0.41)}, false, 0},
		{"late, as all moves", trafficModel{targetFaults: from(10400*time.Millisecond, 0.41)}, false, 0},
		{"one route", trafficModel{targetFaults: func(_ time.Duration, r string, _ float64) (float64, float64) {
			if r == "sheet" {
				return 0.43, 0
			}
			return 0, 0
		}}, false, 0},
		{"under load", trafficModel{targetFaults: func(_ time.Duration, _ string, load float64) (float64, float64) {
			if load >= 1 {
				return 0.43, 0
			}
			return 0, 0
		}}, false, 0},
		{"bad at once, no leader for three seconds", trafficModel{hasNoLeader: cut, targetFaults: from(4*time.Second, 0.43)}, false, 0},
		{"bad, crashes among both versions", trafficModel{burstRate: crash, targetFaults: from(6*time.Second, 0.43)}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			const plays = 60
			wrong, worst := 0, simulationResult{}
			for seed := range int64(plays) {
				w := c.w
				w.rnd = rand.New(rand.NewSource(seed))
				if w.requestsPerSecond == 0 {
					w.requestsPerSecond = 600
				}
				w.failRate, w.slowRate = w.failRate+0.004, w.slowRate+0.02
				got := w.simulate(t)
				if good := got.state == rollout.Succeeded; good != c.good {
					wrong++
					t.Logf("seed %d: %s after %v, %s", seed, got.state, got.decidedAt, got.reason)
				}
				worst.exposure, worst.exposureAfterFault = max(worst.exposure, got.exposure), max(worst.exposureAfterFault, got.exposureAfterFault)
			}
			if wrong > c.wrong {
				t.Errorf("%d of %d verdicts wrong", wrong, plays)
			}
			if !c.good && (worst.exposure > 0.1 || worst.exposureAfterFault > 4*time.Second) {
				t.Errorf("a bad version got %.3f of the requests, the last %v after its 50th bad answer", worst.exposure, worst.exposureAfterFault)
			}
			t.Logf("wrong %d, exposure %.3f, %v after the 50th", wrong, worst.exposure, worst.exposureAfterFault)
		})
	}
}

// TestShort: with too few answers, too few endpoints or none, the term ends in a
// roll-back that says so.
func TestInsufficientEvidenceRollsBack(t *testing.T) {
	for _, c := range []struct {
		f    rollout.Observation
		says string
	}{
		{rollout.Observation{}, "no endpoint of the version came"},
		{rollout.Observation{TargetCapacity: 10, BaseCapacity: 10, TargetAnswers: 3, StageTargetAnswers: 3}, "too few answers to judge by"},
		{rollout.Observation{TargetCapacity: 6, BaseCapacity: 10, TargetAnswers: 300, StageTargetAnswers: 300}, "too few endpoints of the version to carry the traffic"},
		{rollout.Observation{TargetCapacity: 10, BaseCapacity: 10, TargetAnswers: 300, StageTargetAnswers: 300, Verdict: rollout.Verdict{Suspect: true}}, "suspect until the term"},
	} {
		r := startedRollout(t)
		for at := time.Duration(0); at <= term; at += reportInterval {
			c.f.Elapsed, c.f.StageElapsed, c.f.AnalysisDelay, c.f.PropagationDelay = at, time.Hour, time.Second, time.Second
			r, _ = r.Advance(c.f)
		}
		if r.State != rollout.RolledBack || r.Reason != c.says || r.Base != "v1" {
			t.Errorf("%+v ends as %+v", c.f, r)
		}
	}
}

// Example follows a version that proves good through its stages.
func Example() {
	r, _ := rollout.Rollout{Base: "v1"}.Start("v2", 10*time.Second)
	judge, seen := rollout.NewAnalyzer(), rollout.Evidence{}
	for at := time.Duration(0); r.State == rollout.InProgress; at += time.Second {
		seen.Add(rollout.Evidence{"route": {Base: rollout.Counts{Answers: 100}, Target: rollout.Counts{Answers: 50}}})
		next, changed := r.Advance(rollout.Observation{Elapsed: at, StageElapsed: time.Second, AnalysisDelay: time.Second, PropagationDelay: time.Second / 2, TrafficShifted: true,
			Verdict: judge.Analyze(seen, 8), TargetAnswers: seen.TargetAnswers(), StageTargetAnswers: 50, BaseCapacity: 8, TargetCapacity: 8})
		if r = next; changed {
			fmt.Printf("%v %s, share %g, base %s\n", at, r.State, r.TrafficShare(), r.Base)
		}
	}
	// Output:
	// 6s in_progress, share 0.08, base v1
	// 7s in_progress, share 0.25, base v1
	// 8s in_progress, share 1, base v1
	// 9s succeeded, share 0, base v2
}
