package loadbalance_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// newTestPool returns a pool of n endpoints of capacity 2 in the node's own zone.
func newTestPool(n int) *loadbalance.Pool {
	p := loadbalance.NewPool(loadbalance.PoolConfig{Zone: "a", BaseEjectionTime: time.Second, MaxEjectionTime: 8 * time.Second, ZoneBias: 0.25})
	for i := range n {
		p.Upsert(0, loadbalance.EndpointSpec{ID: fmt.Sprint(i), Zone: "a", Capacity: 2}, 0)
	}
	return p
}

// The plain model mirrors Pool.Pick and Pool.Finish: it knows which endpoints drain, and
// until when they are ejected. Pick never chooses an endpoint that drains or was
// attempted, nor an ejected one while another is free.
func TestPickMatchesPlainModel(t *testing.T) {
	r := rand.New(rand.NewSource(3))
	p := newTestPool(8)
	draining, until := map[string]bool{}, map[string]time.Duration{}
	var out []*loadbalance.Endpoint
	for step := range 20000 {
		now := time.Duration(step) * 5 * time.Millisecond
		if r.Intn(200) == 0 {
			id := fmt.Sprint(r.Intn(8))
			draining[id] = !draining[id] && len(draining) < 3
			p.Upsert(now, loadbalance.EndpointSpec{ID: id, Zone: "a", Capacity: 2, Draining: draining[id]}, 0)
		}
		tried := map[*loadbalance.Endpoint]bool{}
		if r.Intn(3) == 0 && len(out) > 0 {
			tried[out[r.Intn(len(out))]] = true
		}
		e := p.Pick(now, r.Float64, func(e *loadbalance.Endpoint) bool { return tried[e] })
		if e != nil {
			if draining[e.ID] || tried[e] {
				t.Fatalf("picked %s: draining %v, tried %v", e.ID, draining[e.ID], tried[e])
			}
			if now < until[e.ID] {
				for _, x := range p.Endpoints() {
					if !draining[x.ID] && !tried[x] && now >= until[x.ID] && x.Inflight() == 0 && !x.IsEjected(now) {
						if _, failed := until[x.ID]; !failed {
							t.Fatalf("picked %s, ejected until %v at %v, though %s was free", e.ID, until[e.ID], now, x.ID)
						}
					}
				}
			}
			out = append(out, e)
		}
		for len(out) > r.Intn(20) {
			e := out[0]
			out = out[1:]
			ok := r.Intn(30) > 0
			p.Finish(now, e, ok, 1)
			if ok {
				delete(until, e.ID)
			} else {
				until[e.ID] = now + time.Second
			}
		}
	}
}

// With many nodes, each with little in flight, no endpoint gets far more requests than
// the others, though some are faster.
func TestManyNodesDoNotOverloadFastEndpoints(t *testing.T) {
	r := rand.New(rand.NewSource(5))
	pools := make([]*loadbalance.Pool, 60)
	for i := range pools {
		pools[i] = loadbalance.NewPool(loadbalance.PoolConfig{Zone: "a", BaseEjectionTime: time.Second, MaxEjectionTime: time.Second})
		for k := range 40 {
			pools[i].Upsert(0, loadbalance.EndpointSpec{ID: fmt.Sprint(k), Zone: "a", Capacity: 4}, 0)
		}
		verdicts := map[string]loadbalance.Verdict{}
		for k := range 10 {
			verdicts[fmt.Sprint(k)] = loadbalance.Verdict{Endpoint: fmt.Sprint(k), Pace: 24}
		}
		pools[i].SetVerdicts(time.Hour, verdicts)
	}
	got := map[string]int{}
	const n = 24000
	for i := range n {
		p := pools[r.Intn(len(pools))]
		now := time.Duration(i) * time.Millisecond
		e := p.Pick(now, r.Float64, nil)
		got[e.ID]++
		p.Finish(now, e, true, 1)
	}
	for id, k := range got {
		if mean := n / 40; k > 2*mean || k < mean/3 {
			t.Errorf("endpoint %s got %d requests, the mean is %d", id, k, mean)
		}
	}
}

// All nodes together stay within the connections that an endpoint takes.
func TestPeersStayWithinMaxConnections(t *testing.T) {
	p := newTestPool(1)
	p.SetMaxConnections(12)
	p.SetPeerCount(6)
	n := 0
	for p.Pick(0, rand.Float64, nil) != nil {
		n++
	}
	if n*6 > 12 {
		t.Errorf("%d requests a node at once, 6 nodes, 12 connections", n)
	}
}
