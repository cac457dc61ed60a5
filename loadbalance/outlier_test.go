package loadbalance_test

import (
	"fmt"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// Once its ejection time has passed, an endpoint gets one request and no more until
// that has succeeded.
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
		t.Errorf("%d requests probed an ejected endpoint", n)
	}
}

// A slow endpoint and one that fails at several nodes get a verdict. Failures at a
// single node make no endpoint unhealthy, and never is more than a part of them so.
func TestOutlierDetectorVerdicts(t *testing.T) {
	j := loadbalance.NewOutlierDetector(time.Second)
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	for step := range 20 {
		seen := map[string]loadbalance.Observation{}
		for _, id := range ids {
			seen[id] = loadbalance.Observation{Answers: 4, Times: 4}
		}
		seen["e1"] = loadbalance.Observation{Answers: 4, Times: 12}
		seen["e2"] = loadbalance.Observation{Answers: 4, Times: 4, Bad: 4, Nodes: 3}
		if step == 19 {
			seen["e3"] = loadbalance.Observation{Answers: 1, Times: 1, Bad: 6, Nodes: 1}
		}
		j.Observe(seen)
		j.Verdicts(time.Duration(step)*400*time.Millisecond, nil)
	}
	got := map[string]loadbalance.Verdict{}
	for _, v := range j.Verdicts(20*400*time.Millisecond, map[string][]string{"s": ids}) {
		got[v.Endpoint] = v
	}
	if !got["e2"].Sick || got["e1"].Sick || got["e3"].Sick || got["e1"].Pace < 70 || got["e1"].Pace > 100 || len(got) != 2 {
		t.Errorf("verdicts %v", got)
	}
	seen := map[string]loadbalance.Observation{}
	for _, id := range ids {
		seen[id] = loadbalance.Observation{Bad: 20, Nodes: 5}
	}
	j.Observe(seen)
	n := 0
	for _, v := range j.Verdicts(9*time.Second, map[string][]string{"s": ids}) {
		if v.Sick {
			n++
		}
	}
	if n == 0 || n > len(ids)/5 {
		t.Errorf("%d of %d endpoints are unhealthy", n, len(ids))
	}
}
