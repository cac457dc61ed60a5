package loadbalance_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lichentray/loadbalance"
)

// newTestPool returns a pool with n endpoints of capacity 2 in the zone of the node.
func newTestPool(n int) *loadbalance.Pool {
	p := loadbalance.NewPool(loadbalance.PoolConfig{Zone: "a", BaseEjectionTime: time.Second, MaxEjectionTime: 8 * time.Second, ZoneBias: 0.25})
	for i := range n {
		p.Upsert(0, loadbalance.EndpointSpec{ID: fmt.Sprint(i), Zone: "a", Capacity: 2}, 0)
	}
	return p
}

// TestPickMatchesReferenceModel checks that Pick never returns an endpoint that is draining or
// was already attempted, nor an ejected one while another is free. The reference model of
// Pool.Pick and Pool.Finish records which endpoints are draining and until when each is
// ejected.
func TestPickMatchesReferenceModel(t *testing.T) {
	r := rand.New(rand.NewSource(3))
	p := newTestPool(8)
	draining, ejectedUntil := map[string]bool{}, map[string]time.Duration{}
	var inFlight []*loadbalance.Endpoint
	for step := range 20000 {
		now := time.Duration(step) * 5 * time.Millisecond
		if r.Intn(200) == 0 {
			id := fmt.Sprint(r.Intn(8))
			draining[id] = !draining[id] && len(draining) < 3
			p.Upsert(now, loadbalance.EndpointSpec{ID: id, Zone: "a", Capacity: 2, Draining: draining[id]}, 0)
		}
		attempted := map[*loadbalance.Endpoint]bool{}
		if r.Intn(3) == 0 && len(inFlight) > 0 {
			attempted[inFlight[r.Intn(len(inFlight))]] = true
		}
		e := p.Pick(now, r.Float64, func(e *loadbalance.Endpoint) bool { return attempted[e] })
		if e != nil {
			if draining[e.ID] || attempted[e] {
				t.Fatalf("picked %s: draining %v, attempted %v", e.ID, draining[e.ID], attempted[e])
			}
			if now < ejectedUntil[e.ID] {
				for _, x := range p.Endpoints() {
					if !draining[x.ID] && !attempted[x] && now >= ejectedUntil[x.ID] && x.Inflight() == 0 && !x.IsEjected(now) {
						if _, failed := ejectedUntil[x.ID]; !failed {
							t.Fatalf("picked %s, ejected until %v, at %v although %s was free", e.ID, ejectedUntil[e.ID], now, x.ID)
						}
					}
				}
			}
			inFlight = append(inFlight, e)
		}
		for len(inFlight) > r.Intn(20) {
			e := inFlight[0]
			inFlight = inFlight[1:]
			ok := r.Intn(30) > 0
			p.Finish(now, e, ok, 1)
			if ok {
				delete(ejectedUntil, e.ID)
			} else {
				ejectedUntil[e.ID] = now + time.Second
			}
		}
	}
}

// TestManyNodesDoNotOverloadFastEndpoints guards against nodes that all prefer the same fast
// endpoints. With many nodes that each have few requests in flight, no endpoint may get far
// more requests than the others, even if some are faster.
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
	requests := map[string]int{}
	const n = 24000
	for i := range n {
		p := pools[r.Intn(len(pools))]
		now := time.Duration(i) * time.Millisecond
		e := p.Pick(now, r.Float64, nil)
		requests[e.ID]++
		p.Finish(now, e, true, 1)
	}
	for id, k := range requests {
		if mean := n / 40; k > 2*mean || k < mean/3 {
			t.Errorf("endpoint %s got %d requests, mean is %d", id, k, mean)
		}
	}
}

// TestPeersStayWithinMaxConnections checks that all nodes together stay within the maximum
// number of connections of an endpoint.
func TestPeersStayWithinMaxConnections(t *testing.T) {
	p := newTestPool(1)
	p.SetMaxConnections(12)
	p.SetPeerCount(6)
	n := 0
	for p.Pick(0, rand.Float64, nil) != nil {
		n++
	}
	if n*6 > 12 {
		t.Errorf("%d concurrent requests per node with 6 nodes, want at most 12 connections in total", n)
	}
}
