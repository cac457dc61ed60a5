package loadbalance_test

import (
	"fmt"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// TestEjectedEndpointReturnsByOneProbe checks that an endpoint gets one probe after its
// ejection time, and no further requests until the probe has succeeded.
func TestEjectedEndpointReturnsByOneProbe(t *testing.T) {
	p := newTestPool(2)
	rnd := func() float64 { return 0.1 }
	bad := p.Endpoints()[0]
	for {
		e := p.Pick(0, rnd, nil)
		if e == bad {
			p.Finish(0, e, false, 0)
			break
		}
		p.Finish(0, e, true, 1)
	}
	n := 0
	for range 10 {
		if p.Pick(2*time.Second, rnd, nil) == bad {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d requests probed an ejected endpoint, want 1", n)
	}
}

// TestOutlierDetectorVerdicts checks that a slow endpoint, and one that fails requests of
// several nodes, get a verdict. Failures seen by a single node must not make an endpoint
// unhealthy, and at most a fifth of the endpoints may be unhealthy.
func TestOutlierDetectorVerdicts(t *testing.T) {
	detector := loadbalance.NewOutlierDetector(time.Second)
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	for step := range 20 {
		observations := map[string]loadbalance.Observation{}
		for _, id := range ids {
			observations[id] = loadbalance.Observation{Answers: 4, Times: 4}
		}
		observations["e1"] = loadbalance.Observation{Answers: 4, Times: 12}
		observations["e2"] = loadbalance.Observation{Answers: 4, Times: 4, Bad: 4, Nodes: 3}
		if step == 19 {
			observations["e3"] = loadbalance.Observation{Answers: 1, Times: 1, Bad: 6, Nodes: 1}
		}
		detector.Observe(observations)
		detector.Verdicts(time.Duration(step)*400*time.Millisecond, nil)
	}
	verdicts := map[string]loadbalance.Verdict{}
	for _, v := range detector.Verdicts(20*400*time.Millisecond, map[string][]string{"s": ids}) {
		verdicts[v.Endpoint] = v
	}
	if !verdicts["e2"].Sick || verdicts["e1"].Sick || verdicts["e3"].Sick || verdicts["e1"].Pace < 70 || verdicts["e1"].Pace > 100 || len(verdicts) != 2 {
		t.Errorf("verdicts are %v, want e1 slow and e2 unhealthy only", verdicts)
	}
	seen := map[string]loadbalance.Observation{}
	for _, id := range ids {
		seen[id] = loadbalance.Observation{Bad: 20, Nodes: 5}
	}
	detector.Observe(seen)
	n := 0
	for _, v := range detector.Verdicts(9*time.Second, map[string][]string{"s": ids}) {
		if v.Sick {
			n++
		}
	}
	if n == 0 || n > len(ids)/5 {
		t.Errorf("%d of %d endpoints are unhealthy, want some but at most a fifth", n, len(ids))
	}
}
